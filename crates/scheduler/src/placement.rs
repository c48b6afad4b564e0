//! Placement: assigns tasks to servers, most urgent tasks first.
//!
//! A placement pass ([`pass::run`]) goes over the [demands](demand::Demand) and keeps its state in
//! a [`planner::Planner`]. The planner has the [candidates](candidate::Candidate): the servers that
//! accept new work, with their remaining capacity. A single task joins the queue of a server and is
//! released from there. A gang starts all its tasks at once or none of them.

pub(crate) mod candidate;
pub(crate) mod candidates;
pub(crate) mod demand;
pub(crate) mod earliest_fit;
pub(crate) mod exclusion;
pub(crate) mod gang;
pub(crate) mod headroom;
pub(crate) mod kept_capacity;
pub(crate) mod pass;
pub(crate) mod planner;
pub(crate) mod queued_totals;
pub(crate) mod release;
pub(crate) mod requeue;
pub(crate) mod reservation;
pub(crate) mod retry_limit;
pub(crate) mod single;
pub(crate) mod usage;
