//! The number of processes of a cluster, and the settings that depend on the deployment.

use crate::member::Role;

/// The shape of a cluster on loopback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterShape {
    /// Number of core processes.
    pub cores: u16,
    /// Number of fronts.
    pub fronts: u16,
    /// Number of agents, each with a worker.
    pub agents: u16,
    /// How many core processes may be lost at once.
    pub tolerated_losses: u16,
    /// Interval between two heartbeats of a worker, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// The longest lease that a worker is granted, in milliseconds.
    pub max_lease_ms: u64,
    /// Time within which a worker stops a run after a stop command, in milliseconds.
    pub run_stop_ms: u64,
    /// How long a member of a gang waits for the others, in milliseconds.
    pub gang_wait_ms: u64,
}

impl Default for ClusterShape {
    fn default() -> ClusterShape {
        ClusterShape {
            cores: 3,
            fronts: 2,
            agents: 4,
            tolerated_losses: 1,
            heartbeat_interval_ms: 1_000,
            max_lease_ms: 5_000,
            run_stop_ms: 300,
            gang_wait_ms: 3_000,
        }
    }
}

impl ClusterShape {
    /// Number of processes of a role.
    pub fn count(&self, role: Role) -> u16 {
        match role {
            Role::Core => self.cores,
            Role::Front => self.fronts,
            Role::Agent => self.agents,
        }
    }
}
