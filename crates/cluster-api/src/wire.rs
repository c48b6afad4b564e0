//! Frames of the internal protocol.
//!
//! A connection begins with [`Frame::Hello`] from the process that opened it. A frame on the wire is its length in four
//! bytes, little-endian, and its `borsh` form. Connections may end at any time; whoever needs an answer asks again.

use crate::agent::{AgentMessage, OwnerMessage};
use crate::configuration::Configuration;
use crate::identity::{DiskId, PeerAddress};
use crate::operation::{LogEntry, Operation};
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

/// The number of a proposal in the agreement on views, ordered by term first. Two proposals never share a number, since
/// the incarnations of their proposers differ.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct ProposalNumber {
    /// Higher than the term of every proposal that the proposer had seen.
    pub term: u64,
    /// Drawn at random when the proposer's process began.
    pub incarnation: u64,
}

/// Messages of the agreement on views. One view is decided by one instance of single-decree Paxos (Lamport, *Paxos Made
/// Simple*, 2001).
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AgreementMessage {
    /// Phase 1a: asks an acceptor to accept nothing under a lower proposal number.
    Prepare {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
    },
    /// Phase 1b: the acceptor accepts nothing under a lower proposal number from now on.
    Prepared {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The disk of the acceptor.
        disk: DiskId,
        /// The proposal number under which `accepted` was accepted.
        accepted_proposal: ProposalNumber,
        /// The view that the disk accepted last; number 0 for none.
        accepted: View,
    },
    /// Phase 2a: asks an acceptor to accept a view.
    Accept {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The proposed view.
        view: View,
    },
    /// Phase 2b: the view was accepted and is on disk.
    Accepted {
        /// The number of the proposal.
        proposal_number: ProposalNumber,
        /// The disk of the acceptor.
        disk: DiskId,
    },
    /// The acceptor has prepared a higher proposal number.
    Rejected {
        /// The number of the rejected proposal.
        proposal_number: ProposalNumber,
        /// The proposal number that the acceptor has prepared.
        prepared: ProposalNumber,
    },
    /// A view is agreed.
    Agreed {
        /// The view.
        view: View,
    },
}

/// Which snapshot a piece belongs to. Pieces of two snapshots are never put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SnapshotIdentity {
    /// The index that the state covers.
    pub index: u64,
    /// How many pieces there are.
    pub chunks: u32,
    /// A checksum over all its bytes.
    pub checksum: u64,
}

/// Messages of the replication chain.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ChainMessage {
    /// From a member to its successor: entries, and how far everything is committed as far as the sender knows.
    Append {
        /// The sender's view.
        view: u64,
        /// The index before the first entry.
        previous: u64,
        /// The entries; none for a check that the successor is there.
        entries: Vec<LogEntry>,
        /// Everything up to this index is committed.
        committed: u64,
        /// Rises with each barrier of the head; acknowledged like an entry, without a sync.
        barrier: u64,
    },
    /// From a member to its predecessor: everything up to `synced` is on the disks of the sender and of all behind it.
    Acknowledge {
        /// The sender's view.
        view: u64,
        /// The last index that is on all those disks.
        synced: u64,
        /// The last barrier that the tail has seen.
        barrier: u64,
    },
    /// From a member to its predecessor: entries after `have` are needed.
    Resend {
        /// The sender's view.
        view: u64,
        /// The last index that the sender has.
        have: u64,
    },
    /// From a member to its successor, or to a disk that is to join: the whole state, in pieces.
    Snapshot {
        /// The sender's view.
        view: u64,
        /// Which snapshot this is a piece of.
        snapshot: SnapshotIdentity,
        /// Which piece this is, from 0.
        chunk: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The answer to a piece of a snapshot: how many of its pieces, from the first one on, have come.
    SnapshotReceived {
        /// The sender's view.
        view: u64,
        /// The snapshot.
        snapshot: SnapshotIdentity,
        /// How many pieces have come without a gap.
        chunks: u32,
    },
    /// From a disk that is to join the chain to the tail: it has everything up to `have` and wants what follows.
    Join {
        /// The view that the sender knows.
        view: u64,
        /// The disk.
        disk: DiskId,
        /// The last index that it has synced; none where it needs a snapshot.
        have: Option<u64>,
    },
    /// The receiver's view is older than the sender's.
    Outdated {
        /// The newer view.
        view: View,
    },
}

/// What a core process says of its replica, in the view of the heartbeat that it comes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReplicaReport {
    /// A spare that has everything that is committed, as far as it knows, and could join the chain.
    pub caught_up: bool,
    /// A disk that is known to have everything that was committed before this view: it may be the head of the next one.
    pub complete: bool,
    /// The head was restarted within this view and cannot go on in it.
    pub needs_view: bool,
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
