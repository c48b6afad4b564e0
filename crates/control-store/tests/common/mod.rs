//! A model of the store, and random batches for it.
#![allow(dead_code)]

use lupinrack_cluster_api::identity::{DiskId, JobId, QueueName};
use lupinrack_cluster_api::job::{JobSpec, Step};
use lupinrack_cluster_api::operation::{LogEntry, Operation};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_store::simulated::SimulatedDisk;
use lupinrack_control_store::{Batch, ControlStore, Recovered, StoreError, StoreSettings};
use std::sync::Arc;

/// A generator of pseudo-random numbers (splitmix64).
pub(crate) struct Choices(pub u64);

impl Choices {
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % bound
    }

    pub(crate) fn bytes(&mut self, most: u64) -> Vec<u8> {
        let length = self.below(most);
        (0..length).map(|_| self.below(256) as u8).collect()
    }
}

/// Settings with a cache so small that pages are written before their commit, too.
pub(crate) fn settings() -> StoreSettings {
    StoreSettings {
        cache_bytes: 256 * 1024,
        ..StoreSettings::default()
    }
}

pub(crate) fn open(disk: &SimulatedDisk) -> Result<(ControlStore, Recovered), StoreError> {
    ControlStore::open_in(Arc::new(disk.clone()), settings())
}

/// An entry about as large as that of a small job.
pub(crate) fn entry(index: u64) -> LogEntry {
    entry_of(index, 300)
}

pub(crate) fn entry_of(index: u64, bytes: usize) -> LogEntry {
    let step = Step {
        count: 6,
        estimate_ms: 700,
        ..Step::default()
    };
    let spec = JobSpec {
        spec: "x".repeat(bytes),
        steps: vec![step],
        ..JobSpec::default()
    };
    let queue = QueueName("queue".to_owned());
    LogEntry {
        index,
        operation: Operation::AcceptJob {
            job: JobId(index),
            queue,
            spec,
            at: WallMillis(index),
        },
    }
}

pub(crate) fn append(indices: std::ops::RangeInclusive<u64>) -> Batch {
    Batch {
        append: indices.map(entry).collect(),
        ..Batch::default()
    }
}

/// Applies a batch to the expected recovered state.
pub(crate) fn apply(state: &mut Recovered, batch: &Batch) {
    state.disk = batch.disk.or(state.disk);
    state.vote = batch.vote.clone().unwrap_or_else(|| state.vote.clone());
    state.view = batch.view.clone().unwrap_or_else(|| state.view.clone());
    state.replica_status = batch
        .replica_status
        .clone()
        .unwrap_or_else(|| state.replica_status.clone());
    if let Some(last) = batch.truncate_after {
        state.entries.retain(|entry| entry.index <= last);
    }
    if let Some((index, bytes)) = &batch.snapshot {
        state.snapshot_index = *index;
        state.snapshot = bytes.clone();
        state.entries.retain(|entry| entry.index > *index);
    }
    state.entries.extend(batch.append.iter().cloned());
    state.committed = batch.committed.unwrap_or(state.committed);
}

pub(crate) fn last(state: &Recovered) -> u64 {
    state
        .entries
        .last()
        .map_or(state.snapshot_index, |entry| entry.index)
}

/// A batch that fits the log of this state.
pub(crate) fn random_batch(state: &Recovered, choices: &mut Choices) -> Batch {
    let mut batch = Batch::default();
    match choices.below(17) {
        0 => batch.disk = Some(DiskId(choices.below(u64::MAX))),
        1 => batch.vote = Some(choices.bytes(200)),
        2 => batch.view = Some(choices.bytes(900)),
        6 => batch.replica_status = Some(choices.bytes(300)),
        3 => batch.truncate_after = Some(state.snapshot_index + choices.below(20)),
        4 => {
            let kept = state.entries.len() as u64;
            batch.snapshot = Some((
                state.snapshot_index + choices.below(kept + 1),
                snapshot(choices),
            ));
        }
        5 => {
            let index = last(state) + choices.below(10);
            batch.truncate_after = Some(index);
            batch.snapshot = Some((index, snapshot(choices)));
        }
        _ => batch.committed = Some(choices.below(last(state) + 1)),
    }
    let mut after = state.clone();
    apply(&mut after, &batch);
    let next = last(&after) + 1;
    for index in next..next + choices.below(5) {
        let bytes = if choices.below(30) == 0 { 20_000 } else { 300 };
        batch
            .append
            .push(entry_of(index, choices.below(bytes) as usize));
    }
    batch
}

fn snapshot(choices: &mut Choices) -> Vec<u8> {
    let bytes = if choices.below(4) == 0 {
        300_000
    } else {
        9_000
    };
    let byte = choices.below(256) as u8;
    vec![byte; choices.below(bytes) as usize]
}
