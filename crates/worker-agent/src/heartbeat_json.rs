//! The JSON of heartbeats and of their answers.

mod fields;
mod parse;
mod render;

pub use parse::{parse, ParseHeartbeatError, ServerHeartbeat, UnknownRun};
pub use render::render;
