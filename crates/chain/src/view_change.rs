//! The beginning of a view, and the disk's standing.

use crate::catch_up_source::Feeder;
use crate::chain::{Chain, Leadership};
use crate::commit_lag::KeepingUp;
use crate::effect::{Effect, ReplicaStatus};
use crate::follower::Follower;
use crate::snapshot::IncomingSnapshot;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// How a process comes to act in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// It has not acted in the view before.
    Fresh,
    /// An earlier process of the disk may have acted in the view.
    Restarted,
}

impl Chain {
    /// Adopts a newer agreed view; an older one changes nothing. The driver has the view on its disk before it calls
    /// this, so that a restarted process knows every view in which it may have acted.
    pub fn adopt_view(&mut self, view: View, now: Millis) -> Vec<Effect> {
        if view.number > self.view.number {
            self.view = view;
            self.enter_view(Entry::Fresh, now);
            self.progress(now);
        }
        self.take_effects()
    }

    /// The standing is on the disk, with everything that was ordered before it.
    pub fn replica_status_stored(&mut self, now: Millis) -> Vec<Effect> {
        self.disk.replica_status_writes = self.disk.replica_status_writes.saturating_sub(1);
        self.progress(now);
        self.take_effects()
    }

    pub(crate) fn enter_view(&mut self, entry: Entry, now: Millis) {
        self.forget_last_view();
        self.feeder = Feeder::tail(now);
        if !self.is_member() {
            self.enter_as_spare();
        } else {
            self.enter_as_member(entry, now);
        }
    }

    fn forget_last_view(&mut self) {
        self.effects
            .retain(|effect| !matches!(effect, Effect::Send(..)));
        self.barrier = 0;
        self.leadership = Leadership::default();
        self.successor = None;
        self.joiners.clear();
        self.aligned = false;
        self.acknowledged = None;
        self.resend = None;
        self.joined_at = None;
        self.joined_with = 0;
        self.keeping_up = KeepingUp::default();
        self.told_committed = self.committed;
        self.incoming = IncomingSnapshot::default();
        self.outgoing = None;
        self.snapshot_asked = false;
    }

    /// What is not known to be committed may never have been, and the chain goes on without this disk.
    fn enter_as_spare(&mut self) {
        self.truncate_after(self.committed);
        self.verified = self.log.last();
        self.change_replica_status(ReplicaStatus::Joining);
    }

    fn enter_as_member(&mut self, entry: Entry, now: Millis) {
        // A head without followers has told nobody anything that is not on its disk.
        let has_followers = self.view.chain.len() > 1;
        self.leadership.forgotten = entry == Entry::Restarted && self.is_head() && has_followers;
        if self.replica_status == ReplicaStatus::Joining {
            self.truncate_after(self.committed);
        }
        self.verified = if self.is_head() {
            self.log.last()
        } else {
            self.committed
        };
        self.leadership.base = self.log.last();
        let position = self.view.position(self.me).unwrap_or_default();
        let successor = self.view.chain.get(position + 1).copied();
        self.successor = successor.map(|disk| Follower::new(disk, self.verified, now));
        self.ask_resend(self.log.last(), now);
        self.probe_successor(now);
    }

    /// Drops entries above `index`, in memory at once and on the disk by an effect.
    pub(crate) fn truncate_after(&mut self, index: u64) {
        if self.log.last() <= index {
            return;
        }
        self.log.truncate_after(index);
        self.disk.synced = self.disk.synced.min(index);
        self.disk.rewrites += 1;
        self.effects.push(Effect::TruncateAfter(index));
    }

    pub(crate) fn change_replica_status(&mut self, replica_status: ReplicaStatus) {
        if self.replica_status == replica_status {
            return;
        }
        self.replica_status = replica_status;
        self.disk.replica_status_writes += 1;
        self.effects
            .push(Effect::StoreReplicaStatus(replica_status));
    }
}
