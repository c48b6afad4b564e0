//! The faults that are in effect, and how each one ends.

use crate::faults::schedule::CrashOnAck;

/// After the last fault, all machines are connected again within this time, in milliseconds.
const STABILIZATION_MS: u64 = 4_000;

/// What ends a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// Nothing: it has ended by itself.
    Automatic,
    /// The machine goes on.
    Resume(usize),
    /// The machine runs all the time again.
    EndIntermittentRun(usize),
    /// Each first machine reaches the second again.
    HealPartition(Vec<(usize, usize)>),
    /// Callers no longer keep to the isolated machines.
    ReleaseCallers,
    /// The disk works again.
    RepairDisk(usize),
    /// The links are quick again.
    RestoreLinks(usize),
    /// The wall clock jumps back by so many milliseconds.
    StepClockBack(usize, i64),
    /// The server is sound again.
    HealServer(usize),
    /// The process of this incarnation, which was asked to shut down, is killed if it still runs.
    KillIfRunning(usize, u64),
    /// The machine, whose replacement runs, is asked to shut down for good.
    ShutDownForGood(usize),
    /// Acknowledgements arrive again.
    RestoreAcknowledgements,
    /// The crash has waited for its acknowledgement for long enough.
    DisarmCrash,
}

/// Isolated machines that clients and the operator go on calling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IsolatedTargets {
    /// The core machine that the operator calls.
    pub core: usize,
    /// The front that the clients call.
    pub front: usize,
}

/// What is under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveFaults {
    /// What ends by itself, with the moment.
    pub ends: Vec<(u64, Recovery)>,
    /// When the last one ended.
    pub last_recovery_at: u64,
    /// What strikes after an acknowledgement.
    pub crash_on_ack: Option<CrashOnAck>,
    /// Whether acknowledgements to the operator are lost.
    pub acknowledgements_lost: bool,
    /// The machines that callers insist on.
    pub isolated_targets: Option<IsolatedTargets>,
}

impl ActiveFaults {
    /// Whether all machines are in touch.
    pub(crate) fn is_stable(&self, now: u64) -> bool {
        self.ends.is_empty() && now >= self.last_recovery_at + STABILIZATION_MS
    }

    /// Takes what is over by now.
    pub(crate) fn take_expired(&mut self, now: u64) -> Vec<Recovery> {
        let (over, going_on): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.ends = going_on;
        if !over.is_empty() {
            self.last_recovery_at = now;
        }
        over.into_iter().map(|(_, ending)| ending).collect()
    }
}
