//! The examples that a test builds for one file.

use crate::hex::to_hex;
use crate::kept_examples::KeptExamples;
use crate::text_file::{check_text, is_update, read_text};
use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt::{Debug, Display};
use std::path::{Path, PathBuf};

/// Stands between the name of an example and its encoding.
pub(crate) const SEPARATOR: &str = ": ";

/// A line of the file.
#[derive(Debug)]
struct Example {
    name: String,
    encoding: String,
}

/// A file of named examples, compared with those that a test builds.
///
/// Examples are added in the order of the file; [`GoldenFile::check`] compares all of them.
#[derive(Debug)]
pub struct GoldenFile {
    path: PathBuf,
    kept: KeptExamples,
    built: Vec<Example>,
}

impl GoldenFile {
    /// Opens the file at this path. It may be missing only while files are updated.
    ///
    /// # Panics
    ///
    /// If the file cannot be read, or one of its lines is no example.
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

    /// Adds an example whose encoding is text of one line.
    ///
    /// # Panics
    ///
    /// If the text has several lines, or the name holds the separator, a line end, or is used twice.
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

    /// Adds a value in its `borsh` encoding, and decodes the kept encoding into the value again.
    ///
    /// # Panics
    ///
    /// If the kept encoding is not that of the value, and as [`GoldenFile::add`].
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

    /// The text of an example as the file keeps it; `None` if it does not, or while files are updated.
    pub fn kept_text(&self, name: &str) -> Option<&str> {
        self.kept.get(name)
    }

    /// The bytes of an example as the file keeps them; `None` if it does not, or while files are updated.
    ///
    /// # Panics
    ///
    /// If the example is no hexadecimal text.
    pub fn kept_bytes(&self, name: &str) -> Option<Vec<u8>> {
        self.kept.get(name).map(crate::hex::from_hex)
    }

    /// Compares what was built with the file, or writes the file, and returns what the file holds.
    ///
    /// # Panics
    ///
    /// If an example differs, or the file has one that was not built, lacks one that was, or has them in another order.
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
