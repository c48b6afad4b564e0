//! Scheduling of the tasks of one service on its servers.
//!
//! [`Scheduler`] makes the decisions of the owner of a service's shard. It is a state machine without
//! I/O, clock or randomness. Its driver is the core process of `lupinrack-cluster-node`. The driver
//! passes it the messages from the servers' agents ([`Scheduler::receive`]) and each operation that
//! the local replica has applied ([`Scheduler::applied`]). The driver also requests a [`Round`]
//! repeatedly ([`Scheduler::round`]), and sends the operations and messages of that round. To read
//! the code, start at [`Scheduler::round`].
//!
//! # The life cycle of a task
//!
//! 1. A ready task is *placed*: it joins the queue of a server ([`lupinrack_dispatch`]). The server is
//!    chosen by urgency, capacity, labels, distance to the task's data, and the learned speed and
//!    faults of servers.
//! 2. The task is *released* from the queue when it fits next to all runs on the server, including
//!    those that are being stopped. Tasks are released in the order of their start tags.
//! 3. Its start is *proposed*: the operation that records the start is submitted. From now on the run
//!    uses capacity.
//! 4. When the start is *recorded*, the server's agent is ordered to start the run.
//! 5. The end of the run is recorded. Only after that is it acknowledged to the server.
//!
//! A gang is not queued: it starts on all its servers at once or not at all.
//!
//! # Ownership of state
//!
//! | state | owner |
//! | --- | --- |
//! | servers, sessions with their agents, leases, reported ends | `servers::table::ServerTable` |
//! | runs, pending operations, inferred ends | `run_tracker::RunTracker`, which shares its `runs::table::RunTable` |
//! | open jobs: their ready steps and urgency | `jobs::open_jobs::OpenJobs` |
//! | tasks in the queues of servers | `queues::task_queues::TaskQueues` |
//! | durations, faults and speeds, learned from runs | `history::History` |
//! | recent resource usage of urgent work | `placement::headroom::UrgentUsage` |
//!
//! Each of these types maintains its own invariants and is modified only through its methods. Modules
//! that work on several of them borrow them for one round: `heartbeats` applies the reports of
//! servers, `placement` decides on starts, `eviction` decides on stops, and `orders` writes the
//! messages.

mod adoption;
mod agent_order;
mod estimator;
mod eviction;
mod heartbeats;
mod history;
mod incarnations;
mod inferred_end;
mod jobs;
mod orders;
mod overview;
mod placement;
mod policy;
mod queues;
mod recorded;
mod resources;
mod round;
mod run_id;
mod run_tracker;
mod runs;
mod scheduler;
mod servers;
mod settings;
mod submissions;
mod summarize;
mod summary;
mod wait_log;
mod wait_report;

pub use agent_order::AgentOrder;
pub use inferred_end::{InferredEnd, InferredEndReason};
pub use policy::SchedulingPolicy;
pub use round::Round;
pub use scheduler::Scheduler;
pub use settings::SchedulerSettings;
pub use summary::{ServerSummary, ServiceSummary, WaitingSummary};
pub use wait_report::{ExcludedServers, Exclusion, UnlistedStarts, WaitReport, WaitingStep};
