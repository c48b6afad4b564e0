//! The thread that writes: grouping, order, and what it does when the disk fails.

mod common;

use common::{append, entry_of, open};
use lupinrack_control_store::simulated::SimulatedDisk;
use lupinrack_control_store::{
    Batch, LogBounds, Misfit, RetryPauses, StoreError, WriteOutcome, Writer, WriterHandle,
    DATA_FILE,
};
use std::io::ErrorKind;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

const NO_PAUSES: RetryPauses = RetryPauses {
    first: Duration::ZERO,
    longest: Duration::ZERO,
};

fn writer(disk: &SimulatedDisk) -> (WriterHandle, Receiver<WriteOutcome>) {
    let (sender, outcomes) = channel();
    let (store, _) = open(disk).expect("opens");
    let done = move |outcome| drop(sender.send(outcome));
    (
        Writer::spawn_with(store, NO_PAUSES, done).expect("a thread"),
        outcomes,
    )
}

/// Outcomes until this ticket is done.
fn until_done(outcomes: &Receiver<WriteOutcome>, ticket: u64) -> Vec<WriteOutcome> {
    let mut all = Vec::new();
    loop {
        let outcome = outcomes.recv().expect("the writer lives");
        let last = outcome.tickets_done.contains(&ticket);
        all.push(outcome);
        if last {
            return all;
        }
    }
}

fn tickets(outcomes: &[WriteOutcome]) -> Vec<u64> {
    outcomes
        .iter()
        .flat_map(|outcome| outcome.tickets_done.clone())
        .collect()
}

fn entries(disk: &SimulatedDisk) -> u64 {
    open(disk).expect("opens").1.entries.len() as u64
}

#[test]
fn tickets_come_back_in_order_once_they_are_synced() {
    let disk = SimulatedDisk::new();
    let (handle, outcomes) = writer(&disk);
    for ticket in 1..=50 {
        assert!(handle.write(ticket, append(ticket..=ticket)));
    }
    let all = until_done(&outcomes, 50);
    assert_eq!(tickets(&all), (1..=50).collect::<Vec<_>>());
    disk.cycle_power(0);
    assert_eq!(entries(&disk), 50);
    handle.close();
}

/// A writer whose first outcome waits for a signal, so that everything after it is one group.
fn held_writer(disk: &SimulatedDisk) -> (WriterHandle, Receiver<WriteOutcome>, Sender<()>) {
    let (sender, outcomes) = channel();
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let (store, _) = open(disk).expect("opens");
    let done = move |outcome: WriteOutcome| {
        let first = outcome.tickets_done.first() == Some(&1);
        drop(sender.send(outcome));
        if first {
            drop(gate.lock().map(|gate| gate.recv()));
        }
    };
    (
        Writer::spawn_with(store, NO_PAUSES, done).expect("a thread"),
        outcomes,
        go,
    )
}

#[test]
fn all_that_waits_is_written_by_one_sync() {
    let disk = SimulatedDisk::new();
    let (handle, outcomes, go) = held_writer(&disk);
    handle.write(1, append(1..=1));
    until_done(&outcomes, 1);
    let before = disk.counters().syncs;
    assert!((2..=40).all(|ticket| handle.write(ticket, append(ticket..=ticket))));
    go.send(()).expect("the writer waits");
    let all = until_done(&outcomes, 40);
    assert_eq!(all.len(), 1);
    assert_eq!(tickets(&all), (2..=40).collect::<Vec<_>>());
    assert_eq!(disk.counters().syncs - before, 1);
    handle.close();
}

#[test]
fn a_batch_that_does_not_fit_is_refused_and_the_others_are_not() {
    let disk = SimulatedDisk::new();
    let (handle, outcomes, go) = held_writer(&disk);
    handle.write(1, append(1..=1));
    until_done(&outcomes, 1);
    handle.write(2, append(2..=2));
    handle.write(3, append(9..=9));
    handle.write(4, append(3..=3));
    go.send(()).expect("the writer waits");
    let all = until_done(&outcomes, 4);
    assert_eq!(all[0].tickets_refused, [3]);
    let expected = Misfit::Gap {
        expected: 3,
        found: 9,
    };
    assert!(matches!(&all[0].result, Err(StoreError::Misfit(misfit)) if *misfit == expected));
    assert_eq!(tickets(&all), [2, 4]);
    handle.close();
    assert_eq!(entries(&disk), 3);
}

