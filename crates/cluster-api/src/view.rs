//! The agreed view: who votes, and which disks form the replication chain.

use crate::identity::{DiskId, PeerAddress};
use borsh::{BorshDeserialize, BorshSerialize};

/// A disk that votes on views.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Voter {
    /// The disk.
    pub disk: DiskId,
    /// Where its process listens for others of the system.
    pub address: PeerAddress,
    /// The zone of its machine.
    pub zone: String,
}

/// One agreed configuration of the core. Each view is agreed by a majority of the voters of the view before it and of
/// its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct View {
    /// Its number; 0 is the state before the first view.
    pub number: u64,
    /// Who votes.
    pub voters: Vec<Voter>,
    /// The replication chain, head first. Every member but those that joined last holds all that was acknowledged.
    pub chain: Vec<DiskId>,
}

impl View {
    /// Where writes go.
    pub fn head(&self) -> Option<DiskId> {
        self.chain.first().copied()
    }

    /// Which member of the chain answers last.
    pub fn tail(&self) -> Option<DiskId> {
        self.chain.last().copied()
    }

    /// The place of a disk in the chain, 0 for the head.
    pub fn position(&self, disk: DiskId) -> Option<usize> {
        self.chain.iter().position(|member| *member == disk)
    }

    /// The voter of this disk.
    pub fn voter(&self, disk: DiskId) -> Option<&Voter> {
        self.voters.iter().find(|voter| voter.disk == disk)
    }

    /// The address of a disk's process.
    pub fn address(&self, disk: DiskId) -> Option<PeerAddress> {
        self.voter(disk).map(|voter| voter.address)
    }
}
