//! Faults that are planted to see whether the checks find them.

mod hooks;

use lupinrack_cluster_api::request::Reply;
use std::collections::BTreeMap;

/// A fault in place of the right behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A disk says that a write is synced before it is.
    SyncLeftOut,
    /// An agent passes on a hold a second longer than it was granted.
    LeaseTooLong,
    /// A front answers 503 where a call is in doubt.
    RefusedInDoubt,
    /// An agent says that an end was observed before it is recorded.
    ObservedTooSoon,
    /// A disk that comes back empty votes under the identity that it had.
    VoteOfEmptyDisk,
    /// A process that takes a shard over asks for the lowest token. The record refuses that, and nobody owns the shard.
    TokenNotRaised,
    /// A head that is cut off takes its successor's word for granted: its barriers pass without contact with a majority.
    BarrierWithoutContact,
    /// Machines that are cut off together agree on a view without the others: voters are removed without an overlap of
    /// majorities.
    VotersRemovedAlone,
    /// The changes that were taken are not in the snapshots that disks hold.
    TakenChangesNotInSnapshot,
    /// In the place of each later snapshot a disk holds its first one, as if that covered all that the later one covers.
    SnapshotTakenForNewer,
    /// A copy of each answer comes late, on whatever connection its caller's machine has by then, so that the number alone
    /// says which call it answers.
    AnswerMatchedByNumber,
}

impl PlantedFault {
    /// All of them.
    pub const ALL: [PlantedFault; 11] = [
        PlantedFault::SyncLeftOut,
        PlantedFault::LeaseTooLong,
        PlantedFault::RefusedInDoubt,
        PlantedFault::ObservedTooSoon,
        PlantedFault::VoteOfEmptyDisk,
        PlantedFault::TokenNotRaised,
        PlantedFault::BarrierWithoutContact,
        PlantedFault::VotersRemovedAlone,
        PlantedFault::TakenChangesNotInSnapshot,
        PlantedFault::SnapshotTakenForNewer,
        PlantedFault::AnswerMatchedByNumber,
    ];
}

/// What has to be remembered for planted faults.
#[derive(Debug, Default)]
pub struct Planting {
    /// The first snapshot that each machine wrote.
    pub first_snapshots: BTreeMap<usize, Vec<u8>>,
    /// Copies of answers on their way.
    pub late_answers: Vec<LateAnswer>,
}

/// A copy of an answer on its way.
#[derive(Debug)]
pub struct LateAnswer {
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
