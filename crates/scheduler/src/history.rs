//! What was learned from runs that ended.

pub(crate) mod durations;
pub(crate) mod faults;
