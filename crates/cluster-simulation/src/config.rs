//! How large a day is, and what happens on it.

use crate::injected_bugs::PlantedFault;
use lupinrack_cluster_node::core::ByteLimits;
use std::ops::Range;

/// What happens on a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DayKind {
    /// Nothing but traffic.
    Quiet,
    /// Short troubles of all machines.
    #[default]
    Usual,
    /// Machines replaced, cut off with their callers, lost again right after a repair.
    Worst,
    /// One scene of the worst days, again and again.
    WorstOf(Scene),
}

impl DayKind {
    /// Whether it is one of the worst days.
    pub fn is_worst(self) -> bool {
        matches!(self, DayKind::Worst | DayKind::WorstOf(_))
    }
}

/// A scene of the worst days of the control side. Each takes as much at once as is tolerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// The oldest core machines are replaced by empty ones at other addresses, as fast as is allowed.
    ReplacedAgainAndAgain,
    /// A new core machine comes first, then the old one is told to end for good.
    ReplacedInOrder,
    /// A machine is replaced; as soon as its successor counts, the oldest disk is lost right after an acknowledgement.
    ReplacedThenWiped,
    /// A machine is replaced, and its successor loses its disk while it catches up.
    WipedWhileCatchingUp,
    /// A disk is lost right after an acknowledgement, and another right after the repair.
    WipedThenAnother,
    /// A core machine is cut off for 20 seconds with a front and agents, and its callers go on.
    CutWithCallers,
    /// All core machines are killed or lose power at one moment, also right after an acknowledgement.
    AllAtOnce,
    /// As many machines as is tolerated are lost at the same moment.
    LossesAtOnce,
    /// A machine, its links or its disk are slow, or its disk hangs, is full or refuses writes.
    SlowOrSick,
    /// Each core machine is told to end and comes back, one after the other.
    EndedInTurn,
}

impl Scene {
    /// All of them.
    pub const ALL: [Scene; 10] = [
        Scene::ReplacedAgainAndAgain,
        Scene::ReplacedInOrder,
        Scene::ReplacedThenWiped,
        Scene::WipedWhileCatchingUp,
        Scene::WipedThenAnother,
        Scene::CutWithCallers,
        Scene::AllAtOnce,
        Scene::LossesAtOnce,
        Scene::SlowOrSick,
        Scene::EndedInTurn,
    ];
}

/// How large a day is.
#[derive(Clone, Copy, Debug)]
pub struct DaySettings {
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
    pub kind: DayKind,
    /// A fault of the system itself.
    pub planted: Option<PlantedFault>,
}

impl Default for DaySettings {
    fn default() -> DaySettings {
        DaySettings {
            cores: 3,
            tolerance: 1,
            fronts: 2,
            servers: 6,
            jobs: 40,
            traffic_ms: 40_000,
            finish_ms: 30_000,
            kind: DayKind::Usual,
            planted: None,
        }
    }
}

/// Bounds of the log on the worst days, so small that snapshots are taken and sent all the time.
const SMALL_LOG: ByteLimits = ByteLimits {
    uncommitted: 256 * 1024,
    snapshot_after: 32 * 1024,
    retained: 8 * 1024,
    catch_up: 64 * 1024,
    window: 64 * 1024,
};

impl DaySettings {
    /// The bounds of the log of core processes.
    pub fn log_bytes(&self) -> ByteLimits {
        if self.kind.is_worst() {
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
    pub fn sides(&self) -> Range<usize> {
        let first = self.fronts().end;
        first..first + self.servers
    }
}
