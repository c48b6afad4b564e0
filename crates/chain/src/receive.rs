//! Messages received from other replicas.

use crate::chain::Chain;
use crate::downstream::JoinerFeed;
use crate::effect::Effect;
use crate::replica_status::ReplicaStatus;
use crate::snapshot::SnapshotChunk;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;
use lupinrack_cluster_api::time::Millis;

/// The contents of an `Append` of this view.
struct Append {
    /// The index before the first of the entries.
    previous: u64,
    /// Entries without gaps; empty in a probe.
    entries: Vec<LogEntry>,
    /// Everything up to this index is committed.
    committed: u64,
    /// The newest barrier of the sender; 0 if there is none or entries before it were not sent yet.
    barrier: u64,
}

impl Chain {
    /// Receives a message.
    ///
    /// A message of an older view is answered with the newer view. A message of a newer view is
    /// dropped, since its sender repeats it. The view in an `Outdated` message is handled by the
    /// driver, which stores it and then calls [`Chain::adopt_view`].
    pub fn receive(&mut self, from: DiskId, message: ChainMessage, now: Millis) -> Vec<Effect> {
        let Some(view_number) = view_number(&message) else {
            return self.outbox.take();
        };
        if view_number < self.role.view_number() {
            let view = self.role.view().clone();
            self.outbox.send(from, ChainMessage::Outdated { view });
        } else if view_number == self.role.view_number() {
            self.receive_current(from, message, now);
        }
        self.outbox.take()
    }

    /// Receives a message of this view.
    fn receive_current(&mut self, from: DiskId, message: ChainMessage, now: Millis) {
        match message {
            ChainMessage::Append {
                previous,
                entries,
                committed,
                barrier,
                ..
            } => {
                let append = Append {
                    previous,
                    entries,
                    committed,
                    barrier,
                };
                self.receive_append(from, append, now);
            }
            ChainMessage::Acknowledge {
                synced, barrier, ..
            } => {
                self.receive_acknowledge(from, synced, barrier, now);
            }
            ChainMessage::Resend { have, .. } => self.receive_resend(from, have, now),
            ChainMessage::Snapshot {
                snapshot,
                chunk,
                bytes,
                ..
            } => {
                let chunk = SnapshotChunk {
                    snapshot,
                    chunk,
                    bytes,
                };
                self.receive_chunk(from, &chunk, now);
            }
            ChainMessage::SnapshotReceived {
                snapshot, chunks, ..
            } => {
                self.receive_snapshot_answer(from, snapshot, chunks, now);
            }
            ChainMessage::Join { have, .. } => self.receive_join(from, have.unwrap_or(0), now),
            ChainMessage::Outdated { .. } => {}
        }
    }

    fn receive_append(&mut self, from: DiskId, append: Append, now: Millis) {
        if self.source() != Some(from) {
            return;
        }
        if self.is_member() {
            self.append_as_member(append, now);
        } else {
            self.catch_up.source.received(now);
            self.append_as_spare(append, now);
        }
    }

    fn append_as_member(&mut self, append: Append, now: Millis) {
        self.learn_committed(append.committed);
        if append.previous > self.log.verified() {
            self.request_resend(self.log.verified(), now);
            return;
        }
        self.upstream.align();
        let is_probe = append.entries.is_empty();
        if is_probe {
            self.upstream.acknowledge_again();
        }
        self.log.merge(append.entries, &mut self.outbox);
        self.receive_barrier(append.barrier);
        self.progress(now);
        self.feed_successor(now);
        if is_probe {
            self.forward_committed(now);
        }
    }

    /// Notes the committed index of the predecessor. A complete replica holds every committed entry,
    /// so its log is verified up to that index.
    fn learn_committed(&mut self, committed: u64) {
        self.log.announce(committed);
        if self.status.status() == ReplicaStatus::Complete {
            self.log.verify_announced();
        }
    }

    /// Appends entries to a spare, which holds committed entries only.
    fn append_as_spare(&mut self, append: Append, now: Millis) {
        if append.previous > self.log.last() {
            self.request_resend(self.log.last(), now);
            return;
        }
        let committed = append.committed;
        self.catch_up.lag.announced(committed, now);
        self.log.announce(committed);
        let is_committed = |entry: &LogEntry| entry.index <= committed;
        let entries = append
            .entries
            .into_iter()
            .take_while(is_committed)
            .collect();
        self.log.merge(entries, &mut self.outbox);
        self.progress(now);
    }

    /// Notes a barrier, which follows every entry that the head had when the view began.
    fn receive_barrier(&mut self, barrier: u64) {
        self.barriers.receive(barrier);
        if self.barriers.has_recovery_barrier() {
            self.status
                .change(ReplicaStatus::Complete, &mut self.outbox);
        }
    }

    fn receive_acknowledge(&mut self, from: DiskId, synced: u64, barrier: u64, now: Millis) {
        let Some(successor) = self.downstream.successor_mut(from) else {
            return;
        };
        successor.acknowledge(synced, barrier, now);
        self.feed_successor(now);
        self.progress(now);
    }

    fn receive_resend(&mut self, from: DiskId, have: u64, now: Millis) {
        let (verified, committed) = (self.log.verified(), self.log.committed());
        if let Some(successor) = self.downstream.successor_mut(from) {
            if successor.resend_after(have, verified, self.log.entries(), now) {
                self.probe_successor(now);
            }
        } else if let Some(joiner) = self.downstream.joiner_mut(from) {
            if joiner.resend_after(have, committed, self.log.entries(), now) {
                self.feed_joiner(from, JoinerFeed::Answer, now);
            }
        }
    }

    fn receive_join(&mut self, from: DiskId, have: u64, now: Millis) {
        if !self.is_member() || self.role.has_member(from) {
            return;
        }
        let committed = self.log.committed();
        let joiner = self
            .downstream
            .joiner_or_insert(from, have.min(committed), now);
        joiner.receive_join(have, committed, self.log.entries(), now);
        self.feed_joiner(from, JoinerFeed::Answer, now);
    }

    /// Requests the entries after `have` from the source, unless the same were requested within
    /// [`RESEND_INTERVAL_MS`](crate::limits::RESEND_INTERVAL_MS).
    pub(crate) fn request_resend(&mut self, have: u64, now: Millis) {
        let Some(source) = self.source() else { return };
        if self.upstream.request_resend(have, now) {
            let view = self.role.view_number();
            self.outbox
                .send(source, ChainMessage::Resend { view, have });
        }
    }
}

/// The number of the sender's view; none for a message that belongs to no view.
fn view_number(message: &ChainMessage) -> Option<u64> {
    match message {
        ChainMessage::Append { view, .. }
        | ChainMessage::Acknowledge { view, .. }
        | ChainMessage::Resend { view, .. }
        | ChainMessage::Snapshot { view, .. }
        | ChainMessage::SnapshotReceived { view, .. }
        | ChainMessage::Join { view, .. } => Some(*view),
        ChainMessage::Outdated { .. } => None,
    }
}
