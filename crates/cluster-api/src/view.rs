//! Views: who votes, and which disks form the replication chain.

use crate::identity::{DiskId, PeerAddress};
use borsh::{BorshDeserialize, BorshSerialize};

/// A disk that votes on views.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Voter {
    /// The disk.
    pub disk: DiskId,
    /// Where its process listens for other processes of the system.
    pub address: PeerAddress,
    /// The zone of its machine.
    pub zone: String,
}

/// An agreed membership of the core. Each view is agreed by a majority of the voters of the
/// previous view and by a majority of its own voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct View {
    /// Its number; 0 stands for no view yet.
    pub number: u64,
    /// Who votes.
    pub voters: Vec<Voter>,
    /// The replication chain, head first. Every member except those that joined last has
    /// everything that was committed before this view.
    pub chain: Vec<DiskId>,
}

impl View {
    /// The first member of the chain, which orders operations.
    pub fn head(&self) -> Option<DiskId> {
        self.chain.first().copied()
    }

    /// The last member of the chain. What it has synced is committed.
    pub fn tail(&self) -> Option<DiskId> {
        self.chain.last().copied()
    }

    /// The position of a disk in the chain, 0 for the head.
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
