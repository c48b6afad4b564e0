//! The fault schedule of a run: faults and planned work, drawn from the seed or composed by hand.

pub use super::fault::{
    Acknowledgement, CoreFault, CoreSelector, Crash, CrashOnAck, Fault, OperatorAction,
    PartitionDirection,
};

use super::{mixed, severe};
use crate::config::{FaultProfile, SimulationConfig};
use std::collections::BTreeMap;

/// Grace between the shutdown signal and the kill, in milliseconds.
pub(crate) const GRACE_MS: u64 = 5_000;

/// Time for which a core machine still counts as lost after its restart, or after its start if it is new, in milliseconds.
pub(crate) const CATCH_UP_MS: u64 = 4_000;

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

impl FaultSchedule {
    /// Draws the schedule for the configuration's profile.
    pub fn draw(rng: &mut fastrand::Rng, config: &SimulationConfig) -> FaultSchedule {
        match config.profile {
            FaultProfile::Quiet => FaultSchedule::default(),
            FaultProfile::Mixed => FaultSchedule::of(mixed::draw(rng, config)),
            FaultProfile::Severe => FaultSchedule::of(severe::draw(rng, config, None)),
            FaultProfile::Only(scenario) => {
                FaultSchedule::of(severe::draw(rng, config, Some(scenario)))
            }
        }
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
