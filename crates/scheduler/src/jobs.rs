//! The open jobs.

pub(crate) mod plan;
