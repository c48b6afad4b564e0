//! Pages of the membership list: requested while this member joins and while lists differ, and sent to others.

use super::Swim;
use crate::datagram::max_encoded_len;
use crate::member_update::MemberUpdate;
use crate::message::Message;
use crate::ping_order::PingScope;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

impl Swim {
    pub(super) fn request_page(&mut self, now: Millis) {
        self.sync.schedule_next(&self.settings, now);
        if let Some(source) = self.page_source() {
            let after = self.sync.cursor();
            self.send(source, Message::PageRequest { after });
        }
    }

    /// The member to request a page from: a seed or any known member while this member joins, later a member whose list
    /// differs.
    fn page_source(&mut self) -> Option<PeerAddress> {
        if !self.sync.is_joining() {
            return self.sync.differing_peer();
        }
        let prefer_seed = self.members.present_count() == 0 || self.random.bool();
        let seed = if prefer_seed {
            self.random.choice(self.seeds.iter().copied())
        } else {
            None
        };
        seed.or_else(|| self.next_ping_target(PingScope::OwnZone))
    }

    /// Sends a page with as many members after an address as fit. An update that the requester has to refute comes first.
    pub(super) fn send_page(&mut self, requester: &MemberUpdate, after: Option<PeerAddress>) {
        let mut updates = self.correction_for(requester);
        let mut free_bytes = self.free_bytes_beside(&updates);
        let mut last = None;
        for update in self.members.after(after) {
            let Some(free) = free_bytes.checked_sub(max_encoded_len(update)) else {
                last = updates.last().map(|update| update.address);
                break;
            };
            free_bytes = free;
            updates.push(update.clone());
        }
        self.push(requester.address, Message::Page { last }, updates);
    }
}
