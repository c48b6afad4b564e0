//! What tests of the scheduler model around it: servers that run tasks, jobs for them, and the oracle that knows what must
//! hold.
//!
//! Two simulations share it: the days of the scheduler alone (`crates/scheduler/tests/simulation`) and the whole control
//! plane (`crates/cluster-simulation`). Each has its own network, agents, owners and faults; here is only what they have in
//! common. Nothing here does I/O or reads a clock, and all randomness is drawn from the generator that the simulation hands
//! in: the same seed gives the same run.
//!
//! - [`ServerFarm`] owns the servers: [`ServerFarm::receive_response`] hands one the response to its heartbeat,
//!   [`ServerFarm::step`] moves all of them on in time.
//! - [`Oracle`] records what servers and clients observe, and reports each broken rule as a [`Violation`].
//! - [`generate_job`] draws jobs of several kinds.
//!
//! Moments are milliseconds since the simulation began, as plain numbers; names end in `_at`. Durations end in `_ms`.

mod expected_job;
mod gangs;
mod heartbeat_response;
mod model_server;
mod observed_start;
mod oracle;
mod server_farm;
mod server_run;
mod start_rules;
mod step_context;
mod task_history;
mod violation;
mod workload;

pub use expected_job::ExpectedJob;
pub use heartbeat_response::{HeartbeatResponse, StartCommand};
pub use model_server::{
    ModelServer, OutdatedResponses, ServerBehavior, ServerSettings, RESPONSE_TIMEOUT_MS,
};
pub use oracle::{DrainRule, GangRule, Oracle, OracleRules};
pub use server_farm::{Deregistration, FarmSettings, ServerFarm};
pub use step_context::{StepContext, TimeBounds};
pub use task_history::TaskHistory;
pub use violation::{Rule, Violation};
pub use workload::{generate_job, GeneratedJob, Speculation, MAX_RETRIES, QUEUES};
