//! The acceptors that decide the next view.

use crate::quorum::Responders;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::view::{View, Voter};
use std::collections::BTreeSet;

/// The acceptors of one instance of Paxos.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Electorate<'a> {
    /// The acceptors of view 1: the founders, identified by address since no view lists their disks
    /// yet.
    Founders(&'a [PeerAddress]),
    /// The acceptors of any later view: the voters of the agreed view before it, identified by disk.
    Voters(&'a View),
}

impl Electorate<'_> {
    /// Whether this disk is one of the acceptors.
    pub(crate) fn includes(self, me: &Voter) -> bool {
        match self {
            Electorate::Founders(founders) => founders.contains(&me.address),
            Electorate::Voters(view) => view.voter(me.disk).is_some(),
        }
    }

    /// Whether a response of this disk counts. It counts only from the acceptor's own address: a
    /// process that runs on a copy of an acceptor's data has no vote.
    pub(crate) fn counts_response(self, disk: DiskId, from: PeerAddress) -> bool {
        match self {
            Electorate::Founders(founders) => founders.contains(&from),
            Electorate::Voters(view) => view.address(disk) == Some(from),
        }
    }

    /// The addresses of the acceptors.
    pub(crate) fn addresses(self) -> BTreeSet<PeerAddress> {
        match self {
            Electorate::Founders(founders) => founders.iter().copied().collect(),
            Electorate::Voters(view) => view.voters.iter().map(|voter| voter.address).collect(),
        }
    }

    /// The addresses of the acceptors and of the voters of a proposed view.
    pub(crate) fn addresses_with(self, proposed: &View) -> BTreeSet<PeerAddress> {
        let mut addresses = self.addresses();
        addresses.extend(proposed.voters.iter().map(|voter| voter.address));
        addresses
    }

    /// Whether a majority of the acceptors has responded.
    pub(crate) fn is_quorum(self, responders: &Responders) -> bool {
        match self {
            Electorate::Founders(founders) => responders.include_majority_of_addresses(founders),
            Electorate::Voters(view) => responders.include_majority_of(view),
        }
    }
}
