//! Sessions with agents, and the messages sent in them.

use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::time::Millis;

/// The number of a session, unique for one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SessionId(pub(crate) u64);

/// Identifies a message to an agent by its session and its number in the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderId {
    pub(crate) session: SessionId,
    pub(crate) number: u64,
}

/// When a report of an agent was sent and received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportTimes {
    /// When it was sent, by the agent's clock.
    pub(crate) sent_at: Millis,
    /// When it was received, by the owner's clock.
    pub(crate) received_at: Millis,
}

/// A session with an agent on one connection. It starts with the agent's attachment.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) id: SessionId,
    pub(crate) connection: u64,
    /// The number of the next message.
    pub(crate) next_number: u64,
    /// The latest report of the agent.
    pub(crate) report: ReportTimes,
    /// The report that the latest message answered. The lease granted by that message counts from
    /// this report. `None` before the first message.
    pub(crate) answered: Option<ReportTimes>,
    /// The number up to which the latest message acknowledged ends.
    pub(crate) acknowledged_ends: u64,
    /// The heartbeat interval that the latest message requested, in milliseconds.
    pub(crate) heartbeat_after_ms: u64,
}

impl Session {
    /// Creates a session in which nothing has been sent.
    pub(crate) fn new(id: SessionId, connection: u64, report: ReportTimes) -> Session {
        Session {
            id,
            connection,
            next_number: 1,
            report,
            answered: None,
            acknowledged_ends: 0,
            heartbeat_after_ms: 0,
        }
    }

    /// Resets the session on the same connection, so that its next message is complete.
    pub(crate) fn reset(&mut self, id: SessionId) {
        self.id = id;
        self.answered = None;
    }

    /// Whether this order was sent in this session.
    pub(crate) fn contains(&self, order: Option<OrderId>) -> bool {
        order.is_some_and(|order| order.session == self.id)
    }

    /// Whether the lease has to be renewed: the latest report was received at least
    /// `renew_after_ms` after the last answered one.
    pub(crate) fn is_lease_renewal_due(&self, renew_after_ms: u64) -> bool {
        self.answered.is_none_or(|answered| {
            self.report.received_at.since(answered.received_at) >= renew_after_ms
        })
    }

    /// Records a sent message.
    pub(crate) fn record_sent(&mut self, message: &OwnerMessage) {
        self.next_number += 1;
        self.answered = Some(self.report);
        self.acknowledged_ends = message.observed;
        self.heartbeat_after_ms = message.heartbeat_after_ms;
    }
}
