//! Losses of power and crashes of the process at any point: committed batches are kept, and no
//! batch is kept partially.

mod common;

use common::{apply, open, random_batch, Choices};
use lupinrack_control_store::simulated::SimulatedDisk;
use lupinrack_control_store::{Batch, ControlStore, Recovered};
use std::collections::VecDeque;
use std::thread;

/// Disks, each of which has several losses of power or crashes of the process.
const DISKS: u64 = 1_200;
const LOSSES: u64 = 4;
const THREADS: u64 = 3;
/// The maximum number of changes before a loss of power. It happens sometimes while the file is
/// opened, sometimes after many commits.
const MAX_CHANGES: u64 = 250;

/// The allowed states: that after the last commit, or that after the commit in progress.
struct Expected {
    committed: Recovered,
    under_way: Option<Recovered>,
}

impl Expected {
    fn allows(&self, found: &Recovered) -> bool {
        self.committed == *found || self.under_way.as_ref() == Some(found)
    }
}

/// Commits groups of random batches until the power is lost.
fn commit_until_loss(mut store: ControlStore, expected: &mut Expected, choices: &mut Choices) {
    loop {
        let mut state = expected.committed.clone();
        let group: Vec<Batch> = (0..=choices.below(3))
            .map(|_| {
                let batch = random_batch(&state, choices);
                apply(&mut state, &batch);
                batch
            })
            .collect();
        if store.commit_all(&group.iter().collect::<Vec<_>>()).is_err() {
            expected.under_way = Some(state);
            return;
        }
        expected.committed = state;
    }
}

fn play(seed: u64) {
    let mut choices = Choices(seed);
    let disk = SimulatedDisk::new();
    let mut expected = Expected {
        committed: Recovered::default(),
        under_way: None,
    };
    for loss in 0..LOSSES {
        let most = [10, 60, MAX_CHANGES][choices.below(3) as usize];
        disk.lose_power_after(1 + choices.below(most));
        // Opening fails if the power is lost meanwhile; that is no commit.
        if let Ok((store, found)) = open(&disk) {
            assert!(expected.allows(&found), "seed {seed}, before loss {loss}");
            expected = Expected {
                committed: found,
                under_way: None,
            };
            commit_until_loss(store, &mut expected, &mut choices);
        }
        assert!(
            disk.is_without_power(),
            "seed {seed}, loss {loss}: an error without a loss of power"
        );
        match choices.below(3) {
            0 => disk.restart_process(),
            _ => disk.cycle_power(choices.below(u64::MAX)),
        }
    }
    disk.cycle_power(choices.below(u64::MAX));
    let (_, found) = open(&disk).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    assert!(expected.allows(&found), "seed {seed}, at the end");
}

#[test]
fn a_loss_of_power_keeps_what_was_committed() {
    let threads = (0..THREADS).map(|first| {
        thread::spawn(move || {
            (0..DISKS)
                .filter(|seed| seed % THREADS == first)
                .for_each(play)
        })
    });
    let threads: VecDeque<_> = threads.collect();
    for thread in threads {
        thread.join().expect("a seed failed");
    }
}
