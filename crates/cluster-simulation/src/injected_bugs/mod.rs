//! Faults that are planted to see whether the checks find them.

mod hooks;

use lupinrack_cluster_api::request::Reply;
use std::collections::BTreeMap;

/// A fault in place of the right behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A disk says that a write is synced before it is.
    MissingSync,
    /// An agent passes on a hold a second longer than it was granted.
    LeaseTooLong,
    /// A front answers 503 where a call is in doubt.
    RejectedInDoubt,
    /// An agent says that an end was observed before it is recorded.
    ObservedTooEarly,
    /// A disk that comes back empty votes under the identity that it had.
    VoteOfEmptyDisk,
    /// A process that takes a shard over asks for the lowest token. The record refuses that, and nobody owns the shard.
    TokenNotIncremented,
    /// A head that is cut off takes its successor's word for granted: its barriers pass without contact with a majority.
    BarrierWithoutQuorum,
    /// Machines that are cut off together agree on a view without the others: voters are removed without an overlap of
    /// majorities.
    VotersRemovedByMinority,
    /// The changes that were taken are not in the snapshots that disks hold.
    AcceptedChangesNotInSnapshot,
    /// In the place of each later snapshot a disk holds its first one, as if that covered all that the later one covers.
    StaleSnapshot,
    /// A copy of each answer comes late, on whatever connection its caller's machine has by then, so that the number alone
    /// says which call it answers.
    ReplyMatchedByNumber,
}

impl InjectedBug {
    /// All of them.
    pub const ALL: [InjectedBug; 11] = [
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
    ];
}

/// What has to be remembered for planted faults.
#[derive(Debug, Default)]
pub struct BugState {
    /// The first snapshot that each machine wrote.
    pub first_snapshots: BTreeMap<usize, Vec<u8>>,
    /// Copies of answers on their way.
    pub late_replies: Vec<LateReply>,
}

/// A copy of an answer on its way.
#[derive(Debug)]
pub struct LateReply {
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
