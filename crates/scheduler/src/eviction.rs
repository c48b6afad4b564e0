//! Runs that are stopped to be continued elsewhere or later.

pub(crate) mod draining;
pub(crate) mod preemption;
pub(crate) mod stalled;
pub(crate) mod unclaimed;
