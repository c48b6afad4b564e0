//! Files of encoded examples under `tests/golden/`, one `name: example` a line. They pin what is written to sockets and
//! disks: a change that alters one of these bytes breaks peers and stored data of other versions.
//!
//! `UPDATE_GOLDEN=1 cargo test --test golden` writes the files anew; a plain run fails on any difference.

// Each test file uses some of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Set to `1`, has the tests write the files in place of comparing.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// The examples of one file, in its order.
pub struct GoldenFile {
    name: &'static str,
    examples: Vec<(String, String)>,
}

impl GoldenFile {
    /// The file `tests/golden/<name>`, with no examples yet.
    pub fn new(name: &'static str) -> GoldenFile {
        GoldenFile {
            name,
            examples: Vec::new(),
        }
    }

    /// Adds an example. It must fit a line.
    pub fn add(&mut self, name: impl Into<String>, example: impl Into<String>) {
        let (name, example) = (name.into(), example.into());
        assert!(
            !name.contains(": ") && !example.contains('\n'),
            "{name} does not fit a line"
        );
        assert!(
            self.examples.iter().all(|(other, _)| *other != name),
            "{name} is built twice"
        );
        self.examples.push((name, example));
    }

    /// Adds an example of a binary form.
    pub fn add_bytes(&mut self, name: impl Into<String>, bytes: &[u8]) {
        self.add(name, hex(bytes));
    }

    /// Compares the file with what was added, byte for byte, and returns the file's examples by their names.
    pub fn check(self) -> BTreeMap<String, String> {
        let built: String =
            self.examples
                .iter()
                .fold(String::new(), |mut text, (name, example)| {
                    let _ = writeln!(text, "{name}: {example}");
                    text
                });
        let kept = check_text(self.name, &built);
        let examples = kept
            .lines()
            .map(|line| line.split_once(": ").expect("`name: example`"));
        examples
            .map(|(name, example)| (name.to_owned(), example.to_owned()))
            .collect()
    }
}

/// Compares a whole file with a text, byte for byte, and returns the file's text.
pub fn check_text(name: &str, built: &str) -> String {
    let path = folder().join(name);
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        std::fs::write(&path, built).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
    let kept = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    if kept != built {
        panic!(
            "{name} differs from what is built:\n{}",
            differences(&kept, built)
        );
    }
    kept
}

/// Checks that the folder holds these files and no others, so that none is left that no test reads.
pub fn check_folder(names: &[&str]) {
    let entries = std::fs::read_dir(folder()).expect("the folder of the golden files");
    let mut found: Vec<String> = entries
        .map(|entry| {
            entry
                .expect("an entry")
                .file_name()
                .into_string()
                .expect("a name")
        })
        .collect();
    found.sort();
    let mut expected = names.to_vec();
    expected.sort_unstable();
    assert_eq!(found, expected);
}

/// Bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads what [`hex`] wrote.
pub fn unhex(digits: &str) -> Vec<u8> {
    assert!(digits.len().is_multiple_of(2), "half a byte: {digits}");
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// The first lines that differ; a line that only the file has is marked `-`, one that only was built `+`.
fn differences(kept: &str, built: &str) -> String {
    const LINES_MOST: usize = 6;
    let (kept, built): (Vec<&str>, Vec<&str>) = (kept.lines().collect(), built.lines().collect());
    let removed = kept
        .iter()
        .filter(|line| !built.contains(line))
        .map(|line| format!("- {line}"));
    let added = built
        .iter()
        .filter(|line| !kept.contains(line))
        .map(|line| format!("+ {line}"));
    let lines: Vec<String> = removed
        .take(LINES_MOST)
        .chain(added.take(LINES_MOST))
        .collect();
    lines.join("\n")
}
