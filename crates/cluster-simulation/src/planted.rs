//! Faults that are planted to see whether the checks find them.

/// A fault in place of the right behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// A disk says that a write is synced before it is.
    SyncLeftOut,
    /// An agent passes on a hold a second longer than it was granted.
    HoldTooLong,
    /// A front answers 503 where a call is in doubt.
    RefusedInDoubt,
    /// An agent says that an end was observed before it is recorded.
    ObservedTooSoon,
    /// A disk that comes back empty votes under the identity that it had.
    VoteOfEmptyDisk,
    /// A process that takes a shard over asks for the lowest token. The record refuses that, and nobody owns the shard.
    TokenNotRaised,
}

impl PlantedFault {
    /// All of them.
    pub const ALL: [PlantedFault; 6] = [
        PlantedFault::SyncLeftOut,
        PlantedFault::HoldTooLong,
        PlantedFault::RefusedInDoubt,
        PlantedFault::ObservedTooSoon,
        PlantedFault::VoteOfEmptyDisk,
        PlantedFault::TokenNotRaised,
    ];
}
