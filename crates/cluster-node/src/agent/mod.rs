//! The agent beside one server: takes the server's heartbeats and talks to the owner of the server's shard.

pub mod machine;
pub(crate) mod process;
pub mod view_source;
