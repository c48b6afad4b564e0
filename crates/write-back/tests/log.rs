//! Tests of the log: crashes and corruption on a simulated disk, and a real directory.

mod simulated_disk;

use lupinrack_write_back::{
    decode, encode, AcceptedWrite, AttemptOutcome, Disk, DiskError, Folder, FolderError,
    FrameError, Log, Moment, OpenError, Record, RetryStatus, SegmentId, WriteError, WriteId,
    WriteTable,
};
use simulated_disk::SimDisk;

fn accepted_record(number: u64, body_bytes: usize) -> Record {
    Record::Accepted(AcceptedWrite {
        write: WriteId(number),
        volume: number % 5,
        plan: "basic".into(),
        milliunits: 2_000,
        key: format!("k-{number}").into_bytes(),
        target: b"/new-write/7f3a9c21e0b4d655".to_vec(),
        body: vec![number as u8; body_bytes],
        give_up: 7,
    })
}

/// 10,000 random crashes. Recovery returns all synced records and a prefix of the written ones, and the log continues after
/// them.
#[test]
fn recovery_after_a_crash_returns_a_prefix_with_all_synced_records() {
    let mut crashes = 0;
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut disk, mut written, mut synced, mut number) =
            (SimDisk::default(), Vec::new(), 0, 0);
        for _ in 0..20 {
            let (mut log, recovered) =
                Log::open(disk, 3_000).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
            let recovered: Vec<Record> = recovered
                .records
                .into_iter()
                .map(|numbered| numbered.1)
                .collect();
            assert!(
                recovered.len() >= synced,
                "seed {seed}: {} of {synced} synced records",
                recovered.len()
            );
            assert_eq!(recovered[..], written[..recovered.len()], "seed {seed}");
            written.truncate(recovered.len());
            for _ in 0..random.usize(0..12) {
                number += 1;
                let record = accepted_record(number, random.usize(0..1_500));
                log.append(&record).unwrap();
                written.push(record);
                if random.u32(0..3) == 0 {
                    log.sync().unwrap();
                }
            }
            synced = recovered.len();
            if random.bool() {
                log.sync().unwrap();
                synced = written.len();
            }
            disk = log.into_disk();
            disk.crash(&mut random);
            crashes += 1;
        }
    }
    assert_eq!(crashes, 10_000);
}

#[test]
fn corruption_before_the_last_segment_is_an_error_with_its_position() {
    let (mut log, _) = Log::open(SimDisk::default(), 300).unwrap();
    for number in 0..12 {
        log.append(&accepted_record(number, 100)).unwrap();
    }
    log.sync().unwrap();
    let disk = log.into_disk();
    let segments = disk.clone().list().unwrap();
    assert!(segments.len() > 3);
    for segment in &segments[..segments.len() - 1] {
        for corrupt_offset in 0..disk.length(*segment) {
            let mut corrupt = disk.clone();
            corrupt.corrupt(*segment, corrupt_offset);
            match Log::open(corrupt, 300) {
                Err(OpenError::Corrupt {
                    segment: reported,
                    offset,
                    ..
                }) => {
                    assert!(
                        reported == segment.0 && offset <= corrupt_offset,
                        "reported {reported:x} {offset}, corrupted {segment:?} {corrupt_offset}"
                    );
                }
                other => panic!("{segment:?} {corrupt_offset}: {other:?}"),
            }
        }
    }
    let mut gap = disk.clone();
    gap.remove(segments[1]).unwrap();
    assert!(
        matches!(Log::open(gap, 300), Err(OpenError::Corrupt { .. })),
        "a segment is missing"
    );
    // In the last segment it counts as a torn write.
    let last = segments[segments.len() - 1];
    let mut torn = disk.clone();
    torn.corrupt(last, disk.length(last) - 1);
    let (_, recovered) = Log::open(torn, 300).unwrap();
    assert!(recovered.records.len() < 12 && recovered.torn_bytes > 0);
}

