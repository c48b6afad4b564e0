//! The JSON of heartbeats and of the responses to them.
//!
//! The formats are those of the servers' interface: unknown fields of a heartbeat are skipped, lists of runs and ends are
//! rows of values in a fixed order, and numbers may have fractions. A response omits fields that are 0 or empty.

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
