//! Pages of the roster: asked for while this member joins, and while rosters differ.

use super::*;

impl Swim {
    pub(super) fn wants_page(&self) -> bool {
        self.paging.joining || self.differs.is_some()
    }

    pub(super) fn request_page(&mut self, now: Millis) {
        let hurries = self.paging.joining || self.paging.fruitful;
        let pause = match hurries {
            true => self.settings.join_ms,
            false => self.settings.page_every * self.settings.period_ms,
        };
        self.paging.fruitful = false;
        self.paging.due = now.plus(pause.max(1));
        let Some(source) = self.page_source() else {
            return;
        };
        let after = self.paging.cursor;
        self.send(source, Message::PageRequest { after });
    }

    /// While this member joins, a seed or anybody it has heard of; later, whoever has another roster.
    fn page_source(&mut self) -> Option<PeerAddress> {
        if !self.paging.joining {
            return self.differs;
        }
        let ask_seed = self.roster.present_count() == 0 || self.random.bool();
        let seed = match ask_seed {
            true => self.random.choice(self.seeds.iter().copied()),
            false => None,
        };
        seed.or_else(|| {
            self.order
                .next(&self.roster, &self.own.zone, false, &mut self.random)
        })
    }

    pub(super) fn send_page(&mut self, sender: &MemberUpdate, after: Option<PeerAddress>) {
        let mut updates = self.contradiction(sender);
        let mut room =
            room_for_updates(&self.own).saturating_sub(updates.iter().map(encoded_len).sum());
        let mut last = None;
        for update in self.roster.after(after) {
            let Some(left) = room.checked_sub(encoded_len(update)) else {
                last = updates.last().map(|update| update.address);
                break;
            };
            room = left;
            updates.push(update.clone());
        }
        self.push(sender.address, Message::Page { last }, updates);
    }

    pub(super) fn take_page(&mut self, last: Option<PeerAddress>, fruitful: bool, now: Millis) {
        self.paging.cursor = last;
        self.paging.fruitful = fruitful;
        if fruitful {
            self.paging.due = self.paging.due.min(now.plus(self.settings.join_ms));
        }
        if last.is_none() {
            self.paging.joining = false;
            self.differs = None;
        }
    }
}
