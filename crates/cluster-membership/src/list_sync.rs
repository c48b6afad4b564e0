//! Schedules requests for pages of other processes' membership lists: for the full list once after the start, and for single
//! pages later while lists differ.
//!
//! SWIM does not specify how a process joins. Here it requests the list of a seed or of any known member, page by page.
//! Lists that differ later, because dissemination did not make up for lost datagrams, are synchronized in the same way.

use crate::settings::SwimSettings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

/// The progress of reading other members' lists page by page.
#[derive(Clone, Debug)]
pub(crate) struct ListSync {
    /// The next page starts after this address; `None` for the first page.
    cursor: Option<PeerAddress>,
    /// Whether this process has never read a list to its end.
    joining: bool,
    /// Whether the last page changed the live table.
    last_page_was_new: bool,
    next_request_at: Millis,
    /// A member whose list differs from this process's list.
    differing_peer: Option<PeerAddress>,
}

impl ListSync {
    pub(crate) fn new(now: Millis) -> ListSync {
        ListSync {
            cursor: None,
            joining: true,
            last_page_was_new: false,
            next_request_at: now,
            differing_peer: None,
        }
    }

    pub(crate) fn is_joining(&self) -> bool {
        self.joining
    }

    pub(crate) fn cursor(&self) -> Option<PeerAddress> {
        self.cursor
    }

    pub(crate) fn differing_peer(&self) -> Option<PeerAddress> {
        self.differing_peer
    }

    /// When the next page has to be requested; `None` if the lists agree.
    pub(crate) fn next_request_at(&self) -> Option<Millis> {
        let needed = self.joining || self.differing_peer.is_some();
        needed.then_some(self.next_request_at)
    }

    /// Schedules the request after the one that is sent now.
    pub(crate) fn schedule_next(&mut self, settings: &SwimSettings, now: Millis) {
        let interval_ms = if self.joining || self.last_page_was_new {
            settings.join_retry_ms
        } else {
            settings.page_every_periods * settings.protocol_period_ms
        };
        self.last_page_was_new = false;
        self.next_request_at = now.plus(interval_ms.max(1));
    }

    /// Records whether a member's list has the same digest as this process's list.
    pub(crate) fn compare(&mut self, peer: PeerAddress, agrees: bool) {
        if !agrees {
            self.differing_peer = Some(peer);
        } else if self.differing_peer == Some(peer) {
            self.differing_peer = None;
        }
    }

    /// Records the arrival of a page that ended with `last`. `was_new` states whether it changed the live table.
    pub(crate) fn page_arrived(
        &mut self,
        last: Option<PeerAddress>,
        was_new: bool,
        settings: &SwimSettings,
        now: Millis,
    ) {
        self.cursor = last;
        self.last_page_was_new = was_new;
        if was_new {
            let soon = now.plus(settings.join_retry_ms);
            self.next_request_at = self.next_request_at.min(soon);
        }
        if last.is_none() {
            self.joining = false;
            self.differing_peer = None;
        }
    }
}
