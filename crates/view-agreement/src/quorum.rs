//! Majorities, of founders' addresses before view 1 and of voters' disks from then on.

use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::view::View;
use std::collections::{BTreeMap, BTreeSet};

/// The disks that gave the same answer, and where each of them is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Responders(BTreeMap<DiskId, PeerAddress>);

impl Responders {
    /// Adds one; the same disk counts once.
    pub(crate) fn add(&mut self, disk: DiskId, from: PeerAddress) {
        self.0.insert(disk, from);
    }

    /// Whether this address has answered.
    pub(crate) fn has_address(&self, address: PeerAddress) -> bool {
        self.0.values().any(|from| *from == address)
    }

    /// Whether a majority of the view's voters has answered.
    pub(crate) fn are_majority_of(&self, view: &View) -> bool {
        let count = view
            .voters
            .iter()
            .filter(|voter| self.0.contains_key(&voter.disk))
            .count();
        is_majority(count, view.voters.len())
    }

    /// Whether a majority of these addresses has answered.
    pub(crate) fn are_majority_of_addresses(&self, addresses: &[PeerAddress]) -> bool {
        let count = addresses
            .iter()
            .filter(|address| self.has_address(**address))
            .count();
        is_majority(count, addresses.len())
    }
}

/// Whether `count` is more than half of `total`.
pub(crate) fn is_majority(count: usize, total: usize) -> bool {
    count * 2 > total
}

/// Whether a view can be proposed at all: it has voters, no disk twice, and its chain is made of voters.
pub(crate) fn is_well_formed(view: &View) -> bool {
    let disks: BTreeSet<DiskId> = view.voters.iter().map(|voter| voter.disk).collect();
    let chain: BTreeSet<DiskId> = view.chain.iter().copied().collect();
    let distinct = disks.len() == view.voters.len() && chain.len() == view.chain.len();
    distinct && !chain.is_empty() && chain.is_subset(&disks)
}
