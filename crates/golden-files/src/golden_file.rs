//! One file of examples.

use crate::hex::{from_hex, to_hex};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fs;
use std::path::{Path, PathBuf};

/// The environment variable that makes the tests write the files, when it is `1`.
pub const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// Stands between the name of an example and its encoding.
const SEPARATOR: &str = ": ";

/// A line of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Example {
    name: String,
    encoding: String,
}

impl Example {
    fn parse(line: &str) -> Example {
        let (name, encoding) = line
            .split_once(SEPARATOR)
            .unwrap_or_else(|| panic!("a line without a name: {line}"));
        Example {
            name: name.to_owned(),
            encoding: encoding.to_owned(),
        }
    }

    fn render(&self) -> String {
        format!("{}{SEPARATOR}{}\n", self.name, self.encoding)
    }
}

/// A file of examples, compared with those that a test builds.
///
/// Examples are added in the order of the file; [`GoldenFile::finish`] compares the whole.
#[derive(Debug)]
pub struct GoldenFile {
    path: PathBuf,
    kept: Vec<Example>,
    built: Vec<Example>,
}

impl GoldenFile {
    /// The file at this path. It may be missing only while files are updated.
    ///
    /// # Panics
    ///
    /// Where a line of the file has no name.
    pub fn open(path: impl AsRef<Path>) -> GoldenFile {
        let path = path.as_ref().to_owned();
        let text = if is_update() {
            String::new()
        } else {
            read(&path)
        };
        let kept = text.lines().map(Example::parse).collect();
        GoldenFile {
            path,
            kept,
            built: Vec::new(),
        }
    }

    /// Adds an example whose encoding is a text of one line.
    ///
    /// # Panics
    ///
    /// Where the text has several lines, or the name holds the separator.
    pub fn text(&mut self, name: &str, text: &str) {
        assert!(!text.contains('\n'), "{name}: the text has several lines");
        assert!(
            !name.contains(SEPARATOR),
            "{name}: the name holds a separator"
        );
        self.built.push(Example {
            name: name.to_owned(),
            encoding: text.to_owned(),
        });
    }

    /// Adds an example whose encoding is binary.
    pub fn bytes(&mut self, name: &str, bytes: &[u8]) {
        self.text(name, &to_hex(bytes));
    }

    /// Adds a value in its `borsh` form, and decodes the kept form into the value again.
    ///
    /// # Panics
    ///
    /// Where the kept form is not that of the value.
    pub fn borsh<T>(&mut self, name: &str, value: &T)
    where
        T: BorshSerialize + BorshDeserialize + Debug + PartialEq,
    {
        let bytes = borsh::to_vec(value).unwrap_or_else(|error| panic!("{name}: {error}"));
        self.bytes(name, &bytes);
        let bytes = self.kept_bytes(name).unwrap_or(bytes);
        let decoded = T::try_from_slice(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(
            decoded, *value,
            "{name}: the kept form is that of another value"
        );
    }

    /// The text of an example as the file keeps it; none where it does not, or while files are updated.
    pub fn kept_text(&self, name: &str) -> Option<&str> {
        self.kept
            .iter()
            .find(|example| example.name == name)
            .map(|example| example.encoding.as_str())
    }

    /// The bytes of an example as the file keeps them; none where it does not, or while files are updated.
    pub fn kept_bytes(&self, name: &str) -> Option<Vec<u8>> {
        self.kept_text(name).map(from_hex)
    }

    /// Compares what was built with the file, or writes the file.
    ///
    /// # Panics
    ///
    /// Where an example differs, where the file has one that was not built or lacks one that was, or where two have the
    /// same name.
    pub fn finish(self) {
        let names: BTreeSet<&str> = self
            .built
            .iter()
            .map(|example| example.name.as_str())
            .collect();
        assert_eq!(
            names.len(),
            self.built.len(),
            "{}: a name is used twice",
            self.path.display()
        );
        let text: String = self.built.iter().map(Example::render).collect();
        compare_text(&self.path, &text);
    }
}

/// Compares a text with the file at this path, or writes the file.
///
/// # Panics
///
/// Where they differ.
pub fn compare_text(path: impl AsRef<Path>, text: &str) {
    let path = path.as_ref();
    if is_update() {
        write(path, text);
        return;
    }
    let kept = read(path);
    let differences = differing_lines(&kept, text);
    assert!(
        differences.is_empty(),
        "{} differs:\n{}",
        path.display(),
        differences.join("\n")
    );
    assert_eq!(
        kept,
        text,
        "{} differs in its order or its last line",
        path.display()
    );
}

/// The lines that only one of the texts has, `-` before those kept and `+` before those built.
fn differing_lines(kept: &str, built: &str) -> Vec<String> {
    let kept_lines: BTreeSet<&str> = kept.lines().collect();
    let built_lines: BTreeSet<&str> = built.lines().collect();
    let gone = kept_lines
        .difference(&built_lines)
        .map(|line| format!("- {line}"));
    let new = built_lines
        .difference(&kept_lines)
        .map(|line| format!("+ {line}"));
    gone.chain(new).collect()
}

/// Whether the tests write the files in place of comparing them.
pub fn is_update() -> bool {
    std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn write(path: &Path, text: &str) {
    let folder = path.parent().unwrap_or(Path::new("."));
    let written = fs::create_dir_all(folder).and_then(|()| fs::write(path, text));
    written.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
}
