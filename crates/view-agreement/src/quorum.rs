//! Majorities: of the founders' addresses before view 1, and of the voters' disks afterwards.

use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::view::View;
use std::collections::BTreeMap;

/// The disks that gave the same response, and the address of each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Responders {
    addresses: BTreeMap<DiskId, PeerAddress>,
}

impl Responders {
    /// Adds a disk; one that responds twice counts once.
    pub(crate) fn add(&mut self, disk: DiskId, from: PeerAddress) {
        self.addresses.insert(disk, from);
    }

    /// Whether a response came from this address.
    pub(crate) fn has_address(&self, address: PeerAddress) -> bool {
        self.addresses.values().any(|from| *from == address)
    }

    /// Whether a majority of the view's voters has responded.
    pub(crate) fn include_majority_of(&self, view: &View) -> bool {
        let has_responded = |disk| self.addresses.contains_key(&disk);
        let responded = view.voters.iter().filter(|voter| has_responded(voter.disk));
        is_majority(responded.count(), view.voters.len())
    }

    /// Whether a response came from a majority of these addresses.
    pub(crate) fn include_majority_of_addresses(&self, addresses: &[PeerAddress]) -> bool {
        let responded = addresses
            .iter()
            .filter(|address| self.has_address(**address));
        is_majority(responded.count(), addresses.len())
    }
}

/// Whether `count` is more than half of `total`.
pub(crate) fn is_majority(count: usize, total: usize) -> bool {
    count * 2 > total
}
