//! Frames of the internal protocol.
//!
//! A connection begins with [`Frame::Hello`] from the process that opened it. On the wire a frame is its length in four
//! bytes, little-endian, followed by its `borsh` form. Connections may end at any time; whoever needs an answer sends
//! its request again.

use crate::agent::{AgentMessage, OwnerMessage};
use crate::agreement::AgreementMessage;
use crate::chain::{ChainMessage, ReplicaReport};
use crate::configuration::Configuration;
use crate::identity::{DiskId, PeerAddress};
use crate::operation::Operation;
use crate::request::{CallId, Reply, Request};
use crate::time::Millis;
use crate::view::{View, Voter};
use borsh::{BorshDeserialize, BorshSerialize};

/// The largest frame, in bytes.
pub const FRAME_BYTES_MOST: usize = 8 * 1024 * 1024;

/// The kind of machine that a process runs on, as its settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Role {
    /// Takes clients' calls.
    Frontend,
    /// The agent on a server's machine.
    Agent,
    /// Has a disk and serves control.
    Core,
}

/// Who opened a connection.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// Where it listens for others of the system.
    pub address: PeerAddress,
    /// Its kind.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Drawn at random when the process began.
    pub incarnation: u64,
    /// Its disk, where it has one.
    pub disk: Option<DiskId>,
}

/// What a subscriber wants to be told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Interest {
    /// Views alone.
    Views,
    /// Views and configurations.
    Configuration {
        /// The version that the subscriber has; 0 for none.
        have: u64,
    },
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// Opens a connection.
    Hello(Hello),
    /// A call, and the milliseconds that its caller waits.
    Request {
        /// Which call.
        id: CallId,
        /// Milliseconds until the caller gives up.
        remaining_ms: u64,
        /// The call.
        request: Request,
    },
    /// The answer to a call, on the connection on which the call came and no other.
    Reply {
        /// Which call.
        id: CallId,
        /// The answer.
        reply: Reply,
    },
    /// Core to core, a few times a second: it lives, and what it knows.
    Heartbeat {
        /// The sender as a voter would be listed.
        voter: Voter,
        /// The newest view that the sender knows.
        view: View,
        /// Whether its disk answers in time.
        disk_healthy: bool,
        /// Whether it shuts down: other disks are to take its place in the chain and, where one can, its vote.
        draining: bool,
        /// What its replica is good for in that view.
        replica: ReplicaReport,
    },
    /// The agreement on views.
    Agreement(AgreementMessage),
    /// The replication chain.
    Chain(ChainMessage),
    /// From the owner of a shard to the head: an operation to append. No answer; the owner sees it applied in its own
    /// replica, and sends it again if it does not.
    Submit(Operation),
    /// From a server's agent.
    Agent(AgentMessage),
    /// To a server's agent.
    Owner(OwnerMessage),
    /// To processes without a disk: the newest view.
    ViewUpdate(View),
    /// Asks to be told of views and configurations from now on, a few times a second while the sender lives.
    Subscribe {
        /// What the sender wants to be told of.
        interest: Interest,
        /// When the sender sent this, by its own steady clock.
        requested_at: Millis,
    },
    /// To a subscriber: the newest configuration; none where the subscriber has it. It was certain `age_ms` before
    /// this was sent, which was after `requested_at`: however long this takes on its way, the subscriber knows from when on.
    ConfigurationUpdate {
        /// The subscriber's word of when it subscribed, by its own steady clock; 0 where the sender vouches for no
        /// moment, as when it tells of a change unasked.
        requested_at: Millis,
        /// For how long the sender has not had it confirmed itself, in milliseconds; 0 from the head.
        age_ms: u64,
        /// The newest version.
        version: u64,
        /// The configuration.
        configuration: Option<Configuration>,
    },
}
