//! Examples that are kept in files beside this one: one `name: hex` line each.

use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::PathBuf;
use std::{env, fs};

/// The environment variable that, set to 1, makes the tests write the files anew.
const UPDATE_GOLDEN: &str = "UPDATE_GOLDEN";

/// Checks that the file holds the encoded form of these values and nothing else, and that what it holds decodes to them.
pub fn assert_kept<T>(file: &str, examples: &[(String, T)])
where
    T: BorshSerialize + BorshDeserialize + PartialEq + Debug,
{
    let line = |(name, value): &(String, T)| {
        format!("{name}: {}\n", to_hex(&borsh::to_vec(value).unwrap()))
    };
    let kept = assert_file(file, &examples.iter().map(line).collect::<String>());
    let names: BTreeSet<&str> = examples.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names.len(), examples.len(), "two examples have one name");
    for ((name, value), line) in examples.iter().zip(kept.lines()) {
        let (_, hex) = line.split_once(": ").unwrap();
        assert_eq!(
            &borsh::from_slice::<T>(&from_hex(hex)).unwrap(),
            value,
            "{name}"
        );
    }
}

/// Checks that the file holds this text and nothing else, and gives the text of the file.
pub fn assert_file(file: &str, text: &str) -> String {
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
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of what [`to_hex`] gave.
pub fn from_hex(text: &str) -> Vec<u8> {
    let byte = |start| u8::from_str_radix(&text[start..start + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}
