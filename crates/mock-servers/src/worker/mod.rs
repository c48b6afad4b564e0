//! A mock application server that runs tasks. It reports its state to an agent in heartbeats and takes its orders from the
//! answers.
//!
//! [`state_machine::Worker`] is the server without its connection; [`heartbeats::run`] sends its heartbeats over HTTP. All
//! workers of a cluster share [`cluster_events::ClusterEvents`], through which the members of a gang find each other. It
//! records every start and end of a run, so that a test can count violated guarantees afterwards.

pub mod cluster_events;
pub mod failure_rate;
pub mod heartbeats;
pub mod messages;
pub mod state_machine;
pub mod work;
