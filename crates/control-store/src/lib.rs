//! What a core process keeps on its disk: the identity of the disk, its vote, the newest view, a snapshot of the control
//! state and the log after it.
//!
//! Everything is in one [`redb`] file. A [`Batch`] is applied whole or not at all and is synced when
//! [`ControlStore::commit`] returns, with one sync of the file. A [`Writer`] is a thread that owns a store and writes all
//! batches that wait by one sync.
//!
//! # Loss of power
//!
//! * Pages are never overwritten before the commit that replaces them is synced, and every page has a checksum; on opening
//!   after a crash the newest commit whose pages are whole is taken.
//! * A new file is written under [`NEW_FILE`] and renamed to [`DATA_FILE`] after its first commit. So a file under the
//!   latter name has a synced commit; if it cannot be read, that is an error and never an empty disk. Only a file of no
//!   bytes counts as none.
//! * When the file grows, its new length is synced before any page refers to it.
//!
//! # Why `redb`
//!
//! The house style asks for `sled`, whose flush (0.34) does not sync its file. `redb` is its nearest kin: an embedded,
//! ordered, transactional store in Rust.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod batch;
mod directory;
mod error;
mod growth_synced_file;
mod row_writer;
pub mod simulated;
mod store;
mod writer;

pub use batch::{Batch, LogBounds, Misfit};
pub use directory::{Folder, Medium};
pub use error::StoreError;
pub use store::{ControlStore, Recovered, StoreSettings, DATA_FILE, NEW_FILE};
pub use writer::{RetryPauses, WriteOutcome, Writer, WriterHandle};
