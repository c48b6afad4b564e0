//! The result of opening a store: an empty disk, the complete state, or damage.

mod common;

use common::{append, entry, entry_of, open, settings};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_control_store::simulated::SimulatedDisk;
use lupinrack_control_store::{
    Batch, ControlStore, Directory, FailedCommit, InvalidBatch, LogBounds, Recovered, StoreError,
    StoreSettings, DATA_FILE, NEW_FILE,
};
use std::io::ErrorKind;
use std::sync::Arc;

fn full_batch() -> Batch {
    Batch {
        disk: Some(DiskId(7)),
        vote: Some(vec![1, 2, 3]),
        view: Some(vec![4; 500]),
        replica_status: Some(vec![8; 40]),
        snapshot: Some((4, vec![5; 200_000])),
        append: (5..=9).map(entry).collect(),
        committed: Some(8),
        ..Batch::default()
    }
}

fn committed(disk: &SimulatedDisk, batches: &[Batch]) {
    let (mut store, _) = open(disk).expect("opens");
    batches
        .iter()
        .for_each(|batch| store.commit(batch).expect("commits"));
}

fn found(disk: &SimulatedDisk) -> Recovered {
    open(disk).expect("opens").1
}

#[test]
fn an_empty_disk_contains_nothing() {
    let disk = SimulatedDisk::new();
    assert_eq!(found(&disk), Recovered::default());
    assert_eq!(disk.length(NEW_FILE).expect("readable"), None);
}

#[test]
fn everything_is_recovered() {
    let disk = SimulatedDisk::new();
    committed(&disk, &[full_batch()]);
    let expected = Recovered {
        disk: Some(DiskId(7)),
        vote: vec![1, 2, 3],
        view: vec![4; 500],
        replica_status: vec![8; 40],
        snapshot_index: 4,
        snapshot: vec![5; 200_000],
        entries: (5..=9).map(entry).collect(),
        committed: 8,
    };
    assert_eq!(found(&disk), expected);
}

#[test]
fn a_smaller_snapshot_replaces_a_larger_one_completely() {
    let disk = SimulatedDisk::new();
    let smaller = Batch {
        snapshot: Some((7, vec![6; 70_000])),
        ..Batch::default()
    };
    committed(&disk, &[full_batch(), smaller]);
    let found = found(&disk);
    assert_eq!((found.snapshot_index, found.snapshot), (7, vec![6; 70_000]));
    assert_eq!(found.entries, [entry(8), entry(9)]);
}

#[test]
fn a_received_snapshot_replaces_all_entries() {
    let disk = SimulatedDisk::new();
    let received = |index| Batch {
        truncate_after: Some(index),
        snapshot: Some((index, vec![1])),
        append: vec![entry(index + 1)],
        ..Batch::default()
    };
    committed(&disk, &[full_batch(), received(6)]);
    assert_eq!(found(&disk).entries, [entry(7)]);
    committed(&disk, &[received(30)]);
    assert_eq!(found(&disk).entries, [entry(31)]);
}

#[test]
fn entries_after_an_index_are_replaced() {
    let disk = SimulatedDisk::new();
    let other = entry_of(3, 5_000);
    let batch = Batch {
        truncate_after: Some(2),
        append: vec![other.clone()],
        ..Batch::default()
    };
    committed(&disk, &[append(1..=9), batch]);
    assert_eq!(found(&disk).entries, [entry(1), entry(2), other]);
}

#[test]
fn a_large_entry_is_recovered() {
    let disk = SimulatedDisk::new();
    let large = entry_of(1, 4_000_000);
    committed(
        &disk,
        &[Batch {
            append: vec![large.clone()],
            ..Batch::default()
        }],
    );
    assert_eq!(found(&disk).entries, [large]);
}

