//! A disk that receives entries from this one: the successor of a member, or a spare that joins.

use crate::flow_control::{FlowControl, MIN_WINDOW_BYTES};
use crate::limits::{ByteLimits, RESEND_INTERVAL_MS, WINDOW_ENTRIES};
use crate::log::Log;
use crate::sender_state::SenderState;
use crate::snapshot::{SharedSnapshot, SnapshotTransfer};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;

/// How many times the period in which a repeated request is ignored doubles at most.
const MAX_RESEND_DOUBLINGS: u32 = 4;

/// The last request to resend entries.
#[derive(Clone, Copy, Debug)]
struct ResendRequest {
    /// The last index that the requester had.
    have: u64,
    /// When the request came.
    at: Millis,
    /// How many times the same was requested before.
    repetitions: u32,
}

/// What a sender knows of a disk that it sends entries to.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) disk: DiskId,
    /// The last index that was sent to it.
    sent: u64,
    /// The index before the first entry that counts as in flight.
    window_start: u64,
    /// What it has acknowledged in this view; none before its first message.
    acknowledged: Option<u64>,
    /// The barrier that it has acknowledged in this view.
    barrier_acknowledged: u64,
    /// The committed index that it was sent.
    committed_sent: u64,
    /// The barrier that it was sent.
    barrier_sent: u64,
    /// When its last message came, or it was last probed.
    last_contact: Millis,
    flow: FlowControl,
    resend: Option<ResendRequest>,
    transfer: SnapshotTransfer,
}

impl Follower {
    /// A disk that is assumed to have every entry up to `sent` until it reports otherwise.
    pub(crate) fn new(disk: DiskId, sent: u64, now: Millis) -> Follower {
        Follower {
            disk,
            sent,
            window_start: sent,
            acknowledged: None,
            barrier_acknowledged: 0,
            committed_sent: 0,
            barrier_sent: 0,
            last_contact: now,
            flow: FlowControl::new(now),
            resend: None,
            transfer: SnapshotTransfer::NotNeeded,
        }
    }

    /// The last index that it has acknowledged in this view; none before its first message.
    pub(crate) fn acknowledged(&self) -> Option<u64> {
        self.acknowledged
    }

    /// The last barrier that it has acknowledged in this view; 0 for none.
    pub(crate) fn barrier_acknowledged(&self) -> u64 {
        self.barrier_acknowledged
    }

    /// Milliseconds since its last message or the last probe.
    pub(crate) fn quiet_ms(&self, now: Millis) -> u64 {
        now.since(self.last_contact)
    }

    /// Notes that it is probed after it was quiet.
    pub(crate) fn probed(&mut self, now: Millis) {
        self.last_contact = now;
    }

    /// The next entries for it; none if all are sent, the window is full, or a snapshot is being
    /// transferred.
    pub(crate) fn next_entries(&mut self, log: &Log, state: SenderState) -> Option<ChainMessage> {
        let limit = state.limit.min(self.window_start + WINDOW_ENTRIES);
        let in_flight = log.bytes_between(self.window_start, self.sent);
        // Entries that are no longer in memory cannot be counted; all of them are still in flight.
        let has_uncounted = self.window_start < log.floor() && self.window_start < self.sent;
        let window = self.flow.window_bytes(state.limits.window);
        let is_full = has_uncounted || in_flight >= window;
        let awaits_snapshot = self.transfer.is_pending() || self.lacks_entries(log);
        if self.sent >= limit || is_full || awaits_snapshot {
            return None;
        }
        Some(self.append(log, limit, state))
    }

    /// Whether the next entry for it is no longer in memory.
    pub(crate) fn lacks_entries(&self, log: &Log) -> bool {
        self.sent < log.floor()
    }

    /// The index after which it still needs entries, or will once its snapshot is installed.
    pub(crate) fn needs_after(&self) -> u64 {
        let acknowledged = self.acknowledged.unwrap_or(self.sent);
        match &self.transfer {
            SnapshotTransfer::NotNeeded | SnapshotTransfer::Requested => acknowledged,
            SnapshotTransfer::Sending(snapshot) => snapshot.index(),
            SnapshotTransfer::Received { index, .. } => acknowledged.max(*index),
        }
    }

    /// An `Append` without entries, which carries the committed index and the barrier and requests
    /// an acknowledgement.
    pub(crate) fn probe(&mut self, log: &Log, state: SenderState) -> ChainMessage {
        self.append(log, self.sent, state)
    }

    fn append(&mut self, log: &Log, limit: u64, state: SenderState) -> ChainMessage {
        let previous = self.sent;
        let entries = log.batch(previous, limit);
        self.sent = previous + entries.len() as u64;
        // A barrier covers every entry that the sender has, so it is sent only after all of them.
        let barrier = if self.sent >= state.limit {
            state.barrier
        } else {
            0
        };
        self.barrier_sent = self.barrier_sent.max(barrier);
        self.committed_sent = state.committed;
        ChainMessage::Append {
            view: state.view_number,
            previous,
            entries,
            committed: state.committed,
            barrier,
        }
    }

    /// Whether the committed index was not sent yet.
    pub(crate) fn lacks_committed(&self, state: SenderState) -> bool {
        self.committed_sent < state.committed
    }

    /// Whether the barrier was not sent yet and can be.
    pub(crate) fn lacks_barrier(&self, state: SenderState) -> bool {
        self.barrier_sent < state.barrier && self.sent >= state.limit
    }

