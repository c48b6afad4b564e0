//! Golden tests of the encoded records, the files of a log, the decisions of the buffer and the error texts.

mod golden_trace;

use lupinrack_golden_files::{check_folder, from_hex, path, to_hex, GoldenFile};
use lupinrack_write_back::{
    decode, encode, inspect, AcceptedWrite, AttemptOutcome, Disk, DiskError, Folder, FolderError,
    FrameError, Log, Moment, OpenError, Record, Recovered, RetryStatus, SegmentId, WriteError,
    WriteId, WriteTable,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Segment size, small so that a few records fill several segments.
const SEGMENT_BYTES: u64 = 150;

/// Repeat window of writes with an idempotency key.
const REPEAT_WINDOW_US: i64 = 4_000_000;

fn accepted_write(write: u64) -> AcceptedWrite {
    AcceptedWrite {
        write: WriteId(write),
        volume: 0x1122_3344_5566_7788,
        plan: "basic".into(),
        milliunits: 2_000_000_001,
        key: b"key-\x00\xff".to_vec(),
        target: b"/new-write/7f3a9c21?x=1".to_vec(),
        body: (1..=write as u8).collect(),
        give_up: 1_700_000_000_123_456,
    }
}

fn empty_write() -> AcceptedWrite {
    AcceptedWrite {
        write: WriteId(0),
        volume: 0,
        plan: String::new(),
        milliunits: 0,
        key: Vec::new(),
        target: Vec::new(),
        body: Vec::new(),
        give_up: -1,
    }
}

fn attempt(write: u64, attempt: u16, node: &str, shard: u32) -> Record {
    let at = Moment {
        since_boot: 12_345_678,
        boot: 0xfeed_0000_0000_0001,
        wall: 1_700_000_001_000_002,
    };
    Record::Attempt {
        write: WriteId(write),
        attempt,
        node: node.into(),
        shard,
        at,
    }
}

fn ended(write: u64, attempt: u16, outcome: AttemptOutcome) -> Record {
    Record::AttemptEnded {
        write: WriteId(write),
        attempt,
        outcome,
    }
}

/// Records of every kind with their names in the golden file and their sequence numbers.
fn records() -> Vec<(&'static str, u64, Record)> {
    let early = Moment {
        since_boot: -5,
        boot: 0,
        wall: -6,
    };
    let early = Record::Attempt {
        write: WriteId(0),
        attempt: 0,
        node: String::new(),
        shard: 0,
        at: early,
    };
    vec![
        ("taken", 1, Record::Accepted(accepted_write(9))),
        ("taken, empty", 2, Record::Accepted(empty_write())),
        (
            "attempt",
            0x0102_0304_0506_0708,
            attempt(300, 4, "node-3", 70_000),
        ),
        ("attempt, least", 3, early),
        ("ended, held", 4, ended(300, 5, AttemptOutcome::Stored)),
        (
            "ended, never ran",
            5,
            ended(301, 6, AttemptOutcome::NeverRan),
        ),
        (
            "ended, may have run",
            6,
            ended(302, u16::MAX, AttemptOutcome::MayHaveRun),
        ),
        ("settled", u64::MAX, Record::Resolved(WriteId(u64::MAX))),
        (
            "barrier",
            7,
            Record::Barrier {
                volume: 0x8877_6655_4433_2211,
            },
        ),
        ("flush", 8, Record::Flush { volume: 17 }),
    ]
}

#[test]
fn encoded_records_match_the_golden_file() {
    let mut file = GoldenFile::open(path!("records.txt"));
    for (name, sequence, record) in records() {
        file.add_bytes(name, &encode(sequence, &record).expect("a frame"));
    }
    let golden = file.check();
    for (name, sequence, record) in records() {
        let frame = golden.bytes(name);
        assert_eq!(
            decode(&frame, sequence),
            Ok((record, frame.len())),
            "{name}"
        );
    }
}

/// Records of a small log with writes in each state, which fill several segments.
fn log_records() -> Vec<Record> {
    vec![
        Record::Accepted(accepted_write(1)),
        Record::Accepted(accepted_write(2)),
        attempt(1, 0, "node-a", 3),
        ended(1, 0, AttemptOutcome::Stored),
        Record::Barrier {
            volume: 0x1122_3344_5566_7788,
        },
        Record::Accepted(accepted_write(3)),
        attempt(2, 0, "node-b", 3),
        Record::Resolved(WriteId(1)),
        attempt(3, 0, "node-c", 4),
        ended(3, 0, AttemptOutcome::NeverRan),
        Record::Flush {
            volume: 0x1122_3344_5566_7788,
        },
        Record::Accepted(accepted_write(4)),
        attempt(4, 0, "node-d", 5),
        ended(4, 0, AttemptOutcome::MayHaveRun),
        attempt(4, 1, "node-e", 6),
        Record::Accepted(accepted_write(5)),
        attempt(5, 0, "node-f", 7),
        ended(5, 0, AttemptOutcome::Stored),
    ]
}

/// A temporary directory, removed when it is dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path =
            std::env::temp_dir().join(format!("lupinrack-golden-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }

    /// The contents of all files by name.
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

fn write_log(folder: &TestFolder) {
    let (mut log, _) =
        Log::open(Folder::open(&folder.0).expect("a folder"), SEGMENT_BYTES).expect("a log");
    for record in log_records() {
        log.append(&record).expect("written");
    }
    log.sync().expect("synced");
}

fn numbered(records: Vec<Record>) -> Vec<(u64, Record)> {
    (1..).zip(records).collect()
}

#[test]
fn the_files_of_a_closed_log_match_the_golden_file_and_are_recovered() {
    let written = TestFolder::new("written");
    write_log(&written);
    let mut file = GoldenFile::open(path!("closed-log.txt"));
    for (name, bytes) in written.files() {
        file.add_bytes(name, &bytes);
    }
    let golden = file.check();
    let copied = TestFolder::new("copied");
    for (name, digits) in golden.iter() {
        std::fs::write(copied.0.join(name), from_hex(digits)).expect("a file");
    }
    let mut folder = Folder::open(&copied.0).expect("a folder");
    let recovered = inspect(&mut folder).expect("a log");
    assert_eq!(
        recovered,
        Recovered {
            records: numbered(log_records()),
            torn_bytes: 0
        }
    );
    let (log, recovered) = Log::open(folder, SEGMENT_BYTES).expect("a log");
    assert_eq!((log.next_sequence(), recovered.records.len()), (19, 18));
    assert_eq!(retry_statuses(&recovered), expected_retry_statuses());
}

#[test]
fn a_torn_record_at_the_end_is_truncated() {
    let torn = TestFolder::new("torn");
    write_log(&torn);
    let last_segment = torn
        .files()
        .into_iter()
        .rfind(|(name, _)| name.ends_with(".log"))
        .expect("a segment");
    std::fs::write(
        torn.0.join(&last_segment.0),
        &last_segment.1[..last_segment.1.len() - 3],
    )
    .expect("a file");
    let (log, recovered) =
        Log::open(Folder::open(&torn.0).expect("a folder"), SEGMENT_BYTES).expect("a log");
    assert_eq!((log.next_sequence(), recovered.records.len()), (18, 17));
    let mut file = GoldenFile::open(path!("torn-log.txt"));
    file.add("torn bytes", recovered.torn_bytes.to_string());
    for (name, bytes) in torn.files() {
        file.add_bytes(name, &bytes);
    }
    file.check();
}

fn retry_statuses(recovered: &Recovered) -> BTreeMap<u64, RetryStatus> {
    let mut table = WriteTable::default();
    recovered
        .records
        .iter()
        .for_each(|(sequence, record)| table.apply(*sequence, record));
    let now = Moment {
        since_boot: 13_345_678,
        boot: 0xfeed_0000_0000_0001,
        wall: 0,
    };
    table
        .pending()
        .map(|pending| {
            (
                pending.accepted.write.0,
                pending.retry_status(now, REPEAT_WINDOW_US),
            )
        })
        .collect()
}

fn expected_retry_statuses() -> BTreeMap<u64, RetryStatus> {
    BTreeMap::from([
        (
            2,
            RetryStatus::WithinWindow {
                shard: 3,
                remaining: 2_600_000,
            },
        ),
        (3, RetryStatus::NeverSent),
        (
            4,
            RetryStatus::WindowExpired {
                nodes: vec!["node-d".into(), "node-e".into()],
            },
        ),
        (5, RetryStatus::Stored),
    ])
}

#[test]
fn error_texts_match_the_golden_file() {
    let mut file = GoldenFile::open(path!("errors.txt"));
    let unreadable = [
        ("short", FrameError::Truncated),
        ("length", FrameError::InvalidLength),
        ("checksum", FrameError::ChecksumMismatch),
        ("sequence", FrameError::SequenceMismatch),
        ("form", FrameError::UnknownBody),
    ];
    for (name, error) in unreadable {
        file.add(format!("unreadable, {name}"), error.to_string());
    }
    let failed = || DiskError::Failed("a medium that fails".into());
    file.add("disk, full", DiskError::Full.to_string());
    file.add("disk, failed", failed().to_string());
    file.add("open, disk", OpenError::from(failed()).to_string());
    let corrupt = OpenError::Corrupt {
        segment: 0x1f,
        offset: 77,
        reason: FrameError::ChecksumMismatch,
    };
    file.add("open, damaged", corrupt.to_string());
    file.add("write, disk", WriteError::from(failed()).to_string());
    file.add("write, closed", WriteError::Closed.to_string());
    file.add(
        "folder, in use",
        FolderError::InUse("/log".into()).to_string(),
    );
    let refused = std::io::Error::other("refused");
    file.add(
        "folder, other",
        FolderError::Io("/log".into(), refused).to_string(),
    );
    file.check();
}

#[test]
fn a_folder_lists_its_segments_in_order() {
    let folder = TestFolder::new("order");
    for name in [
        "00000000000000ff.log",
        "0000000000000100.log",
        "1.log",
        "notes.txt",
        "zz.log",
    ] {
        std::fs::write(folder.0.join(name), b"").expect("a file");
    }
    let mut disk = Folder::open(&folder.0).expect("a folder");
    assert_eq!(
        disk.list().expect("a list"),
        [SegmentId(1), SegmentId(0xff), SegmentId(0x100)]
    );
}

#[test]
fn short_traces_of_the_buffer_match_the_golden_file() {
    const STEPS: usize = 200;
    let mut file = GoldenFile::open(path!("buffer-trace.txt"));
    for seed in 1..=2 {
        for (step, line) in golden_trace::play(seed, STEPS).into_iter().enumerate() {
            file.add(format!("seed {seed} step {step}"), line);
        }
    }
    file.check();
}

#[test]
fn long_traces_of_the_buffer_match_their_digests() {
    const STEPS: usize = 2_000;
    let mut file = GoldenFile::open(path!("buffer-trace-digests.txt"));
    for seed in 100..140 {
        let lines = golden_trace::play(seed, STEPS);
        file.add(
            format!("seed {seed}"),
            to_hex(&golden_trace::digest(&lines).to_be_bytes()),
        );
    }
    file.check();
}

#[test]
fn every_golden_file_is_checked() {
    check_folder(
        path!(),
        [
            "buffer-trace-digests.txt",
            "buffer-trace.txt",
            "closed-log.txt",
            "errors.txt",
            "records.txt",
            "torn-log.txt",
        ],
    );
}
