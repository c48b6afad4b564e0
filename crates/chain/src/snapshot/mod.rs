//! Snapshots in transfer: split into chunks by the sender, reassembled by the receiver.
//!
//! The receiver answers each chunk with the number of chunks received without a gap. So the sender
//! has a bounded number of chunks in flight and continues from that number after a loss; a lost or
//! repeated chunk does not restart the transfer.

mod checksum;
mod incoming;
mod outgoing;
mod receiver;
mod shared;
mod transfer;

pub use checksum::checksum;
pub(crate) use incoming::{ReceiveOutcome, SnapshotChunk};
pub(crate) use receiver::SnapshotReceiver;
pub(crate) use shared::SharedSnapshot;
pub(crate) use transfer::SnapshotTransfer;
