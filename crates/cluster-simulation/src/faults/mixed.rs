//! The mixed profile: short faults, one after the other in each lane.

use super::schedule::{
    Acknowledgement, CoreFault, CoreSelector, Crash, CrashOnAck, Fault, OperatorAction,
    PartitionDirection, ScheduledFault, GRACE_MS,
};
use crate::config::SimulationConfig;
use crate::server::ServerBehavior;

/// Pause after the loss of a machine: the time to catch up plus a margin, in milliseconds.
const PAUSE_AFTER_LOSS_MS: u64 = 5_000;

/// Draws the faults of a run. One run in four has planned work alone, one has faults of core machines alone, one has faults
/// in its first half, and one has faults throughout.
pub(super) fn draw(rng: &mut fastrand::Rng, config: &SimulationConfig) -> Vec<ScheduledFault> {
    let mut entries = Vec::new();
    let kind = rng.u32(0..4);
    if kind != 0 {
        draw_core(rng, config, &mut entries);
    }
    draw_others(rng, config, &mut entries);
    match kind {
        0 => entries.retain(|entry| entry.fault.is_planned()),
        1 => entries.retain(|entry| entry.fault.is_planned() || entry.fault.is_of_core()),
        2 => entries.retain(|entry| entry.fault.is_planned() || entry.at < config.traffic_ms / 2),
        _ => {}
    }
    entries
}

fn draw_core(
    rng: &mut fastrand::Rng,
    config: &SimulationConfig,
    entries: &mut Vec<ScheduledFault>,
) {
    let lanes = config.tolerance;
    // Each lane has its own machines, so at most one machine per lane is lost at a time.
    for _ in 0..lanes {
        let mut at = 3_000 + rng.u64(0..4_000);
        while at + 6_000 < config.traffic_ms {
            let machine = CoreSelector::Index(rng.usize(0..config.cores));
            let (fault, duration_ms) = draw_core_fault(rng);
            let crash_on_ack = |crash| {
                Fault::CrashOnAck(CrashOnAck {
                    after: Acknowledgement::Job,
                    crash,
                })
            };
            let struck = match rng.u32(0..12) {
                0 if lanes == 1 => Some(crash_on_ack(Crash::PowerLossOfAll)),
                1 => Some(crash_on_ack(Crash::DiskLoss(machine))),
                2 if lanes == 1 => Some(Fault::KillAll),
                _ => None,
            };
            if let Some(fault) = struck {
                entries.push(ScheduledFault {
                    at,
                    duration_ms: 2_000,
                    fault,
                });
                at += 4_000 + PAUSE_AFTER_LOSS_MS + rng.u64(0..3_000);
                continue;
            }
            entries.push(ScheduledFault {
                at,
                duration_ms,
                fault: Fault::Core(fault, machine),
            });
            at += duration_ms + PAUSE_AFTER_LOSS_MS + rng.u64(0..4_000);
        }
    }
}

fn draw_core_fault(rng: &mut fastrand::Rng) -> (CoreFault, u64) {
    let all = [
        CoreFault::Kill,
        CoreFault::PowerLoss,
        CoreFault::DiskLoss,
        CoreFault::Suspend,
        CoreFault::Shutdown,
        CoreFault::Partition(PartitionDirection::Both),
        CoreFault::Partition(PartitionDirection::Inbound),
        CoreFault::Partition(PartitionDirection::Outbound),
        CoreFault::Isolation,
        CoreFault::SlowLinks,
        CoreFault::SlowDisk,
        CoreFault::StalledDisk,
        CoreFault::FullDisk,
    ];
    let fault = all[rng.usize(0..all.len())];
    let duration_ms = if fault == CoreFault::Shutdown {
        GRACE_MS
    } else {
        rng.u64(300..5_000)
    };
    (fault, duration_ms)
}

fn draw_others(
    rng: &mut fastrand::Rng,
    config: &SimulationConfig,
    entries: &mut Vec<ScheduledFault>,
) {
    let fronts = config.cores..config.cores + config.fronts;
    let agents = fronts.end..fronts.end + config.servers;
    let mut at = 4_000;
    while at < config.traffic_ms {
        at += rng.u64(200..2_500);
        let front = rng.usize(fronts.clone());
        let agent = rng.usize(agents.clone());
        let slot = rng.usize(0..config.servers);
        let anywhere = rng.usize(0..agents.end);
        let fault = match rng.u32(0..22) {
            0 => Fault::FrontKill(front),
            1 => Fault::FrontSuspend(front),
            2 => Fault::AgentKill(agent),
            3 => Fault::AgentSuspend(agent),
            4 => Fault::AgentPartition(agent, PartitionDirection::Both),
            5 => Fault::AgentPartition(agent, PartitionDirection::Outbound),
            6 => Fault::ConnectionReset(anywhere),
            7 => Fault::ClockStep(anywhere, rng.i64(-2_000..2_000)),
            8 | 9 => Fault::ServerCrash(slot),
            10 => Fault::ServerBehaviorChange(slot, ServerBehavior::Failing),
            11 => Fault::ServerBehaviorChange(slot, ServerBehavior::Stalled),
            12 => Fault::ServerBehaviorChange(slot, ServerBehavior::Slow),
            13 => Fault::ServerShutdown(slot),
            14..17 => Fault::Operator(OperatorAction::Change),
            17 => Fault::Operator(OperatorAction::ConcurrentPair),
            18 => Fault::Operator(OperatorAction::InvalidChange),
            19 => Fault::FrontPartition(front),
            20 => Fault::AgentSlowLinks(agent),
            _ => Fault::AcknowledgementLoss,
        };
        entries.push(ScheduledFault {
            at,
            duration_ms: rng.u64(300..4_500),
            fault,
        });
    }
}
