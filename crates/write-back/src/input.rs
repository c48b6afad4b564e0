//! What the driver brings to the buffer.

use crate::accepted_write::{AcceptedWrite, WriteId};
use crate::attempt_outcome::AttemptOutcome;

/// Whoever waits for an acknowledgement, as the driver numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// When a client wants its write acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcknowledgeAt {
    /// Once the log has it.
    Buffered,
    /// Once a node has it.
    Flushed,
}

/// What the nodes that may have run a write said of its object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// One of them has it.
    Present,
    /// None of them has it.
    Absent,
    /// That cannot be known.
    Unknown,
}

/// What the driver brings.
#[derive(Clone, Debug)]
pub enum Input {
    /// A write comes in; its number is given by the buffer.
    Write(Waiter, AcknowledgeAt, AcceptedWrite),
    /// All that was acknowledged of a volume is to be on nodes.
    Flush(Waiter, u64),
    /// What comes after waits for all of the volume's writes before.
    Barrier(u64),
    /// The sync that was requested went well.
    Synced,
    /// The log failed: nothing more will be written to it.
    LogFailed,
    /// The core is about to send a write.
    Intent {
        /// The write.
        write: WriteId,
        /// The attempt's number.
        attempt: u16,
        /// The node's name.
        node: String,
        /// Its shard.
        shard: u32,
    },
    /// An attempt ended.
    AttemptEnded(WriteId, u16, AttemptOutcome),
    /// The core released a write: rejected or failed, with no attempt in flight.
    Released(WriteId),
    /// The nodes that may have run a write answered [`Action::Locate`](crate::Action::Locate).
    Located(WriteId, Lookup),
    /// The requested time has come.
    Timer,
}
