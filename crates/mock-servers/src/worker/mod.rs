//! A stand-in for an application server that runs tasks: it tells an agent of itself in heartbeats and takes its orders
//! from the answers.
//!
//! [`machine::Worker`] is the server without its connection; [`beats::run`] lets it beat over HTTP. All workers of one
//! cluster share a [`floor::Floor`], on which the members of a gang meet, and which notes every start and end, so that
//! what must never happen can be counted afterwards.

pub mod beats;
pub mod floor;
pub mod machine;
pub mod messages;
pub mod work;
