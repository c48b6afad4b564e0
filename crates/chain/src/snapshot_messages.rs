//! Messages that transfer snapshots, received and sent.

use crate::chain::Chain;
use crate::downstream::JoinerFeed;
use crate::effect::Effect;
use crate::replica_status::ReplicaStatus;
use crate::snapshot::{ReceiveOutcome, SharedSnapshot, SnapshotChunk};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;

impl Chain {
    /// Provides the applied state, up to `index`, for disks that need a snapshot.
    pub fn provide_snapshot(&mut self, index: u64, bytes: Vec<u8>, now: Millis) -> Vec<Effect> {
        let (snapshot, state) = (SharedSnapshot::new(index, bytes), self.member_state());
        self.downstream.snapshot_provided();
        self.downstream
            .start_snapshot(snapshot, state, now, &mut self.outbox);
        self.outbox.take()
    }

    /// Sends the next chunks of the snapshot to all disks that are receiving it.
    pub(crate) fn send_chunks(&mut self, now: Millis) {
        let view_number = self.role.view_number();
        self.downstream
            .send_chunks(view_number, &self.limits, now, &mut self.outbox);
    }

    /// Receives a chunk. Only disks that lack committed entries accept snapshots; a complete member
    /// lacks none.
    pub(crate) fn receive_chunk(&mut self, from: DiskId, chunk: &SnapshotChunk, now: Millis) {
        if self.source() != Some(from) || self.status.status() != ReplicaStatus::Joining {
            return;
        }
        self.catch_up.source.received(now);
        let snapshot = chunk.snapshot;
        if snapshot.index <= self.log.last() {
            return self.answer_chunk(snapshot, snapshot.chunks);
        }
        match self.snapshots.receive(chunk, now) {
            ReceiveOutcome::Malformed => {}
            ReceiveOutcome::Partial(chunks) => self.answer_chunk(snapshot, chunks),
            ReceiveOutcome::Complete(bytes) => {
                self.answer_chunk(snapshot, snapshot.chunks);
                self.install(snapshot, bytes, now);
            }
        }
    }

    /// Reports to the source how many chunks of a snapshot were received.
    pub(crate) fn answer_chunk(&mut self, snapshot: SnapshotIdentity, chunks: u32) {
        let Some(source) = self.source() else { return };
        let view = self.role.view_number();
        self.outbox.send(
            source,
            ChainMessage::SnapshotReceived {
                view,
                snapshot,
                chunks,
            },
        );
    }

    /// Receives the answer of a disk to chunks of a snapshot.
    pub(crate) fn receive_snapshot_answer(
        &mut self,
        from: DiskId,
        snapshot: SnapshotIdentity,
        chunks: u32,
        now: Millis,
    ) {
        let Some(follower) = self.downstream.follower_mut(from) else {
            return;
        };
        follower.snapshot_received(snapshot, chunks, now);
        self.send_chunks(now);
        self.feed_successor(now);
        self.feed_joiner(from, JoinerFeed::NewOnly, now);
    }

    fn install(&mut self, snapshot: SnapshotIdentity, bytes: Vec<u8>, now: Millis) {
        self.snapshots.begin_install(snapshot);
        self.log.install(snapshot.index, bytes, &mut self.outbox);
        self.progress(now);
    }
}
