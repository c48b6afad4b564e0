//! The invariants of agreed views that every run is checked against.

use lupinrack_cluster_api::view::View;
use std::collections::{BTreeMap, HashSet};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two different views are agreed under one number.
    TwoViews { number: u64 },
    /// A view is agreed that no process proposed.
    NeverProposed { number: u64 },
    /// A view is agreed that is not on the disks of majorities of the voters before it and of its own voters.
    NotOnDisks { number: u64 },
    /// The chain does not begin with members of the previous chain in their order.
    BrokenChain { number: u64 },
}

/// Collects proposed and agreed views and checks the invariants.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    proposed: HashSet<View>,
    agreed: BTreeMap<u64, View>,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn on_proposed(&mut self, view: View) {
        self.proposed.insert(view);
    }

    /// Notes that a process considers a view agreed. Returns whether it is the first to do so.
    pub fn on_agreed(&mut self, view: &View) -> bool {
        let number = view.number;
        if !self.proposed.contains(view) {
            self.violations.push(Violation::NeverProposed { number });
        }
        if let Some(earlier) = self.agreed.get(&number) {
            if earlier != view {
                self.violations.push(Violation::TwoViews { number });
            }
            return false;
        }
        self.agreed.insert(number, view.clone());
        true
    }

    /// Checks that a chain continues the previous one.
    pub fn check_chain(&mut self, view: &View) {
        let Some(before) = self.agreed.get(&(view.number - 1)) else {
            return;
        };
        let kept: Vec<_> = before
            .chain
            .iter()
            .filter(|disk| view.chain.contains(disk))
            .collect();
        let begins = view.chain.iter().take(kept.len()).eq(kept.iter().copied());
        if kept.is_empty() || !begins {
            self.violations.push(Violation::BrokenChain {
                number: view.number,
            });
        }
    }

    pub fn agreed(&self, number: u64) -> Option<&View> {
        self.agreed.get(&number)
    }

    pub fn newest(&self) -> View {
        self.agreed
            .values()
            .next_back()
            .cloned()
            .unwrap_or_default()
    }

    pub fn found_two_views(&self) -> bool {
        self.violations
            .iter()
            .any(|violation| matches!(violation, Violation::TwoViews { .. }))
    }
}
