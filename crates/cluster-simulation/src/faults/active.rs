//! The troubles that are under way.

use crate::faults::schedule::CrashOnAck;

/// After trouble, machines are in touch again after this long, in milliseconds.
const STABILIZATION_MS: u64 = 4_000;

/// What is done when a trouble is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing: it has ended by itself.
    Automatic,
    /// The machine goes on.
    Resume(usize),
    /// The machine runs all the time again.
    EndIntermittentRun(usize),
    /// Each first machine reaches the second again.
    HealPartition(Vec<(usize, usize)>),
    /// Nobody insists on a machine that is cut off any longer.
    ReleaseCallers,
    /// The disk works again.
    RepairDisk(usize),
    /// The links are quick again.
    RestoreLinks(usize),
    /// The time of day jumps back by so many milliseconds.
    StepClockBack(usize, i64),
    /// The server is sound again.
    HealServer(usize),
    /// The process of this life that was told to end is killed, if it still runs.
    KillIfRunning(usize, u64),
    /// The machine, whose successor runs, is told to end for good.
    ShutDownForGood(usize),
    /// Acknowledgements arrive again.
    RestoreAcknowledgements,
    /// The strike has waited for long enough.
    DisarmCrash,
}

/// A machine that is cut off, on which its callers insist.
#[derive(Clone, Copy, Debug)]
pub struct IsolatedTargets {
    /// The core machine that the operator calls.
    pub core: usize,
    /// The front that the clients call.
    pub front: usize,
}

/// What is under way.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
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
    pub fn is_stable(&self, now: u64) -> bool {
        self.ends.is_empty() && now >= self.last_recovery_at + STABILIZATION_MS
    }

    /// Takes what is over by now.
    pub fn take_expired(&mut self, now: u64) -> Vec<Recovery> {
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
