//! The lines of a settings file, read by the `configparser` library.

use crate::error::SettingsError;
use configparser::ini::{Ini, IniDefault};
use std::collections::BTreeMap;

/// The name under which the library files lines that follow no `[section]` header.
const TOP_SECTION: &str = "top";
/// Keys below this one are names, whose underscores are kept.
const ZONES: &str = "zones.";

/// Values by key, both trimmed. An underscore in a key counts as a dash, except in names of zones.
#[derive(Debug, Default)]
pub(crate) struct SettingsLines {
    values: BTreeMap<String, String>,
}

impl SettingsLines {
    /// Reads a file's text; of a key that occurs twice the last line counts.
    pub(crate) fn parse(text: &str) -> Result<SettingsLines, SettingsError> {
        let mut sections = line_parser()
            .read(text.to_string())
            .map_err(SettingsError::Syntax)?;
        let top = sections.remove(TOP_SECTION).unwrap_or_default();
        let values = top
            .into_iter()
            .map(|(key, value)| (canonical(key), value.unwrap_or_default()))
            .collect();
        Ok(SettingsLines { values })
    }

    /// A key's value; none where the key is lacking or empty.
    pub(crate) fn value(&self, key: &str) -> Option<&str> {
        self.values
            .get(key)
            .map(String::as_str)
            .filter(|value| !value.is_empty())
    }

    /// The zones and their regions.
    pub(crate) fn zones(&self) -> BTreeMap<String, String> {
        let named = self
            .values
            .iter()
            .filter_map(|(key, region)| Some((key.strip_prefix(ZONES)?, region)));
        named
            .map(|(zone, region)| (zone.to_string(), region.clone()))
            .collect()
    }
}

/// A parser of plain `key=value` lines: no inline comments, no continued lines, case kept.
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

/// The spelling under which a key is filed.
fn canonical(key: String) -> String {
    match key.starts_with(ZONES) {
        true => key,
        false => key.replace('_', "-"),
    }
}
