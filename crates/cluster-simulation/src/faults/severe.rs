//! The severe profile: scenarios, one after the other, each of which loses as many core machines as is tolerated.

use super::schedule::{
    Acknowledgement, CoreFault, CoreSelector, Crash, CrashOnAck, Fault, OperatorAction,
    PartitionDirection, ScheduledFault, CATCH_UP_MS, GRACE_MS,
};
use crate::config::{FaultScenario, SimulationConfig};

/// Duration of a partition during which callers keep calling the partitioned machines, in milliseconds.
const PARTITION_MS: u64 = 20_000;
/// Time for which a crash waits for its acknowledgement, in milliseconds.
const CRASH_ARMED_MS: u64 = 2_000;
/// Longest time until a machine that lost power restarts, in milliseconds.
const MAX_RESTART_DELAY_MS: u64 = 1_800;

/// Faults that count as the loss of a machine.
const LOSSES: [CoreFault; 6] = [
    CoreFault::Kill,
    CoreFault::PowerLoss,
    CoreFault::DiskLoss,
    CoreFault::Suspend,
    CoreFault::Isolation,
    CoreFault::Replacement,
];
/// Faults with which a machine keeps running, slowly or intermittently.
const DEGRADATIONS: [CoreFault; 6] = [
    CoreFault::IntermittentRun,
    CoreFault::SlowLinks,
    CoreFault::SlowDisk,
    CoreFault::StalledDisk,
    CoreFault::FullDisk,
    CoreFault::FailingDisk,
];

/// A schedule that is being composed.
struct Draft<'a> {
    rng: &'a mut fastrand::Rng,
    config: &'a SimulationConfig,
    entries: Vec<ScheduledFault>,
    /// When the next scenario begins, in milliseconds.
    at: u64,
}

/// Draws the faults of a run: the given scenario repeatedly, or random ones.
pub(super) fn draw(
    rng: &mut fastrand::Rng,
    config: &SimulationConfig,
    scenario: Option<FaultScenario>,
) -> Vec<ScheduledFault> {
    let mut draft = Draft {
        rng,
        config,
        entries: Vec::new(),
        at: 0,
    };
    draft.at = 3_000 + draft.rng.u64(0..3_000);
    while draft.at + 5_000 < config.traffic_ms {
        let scenario =
            scenario.unwrap_or(FaultScenario::ALL[draft.rng.usize(0..FaultScenario::ALL.len())]);
        draft.scenario(scenario);
        draft.at += draft.rng.u64(0..3_000);
    }
    draft.others();
    draft.operator_actions();
    draft.entries
}