    /// Whether an acknowledgement of it is outstanding.
    pub(crate) fn is_behind(&self, state: SenderState) -> bool {
        let expected = self.sent.max(state.limit);
        let has_acknowledged = self.acknowledged.is_some_and(|index| index >= expected);
        !has_acknowledged || self.barrier_acknowledged < state.barrier
    }

    /// Notes an acknowledgement.
    pub(crate) fn acknowledge(&mut self, index: u64, barrier: u64, now: Millis) {
        self.last_contact = now;
        if self.acknowledged.is_none_or(|before| index > before) {
            self.acknowledged = Some(index);
            self.progressed(now);
        }
        self.window_start = self.window_start.max(index);
        self.barrier_acknowledged = self.barrier_acknowledged.max(barrier);
        self.end_transfer_at(index, now);
    }

    fn progressed(&mut self, now: Millis) {
        self.flow.progressed(now);
        self.resend = None;
    }

    /// Resends the entries after `have`, up to `limit`. Returns false if the request is ignored: a
    /// repeated request for many bytes is ignored for a period that grows with each repetition,
    /// since the answer to the earlier one is still in flight.
    pub(crate) fn resend_after(&mut self, have: u64, limit: u64, log: &Log, now: Millis) -> bool {
        self.last_contact = now;
        let before = self.resend.filter(|before| before.have == have);
        let repetitions = before.map_or(0, |before| before.repetitions + 1);
        let is_too_early = |before: ResendRequest| {
            now.since(before.at)
                < RESEND_INTERVAL_MS << before.repetitions.min(MAX_RESEND_DOUBLINGS)
        };
        let is_large = log.bytes_between(have, limit) > MIN_WINDOW_BYTES;
        if is_large && before.is_some_and(is_too_early) {
            return false;
        }
        self.resend = Some(ResendRequest {
            have,
            at: now,
            repetitions,
        });
        self.rewind(have, limit, now);
        true
    }

    fn rewind(&mut self, have: u64, limit: u64, now: Millis) {
        self.flow.begin_wait(now);
        self.sent = have.min(limit);
        self.window_start = self.sent;
    }

    /// Notes the `Join` of a spare that has synced everything up to `have`. If the entries in flight
    /// count as lost, they are sent again from `have` on.
    pub(crate) fn receive_join(&mut self, have: u64, limit: u64, log: &Log, now: Millis) {
        self.last_contact = now;
        let before = self.acknowledged.replace(have);
        if before != Some(have) {
            self.progressed(now);
            self.window_start = have;
        }
        self.end_transfer_at(have, now);
        let went_back = before.is_some_and(|before| have < before);
        let is_new = before.is_none() || went_back || have > self.sent;
        let in_flight = log.bytes_between(have, self.sent);
        if is_new || (self.sent > have && self.flow.detect_stall(in_flight, now)) {
            self.rewind(have, limit, now);
        }
    }

    /// Notes that the entries in flight may be lost; they are resent with the next entries.
    pub(crate) fn disconnected(&mut self, now: Millis) {
        self.flow = FlowControl::new(now);
        self.resend = None;
        if let SnapshotTransfer::Sending(snapshot) = &mut self.transfer {
            snapshot.rewind();
        } else if let Some(acknowledged) = self.acknowledged {
            self.rewind(acknowledged, self.sent, now);
        }
    }

    /// Whether chunks of a snapshot are being sent to it.
    pub(crate) fn is_sent_snapshot(&self) -> bool {
        matches!(self.transfer, SnapshotTransfer::Sending(_))
    }

    /// Whether a snapshot has to be requested for it; if so, it is marked as requested.
    pub(crate) fn request_snapshot(&mut self, now: Millis) -> bool {
        self.transfer.request(self.acknowledged, now)
    }

    /// Starts to send a snapshot if one was requested for it.
    pub(crate) fn start_snapshot(&mut self, snapshot: &SharedSnapshot, now: Millis) {
        if self.transfer.start(snapshot) {
            self.flow.begin_wait(now);
        }
    }

    /// The next chunks of a snapshot, as many as the window holds; chunks that count as lost are
    /// resent.
    pub(crate) fn next_chunks(
        &mut self,
        view_number: u64,
        limits: &ByteLimits,
        now: Millis,
    ) -> Vec<ChainMessage> {
        let SnapshotTransfer::Sending(snapshot) = &mut self.transfer else {
            return Vec::new();
        };
        if snapshot.is_unanswered() && self.flow.detect_stall(snapshot.bytes_in_flight(), now) {
            snapshot.rewind();
        }
        let window = self.flow.window_bytes(limits.window);
        std::iter::from_fn(|| snapshot.next_message(view_number, window)).collect()
    }

    /// Notes how many chunks of a snapshot it reports to have.
    pub(crate) fn snapshot_received(
        &mut self,
        identity: SnapshotIdentity,
        chunks: u32,
        now: Millis,
    ) {
        self.last_contact = now;
        match &mut self.transfer {
            SnapshotTransfer::Sending(snapshot) => {
                if snapshot.acknowledge(identity, chunks) {
                    self.flow.progressed(now);
                }
                if snapshot.is_received() {
                    self.end_transfer_at(identity.index, now);
                }
            }
            // The disk is still installing the snapshot.
            SnapshotTransfer::Received { index, at } if *index == identity.index => *at = now,
            SnapshotTransfer::NotNeeded
            | SnapshotTransfer::Requested
            | SnapshotTransfer::Received { .. } => {}
        }
    }

    /// Continues with entries once the receiver has installed the snapshot.
    fn end_transfer_at(&mut self, have: u64, now: Millis) {
        if let Some(index) = self.transfer.end_at(have, now) {
            self.sent = index;
            self.window_start = index;
        }
    }
}
