//! The search for a linearization (Wing and Gong, "Testing and verifying concurrent objects",
//! 1993), with a cache of the visited states (Lowe, "Testing for linearizability",
//! 2017).
//!
//! A call is a candidate for the next place in the order if no other pending call had its response
//! before this one was invoked. A candidate whose response is permitted in the current state and
//! leaves that state unchanged is linearized at once, since this rules out no other order. So the
//! search branches only on applied changes. Every change names its base version, so the search
//! branches only if several changes have the same base.

use crate::call::{Call, ChangeId, ConditionalChange};
use crate::call_record::{CallNumber, CallRecord};
use crate::register::Register;
use crate::response::Response;
use std::collections::BTreeSet;

/// not linearizable: after the changes {applied:?} the calls {blocked:?} fit in no order
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct NotLinearizable {
    /// The changes that the longest partial linearization applies, in their order.
    pub applied: Vec<ChangeId>,
    /// The calls that could come next in it by their times, but not by their responses.
    pub blocked: Vec<CallNumber>,
}

impl std::error::Error for NotLinearizable {}

/// Searches depth first for an order of all calls with a definite response.
pub(crate) fn find_linearization(calls: &[CallRecord]) -> Result<Vec<ChangeId>, NotLinearizable> {
    let mut unexplored = vec![PartialLinearization::empty(calls)];
    let mut searched = BTreeSet::new();
    let mut longest: Option<PartialLinearization<'_>> = None;
    while let Some(mut partial) = unexplored.pop() {
        partial.linearize_calls_without_effect();
        if partial.pending.is_empty() {
            return Ok(partial.applied);
        }
        if !searched.insert(partial.search_state()) {
            continue;
        }
        unexplored.extend(partial.successors());
        if longest
            .as_ref()
            .is_none_or(|other| partial.pending.len() < other.pending.len())
        {
            longest = Some(partial);
        }
    }
    Err(longest.map_or(
        NotLinearizable {
            applied: Vec::new(),
            blocked: Vec::new(),
        },
        |longest| longest.fault(),
    ))
}

/// A prefix of a linearization, and the calls that are still pending.
#[derive(Clone, Debug)]
struct PartialLinearization<'history> {
    calls: &'history [CallRecord],
    /// The state after the linearized calls.
    register: Register,
    /// The linearized changes that had an effect, in order.
    applied: Vec<ChangeId>,
    /// Indices of the calls with a definite response that are still to be linearized.
    pending: BTreeSet<usize>,
}

/// The state that determines how a partial linearization can continue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SearchState {
    current_change: Option<ChangeId>,
    pending: BTreeSet<usize>,
    /// The changes of pending calls that are already applied, by another call for the same change.
    applied: BTreeSet<ChangeId>,
}

impl<'history> PartialLinearization<'history> {
    fn empty(calls: &'history [CallRecord]) -> Self {
        let is_definite = |index: &usize| calls[*index].response != Response::Indeterminate;
        let pending = (0..calls.len()).filter(is_definite).collect();
        Self {
            calls,
            register: Register::default(),
            applied: Vec::new(),
            pending,
        }
    }

    /// Linearizes candidates that leave the state unchanged, until none is left.
    fn linearize_calls_without_effect(&mut self) {
        loop {
            let without_effect: Vec<usize> = self
                .candidates()
                .filter(|index| self.permits(*index))
                .collect();
            if without_effect.is_empty() {
                return;
            }
            for index in without_effect {
                self.pending.remove(&index);
            }
        }
    }

    fn permits(&self, index: usize) -> bool {
        let record = &self.calls[index];
        self.register.permits(&record.call, &record.response)
    }

    /// The pending calls whose times allow them to be linearized next.
    fn candidates(&self) -> impl Iterator<Item = usize> + '_ {
        let deadline = self.earliest_pending_response();
        self.pending
            .iter()
            .copied()
            .filter(move |index| self.calls[*index].invoked_at <= deadline)
    }

    /// The earliest response time of a pending call. A call that was invoked later must follow a
    /// pending call.
    fn earliest_pending_response(&self) -> u64 {
        self.pending
            .iter()
            .map(|index| self.calls[*index].responded_at)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// This partial linearization extended by one change, for each change that can be applied next.
    fn successors(&self) -> Vec<Self> {
        let deadline = self.earliest_pending_response();
        let mut changes: Vec<&ConditionalChange> = Vec::new();
        for record in self
            .calls
            .iter()
            .filter(|record| record.invoked_at <= deadline)
        {
            let Some(change) = record.possible_change() else {
                continue;
            };
            let is_listed = changes.iter().any(|listed| listed.id == change.id);
            if self.register.accepts(change) && !is_listed {
                changes.push(change);
            }
        }
        changes
            .into_iter()
            .map(|change| self.with(change))
            .collect()
    }

    fn with(&self, change: &ConditionalChange) -> Self {
        let mut longer = self.clone();
        longer.register.apply(change);
        longer.applied.push(change.id);
        longer
    }

    fn search_state(&self) -> SearchState {
        let change_of = |index: &usize| match &self.calls[*index].call {
            Call::Change(change) => Some(change.id),
            Call::Read => None,
        };
        let changes = self.pending.iter().filter_map(change_of);
        SearchState {
            current_change: self.register.current_change(),
            pending: self.pending.clone(),
            applied: changes
                .filter(|id| self.register.has_applied(*id))
                .collect(),
        }
    }

    /// The error to report if this is the longest partial linearization.
    fn fault(&self) -> NotLinearizable {
        NotLinearizable {
            applied: self.applied.clone(),
            blocked: self.candidates().map(CallNumber).collect(),
        }
    }
}
