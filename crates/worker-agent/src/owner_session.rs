//! The agent's session with the owner of its shard.

use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::identity::FencingToken;
use lupinrack_cluster_api::time::Millis;

/// How long, in milliseconds, an owner may take to answer an attach before it is sent again.
pub const ATTACH_RETRY_MS: u64 = 2_000;

/// Why a message of an owner was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum OwnerMessageError {
    /// it came on a connection other than the current session's
    OtherConnection,
    /// it is for another life of the server
    OtherIncarnation,
    /// its token is below one that was seen before
    LowerToken,
    /// it answers an earlier attach, or none
    EarlierSession,
    /// it was taken before
    Repeated,
    /// a message before it is missing; the session begins anew
    Gap,
}

impl std::error::Error for OwnerMessageError {}

/// How far a session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
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

/// Numbers of the owner's messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageNumbers {
    /// The newest message.
    pub newest: u64,
    /// The newest one that held a start or a stop.
    pub newest_with_orders: u64,
}

/// A session on one connection.
#[derive(Clone, Debug)]
pub struct Session {
    connection: u64,
    phase: Phase,
    taken: MessageNumbers,
    answered: MessageNumbers,
    heartbeat_after_ms: Option<u64>,
}

impl Session {
    /// A session that is yet to begin on this connection.
    pub fn new(connection: u64) -> Session {
        Session {
            connection,
            phase: Phase::Detached,
            taken: MessageNumbers::default(),
            answered: MessageNumbers::default(),
            heartbeat_after_ms: None,
        }
    }

    /// The session's connection.
    pub fn connection(&self) -> u64 {
        self.connection
    }

    /// Begins anew on the same connection: the agent has to attach again.
    pub fn restart(&mut self) {
        *self = Session::new(self.connection);
    }

    /// Whether an attach is to be sent: none was, or the owner left it unanswered for too long.
    pub fn needs_attach(&self, now: Millis) -> bool {
        self.attach_due().is_some_and(|due| due <= now)
    }

    /// When an attach is to be sent if nothing else happens; none once the owner has answered.
    pub fn attach_due(&self) -> Option<Millis> {
        match self.phase {
            Phase::Detached => Some(Millis::default()),
            Phase::Attached(at) => Some(at.plus(ATTACH_RETRY_MS)),
            Phase::Active { .. } => None,
        }
    }

    /// Notes that the attach was sent.
    pub fn attached(&mut self, now: Millis) {
        self.restart();
        self.phase = Phase::Attached(now);
    }

    /// Whether the attach was sent.
    pub fn is_attached(&self) -> bool {
        self.phase != Phase::Detached
    }

    /// Checks a message's place in the session, and notes it where it is the next. Each has to answer the newest attach
    /// or something later, which its `lease_from` shows, and to follow the one before.
    pub fn take(&mut self, message: &OwnerMessage) -> Result<(), OwnerMessageError> {
        let attached_at = match self.phase {
            Phase::Detached => Err(OwnerMessageError::EarlierSession),
            Phase::Attached(at) if message.complete => Ok(at),
            Phase::Attached(_) => Err(OwnerMessageError::EarlierSession),
            Phase::Active { attached_at, .. } => Ok(attached_at),
        }?;
        if message.lease_from < attached_at {
            return Err(OwnerMessageError::EarlierSession);
        }
        if let Phase::Active { token, .. } = self.phase {
            self.follows(message, token)?;
        }
        self.phase = Phase::Active {
            token: message.token,
            attached_at,
        };
        self.taken.newest = message.number;
        if !message.assign.is_empty() || !message.stop.is_empty() {
            self.taken.newest_with_orders = message.number;
        }
        self.heartbeat_after_ms = Some(message.heartbeat_after_ms);
        Ok(())
    }

    /// Notes that the server was told all orders taken so far.
    pub fn all_answered(&mut self) {
        self.answered = self.taken;
    }

    /// The messages whose orders had all been in an answer.
    pub fn answered(&self) -> MessageNumbers {
        self.answered
    }

    /// After how many milliseconds the owner wants the next heartbeat; none where it has not said.
    pub fn heartbeat_after_ms(&self) -> Option<u64> {
        self.heartbeat_after_ms
            .filter(|milliseconds| *milliseconds > 0)
    }

    fn follows(
        &self,
        message: &OwnerMessage,
        token: FencingToken,
    ) -> Result<(), OwnerMessageError> {
        if message.number <= self.taken.newest {
            return Err(OwnerMessageError::Repeated);
        }
        let next = message.number == self.taken.newest + 1 && message.token == token;
        if next || message.complete {
            Ok(())
        } else {
            Err(OwnerMessageError::Gap)
        }
    }
}
