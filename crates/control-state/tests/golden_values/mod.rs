//! The values whose encodings are kept.

mod bodies;
mod state;

pub(crate) use bodies::*;
pub(crate) use state::*;
