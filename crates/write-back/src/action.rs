//! What the driver does for the buffer.

use crate::accepted_write::WriteId;
use crate::input::Waiter;
use crate::record::Record;
use lupinrack_policy::Micros;

/// What a waiter learns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The write is synced to the log.
    Buffered,
    /// A node has it; to a flush: all that was acknowledged before it.
    Flushed,
    /// Not accepted into the buffer: it is to be written through.
    WriteThrough,
}

/// What the driver does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write a record to the log.
    Append(Record),
    /// Sync the log; [`Input::Synced`](crate::Input::Synced) or [`Input::LogFailed`](crate::Input::LogFailed) answers.
    Sync,
    /// Answer a waiter.
    Acknowledge(Waiter, Acknowledgement),
    /// Open a write in the core. With a shard: only there, and only for so many microseconds.
    Open(WriteId, Option<(u32, Micros)>),
    /// The intent is synced: the attempt's bytes may leave.
    Send(WriteId, u16),
    /// The intent cannot be synced: the attempt is not sent.
    Abort(WriteId, u16),
    /// Ask these nodes whether they have a write's object; [`Input::Located`](crate::Input::Located) answers.
    Locate(WriteId, Vec<String>),
    /// Segments below this sequence number may be removed.
    Reclaim(u64),
    /// Bring [`Input::Timer`](crate::Input::Timer) at this time since boot.
    Wake(Micros),
    /// A write is in doubt: it may have run, and nobody knows. It is kept, and never sent blindly.
    InDoubt(WriteId),
}
