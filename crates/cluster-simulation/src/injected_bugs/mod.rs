//! Bugs that are injected to show that the oracle finds them.

mod hooks;

use lupinrack_cluster_api::identity::FencingToken;
use lupinrack_cluster_api::request::Reply;
use std::collections::BTreeMap;

/// A fault in place of the right behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A disk says that a write is synced before it is.
    MissingSync,
    /// An agent passes on a lease a second longer than it was granted.
    LeaseTooLong,
    /// A front answers 503 where a call is in doubt.
    RejectedInDoubt,
    /// An agent says that an end was observed before it is recorded.
    ObservedTooEarly,
    /// A disk that comes back empty votes under the identity that it had.
    VoteOfEmptyDisk,
    /// A process that takes a shard over asks for the lowest token. The record refuses that, and nobody owns the shard.
    TokenNotIncremented,
    /// A head that is partitioned off assumes its successor's acknowledgement: its barriers pass without a quorum.
    BarrierWithoutQuorum,
    /// Machines on the minority side of a partition agree on a view alone: voters are removed without an overlap of
    /// majorities.
    VotersRemovedByMinority,
    /// Accepted changes are missing from the snapshots on disks.
    AcceptedChangesNotInSnapshot,
    /// Instead of each later snapshot a disk keeps its first one, as if that covered all that the later one covers.
    StaleSnapshot,
    /// A copy of each answer comes late, on whatever connection its caller's machine has by then, so that the number alone
    /// says which call it answers.
    ReplyMatchedByNumber,
    /// An agent orders under the first token that it ever had, whatever has come since.
    DeposedOwnerKeepsOn,
}

impl InjectedBug {
    /// All of them.
    pub const ALL: [InjectedBug; 12] = [
        InjectedBug::MissingSync,
        InjectedBug::LeaseTooLong,
        InjectedBug::RejectedInDoubt,
        InjectedBug::ObservedTooEarly,
        InjectedBug::VoteOfEmptyDisk,
        InjectedBug::TokenNotIncremented,
        InjectedBug::BarrierWithoutQuorum,
        InjectedBug::VotersRemovedByMinority,
        InjectedBug::AcceptedChangesNotInSnapshot,
        InjectedBug::StaleSnapshot,
        InjectedBug::ReplyMatchedByNumber,
        InjectedBug::DeposedOwnerKeepsOn,
    ];
}

/// State of injected bugs.
#[derive(Debug, Default)]
pub(crate) struct BugState {
    /// The first snapshot that each machine wrote.
    pub first_snapshots: BTreeMap<usize, Vec<u8>>,
    /// Copies of answers on their way.
    pub late_replies: Vec<LateReply>,
    /// The first token that each agent's machine had.
    pub first_tokens: BTreeMap<usize, FencingToken>,
}

/// A copy of an answer on its way.
#[derive(Debug)]
pub(crate) struct LateReply {
    /// When it arrives.
    pub due: u64,
    /// The machine that answered.
    pub from: usize,
    /// The machine that called.
    pub to: usize,
    /// The number of the call.
    pub number: u64,
    /// The answer.
    pub reply: Reply,
}
