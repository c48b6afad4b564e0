//! Golden files: encoded examples of what a crate writes to a socket or a disk or prints, kept under its `tests/golden` and compared
//! byte for byte, so that no change of the code changes a form unnoticed.
//!
//! A test builds its examples in code and checks them against the file with [`Examples::check`] or [`check_text`]. With
//! [`UPDATE_VARIABLE`] set to `1` the files are written instead. What is decoded is taken from the file, by [`Kept`].
//!
//! ```no_run
//! use golden_examples::{path, Examples};
//!
//! let mut examples = Examples::default();
//! examples.add_bytes("hello", &[0x01, 0x02]);
//! let kept = examples.check(path!("messages.txt"));
//! assert_eq!(kept.bytes("hello"), [0x01, 0x02]);
//! ```
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs;
use std::path::Path;

/// With this variable set to `1` golden files are written, and nothing is compared.
pub const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// The path of a golden file of the crate that calls.
#[macro_export]
macro_rules! path {
    ($file:literal) => {
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/", $file)
    };
}

/// Examples of one file, in the order in which they were added: one line each, `name: value`.
#[derive(Debug, Default)]
pub struct Examples(Vec<(String, String)>);

impl Examples {
    /// Adds an example whose value is text without line ends.
    ///
    /// # Panics
    ///
    /// If the name is taken or is no name, or the value has a line end.
    pub fn add(&mut self, name: impl Into<String>, value: impl Display) {
        let (name, value) = (name.into(), value.to_string());
        assert!(
            !name.is_empty() && !name.contains([':', '\n']),
            "'{name}' is no name for an example"
        );
        assert!(!value.contains('\n'), "example '{name}' has several lines");
        assert!(
            self.0.iter().all(|(other, _)| *other != name),
            "example '{name}' stands twice"
        );
        self.0.push((name, value));
    }

    /// Adds an example of bytes, as lowercase hexadecimal text.
    ///
    /// # Panics
    ///
    /// As [`Examples::add`].
    pub fn add_bytes(&mut self, name: impl Into<String>, bytes: &[u8]) {
        self.add(name, hex(bytes));
    }

    /// Compares the examples with the file, which must hold these and no others in this order, and returns what the file holds. With
    /// [`UPDATE_VARIABLE`] set the file is written first.
    ///
    /// # Panics
    ///
    /// If the file differs or cannot be read, or cannot be written where it is to be.
    pub fn check(self, file: impl AsRef<Path>) -> Kept {
        Kept::read(&check_text(file, &self.text()))
    }

    /// As [`Examples::check`], and never writes.
    ///
    /// # Panics
    ///
    /// If the file differs or cannot be read.
    pub fn compare(self, file: impl AsRef<Path>) -> Kept {
        Kept::read(&compare_text(file, &self.text()))
    }

    fn text(&self) -> String {
        self.0
            .iter()
            .map(|(name, value)| line(name, value))
            .collect()
    }
}

/// What a golden file holds, by the names of its examples.
#[derive(Debug)]
pub struct Kept(BTreeMap<String, String>);

impl Kept {
    fn read(text: &str) -> Kept {
        let examples = text.lines().map(|line| match line.split_once(':') {
            Some((name, value)) => (
                name.to_string(),
                value.strip_prefix(' ').unwrap_or(value).to_string(),
            ),
            None => panic!("'{line}' is no example: `name: value` is expected"),
        });
        Kept(examples.collect())
    }

    /// The text of an example.
    ///
    /// # Panics
    ///
    /// If the file has none of this name.
    pub fn text(&self, name: &str) -> &str {
        self.0
            .get(name)
            .unwrap_or_else(|| panic!("no example '{name}'"))
    }

    /// The bytes of an example.
    ///
    /// # Panics
    ///
    /// If the file has none of this name, or its value is not hexadecimal text.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        unhex(self.text(name)).unwrap_or_else(|| panic!("example '{name}' is not hexadecimal text"))
    }
}

/// Compares text with the whole of a file, and returns the file's text. With [`UPDATE_VARIABLE`] set the file is written first.
///
/// # Panics
///
/// If the file differs or cannot be read, or cannot be written where it is to be.
pub fn check_text(file: impl AsRef<Path>, text: &str) -> String {
    let file = file.as_ref();
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        write(file, text);
    }
    compare_text(file, text)
}

/// As [`check_text`], and never writes.
///
/// # Panics
///
/// If the file differs or cannot be read.
pub fn compare_text(file: impl AsRef<Path>, text: &str) -> String {
    let file = file.as_ref();
    let kept = fs::read_to_string(file).unwrap_or_else(|why| panic!("{}: {why}", file.display()));
    if let Some(difference) = first_difference(&kept, text) {
        panic!("{}: {difference}", file.display());
    }
    kept
}

fn write(file: &Path, text: &str) {
    let written = match file.parent() {
        Some(folder) => fs::create_dir_all(folder).and_then(|()| fs::write(file, text)),
        None => fs::write(file, text),
    };
    written.unwrap_or_else(|why| panic!("{}: {why}", file.display()));
}

/// Where two texts differ first, in words; none where they are the same.
fn first_difference(kept: &str, built: &str) -> Option<String> {
    if kept == built {
        return None;
    }
    let (mut kept_lines, mut built_lines) = (kept.lines(), built.lines());
    for number in 1.. {
        let (kept, built) = (kept_lines.next(), built_lines.next());
        if kept.is_none() && built.is_none() {
            break;
        }
        if kept != built {
            let shown =
                |line: Option<&str>| line.map_or("nothing".to_string(), |l| format!("'{l}'"));
            return Some(format!(
                "line {number}:\n  file: {}\n  code: {}",
                shown(kept),
                shown(built)
            ));
        }
    }
    Some("line ends differ".to_string())
}

fn line(name: &str, value: &str) -> String {
    match value {
        "" => format!("{name}:\n"),
        value => format!("{name}: {value}\n"),
    }
}

/// Bytes as lowercase hexadecimal text.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes from hexadecimal text; none where it is not such text.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
