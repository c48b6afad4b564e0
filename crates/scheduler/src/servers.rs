//! The servers that the owner knows, and what their agents reported of them.

pub(crate) mod reported_ends;
pub(crate) mod server;
pub(crate) mod session;
pub(crate) mod table;
