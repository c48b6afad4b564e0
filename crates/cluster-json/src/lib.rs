//! JSON of the cluster scheduler's client interface: jobs, their states, and the paths that name them.
//!
//! Start reading at [`parse_job`], which parses and validates a submitted job, and [`JobTarget`], which parses the path
//! of a request. Bodies are parsed directly into typed structs, without an intermediate tree of values. Missing fields
//! are 0, false or empty. Unknown fields are ignored, so that requests of newer clients are accepted. Wrong types and
//! repeated fields are errors.

mod job_body;
mod job_error;
mod job_limits;
mod job_reader;
mod job_target;
mod json_object;
mod quantity;
mod response;

pub use job_body::job_body;
pub use job_error::JobError;
pub use job_limits::JobLimits;
pub use job_reader::parse_job;
pub use job_target::JobTarget;
pub use quantity::Quantity;
pub use response::{
    job_state_body, parse_job_state, parse_pending, pending_body, MalformedResponse,
};
