//! Messages of other replicas.

use crate::chain::{Chain, ResendRequest, RECOVERY_BARRIER};
use crate::effect::{Effect, ReplicaStatus};
use crate::follower::Follower;
use crate::limits::RESEND_MS;
use crate::snapshot::{SnapshotChunk, Taken};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;
use lupinrack_cluster_api::time::Millis;

/// The contents of an `Append` of this view.
struct Append {
    previous: u64,
    entries: Vec<LogEntry>,
    committed: u64,
    barrier: u64,
}

impl Chain {
    /// Takes a message. One of an older view is answered with the newer one; one of a newer view is dropped, since its
    /// sender repeats itself. The view in an `Outdated` message is for the driver, who has it agreed and stored first.
    pub fn receive(&mut self, from: DiskId, message: ChainMessage, now: Millis) -> Vec<Effect> {
        let Some(view) = view_number(&message) else {
            return self.take_effects();
        };
        if view < self.view.number {
            self.send(
                from,
                ChainMessage::Outdated {
                    view: self.view.clone(),
                },
            );
        } else if view == self.view.number {
            self.receive_current(from, message, now);
        }
        self.take_effects()
    }

    fn receive_current(&mut self, from: DiskId, message: ChainMessage, now: Millis) {
        match message {
            ChainMessage::Append {
                previous,
                entries,
                committed,
                barrier,
                ..
            } => self.receive_append(
                from,
                Append {
                    previous,
                    entries,
                    committed,
                    barrier,
                },
                now,
            ),
            ChainMessage::Acknowledge {
                synced, barrier, ..
            } => self.receive_acknowledge(from, synced, barrier, now),
            ChainMessage::Resend { have, .. } => self.receive_resend(from, have, now),
            ChainMessage::Snapshot {
                snapshot,
                chunk,
                bytes,
                ..
            } => self.receive_chunk(
                from,
                SnapshotChunk {
                    snapshot,
                    chunk,
                    bytes,
                },
                now,
            ),
            ChainMessage::SnapshotReceived {
                snapshot, chunks, ..
            } => self.receive_snapshot_answer(from, snapshot, chunks, now),
            ChainMessage::Join { have, .. } => self.receive_join(from, have.unwrap_or(0), now),
            ChainMessage::Outdated { .. } => {}
        }
    }

    /// From whom this disk takes entries: a member from its predecessor, a spare from its feeder.
    pub(crate) fn source(&self) -> Option<DiskId> {
        if self.is_member() {
            self.predecessor()
        } else {
            self.feeder.of(&self.view)
        }
    }

    fn receive_append(&mut self, from: DiskId, append: Append, now: Millis) {
        if self.source() != Some(from) {
            return;
        }
        if self.is_member() {
            self.append_as_member(append, now);
        } else {
            self.feeder.heard(now);
            self.append_as_spare(append, now);
        }
    }

    fn append_as_member(&mut self, append: Append, now: Millis) {
        self.trust_committed(append.committed);
        if append.previous > self.verified {
            self.ask_resend(self.verified, now);
            return;
        }
        self.aligned = true;
        let is_probe = append.entries.is_empty();
        if is_probe {
            // It asks for an acknowledgement, whether there is news or not.
            self.acknowledged = None;
        }
        self.take_entries(append.entries);
        self.take_barrier(append.barrier);
        self.progress(now);
        self.feed_successor(now);
        if is_probe {
            self.relay_committed(now);
        }
    }

    fn append_as_spare(&mut self, append: Append, now: Millis) {
        if append.previous > self.log.last() {
            self.ask_resend(self.log.last(), now);
            return;
        }
        self.keeping_up.told(append.committed, now);
        self.told_committed = self.told_committed.max(append.committed);
        let committed = append.committed;
        self.take_entries(
            append
                .entries
                .into_iter()
                .take_while(|entry| entry.index <= committed)
                .collect(),
        );
        self.progress(now);
    }

    /// Compares entries with the log, and appends from the first one that differs or is new.
    fn take_entries(&mut self, entries: Vec<LogEntry>) {
        let verified = self.verified;
        let mut entries = entries
            .into_iter()
            .skip_while(|entry| entry.index <= verified)
            .peekable();
        while let Some(entry) = entries.next_if(|entry| self.log.get(entry.index) == Some(entry)) {
            self.verified = entry.index;
        }
        let news: Vec<LogEntry> = entries.collect();
        let continues = news
            .first()
            .is_some_and(|entry| entry.index == self.verified + 1);
        if !continues {
            return;
        }
        self.truncate_after(self.verified);
        for entry in &news {
            self.log.push(entry.clone());
        }
        self.verified = self.log.last();
        self.effects.push(Effect::Append(news));
    }

