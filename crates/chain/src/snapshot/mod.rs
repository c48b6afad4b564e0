//! Snapshots in transfer: cut into chunks by the sender, put together by the receiver.
//!
//! Each chunk is answered by how many chunks have come without a gap. So the sender has a bounded
//! number in flight and continues from there after a loss, and neither a lost nor a repeated chunk
//! costs the whole transfer.

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