#[test]
fn a_failed_sync_or_a_full_disk_closes_the_log() {
    let (mut log, _) = Log::open(SimDisk::failing_after(1), 1 << 20).unwrap();
    log.append(&accepted_record(1, 10)).unwrap();
    assert_eq!(log.sync().unwrap(), 2);
    log.append(&accepted_record(2, 10)).unwrap();
    assert!(matches!(log.sync(), Err(WriteError::Disk(_))));
    assert!(
        matches!(log.sync(), Err(WriteError::Closed)),
        "a failed sync is not retried"
    );
    assert!(
        matches!(log.append(&accepted_record(3, 10)), Err(WriteError::Closed)) && log.is_closed()
    );
    let mut disk = log.into_disk();
    disk.crash(&mut fastrand::Rng::with_seed(1));
    let (_, recovered) = Log::open(disk, 1 << 20).unwrap();
    assert!(
        !recovered.records.is_empty(),
        "records synced before the failure are recovered"
    );

    let (mut log, _) = Log::open(SimDisk::with_capacity(150), 1 << 20).unwrap();
    log.append(&accepted_record(1, 10)).unwrap();
    log.sync().unwrap();
    assert!(matches!(
        log.append(&accepted_record(2, 500)),
        Err(WriteError::Disk(DiskError::Full))
    ));
    assert!(log.is_closed());
    let (_, recovered) = Log::open(log.into_disk(), 1 << 20).unwrap();
    assert_eq!(
        recovered.records.len(),
        1,
        "the partly written record counts as torn"
    );
}

#[test]
fn reclaim_removes_segments_without_pending_writes() {
    let (mut log, _) = Log::open(SimDisk::default(), 300).unwrap();
    let mut table = WriteTable::default();
    for number in 1..=12 {
        let record = accepted_record(number, 100);
        table.apply(log.append(&record).unwrap(), &record);
    }
    let bytes_before = log.bytes();
    for number in (1..=12).filter(|number| *number != 5) {
        let record = Record::Resolved(WriteId(number));
        table.apply(log.append(&record).unwrap(), &record);
    }
    log.sync().unwrap();
    assert_eq!(
        (table.needed_from(), table.next_id()),
        (Some(5), WriteId(13))
    );
    assert!(
        log.reclaim(table.needed_from().unwrap_or(log.next_sequence()))
            .unwrap()
            > 0
            && log.bytes() < bytes_before
    );
    let (mut log, recovered) = Log::open(log.into_disk(), 300).unwrap();
    let mut replayed = WriteTable::default();
    recovered
        .records
        .iter()
        .for_each(|(sequence, record)| replayed.apply(*sequence, record));
    assert_eq!(
        replayed
            .pending()
            .map(|pending| pending.accepted.write)
            .collect::<Vec<_>>(),
        [WriteId(5)]
    );
    let record = Record::Resolved(WriteId(5));
    replayed.apply(log.append(&record).unwrap(), &record);
    log.reclaim(replayed.needed_from().unwrap_or(log.next_sequence()))
        .unwrap();
    assert!(log.bytes() < 700, "{}", log.bytes());
}

fn moment(since_boot: i64, boot: u64, wall: i64) -> Moment {
    Moment {
        since_boot,
        boot,
        wall,
    }
}

