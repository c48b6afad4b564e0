//! Syncs, acknowledgements and commits.

use crate::barrier::RECOVERY_BARRIER;
use crate::chain::Chain;
use crate::effect::Effect;
use crate::upstream::Acknowledgement;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::time::Millis;

impl Chain {
    /// Reports that every appended entry up to `index` is synced.
    pub fn entries_written(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        if self.log.entries_written(index) {
            self.progress(now);
        }
        self.outbox.take()
    }

    /// Reports that a truncation after `index` is synced.
    pub fn log_truncated(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        self.rewritten(index, now)
    }

    /// Reports that a snapshot up to `index` is installed and synced.
    pub fn snapshot_installed(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        self.snapshots.installed();
        self.rewritten(index, now)
    }

    /// Reports that the status is synced, and every earlier write with it.
    pub fn replica_status_stored(&mut self, now: Millis) -> Vec<Effect> {
        self.status.written();
        self.progress(now);
        self.outbox.take()
    }

    /// Notes that a truncation or installation is synced, after which the log ends at `index`.
    fn rewritten(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        if self.log.rewritten(index) {
            self.progress(now);
        }
        self.outbox.take()
    }

    /// Commits, acknowledges and reports as far as the current state allows.
    pub(crate) fn progress(&mut self, now: Millis) {
        if self.is_head() {
            self.progress_as_head(now);
        } else {
            let committed = self.log.announced().min(self.log.verified_synced());
            self.log.commit(committed, &mut self.outbox);
            self.acknowledge();
        }
        if !self.is_member() {
            self.catch_up.lag.synced(self.log.synced());
            self.join_after_progress(now);
        }
    }

    fn progress_as_head(&mut self, now: Millis) {
        if !self.leads() {
            return;
        }
        self.start_recovery_barrier(now);
        let barrier = self.barrier_acknowledged_by_all();
        if barrier < RECOVERY_BARRIER || self.role.chain_length() < self.minimum_length {
            return;
        }
        self.log.commit(self.replicated(), &mut self.outbox);
        self.leadership.is_ready = self.log.committed() >= self.leadership.base;
        self.barriers.report_completed(barrier, &mut self.outbox);
    }

    /// Starts the recovery barrier once all members have every entry that this head had when the view
    /// began.
    fn start_recovery_barrier(&mut self, now: Millis) {
        let successor = self.downstream.successor();
        let has_responded = successor.is_none_or(|successor| successor.acknowledged().is_some());
        let is_started = self.barriers.has_recovery_barrier();
        if !is_started && has_responded && self.replicated() >= self.leadership.base {
            self.barriers.start_recovery();
            self.feed_successor(now);
        }
    }

    /// The last index that is synced and verified on this disk and acknowledged by all members after
    /// it.
    fn replicated(&self) -> u64 {
        let synced = self.log.verified_synced();
        match self.downstream.successor() {
            Some(successor) => synced.min(successor.acknowledged().unwrap_or(0)),
            None => synced,
        }
    }

    /// The last barrier that this disk and all members after it have seen with a durable status.
    fn barrier_acknowledged_by_all(&self) -> u64 {
        let own = if self.is_complete() {
            self.barriers.newest()
        } else {
            0
        };
        match self.downstream.successor() {
            Some(successor) => own.min(successor.barrier_acknowledged()),
            None => own,
        }
    }

    /// Sends the predecessor an acknowledgement if it differs from the last one.
    fn acknowledge(&mut self) {
        if !self.upstream.is_aligned() {
            return;
        }
        let Some(predecessor) = self.role.predecessor() else {
            return;
        };
        let (synced, barrier) = (self.replicated(), self.barrier_acknowledged_by_all());
        if self
            .upstream
            .acknowledge(Acknowledgement { synced, barrier })
        {
            let view = self.role.view_number();
            self.outbox.send(
                predecessor,
                ChainMessage::Acknowledge {
                    view,
                    synced,
                    barrier,
                },
            );
        }
    }
}