#[test]
fn batches_that_do_not_fit_change_nothing() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = open(&disk).expect("opens");
    store.commit(&full_batch()).expect("commits");
    let gap = store.commit_all(&[&append(10..=11), &append(13..=13)]);
    assert!(
        matches!(
            gap,
            Err(StoreError::InvalidBatch(InvalidBatch::Gap {
                expected: 12,
                found: 13
            }))
        ),
        "{gap:?}"
    );
    let twice = store.commit(&append(9..=9));
    assert!(
        matches!(
            twice,
            Err(StoreError::InvalidBatch(InvalidBatch::Gap {
                expected: 10,
                found: 9
            }))
        ),
        "{twice:?}"
    );
    let old = store.commit(&Batch {
        snapshot: Some((3, vec![])),
        ..Batch::default()
    });
    assert!(
        matches!(
            old,
            Err(StoreError::InvalidBatch(InvalidBatch::OldSnapshot {
                given: 3,
                current: 4
            }))
        ),
        "{old:?}"
    );
    assert_eq!(
        store.bounds(),
        LogBounds {
            snapshot: 4,
            last: 9
        }
    );
    store.commit(&append(10..=10)).expect("still open");
    drop(store);
    assert_eq!(found(&disk).entries.len(), 6);
}

#[test]
fn an_older_snapshot_is_accepted_where_there_are_no_entries() {
    let disk = SimulatedDisk::new();
    let older = Batch {
        truncate_after: Some(2),
        snapshot: Some((2, vec![9])),
        append: vec![entry(3)],
        ..Batch::default()
    };
    committed(&disk, &[full_batch(), older]);
    let found = found(&disk);
    assert_eq!((found.snapshot_index, found.entries), (2, vec![entry(3)]));
}

#[test]
fn a_file_of_no_bytes_is_an_empty_disk() {
    let disk = SimulatedDisk::new();
    disk.put(DATA_FILE, Vec::new());
    assert_eq!(found(&disk), Recovered::default());
    committed(&disk, &[append(1..=1)]);
    assert_eq!(found(&disk).entries.len(), 1);
}

#[test]
fn an_unfinished_file_is_created_again() {
    for rest in [
        vec![],
        vec![0; 100],
        vec![0; 2_000_000],
        b"redb".repeat(1000),
    ] {
        let disk = SimulatedDisk::new();
        disk.put(NEW_FILE, rest);
        assert_eq!(found(&disk), Recovered::default());
    }
}

fn assert_damaged(disk: &SimulatedDisk, what: &str) {
    match open(disk) {
        Err(StoreError::Damaged { file, .. }) => assert_eq!(file, DATA_FILE, "{what}"),
        Err(other) => panic!("{what}: {other}"),
        Ok(_) => panic!("{what}: opened"),
    }
}

#[test]
fn the_error_names_a_damaged_file() {
    let disk = SimulatedDisk::new();
    committed(&disk, &[full_batch()]);
    let whole = disk.contents(DATA_FILE).expect("the file");
    let cases = [
        ("zeros", vec![0; whole.len()]),
        ("another kind of file", b"not a database".repeat(10_000)),
        ("cut within its header", whole[..100].to_vec()),
        ("cut after its header", whole[..4096].to_vec()),
        ("without its second half", whole[..whole.len() / 8].to_vec()),
    ];
    for (what, bytes) in cases {
        disk.put(DATA_FILE, bytes.clone());
        assert_damaged(&disk, what);
        assert_eq!(
            disk.contents(DATA_FILE).expect("the file").len(),
            bytes.len(),
            "{what}: keeps its length"
        );
    }
}

/// Any damage to a file that was not closed cleanly is detected, or the file opens with its
/// original state.
#[test]
fn flipped_bytes_are_detected() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = open(&disk).expect("opens");
    store.commit(&append(1..=30)).expect("commits");
    store.commit(&full_batch_after(30)).expect("commits");
    let whole = disk.contents(DATA_FILE).expect("the file");
    drop(store);
    let expected = found(&disk);
    let mut damaged = 0;
    for position in (4096..whole.len()).step_by(9973) {
        let mut bytes = whole.clone();
        bytes[position] ^= 0x10;
        disk.put(DATA_FILE, bytes);
        match open(&disk) {
            Ok((_, found)) => {
                let one_commit_less = found.entries.len() == 30 && found.snapshot_index == 0;
                assert!(found == expected || one_commit_less, "position {position}");
            }
            Err(StoreError::Damaged { .. }) => damaged += 1,
            Err(other) => panic!("position {position}: {other}"),
        }
    }
    println!("{damaged} positions made the file unreadable");
}

