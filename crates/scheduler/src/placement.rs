//! Which server is to run which task.

pub(crate) mod candidate;
pub(crate) mod gang;
pub(crate) mod headroom;
pub(crate) mod planner;
pub(crate) mod single;
