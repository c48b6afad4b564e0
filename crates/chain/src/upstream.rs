//! The link of a replica to the disk from which it receives entries.

use crate::limits::RESEND_INTERVAL_MS;
use lupinrack_cluster_api::time::Millis;

/// An acknowledgement to the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Acknowledgement {
    /// The last index that is on the disks of this member and of all members after it.
    pub(crate) synced: u64,
    /// The last barrier that this member and all members after it have seen.
    pub(crate) barrier: u64,
}

/// A request for the entries after an index.
#[derive(Clone, Copy, Debug)]
struct ResendRequest {
    /// The last index that this disk had.
    have: u64,
    /// When the request was sent.
    at: Millis,
}

/// The state of the exchange with the source of entries in the current view.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    /// Whether entries of the predecessor were received without a gap.
    is_aligned: bool,
    /// The last acknowledgement; none if the next one is sent even without a change.
    acknowledged: Option<Acknowledgement>,
    /// The last request to resend entries.
    resend: Option<ResendRequest>,
}

impl Upstream {
    /// Whether entries of the predecessor were received without a gap, so that they can be
    /// acknowledged.
    pub(crate) fn is_aligned(&self) -> bool {
        self.is_aligned
    }

    /// Notes that entries of the predecessor were received without a gap.
    pub(crate) fn align(&mut self) {
        self.is_aligned = true;
    }

    /// Makes the next acknowledgement be sent even if it equals the last one.
    pub(crate) fn acknowledge_again(&mut self) {
        self.acknowledged = None;
    }

    /// Records an acknowledgement. Returns whether it differs from the last one and has to be sent.
    pub(crate) fn acknowledge(&mut self, acknowledgement: Acknowledgement) -> bool {
        self.acknowledged.replace(acknowledgement) != Some(acknowledgement)
    }

    /// Whether to request the entries after `have` now; not if the same were requested within
    /// [`RESEND_INTERVAL_MS`]. A request is recorded.
    pub(crate) fn request_resend(&mut self, have: u64, now: Millis) -> bool {
        let is_repetition = |request: &ResendRequest| {
            request.have == have && now.since(request.at) < RESEND_INTERVAL_MS
        };
        if self.resend.as_ref().is_some_and(is_repetition) {
            return false;
        }
        self.resend = Some(ResendRequest { have, at: now });
        true
    }
}
