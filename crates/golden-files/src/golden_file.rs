//! Compares the examples that a test builds with a golden file.

use crate::hex::to_hex;
use crate::kept_examples::KeptExamples;
use crate::text_file::{check_text, is_update, read_text};
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt::{Debug, Display};
use std::path::{Path, PathBuf};

/// Separates the name of an example from its encoding.
pub(crate) const SEPARATOR: &str = ": ";

/// A line of the file.
#[derive(Debug)]
struct Example {
    name: String,
    encoding: String,
}

/// A golden file of named examples, which is compared with those that a test builds.
///
/// Examples are added in the order of the file; [`GoldenFile::check`] compares all of them.
#[derive(Debug)]
pub struct GoldenFile {
    path: PathBuf,
    kept: KeptExamples,
    built: Vec<Example>,
}

impl GoldenFile {
    /// Opens the file at this path. The file may be missing only during an update.
    ///
    /// # Panics
    ///
    /// If the file cannot be read, or one of its lines is not an example.
    pub fn open(path: impl AsRef<Path>) -> GoldenFile {
        let path = path.as_ref().to_owned();
        let text = if is_update() {
            String::new()
        } else {
            read_text(&path)
        };
        GoldenFile {
            path,
            kept: KeptExamples::parse(&text),
            built: Vec::new(),
        }
    }

    /// Adds an example whose encoding is a single line of text.
    ///
    /// # Panics
    ///
    /// If the text has several lines, or the name contains the separator or a line end, or is used twice.
    pub fn add(&mut self, name: impl Into<String>, encoding: impl Display) {
        let (name, encoding) = (name.into(), encoding.to_string());
        assert!(
            !encoding.contains('\n'),
            "{name}: the encoding has several lines"
        );
        assert!(
            !name.contains(SEPARATOR) && !name.contains('\n'),
            "{name}: the name holds a separator"
        );
        assert!(
            self.built.iter().all(|example| example.name != name),
            "{name}: the name is used twice"
        );
        self.built.push(Example { name, encoding });
    }

    /// Adds an example whose encoding is binary, as lowercase hexadecimal digits.
    ///
    /// # Panics
    ///
    /// As [`GoldenFile::add`].
    pub fn add_bytes(&mut self, name: impl Into<String>, bytes: &[u8]) {
        self.add(name, to_hex(bytes));
    }

    /// Adds a value in its `borsh` encoding, and checks that the kept encoding decodes into the value.
    ///
    /// # Panics
    ///
    /// If the kept encoding does not decode into the value, and as [`GoldenFile::add`].
    pub fn add_borsh<T>(&mut self, name: impl Into<String>, value: &T)
    where
        T: BorshSerialize + BorshDeserialize + Debug + PartialEq,
    {
        let name = name.into();
        let built = borsh::to_vec(value).unwrap_or_else(|error| panic!("{name}: {error}"));
        let kept = self.kept_bytes(&name).unwrap_or_else(|| built.clone());
        let decoded = T::try_from_slice(&kept).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(
            decoded, *value,
            "{name}: the kept encoding is that of another value"
        );
        self.add_bytes(name, &built);
    }

    /// The kept text of an example; `None` if the file lacks the example, or during an update.
    pub fn kept_text(&self, name: &str) -> Option<&str> {
        self.kept.get(name)
    }

    /// The kept bytes of an example; `None` if the file lacks the example, or during an update.
    ///
    /// # Panics
    ///
    /// If the example is not hexadecimal text.
    pub fn kept_bytes(&self, name: &str) -> Option<Vec<u8>> {
        self.kept.get(name).map(crate::hex::from_hex)
    }

    /// Compares the built examples with the file, or writes the file. Returns the examples of the file.
    ///
    /// # Panics
    ///
    /// If an example differs, the file has an example that was not built or lacks one that was, or their order differs.
    pub fn check(self) -> KeptExamples {
        let mut text = String::new();
        for example in &self.built {
            text.push_str(&example.name);
            text.push_str(SEPARATOR);
            text.push_str(&example.encoding);
            text.push('\n');
        }
        KeptExamples::parse(&check_text(&self.path, &text))
    }
}
