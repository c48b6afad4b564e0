//! Limits and timeouts of internal connections.

use std::time::Duration;

/// Limits and timeouts of [`Peers`](super::Peers).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// The minimum delay after a failed attempt to connect.
    pub min_reconnect_delay: Duration,
    /// The maximum of that delay. The delay is drawn at random below a bound that doubles with each failure.
    pub max_reconnect_delay: Duration,
    /// How long an accepted connection may take to send its greeting.
    pub hello_timeout: Duration,
    /// How long the kernel waits for the other side to acknowledge bytes before it fails a connection (the socket
    /// option `TCP_USER_TIMEOUT`, RFC 5482).
    pub tcp_user_timeout: Duration,
    /// How many frames may wait for a connection to a peer; the oldest is dropped for a new one.
    pub max_pending_frames: usize,
    /// How many bytes of frames may wait for a connection to a peer.
    pub max_pending_bytes: usize,
    /// How long a frame waits for a connection before it is dropped.
    pub max_pending_age: Duration,
    /// With this many bytes not yet written, a further frame closes the connection. A single frame may be larger, so a
    /// sender of much data at once splits it into frames that are much smaller than this.
    pub max_unwritten_bytes: usize,
    /// How many events may wait for their receiver before connections are no longer read.
    pub max_queued_events: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            connect_timeout: Duration::from_millis(800),
            min_reconnect_delay: Duration::from_millis(100),
            max_reconnect_delay: Duration::from_millis(500),
            hello_timeout: Duration::from_secs(2),
            tcp_user_timeout: Duration::from_millis(1500),
            max_pending_frames: 256,
            max_pending_bytes: 2 * 1024 * 1024,
            max_pending_age: Duration::from_secs(1),
            max_unwritten_bytes: 4 * 1024 * 1024,
            max_queued_events: 1024,
        }
    }
}
