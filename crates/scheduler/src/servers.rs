//! The servers that are known.

pub(crate) mod reported_ends;
pub(crate) mod table;
