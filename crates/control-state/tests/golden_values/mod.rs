//! The values whose encodings are kept.

mod bodies;
mod state;

pub use bodies::*;
pub use state::*;
