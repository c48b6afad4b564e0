//! Inputs of the buffer.

use crate::accepted_write::{AcceptedWrite, WriteId};
use crate::attempt_outcome::AttemptOutcome;

/// A caller that waits for an acknowledgement, numbered by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// When a client wants its write acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcknowledgeAt {
    /// Once it is durable in the log.
    Buffered,
    /// Once a node has stored it.
    Flushed,
}

/// Whether the nodes that may have run a write have its object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// One of them has it.
    Present,
    /// None of them has it.
    Absent,
    /// Not known, for example because a node did not answer.
    Unknown,
}

/// An input of the buffer.
#[derive(Clone, Debug)]
pub enum Input {
    /// A write arrived. The buffer assigns its number.
    Write(Waiter, AcknowledgeAt, AcceptedWrite),
    /// Acknowledge the waiter once nodes have stored all pending writes of the volume.
    Flush(Waiter, u64),
    /// Later writes of the volume wait until all earlier ones are resolved.
    Barrier(u64),
    /// The requested sync succeeded.
    Synced,
    /// The log failed. Nothing more is written to it.
    LogFailed,
    /// The request engine is about to send a write.
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
    /// The request engine released a write: it was rejected or failed, and no attempt is in flight.
    Released(WriteId),
    /// Result of the lookup that was requested by [`Action::Locate`](crate::Action::Locate).
    Located(WriteId, Lookup),
    /// The time requested by [`Action::Wake`](crate::Action::Wake) has been reached.
    Timer,
}
