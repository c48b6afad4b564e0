//! Tests of the comparison with golden files.

use lupinrack_golden_files::{check_folder, check_text, from_hex, path, to_hex, GoldenFile};
use std::fs;
use std::panic::catch_unwind;
use std::path::PathBuf;

/// Creates an empty folder of this name for a single test.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // An earlier run may have left the folder.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("the folder can be made");
    folder
}

/// Writes a file of this name with `text`.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder can be written");
    path
}

/// Whether the examples `one` and `two` match a file with this text.
fn examples_match(name: &str, text: &str) -> bool {
    let path = file(name, text);
    let compare = || {
        let mut golden = GoldenFile::open(path);
        golden.add_borsh("one", &1u16);
        golden.add_borsh("two", &Some(2u8));
        golden.check();
    };
    catch_unwind(compare).is_ok()
}

#[test]
fn unchanged_examples_match() {
    assert!(examples_match("same.hex", "one: 0100\ntwo: 0102\n"));
}

#[test]
fn a_changed_missing_or_additional_example_does_not_match() {
    assert!(!examples_match("changed.hex", "one: 0101\ntwo: 0102\n"));
    assert!(!examples_match("missing.hex", "one: 0100\n"));
    assert!(!examples_match(
        "additional.hex",
        "one: 0100\ntwo: 0102\nthree: 00\n"
    ));
    assert!(!examples_match("order.hex", "two: 0102\none: 0100\n"));
    assert!(!examples_match(
        "doubled.hex",
        "one: 0100\ntwo: 0102\ntwo: 0102\n"
    ));
    assert!(!examples_match("cut.hex", "one: 0100\ntwo: 0102"));
}

#[test]
fn a_missing_file_or_a_duplicate_name_is_rejected() {
    assert!(catch_unwind(|| GoldenFile::open("no/such/file.hex")).is_err());
    let path = file("twice.hex", "one: 00\none: 00\n");
    let twice = || {
        let mut golden = GoldenFile::open(path);
        golden.add_bytes("one", &[0]);
        golden.add_bytes("one", &[0]);
        golden.check();
    };
    assert!(catch_unwind(twice).is_err());
}

#[test]
fn a_name_or_text_that_cannot_be_parsed_again_is_rejected() {
    for (name, text) in [("a: b", "c"), ("a\nb", "c"), ("a", "b\nc")] {
        let path = file("unreadable.txt", "");
        let add = || {
            let mut golden = GoldenFile::open(path);
            golden.add(name, text);
        };
        assert!(catch_unwind(add).is_err(), "{name:?}: {text:?}");
    }
}

#[test]
fn kept_examples_are_returned_by_name() {
    let path = file("kept.txt", "bytes: 00ab\nempty: \ntext: a: b\n");
    let mut golden = GoldenFile::open(path);
    assert_eq!(golden.kept_text("text"), Some("a: b"));
    assert_eq!(golden.kept_bytes("bytes"), Some(vec![0, 0xab]));
    assert_eq!(golden.kept_text("other"), None);
    golden.add_bytes("bytes", &[0, 0xab]);
    golden.add("empty", "");
    golden.add("text", "a: b");
    let kept = golden.check();
    assert_eq!(kept.bytes("bytes"), [0, 0xab]);
    let all: Vec<(&str, &str)> = kept.iter().collect();
    assert_eq!(all, [("bytes", "00ab"), ("empty", ""), ("text", "a: b")]);
    assert!(catch_unwind(|| kept.text("other").len()).is_err());
}

#[test]
fn texts_are_compared_byte_for_byte() {
    let path = file("text.json", "{\n}\n");
    assert_eq!(check_text(&path, "{\n}\n"), "{\n}\n");
    assert!(catch_unwind(|| check_text(&path, "{\n}")).is_err());
}

#[test]
fn a_folder_must_contain_exactly_the_built_files() {
    let folder = folder("listed");
    fs::write(folder.join("one.txt"), "").expect("the folder can be written");
    fs::write(folder.join("two.txt"), "").expect("the folder can be written");
    check_folder(&folder, ["two.txt", "one.txt"]);
    assert!(catch_unwind(|| check_folder(&folder, ["one.txt"])).is_err());
    let more = ["one.txt", "two.txt", "three.txt"];
    assert!(catch_unwind(|| check_folder(&folder, more)).is_err());
    let twice = ["one.txt", "two.txt", "two.txt"];
    assert!(catch_unwind(|| check_folder(&folder, twice)).is_err());
}

#[test]
fn paths_lead_to_the_folder_of_the_calling_crate() {
    assert_eq!(
        path!("a.txt"),
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/a.txt")
    );
    assert_eq!(
        path!(),
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden")
    );
}

#[test]
fn hexadecimal_encoding_round_trips() {
    let bytes: Vec<u8> = (0..=u8::MAX).collect();
    assert_eq!(from_hex(&to_hex(&bytes)), bytes);
    assert_eq!(to_hex(&[0, 10, 255]), "000aff");
    for no_hex in ["0", "0g", "+1", "0é"] {
        assert!(catch_unwind(|| from_hex(no_hex)).is_err(), "{no_hex}");
    }
}
