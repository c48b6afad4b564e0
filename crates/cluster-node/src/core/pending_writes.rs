//! Writes to the disk that are not synced yet, and their continuations.

use super::vote_writer::VoteMessages;
use super::write_latency::WriteLatency;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::collections::BTreeMap;

/// A disk is healthy again once no write has been slow or failed for this long, in milliseconds.
const RECOVERY_MS: u64 = 2_000;

/// The action that follows once a write is synced.
#[derive(Debug)]
pub enum WriteContinuation {
    /// No action.
    Nothing,
    /// Sends these messages of the agreement on views.
    SendVotes(VoteMessages),
    /// Notifies the chain that its entries up to this index are on the disk.
    EntriesWritten(u64),
    /// Adopts the view.
    ViewStored(View),
    /// Notifies the chain that the log was truncated after this index.
    Truncated(u64),
    /// Notifies the chain that the replica's status is on the disk.
    ReplicaStatusStored,
    /// Notifies the chain that the snapshot up to this index, received from another member, is on the disk.
    SnapshotInstalled(u64),
}

#[derive(Debug)]
struct PendingWrite {
    began_at: Millis,
    continuation: WriteContinuation,
}

/// All unsynced writes, by the numbers with which the driver acknowledges them, and the disk's health, which follows
/// from their latency.
#[derive(Debug, Default)]
pub struct PendingWrites {
    last_number: u64,
    pending: BTreeMap<u64, PendingWrite>,
    last_slow_at: Option<Millis>,
    latency: WriteLatency,
}

impl PendingWrites {
    /// Starts on a disk on which a sync took this long when the store was opened, in milliseconds.
    pub fn on_disk(sync_ms: u64) -> PendingWrites {
        PendingWrites {
            latency: WriteLatency::starting_at(sync_ms),
            ..PendingWrites::default()
        }
    }

    /// Records a write that begins now. Returns its number.
    pub fn begin(&mut self, continuation: WriteContinuation, now: Millis) -> u64 {
        self.last_number += 1;
        let write = PendingWrite {
            began_at: now,
            continuation,
        };
        self.pending.insert(self.last_number, write);
        self.last_number
    }

    /// Records that the writes of these numbers are synced. Returns their continuations in the same order.
    pub fn synced(&mut self, numbers: &[u64], now: Millis) -> Vec<WriteContinuation> {
        let mut continuations = Vec::new();
        for number in numbers {
            let Some(write) = self.pending.remove(number) else {
                continue;
            };
            let latency_ms = now.since(write.began_at);
            if latency_ms >= self.latency.slow_ms() {
                self.last_slow_at = Some(now);
            }
            self.latency.observed(latency_ms);
            continuations.push(write.continuation);
        }
        continuations
    }

    /// Excludes a stall of this process, which just ended, from the latency of the unsynced writes.
    pub fn exclude_stall(&mut self, stalled_ms: u64, now: Millis) {
        for write in self.pending.values_mut() {
            write.began_at = write.began_at.plus(stalled_ms).min(now);
        }
    }

    /// Records that a write failed. The driver retries it.
    pub fn failed(&mut self, now: Millis) {
        self.last_slow_at = Some(now);
    }

    /// The slowest recent latency of a write, including those that are not synced yet, in milliseconds.
    pub fn latency_ms(&self, now: Millis) -> u64 {
        self.latency.slowest_ms().max(self.oldest_pending_ms(now))
    }

    /// Whether no write has been slow or failed recently.
    pub fn is_healthy(&self, now: Millis) -> bool {
        let is_slow = self.oldest_pending_ms(now) >= self.latency.slow_ms();
        let was_slow = self
            .last_slow_at
            .is_some_and(|at| now.since(at) < RECOVERY_MS);
        !is_slow && !was_slow
    }

    fn oldest_pending_ms(&self, now: Millis) -> u64 {
        let oldest = self.pending.values().next();
        oldest.map_or(0, |write| now.since(write.began_at))
    }
}
