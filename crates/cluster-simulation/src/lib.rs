//! The whole control plane in one seeded simulation without I/O.
//!
//! The state machines are the real ones: the core process whole ([`lupinrack_cluster_node::core::CoreMachine`]), the
//! clients of the head, the subscriptions and the agents. What is modelled is what surrounds them: connections, disks,
//! clocks, machines that stop and fail, servers that run tasks, clients, and the operator. [`play`] plays the day of a
//! seed and tells which rules were broken; the same seed gives the same day.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod calls;
mod checks;
mod clients;
mod clock;
mod configuration;
mod day;
mod disk;
mod faults;
mod front;
mod local;
mod machine;
mod network;
mod operator;
mod plan;
mod planted;
mod planting;
mod processes;
mod server;
mod settings;
mod side;
mod troubles;
mod work;
mod workload;
mod world;

pub use day::{play, play_plan, DayReport};
pub use plan::{
    Acknowledgement, Blow, CoreChoice, CoreTrouble, CutDirection, Entry, OperatorOrder, Plan,
    Strike, Trouble,
};
pub use planted::PlantedFault;
pub use server::Conduct;
pub use settings::{DayKind, DaySettings, Scene};
