//! The fault schedule of a run: faults and planned work, drawn from the seed or composed by hand.

pub use super::fault::{
    Acknowledgement, CoreFault, CoreSelector, Crash, CrashOnAck, Fault, OperatorAction,
    PartitionDirection,
};

use super::{mixed, severe};
use crate::config::{FaultProfile, RouteChanges, SimulationConfig};
use std::collections::BTreeMap;
use std::ops::Range;

/// Grace between the shutdown signal and the kill, in milliseconds.
pub(crate) const GRACE_MS: u64 = 5_000;

/// Time for which a core machine still counts as lost after its restart, or after its start if it is new, in milliseconds.
pub(crate) const CATCH_UP_MS: u64 = 4_000;

/// When the queues' routes are first changed, in milliseconds.
const FIRST_CHANGE_OF_ROUTES_MS: u64 = 4_000;
/// Intervals between two changes of the queues' routes, in milliseconds.
const CHANGE_OF_ROUTES_INTERVALS_MS: Range<u64> = 100..4_000;

/// An entry of a fault schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When it begins, in milliseconds.
    pub at: u64,
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// The fault or action.
    pub fault: Fault,
}

/// The entries that have not begun, by their start time.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    entries: BTreeMap<(u64, usize), ScheduledFault>,
}

/// Draws the operator's changes of the queues' routes, besides those of the profile.
fn draw_changes_of_routes(
    rng: &mut fastrand::Rng,
    config: &SimulationConfig,
) -> Vec<ScheduledFault> {
    let mut changes = Vec::new();
    let mut at = FIRST_CHANGE_OF_ROUTES_MS;
    while at < config.traffic_ms {
        changes.push(ScheduledFault {
            at,
            duration_ms: 0,
            fault: Fault::Operator(OperatorAction::Change),
        });
        at += rng.u64(CHANGE_OF_ROUTES_INTERVALS_MS);
    }
    changes
}

impl FaultSchedule {
    /// Draws the schedule for the configuration's profile.
    pub fn draw(rng: &mut fastrand::Rng, config: &SimulationConfig) -> FaultSchedule {
        let mut entries = match config.profile {
            FaultProfile::Quiet => Vec::new(),
            FaultProfile::Mixed => mixed::draw(rng, config),
            FaultProfile::Severe => severe::draw(rng, config, None),
            FaultProfile::Only(scenario) => severe::draw(rng, config, Some(scenario)),
        };
        if config.route_changes != RouteChanges::None {
            entries.extend(draw_changes_of_routes(rng, config));
        }
        FaultSchedule::of(entries)
    }

    /// A schedule of these faults.
    pub fn of(entries: Vec<ScheduledFault>) -> FaultSchedule {
        let numbered = entries.into_iter().enumerate();
        FaultSchedule {
            entries: numbered
                .map(|(number, entry)| ((entry.at, number), entry))
                .collect(),
        }
    }

    /// Takes the next entry that is due.
    pub(crate) fn take_due(&mut self, now: u64) -> Option<ScheduledFault> {
        let next = self
            .entries
            .first_entry()
            .filter(|entry| entry.get().at <= now)?;
        Some(next.remove())
    }

    /// The entries by start time.
    pub fn entries(&self) -> impl Iterator<Item = &ScheduledFault> {
        self.entries.values()
    }
}
