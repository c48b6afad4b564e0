//! The link of a replica to the disk from which it receives entries.

use crate::limits::RESEND_MS;
use lupinrack_cluster_api::time::Millis;

/// An acknowledgement to the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Acknowledgement {
    /// The last index that is on the disks of this member and all after it.
    pub(crate) synced: u64,
    /// The last barrier that this member and all after it have seen.
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

/// What was exchanged with the source of entries in the current view.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    /// Whether entries of the predecessor came without a gap.
    is_aligned: bool,
    /// What was last acknowledged; none if it is to be acknowledged anew.
    acknowledged: Option<Acknowledgement>,
    /// What was last requested.
    resend: Option<ResendRequest>,
}

impl Upstream {
    /// Whether entries of the predecessor came without a gap, so that there is something to
    /// acknowledge.
    pub(crate) fn is_aligned(&self) -> bool {
        self.is_aligned
    }

    /// Notes that entries of the predecessor came without a gap.
    pub(crate) fn align(&mut self) {
        self.is_aligned = true;
    }

    /// Acknowledges at the next occasion, even if nothing has changed.
    pub(crate) fn acknowledge_anew(&mut self) {
        self.acknowledged = None;
    }

    /// Whether this was not acknowledged yet; it is noted as acknowledged.
    pub(crate) fn acknowledge(&mut self, acknowledgement: Acknowledgement) -> bool {
        self.acknowledged.replace(acknowledgement) != Some(acknowledgement)
    }

    /// Whether to request the entries after `have` now, which is noted; not if the same was
    /// requested a moment ago.
    pub(crate) fn request_resend(&mut self, have: u64, now: Millis) -> bool {
        let is_repetition =
            |request: &ResendRequest| request.have == have && now.since(request.at) < RESEND_MS;
        if self.resend.as_ref().is_some_and(is_repetition) {
            return false;
        }
        self.resend = Some(ResendRequest { have, at: now });
        true
    }
}
