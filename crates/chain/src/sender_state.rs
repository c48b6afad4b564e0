//! What a sender of entries says, and its bounds.

use crate::limits::ByteLimits;

/// What a sender says with every `Append`, and the bounds of what it has in flight.
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
    /// Bounds of what is in flight.
    pub(crate) limits: ByteLimits,
}
