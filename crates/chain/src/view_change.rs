//! The start of a view.

use crate::barrier::Barriers;
use crate::catch_up::CatchUp;
use crate::chain::Chain;
use crate::downstream::Downstream;
use crate::effect::Effect;
use crate::follower::Follower;
use crate::leadership::Leadership;
use crate::replica_status::ReplicaStatus;
use crate::upstream::Upstream;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// How a process starts to act in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewStart {
    /// The disk has not acted in the view before.
    Fresh,
    /// An earlier process of the disk may have acted in the view.
    Restarted,
}

impl Chain {
    /// Adopts a newer agreed view; an older one changes nothing.
    ///
    /// The driver stores the view on the disk before it calls this, so that a restarted process knows
    /// every view in which it may have acted.
    pub fn adopt_view(&mut self, view: View, now: Millis) -> Vec<Effect> {
        if self.role.adopt(view) {
            self.enter_view(ViewStart::Fresh, now);
            self.progress(now);
        }
        self.outbox.take()
    }

    /// Enters the view that the disk had adopted when the process started.
    pub(crate) fn reenter_view(&mut self) {
        self.enter_view(ViewStart::Restarted, Millis::default());
    }

    fn enter_view(&mut self, start: ViewStart, now: Millis) {
        self.forget_last_view(now);
        if self.is_member() {
            self.enter_as_member(start, now);
        } else {
            self.enter_as_spare();
        }
    }

    fn forget_last_view(&mut self, now: Millis) {
        self.outbox.discard_messages();
        self.barriers = Barriers::default();
        self.leadership = Leadership::default();
        self.upstream = Upstream::default();
        self.downstream = Downstream::default();
        self.catch_up = CatchUp::begin(now);
        self.log.forget_announced();
        self.snapshots.forget_chunks();
    }

    /// Removes the entries that are not known to be committed: the chain continues without this disk
    /// and may never commit them.
    fn enter_as_spare(&mut self) {
        self.log
            .truncate_after(self.log.committed(), &mut self.outbox);
        self.log.verify_all();
        self.status.change(ReplicaStatus::Joining, &mut self.outbox);
    }

    /// Verifies the log as far as this member may trust it, and starts to exchange entries with its
    /// neighbours in the chain.
    fn enter_as_member(&mut self, start: ViewStart, now: Millis) {
        self.leadership.was_interrupted = self.is_interrupted_head(start);
        self.trust_log_as_member();
        self.leadership.base = self.log.last();
        let verified = self.log.verified();
        let follower = |disk| Follower::new(disk, verified, now);
        self.downstream = Downstream::to_successor(self.role.successor().map(follower));
        self.request_resend(self.log.last(), now);
        self.probe_successor(now);
    }

    /// Whether this is a head that was restarted within the view, and may have sent entries that it
    /// no longer knows.
    fn is_interrupted_head(&self, start: ViewStart) -> bool {
        // A head without followers has sent nothing that is not on its disk.
        let has_followers = self.role.chain_length() > 1;
        start == ViewStart::Restarted && self.is_head() && has_followers
    }

    /// A replica that is not complete keeps only the entries known to be committed. A head then
    /// trusts its whole log, since the log of the head is that of the view. Any other member trusts
    /// only the entries known to be committed, until its predecessor confirms the rest.
    fn trust_log_as_member(&mut self) {
        if self.status.status() == ReplicaStatus::Joining {
            self.log
                .truncate_after(self.log.committed(), &mut self.outbox);
        }
        if self.is_head() {
            self.log.verify_all();
        } else {
            self.log.verify_committed_only();
        }
    }
}