#[test]
fn retry_status_depends_on_outcomes_shards_and_the_repeat_window() {
    const REPEAT_WINDOW_US: i64 = 4_000_000;
    let attempt = |number, node: &str, shard, at| Record::Attempt {
        write: WriteId(1),
        attempt: number,
        node: node.into(),
        shard,
        at: moment(at, 7, 1_000_000_000 + at),
    };
    let ended = |number, outcome| Record::AttemptEnded {
        write: WriteId(1),
        attempt: number,
        outcome,
    };
    let status_of = |records: &[Record], now: Moment| {
        let mut table = WriteTable::default();
        table.apply(1, &accepted_record(1, 1));
        records
            .iter()
            .zip(2..)
            .for_each(|(record, sequence)| table.apply(sequence, record));
        let status = table
            .pending()
            .next()
            .expect("pending")
            .retry_status(now, REPEAT_WINDOW_US);
        status
    };
    let after = |elapsed: i64| moment(10_000_000 + elapsed, 7, 1_010_000_000 + elapsed);
    let first = attempt(0, "a", 3, 10_000_000);
    let window_expired = |nodes: &[&str]| RetryStatus::WindowExpired {
        nodes: nodes.iter().map(|node| node.to_string()).collect(),
    };
    assert_eq!(status_of(&[], after(0)), RetryStatus::NeverSent);
    assert_eq!(
        status_of(
            &[first.clone(), ended(0, AttemptOutcome::NeverRan)],
            after(60_000_000)
        ),
        RetryStatus::NeverSent
    );
    assert_eq!(
        status_of(
            &[first.clone(), ended(0, AttemptOutcome::Stored)],
            after(60_000_000)
        ),
        RetryStatus::Stored
    );
    let unknown = [first.clone()];
    assert_eq!(
        status_of(&unknown, after(1_000_000)),
        RetryStatus::WithinWindow {
            shard: 3,
            remaining: 2_600_000
        }
    );
    assert_eq!(
        status_of(&unknown, after(3_600_000)),
        window_expired(&["a"]),
        "the retry window is nine tenths of the repeat window"
    );
    // Within one boot the wall clock has no influence.
    for wall in [0, 900_000_000, i64::MAX / 2] {
        let same_boot = Moment {
            wall,
            ..after(1_000_000)
        };
        assert_eq!(
            status_of(&unknown, same_boot),
            RetryStatus::WithinWindow {
                shard: 3,
                remaining: 2_600_000
            }
        );
        // After a reboot the window counts as expired, whatever the wall clock shows.
        assert_eq!(
            status_of(
                &unknown,
                Moment {
                    boot: 8,
                    since_boot: 10_500_000,
                    wall
                }
            ),
            window_expired(&["a"])
        );
    }
    assert_eq!(
        status_of(&unknown, moment(9_000_000, 7, 0)),
        window_expired(&["a"]),
        "a time before the attempt"
    );
    // The window starts with the first attempt that may have run. Shards do not share which writes they have run.
    let two_attempts = [
        first.clone(),
        ended(0, AttemptOutcome::MayHaveRun),
        attempt(1, "b", 3, 12_000_000),
    ];
    assert_eq!(
        status_of(&two_attempts, after(3_000_000)),
        RetryStatus::WithinWindow {
            shard: 3,
            remaining: 600_000
        }
    );
    assert_eq!(
        status_of(&two_attempts, after(4_000_000)),
        window_expired(&["a", "b"])
    );
    let two_shards = [first, attempt(1, "b", 4, 10_000_000)];
    assert_eq!(
        status_of(&two_shards, after(1)),
        window_expired(&["a", "b"])
    );
}

#[test]
fn corrupt_or_random_bytes_are_never_decoded() {
    let frame = encode(9, &accepted_record(3, 50)).unwrap();
    assert_eq!(
        decode(&frame, 9).unwrap(),
        (accepted_record(3, 50), frame.len())
    );
    assert_eq!(
        decode(&frame, 10),
        Err(FrameError::SequenceMismatch),
        "left over from an earlier use of the file"
    );
    for offset in 0..frame.len() {
        let mut corrupt = frame.clone();
        corrupt[offset] ^= 1;
        assert!(decode(&corrupt, 9).is_err(), "byte {offset}");
        assert!(decode(&frame[..offset], 9).is_err());
    }
    let mut random = fastrand::Rng::with_seed(4);
    for _ in 0..20_000 {
        let noise: Vec<u8> = (0..random.usize(0..200)).map(|_| random.u8(..)).collect();
        assert!(decode(&noise, 9).is_err());
    }
}

#[test]
fn a_folder_keeps_its_records_and_is_locked_while_open() {
    let path = std::env::temp_dir().join(format!("lupinrack-log-{}", std::process::id()));
    let folder = Folder::open(&path).unwrap();
    assert!(matches!(Folder::open(&path), Err(FolderError::InUse(_))));
    let (mut log, _) = Log::open(folder, 500).unwrap();
    for number in 1..=10 {
        log.append(&accepted_record(number, 100)).unwrap();
    }
    log.sync().unwrap();
    drop(log);
    let (mut log, recovered) = Log::open(Folder::open(&path).unwrap(), 500).unwrap();
    assert_eq!((recovered.records.len(), recovered.torn_bytes), (10, 0));
    log.append(&accepted_record(11, 100)).unwrap();
    assert!(log.reclaim(8).unwrap() > 0);
    let mut disk = log.into_disk();
    let last: SegmentId = *disk.list().unwrap().last().unwrap();
    disk.append(last, b"torn").unwrap();
    drop(disk);
    let (_, recovered) = Log::open(Folder::open(&path).unwrap(), 500).unwrap();
    assert_eq!(
        (
            recovered.torn_bytes,
            recovered.records.last().map(|numbered| &numbered.1)
        ),
        (4, Some(&accepted_record(11, 100)))
    );
    std::fs::remove_dir_all(&path).unwrap();
}
