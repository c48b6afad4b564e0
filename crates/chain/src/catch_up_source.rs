//! The member from which a spare receives entries.
//!
//! The tail feeds spares, since all of its entries are committed. But a spare is needed most when a
//! member is lost, and the lost member may be the tail. So a spare whose source times out switches
//! to the member before it, and from the head back to the tail. Any member sends the entries that
//! it knows to be committed.
//!
//! On a slow link one message takes longer than the timeout, whichever member sends it. Switching
//! further would only make several members send the same entries. So the timeout doubles with each
//! round in which no member answered in time.

use crate::limits::{MAX_SOURCE_TIMEOUT_DOUBLINGS, SOURCE_TIMEOUT_MS};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// The member that feeds a spare in one view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CatchUpSource {
    /// How many members before the tail the source is, modulo the length of the chain: the tail
    /// follows the head.
    before_tail: usize,
    /// When the source last sent a message, or became the source.
    last_message: Millis,
}

impl CatchUpSource {
    /// The tail, at the beginning of a view.
    pub(crate) fn tail(now: Millis) -> CatchUpSource {
        CatchUpSource {
            before_tail: 0,
            last_message: now,
        }
    }

    /// The disk of the source in this view; none if the chain is empty.
    pub(crate) fn member_of(&self, view: &View) -> Option<DiskId> {
        let before_tail = self.before_tail.checked_rem(view.chain.len())?;
        view.chain.iter().rev().nth(before_tail).copied()
    }

    /// Notes a message from the source.
    pub(crate) fn received(&mut self, now: Millis) {
        self.last_message = now;
    }

    /// Switches to the next member of the view if the source has timed out.
    pub(crate) fn switch_on_timeout(&mut self, view: &View, now: Millis) {
        let rounds = self.before_tail / view.chain.len().max(1);
        let timeout_ms = SOURCE_TIMEOUT_MS << rounds.min(MAX_SOURCE_TIMEOUT_DOUBLINGS);
        if now.since(self.last_message) >= timeout_ms {
            *self = CatchUpSource {
                before_tail: self.before_tail + 1,
                last_message: now,
            };
        }
    }
}
