//! What a member knows of a disk that it sends entries to: its successor, or a spare that joins.

use crate::limits::{SNAPSHOT_PIECES_PER_TICK, SNAPSHOT_RETRY_MS, WINDOW_ENTRIES};
use crate::log::Log;
use crate::snapshot::OutgoingSnapshot;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::wire::ChainMessage;
use std::sync::Arc;

/// What a sender tells with every `Append`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderState {
    /// The sender's view.
    pub(crate) view: u64,
    /// The last index that may be sent.
    pub(crate) limit: u64,
    /// Everything up to here is committed.
    pub(crate) committed: u64,
    /// The newest barrier.
    pub(crate) barrier: u64,
}

/// How a snapshot for this disk stands.
#[derive(Debug)]
enum Transfer {
    NotNeeded,
    /// The driver was asked for it.
    Wanted,
    Sending(OutgoingSnapshot),
    Sent {
        at: Millis,
    },
}

/// A disk that is sent entries.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) disk: DiskId,
    /// The last index that was sent to it.
    sent: u64,
    /// Where the window of entries on their way begins.
    window_start: u64,
    /// What it has acknowledged in this view; none before it was heard.
    pub(crate) acknowledged: Option<u64>,
    /// The barrier that it has acknowledged in this view.
    pub(crate) barrier_acknowledged: u64,
    committed_told: u64,
    barrier_told: u64,
    /// When it was last heard, or last probed.
    pub(crate) heard_at: Millis,
    /// When it last acknowledged more than before.
    pub(crate) advanced_at: Millis,
    transfer: Transfer,
}

impl Follower {
    /// A disk that is assumed to have everything up to `sent`, until it says otherwise.
    pub(crate) fn new(disk: DiskId, sent: u64, now: Millis) -> Follower {
        Follower {
            disk,
            sent,
            window_start: sent,
            acknowledged: None,
            barrier_acknowledged: 0,
            committed_told: 0,
            barrier_told: 0,
            heard_at: now,
            advanced_at: now,
            transfer: Transfer::NotNeeded,
        }
    }

    /// The next entries for it; none where all are sent, the window is full or a snapshot is on its way.
    pub(crate) fn next_entries(&mut self, log: &Log, state: SenderState) -> Option<ChainMessage> {
        let limit = state.limit.min(self.window_start + WINDOW_ENTRIES);
        if self.sent >= limit || self.awaits_snapshot() || self.lacks_entries(log) {
            return None;
        }
        Some(self.append(log, limit, state))
    }

    /// Whether what follows is no longer in memory.
    pub(crate) fn lacks_entries(&self, log: &Log) -> bool {
        self.sent < log.floor()
    }

    /// An `Append` without entries, which tells the committed index and the barrier, and asks for an acknowledgement.
    pub(crate) fn probe(&mut self, log: &Log, state: SenderState) -> ChainMessage {
        self.append(log, self.sent, state)
    }

    fn append(&mut self, log: &Log, limit: u64, state: SenderState) -> ChainMessage {
        let previous = self.sent;
        let entries = log.batch(previous, limit);
        self.sent = previous + entries.len() as u64;
        // A barrier vouches for everything that the sender has, so it goes out only behind all of that.
        let barrier = if self.sent >= state.limit { state.barrier } else { 0 };
        self.barrier_told = self.barrier_told.max(barrier);
        self.committed_told = state.committed;
        ChainMessage::Append { view: state.view, previous, entries, committed: state.committed, barrier }
    }

    /// Whether the committed index was not told yet.
    pub(crate) fn lacks_committed(&self, state: SenderState) -> bool {
        self.committed_told < state.committed
    }

    /// Whether the barrier was not told yet and can be.
    pub(crate) fn lacks_barrier(&self, state: SenderState) -> bool {
        self.barrier_told < state.barrier && self.sent >= state.limit
    }

    /// Whether it owes an acknowledgement.
    pub(crate) fn is_behind(&self, state: SenderState) -> bool {
        let acknowledged = self.acknowledged.is_some_and(|index| index >= self.sent.max(state.limit));
        !acknowledged || self.barrier_acknowledged < state.barrier
    }

    /// Notes an acknowledgement.
    pub(crate) fn acknowledge(&mut self, index: u64, barrier: u64, now: Millis) {
        self.heard_at = now;
        if self.acknowledged.is_none_or(|before| index > before) {
            self.acknowledged = Some(index);
            self.advanced_at = now;
        }
        self.window_start = self.window_start.max(index);
        self.barrier_acknowledged = self.barrier_acknowledged.max(barrier);
    }

    /// Continues after `have`, as far as the sender has entries.
    pub(crate) fn rewind(&mut self, have: u64, limit: u64, now: Millis) {
        self.heard_at = now;
        self.advanced_at = now;
        self.sent = have.min(limit);
        self.window_start = self.sent;
    }

    /// Notes where a spare stands, and sends again what seems to be lost.
    pub(crate) fn joiner_stands_at(&mut self, have: u64, limit: u64, stalled_ms: u64, now: Millis) {
        self.heard_at = now;
        let before = self.acknowledged.replace(have);
        if before != Some(have) {
            self.advanced_at = now;
            self.window_start = have;
        }
        let went_back = before.is_some_and(|before| have < before);
        let stalled = self.sent > have && now.since(self.advanced_at) >= stalled_ms;
        if before.is_none() || went_back || stalled || have > self.sent {
            self.rewind(have, limit, now);
        }
    }

    fn awaits_snapshot(&self) -> bool {
        matches!(self.transfer, Transfer::Wanted | Transfer::Sending(_))
    }

    /// Whether a snapshot is to be asked for; marks it as asked for.
    pub(crate) fn request_snapshot(&mut self, now: Millis) -> bool {
        let due = match &self.transfer {
            Transfer::NotNeeded => true,
            Transfer::Wanted | Transfer::Sending(_) => false,
            Transfer::Sent { at } => now.since(*at) >= SNAPSHOT_RETRY_MS,
        };
        if due {
            self.transfer = Transfer::Wanted;
        }
        due
    }

    /// Begins to send a snapshot if one is wanted.
    pub(crate) fn start_snapshot(&mut self, index: u64, bytes: &Arc<Vec<u8>>) {
        if matches!(self.transfer, Transfer::Wanted) {
            self.transfer = Transfer::Sending(OutgoingSnapshot::new(index, Arc::clone(bytes)));
        }
    }

    /// The next pieces of a snapshot, as many as one tick may send.
    pub(crate) fn next_pieces(&mut self, view: u64, now: Millis) -> Vec<ChainMessage> {
        let Transfer::Sending(snapshot) = &mut self.transfer else { return Vec::new() };
        let mut messages = Vec::new();
        while messages.len() < SNAPSHOT_PIECES_PER_TICK {
            let Some(message) = snapshot.next_message(view) else { break };
            messages.push(message);
        }
        if snapshot.is_sent() {
            self.sent = snapshot.index();
            self.window_start = self.sent;
            self.transfer = Transfer::Sent { at: now };
        }
        messages
    }
}