#[test]
fn a_failing_disk_is_told_and_tried_again() {
    for kind in [
        ErrorKind::StorageFull,
        ErrorKind::PermissionDenied,
        ErrorKind::Other,
    ] {
        for after in 0..25 {
            let disk = SimulatedDisk::new();
            let (handle, outcomes) = writer(&disk);
            handle.write(1, append(1..=3));
            until_done(&outcomes, 1);
            disk.fail_after(after, Some(3), kind);
            handle.write(2, append(4..=4));
            handle.write(3, append(5..=5));
            let all = until_done(&outcomes, 3);
            assert_eq!(tickets(&all), [2, 3], "{kind}, after {after}");
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
            handle.close();
            disk.cycle_power(after);
            assert_eq!(entries(&disk), 5, "{kind}, after {after}");
        }
    }
}

#[test]
fn a_writer_whose_disk_fails_for_good_can_be_closed() {
    let disk = SimulatedDisk::new();
    let (handle, outcomes) = writer(&disk);
    disk.fail_after(0, None, ErrorKind::StorageFull);
    handle.write(1, append(1..=1));
    assert!(outcomes.recv().expect("an outcome").result.is_err());
    handle.close();
    disk.heal();
    assert!(outcomes
        .iter()
        .all(|outcome| outcome.tickets_done.is_empty()));
    assert_eq!(entries(&disk), 0);
}

#[test]
fn a_closed_writer_has_written_what_waited() {
    let disk = SimulatedDisk::new();
    let (handle, outcomes) = writer(&disk);
    assert!((1..=20).all(|ticket| handle.write(ticket, append(ticket..=ticket))));
    handle.close();
    assert_eq!(tickets(&outcomes.iter().collect::<Vec<_>>()).len(), 20);
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

/// More than fits beside an empty file.
const LARGE_ENTRY: usize = 300_000;

#[test]
fn a_full_disk_keeps_what_was_committed_and_goes_on_once_there_is_room() {
    let disk = SimulatedDisk::new();
    let (handle, outcomes) = writer(&disk);
    handle.write(1, append(1..=1));
    until_done(&outcomes, 1);
    let length = disk.contents(DATA_FILE).expect("the file").len();
    disk.set_capacity(Some(length));
    handle.write(
        2,
        Batch {
            append: vec![entry_of(2, LARGE_ENTRY)],
            ..Batch::default()
        },
    );
    handle.write(
        3,
        Batch {
            append: vec![entry_of(3, LARGE_ENTRY)],
            ..Batch::default()
        },
    );
    for _ in 0..20 {
        let outcome = outcomes.recv().expect("the writer lives");
        assert!(
            matches!(outcome.result, Err(StoreError::Full)),
            "{outcome:?}"
        );
        assert!(
            outcome.tickets_done.is_empty(),
            "nothing is synced: {outcome:?}"
        );
    }
    disk.set_capacity(None);
    let all = until_done(&outcomes, 3);
    assert_eq!(tickets(&all), [2, 3]);
    handle.close();
    disk.cycle_power(3);
    assert_eq!(entries(&disk), 3);
}

#[test]
fn a_full_disk_is_not_written_anew_at_each_try() {
    let disk = SimulatedDisk::new();
    let (handle, outcomes) = writer(&disk);
    handle.write(
        1,
        Batch {
            append: vec![entry_of(1, 4 * LARGE_ENTRY)],
            ..Batch::default()
        },
    );
    until_done(&outcomes, 1);
    let length = disk.contents(DATA_FILE).expect("the file").len();
    disk.set_capacity(Some(length));
    let before = disk.counters().written_bytes;
    handle.write(
        2,
        Batch {
            append: vec![entry_of(2, 4 * LARGE_ENTRY)],
            ..Batch::default()
        },
    );
    for _ in 0..20 {
        outcomes.recv().expect("the writer lives");
    }
    let written = disk.counters().written_bytes - before;
    assert!(
        written < length as u64,
        "{written} bytes for a file of {length}"
    );
    disk.set_capacity(None);
    until_done(&outcomes, 2);
    handle.close();
}