    /// A barrier comes behind everything that the head had when the view began.
    fn take_barrier(&mut self, barrier: u64) {
        self.barrier = self.barrier.max(barrier);
        if self.barrier >= RECOVERY_BARRIER {
            self.change_replica_status(ReplicaStatus::Complete);
        }
    }

    fn receive_acknowledge(&mut self, from: DiskId, synced: u64, barrier: u64, now: Millis) {
        let Some(successor) = self
            .successor
            .as_mut()
            .filter(|successor| successor.disk == from)
        else {
            return;
        };
        successor.acknowledge(synced, barrier, now);
        self.feed_successor(now);
        self.progress(now);
    }

    fn receive_resend(&mut self, from: DiskId, have: u64, now: Millis) {
        let limit = self.verified;
        if let Some(successor) = self
            .successor
            .as_mut()
            .filter(|successor| successor.disk == from)
        {
            if successor.resend_after(have, limit, &self.log, now) {
                self.probe_successor(now);
            }
        } else if let Some(joiner) = self.joiners.get_mut(&from) {
            if joiner.resend_after(have, self.committed, &self.log, now) {
                self.feed_joiner(from, true, now);
            }
        }
    }

    fn receive_join(&mut self, from: DiskId, have: u64, now: Millis) {
        if !self.is_member() || self.view.position(from).is_some() {
            return;
        }
        let committed = self.committed;
        let joiner = self
            .joiners
            .entry(from)
            .or_insert_with(|| Follower::new(from, have.min(committed), now));
        joiner.joiner_stands_at(have, committed, &self.log, now);
        self.feed_joiner(from, true, now);
    }

    /// Snapshots are for disks that lack committed entries; a complete member lacks none.
    fn receive_chunk(&mut self, from: DiskId, chunk: SnapshotChunk, now: Millis) {
        if self.source() != Some(from) || self.replica_status != ReplicaStatus::Joining {
            return;
        }
        self.feeder.heard(now);
        let snapshot = chunk.snapshot;
        if snapshot.index <= self.log.last() {
            return self.answer_chunk(snapshot, snapshot.chunks);
        }
        match self.incoming.take(chunk, now) {
            Taken::Nothing => {}
            Taken::Pieces(chunks) => self.answer_chunk(snapshot, chunks),
            Taken::Whole(bytes) => {
                self.answer_chunk(snapshot, snapshot.chunks);
                self.install(snapshot, bytes, now);
            }
        }
    }

    pub(crate) fn answer_chunk(&mut self, snapshot: SnapshotIdentity, chunks: u32) {
        let Some(source) = self.source() else { return };
        self.send(
            source,
            ChainMessage::SnapshotReceived {
                view: self.view.number,
                snapshot,
                chunks,
            },
        );
    }

    fn receive_snapshot_answer(
        &mut self,
        from: DiskId,
        snapshot: SnapshotIdentity,
        chunks: u32,
        now: Millis,
    ) {
        let successor = self
            .successor
            .as_mut()
            .filter(|successor| successor.disk == from);
        let Some(follower) = successor.or(self.joiners.get_mut(&from)) else {
            return;
        };
        follower.snapshot_received(snapshot, chunks, now);
        self.send_pieces(now);
        self.feed_successor(now);
        self.feed_joiner(from, false, now);
    }

    fn install(&mut self, snapshot: SnapshotIdentity, bytes: Vec<u8>, now: Millis) {
        let index = snapshot.index;
        self.installing = Some(snapshot);
        self.log.reset(index);
        self.disk.synced = 0;
        self.disk.rewrites += 1;
        self.verified = index;
        self.committed = index;
        self.told_committed = self.told_committed.max(index);
        self.effects.push(Effect::Install { index, bytes });
        self.progress(now);
    }

    /// Asks the source for entries after `have`, unless it was asked for the same a moment ago.
    pub(crate) fn ask_resend(&mut self, have: u64, now: Millis) {
        let Some(source) = self.source() else { return };
        let asked =
            |request: &ResendRequest| request.have == have && now.since(request.at) < RESEND_MS;
        if self.resend.as_ref().is_some_and(asked) {
            return;
        }
        self.resend = Some(ResendRequest { have, at: now });
        self.send(
            source,
            ChainMessage::Resend {
                view: self.view.number,
                have,
            },
        );
    }
}

/// The sender's view; none for a message that belongs to no view.
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
