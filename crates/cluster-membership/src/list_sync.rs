//! When pages of other processes' membership lists are requested: the full list once after the start, and single pages
//! later while lists differ.
//!
//! SWIM leaves open how a process joins. Here it walks through the list of a seed, or of anybody it has learned of, page
//! by page. Digests that differ later, after losses that dissemination did not make up for, are resolved alike.

use crate::settings::SwimSettings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;

/// The state of the walk through the lists of others.
#[derive(Clone, Debug)]
pub(crate) struct ListSync {
    /// The next page begins after this address; none for the first page.
    cursor: Option<PeerAddress>,
    /// Whether no walk has reached the end of a list yet.
    joining: bool,
    /// Whether the last page changed who is present.
    last_page_was_new: bool,
    next_request_at: Millis,
    /// A member whose list differs from the own one.
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

    /// When the next page is to be requested; none where lists agree.
    pub(crate) fn next_request_at(&self) -> Option<Millis> {
        let needed = self.joining || self.differing_peer.is_some();
        needed.then_some(self.next_request_at)
    }

    /// Schedules the request after the one that is sent now.
    pub(crate) fn schedule_next(&mut self, settings: &SwimSettings, now: Millis) {
        let pause_ms = if self.joining || self.last_page_was_new {
            settings.join_retry_ms
        } else {
            settings.page_every_periods * settings.protocol_period_ms
        };
        self.last_page_was_new = false;
        self.next_request_at = now.plus(pause_ms.max(1));
    }

    /// Notes whether a member's list has the own digest.
    pub(crate) fn compare(&mut self, peer: PeerAddress, agrees: bool) {
        if !agrees {
            self.differing_peer = Some(peer);
        } else if self.differing_peer == Some(peer) {
            self.differing_peer = None;
        }
    }

    /// Notes that a page has arrived, which ended with `last` and, if `was_new`, changed who is present.
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
