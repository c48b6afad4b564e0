//! Events that the driver passes to a core process.

use crate::control_api::{HeadCall, ProcessCall};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;

/// An input of the [`CoreMachine`](super::CoreMachine).
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all events are frames; a box would cost each an allocation"
)]
pub enum CoreEvent {
    /// A frame of another process.
    Frame {
        /// The process.
        from: PeerAddress,
        /// Its incarnation.
        incarnation: u64,
        /// The connection on which the frame came.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A connection has ended.
    Closed {
        /// The process at its other end.
        from: PeerAddress,
        /// The connection.
        connection: u64,
    },
    /// The batches of these numbers are synced.
    Synced(Vec<u64>),
    /// The disk failed to take a write, which is retried.
    WriteFailed,
    /// A write does not fit what is on the disk, and was dropped for good.
    WriteRejected,
    /// A call of an operator at this process, to be answered by the head.
    Call(HeadCall),
    /// A question of an operator to this process itself.
    Query(ProcessCall),
    /// The core processes of the table of live members, which may be wrong.
    LiveCoreProcesses(Vec<PeerAddress>),
    /// The settings name other seeds.
    SeedsReplaced(Vec<PeerAddress>),
    /// Time has passed.
    Tick,
    /// The process is to shut down gracefully.
    Terminate,
}
