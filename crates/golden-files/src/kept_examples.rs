//! The examples of a golden file.

use crate::golden_file::SEPARATOR;
use crate::hex::from_hex;
use std::collections::BTreeMap;

/// The examples of a golden file, by name.
#[derive(Debug)]
pub struct KeptExamples(BTreeMap<String, String>);

impl KeptExamples {
    pub(crate) fn parse(text: &str) -> KeptExamples {
        let examples = text.lines().map(|line| {
            let (name, encoding) = line
                .split_once(SEPARATOR)
                .unwrap_or_else(|| panic!("a line without a name: {line}"));
            (name.to_owned(), encoding.to_owned())
        });
        KeptExamples(examples.collect())
    }

    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// The text of an example.
    ///
    /// # Panics
    ///
    /// If the file has no example of this name.
    pub fn text(&self, name: &str) -> &str {
        self.get(name)
            .unwrap_or_else(|| panic!("no example named '{name}'"))
    }

    /// The bytes of an example.
    ///
    /// # Panics
    ///
    /// If the file has no example of this name, or it is not hexadecimal text.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        from_hex(self.text(name))
    }

    /// The names and texts of all examples, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, text)| (name.as_str(), text.as_str()))
    }
}
