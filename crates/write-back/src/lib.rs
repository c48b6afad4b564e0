//! A write-back buffer that survives a crash.
//!
//! A front that accepts a write may acknowledge it once the write is synced to a log on its disk, and send it to a storage
//! node afterwards. This crate holds the decisions and the log; it opens no connection and reads no clock but in
//! [`Moment::now`].
//!
//! Where to start reading: [`Buffer`] decides, without I/O, what may be acknowledged, sent, sent again, given up and freed.
//! Its driver carries out the [`Action`]s that it returns and brings [`Input`]s. [`Log`] keeps [`Record`]s in segments on a
//! [`Disk`], which is a real [`Folder`] or a simulated one; [`WriteTable`] says what the records of a log mean.
//!
//! `docs/design/write-back.md` has the reasons, and what is still to come.

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
