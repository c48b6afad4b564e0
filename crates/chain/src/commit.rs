//! What is synced, acknowledged and committed.

use crate::barrier::RECOVERY_BARRIER;
use crate::chain::Chain;
use crate::effect::Effect;
use crate::upstream::Acknowledgement;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::time::Millis;

impl Chain {
    /// Everything up to `index` that was to be appended is synced.
    pub fn entries_written(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        if self.log.entries_written(index) {
            self.progress(now);
        }
        self.outbox.take()
    }

    /// A truncation after `index` is synced.
    pub fn log_truncated(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        self.rewritten(index, now)
    }

    /// A snapshot up to `index` is installed and synced.
    pub fn snapshot_installed(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        self.snapshots.installed();
        self.rewritten(index, now)
    }

    /// The status is synced, with everything that was ordered before it.
    pub fn replica_status_stored(&mut self, now: Millis) -> Vec<Effect> {
        self.status.written();
        self.progress(now);
        self.outbox.take()
    }

    fn rewritten(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        if self.log.rewritten(index) {
            self.progress(now);
        }
        self.outbox.take()
    }

    /// Commits, acknowledges and reports whatever has become possible.
    pub(crate) fn progress(&mut self, now: Millis) {
        if self.is_head() {
            self.progress_as_head(now);
        } else {
            let known = self.log.announced().min(self.log.verified_synced());
            self.log.commit(known, &mut self.outbox);
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

    /// Starts the recovery barrier once all members have what this head had when the view began.
    fn start_recovery_barrier(&mut self, now: Millis) {
        let successor = self.downstream.successor();
        let has_responded = successor.is_none_or(|successor| successor.acknowledged().is_some());
        let is_started = self.barriers.has_recovery_barrier();
        if !is_started && has_responded && self.replicated() >= self.leadership.base {
            self.barriers.start_recovery();
            self.feed_successor(now);
        }
    }

    /// What this disk and all after it have synced.
    fn replicated(&self) -> u64 {
        let synced = self.log.verified_synced();
        match self.downstream.successor() {
            Some(successor) => synced.min(successor.acknowledged().unwrap_or(0)),
            None => synced,
        }
    }

    /// The last barrier that this disk and all after it have seen, with their status durable.
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

    /// Acknowledges to the predecessor what was not acknowledged yet.
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
