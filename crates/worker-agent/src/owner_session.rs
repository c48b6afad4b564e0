//! The agent's session with the owner of its shard.
//!
//! A session starts with an attach and the owner's first message in response to it, which holds the complete desired state.
//! The messages after it are numbered and hold changes. The agent sends an attach later than all its earlier messages, and
//! each message of the owner repeats the send time of the report that it answers (`lease_from`). So the agent recognises a
//! message that answers an earlier attach, on any connection.

use crate::owner_message_error::OwnerMessageError;
use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::identity::FencingToken;
use lupinrack_cluster_api::time::Millis;

/// How long, in milliseconds, an owner may take to answer an attach before it is sent again.
pub const ATTACH_RETRY_MS: u64 = 2_000;

/// The phase of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionPhase {
    /// The agent has to attach.
    Detached,
    /// The agent attached at this time and waits for the owner's first message.
    Attached(Millis),
    /// The owner has sent the desired state.
    Active {
        /// The owner's token.
        token: FencingToken,
        /// When the agent sent the attach that the owner answered.
        attached_at: Millis,
    },
}

/// Numbers of the owner's messages up to some point in the session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MessageNumbers {
    /// The newest message.
    pub(crate) newest: u64,
    /// The newest message that held a start or a stop.
    pub(crate) newest_with_orders: u64,
}

/// A session on one connection.
#[derive(Clone, Debug)]
pub(crate) struct OwnerSession {
    connection: u64,
    phase: SessionPhase,
    /// The messages that the agent has accepted.
    accepted: MessageNumbers,
    /// The messages all of whose orders were in a response to the server.
    delivered: MessageNumbers,
    /// The heartbeat interval that the owner's newest message requests.
    heartbeat_after_ms: Option<u64>,
}

impl OwnerSession {
    /// A session on this connection in which the agent has not attached.
    pub(crate) fn new(connection: u64) -> OwnerSession {
        OwnerSession {
            connection,
            phase: SessionPhase::Detached,
            accepted: MessageNumbers::default(),
            delivered: MessageNumbers::default(),
            heartbeat_after_ms: None,
        }
    }

    /// The session's connection.
    pub(crate) fn connection(&self) -> u64 {
        self.connection
    }

    /// Restarts the session on the same connection: the agent has to attach again.
    pub(crate) fn restart(&mut self) {
        *self = OwnerSession::new(self.connection);
    }

    /// Whether the agent has to send an attach: it has sent none, or the owner has not answered in time.
    pub(crate) fn needs_attach(&self, now: Millis) -> bool {
        self.attach_due().is_some_and(|due| due <= now)
    }

    /// When the agent has to send an attach if nothing else happens; `None` after the owner has answered.
    pub(crate) fn attach_due(&self) -> Option<Millis> {
        match self.phase {
            // Immediately.
            SessionPhase::Detached => Some(Millis::default()),
            SessionPhase::Attached(at) => Some(at.plus(ATTACH_RETRY_MS)),
            SessionPhase::Active { .. } => None,
        }
    }

    /// Records that the agent has sent the attach.
    pub(crate) fn record_attach(&mut self, now: Millis) {
        self.restart();
        self.phase = SessionPhase::Attached(now);
    }

    /// Whether the agent has sent the attach.
    pub(crate) fn is_attached(&self) -> bool {
        self.phase != SessionPhase::Detached
    }

    /// Accepts a message if it answers the newest attach or a later report, and follows the last accepted message.
    ///
    /// # Errors
    ///
    /// [`OwnerMessageError::EarlierSession`], [`OwnerMessageError::Repeated`] or [`OwnerMessageError::Gap`]; the session
    /// is unchanged.
    pub(crate) fn accept(&mut self, message: &OwnerMessage) -> Result<(), OwnerMessageError> {
        let attached_at = match self.phase {
            SessionPhase::Attached(at) if message.complete => at,
            SessionPhase::Active { attached_at, .. } => attached_at,
            SessionPhase::Detached | SessionPhase::Attached(_) => {
                return Err(OwnerMessageError::EarlierSession)
            }
        };
        if message.lease_from < attached_at {
            return Err(OwnerMessageError::EarlierSession);
        }
        if let SessionPhase::Active { token, .. } = self.phase {
            self.check_number(message, token)?;
        }
        self.phase = SessionPhase::Active {
            token: message.token,
            attached_at,
        };
        self.accepted.newest = message.number;
        if !message.assign.is_empty() || !message.stop.is_empty() {
            self.accepted.newest_with_orders = message.number;
        }
        self.heartbeat_after_ms = Some(message.heartbeat_after_ms);
        Ok(())
    }

    /// Records that the orders of all accepted messages were in a response to the server.
    pub(crate) fn record_delivery(&mut self) {
        self.delivered = self.accepted;
    }

    /// The messages all of whose orders were in a response to the server.
    pub(crate) fn delivered(&self) -> MessageNumbers {
        self.delivered
    }

    /// After how many milliseconds the owner wants the next heartbeat; `None` if it has requested no interval.
    pub(crate) fn heartbeat_after_ms(&self) -> Option<u64> {
        self.heartbeat_after_ms
            .filter(|milliseconds| *milliseconds > 0)
    }

    fn check_number(
        &self,
        message: &OwnerMessage,
        session_token: FencingToken,
    ) -> Result<(), OwnerMessageError> {
        if message.number <= self.accepted.newest {
            return Err(OwnerMessageError::Repeated);
        }
        let next = message.number == self.accepted.newest + 1 && message.token == session_token;
        if next || message.complete {
            Ok(())
        } else {
            Err(OwnerMessageError::Gap)
        }
    }
}
