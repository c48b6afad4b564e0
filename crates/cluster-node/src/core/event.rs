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
    /// A frame from another process was received.
    Frame {
        /// The sender.
        from: PeerAddress,
        /// Its incarnation.
        incarnation: u64,
        /// The connection on which the frame was received.
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
    /// A write to the disk failed. The driver retries it.
    WriteFailed,
    /// A write does not fit the log on the disk and was dropped. It is not retried.
    WriteRejected,
    /// An operator's call at this process, which the head answers.
    Call(HeadCall),
    /// An operator's query to this process itself.
    Query(ProcessCall),
    /// The core processes in the table of live members. The table is a hint and may be wrong.
    LiveCoreProcesses(Vec<PeerAddress>),
    /// The seeds in the settings changed.
    SeedsReplaced(Vec<PeerAddress>),
    /// Time has passed.
    Tick,
    /// The process received a signal to shut down gracefully.
    Terminate,
}
