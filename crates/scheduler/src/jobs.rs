//! The open jobs of the service: which of their tasks are ready to start, and how urgent they are.

pub(crate) mod idle_times;
pub(crate) mod open_jobs;
pub(crate) mod plan;
pub(crate) mod rank;
pub(crate) mod ready_listing;
pub(crate) mod ready_step;
