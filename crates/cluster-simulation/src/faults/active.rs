//! The faults that are in effect, and how each one ends.

use crate::faults::schedule::CrashOnAck;
use crate::network::DirectedLink;

/// After the last fault, all machines are connected again within this time, in milliseconds.
const STABILIZATION_MS: u64 = 4_000;
/// The action that ends a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// No action: the fault ends without one.
    Automatic,
    /// Resume the machine's process.
    Resume(usize),
    /// End the machine's intermittent run.
    EndIntermittentRun(usize),
    /// Unblock these links.
    HealPartition(Vec<DirectedLink>),
    /// Let callers choose any machine again.
    ReleaseCallers,
    /// Repair the machine's disk.
    RepairDisk(usize),
    /// Remove the extra delay of the machine's links.
    RestoreLinks(usize),
    /// Step the machine's wall clock back by these milliseconds.
    StepClockBack(usize, i64),
    /// Reset the server's behavior to healthy.
    HealServer(usize),
    /// Kill the process of this incarnation if it still runs after its shutdown signal.
    KillIfRunning(usize, u64),
    /// Shut the machine down for good; its replacement already runs.
    ShutDownForGood(usize),
    /// Deliver acknowledgements to the operator again.
    RestoreAcknowledgements,
    /// Disarm a crash whose acknowledgement did not come in time.
    DisarmCrash,
}

/// Isolated machines that clients and the operator keep calling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IsolatedTargets {
    /// The core machine that the operator calls.
    pub core: usize,
    /// The front that the clients call.
    pub front: usize,
}

/// The faults in effect.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveFaults {
    /// Pending recoveries, each with its time.
    pub ends: Vec<(u64, Recovery)>,
    /// When the last fault ended.
    pub last_recovery_at: u64,
    /// The crash that waits for an acknowledgement.
    pub crash_on_ack: Option<CrashOnAck>,
    /// Whether acknowledgements to the operator are lost.
    pub acknowledgements_lost: bool,
    /// The isolated machines that all callers are directed to.
    pub isolated_targets: Option<IsolatedTargets>,
}

impl ActiveFaults {
    /// Whether no fault is in effect and all machines have had time to reconnect.
    pub(crate) fn is_stable(&self, now: u64) -> bool {
        self.ends.is_empty() && now >= self.last_recovery_at + STABILIZATION_MS
    }

    /// Whether no fault is in effect and the last one ended at least this long ago, in milliseconds.
    pub(crate) fn have_settled(&self, now: u64, settle_ms: u64) -> bool {
        self.ends.is_empty() && now >= self.last_recovery_at + settle_ms
    }

    /// Takes the recoveries that are due.
    pub(crate) fn take_expired(&mut self, now: u64) -> Vec<Recovery> {
        let (over, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.ends = remaining;
        if !over.is_empty() {
            self.last_recovery_at = now;
        }
        over.into_iter().map(|(_, recovery)| recovery).collect()
    }
}
