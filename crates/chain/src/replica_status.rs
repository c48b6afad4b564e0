//! Whether a disk has everything that was committed.

use borsh::{BorshDeserialize, BorshSerialize};

/// Whether a disk is known to have everything that was committed before its view; stored on the
/// disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ReplicaStatus {
    /// The disk is a member of the newest view that it has adopted, and has everything that was
    /// committed before that view. An empty disk that has adopted no view yet has this status too,
    /// since nothing was committed that it could lack.
    #[default]
    Complete,
    /// The disk is a spare, or was one and has not received everything yet.
    Joining,
}
