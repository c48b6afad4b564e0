//! Examples that are kept in files beside this one, and the two forms in which they are kept.
//!
//! Binary examples are one `name: hex` line each. HTTP messages are sections that begin with `[name]`; there the end of a
//! line stands as `\r\n` before the end of the file's own line.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::{env, fs};

/// The environment variable that, set to 1, makes the tests write the files anew.
const UPDATE_GOLDEN: &str = "UPDATE_GOLDEN";

/// How the end of a line in an HTTP message is written.
const LINE_END: &str = "\\r\\n";

/// Checks that the file holds these bytes and nothing else, and gives what it holds by name.
pub fn assert_hex(file: &str, examples: &[(String, Vec<u8>)]) -> BTreeMap<String, Vec<u8>> {
    let line = |(name, bytes): &(String, Vec<u8>)| format!("{name}: {}\n", to_hex(bytes));
    let kept = assert_file(file, &examples.iter().map(line).collect::<String>());
    let lines = kept.lines().map(|line| line.split_once(": ").unwrap());
    let kept: BTreeMap<_, _> = lines
        .map(|(name, hex)| (name.to_owned(), from_hex(hex)))
        .collect();
    assert_eq!(kept.len(), examples.len(), "two examples have one name");
    kept
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
    let kept = assert_file(file, &examples.iter().map(section).collect::<String>());
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

/// Checks that the file holds this text and nothing else, and gives the text of the file.
fn assert_file(file: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if env::var(UPDATE_GOLDEN).is_ok_and(|value| value == "1") {
        fs::write(&path, text).unwrap();
    }
    let kept =
        fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    for (kept, built) in kept.lines().zip(text.lines()) {
        assert_eq!(
            kept, built,
            "{file} holds another line than the test builds"
        );
    }
    assert_eq!(
        kept.lines().count(),
        text.lines().count(),
        "{file} holds other examples than the test builds"
    );
    assert!(kept == text, "{file} differs in the ends of its lines");
    kept
}

/// Lowercase hexadecimal digits, two a byte.
fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of what [`to_hex`] gave.
fn from_hex(text: &str) -> Vec<u8> {
    let byte = |start| u8::from_str_radix(&text[start..start + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}