impl Draft<'_> {
    fn scenario(&mut self, scenario: FaultScenario) {
        match scenario {
            FaultScenario::RepeatedReplacement => self.repeated_replacement(),
            FaultScenario::GracefulReplacement => self.graceful_replacement(),
            FaultScenario::ReplacementThenDiskLoss => self.replacement_then_disk_loss(),
            FaultScenario::DiskLossDuringCatchUp => self.disk_loss_during_catch_up(),
            FaultScenario::ConsecutiveDiskLosses => self.consecutive_disk_losses(),
            FaultScenario::PartitionWithCallers => self.partition_with_callers(),
            FaultScenario::SimultaneousCrash => self.simultaneous_crash(),
            FaultScenario::SimultaneousLosses => self.simultaneous_losses(),
            FaultScenario::DegradedMachine => self.degraded_machine(),
            FaultScenario::RollingRestart => self.rolling_restart(),
        }
    }

    fn push(&mut self, at: u64, duration_ms: u64, fault: Fault) {
        self.entries.push(ScheduledFault {
            at,
            duration_ms,
            fault,
        });
    }

    fn core(&mut self, duration_ms: u64, fault: CoreFault, selector: CoreSelector) {
        self.push(self.at, duration_ms, Fault::Core(fault, selector));
    }

    fn random_selector(&mut self) -> CoreSelector {
        match self.rng.u32(0..4) {
            0 => CoreSelector::Head,
            1 => CoreSelector::OldestDisk,
            _ => CoreSelector::Index(self.rng.usize(0..self.config.cores)),
        }
    }

    fn crash_on_ack(&mut self, crash: Crash) {
        let after = if self.rng.bool() {
            Acknowledgement::Job
        } else {
            Acknowledgement::Configuration
        };
        self.push(
            self.at,
            CRASH_ARMED_MS,
            Fault::CrashOnAck(CrashOnAck { after, crash }),
        );
        self.at += CRASH_ARMED_MS + MAX_RESTART_DELAY_MS + CATCH_UP_MS;
    }

    /// Replaces the machines with the oldest disks by empty ones at other addresses, as fast as allowed.
    fn repeated_replacement(&mut self) {
        for _ in 0..self.rng.u32(1..5) {
            let empty_after = self.rng.u64(200..2_000);
            self.core(
                empty_after,
                CoreFault::Replacement,
                CoreSelector::OldestDisk,
            );
            self.at += empty_after + CATCH_UP_MS + self.rng.u64(0..1_500);
        }
    }

    fn graceful_replacement(&mut self) {
        let selector = self.random_selector();
        let overlap_ms = CATCH_UP_MS + self.rng.u64(0..2_000);
        self.core(overlap_ms, CoreFault::GracefulReplacement, selector);
        self.at += overlap_ms + GRACE_MS + CATCH_UP_MS;
    }

    fn replacement_then_disk_loss(&mut self) {
        let empty_after = self.rng.u64(200..1_500);
        self.core(
            empty_after,
            CoreFault::Replacement,
            CoreSelector::OldestDisk,
        );
        self.at += empty_after + CATCH_UP_MS;
        self.crash_on_ack(Crash::DiskLoss(CoreSelector::OldestDisk));
    }

    fn disk_loss_during_catch_up(&mut self) {
        let empty_after = self.rng.u64(200..1_500);
        self.core(
            empty_after,
            CoreFault::Replacement,
            CoreSelector::OldestDisk,
        );
        self.at += empty_after + self.rng.u64(0..CATCH_UP_MS);
        self.core(500, CoreFault::DiskLoss, CoreSelector::NewestDisk);
        self.at += 500 + CATCH_UP_MS;
    }

    fn partition_with_callers(&mut self) {
        let direction = [
            PartitionDirection::Both,
            PartitionDirection::Inbound,
            PartitionDirection::Outbound,
        ][self.rng.usize(0..3)];
        let selector = self.random_selector();
        self.core(
            PARTITION_MS,
            CoreFault::PartitionWithCallers(direction),
            selector,
        );
        self.at += PARTITION_MS + CATCH_UP_MS;
    }

    fn consecutive_disk_losses(&mut self) {
        let first = self.random_selector();
        self.crash_on_ack(Crash::DiskLoss(first));
        self.crash_on_ack(Crash::DiskLoss(CoreSelector::OldestDisk));
    }

    fn simultaneous_crash(&mut self) {
        let selector = self.random_selector();
        match self.rng.u32(0..4) {
            0 => self.crash_on_ack(Crash::PowerLossOfAll),
            1 => self.crash_on_ack(Crash::DiskLossAndPowerLossOfAll(selector)),
            2 => self.crash_all(Fault::KillAll),
            _ => self.crash_all(Fault::PowerLossOfAllCores),
        }
    }

    fn crash_all(&mut self, fault: Fault) {
        self.push(self.at, 1_000, fault);
        self.at += 1_000 + CATCH_UP_MS;
    }

    /// Loses `tolerance` machines at the same time.
    fn simultaneous_losses(&mut self) {
        let duration_ms = self.rng.u64(300..6_000);
        let first = self.rng.usize(0..self.config.cores);
        for number in 0..self.config.tolerance {
            let selector = CoreSelector::Index((first + number) % self.config.cores);
            let fault = LOSSES[self.rng.usize(0..LOSSES.len())];
            self.core(duration_ms, fault, selector);
        }
        self.at += duration_ms + CATCH_UP_MS;
    }

    fn degraded_machine(&mut self) {
        let fault = DEGRADATIONS[self.rng.usize(0..DEGRADATIONS.len())];
        let selector = self.random_selector();
        let duration_ms = self.rng.u64(1_000..8_000);
        self.core(duration_ms, fault, selector);
        self.at += duration_ms + CATCH_UP_MS;
    }

    /// Shuts down and restarts the machines one after the other.
    fn rolling_restart(&mut self) {
        for slot in 0..self.config.cores.min(5) {
            self.core(GRACE_MS, CoreFault::Shutdown, CoreSelector::Index(slot));
            self.at += GRACE_MS + CATCH_UP_MS;
        }
    }

    /// Faults of fronts, agents, servers and clocks, concurrent with the scenarios.
    fn others(&mut self) {
        let fronts = self.config.fronts();
        let agents = self.config.agents();
        let mut at = 4_000;
        while at < self.config.traffic_ms {
            at += self.rng.u64(1_000..5_000);
            let front = self.rng.usize(fronts.clone());
            let agent = self.rng.usize(agents.clone());
            let anywhere = self.rng.usize(0..agents.end);
            let slot = self.rng.usize(0..self.config.servers);
            let fault = match self.rng.u32(0..13) {
                0 => Fault::FrontKill(front),
                1 => Fault::FrontSuspend(front),
                2 => Fault::FrontShutdown(front),
                3 => Fault::FrontRemoval(front),
                4 => Fault::AgentKill(agent),
                5 => Fault::AgentShutdown(agent),
                6 => Fault::AgentSuspend(agent),
                7 | 8 => Fault::ConnectionReset(anywhere),
                9 => Fault::ClockStep(anywhere, self.rng.i64(-2_000..2_000)),
                10 => Fault::SeedChange,
                11 => Fault::ServerCrash(slot),
                _ => Fault::ServerShutdown(slot),
            };
            let duration_ms = self.rng.u64(300..4_500);
            self.push(at, duration_ms, fault);
        }
    }

    /// The operator's actions; in some runs several per second.
    fn operator_actions(&mut self) {
        let max_interval_ms = [400, 1_500, 4_000][self.rng.usize(0..3)];
        let mut at = 4_000;
        while at < self.config.traffic_ms {
            at += self.rng.u64(150..max_interval_ms);
            let fault = match self.rng.u32(0..20) {
                0..12 => Fault::Operator(OperatorAction::Change),
                12 => Fault::Operator(OperatorAction::Resend),
                13 | 14 => Fault::Operator(OperatorAction::ConcurrentPair),
                15 => Fault::Operator(OperatorAction::ConcurrentBurst),
                16 | 17 => Fault::Operator(OperatorAction::InvalidChange),
                _ => Fault::AcknowledgementLoss,
            };
            let duration_ms = self.rng.u64(300..3_000);
            self.push(at, duration_ms, fault);
        }
    }
}
