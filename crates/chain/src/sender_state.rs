//! The state that a sender includes in its messages.

use crate::limits::ByteLimits;

/// The state that a sender includes in every `Append`, and the limits of its entries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderState {
    /// The number of the sender's view.
    pub(crate) view_number: u64,
    /// The last index that may be sent.
    pub(crate) limit: u64,
    /// Everything up to this index is committed.
    pub(crate) committed: u64,
    /// The newest barrier.
    pub(crate) barrier: u64,
    /// Limits in bytes, of which `window` bounds the entries in flight.
    pub(crate) limits: ByteLimits,
}
