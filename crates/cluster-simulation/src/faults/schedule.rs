//! The plan of a day: faults and planned work, drawn from its seed or put together by hand.

pub use super::fault::{
    Acknowledgement, Blow, CoreChoice, CoreTrouble, CutDirection, OperatorOrder, Strike, Trouble,
};

use super::{mixed, severe};
use crate::config::{DayKind, DaySettings};
use std::collections::BTreeMap;

/// Grace between the signal to end and the kill, in milliseconds.
pub const GRACE_MS: u64 = 5_000;

/// A core machine counts as lost for this long after its return, or after its start where it is new, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_000;

/// One entry.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// When it begins, in milliseconds.
    pub at: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What.
    pub trouble: Trouble,
}

/// All entries that have not begun, by their beginning.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    entries: BTreeMap<(u64, usize), Entry>,
}

impl Plan {
    /// The plan of a day of the kind that the settings ask for.
    pub fn draw(rng: &mut fastrand::Rng, settings: &DaySettings) -> Plan {
        match settings.kind {
            DayKind::Quiet => Plan::default(),
            DayKind::Usual => Plan::of(mixed::draw(rng, settings)),
            DayKind::Worst => Plan::of(severe::draw(rng, settings, None)),
            DayKind::WorstOf(scene) => Plan::of(severe::draw(rng, settings, Some(scene))),
        }
    }

    /// A plan of these entries.
    pub fn of(entries: Vec<Entry>) -> Plan {
        let numbered = entries.into_iter().enumerate();
        Plan {
            entries: numbered
                .map(|(number, entry)| ((entry.at, number), entry))
                .collect(),
        }
    }

    /// Takes the next entry that is due.
    pub(crate) fn take_due(&mut self, now: u64) -> Option<Entry> {
        let next = self
            .entries
            .first_entry()
            .filter(|entry| entry.get().at <= now)?;
        Some(next.remove())
    }

    /// Its entries, in their order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}
