//! The writer: group commit, order, and retries when the disk fails.

mod common;

use common::{append, entry_of, open};
use lupinrack_control_store::simulated::SimulatedDisk;
use lupinrack_control_store::{
    Batch, InvalidBatch, LogBounds, QueuedBatch, RetryBackoff, StoreError, WriteOutcome, Writer,
    DATA_FILE,
};
use std::io::ErrorKind;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

const NO_BACKOFF: RetryBackoff = RetryBackoff {
    initial: Duration::ZERO,
    max: Duration::ZERO,
};

fn spawn_writer(disk: &SimulatedDisk) -> (Writer, Receiver<WriteOutcome>) {
    let (sender, outcomes) = channel();
    let (store, _) = open(disk).expect("opens");
    let done = move |outcome| drop(sender.send(outcome));
    (
        Writer::spawn_with_backoff(store, NO_BACKOFF, done).expect("a thread"),
        outcomes,
    )
}

/// Outcomes until the batch of this number is synced.
fn until_synced(outcomes: &Receiver<WriteOutcome>, number: u64) -> Vec<WriteOutcome> {
    let mut all = Vec::new();
    loop {
        let outcome = outcomes.recv().expect("the writer runs");
        let last = outcome.synced.contains(&number);
        all.push(outcome);
        if last {
            return all;
        }
    }
}

fn synced_by(outcomes: &[WriteOutcome]) -> Vec<u64> {
    outcomes
        .iter()
        .flat_map(|outcome| outcome.synced.clone())
        .collect()
}

fn entries(disk: &SimulatedDisk) -> u64 {
    open(disk).expect("opens").1.entries.len() as u64
}

/// Guards against one sync for each of several writes that one event causes.
#[test]
fn batches_that_are_queued_together_cost_one_sync() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes) = spawn_writer(&disk);
    let before = disk.counters().syncs;
    for round in 0..20 {
        let numbers = 3 * round + 1..=3 * round + 3;
        let last = *numbers.end();
        let batches = numbers.map(|number| QueuedBatch {
            number,
            batch: append(number..=number),
        });
        assert!(writer.write_all(batches.collect()).is_ok());
        let all = until_synced(&outcomes, last);
        assert_eq!(synced_by(&all), (last - 2..=last).collect::<Vec<_>>());
    }
    assert_eq!(disk.counters().syncs - before, 20);
    writer.close();
}

#[test]
fn numbers_are_reported_in_order_once_their_batches_are_synced() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes) = spawn_writer(&disk);
    for number in 1..=50 {
        assert!(writer.write(number, append(number..=number)).is_ok());
    }
    let all = until_synced(&outcomes, 50);
    assert_eq!(synced_by(&all), (1..=50).collect::<Vec<_>>());
    disk.cycle_power(0);
    assert_eq!(entries(&disk), 50);
    writer.close();
}

/// A writer that pauses in the report of its first outcome until a signal, so that everything after
/// it is one group.
fn paused_writer(disk: &SimulatedDisk) -> (Writer, Receiver<WriteOutcome>, Sender<()>) {
    let (sender, outcomes) = channel();
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let (store, _) = open(disk).expect("opens");
    let done = move |outcome: WriteOutcome| {
        let first = outcome.synced.first() == Some(&1);
        drop(sender.send(outcome));
        if first {
            drop(gate.lock().map(|gate| gate.recv()));
        }
    };
    (
        Writer::spawn_with_backoff(store, NO_BACKOFF, done).expect("a thread"),
        outcomes,
        go,
    )
}

#[test]
fn all_pending_batches_are_written_with_one_sync() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes, go) = paused_writer(&disk);
    writer.write(1, append(1..=1)).expect("the writer runs");
    until_synced(&outcomes, 1);
    let before = disk.counters().syncs;
    assert!((2..=40).all(|number| writer.write(number, append(number..=number)).is_ok()));
    go.send(()).expect("the writer is paused");
    let all = until_synced(&outcomes, 40);
    assert_eq!(all.len(), 1);
    assert_eq!(synced_by(&all), (2..=40).collect::<Vec<_>>());
    assert_eq!(disk.counters().syncs - before, 1);
    writer.close();
}

#[test]
fn a_batch_that_does_not_fit_is_rejected_and_the_others_are_not() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes, go) = paused_writer(&disk);
    writer.write(1, append(1..=1)).expect("the writer runs");
    until_synced(&outcomes, 1);
    writer.write(2, append(2..=2)).expect("the writer runs");
    writer.write(3, append(9..=9)).expect("the writer runs");
    writer.write(4, append(3..=3)).expect("the writer runs");
    go.send(()).expect("the writer is paused");
    let all = until_synced(&outcomes, 4);
    assert_eq!(all[0].rejected, [3]);
    let expected = InvalidBatch::Gap {
        expected: 3,
        found: 9,
    };
    assert!(matches!(&all[0].result, Err(StoreError::InvalidBatch(error)) if *error == expected));
    assert_eq!(synced_by(&all), [2, 4]);
    writer.close();
    assert_eq!(entries(&disk), 3);
}

