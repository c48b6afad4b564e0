//! Pings on behalf of other members, which requested them by ping requests.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

/// The largest number of relayed pings; above it, the oldest one is dropped.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping on behalf of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayedPing {
    pub(crate) target: PeerAddress,
    /// The number of the ping to the target.
    pub(crate) sequence_number: u32,
    /// The member that sent the ping request.
    pub(crate) requester: PeerAddress,
    /// The number of the requester's own ping.
    pub(crate) requester_sequence_number: u32,
    /// When the ping is sent a second time; `None` after that.
    pub(crate) resend_at: Option<Millis>,
    /// When the requester receives a nack if the target has not acknowledged.
    pub(crate) deadline: Millis,
}

/// The pings that this process relays, in the order in which they were requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayedPings {
    pings: Vec<RelayedPing>,
}

impl RelayedPings {
    pub(crate) fn push(&mut self, ping: RelayedPing) {
        if self.pings.len() >= MAX_RELAYED_PINGS {
            self.pings.remove(0);
        }
        self.pings.push(ping);
    }

    /// When the next step of any of them is due.
    pub(crate) fn next_step_at(&self) -> Option<Millis> {
        let next = |ping: &RelayedPing| {
            ping.resend_at
                .map_or(ping.deadline, |at| at.min(ping.deadline))
        };
        self.pings.iter().map(next).min()
    }

    /// The targets and sequence numbers of the pings to send a second time now.
    pub(crate) fn take_due_resends(&mut self, now: Millis) -> Vec<(PeerAddress, u32)> {
        let mut due = Vec::new();
        for ping in &mut self.pings {
            if ping.resend_at.take_if(|at| now >= *at).is_some() {
                due.push((ping.target, ping.sequence_number));
            }
        }
        due
    }

    /// Removes and returns the pings that were not acknowledged in time.
    pub(crate) fn take_expired(&mut self, now: Millis) -> Vec<RelayedPing> {
        let (expired, pending) = std::mem::take(&mut self.pings)
            .into_iter()
            .partition(|ping| ping.deadline <= now);
        self.pings = pending;
        expired
    }

    /// Removes and returns the ping that this acknowledgement answers.
    pub(crate) fn take_acknowledged(
        &mut self,
        target: PeerAddress,
        sequence_number: u32,
    ) -> Option<RelayedPing> {
        let answered =
            |ping: &RelayedPing| ping.sequence_number == sequence_number && ping.target == target;
        let index = self.pings.iter().position(answered)?;
        Some(self.pings.remove(index))
    }

    pub(crate) fn clear(&mut self) {
        self.pings.clear();
    }
}
