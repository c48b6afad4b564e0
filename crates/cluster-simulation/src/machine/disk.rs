//! A disk that loses unsynced writes in a crash, and can be slow, hang, be full or be wiped.

use lupinrack_control_store::{Batch, Recovered};
use std::collections::VecDeque;

/// The fault of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskFault {
    /// No fault.
    None,
    /// Syncs take longer by this factor.
    Slow(u64),
    /// No sync completes.
    Stalled,
    /// It refuses every write.
    Full,
    /// It refuses every write in the first half of each period.
    Failing,
}

/// A batch that is not synced yet.
#[derive(Clone, Debug)]
struct PendingBatch {
    batch_id: u64,
    batch: Batch,
    synced_at: u64,
}

/// The disk of one core machine.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedDisk {
    contents: Recovered,
    pending: VecDeque<PendingBatch>,
    /// The current fault.
    pub fault: DiskFault,
    busy_until: u64,
    groups: GroupCommit,
}

/// When a disk syncs that writes one group of batches after another.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCommit {
    /// When the newest group began to be synced; batches of the same time belong to it.
    began_at: u64,
    /// When the newest group is synced.
    ends_at: u64,
}

impl GroupCommit {
    /// Adds a batch, and returns when it is synced. A batch that arrives during a sync waits for the next one.
    fn add(&mut self, now: u64, sync_ms: u64) -> u64 {
        if now > self.began_at {
            self.began_at = self.ends_at.max(now);
            self.ends_at = self.began_at + sync_ms;
        }
        self.ends_at
    }
}

/// A completion that a disk reports to its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DiskCompletion {
    /// These tickets are synced.
    Synced(Vec<u64>),
    /// A write was refused and will be retried.
    Refused,
}

/// Delay before a refused write is retried, in milliseconds.
const RETRY_MS: u64 = 200;
/// Period of a failing disk, in milliseconds. It refuses writes in the first half of each period.
const FAILURE_PERIOD_MS: u64 = 1_000;

impl Default for SimulatedDisk {
    fn default() -> SimulatedDisk {
        SimulatedDisk {
            contents: Recovered::default(),
            pending: VecDeque::new(),
            fault: DiskFault::None,
            busy_until: 0,
            groups: GroupCommit::default(),
        }
    }
}

impl SimulatedDisk {
    /// The state that a process recovers when it starts now.
    pub(crate) fn contents(&self) -> Recovered {
        self.contents.clone()
    }

    /// Queues a batch on a disk that syncs one group after another, each in `sync_ms` if it is healthy.
    pub(crate) fn write_in_group(&mut self, batch_id: u64, batch: Batch, now: u64, sync_ms: u64) {
        let synced_at = self.groups.add(now, sync_ms * self.slow_factor());
        self.pending.push_back(PendingBatch {
            batch_id,
            batch,
            synced_at,
        });
    }

    fn slow_factor(&self) -> u64 {
        match self.fault {
            DiskFault::Slow(factor) => factor,
            _ => 1,
        }
    }

    /// Queues a batch whose sync takes `sync_ms` on a healthy disk.
    pub(crate) fn write(&mut self, batch_id: u64, batch: Batch, now: u64, sync_ms: u64) {
        // Waiting batches are synced together, so a later one takes little longer.
        let synced_at = self.busy_until.max(now + sync_ms * self.slow_factor());
        self.busy_until = synced_at;
        self.pending.push_back(PendingBatch {
            batch_id,
            batch,
            synced_at,
        });
    }

    /// Advances the disk to `now` and returns the completions for the process.
    pub(crate) fn advance(&mut self, now: u64) -> Option<DiskCompletion> {
        match self.fault {
            DiskFault::Stalled => return None,
            DiskFault::Full => return self.refuse(now),
            DiskFault::Failing if now % FAILURE_PERIOD_MS < FAILURE_PERIOD_MS / 2 => {
                return self.refuse(now)
            }
            DiskFault::None | DiskFault::Slow(_) | DiskFault::Failing => {}
        }
        let mut batch_ids = Vec::new();
        while self
            .pending
            .front()
            .is_some_and(|write| write.synced_at <= now)
        {
            if let Some(write) = self.pending.pop_front() {
                apply(&mut self.contents, write.batch);
                batch_ids.push(write.batch_id);
            }
        }
        (!batch_ids.is_empty()).then_some(DiskCompletion::Synced(batch_ids))
    }

    fn refuse(&mut self, now: u64) -> Option<DiskCompletion> {
        let front = self.pending.front_mut()?;
        if front.synced_at > now {
            return None;
        }
        front.synced_at = now + RETRY_MS;
        Some(DiskCompletion::Refused)
    }

    /// Handles a killed process or a power loss: a prefix of the pending batches may have reached the disk.
    pub(crate) fn crash(&mut self, rng: &mut fastrand::Rng) {
        let kept = rng.usize(0..=self.pending.len());
        let can_write = matches!(self.fault, DiskFault::None | DiskFault::Slow(_));
        let under_way: Vec<PendingBatch> = self.pending.drain(..).collect();
        if can_write && rng.bool() {
            under_way
                .into_iter()
                .take(kept)
                .for_each(|write| apply(&mut self.contents, write.batch));
        }
        self.busy_until = 0;
        self.groups = GroupCommit::default();
    }

    /// Loses everything that was not synced; for injected bugs.
    pub(crate) fn crash_hard(&mut self) {
        self.pending.clear();
        self.busy_until = 0;
        self.groups = GroupCommit::default();
    }

    /// Empties the disk.
    pub(crate) fn wipe(&mut self) {
        *self = SimulatedDisk::default();
    }
}

fn apply(contents: &mut Recovered, batch: Batch) {
    contents.disk = batch.disk.or(contents.disk);
    contents.vote = batch.vote.unwrap_or(std::mem::take(&mut contents.vote));
    contents.view = batch.view.unwrap_or(std::mem::take(&mut contents.view));
    contents.replica_status = batch
        .replica_status
        .unwrap_or(std::mem::take(&mut contents.replica_status));
    if let Some(index) = batch.truncate_after {
        contents.entries.retain(|entry| entry.index <= index);
    }
    if let Some((index, snapshot)) = batch.snapshot {
        contents.snapshot_index = index;
        contents.snapshot = snapshot;
        contents.entries.retain(|entry| entry.index > index);
    }
    for entry in batch.append {
        let last = contents
            .entries
            .last()
            .map_or(contents.snapshot_index, |entry| entry.index);
        // The store rejects a batch that leaves a gap in the log; a core process must not write one.
        assert_eq!(
            entry.index,
            last + 1,
            "appended entries follow the last one"
        );
        contents.entries.push(entry);
    }
    contents.committed = batch.committed.unwrap_or(contents.committed);
}
