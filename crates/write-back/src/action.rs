//! Actions of the buffer, carried out by the driver.

use crate::accepted_write::WriteId;
use crate::input::Waiter;
use crate::record::Record;
use lupinrack_policy::Micros;

/// The answer to a waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The write is synced to the log.
    Buffered,
    /// A node has stored the write. For a flush: nodes have stored all writes that it covers.
    Flushed,
    /// Not accepted into the buffer: the front has to write it through to a node.
    WriteThrough,
}

/// An action for the driver. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the log.
    Append(Record),
    /// Sync the log; [`Input::Synced`](crate::Input::Synced) or [`Input::LogFailed`](crate::Input::LogFailed) answers.
    Sync,
    /// Answer a waiter.
    Acknowledge(Waiter, Acknowledgement),
    /// Open a write in the request engine. With a shard: only on that shard, and only for the given microseconds.
    Open(WriteId, Option<(u32, Micros)>),
    /// Send the attempt: its intent is durable.
    Send(WriteId, u16),
    /// Do not send the attempt: its intent cannot be synced, or the write may no longer be sent.
    Abort(WriteId, u16),
    /// Ask these nodes whether they have a write's object; [`Input::Located`](crate::Input::Located) answers.
    Locate(WriteId, Vec<String>),
    /// Remove the segments that have no record from this sequence number on.
    Reclaim(u64),
    /// Pass [`Input::Timer`](crate::Input::Timer) at this time since boot.
    Wake(Micros),
    /// A write is in doubt: whether it ran is not known. It stays in the log and is not sent again.
    InDoubt(WriteId),
}
