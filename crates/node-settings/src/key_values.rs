//! The lines of a settings file, parsed by the `configparser` library.

use crate::error::SettingsError;
use configparser::ini::{Ini, IniDefault};
use std::collections::{BTreeMap, BTreeSet};

/// The name of the section to which the library assigns lines that follow no `[section]` header.
const TOP_SECTION: &str = "top";
/// The rest of a key with this prefix is the name of a zone. Underscores in the name are kept.
const ZONES_PREFIX: &str = "zones.";

/// Values by key, both trimmed. An underscore in a key is read as a dash, except in names of zones.
#[derive(Debug, Default)]
pub(crate) struct KeyValues {
    values: BTreeMap<String, String>,
}

impl KeyValues {
    /// Parses the text of a file. The last line of a repeated key wins.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Syntax`] where a line has another form.
    pub(crate) fn parse(text: &str) -> Result<KeyValues, SettingsError> {
        let mut sections = line_parser()
            .read(text.to_string())
            .map_err(SettingsError::Syntax)?;
        let values = sections
            .remove(TOP_SECTION)
            .unwrap_or_default()
            .into_iter()
            .map(|(key, value)| (canonical_key(key), value.unwrap_or_default()))
            .collect();
        Ok(KeyValues { values })
    }

    /// The value of a key; `None` if the key is missing or empty.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.values
            .get(key)
            .map(String::as_str)
            .filter(|value| !value.is_empty())
    }

    /// The keys whose values differ between the two files, or that only one of them has, in ascending order.
    pub(crate) fn changed_keys(&self, other: &KeyValues) -> Vec<String> {
        let all: BTreeSet<&String> = self.values.keys().chain(other.values.keys()).collect();
        let changed = all
            .into_iter()
            .filter(|key| self.get(key) != other.get(key));
        changed.cloned().collect()
    }

    /// Copies the value of a key from another file.
    pub(crate) fn take(&mut self, key: &str, other: &KeyValues) {
        match other.values.get(key) {
            Some(value) => self.values.insert(key.to_string(), value.clone()),
            None => self.values.remove(key),
        };
    }

    /// The region of each zone.
    pub(crate) fn zones(&self) -> BTreeMap<String, String> {
        self.values
            .iter()
            .filter_map(|(key, region)| Some((key.strip_prefix(ZONES_PREFIX)?, region)))
            .map(|(zone, region)| (zone.to_string(), region.clone()))
            .collect()
    }
}

/// A parser of plain `key=value` lines: no inline comments, no continued lines, and keys keep their case.
fn line_parser() -> Ini {
    let mut defaults = IniDefault::default();
    defaults.default_section = TOP_SECTION.to_string();
    defaults.comment_symbols = vec!['#'];
    defaults.inline_comment_symbols = Some(Vec::new());
    defaults.delimiters = vec!['='];
    defaults.case_sensitive = true;
    defaults.multiline = false;
    defaults.enable_inline_comments = false;
    Ini::new_from_defaults(defaults)
}

/// The canonical form of a key in [`KeyValues`].
fn canonical_key(key: String) -> String {
    if key.starts_with(ZONES_PREFIX) {
        key
    } else {
        key.replace('_', "-")
    }
}
