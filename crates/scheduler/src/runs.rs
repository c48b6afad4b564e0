//! The runs of a service. A run exists from the proposal of a start until its end is recorded.

pub(crate) mod profile;
pub(crate) mod run;
pub(crate) mod table;
