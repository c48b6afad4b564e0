//! The servers that the owner knows, with the reports of their agents.

pub(crate) mod reported_ends;
pub(crate) mod server;
pub(crate) mod session;
pub(crate) mod table;
