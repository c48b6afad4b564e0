//! Placement: which server is to run which task, in the order of urgency.
//!
//! A pass over the [demands](demand::Demand) ([`pass::run`]) works on a [`planner::Planner`], which
//! holds the [candidates](candidate::Candidate): the servers that may be given work, with what is
//! left of them. Single tasks join the queue of a server and are released from there; gangs start at
//! once or not at all.

pub(crate) mod candidate;
pub(crate) mod candidates;
pub(crate) mod demand;
pub(crate) mod earliest_fit;
pub(crate) mod gang;
pub(crate) mod headroom;
pub(crate) mod pass;
pub(crate) mod planner;
pub(crate) mod release;
pub(crate) mod requeue;
pub(crate) mod reservation;
pub(crate) mod single;
