//! JSON texts, split into the texts of their parts.
//!
//! A configuration is given back as it was sent, so the text of every item is kept, with fields and
//! forms of numbers that nothing here reads. `nanoserde` has no type for such a text, accepts more
//! than JSON (comments), and on fields that it skips it panics at a missing value and never returns
//! from an unclosed list. So `serde_json` splits a body into raw values, which also checks that all
//! of it is well-formed, and `nanoserde` reads the fields that have a meaning.

use crate::configuration::error::{InvalidConfiguration, InvalidReason};
use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason};
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;

/// The path of the body itself.
pub(super) const ROOT: &str = "";

/// The fields of an object in their order, including fields that come twice.
struct FieldList(Vec<(String, Box<RawValue>)>);

impl<'de> Deserialize<'de> for FieldList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<FieldList, D::Error> {
        deserializer.deserialize_map(FieldListVisitor)
    }
}

struct FieldListVisitor;

impl<'de> Visitor<'de> for FieldListVisitor {
    type Value = FieldList;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<FieldList, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(FieldList(fields))
    }
}

/// An object that is split into its fields, no two of which have the same name.
pub(super) struct JsonObject {
    path: String,
    fields: BTreeMap<String, Box<RawValue>>,
}

impl JsonObject {
    /// Splits the text of the object at `path`.
    pub(super) fn split(text: &str, path: &str) -> Result<JsonObject, InvalidConfiguration> {
        let FieldList(list) =
            serde_json::from_str(text).map_err(|error| unreadable(path, &error))?;
        let mut fields = BTreeMap::new();
        for (name, value) in list {
            let place = join(path, &name);
            if fields.insert(name, value).is_some() {
                return Err(InvalidConfiguration::new(
                    place,
                    InvalidReason::DuplicateField,
                ));
            }
        }
        Ok(JsonObject {
            path: path.to_owned(),
            fields,
        })
    }

    /// Takes a field's text out.
    pub(super) fn take(&mut self, name: &str) -> Option<String> {
        self.fields.remove(name).map(|value| value.get().to_owned())
    }

    /// Takes out the text of a field that must exist.
    pub(super) fn take_required(&mut self, name: &str) -> Result<String, InvalidConfiguration> {
        self.take(name).ok_or_else(|| {
            InvalidConfiguration::new(self.field_path(name), InvalidReason::MissingField)
        })
    }

    /// Takes the version out of a body.
    pub(super) fn take_version(&mut self) -> Result<u64, InvalidConfiguration> {
        read_value(&self.take_required("version")?, "version")
    }

    /// The fields that were not taken out, by name.
    pub(super) fn remaining(self) -> impl Iterator<Item = (String, String)> {
        self.fields
            .into_iter()
            .map(|(name, value)| (name, value.get().to_owned()))
    }

    /// Rejects fields that were not taken out.
    pub(super) fn expect_empty(&self) -> Result<(), InvalidConfiguration> {
        match self.fields.keys().next() {
            Some(name) => Err(InvalidConfiguration::new(
                self.field_path(name),
                InvalidReason::UnknownField,
            )),
            None => Ok(()),
        }
    }

    /// The path of one of its fields.
    pub(super) fn field_path(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// The text of an object with only those fields that are in `names`.
    fn select(&self, names: &[&str]) -> String {
        let field = |name: &&str| {
            self.fields
                .get(*name)
                .map(|value| format!("\"{name}\":{}", value.get()))
        };
        let fields: Vec<String> = names.iter().filter_map(field).collect();
        format!("{{{}}}", fields.join(","))
    }
}

/// Splits the text of the array at `path` into the texts of its items.
pub(super) fn split_array(text: &str, path: &str) -> Result<Vec<String>, InvalidConfiguration> {
    let items: Vec<Box<RawValue>> =
        serde_json::from_str(text).map_err(|error| unreadable(path, &error))?;
    Ok(items.iter().map(|item| item.get().to_owned()).collect())
}

/// Reads the fields `names` of the object at `path`, and ignores the others.
pub(super) fn read_fields<T: DeJson>(
    text: &str,
    path: &str,
    names: &[&str],
) -> Result<T, InvalidConfiguration> {
    let object = JsonObject::split(text, path)?;
    T::deserialize_json(&object.select(names)).map_err(|error| from_nanoserde(path, error))
}

/// Reads a value that is not an object.
pub(super) fn read_value<T: DeJson>(text: &str, path: &str) -> Result<T, InvalidConfiguration> {
    T::deserialize_json(text).map_err(|error| from_nanoserde(path, error))
}

/// The path of an item of an array.
pub(super) fn item_path(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// The path of a field. The path of a top-level field is its name.
pub(super) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn unreadable(path: &str, error: &serde_json::Error) -> InvalidConfiguration {
    let path = if path.is_empty() {
        "configuration"
    } else {
        path
    };
    InvalidConfiguration::new(path, InvalidReason::Unreadable(error.to_string()))
}

/// Translates an error of `nanoserde`, which names missing fields as Rust does.
fn from_nanoserde(path: &str, error: DeJsonErr) -> InvalidConfiguration {
    match error.msg {
        DeJsonErrReason::MissingKey(field) => InvalidConfiguration::new(
            join(path, &field.replace('_', "-")),
            InvalidReason::MissingField,
        ),
        reason => {
            let text = format!("{reason:?}").trim_end().to_owned();
            InvalidConfiguration::new(path, InvalidReason::Unreadable(text))
        }
    }
}
