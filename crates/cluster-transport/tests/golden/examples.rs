//! Examples in golden files, and their two formats.
//!
//! Binary examples are one `name: hex` line each. HTTP messages are sections that begin with `[name]`; there each end
//! of a line is written as the text `\r\n` followed by the line end of the file.

use lupinrack_golden_files::{check_text, path, GoldenFile, KeptExamples};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// How the end of a line in an HTTP message is written.
const LINE_END: &str = "\\r\\n";

fn path_of(file: &str) -> PathBuf {
    Path::new(path!()).join(file)
}

/// Checks that the file holds exactly these bytes, and returns its content.
pub fn assert_hex(file: &str, examples: &[(String, Vec<u8>)]) -> KeptExamples {
    let mut golden = GoldenFile::open(path_of(file));
    for (name, bytes) in examples {
        golden.add_bytes(name, bytes);
    }
    golden.check()
}

/// Checks that the file holds exactly these HTTP messages, and returns its content by name.
pub fn assert_http(file: &str, examples: &[(String, String)]) -> BTreeMap<String, String> {
    let section = |(name, message): &(String, String)| {
        assert!(
            !message.replace("\r\n", "").contains(['\r', '\n', '\\']),
            "{name} cannot be written"
        );
        format!(
            "[{name}]\n{}\n",
            message.replace("\r\n", &format!("{LINE_END}\n"))
        )
    };
    let built: String = examples.iter().map(section).collect();
    let kept = check_text(path_of(file), &built);
    let sections = kept
        .strip_prefix('[')
        .unwrap()
        .split("\n[")
        .map(|section| section.split_once("]\n").unwrap());
    let message = |text: &str| text.replace('\n', "").replace(LINE_END, "\r\n");
    let kept: BTreeMap<_, _> = sections
        .map(|(name, text)| (name.to_owned(), message(text)))
        .collect();
    assert_eq!(kept.len(), examples.len(), "two examples have one name");
    kept
}
