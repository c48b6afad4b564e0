//! Sending entries to the successor and to spares.

use crate::chain::Chain;
use crate::downstream::JoinerFeed;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;

impl Chain {
    /// Reports that a connection to the process of a disk has ended. Messages in flight to it may be
    /// lost; the next tick sends them again.
    pub fn peer_disconnected(&mut self, disk: DiskId, now: Millis) {
        self.downstream.peer_disconnected(disk, now);
    }

    /// Sends the successor the entries that were not sent to it yet.
    pub(crate) fn feed_successor(&mut self, now: Millis) {
        if self.may_send() {
            let (log, state) = (self.log.entries(), self.member_state());
            self.downstream
                .feed_successor(log, state, now, &mut self.outbox);
        }
    }

    /// Sends the successor at least one message, which it answers.
    pub(crate) fn probe_successor(&mut self, now: Millis) {
        if self.may_send() {
            let (log, state) = (self.log.entries(), self.member_state());
            self.downstream
                .probe_successor(log, state, now, &mut self.outbox);
        }
    }

    /// Sends the successor the committed index if no entry has carried it.
    pub(crate) fn forward_committed(&mut self, now: Millis) {
        if self
            .downstream
            .successor_lacks_committed(self.member_state())
        {
            self.probe_successor(now);
        }
    }

    /// Sends a spare the entries that were not sent to it yet.
    pub(crate) fn feed_joiner(&mut self, disk: DiskId, feed: JoinerFeed, now: Millis) {
        let (log, state) = (self.log.entries(), self.joiner_state());
        self.downstream
            .feed_joiner(disk, feed, log, state, now, &mut self.outbox);
    }

    /// Sends all spares the entries that were not sent to them yet.
    pub(crate) fn feed_joiners(&mut self, now: Millis) {
        let (log, state) = (self.log.entries(), self.joiner_state());
        self.downstream
            .feed_joiners(log, state, now, &mut self.outbox);
    }

    /// Whether this member may send to its successor: a head only while it leads.
    fn may_send(&self) -> bool {
        !self.is_head() || self.leads()
    }
}
