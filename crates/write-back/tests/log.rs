//! The log over crashes of a simulated disk, damage, and a real folder.

mod simulated_disk;

use lupinrack_write_back::{
    decode, encode, AcceptedWrite, AttemptOutcome, Disk, DiskError, Folder, FolderError,
    FrameError, Log, Moment, OpenError, Record, RetryStatus, SegmentId, WriteError, WriteId,
    WriteTable,
};
use simulated_disk::SimDisk;

fn taken(n: u64, size: usize) -> Record {
    Record::Accepted(AcceptedWrite {
        write: WriteId(n),
        volume: n % 5,
        plan: "basic".into(),
        milliunits: 2_000,
        key: format!("k-{n}").into_bytes(),
        target: b"/new-write/7f3a9c21e0b4d655".to_vec(),
        body: vec![n as u8; size],
        give_up: 7,
    })
}

/// Ten thousand crashes: what was synced is always there, what is there is what was written, in order, and the log
/// goes on from it.
#[test]
fn a_crash_anywhere_leaves_a_prefix_with_all_that_was_synced() {
    let mut crashes = 0;
    for seed in 0..500 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let (mut disk, mut wrote, mut lasting, mut number) = (SimDisk::default(), Vec::new(), 0, 0);
        for _ in 0..20 {
            let (mut log, found) =
                Log::open(disk, 3_000).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
            let found: Vec<Record> = found.records.into_iter().map(|r| r.1).collect();
            assert!(
                found.len() >= lasting,
                "seed {seed}: {} of {lasting} synced records",
                found.len()
            );
            assert_eq!(found[..], wrote[..found.len()], "seed {seed}");
            wrote.truncate(found.len());
            for _ in 0..dice.usize(0..12) {
                number += 1;
                let record = taken(number, dice.usize(0..1_500));
                log.append(&record).unwrap();
                wrote.push(record);
                if dice.u32(0..3) == 0 {
                    log.sync().unwrap();
                }
            }
            lasting = found.len();
            if dice.bool() {
                log.sync().unwrap();
                lasting = wrote.len();
            }
            disk = log.into_disk();
            disk.crash(&mut dice);
            crashes += 1;
        }
    }
    assert_eq!(crashes, 10_000);
}

#[test]
fn damage_before_the_last_segment_refuses_the_start_with_its_place() {
    let (mut log, _) = Log::open(SimDisk::default(), 300).unwrap();
    for n in 0..12 {
        log.append(&taken(n, 100)).unwrap();
    }
    log.sync().unwrap();
    let disk = log.into_disk();
    let segments = disk.clone().list().unwrap();
    assert!(segments.len() > 3);
    for segment in &segments[..segments.len() - 1] {
        for at in 0..disk.length(*segment) {
            let mut bad = disk.clone();
            bad.damage(*segment, at);
            match Log::open(bad, 300) {
                Err(OpenError::Damaged {
                    segment: told,
                    offset,
                    ..
                }) => {
                    assert!(
                        told == segment.0 && offset <= at,
                        "{told:x} {offset} for {segment:?} {at}"
                    );
                }
                other => panic!("{segment:?} {at}: {other:?}"),
            }
        }
    }
    let mut gap = disk.clone();
    gap.remove(segments[1]).unwrap();
    assert!(
        matches!(Log::open(gap, 300), Err(OpenError::Damaged { .. })),
        "a segment is missing"
    );
    // In the last it is a torn end.
    let last = segments[segments.len() - 1];
    let mut torn = disk.clone();
    torn.damage(last, disk.length(last) - 1);
    let (_, found) = Log::open(torn, 300).unwrap();
    assert!(found.records.len() < 12 && found.torn > 0);
}

