//! The open jobs of the service: which of their tasks may start, and how urgent they are.

pub(crate) mod board;
pub(crate) mod plan;
pub(crate) mod rank;
pub(crate) mod ready_step;
