//! The durable state of a core process: the identity of its disk, its vote, the newest agreed view,
//! a snapshot of the control state and the log after it.
//!
//! The crate owns one [`redb`] file in the process's data directory, and nobody else may write to
//! it. A [`Batch`] of changes is applied completely or not at all, and is synced with one sync of
//! the file when [`ControlStore::commit`] returns. A [`Writer`] is a thread that owns a store and
//! commits all queued batches together (group commit). Votes, views and snapshots are opaque bytes
//! here: `view-agreement`, `chain` and `control-state` define them.
//!
//! # Durability
//!
//! * A page is never overwritten before the commit that replaces it is synced, and every page has a
//!   checksum. Opening after a crash takes the newest commit whose pages are intact.
//! * A new file is written under [`NEW_FILE`] and renamed to [`DATA_FILE`] after its first commit.
//!   So a file under the latter name contains a synced commit; if it cannot be read, that is an
//!   error and never an empty disk. Only a file of zero bytes counts as absent.
//! * When the file grows, its new length is synced before any page refers to it.
//! * After a failed sync, the operating system may treat pages as clean that never reached the
//!   disk (Rebello et al., "Can applications recover from fsync failures?", USENIX ATC 2020). So
//!   the store closes, and rewrites the file when it is opened again.
//!
//! # Why `redb`
//!
//! The coding rules of this project ask for `sled`, but its flush (0.34) does not sync its file.
//! `redb` is the closest alternative: an embedded, ordered, transactional store in Rust.
//!
//! # Where to start
//!
//! [`Batch`] is the input and [`Recovered`] the output of a store. `store.rs` has the life cycle of
//! a store, `schema.rs` the layout of the rows.

mod batch;
mod data_file;
mod directory;
mod disk_file;
mod error;
mod file_names;
mod growth_synced_file;
mod log_bounds;
mod panic_guard;
mod recovered;
mod row_reader;
mod row_writer;
mod schema;
mod settings;
pub mod simulated;
mod store;
mod writer;
mod writer_thread;

pub use batch::Batch;
pub use directory::{Directory, DiskDirectory};
pub use error::StoreError;
pub use file_names::{DATA_FILE, NEW_FILE};
pub use log_bounds::{InvalidBatch, LogBounds};
pub use recovered::Recovered;
pub use settings::StoreSettings;
pub use store::{ControlStore, FailedCommit};
pub use writer::{QueuedBatch, RetryBackoff, WriteOutcome, Writer, WriterStopped};
