//! JSON forms of the cluster scheduler's outside interfaces: jobs and their states.
//!
//! Bodies are parsed straight into typed structs, without a tree of values in between. Absent fields are 0, false or
//! empty; fields that are not known are ignored; wrong types and repeated fields are faults.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod answer;
mod fault;
mod form;
mod job;
mod limits;
mod object;
mod path;

pub use answer::{job_state_body, parse_job_state, parse_pending, pending_body, UnknownAnswer};
pub use fault::{Figure, JobFault};
pub use job::{job_body, parse_job};
pub use limits::JobLimits;
pub use path::JobTarget;