fn full_batch_after(last: u64) -> Batch {
    Batch {
        vote: Some(vec![3; 100]),
        append: vec![entry(last + 1)],
        ..Batch::default()
    }
}

#[test]
fn a_failing_disk_is_not_an_empty_disk() {
    let disk = SimulatedDisk::new();
    committed(&disk, &[full_batch()]);
    disk.fail_after(0, None, ErrorKind::StorageFull);
    assert!(matches!(open(&disk), Err(StoreError::Full)));
    disk.fail_after(0, None, ErrorKind::PermissionDenied);
    assert!(matches!(open(&disk), Err(StoreError::Io(_))));
    disk.heal();
    assert_eq!(found(&disk).committed, 8);
}

#[test]
fn a_failed_store_is_closed_until_it_is_opened_again() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = open(&disk).expect("opens");
    store.commit(&full_batch()).expect("commits");
    disk.fail_after(0, Some(1), ErrorKind::StorageFull);
    assert!(matches!(
        store.commit(&append(10..=10)),
        Err(StoreError::Full)
    ));
    assert!(matches!(
        store.commit(&append(10..=10)),
        Err(StoreError::Closed)
    ));
    assert_eq!(
        store.reopen().expect("the disk works again"),
        FailedCommit::NotApplied
    );
    store.commit(&append(10..=10)).expect("commits");
    drop(store);
    assert_eq!(found(&disk).entries.len(), 6);
}

/// A failed sync leaves pages that can be read but are not on the disk. Whatever the store then
/// reports as committed must survive a loss of power.
#[test]
fn what_a_failed_sync_may_have_lost_is_rewritten() {
    for outcome in 0..20 {
        for after in 0..40 {
            let disk = SimulatedDisk::new();
            let (mut store, _) = open(&disk).expect("opens");
            store.commit(&append(1..=5)).expect("commits");
            disk.fail_after(after, Some(1), ErrorKind::Other);
            let result = store.commit(&append(6..=9));
            disk.heal();
            let is_durable = result.is_ok()
                || store.reopen().expect("the disk works again") == FailedCommit::Durable;
            disk.cycle_power(outcome);
            drop(store);
            let entries = found(&disk).entries.len();
            assert_eq!(
                entries,
                if is_durable { 9 } else { 5 },
                "change {after}, outcome {outcome}"
            );
            if result.is_ok() {
                break;
            }
        }
    }
}

#[test]
fn a_long_file_is_compacted_when_it_is_opened() {
    let disk = SimulatedDisk::new();
    let large = Batch {
        snapshot: Some((1, vec![1; 6_000_000])),
        ..Batch::default()
    };
    committed(&disk, &[append(1..=2), large]);
    let small = Batch {
        snapshot: Some((2, vec![2; 100])),
        ..Batch::default()
    };
    committed(&disk, &[small]);
    let before = disk.length(DATA_FILE).expect("readable").expect("the file");
    let compacting = StoreSettings {
        compact_above_bytes: 2_000_000,
        ..settings()
    };
    let (store, found) = ControlStore::open_in(Arc::new(disk.clone()), compacting).expect("opens");
    drop(store);
    assert_eq!((found.snapshot_index, found.snapshot.len()), (2, 100));
    let after = disk.length(DATA_FILE).expect("readable").expect("the file");
    assert!(after < before / 2, "{before} to {after} bytes");
}

