//! The complete control plane in a deterministic, seeded simulation without I/O.
//!
//! The state machines are those of the program: core processes ([`lupinrack_cluster_node::core::CoreMachine`]), fronts and
//! agents. Their surroundings are simulated: connections, disks, clocks, crashing machines, servers that run tasks, clients,
//! and the operator. [`simulate`] runs a seed and reports which rules were violated; the same seed gives the same run.
//!
//! - **Workload**: clients submit, read and cancel jobs (`client`, `workload`); the operator changes and reads the
//!   configuration (`operator`).
//! - **Fault injection**: a [`FaultSchedule`] is drawn from the seed by the [`FaultProfile`], or composed by hand
//!   ([`simulate_schedule`]); `faults` injects each [`Fault`] and ends it.
//! - **Network, disks, clocks**: `network` and `machine`. Time advances by one millisecond a step.
//! - **Oracle**: `oracle` checks what servers and clients observe; `lupinrack_configuration_history` checks the operator's
//!   calls for linearizability. An [`InjectedBug`] shows that the oracle finds what it is there for.
//!
//! The crate owns the simulated world and nothing of the program. Start reading in `simulation.rs`, then `world.rs` and
//! `processes.rs`.

mod agent_link;
mod call_routing;
mod client;
mod config;
mod configuration_body;
mod faults;
mod fenced_senders;
mod gangs;
mod idle_check;
mod injected_bugs;
mod machine;
mod network;
mod operator;
mod oracle;
mod owner_check;
mod pending_call;
mod process_start;
mod processes;
mod route_layout;
mod server;
mod simulation;
mod work;
mod workload;
mod world;

pub use config::{FaultProfile, FaultScenario, RouteChanges, SimulationConfig};
pub use faults::schedule::{
    Acknowledgement, CoreFault, CoreSelector, Crash, CrashOnAck, Fault, FaultSchedule,
    OperatorAction, PartitionDirection, ScheduledFault,
};
pub use injected_bugs::InjectedBug;
pub use server::ServerBehavior;
pub use simulation::{simulate, simulate_schedule, SimulationReport};