#[test]
fn a_sync_that_failed_and_a_full_disk_close_the_log() {
    let (mut log, _) = Log::open(SimDisk::failing_after(1), 1 << 20).unwrap();
    log.append(&taken(1, 10)).unwrap();
    assert_eq!(log.sync().unwrap(), 2);
    log.append(&taken(2, 10)).unwrap();
    assert!(matches!(log.sync(), Err(WriteError::Disk(_))));
    assert!(
        matches!(log.sync(), Err(WriteError::Closed)),
        "never tried again as if nothing had happened"
    );
    assert!(matches!(log.append(&taken(3, 10)), Err(WriteError::Closed)) && log.closed());
    let mut disk = log.into_disk();
    disk.crash(&mut fastrand::Rng::with_seed(1));
    let (_, found) = Log::open(disk, 1 << 20).unwrap();
    assert!(!found.records.is_empty(), "what was synced before is there");

    let (mut log, _) = Log::open(SimDisk::with_capacity(150), 1 << 20).unwrap();
    log.append(&taken(1, 10)).unwrap();
    log.sync().unwrap();
    assert!(matches!(
        log.append(&taken(2, 500)),
        Err(WriteError::Disk(DiskError::Full))
    ));
    assert!(log.closed());
    let (_, found) = Log::open(log.into_disk(), 1 << 20).unwrap();
    assert_eq!(found.records.len(), 1, "half a record is a torn end");
}

