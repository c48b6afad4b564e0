//! Frames of the internal protocol.
//!
//! A connection starts with [`Frame::Hello`] from the process that opened it. On the wire a frame
//! is its length in four bytes, little-endian, followed by its `borsh` form. Connections may end at
//! any time; a process that still needs an answer sends its request again.

use crate::agent::{AgentMessage, OwnerMessage};
use crate::agreement::AgreementMessage;
use crate::chain::ChainMessage;
use crate::configuration::Configuration;
use crate::core_heartbeat::CoreHeartbeat;
use crate::identity::{DiskId, PeerAddress};
use crate::operation::Operation;
use crate::request::{CallId, Reply, Request};
use crate::time::Millis;
use crate::view::View;
use borsh::{BorshDeserialize, BorshSerialize};

/// The maximum size of an encoded frame, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The role of a process, which follows from the kind of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Role {
    /// Accepts clients' calls.
    Frontend,
    /// Runs on the machine of a server, as its agent.
    Agent,
    /// Has a disk, and takes part in agreement, replication and scheduling.
    Core,
}

/// Identifies the process that opened a connection.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// Where it listens for other processes of the system.
    pub address: PeerAddress,
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// The incarnation of the process, drawn at random when it started.
    pub incarnation: u64,
    /// Its disk; none unless it is a core process.
    pub disk: Option<DiskId>,
}

/// What a subscriber wants to receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Interest {
    /// Views only.
    Views,
    /// Views and configurations.
    Configuration {
        /// The version that the subscriber has; 0 for none.
        have: u64,
    },
}

/// A frame: everything that one process sends another.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// Opens a connection.
    Hello(Hello),
    /// A call.
    Request {
        /// The identity of the call.
        id: CallId,
        /// How long the caller still waits, in milliseconds.
        remaining_ms: u64,
        /// The call.
        request: Request,
    },
    /// The answer to a call. It is sent on the connection on which the call came, and on no other.
    Reply {
        /// The identity of the call.
        id: CallId,
        /// The answer.
        reply: Reply,
    },
    /// A heartbeat between core processes, sent a few times a second.
    Heartbeat(CoreHeartbeat),
    /// A message of the agreement on views.
    Agreement(AgreementMessage),
    /// A message of the replication chain.
    Chain(ChainMessage),
    /// From the owner of a shard to the head: an operation to append. It is not answered: the owner
    /// submits it again until its own replica has applied it.
    Submit(Operation),
    /// A message from a server's agent.
    Agent(AgentMessage),
    /// A message to a server's agent.
    Owner(OwnerMessage),
    /// The newest view, for processes without a disk.
    ViewUpdate(View),
    /// Subscribes to views and configurations. The sender repeats this a few times a second; the
    /// subscription ends without it.
    Subscribe {
        /// What the sender wants to receive.
        interest: Interest,
        /// When the sender sent this, by its own monotonic clock.
        requested_at: Millis,
    },
    /// The newest configuration, for a subscriber. It was confirmed to be the newest at
    /// `requested_at` minus `age_ms` or later. So the subscriber knows its maximum age, however
    /// long the message took.
    ConfigurationUpdate {
        /// The time in the subscription that this answers, by the subscriber's clock; 0 if the
        /// sender guarantees no time, as when it reports a change without being asked.
        requested_at: Millis,
        /// How long ago the configuration was confirmed to the sender, in milliseconds; 0 from the
        /// head.
        age_ms: u64,
        /// The newest version.
        version: u64,
        /// The configuration; none if the subscriber has this version.
        configuration: Option<Configuration>,
    },
}
