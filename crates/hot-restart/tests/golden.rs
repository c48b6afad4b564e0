//! The format of the share files, pinned by the golden file in `tests/golden/`. During an upgrade, processes of two
//! versions read each other's files.

use lupinrack_golden_files::{check_folder, path, GoldenFile};
use lupinrack_hot_restart::{OtherProcesses, ShareFile};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// The largest number of processes of one front.
const MAX_PROCESSES: usize = 64;

/// A folder for one test, removed at its end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        static FOLDERS_CREATED: AtomicU32 = AtomicU32::new(0);
        let number = FOLDERS_CREATED.fetch_add(1, Ordering::Relaxed);
        let name = format!("lupinrack-takeover-{}-{name}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }

    /// The contents of all files in it, by file name.
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

/// The names of the examples, the published shares, and the shares that others read.
const SHARES: [(&str, f64, f64); 9] = [
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
fn files_have_the_format_that_other_processes_read() {
    let folder = TestFolder::new("form");
    let mut file = GoldenFile::open(path!("files.txt"));
    let old = ShareFile::create(&folder.0).expect("a share file");
    for (name, share, _) in SHARES {
        old.publish(share).expect("published");
        for (file_name, bytes) in folder.files() {
            file.add(
                format!("{name} | {file_name}"),
                bytes.escape_ascii().to_string(),
            );
        }
    }
    old.publish(0.25).expect("published");
    let new = ShareFile::create(&folder.0).expect("a share file");
    for (file_name, bytes) in folder.files() {
        file.add(
            format!("two processes | {file_name}"),
            bytes.escape_ascii().to_string(),
        );
    }
    assert_eq!(
        new.read_others().expect("the other processes"),
        OtherProcesses {
            older_shares: vec![0.25],
            has_newer: false
        }
    );
    assert_eq!(
        old.read_others().expect("the other processes"),
        OtherProcesses {
            older_shares: vec![],
            has_newer: true
        }
    );
    let golden = file.check();
    for (name, _, read) in SHARES {
        let text = golden
            .text(&format!("{name} | lupinrack-part-1"))
            .replace("\\n", "\n");
        assert_eq!(read_by_new_process(text.as_bytes()), [read], "{name}");
    }
}

/// The older shares that a new process reads when a running process has this file.
fn read_by_new_process(bytes: &[u8]) -> Vec<f64> {
    let folder = TestFolder::new("read");
    let path = folder.0.join("lupinrack-part-1");
    std::fs::write(&path, bytes).expect("a file");
    let running = File::open(&path).expect("a file");
    running.lock().expect("a lock");
    let new = ShareFile::create(&folder.0).expect("a share file");
    let others = new.read_others().expect("the other processes");
    assert!(!others.has_newer);
    others.older_shares
}

#[test]
fn a_malformed_file_counts_as_a_share_of_one() {
    for damaged in [
        "",
        "0500000",
        "0500000ffffffff\n",
        "nonsense\n",
        "0500000x1234567\n",
    ] {
        assert_eq!(read_by_new_process(damaged.as_bytes()), [1.0], "{damaged}");
    }
}

#[test]
fn error_texts_match_the_golden_file() {
    let folder = TestFolder::new("errors");
    for number in 1..=MAX_PROCESSES {
        std::fs::write(folder.0.join(format!("lupinrack-part-{number}")), "").expect("a file");
    }
    let error = ShareFile::create(&folder.0)
        .expect_err("too many files")
        .to_string();
    let mut file = GoldenFile::open(path!("errors.txt"));
    file.add(
        "no room",
        error.replace(&folder.0.display().to_string(), "FOLDER"),
    );
    file.check();
}

#[test]
fn every_golden_file_is_checked() {
    check_folder(path!(), ["errors.txt", "files.txt"]);
}
