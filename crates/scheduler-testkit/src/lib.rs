//! The environment of the scheduler in tests: modelled servers that run tasks, generated jobs, and an oracle that checks
//! the invariants.
//!
//! The simulation of the scheduler in `crates/scheduler/tests/simulation` uses it, and adds the network, the agents, the
//! owners and the faults. This crate does no I/O and reads no clock. All randomness comes from the generator that the
//! simulation passes in, so the same seed gives the same run.
//!
//! - [`ServerFarm`] owns the servers: [`ServerFarm::receive_response`] delivers the response to a server's heartbeat,
//!   [`ServerFarm::step`] advances all servers in time.
//! - [`Oracle`] records what servers and clients observe, and reports each broken rule as a [`Violation`].
//! - [`generate_job`] generates random jobs of several kinds.
//! - [`idle_jobs`] and [`IdleJobs`] find jobs that have nothing running beside free servers. They know neither the farm nor
//!   the oracle, so the simulation of the whole control plane uses them too.
//!
//! Times are plain numbers: milliseconds since the simulation began. Their names end in `_at`, those of durations in `_ms`.

mod expected_job;
mod gangs;
mod heartbeat_response;
mod idle_jobs;
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
pub use idle_jobs::{idle_jobs, IdleJob, IdleJobs, OpenJob, OpenServer, TaskStates, MAX_IDLE_MS};
pub use model_server::{
    ModelServer, OutdatedResponses, ServerBehavior, ServerSettings, RESPONSE_TIMEOUT_MS,
};
pub use oracle::{DrainRule, GangRule, Oracle, OracleRules};
pub use server_farm::{Deregistration, FarmSettings, ServerFarm};
pub use step_context::{StepContext, TimeBounds};
pub use task_history::TaskHistory;
pub use violation::{Rule, Violation};
pub use workload::{generate_job, restrict_job, GeneratedJob, Speculation, MAX_RETRIES, QUEUES};
