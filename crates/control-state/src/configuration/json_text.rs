//! JSON texts, split into the texts of their parts.
//!
//! A configuration is given back as it was sent, so the text of every item is kept, with fields and forms of numbers
//! that nothing here reads. `nanoserde` has no type for such a text, takes more than JSON (comments), and on fields that
//! it skips it panics at a missing value and never returns from an unclosed list. So `serde_json` splits a body into
//! raw values, which also settles that all of it is well-formed, and `nanoserde` reads the fields that have a meaning.

use crate::configuration::error::{ConfigurationFault, FaultReason};
use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason};
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;

/// The fields of an object as they come, also such as come twice.
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

/// An object, split into its fields, of which no two have the same name.
pub(crate) struct JsonObject {
    path: String,
    fields: BTreeMap<String, Box<RawValue>>,
}

impl JsonObject {
    /// Splits the text of an object that stands at `path`.
    pub(crate) fn split(text: &str, path: &str) -> Result<JsonObject, ConfigurationFault> {
        let FieldList(list) =
            serde_json::from_str(text).map_err(|error| unreadable(path, error))?;
        let mut fields = BTreeMap::new();
        for (name, value) in list {
            let place = join(path, &name);
            if fields.insert(name, value).is_some() {
                return Err(ConfigurationFault::new(place, FaultReason::DuplicateField));
            }
        }
        Ok(JsonObject {
            path: path.to_owned(),
            fields,
        })
    }

    /// Takes a field's text out.
    pub(crate) fn take(&mut self, name: &str) -> Option<String> {
        self.fields.remove(name).map(|value| value.get().to_owned())
    }

    /// Takes out the text of a field that has to be there.
    pub(crate) fn take_required(&mut self, name: &str) -> Result<String, ConfigurationFault> {
        self.take(name).ok_or_else(|| {
            ConfigurationFault::new(self.field_path(name), FaultReason::MissingField)
        })
    }

    /// The fields that were not taken out, by name.
    pub(crate) fn remaining(self) -> impl Iterator<Item = (String, String)> {
        self.fields
            .into_iter()
            .map(|(name, value)| (name, value.get().to_owned()))
    }

    /// A fault where fields are left that were not taken out.
    pub(crate) fn expect_empty(&self) -> Result<(), ConfigurationFault> {
        match self.fields.keys().next() {
            Some(name) => Err(ConfigurationFault::new(
                self.field_path(name),
                FaultReason::UnknownField,
            )),
            None => Ok(()),
        }
    }

    /// The path of one of its fields.
    pub(crate) fn field_path(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// The text of an object that has only those of the fields which are in `names`.
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

/// Splits the text of an array that stands at `path` into the texts of its items.
pub(crate) fn split_array(text: &str, path: &str) -> Result<Vec<String>, ConfigurationFault> {
    let items: Vec<Box<RawValue>> =
        serde_json::from_str(text).map_err(|error| unreadable(path, error))?;
    Ok(items.iter().map(|item| item.get().to_owned()).collect())
}

/// Reads the fields `names` of the object at `path`. Its other fields are not looked at.
pub(crate) fn read_fields<T: DeJson>(
    text: &str,
    path: &str,
    names: &[&str],
) -> Result<T, ConfigurationFault> {
    let object = JsonObject::split(text, path)?;
    T::deserialize_json(&object.select(names)).map_err(|error| fault(path, error))
}

/// Reads a value that is no object.
pub(crate) fn read_value<T: DeJson>(text: &str, path: &str) -> Result<T, ConfigurationFault> {
    T::deserialize_json(text).map_err(|error| fault(path, error))
}

/// The path of an item of an array.
pub(crate) fn item_path(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// The path of a field; fields of the whole stand for themselves.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn unreadable(path: &str, error: serde_json::Error) -> ConfigurationFault {
    let path = if path.is_empty() {
        "configuration"
    } else {
        path
    };
    ConfigurationFault::new(path, FaultReason::Unreadable(error.to_string()))
}

/// The fault for an error of the reader, which names missing fields in Rust's form.
fn fault(path: &str, error: DeJsonErr) -> ConfigurationFault {
    match error.msg {
        DeJsonErrReason::MissingKey(field) => ConfigurationFault::new(
            join(path, &field.replace('_', "-")),
            FaultReason::MissingField,
        ),
        reason => {
            let text = format!("{reason:?}").trim_end().to_owned();
            ConfigurationFault::new(path, FaultReason::Unreadable(text))
        }
    }
}
