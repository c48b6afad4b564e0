//! Sessions: connections to agents, and what was sent on them.

use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::time::Millis;

/// The number of a session, unique at one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SessionId(pub(crate) u64);

/// A message to an agent, by its session and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderId {
    /// The session.
    pub(crate) session: SessionId,
    /// The number of the message in the session.
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

/// A connection to an agent, from its attachment on.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    /// Its number.
    pub(crate) id: SessionId,
    /// The connection.
    pub(crate) connection: u64,
    /// The number of the next message.
    pub(crate) next_number: u64,
    /// The newest report.
    pub(crate) report: ReportTimes,
    /// The report that the newest message answered, from which on its lease counts; none before the
    /// first message.
    pub(crate) answered: Option<ReportTimes>,
    /// Up to which number ends were acknowledged in the newest message.
    pub(crate) acknowledged_ends: u64,
    /// The heartbeat interval that the newest message asked for, in milliseconds.
    pub(crate) heartbeat_after_ms: u64,
}

impl Session {
    /// A session on which nothing was sent yet.
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

    /// Begins it anew on the same connection: its next message is complete.
    pub(crate) fn renew(&mut self, id: SessionId) {
        self.id = id;
        self.answered = None;
    }

    /// Whether this order belongs to it.
    pub(crate) fn contains(&self, order: Option<OrderId>) -> bool {
        order.is_some_and(|order| order.session == self.id)
    }

    /// Whether the lease has to be renewed: the newest report came this much later than the one that
    /// was last answered.
    pub(crate) fn is_renewal_due(&self, renew_after_ms: u64) -> bool {
        self.answered.is_none_or(|answered| {
            self.report.received_at.since(answered.received_at) >= renew_after_ms
        })
    }

    /// A message was sent.
    pub(crate) fn record_sent(&mut self, message: &OwnerMessage) {
        self.next_number += 1;
        self.answered = Some(self.report);
        self.acknowledged_ends = message.observed;
        self.heartbeat_after_ms = message.heartbeat_after_ms;
    }
}
