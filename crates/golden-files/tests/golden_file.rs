//! What a comparison with a golden file finds.

use lupinrack_golden_files::{check_folder, check_text, from_hex, path, to_hex, GoldenFile};
use std::fs;
use std::panic::catch_unwind;
use std::path::PathBuf;

/// A folder of this name for one test alone.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // What an earlier run left.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("the folder can be made");
    folder
}

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
        golden.add_borsh("one", &1u16);
        golden.add_borsh("two", &Some(2u8));
        golden.check();
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
    assert!(!fits("doubled.hex", "one: 0100\ntwo: 0102\ntwo: 0102\n"));
    assert!(!fits("cut.hex", "one: 0100\ntwo: 0102"));
}

#[test]
fn a_missing_file_and_a_name_used_twice_do_not_fit() {
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
fn a_name_or_a_text_that_could_not_be_read_back_is_refused() {
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
fn what_the_file_holds_is_returned_by_name() {
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
fn texts_are_compared_to_their_last_byte() {
    let path = file("text.json", "{\n}\n");
    assert_eq!(check_text(&path, "{\n}\n"), "{\n}\n");
    assert!(catch_unwind(|| check_text(&path, "{\n}")).is_err());
}

#[test]
fn a_folder_holds_the_files_that_are_built_and_no_others() {
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
fn paths_lead_to_the_folder_of_the_crate_that_calls() {
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
fn hexadecimal_digits_are_read_as_they_were_written() {
    let bytes: Vec<u8> = (0..=u8::MAX).collect();
    assert_eq!(from_hex(&to_hex(&bytes)), bytes);
    assert_eq!(to_hex(&[0, 10, 255]), "000aff");
    for no_hex in ["0", "0g", "+1", "0é"] {
        assert!(catch_unwind(|| from_hex(no_hex)).is_err(), "{no_hex}");
    }
}
