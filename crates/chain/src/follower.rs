//! What a member knows of a disk that it sends entries to: its successor, or a spare that joins.

use crate::flow::{Flow, WINDOW_BYTES_LEAST};
use crate::limits::{ByteLimits, RESEND_MS, SNAPSHOT_RETRY_MS, WINDOW_ENTRIES};
use crate::log::Log;
use crate::snapshot::{OutgoingSnapshot, SharedSnapshot};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;

/// What a sender tells with every `Append`, and its bounds.
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
    /// Bounds of what is on its way.
    pub(crate) bytes: ByteLimits,
}

/// How a snapshot for this disk stands.
#[derive(Debug)]
enum Transfer {
    NotNeeded,
    /// The driver was asked for it.
    Wanted,
    Sending(OutgoingSnapshot),
    /// It was received whole.
    Received {
        /// The index that it covers.
        index: u64,
        /// When the receiver was last known to be at work on it.
        at: Millis,
    },
}

/// The last request to send again.
#[derive(Clone, Copy, Debug)]
struct Rewound {
    have: u64,
    at: Millis,
    /// How often the same was asked for.
    times: u32,
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
    flow: Flow,
    rewound: Option<Rewound>,
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
            flow: Flow::new(now),
            rewound: None,
            transfer: Transfer::NotNeeded,
        }
    }

    /// The next entries for it; none where all are sent, the window is full or a snapshot is on its way.
    pub(crate) fn next_entries(&mut self, log: &Log, state: SenderState) -> Option<ChainMessage> {
        let limit = state.limit.min(self.window_start + WINDOW_ENTRIES);
        let on_their_way = log.bytes_between(self.window_start, self.sent);
        // What has left memory cannot be counted; all of it is on its way still.
        let uncounted = self.window_start < log.floor() && self.window_start < self.sent;
        let is_full = uncounted || on_their_way >= self.flow.window(state.bytes.window);
        if self.sent >= limit || is_full || self.awaits_snapshot() || self.lacks_entries(log) {
            return None;
        }
        Some(self.append(log, limit, state))
    }

    /// Whether what follows is no longer in memory.
    pub(crate) fn lacks_entries(&self, log: &Log) -> bool {
        self.sent < log.floor()
    }

    /// The index after which it still needs entries, or will once its snapshot is installed.
    pub(crate) fn needs_after(&self) -> u64 {
        let acknowledged = self.acknowledged.unwrap_or(self.sent);
        match &self.transfer {
            Transfer::NotNeeded | Transfer::Wanted => acknowledged,
            Transfer::Sending(snapshot) => snapshot.index(),
            Transfer::Received { index, .. } => acknowledged.max(*index),
        }
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
        let barrier = if self.sent >= state.limit {
            state.barrier
        } else {
            0
        };
        self.barrier_told = self.barrier_told.max(barrier);
        self.committed_told = state.committed;
        ChainMessage::Append {
            view: state.view,
            previous,
            entries,
            committed: state.committed,
            barrier,
        }
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
        let acknowledged = self
            .acknowledged
            .is_some_and(|index| index >= self.sent.max(state.limit));
        !acknowledged || self.barrier_acknowledged < state.barrier
    }

    /// Notes an acknowledgement.
    pub(crate) fn acknowledge(&mut self, index: u64, barrier: u64, now: Millis) {
        self.heard_at = now;
        if self.acknowledged.is_none_or(|before| index > before) {
            self.acknowledged = Some(index);
            self.advanced(now);
        }
        self.window_start = self.window_start.max(index);
        self.barrier_acknowledged = self.barrier_acknowledged.max(barrier);
        self.end_transfer_at(index, now);
    }

    fn advanced(&mut self, now: Millis) {
        self.flow.advanced(now);
        self.rewound = None;
    }

    /// Continues after `have`, as far as the sender has entries. Where that is much, the same again within a moment, which
    /// grows, changes nothing: what was sent for it is still on its way.
    pub(crate) fn resend_after(&mut self, have: u64, limit: u64, log: &Log, now: Millis) -> bool {
        self.heard_at = now;
        let before = self.rewound.filter(|rewound| rewound.have == have);
        let times = before.map_or(0, |rewound| rewound.times + 1);
        let is_repetition =
            |rewound: Rewound| now.since(rewound.at) < RESEND_MS << rewound.times.min(4);
        let is_much = log.bytes_between(have, limit) > WINDOW_BYTES_LEAST;
        if is_much && before.is_some_and(is_repetition) {
            return false;
        }
        self.rewound = Some(Rewound {
            have,
            at: now,
            times,
        });
        self.rewind(have, limit, now);
        true
    }

    fn rewind(&mut self, have: u64, limit: u64, now: Millis) {
        self.flow.begins(now);
        self.sent = have.min(limit);
        self.window_start = self.sent;
    }

    /// Notes where a spare stands, and sends again what seems to be lost.
    pub(crate) fn joiner_stands_at(&mut self, have: u64, limit: u64, log: &Log, now: Millis) {
        self.heard_at = now;
        let before = self.acknowledged.replace(have);
        if before != Some(have) {
            self.advanced(now);
            self.window_start = have;
        }
        self.end_transfer_at(have, now);
        let went_back = before.is_some_and(|before| have < before);
        let is_new = before.is_none() || went_back || have > self.sent;
        let on_their_way = log.bytes_between(have, self.sent);
        if is_new || (self.sent > have && self.flow.has_stalled(on_their_way, now)) {
            self.rewind(have, limit, now);
        }
    }

    /// What was on its way may be lost; it is sent again at the next occasion.
    pub(crate) fn peer_disconnected(&mut self, now: Millis) {
        self.flow = Flow::new(now);
        self.rewound = None;
        if let Transfer::Sending(snapshot) = &mut self.transfer {
            snapshot.rewind();
        } else if let Some(acknowledged) = self.acknowledged {
            self.rewind(acknowledged, self.sent, now);
        }
    }

    fn awaits_snapshot(&self) -> bool {
        matches!(self.transfer, Transfer::Wanted | Transfer::Sending(_))
    }

    /// Whether pieces of a snapshot are being sent.
    pub(crate) fn is_sent_snapshot(&self) -> bool {
        matches!(self.transfer, Transfer::Sending(_))
    }

    /// Whether a snapshot is to be asked for; marks it as asked for. A disk that installed one and has fallen behind what
    /// is in memory again needs the next one at once.
    pub(crate) fn request_snapshot(&mut self, now: Millis) -> bool {
        let due = match &self.transfer {
            Transfer::NotNeeded => true,
            Transfer::Wanted | Transfer::Sending(_) => false,
            Transfer::Received { index, at } => {
                let snapshot_installed = self
                    .acknowledged
                    .is_some_and(|acknowledged| acknowledged >= *index);
                snapshot_installed || now.since(*at) >= SNAPSHOT_RETRY_MS
            }
        };
        if due {
            self.transfer = Transfer::Wanted;
        }
        due
    }

    /// Begins to send a snapshot if one is wanted.
    pub(crate) fn start_snapshot(&mut self, snapshot: &SharedSnapshot, now: Millis) {
        if matches!(self.transfer, Transfer::Wanted) {
            self.flow.begins(now);
            self.transfer = Transfer::Sending(OutgoingSnapshot::new(snapshot.clone()));
        }
    }

    /// The next pieces of a snapshot, as many as the window holds; those that seem to be lost come again.
    pub(crate) fn next_pieces(
        &mut self,
        view: u64,
        bytes: &ByteLimits,
        now: Millis,
    ) -> Vec<ChainMessage> {
        let Transfer::Sending(snapshot) = &mut self.transfer else {
            return Vec::new();
        };
        if snapshot.is_unanswered() && self.flow.has_stalled(snapshot.on_their_way(), now) {
            snapshot.rewind();
        }
        let window = self.flow.window(bytes.window);
        std::iter::from_fn(|| snapshot.next_message(view, window)).collect()
    }

    /// Takes the receiver's word on how much of a snapshot it has.
    pub(crate) fn snapshot_received(
        &mut self,
        identity: SnapshotIdentity,
        chunks: u32,
        now: Millis,
    ) {
        self.heard_at = now;
        match &mut self.transfer {
            Transfer::Sending(snapshot) => {
                if snapshot.take_answer(identity, chunks) {
                    self.flow.advanced(now);
                }
                if snapshot.is_received() {
                    self.end_transfer_at(identity.index, now);
                }
            }
            // It is still at work on it.
            Transfer::Received { index, at } if *index == identity.index => *at = now,
            Transfer::NotNeeded | Transfer::Wanted | Transfer::Received { .. } => {}
        }
    }

    /// Goes on with entries once the receiver has what the snapshot covers.
    fn end_transfer_at(&mut self, have: u64, now: Millis) {
        let Transfer::Sending(snapshot) = &self.transfer else {
            return;
        };
        let index = snapshot.index();
        if have >= index {
            self.sent = index;
            self.window_start = index;
            self.transfer = Transfer::Received { index, at: now };
        }
    }
}
