//! The size of a run, and which faults it has.

use crate::injected_bugs::InjectedBug;
use lupinrack_cluster_node::core::ByteLimits;
use std::ops::Range;

/// Which faults a run has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultProfile {
    /// No faults.
    Quiet,
    /// Short faults of all machines.
    #[default]
    Mixed,
    /// Scenarios in which machines are replaced, partitioned off with their callers, or lost again right after a repair.
    Severe,
    /// One scenario of the severe profile, repeatedly.
    Only(FaultScenario),
}

impl FaultProfile {
    /// Whether the profile consists of scenarios of the severe profile.
    pub fn is_severe(self) -> bool {
        matches!(self, FaultProfile::Severe | FaultProfile::Only(_))
    }
}

/// What the operator's changes do to the routes of the queues.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteChanges {
    /// Nothing: they add and remove other routes.
    #[default]
    None,
    /// They rename the routes, swap their names, and serve the queues' paths with shorter and longer prefixes.
    Names,
    /// They also direct the queues to other services, and remove services that no route names.
    NamesAndServices,
}

/// A sequence of faults of core machines, each of which loses the tolerated number of machines at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScenario {
    /// The core machines with the oldest disks are replaced by empty ones at other addresses, as fast as allowed.
    RepeatedReplacement,
    /// A new core machine starts, then the old one shuts down for good.
    GracefulReplacement,
    /// A machine is replaced. Once its successor has caught up, the oldest disk is lost right after an acknowledgement.
    ReplacementThenDiskLoss,
    /// A machine is replaced, and its successor loses its disk while it catches up.
    DiskLossDuringCatchUp,
    /// A disk is lost right after an acknowledgement, and another right after the repair.
    ConsecutiveDiskLosses,
    /// A core machine is partitioned off for 20 seconds with a front and agents, while callers keep calling both machines.
    PartitionWithCallers,
    /// All core machines are killed or lose power at once, also right after an acknowledgement.
    SimultaneousCrash,
    /// The tolerated number of machines is lost at once.
    SimultaneousLosses,
    /// A machine, its links or its disk are slow, or its disk hangs, is full or refuses writes.
    DegradedMachine,
    /// The core machines shut down and restart one after the other.
    RollingRestart,
}

impl FaultScenario {
    /// All of them.
    pub const ALL: [FaultScenario; 10] = [
        FaultScenario::RepeatedReplacement,
        FaultScenario::GracefulReplacement,
        FaultScenario::ReplacementThenDiskLoss,
        FaultScenario::DiskLossDuringCatchUp,
        FaultScenario::ConsecutiveDiskLosses,
        FaultScenario::PartitionWithCallers,
        FaultScenario::SimultaneousCrash,
        FaultScenario::SimultaneousLosses,
        FaultScenario::DegradedMachine,
        FaultScenario::RollingRestart,
    ];

    /// The name that selects the scenario on a command line.
    pub fn name(self) -> &'static str {
        match self {
            FaultScenario::RepeatedReplacement => "RepeatedReplacement",
            FaultScenario::GracefulReplacement => "GracefulReplacement",
            FaultScenario::ReplacementThenDiskLoss => "ReplacementThenDiskLoss",
            FaultScenario::DiskLossDuringCatchUp => "DiskLossDuringCatchUp",
            FaultScenario::ConsecutiveDiskLosses => "ConsecutiveDiskLosses",
            FaultScenario::PartitionWithCallers => "PartitionWithCallers",
            FaultScenario::SimultaneousCrash => "SimultaneousCrash",
            FaultScenario::SimultaneousLosses => "SimultaneousLosses",
            FaultScenario::DegradedMachine => "DegradedMachine",
            FaultScenario::RollingRestart => "RollingRestart",
        }
    }
}

/// The size of a run, and its faults.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of core machines; odd.
    pub cores: usize,
    /// Number of core machines that may be lost at once.
    pub tolerance: usize,
    /// Number of fronts, the machines that clients call.
    pub fronts: usize,
    /// Number of servers, each with an agent.
    pub servers: usize,
    /// Number of jobs.
    pub jobs: u64,
    /// When the traffic and the faults end, in milliseconds.
    pub traffic_ms: u64,
    /// Time after the traffic's end within which all jobs have to end, in milliseconds.
    pub finish_ms: u64,
    /// Time after the last fault from which on no job may have nothing running beside free servers, in milliseconds.
    pub settle_ms: u64,
    /// How long each sync takes on every disk, one after another, in milliseconds; short random times if none.
    pub sync_ms: Option<u64>,
    /// The profile of the faults.
    pub profile: FaultProfile,
    /// What the operator's changes do to the routes of the queues.
    pub route_changes: RouteChanges,
    /// A bug injected into the system itself.
    pub injected_bug: Option<InjectedBug>,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            cores: 3,
            tolerance: 1,
            fronts: 2,
            servers: 6,
            jobs: 40,
            traffic_ms: 40_000,
            finish_ms: 30_000,
            settle_ms: 8_000,
            sync_ms: None,
            profile: FaultProfile::Mixed,
            route_changes: RouteChanges::None,
            injected_bug: None,
        }
    }
}

/// Limits of the log under severe faults, small enough that snapshots are constantly written and sent.
const SMALL_LOG: ByteLimits = ByteLimits {
    uncommitted: 256 * 1024,
    snapshot_after: 32 * 1024,
    retained: 8 * 1024,
    catch_up: 64 * 1024,
    window: 64 * 1024,
};

impl SimulationConfig {
    /// The limits of the core processes' log.
    pub fn log_bytes(&self) -> ByteLimits {
        if self.profile.is_severe() {
            SMALL_LOG
        } else {
            ByteLimits::default()
        }
    }

    /// The fronts, by the numbers of their machines.
    pub fn fronts(&self) -> Range<usize> {
        self.cores..self.cores + self.fronts
    }

    /// The agents, by the numbers of their machines.
    pub fn agents(&self) -> Range<usize> {
        let first = self.fronts().end;
        first..first + self.servers
    }
}
