//! The ping of the current protocol period, until it is acknowledged or the period ends.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

/// A ping that has not been acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingPing {
    pub(crate) target: PeerAddress,
    /// The process at the target's address when the ping was first sent.
    pub(crate) process_incarnation: u64,
    pub(crate) sequence_number: u32,
    /// When the datagram is sent again, since it may have been lost.
    pub(crate) resend_at: Millis,
    /// When ping requests are sent; `None` after that.
    pub(crate) indirect_at: Option<Millis>,
    /// The end of the protocol period: without an acknowledgement the ping has failed.
    pub(crate) deadline: Millis,
    /// The members that received ping requests.
    pub(crate) request_targets: PingRequestTargets,
}

/// The members that received a ping request for the target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PingRequestTargets {
    count: usize,
    /// The members that have not sent a nack.
    unanswered: Vec<PeerAddress>,
}

/// The datagrams that are due for a pending ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DuePings {
    /// The ping itself has to be sent again.
    pub(crate) direct: bool,
    /// Ping requests have to be sent to other members.
    pub(crate) indirect: bool,
}

impl PendingPing {
    /// When the next step is due.
    pub(crate) fn next_step_at(&self) -> Millis {
        let indirect_at = self.indirect_at.unwrap_or(self.deadline);
        self.resend_at.min(indirect_at).min(self.deadline)
    }

    /// Takes the steps that are due at `now`; the ping is sent again every `resend_ms` milliseconds.
    pub(crate) fn take_due(&mut self, resend_ms: u64, now: Millis) -> DuePings {
        let direct = now >= self.resend_at && now < self.deadline;
        if direct {
            self.resend_at = now.plus(resend_ms);
        }
        let indirect = self.indirect_at.take_if(|at| now >= *at).is_some();
        DuePings { direct, indirect }
    }
}

impl PingRequestTargets {
    pub(crate) fn new(targets: Vec<PeerAddress>) -> PingRequestTargets {
        PingRequestTargets {
            count: targets.len(),
            unanswered: targets,
        }
    }

    /// Records that a member could not reach the target either.
    pub(crate) fn nack_from(&mut self, member: PeerAddress) {
        self.unanswered.retain(|unanswered| *unanswered != member);
    }

    /// Whether ping requests were sent, and all receivers replied with a nack. If not, the network connection of this process
    /// may be faulty.
    pub(crate) fn all_sent_nacks(&self) -> bool {
        self.count > 0 && self.unanswered.is_empty()
    }
}
