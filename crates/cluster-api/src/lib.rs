//! Types that all parts of the cluster scheduler share.
//!
//! Everything here is plain data: identities, the operations of the replicated control state, the messages of the
//! internal protocol (encoded with `borsh`), and the closed list of error kinds. No module here does any work.

pub mod agent;
pub mod configuration;
pub mod error;
pub mod identity;
pub mod job;
pub mod operation;
pub mod rendezvous;
pub mod request;
pub mod server;
pub mod time;
pub mod view;
pub mod wire;
