//! What happens on internal connections.

use lupinrack_cluster_api::frame::{Frame, Role};
use lupinrack_cluster_api::identity::PeerAddress;

/// An event on an internal connection.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all events are frames; a box would cost each an allocation"
)]
pub enum PeerEvent {
    /// A frame has arrived. The first one of each connection is the peer's [`Frame::Hello`].
    Frame {
        /// Where the peer listens.
        from: PeerAddress,
        /// The kind of machine that the peer runs on.
        role: Role,
        /// The incarnation of the peer's process.
        incarnation: u64,
        /// The number of the connection, for [`Peers::send_on`](super::Peers::send_on).
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A connection has ended; nothing more arrives on it. Frames that were sent on it may be lost.
    Closed {
        /// Where the peer listens.
        from: PeerAddress,
        /// The number of the connection.
        connection: u64,
        /// Whether it failed, rather than being closed by either side.
        reset: bool,
    },
}
