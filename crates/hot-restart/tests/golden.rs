//! The files by which the processes of one front know of each other, pinned by the file under `tests/golden/`.
//! Processes of two versions read each other's files during an upgrade.

use lupinrack_golden_files::{check_folder, path, GoldenFile};
use lupinrack_hot_restart::{Post, Seen};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// The most processes of one front.
const PROCESSES_MOST: usize = 64;

/// A folder for one test, removed at its end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let name = format!("lupinrack-takeover-{}-{name}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }

    /// All files in it, by their names.
    fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let entries = std::fs::read_dir(&self.0).expect("a folder");
        let paths = entries.map(|entry| entry.expect("an entry").path());
        let name = |path: &Path| {
            path.file_name()
                .expect("a name")
                .to_string_lossy()
                .into_owned()
        };
        paths
            .map(|path| (name(&path), std::fs::read(&path).expect("a file")))
            .collect()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Published parts, and what the others read of them.
const PARTS: [(&str, f64, f64); 9] = [
    ("nothing", 0.0, 0.0),
    ("all", 1.0, 1.0),
    ("half", 0.5, 0.5),
    ("a tenth", 0.1, 0.1),
    ("nine tenths", 0.9, 0.9),
    ("a third, never told as less", 1.0 / 3.0, 0.333_334),
    ("least", 1e-12, 0.000_001),
    ("below nothing", -3.0, 0.0),
    ("beyond all", 7.0, 1.0),
];

#[test]
fn files_have_the_form_that_other_processes_read() {
    let folder = TestFolder::new("form");
    let mut file = GoldenFile::open(path!("files.txt"));
    let old = Post::take(&folder.0).expect("a place");
    for (name, part, _) in PARTS {
        old.publish(part).expect("published");
        for (file_name, bytes) in folder.files() {
            file.add(
                format!("{name} | {file_name}"),
                bytes.escape_ascii().to_string(),
            );
        }
    }
    old.publish(0.25).expect("published");
    let new = Post::take(&folder.0).expect("a place");
    for (file_name, bytes) in folder.files() {
        file.add(
            format!("two processes | {file_name}"),
            bytes.escape_ascii().to_string(),
        );
    }
    assert_eq!(
        new.look().expect("a look"),
        Seen {
            before: vec![0.25],
            after: false
        }
    );
    assert_eq!(
        old.look().expect("a look"),
        Seen {
            before: vec![],
            after: true
        }
    );
    let kept = file.check();
    for (name, _, read) in PARTS {
        let text = kept
            .text(&format!("{name} | lupinrack-part-1"))
            .replace("\\n", "\n");
        assert_eq!(read_by_the_next(text.as_bytes()), [read], "{name}");
    }
}

/// What the next process reads of a living one with this file.
fn read_by_the_next(bytes: &[u8]) -> Vec<f64> {
    let folder = TestFolder::new("read");
    let path = folder.0.join("lupinrack-part-1");
    std::fs::write(&path, bytes).expect("a file");
    let living = File::open(&path).expect("a file");
    living.lock().expect("a lock");
    let next = Post::take(&folder.0).expect("a place");
    let seen = next.look().expect("a look");
    assert!(!seen.after);
    seen.before
}

#[test]
fn a_file_that_cannot_be_read_may_keep_all() {
    for damaged in [
        "",
        "0500000",
        "0500000ffffffff\n",
        "nonsense\n",
        "0500000x1234567\n",
    ] {
        assert_eq!(read_by_the_next(damaged.as_bytes()), [1.0], "{damaged}");
    }
}

#[test]
fn errors_are_told_as_before() {
    let folder = TestFolder::new("errors");
    for number in 1..=PROCESSES_MOST {
        std::fs::write(folder.0.join(format!("lupinrack-part-{number}")), "").expect("a file");
    }
    let error = Post::take(&folder.0).expect_err("no room").to_string();
    let mut file = GoldenFile::open(path!("errors.txt"));
    file.add(
        "no room",
        error.replace(&folder.0.display().to_string(), "FOLDER"),
    );
    file.check();
}

#[test]
fn every_golden_file_is_compared() {
    check_folder(path!(), ["errors.txt", "files.txt"]);
}
