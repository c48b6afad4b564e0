//! Addresses of members that were forgotten, for a member that loses sight of all others.
//!
//! While it is partitioned for long, a member forgets whoever it does not reach. Its seeds may be replaced meanwhile; then
//! these addresses are all that is left to find the cluster by.

use lupinrack_cluster_api::identity::PeerAddress;

/// How many addresses are kept.
const MAX_ADDRESSES: usize = 32;

/// A few addresses at which members were once.
#[derive(Clone, Debug, Default)]
pub(crate) struct EarlierMembers {
    addresses: Vec<PeerAddress>,
}

impl EarlierMembers {
    /// The addresses, in no particular order.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = PeerAddress> + '_ {
        self.addresses.iter().copied()
    }

    /// Remembers an address. Where there are too many it takes the place of any other one, so that what is kept of many
    /// that are forgotten together is a random sample.
    pub(crate) fn remember(&mut self, address: PeerAddress, random: &mut fastrand::Rng) {
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
