//! What a comparison with a golden file finds.

use lupinrack_golden_files::{compare_text, from_hex, to_hex, GoldenFile};
use std::fs;
use std::panic::catch_unwind;
use std::path::PathBuf;

/// A file of this name that holds `text`.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder can be written");
    path
}

/// Whether the examples `one` and `two` fit a file with this text.
fn fits(name: &str, text: &str) -> bool {
    let path = file(name, text);
    let compare = || {
        let mut golden = GoldenFile::open(path);
        golden.borsh("one", &1u16);
        golden.borsh("two", &Some(2u8));
        golden.finish();
    };
    catch_unwind(compare).is_ok()
}

#[test]
fn examples_that_are_as_they_were_fit() {
    assert!(fits("same.hex", "one: 0100\ntwo: 0102\n"));
}

#[test]
fn a_changed_missing_or_additional_example_does_not_fit() {
    assert!(!fits("changed.hex", "one: 0101\ntwo: 0102\n"));
    assert!(!fits("missing.hex", "one: 0100\n"));
    assert!(!fits("additional.hex", "one: 0100\ntwo: 0102\nthree: 00\n"));
    assert!(!fits("order.hex", "two: 0102\none: 0100\n"));
    assert!(!fits("cut.hex", "one: 0100\ntwo: 0102"));
}

#[test]
fn a_missing_file_and_a_name_used_twice_do_not_fit() {
    assert!(catch_unwind(|| GoldenFile::open("no/such/file.hex")).is_err());
    let path = file("twice.hex", "one: 00\none: 00\n");
    let twice = || {
        let mut golden = GoldenFile::open(path);
        golden.bytes("one", &[0]);
        golden.bytes("one", &[0]);
        golden.finish();
    };
    assert!(catch_unwind(twice).is_err());
}

#[test]
fn texts_are_compared_whole() {
    let path = file("text.json", "{\n}\n");
    compare_text(&path, "{\n}\n");
    assert!(catch_unwind(|| compare_text(&path, "{\n}")).is_err());
}

#[test]
fn hexadecimal_digits_are_read_as_they_were_written() {
    let bytes: Vec<u8> = (0..=u8::MAX).collect();
    assert_eq!(from_hex(&to_hex(&bytes)), bytes);
    assert_eq!(to_hex(&[0, 10, 255]), "000aff");
    assert!(catch_unwind(|| from_hex("0")).is_err());
    assert!(catch_unwind(|| from_hex("0g")).is_err());
}
