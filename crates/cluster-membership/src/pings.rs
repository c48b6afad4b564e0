//! All pings of a member.

use crate::pending_ping::PendingPing;
use crate::ping_order::PingOrder;
use crate::relayed_pings::RelayedPings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

/// All pings of a member: their order, the ping of the current period, and the pings on behalf of other members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pings {
    pub(crate) order: PingOrder,
    pub(crate) pending: Option<PendingPing>,
    pub(crate) relayed: RelayedPings,
    last_sequence_number: u32,
}

impl Pings {
    /// When the next step of any ping is due.
    pub(crate) fn next_step_at(&self) -> Option<Millis> {
        let pending = self.pending.as_ref().map(PendingPing::next_step_at);
        pending.into_iter().chain(self.relayed.next_step_at()).min()
    }

    /// Records that a member could not reach the target of the pending ping.
    pub(crate) fn nack_received(&mut self, from: PeerAddress, sequence_number: u32) {
        if let Some(ping) = self.pending_with(sequence_number) {
            ping.request_targets.nack_from(from);
        }
    }

    /// The pending ping, if it has this sequence number.
    pub(crate) fn pending_with(&mut self, sequence_number: u32) -> Option<&mut PendingPing> {
        self.pending
            .as_mut()
            .filter(|ping| ping.sequence_number == sequence_number)
    }

    /// The sequence number for a new ping.
    pub(crate) fn next_sequence_number(&mut self) -> u32 {
        self.last_sequence_number = self.last_sequence_number.wrapping_add(1);
        self.last_sequence_number
    }
}
