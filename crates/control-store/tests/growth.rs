//! A loss of power at each change within a commit that lengthens or shortens the file.

mod common;

use common::{append, open};
use lupinrack_control_store::simulated::SimulatedDisk;
use lupinrack_control_store::{Batch, Recovered, DATA_FILE};

/// Trials of each point of the loss, with different outcomes of the unsynced changes.
const OUTCOMES: u64 = 4;
/// More than an empty file holds.
const LARGE: usize = 1_600_000;

fn snapshot(index: u64, bytes: usize) -> Batch {
    Batch {
        snapshot: Some((index, vec![index as u8; bytes])),
        ..Batch::default()
    }
}

/// Makes the first commits, loses power after this many changes of the last one, and returns the
/// recovered state; none if the last commit needed fewer changes.
fn found_after(commits: &[Batch], last: &Batch, changes: u64, outcome: u64) -> Option<Recovered> {
    let disk = SimulatedDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk");
    for batch in commits {
        store.commit(batch).expect("a working disk");
    }
    disk.lose_power_after(changes);
    let result = store.commit(last);
    if result.is_ok() {
        return None;
    }
    drop(store);
    disk.cycle_power(outcome);
    let (_, found) =
        open(&disk).unwrap_or_else(|error| panic!("change {changes}, outcome {outcome}: {error}"));
    Some(found)
}

/// Loses power at every change of the last commit; returns how many changes the commit needed.
fn lose_power_at_every_change(commits: &[Batch], last: &Batch) -> u64 {
    let mut before = Recovered::default();
    commits
        .iter()
        .for_each(|batch| common::apply(&mut before, batch));
    let mut after = before.clone();
    common::apply(&mut after, last);
    for changes in 1.. {
        for outcome in 0..OUTCOMES {
            match found_after(commits, last, changes, changes * OUTCOMES + outcome) {
                Some(found) => assert!(
                    found == before || found == after,
                    "change {changes}, outcome {outcome}"
                ),
                None => return changes,
            }
        }
    }
    unreachable!("a commit ends")
}

#[test]
fn power_loss_in_a_commit_that_lengthens_the_file() {
    let changes = lose_power_at_every_change(&[append(1..=3)], &snapshot(2, LARGE));
    assert!(changes > 40, "the file had to grow");
}

#[test]
fn power_loss_in_a_commit_that_shortens_the_file() {
    let commits = [
        append(1..=9),
        snapshot(2, LARGE),
        snapshot(3, 10),
        append(10..=10),
    ];
    lose_power_at_every_change(&commits, &append(11..=11));
    lose_power_at_every_change(&commits[..2], &snapshot(3, 10));
}

/// Bytes at the beginning of the file that every commit rewrites.
const HEADER_BYTES: usize = 320;

/// The file's bytes while it is open, after these commits.
fn image(commits: &[Batch]) -> Vec<u8> {
    let disk = SimulatedDisk::new();
    let (mut store, _) = open(&disk).expect("a new disk");
    for batch in commits {
        store.commit(batch).expect("a working disk");
    }
    disk.contents(DATA_FILE).expect("the file")
}

/// The header is the only part of the file that is written in place.
#[test]
fn a_header_torn_at_any_byte() {
    let commits = [
        append(1..=3),
        snapshot(2, LARGE),
        snapshot(3, 10),
        append(4..=4),
        append(5..=5),
    ];
    let mut states = vec![Recovered::default()];
    for batch in &commits {
        let mut state = states.last().expect("one at least").clone();
        common::apply(&mut state, batch);
        states.push(state);
    }
    for last in 0..commits.len() {
        let (old, new) = (image(&commits[..last]), image(&commits[..=last]));
        for cut in 0..=HEADER_BYTES {
            // The file is lengthened before the header is written, and shortened once that is
            // synced.
            let mut torn = new.clone();
            torn.extend(old.iter().skip(new.len()));
            torn[cut..HEADER_BYTES].copy_from_slice(&old[cut..HEADER_BYTES]);
            let disk = SimulatedDisk::new();
            disk.put(DATA_FILE, torn);
            let (_, found) =
                open(&disk).unwrap_or_else(|error| panic!("commit {last}, cut {cut}: {error}"));
            assert!(
                found == states[last] || found == states[last + 1],
                "commit {last}, cut {cut}"
            );
        }
    }
}
