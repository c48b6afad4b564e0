//! The search for an order of the calls (after Wing and Gong, "Testing and verifying concurrent objects", 1993).
//!
//! A call may come next in the order if no other call that is still to be placed had its answer before this one began.
//! A call without effect that may be answered so now is placed at once: it takes nothing from any other order. So only
//! changes that are taken make the search branch, and since every change names the version that it builds on, the search
//! branches only where several changes build on one version.

use crate::call::{Answer, Call, Change, ChangeId};
use crate::history::{CallNumber, CallRecord};
use crate::register::Register;
use std::collections::BTreeSet;

/// no single register gives these answers; after {taken:?} the calls {stuck:?} cannot be placed
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct Violation {
    /// The changes of the order that places the most calls.
    pub taken: Vec<ChangeId>,
    /// The calls that could come next in it, but for their answers.
    pub stuck: Vec<CallNumber>,
}

impl std::error::Error for Violation {}

/// A beginning of an order.
#[derive(Clone, Debug)]
struct Beginning {
    register: Register,
    taken: Vec<ChangeId>,
    /// The clearly answered calls that are still to be placed.
    open: BTreeSet<usize>,
}

/// What decides how a beginning may go on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    newest: Option<ChangeId>,
    open: BTreeSet<usize>,
    /// The changes among the open calls that were taken.
    taken: BTreeSet<ChangeId>,
}

pub(crate) fn find_order(calls: &[CallRecord]) -> Result<Vec<ChangeId>, Violation> {
    let is_clear = |number: &usize| calls[*number].answer != Answer::Unclear;
    let open: BTreeSet<usize> = (0..calls.len()).filter(is_clear).collect();
    let mut beginnings = vec![Beginning {
        register: Register::default(),
        taken: Vec::new(),
        open,
    }];
    let mut seen = BTreeSet::new();
    let mut furthest: Option<Beginning> = None;
    while let Some(mut beginning) = beginnings.pop() {
        beginning.place_answers(calls);
        if beginning.open.is_empty() {
            return Ok(beginning.taken);
        }
        if !seen.insert(beginning.standing(calls)) {
            continue;
        }
        beginnings.extend(beginning.continuations(calls));
        if furthest
            .as_ref()
            .is_none_or(|far| beginning.open.len() < far.open.len())
        {
            furthest = Some(beginning);
        }
    }
    Err(furthest.map_or(
        Violation {
            taken: Vec::new(),
            stuck: Vec::new(),
        },
        |far| far.violation(calls),
    ))
}

impl Beginning {
    /// Places all calls without effect that may come next and be answered so.
    fn place_answers(&mut self, calls: &[CallRecord]) {
        loop {
            let placed: Vec<usize> = self
                .next_open(calls)
                .filter(|number| self.fits(&calls[*number]))
                .collect();
            if placed.is_empty() {
                return;
            }
            placed.iter().for_each(|number| {
                self.open.remove(number);
            });
        }
    }

    fn fits(&self, record: &CallRecord) -> bool {
        self.register.may_answer(&record.call, &record.answer)
    }

    /// The open calls that may come next.
    fn next_open<'a>(&'a self, calls: &'a [CallRecord]) -> impl Iterator<Item = usize> + 'a {
        let latest = self.latest_beginning(calls);
        self.open
            .iter()
            .copied()
            .filter(move |number| calls[*number].began <= latest)
    }

    /// What began later than this has to wait for a call that is still to be placed.
    fn latest_beginning(&self, calls: &[CallRecord]) -> u64 {
        self.open
            .iter()
            .map(|number| calls[*number].ended)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// This beginning with one more change, for each that may be taken next.
    fn continuations(&self, calls: &[CallRecord]) -> Vec<Beginning> {
        let latest = self.latest_beginning(calls);
        let mut next: Vec<Change> = Vec::new();
        for record in calls.iter().filter(|record| record.began <= latest) {
            let Some(change) = effect_of(record).filter(|change| self.register.would_take(change))
            else {
                continue;
            };
            if next.iter().all(|other| other.id != change.id) {
                next.push(change);
            }
        }
        next.iter().map(|change| self.with(change)).collect()
    }

    fn with(&self, change: &Change) -> Beginning {
        let mut longer = self.clone();
        longer.register.take(change);
        longer.taken.push(change.id);
        longer
    }

    fn standing(&self, calls: &[CallRecord]) -> Standing {
        let change_of = |number: &usize| match calls[*number].call {
            Call::Change(change) => Some(change.id),
            Call::Read => None,
        };
        let taken = self
            .open
            .iter()
            .filter_map(change_of)
            .filter(|id| self.register.has_taken(*id));
        Standing {
            newest: self.register.newest(),
            open: self.open.clone(),
            taken: taken.collect(),
        }
    }

    fn violation(&self, calls: &[CallRecord]) -> Violation {
        let stuck = self.next_open(calls).map(CallNumber).collect();
        Violation {
            taken: self.taken.clone(),
            stuck,
        }
    }
}

/// The change that a call may have brought about, by its answer.
fn effect_of(record: &CallRecord) -> Option<Change> {
    match (record.call, record.answer) {
        (Call::Change(change), Answer::Acknowledged | Answer::Unclear) => Some(change),
        _ => None,
    }
}
