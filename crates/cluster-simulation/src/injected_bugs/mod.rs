//! Bugs that are injected to show that the oracle finds them.

mod hooks;

use lupinrack_cluster_api::identity::FencingToken;
use lupinrack_cluster_api::request::Reply;
use std::collections::BTreeMap;

/// A bug that replaces correct behavior.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A disk reports a write as synced too early.
    MissingSync,
    /// An agent passes on a lease that is a second longer than granted.
    LeaseTooLong,
    /// A front answers 503 although the effect of the call is unknown.
    RejectedInDoubt,
    /// An agent reports an end as observed before it is recorded.
    ObservedTooEarly,
    /// A core process votes under its former identity after the loss of its disk.
    VoteOfEmptyDisk,
    /// A process that takes over a shard requests the lowest token. The record refuses it, and the shard has no owner.
    TokenNotIncremented,
    /// A head that is partitioned off assumes its successor's acknowledgement: its barriers pass without a quorum.
    BarrierWithoutQuorum,
    /// Machines on the minority side of a partition agree on a view alone: voters are removed without an overlap of
    /// majorities.
    VotersRemovedByMinority,
    /// Accepted changes are missing from the snapshots on disks.
    AcceptedChangesNotInSnapshot,
    /// A disk stores its first snapshot in place of each later one, under the later one's log position.
    StaleSnapshot,
    /// A late copy of each reply arrives on the connection that the caller's machine has by then, so that only the call
    /// number matches it to a call.
    ReplyMatchedByNumber,
    /// An agent keeps sending commands under its first token after newer ones.
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
    /// Reply copies in transit.
    pub late_replies: Vec<LateReply>,
    /// The first token of each agent's machine.
    pub first_tokens: BTreeMap<usize, FencingToken>,
}

/// A reply copy in transit.
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
