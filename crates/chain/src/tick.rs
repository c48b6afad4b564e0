//! Periodic work: repetitions, probes and `Join` messages.

use crate::chain::Chain;
use crate::effect::Effect;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::time::Millis;

impl Chain {
    /// Repeats unanswered messages and sends spares new entries. To be called about every 50 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        if self.is_member() {
            self.tick_as_member(now);
        } else {
            self.tick_as_spare(now);
        }
        self.outbox.take()
    }

    fn tick_as_member(&mut self, now: Millis) {
        if !self.upstream.is_aligned() {
            self.request_resend(self.log.last(), now);
        }
        self.progress(now);
        self.send_chunks(now);
        self.feed_successor(now);
        if self.downstream.take_due_probe(self.member_state(), now) {
            self.probe_successor(now);
        } else {
            self.forward_committed(now);
        }
        self.feed_joiners(now);
        self.downstream.drop_sent_snapshot();
    }

    fn tick_as_spare(&mut self, now: Millis) {
        if !self.catch_up.is_join_due(now) {
            return;
        }
        if self.is_disk_idle() {
            self.join(now);
        } else if let Some(snapshot) = self.snapshots.installing() {
            // A slow disk may take long to install. The answer keeps the source from dropping the
            // entries after the snapshot.
            self.catch_up.postpone_join(now);
            self.answer_chunk(snapshot, snapshot.chunks);
        }
    }

    /// Reports to the source the index up to which this spare has synced everything.
    fn join(&mut self, now: Millis) {
        let view = self.role.view();
        self.catch_up.source.switch_on_timeout(view, now);
        let Some(source) = self.source() else { return };
        let synced = self.log.synced();
        self.catch_up.joined(synced, now);
        let (view, disk) = (self.role.view_number(), self.role.me());
        self.outbox.send(
            source,
            ChainMessage::Join {
                view,
                disk,
                have: Some(synced),
            },
        );
    }

    /// Sends a `Join` early once half a window was synced since the last one, so that the window of
    /// the source moves on.
    pub(crate) fn join_after_progress(&mut self, now: Millis) {
        let (before, synced) = (self.catch_up.synced_at_last_join(), self.log.synced());
        let bytes = self.log.entries().bytes_between(before, synced);
        let has_progressed = self.catch_up.has_joined() && before < synced;
        if has_progressed && self.is_disk_idle() && bytes >= self.limits.window / 2 {
            self.join(now);
        }
    }
}
