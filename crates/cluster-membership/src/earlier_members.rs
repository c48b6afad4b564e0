//! Addresses of members that were removed from the membership list, for a member that has lost contact with all others.
//!
//! During a long partition, a member removes all members that it cannot reach. If its seeds are replaced in the meantime, it
//! can find the cluster again only by these addresses.

use lupinrack_cluster_api::identity::PeerAddress;

/// The largest number of addresses.
const MAX_ADDRESSES: usize = 32;

/// Some addresses of earlier members.
#[derive(Clone, Debug, Default)]
pub(crate) struct EarlierMembers {
    addresses: Vec<PeerAddress>,
}

impl EarlierMembers {
    /// The addresses, in no particular order.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = PeerAddress> + '_ {
        self.addresses.iter().copied()
    }

    /// Adds an address. At [`MAX_ADDRESSES`] it replaces a random one, so that many members that are removed together leave
    /// a random sample of their addresses.
    pub(crate) fn add(&mut self, address: PeerAddress, random: &mut fastrand::Rng) {
        if self.addresses.contains(&address) {
            return;
        }
        if self.addresses.len() < MAX_ADDRESSES {
            self.addresses.push(address);
        } else if let Some(replaced) = random.choice(self.addresses.iter_mut()) {
            *replaced = address;
        }
    }
}
