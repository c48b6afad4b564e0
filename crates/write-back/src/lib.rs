//! A crash-safe write-back buffer.
//!
//! A front can acknowledge a write once it is synced to a write-ahead log on the local disk, and send it to a storage node
//! later. This crate contains the decisions and the log. It opens no connections, and only [`Moment::now`] reads a clock.
//!
//! [`Buffer`] decides, without I/O, which writes are acknowledged, sent, retried and resolved, and which segments can be
//! removed. The driver passes it [`Input`]s and carries out the [`Action`]s that it returns. [`Log`] stores [`Record`]s in
//! segments on a [`Disk`], which is a real [`Folder`] or a simulated disk. [`WriteTable`] replays the records of a log into
//! the pending writes.
//!
//! `docs/design/write-back.md` gives the reasons and lists what is not implemented yet.

mod accepted_write;
mod action;
mod attempt_outcome;
mod buffer;
mod disk;
mod folder;
mod frame;
mod input;
mod limits;
mod log;
mod moment;
mod pending_write;
mod record;
mod write_table;

pub use accepted_write::{AcceptedWrite, WriteId};
pub use action::{Acknowledgement, Action};
pub use attempt_outcome::AttemptOutcome;
pub use buffer::Buffer;
pub use disk::{Disk, DiskError, SegmentId};
pub use folder::{Folder, FolderError};
pub use frame::{decode, encode, FrameError, HEADER_BYTES, MAX_BODY_BYTES};
pub use input::{AcknowledgeAt, Input, Lookup, Waiter};
pub use limits::Limits;
pub use log::{inspect, Log, OpenError, Recovered, WriteError};
pub use moment::Moment;
pub use pending_write::{AttemptState, PendingWrite, RetryStatus};
pub use record::Record;
pub use write_table::WriteTable;
