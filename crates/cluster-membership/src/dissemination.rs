//! The dissemination of updates: each update is piggybacked on a bounded number of datagrams, the least often sent first.
//!
//! See section 4.1 of the SWIM paper (*infection-style dissemination*). The queue holds addresses and counts; the update that
//! is sent about a member is the one in the membership list at that time.

use crate::datagram::max_encoded_len;
use crate::member_update::MemberUpdate;
use crate::membership_list::MembershipList;
use lupinrack_cluster_api::identity::PeerAddress;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// How many more times the update about each member has to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct DisseminationQueue {
    remaining: BTreeMap<PeerAddress, u32>,
}

impl DisseminationQueue {
    /// Queues the update about a member, to be sent this many times.
    pub(crate) fn enqueue(&mut self, address: PeerAddress, transmissions: u32) {
        self.remaining.insert(address, transmissions);
    }

    /// Takes updates for one datagram, of at most `max_bytes` in total.
    pub(crate) fn take(&mut self, members: &MembershipList, max_bytes: usize) -> Vec<MemberUpdate> {
        let mut taken = Vec::new();
        let mut free_bytes = max_bytes;
        for address in self.addresses_by_fewest_transmissions() {
            let Some(update) = members.get(address) else {
                self.remaining.remove(&address);
                continue;
            };
            let Some(free) = free_bytes.checked_sub(max_encoded_len(update)) else {
                break;
            };
            free_bytes = free;
            taken.push(update.clone());
            self.count_transmission(address);
        }
        taken
    }

    fn addresses_by_fewest_transmissions(&self) -> Vec<PeerAddress> {
        let mut queue: Vec<(Reverse<u32>, PeerAddress)> = self
            .remaining
            .iter()
            .map(|(address, remaining)| (Reverse(*remaining), *address))
            .collect();
        queue.sort_unstable();
        queue.into_iter().map(|(_, address)| address).collect()
    }

    fn count_transmission(&mut self, address: PeerAddress) {
        let Some(remaining) = self.remaining.get_mut(&address) else {
            return;
        };
        *remaining = remaining.saturating_sub(1);
        if *remaining == 0 {
            self.remaining.remove(&address);
        }
    }
}