#[test]
fn a_failing_disk_is_reported_and_retried() {
    for kind in [
        ErrorKind::StorageFull,
        ErrorKind::PermissionDenied,
        ErrorKind::Other,
    ] {
        for after in 0..25 {
            let disk = SimulatedDisk::new();
            let (writer, outcomes) = spawn_writer(&disk);
            writer.write(1, append(1..=3)).expect("the writer runs");
            until_synced(&outcomes, 1);
            disk.fail_after(after, Some(3), kind);
            writer.write(2, append(4..=4)).expect("the writer runs");
            writer.write(3, append(5..=5)).expect("the writer runs");
            let all = until_synced(&outcomes, 3);
            assert_eq!(synced_by(&all), [2, 3], "{kind}, after {after}");
            let failures = all.iter().filter(|outcome| outcome.result.is_err()).count();
            assert!(
                after > 0 || failures > 0,
                "{kind}, after {after}: {failures} failures"
            );
            if kind == ErrorKind::StorageFull {
                let full = |outcome: &WriteOutcome| {
                    matches!(outcome.result, Ok(()) | Err(StoreError::Full))
                };
                assert!(all.iter().all(full), "{all:?}");
            }
            disk.heal();
            writer.close();
            disk.cycle_power(after);
            assert_eq!(entries(&disk), 5, "{kind}, after {after}");
        }
    }
}

#[test]
fn a_writer_with_a_permanently_failing_disk_can_be_closed() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes) = spawn_writer(&disk);
    disk.fail_after(0, None, ErrorKind::StorageFull);
    writer.write(1, append(1..=1)).expect("the writer runs");
    assert!(outcomes.recv().expect("an outcome").result.is_err());
    writer.close();
    disk.heal();
    assert!(outcomes.iter().all(|outcome| outcome.synced.is_empty()));
    assert_eq!(entries(&disk), 0);
}

#[test]
fn a_closed_writer_has_written_all_queued_batches() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes) = spawn_writer(&disk);
    assert!((1..=20).all(|number| writer.write(number, append(number..=number)).is_ok()));
    writer.close();
    assert_eq!(synced_by(&outcomes.iter().collect::<Vec<_>>()).len(), 20);
    assert_eq!(entries(&disk), 20);
}

#[test]
fn bounds_follow_batches() {
    let bounds = LogBounds {
        snapshot: 4,
        last: 9,
    };
    let truncate = |index| Batch {
        truncate_after: Some(index),
        ..Batch::default()
    };
    let snapshot = |index| Batch {
        snapshot: Some((index, vec![])),
        ..Batch::default()
    };
    assert_eq!(
        bounds.after(&truncate(6)),
        Ok(LogBounds {
            snapshot: 4,
            last: 6
        })
    );
    assert_eq!(
        bounds.after(&truncate(2)),
        Ok(LogBounds {
            snapshot: 4,
            last: 4
        })
    );
    assert_eq!(bounds.after(&truncate(20)), Ok(bounds));
    assert_eq!(
        bounds.after(&snapshot(7)),
        Ok(LogBounds {
            snapshot: 7,
            last: 9
        })
    );
    assert_eq!(
        bounds.after(&snapshot(20)),
        Ok(LogBounds {
            snapshot: 20,
            last: 20
        })
    );
    assert_eq!(
        bounds.after(&append(10..=12)),
        Ok(LogBounds {
            snapshot: 4,
            last: 12
        })
    );
}

/// More than fits on the limited disk in addition to an empty file.
const LARGE_ENTRY: usize = 300_000;

#[test]
fn a_full_disk_keeps_committed_batches_and_accepts_writes_once_there_is_space() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes) = spawn_writer(&disk);
    writer.write(1, append(1..=1)).expect("the writer runs");
    until_synced(&outcomes, 1);
    let length = disk.contents(DATA_FILE).expect("the file").len();
    disk.set_capacity(Some(length));
    writer
        .write(
            2,
            Batch {
                append: vec![entry_of(2, LARGE_ENTRY)],
                ..Batch::default()
            },
        )
        .expect("the writer runs");
    writer
        .write(
            3,
            Batch {
                append: vec![entry_of(3, LARGE_ENTRY)],
                ..Batch::default()
            },
        )
        .expect("the writer runs");
    for _ in 0..20 {
        let outcome = outcomes.recv().expect("the writer runs");
        assert!(
            matches!(outcome.result, Err(StoreError::Full)),
            "{outcome:?}"
        );
        assert!(outcome.synced.is_empty(), "nothing is synced: {outcome:?}");
    }
    disk.set_capacity(None);
    let all = until_synced(&outcomes, 3);
    assert_eq!(synced_by(&all), [2, 3]);
    writer.close();
    disk.cycle_power(3);
    assert_eq!(entries(&disk), 3);
}

#[test]
fn a_full_disk_is_not_rewritten_at_each_attempt() {
    let disk = SimulatedDisk::new();
    let (writer, outcomes) = spawn_writer(&disk);
    writer
        .write(
            1,
            Batch {
                append: vec![entry_of(1, 4 * LARGE_ENTRY)],
                ..Batch::default()
            },
        )
        .expect("the writer runs");
    until_synced(&outcomes, 1);
    let length = disk.contents(DATA_FILE).expect("the file").len();
    disk.set_capacity(Some(length));
    let before = disk.counters().written_bytes;
    writer
        .write(
            2,
            Batch {
                append: vec![entry_of(2, 4 * LARGE_ENTRY)],
                ..Batch::default()
            },
        )
        .expect("the writer runs");
    for _ in 0..20 {
        outcomes.recv().expect("the writer runs");
    }
    let written = disk.counters().written_bytes - before;
    assert!(
        written < length as u64,
        "{written} bytes for a file of {length}"
    );
    disk.set_capacity(None);
    until_synced(&outcomes, 2);
    writer.close();
}
