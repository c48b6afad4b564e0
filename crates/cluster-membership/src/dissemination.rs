//! News that still has to be told: each piece rides on a bounded number of datagrams, the least told first.

use crate::datagram::encoded_len;
use crate::member_update::MemberUpdate;
use crate::membership_list::Roster;
use lupinrack_cluster_api::identity::PeerAddress;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// How many more times word of each member is to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    remaining: BTreeMap<PeerAddress, u32>,
}

impl Gossip {
    /// There is news of a member.
    pub(crate) fn put(&mut self, address: PeerAddress, transmissions: u32) {
        self.remaining.insert(address, transmissions);
    }

    /// The news for one datagram, in so many bytes at most.
    pub(crate) fn take(&mut self, roster: &Roster, bytes_most: usize) -> Vec<MemberUpdate> {
        let mut queue: Vec<(u32, PeerAddress)> = self
            .remaining
            .iter()
            .map(|(address, remaining)| (*remaining, *address))
            .collect();
        queue.sort_unstable_by_key(|(remaining, address)| (Reverse(*remaining), *address));
        let mut taken = Vec::new();
        let mut bytes_left = bytes_most;
        for (_, address) in queue {
            let Some(update) = roster.get(address) else {
                self.remaining.remove(&address);
                continue;
            };
            let Some(left) = bytes_left.checked_sub(encoded_len(update)) else {
                break;
            };
            bytes_left = left;
            taken.push(update.clone());
            self.told(address);
        }
        taken
    }

    fn told(&mut self, address: PeerAddress) {
        let Some(remaining) = self.remaining.get_mut(&address) else {
            return;
        };
        *remaining = remaining.saturating_sub(1);
        if *remaining == 0 {
            self.remaining.remove(&address);
        }
    }
}
