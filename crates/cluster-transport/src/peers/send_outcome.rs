//! What happens to a frame that is sent.

/// What happened to a frame that was passed to [`Peers::send`](super::Peers::send).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was queued on a connection.
    Sent {
        /// The number of the connection.
        connection: u64,
    },
    /// It waits for a connection to be opened.
    Pending,
    /// It was dropped: it is too large, or the peer does not read. In the latter case the connection was closed.
    Dropped,
}
