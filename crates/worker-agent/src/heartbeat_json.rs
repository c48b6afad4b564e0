//! The JSON of heartbeats and of the responses to them.
//!
//! The forms are those of the servers' interface: fields of a heartbeat that are not known are skipped, lists of runs and
//! ends are rows of values in a fixed order, and numbers may come with fractions. What is 0 or empty is left out of a
//! response.

mod count;
mod parse;
mod parse_error;
mod render;
mod rows;
mod run_end;
mod task_name;

pub use parse::{parse, MAX_SERVER_ID_BYTES};
pub use parse_error::ParseHeartbeatError;
pub use render::render;
