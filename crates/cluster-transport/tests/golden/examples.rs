//! Examples that are kept in files beside this one, and the two forms in which they are kept.
//!
//! Binary examples are one `name: hex` line each. HTTP messages are sections that begin with `[name]`; there the end of a
//! line stands as `\r\n` before the end of the file's own line.

use lupinrack_golden_files::{check_text, path, GoldenFile, KeptExamples};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// How the end of a line in an HTTP message is written.
const LINE_END: &str = "\\r\\n";

fn path_of(file: &str) -> PathBuf {
    Path::new(path!()).join(file)
}

/// Checks that the file holds these bytes and nothing else, and gives what it holds.
pub fn assert_hex(file: &str, examples: &[(String, Vec<u8>)]) -> KeptExamples {
    let mut golden = GoldenFile::open(path_of(file));
    for (name, bytes) in examples {
        golden.add_bytes(name, bytes);
    }
    golden.check()
}

/// Checks that the file holds these HTTP messages and nothing else, and gives what it holds by name.
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
