//! How far the log is synced, acknowledged and committed.

use crate::chain::{Acknowledged, Chain, RECOVERY_BARRIER};
use crate::effect::{Effect, ReplicaStatus};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::time::Millis;

impl Chain {
    /// Everything up to `index` that was ordered to be appended is synced.
    pub fn entries_written(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        // While a rewrite is under way this report is about entries that the rewrite may have dropped.
        if self.disk.rewrites == 0 {
            self.disk.synced = self.disk.synced.max(index.min(self.log.last()));
            self.progress(now);
        }
        self.take_effects()
    }

    /// A truncation after `index` is synced.
    pub fn log_truncated(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        self.rewritten(index, now)
    }

    /// A snapshot up to `index` is installed and synced.
    pub fn snapshot_installed(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        self.installing = None;
        self.rewritten(index, now)
    }

    fn rewritten(&mut self, index: u64, now: Millis) -> Vec<Effect> {
        self.disk.rewrites = self.disk.rewrites.saturating_sub(1);
        if self.disk.rewrites == 0 {
            self.disk.synced = index.min(self.log.last());
            self.progress(now);
        }
        self.take_effects()
    }

    /// Draws the conclusions of anything that may have brought the replica further.
    pub(crate) fn progress(&mut self, now: Millis) {
        if self.is_head() {
            self.progress_as_head(now);
        } else {
            self.advance_commit(self.told_committed.min(self.own_synced()));
            self.acknowledge();
        }
        if !self.is_member() {
            self.keeping_up.synced(self.disk.synced);
            self.join_after_progress(now);
        }
    }

    /// What this disk has synced of the log of this view's head.
    fn own_synced(&self) -> u64 {
        self.verified.min(self.disk.synced)
    }

    /// What this disk and all behind it have synced.
    fn replicated(&self) -> u64 {
        match &self.successor {
            Some(successor) => self.own_synced().min(successor.acknowledged.unwrap_or(0)),
            None => self.own_synced(),
        }
    }

    /// The barrier that this disk and all behind it have seen, with their standing durable.
    fn barrier_passed(&self) -> u64 {
        let own = if self.is_complete() { self.barrier } else { 0 };
        match &self.successor {
            Some(successor) => own.min(successor.barrier_acknowledged),
            None => own,
        }
    }

    fn progress_as_head(&mut self, now: Millis) {
        if !self.leads() {
            return;
        }
        self.start_recovery_barrier(now);
        let passed = self.barrier_passed();
        if passed < RECOVERY_BARRIER || self.view.chain.len() < self.minimum_length {
            return;
        }
        self.advance_commit(self.replicated());
        self.leadership.is_ready = self.committed >= self.leadership.base;
        self.report_barriers(passed);
    }

    /// Once everybody has what this head had, everybody is to note that it is complete.
    fn start_recovery_barrier(&mut self, now: Millis) {
        let heard = self
            .successor
            .as_ref()
            .is_none_or(|successor| successor.acknowledged.is_some());
        if self.barrier == 0 && heard && self.replicated() >= self.leadership.base {
            self.barrier = RECOVERY_BARRIER;
            self.feed_successor(now);
        }
    }

    fn report_barriers(&mut self, passed: u64) {
        let first = (self.leadership.barrier_passed + 1).max(RECOVERY_BARRIER + 1);
        self.effects.extend((first..=passed).map(Effect::Barrier));
        self.leadership.barrier_passed = passed;
    }

    pub(crate) fn advance_commit(&mut self, index: u64) {
        if index > self.committed {
            self.committed = index;
            self.effects.push(Effect::Commit(index));
        }
    }

    /// A complete disk holds every committed entry, so its log is right as far as the log is committed.
    pub(crate) fn trust_committed(&mut self, committed: u64) {
        self.told_committed = self.told_committed.max(committed);
        if self.replica_status == ReplicaStatus::Complete {
            self.verified = self.verified.max(self.told_committed.min(self.log.last()));
        }
    }

    /// Acknowledges to the predecessor what was not acknowledged yet.
    fn acknowledge(&mut self) {
        let Some(predecessor) = self.predecessor().filter(|_| self.aligned) else {
            return;
        };
        let news = Acknowledged {
            synced: self.replicated(),
            barrier: self.barrier_passed(),
        };
        if self.acknowledged == Some(news) {
            return;
        }
        self.acknowledged = Some(news);
        let Acknowledged { synced, barrier } = news;
        self.send(
            predecessor,
            ChainMessage::Acknowledge {
                view: self.view.number,
                synced,
                barrier,
            },
        );
    }
}
