//! What becomes of a frame that is sent.

/// What became of a frame that was passed to [`Peers::send`](super::Peers::send).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was queued on a connection.
    Sent {
        /// The number of the connection.
        connection: u64,
    },
    /// It waits for a connection to be opened.
    Pending,
    /// It was dropped: it is too large, or the peer does not read, in which case its connection was closed.
    Dropped,
}
