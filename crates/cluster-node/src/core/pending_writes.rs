//! Writes to the disk, and what follows once they are synced.

use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::collections::BTreeMap;

/// A write that is not synced after this long makes the disk unhealthy, in milliseconds.
const SLOW_WRITE_MS: u64 = 150;
/// A disk is healthy again once its writes were quick for this long, in milliseconds.
const QUICK_FOR_MS: u64 = 2_000;

/// What follows a write.
#[derive(Debug)]
pub enum AfterWrite {
    /// Nothing.
    Nothing,
    /// Answers of the agreement go out.
    SendVotes(Vec<(PeerAddress, AgreementMessage)>),
    /// The chain's entries up to this index are on the disk.
    EntriesWritten(u64),
    /// A view is on the disk and may be adopted.
    ViewStored(View),
    /// The log was cut after this index.
    Truncated(u64),
    /// What the log is worth is on the disk.
    ReplicaStatusStored,
    /// A state received from another member is on the disk.
    StateInstalled(u64),
}

#[derive(Debug)]
struct PendingWrite {
    since: Millis,
    then: AfterWrite,
}

/// The writes under way.
#[derive(Debug, Default)]
pub struct Disk {
    next_ticket: u64,
    pending: BTreeMap<u64, PendingWrite>,
    last_slow: Option<Millis>,
}

impl Disk {
    /// Notes a write that begins now, and numbers it.
    pub fn begin_write(&mut self, then: AfterWrite, now: Millis) -> u64 {
        self.next_ticket += 1;
        self.pending
            .insert(self.next_ticket, PendingWrite { since: now, then });
        self.next_ticket
    }

    /// These writes are synced: what follows them, in their order.
    pub fn synced(&mut self, tickets: &[u64], now: Millis) -> Vec<AfterWrite> {
        let mut following = Vec::new();
        for ticket in tickets {
            let Some(write) = self.pending.remove(ticket) else {
                continue;
            };
            if now.since(write.since) >= SLOW_WRITE_MS {
                self.last_slow = Some(now);
            }
            following.push(write.then);
        }
        following
    }

    /// A write failed; the writer tries again.
    pub fn failed(&mut self, now: Millis) {
        self.last_slow = Some(now);
    }

    /// Whether writes are synced in time.
    pub fn is_healthy(&self, now: Millis) -> bool {
        let oldest = self.pending.values().next();
        let waits_long = oldest.is_some_and(|write| now.since(write.since) >= SLOW_WRITE_MS);
        let was_slow = self
            .last_slow
            .is_some_and(|at| now.since(at) < QUICK_FOR_MS);
        !waits_long && !was_slow
    }
}
