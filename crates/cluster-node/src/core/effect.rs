//! Effects that the driver of a core process carries out.

use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_control_store::Batch;

/// An output of the [`CoreMachine`](super::CoreMachine).
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all effects are frames; a box would cost each an allocation"
)]
pub enum CoreEffect {
    /// Sends a frame to a process, on its newest connection or a new one.
    Send {
        /// The receiver.
        to: PeerAddress,
        /// The frame.
        frame: Frame,
    },
    /// Sends a frame on this connection, if it is still open. No other connection is used.
    SendOn {
        /// The connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// Writes a batch to the disk; [`CoreEvent::Synced`](super::CoreEvent::Synced) acknowledges it.
    Write {
        /// The number of the batch.
        number: u64,
        /// The batch.
        batch: Batch,
    },
}
