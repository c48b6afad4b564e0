//! The types that all parts of the cluster scheduler share.
//!
//! The crate owns the vocabulary: identities, the operations of the replicated control state, the
//! messages of the internal protocol, and the closed list of error kinds. Everything here is plain
//! data without I/O or state of its own. The `borsh` forms are what processes of different builds
//! exchange and what disks hold, so the order of fields and variants must not change; the files
//! under `tests/golden` show them. The only computation is [`rendezvous`], on whose results all
//! processes must agree.
//!
//! Start reading at [`identity`], then [`operation`] for what is replicated, [`request`] for the
//! calls of clients, and [`frame`] for everything that one process sends another.

pub mod agent;
pub mod agreement;
pub mod chain;
pub mod configuration;
pub mod core_heartbeat;
pub mod error;
pub mod frame;
pub mod identity;
pub mod job;
pub mod operation;
pub mod rendezvous;
pub mod request;
pub mod server;
pub mod time;
pub mod view;