#[test]
fn a_real_folder_works_as_well() {
    let folder = std::env::temp_dir().join(format!("control-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (mut store, recovered) = ControlStore::open(&folder, settings()).expect("opens");
    assert_eq!(recovered, Recovered::default());
    store.commit(&full_batch()).expect("commits");
    store.reopen().expect("opens again");
    store.commit(&append(10..=10)).expect("commits");
    drop(store);
    let (_, recovered) = ControlStore::open(&folder, settings()).expect("opens");
    assert_eq!(recovered.entries.len(), 6);
    std::fs::remove_dir_all(&folder).expect("removed");
}

/// The bytes that a snapshot writes are about its own size plus the pages at both ends of the log,
/// not many times every page of the log.
#[test]
fn dropping_a_long_log_is_cheap() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = open(&disk).expect("opens");
    store.commit(&append(1..=2_000)).expect("commits");
    let before = disk.counters().written_bytes;
    let length = disk.length(DATA_FILE).expect("readable").expect("the file");
    store
        .commit(&Batch {
            snapshot: Some((1_999, vec![1; 1_000])),
            ..Batch::default()
        })
        .expect("commits");
    let written = disk.counters().written_bytes - before;
    assert!(written < 500_000, "{written} bytes written");
    assert!(disk.length(DATA_FILE).expect("readable").expect("the file") <= length);
}

#[test]
fn a_small_commit_is_one_sync() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = open(&disk).expect("opens");
    store.commit(&append(1..=10)).expect("commits");
    let before = disk.counters();
    store.commit(&append(11..=11)).expect("commits");
    let after = disk.counters();
    assert_eq!(after.syncs - before.syncs, 1);
    assert!(
        after.written_bytes - before.written_bytes < 40_000,
        "{after:?}"
    );
}

/// The rename of a new file may be done and not synced when opening fails or the process dies.
/// The next open has to make the name durable.
#[test]
fn a_file_whose_creation_was_interrupted_is_durable_once_it_is_opened() {
    for after in 0..60 {
        for outcome in 0..8 {
            let disk = SimulatedDisk::new();
            disk.fail_after(after, Some(1), ErrorKind::Other);
            drop(open(&disk));
            disk.heal();
            let (mut store, _) = open(&disk).expect("opens");
            store.commit(&append(1..=3)).expect("commits");
            disk.cycle_power(outcome);
            drop(store);
            assert_eq!(
                found(&disk).entries.len(),
                3,
                "change {after}, outcome {outcome}"
            );
        }
    }
}

#[test]
fn an_identity_is_on_the_disk_before_it_is_returned() {
    for seed in 0..20 {
        let disk = SimulatedDisk::new();
        let (mut store, mut found) = open(&disk).expect("opens");
        assert_eq!(
            store
                .identify(&mut found, DiskId(7))
                .expect("a working disk"),
            DiskId(7)
        );
        disk.cycle_power(seed);
        let (mut store, mut found) = open(&disk).expect("opens");
        assert_eq!(
            store
                .identify(&mut found, DiskId(8))
                .expect("a working disk"),
            DiskId(7)
        );
    }
}

#[test]
fn a_disk_that_fails_to_store_its_identity_has_none() {
    let disk = SimulatedDisk::new();
    let (mut store, mut found) = open(&disk).expect("opens");
    disk.fail_after(0, None, ErrorKind::StorageFull);
    assert!(store.identify(&mut found, DiskId(7)).is_err());
    assert_eq!(found.disk, None);
}

/// The operating system may treat pages as clean after their sync failed: they can be read, but are
/// lost when the power fails.
#[test]
fn state_recovered_after_a_failed_sync_is_durable() {
    for seed in 0..40 {
        let disk = SimulatedDisk::new();
        let (mut store, _) = open(&disk).expect("opens");
        store.commit(&append(1..=3)).expect("a working disk");
        // The changes of a commit are its writes, and the sync behind them.
        disk.fail_after(seed % 20, Some(1), ErrorKind::Other);
        let result = store.commit(&append(4..=6));
        drop(store);
        disk.restart_process();
        let (store, found) = open(&disk).expect("opens");
        assert!(result.is_err() || found.entries.len() == 6, "seed {seed}");
        std::mem::forget(store);
        disk.cycle_power(seed);
        let (_, later) = open(&disk).expect("opens");
        assert_eq!(
            later.entries, found.entries,
            "seed {seed}: what was found is gone"
        );
    }
}
