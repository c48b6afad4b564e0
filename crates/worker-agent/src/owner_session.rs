//! The agent's session with the owner of its shard.
//!
//! A session begins with an attach and the owner's first message in answer to it, which is complete; the messages after it
//! are numbered and hold changes. An attach is later than everything that the agent sent before, and each message repeats
//! the moment of the report that it answers (`lease_from`): so a message that answers an earlier attach is recognised on
//! whatever connection it comes.

use crate::owner_message_error::OwnerMessageError;
use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::identity::FencingToken;
use lupinrack_cluster_api::time::Millis;

/// How long, in milliseconds, an owner may take to answer an attach before it is sent again.
pub const ATTACH_RETRY_MS: u64 = 2_000;

/// How far a session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionPhase {
    /// The agent has to attach.
    Detached,
    /// The agent attached at this moment and waits for the owner's first message.
    Attached(Millis),
    /// The owner has said what should run.
    Active {
        /// Under this token.
        token: FencingToken,
        /// In answer to the attach of this moment.
        attached_at: Millis,
    },
}

/// Numbers of the owner's messages up to a point of the session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MessageNumbers {
    /// The newest message.
    pub(crate) newest: u64,
    /// The newest one that held a start or a stop.
    pub(crate) newest_with_orders: u64,
}

/// A session on one connection.
#[derive(Clone, Debug)]
pub(crate) struct OwnerSession {
    connection: u64,
    phase: SessionPhase,
    /// The messages that were accepted.
    accepted: MessageNumbers,
    /// The messages all of whose orders were in a response to the server.
    delivered: MessageNumbers,
    /// The heartbeat interval that the owner's newest message asks for.
    heartbeat_after_ms: Option<u64>,
}

impl OwnerSession {
    /// A session that is yet to begin on this connection.
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

    /// Begins anew on the same connection: the agent has to attach again.
    pub(crate) fn restart(&mut self) {
        *self = OwnerSession::new(self.connection);
    }

    /// Whether an attach is to be sent: none was, or the owner left it unanswered for too long.
    pub(crate) fn needs_attach(&self, now: Millis) -> bool {
        self.attach_due().is_some_and(|due| due <= now)
    }

    /// When an attach is to be sent if nothing else happens; none once the owner has answered.
    pub(crate) fn attach_due(&self) -> Option<Millis> {
        match self.phase {
            // At once.
            SessionPhase::Detached => Some(Millis::default()),
            SessionPhase::Attached(at) => Some(at.plus(ATTACH_RETRY_MS)),
            SessionPhase::Active { .. } => None,
        }
    }

    /// Records that the attach was sent.
    pub(crate) fn record_attach(&mut self, now: Millis) {
        self.restart();
        self.phase = SessionPhase::Attached(now);
    }

    /// Whether the attach was sent.
    pub(crate) fn is_attached(&self) -> bool {
        self.phase != SessionPhase::Detached
    }

    /// Accepts a message if it answers the newest attach or something later, and follows the one before.
    ///
    /// # Errors
    ///
    /// [`OwnerMessageError::EarlierSession`], [`OwnerMessageError::Repeated`] or [`OwnerMessageError::Gap`]; the session
    /// stays as it was.
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

    /// After how many milliseconds the owner wants the next heartbeat; none where it has not said.
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
