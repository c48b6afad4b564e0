//! Bounds and times of internal connections.

use std::time::Duration;

/// Bounds and times of [`Peers`](super::Peers).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// The shortest wait after a connection that could not be opened.
    pub retry_least: Duration,
    /// The longest such wait; it grows from one failure to the next and is drawn at random below that.
    pub retry_most: Duration,
    /// How long an accepted connection may take to say who opened it.
    pub hello_timeout: Duration,
    /// How long the kernel waits for the other side to acknowledge bytes before it gives a connection up.
    pub user_timeout: Duration,
    /// How many frames wait for a connection to a peer; the oldest is dropped for a new one.
    pub waiting_frames_most: usize,
    /// How many bytes wait for a connection to a peer.
    pub waiting_bytes_most: usize,
    /// How long a frame waits for a connection before it is dropped.
    pub waiting_age_most: Duration,
    /// With so many bytes not yet written, a further frame closes the connection. A single frame may be larger, so
    /// whoever sends much at once does it in frames that are small beside this.
    pub outgoing_bytes_most: usize,
    /// How many events wait for their receiver before connections are no longer read.
    pub events_most: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            connect_timeout: Duration::from_millis(800),
            retry_least: Duration::from_millis(100),
            retry_most: Duration::from_millis(500),
            hello_timeout: Duration::from_secs(2),
            user_timeout: Duration::from_millis(1500),
            waiting_frames_most: 256,
            waiting_bytes_most: 2 * 1024 * 1024,
            waiting_age_most: Duration::from_secs(1),
            outgoing_bytes_most: 4 * 1024 * 1024,
            events_most: 1024,
        }
    }
}