#[test]
fn segments_go_once_all_in_them_is_settled() {
    let (mut log, _) = Log::open(SimDisk::default(), 300).unwrap();
    let mut book = WriteTable::default();
    for n in 1..=12 {
        let record = taken(n, 100);
        book.apply(log.append(&record).unwrap(), &record);
    }
    let before = log.bytes();
    for n in (1..=12).filter(|n| *n != 5) {
        let record = Record::Resolved(WriteId(n));
        book.apply(log.append(&record).unwrap(), &record);
    }
    log.sync().unwrap();
    assert_eq!((book.needed_from(), book.next_id()), (Some(5), WriteId(13)));
    assert!(
        log.reclaim(book.needed_from().unwrap_or(log.next()))
            .unwrap()
            > 0
            && log.bytes() < before
    );
    let (mut log, found) = Log::open(log.into_disk(), 300).unwrap();
    let mut again = WriteTable::default();
    found.records.iter().for_each(|(s, r)| again.apply(*s, r));
    assert_eq!(
        again
            .pending()
            .map(|p| p.accepted.write)
            .collect::<Vec<_>>(),
        [WriteId(5)]
    );
    let record = Record::Resolved(WriteId(5));
    again.apply(log.append(&record).unwrap(), &record);
    log.reclaim(again.needed_from().unwrap_or(log.next()))
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
fn a_write_is_in_one_of_four_states_and_clocks_make_it_more_careful_only() {
    const WINDOW: i64 = 4_000_000;
    let attempt = |n, node: &str, shard, at| Record::Attempt {
        write: WriteId(1),
        attempt: n,
        node: node.into(),
        shard,
        at: moment(at, 7, 1_000_000_000 + at),
    };
    let ended = |n, outcome| Record::AttemptEnded {
        write: WriteId(1),
        attempt: n,
        outcome,
    };
    let standing = |records: &[Record], now: Moment| {
        let mut book = WriteTable::default();
        book.apply(1, &taken(1, 1));
        records.iter().zip(2..).for_each(|(r, s)| book.apply(s, r));
        let p = book
            .pending()
            .next()
            .expect("pending")
            .retry_status(now, WINDOW);
        p
    };
    let now = |ago: i64| moment(10_000_000 + ago, 7, 1_010_000_000 + ago);
    let first = attempt(0, "a", 3, 10_000_000);
    let past = |nodes: &[&str]| RetryStatus::WindowExpired {
        nodes: nodes.iter().map(|n| n.to_string()).collect(),
    };
    assert_eq!(standing(&[], now(0)), RetryStatus::NeverSent);
    assert_eq!(
        standing(
            &[first.clone(), ended(0, AttemptOutcome::NeverRan)],
            now(60_000_000)
        ),
        RetryStatus::NeverSent
    );
    assert_eq!(
        standing(
            &[first.clone(), ended(0, AttemptOutcome::Stored)],
            now(60_000_000)
        ),
        RetryStatus::Stored
    );
    let unknown = [first.clone()];
    assert_eq!(
        standing(&unknown, now(1_000_000)),
        RetryStatus::WithinWindow {
            shard: 3,
            remaining: 2_600_000
        }
    );
    assert_eq!(
        standing(&unknown, now(3_600_000)),
        past(&["a"]),
        "nine tenths of the window"
    );
    // Within one boot the wall clock does not count, however it was set.
    for wall in [0, 900_000_000, i64::MAX / 2] {
        let at = Moment {
            wall,
            ..now(1_000_000)
        };
        assert_eq!(
            standing(&unknown, at),
            RetryStatus::WithinWindow {
                shard: 3,
                remaining: 2_600_000
            }
        );
        // Over a boot it is all there is: more careful, whatever it says.
        assert_eq!(
            standing(
                &unknown,
                Moment {
                    boot: 8,
                    since_boot: 10_500_000,
                    wall
                }
            ),
            past(&["a"])
        );
    }
    assert_eq!(
        standing(&unknown, moment(9_000_000, 7, 0)),
        past(&["a"]),
        "a clock that cannot be"
    );
    // The window runs from the first that may have run; two shards share no memory of repeats.
    let twice = [
        first.clone(),
        ended(0, AttemptOutcome::MayHaveRun),
        attempt(1, "b", 3, 12_000_000),
    ];
    assert_eq!(
        standing(&twice, now(3_000_000)),
        RetryStatus::WithinWindow {
            shard: 3,
            remaining: 600_000
        }
    );
    assert_eq!(standing(&twice, now(4_000_000)), past(&["a", "b"]));
    let split = [first, attempt(1, "b", 4, 10_000_000)];
    assert_eq!(standing(&split, now(1)), past(&["a", "b"]));
}

#[test]
fn no_bytes_are_read_as_another_record() {
    let frame = encode(9, &taken(3, 50)).unwrap();
    assert_eq!(decode(&frame, 9).unwrap(), (taken(3, 50), frame.len()));
    assert_eq!(
        decode(&frame, 10),
        Err(FrameError::Sequence),
        "left over from another life"
    );
    for at in 0..frame.len() {
        let mut bad = frame.clone();
        bad[at] ^= 1;
        assert!(decode(&bad, 9).is_err(), "byte {at}");
        assert!(decode(&frame[..at], 9).is_err());
    }
    let mut dice = fastrand::Rng::with_seed(4);
    for _ in 0..20_000 {
        let noise: Vec<u8> = (0..dice.usize(0..200)).map(|_| dice.u8(..)).collect();
        assert!(decode(&noise, 9).is_err());
    }
}

#[test]
fn a_folder_keeps_what_it_was_given_and_lets_no_second_start_in() {
    let path = std::env::temp_dir().join(format!("lupinrack-log-{}", std::process::id()));
    let folder = Folder::open(&path).unwrap();
    assert!(matches!(Folder::open(&path), Err(FolderError::InUse(_))));
    let (mut log, _) = Log::open(folder, 500).unwrap();
    for n in 1..=10 {
        log.append(&taken(n, 100)).unwrap();
    }
    log.sync().unwrap();
    drop(log);
    let (mut log, found) = Log::open(Folder::open(&path).unwrap(), 500).unwrap();
    assert_eq!((found.records.len(), found.torn), (10, 0));
    log.append(&taken(11, 100)).unwrap();
    assert!(log.reclaim(8).unwrap() > 0);
    let mut disk = log.into_disk();
    let last: SegmentId = *disk.list().unwrap().last().unwrap();
    disk.append(last, b"torn").unwrap();
    drop(disk);
    let (_, found) = Log::open(Folder::open(&path).unwrap(), 500).unwrap();
    assert_eq!(
        (found.torn, found.records.last().map(|r| &r.1)),
        (4, Some(&taken(11, 100)))
    );
    std::fs::remove_dir_all(&path).unwrap();
}
