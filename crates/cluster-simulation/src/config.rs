//! The size of a run, and which faults it has.

use crate::injected_bugs::InjectedBug;
use lupinrack_cluster_node::core::ByteLimits;
use std::ops::Range;

/// Which faults a run has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultProfile {
    /// Nothing but traffic.
    Quiet,
    /// Short faults of all machines.
    #[default]
    Mixed,
    /// Scenarios in which machines are replaced, partitioned off with their callers, or lost again right after a repair.
    Severe,
    /// One scenario of the severe profile, again and again.
    Only(FaultScenario),
}

impl FaultProfile {
    /// Whether it consists of scenarios of the severe profile.
    pub fn is_worst(self) -> bool {
        matches!(self, FaultProfile::Severe | FaultProfile::Only(_))
    }
}

/// A sequence of faults of core machines. Each loses as many machines at once as is tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScenario {
    /// The oldest core machines are replaced by empty ones at other addresses, as fast as is allowed.
    RepeatedReplacement,
    /// A new core machine starts first, then the old one is asked to shut down for good.
    GracefulReplacement,
    /// A machine is replaced; as soon as its successor counts, the oldest disk is lost right after an acknowledgement.
    ReplacementThenDiskLoss,
    /// A machine is replaced, and its successor loses its disk while it catches up.
    DiskLossDuringCatchUp,
    /// A disk is lost right after an acknowledgement, and another right after the repair.
    ConsecutiveDiskLosses,
    /// A core machine is partitioned off for 20 seconds with a front and agents, and its callers go on.
    PartitionWithCallers,
    /// All core machines are killed or lose power at one moment, also right after an acknowledgement.
    SimultaneousCrash,
    /// As many machines as is tolerated are lost at the same moment.
    SimultaneousLosses,
    /// A machine, its links or its disk are slow, or its disk hangs, is full or refuses writes.
    DegradedMachine,
    /// Each core machine is asked to shut down and comes back, one after the other.
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

    /// Its name, by which it is chosen on a command line.
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
    /// Core machines, an odd number.
    pub cores: usize,
    /// How many of them may be lost at once.
    pub tolerance: usize,
    /// Machines that clients reach.
    pub fronts: usize,
    /// Servers, each beside an agent.
    pub servers: usize,
    /// Jobs.
    pub jobs: u64,
    /// When the traffic and the faults end, in milliseconds.
    pub traffic_ms: u64,
    /// How long after that everything has to be done, in milliseconds.
    pub finish_ms: u64,
    /// Which faults there are.
    pub profile: FaultProfile,
    /// A fault of the system itself.
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
            profile: FaultProfile::Mixed,
            injected_bug: None,
        }
    }
}

/// Bounds of the log under severe faults, so small that snapshots are written and sent all the time.
const SMALL_LOG: ByteLimits = ByteLimits {
    uncommitted: 256 * 1024,
    snapshot_after: 32 * 1024,
    retained: 8 * 1024,
    catch_up: 64 * 1024,
    window: 64 * 1024,
};

impl SimulationConfig {
    /// The bounds of the log of core processes.
    pub fn log_bytes(&self) -> ByteLimits {
        if self.profile.is_worst() {
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
