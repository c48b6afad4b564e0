//! The whole control plane in one seeded simulation without I/O.
//!
//! The state machines are the real ones: the core process whole ([`lupinrack_cluster_node::core::CoreMachine`]), the
//! clients of the head, the subscriptions and the agents. What is modelled is what surrounds them: connections, disks,
//! clocks, machines that stop and fail, servers that run tasks, clients, and the operator. [`simulate`] plays the day of a
//! seed and tells which rules were broken; the same seed gives the same day.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod agent_link;
mod client;
mod config;
mod configuration_body;
mod faults;
mod injected_bugs;
mod machine;
mod network;
mod operator;
mod oracle;
mod pending_call;
mod processes;
mod server;
mod simulation;
mod work;
mod workload;
mod world;

pub use config::{FaultProfile, FaultScenario, SimulationConfig};
pub use faults::schedule::{
    Acknowledgement, CoreFault, CoreSelector, Crash, CrashOnAck, Fault, FaultSchedule,
    OperatorAction, PartitionDirection, ScheduledFault,
};
pub use injected_bugs::InjectedBug;
pub use server::ServerBehavior;
pub use simulation::{simulate, simulate_schedule, SimulationReport};
