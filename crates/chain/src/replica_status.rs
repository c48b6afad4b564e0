//! Whether a disk has everything that was committed.

use borsh::{BorshDeserialize, BorshSerialize};

/// Whether a disk is known to have everything that was committed before its view; stored on the
/// disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ReplicaStatus {
    /// As a member of the newest view that the disk has adopted, it has everything that was
    /// committed before that view. An empty disk that has adopted no view yet has this status:
    /// there is nothing that it could lack.
    #[default]
    Complete,
    /// It is a spare, or was one and has not received everything yet.
    Joining,
}
