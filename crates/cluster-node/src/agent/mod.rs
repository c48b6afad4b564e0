//! The agent of one server: receives the server's heartbeats and has a session with the owner of the server's shard.

pub mod machine;
pub(crate) mod process;
pub mod view_source;
