//! The runs.

pub(crate) mod table;
