//! A golden file that differs from what the code builds fails its test, in whichever way it differs.

use golden_examples::{hex, unhex, Examples};
use std::path::PathBuf;

/// A file with this text, in a folder of this test alone.
fn file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("golden-examples");
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join(name);
    std::fs::write(&file, text).unwrap();
    file
}

fn examples() -> Examples {
    let mut examples = Examples::default();
    examples.add_bytes("first", &[0x00, 0xab]);
    examples.add("empty", "");
    examples.add("last", "a: b");
    examples
}

#[test]
fn what_the_file_holds_is_handed_back_by_name() {
    let kept = examples().compare(file("same.txt", "first: 00ab\nempty:\nlast: a: b\n"));
    assert_eq!(kept.bytes("first"), [0x00, 0xab]);
    assert_eq!((kept.text("empty"), kept.text("last")), ("", "a: b"));
}

#[test]
#[should_panic(expected = "line 1:")]
fn another_value_fails() {
    examples().compare(file("value.txt", "first: 00ac\nempty:\nlast: a: b\n"));
}

#[test]
#[should_panic(expected = "line 4:")]
fn a_name_that_is_not_built_fails() {
    examples().compare(file(
        "more.txt",
        "first: 00ab\nempty:\nlast: a: b\nmore: 1\n",
    ));
}

#[test]
#[should_panic(expected = "line 3:")]
fn a_name_that_the_file_lacks_fails() {
    examples().compare(file("less.txt", "first: 00ab\nempty:\n"));
}

#[test]
#[should_panic(expected = "stands twice")]
fn a_name_is_used_once() {
    let mut examples = examples();
    examples.add("first", 1);
}

#[test]
fn hexadecimal_text_is_read_back_and_nothing_else_is_read() {
    let bytes: Vec<u8> = (0..=255).collect();
    assert_eq!(unhex(&hex(&bytes)), Some(bytes));
    assert_eq!((unhex("0"), unhex("0g"), unhex("+1")), (None, None, None));
}
