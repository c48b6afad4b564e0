//! The invariants that every history is checked against.

use super::apply;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::Operation;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas hold different operations as committed under one index.
    Diverged { disk: DiskId, index: u64 },
    /// A replica committed an index for which it has no entry.
    MissingEntry { disk: DiskId, index: u64 },
    /// Something was first committed by a replica that is not the head of its view.
    CommittedByFollower { disk: DiskId, index: u64 },
    /// Something was first committed in a view after a newer one had committed.
    CommittedInOldView {
        disk: DiskId,
        index: u64,
        view: u64,
        newest: u64,
    },
    /// Something was committed in a chain that is too short.
    CommittedInShortChain { disk: DiskId, index: u64 },
    /// A barrier passed at a head that lacks what was committed before the barrier began.
    StaleBarrier {
        disk: DiskId,
        committed: u64,
        expected: u64,
    },
    /// A snapshot does not hold the state of its index.
    WrongSnapshot { disk: DiskId, index: u64 },
    /// A replica holds an entry as committed that no replica has committed.
    CommittedByNobody { disk: DiskId, index: u64 },
    /// At the end, without faults, the chain did not recover every committed entry.
    Lost { committed: u64, expected: u64 },
    /// At the end, without faults, no further entry could be committed.
    Stuck { view: u64 },
}

/// The sequence of committed operations, in the order in which they were first committed.
#[derive(Debug, Default)]
pub struct Checker {
    operations: Vec<Operation>,
    /// The state at each index, beginning with the empty state.
    states: Vec<u64>,
    newest_view: u64,
    violation: Option<Violation>,
}

/// The replica that commits.
#[derive(Clone, Copy, Debug)]
pub struct Committer {
    pub disk: DiskId,
    pub view: u64,
    pub is_head: bool,
    pub chain_is_long_enough: bool,
}

impl Checker {
    pub fn new() -> Checker {
        Checker {
            states: vec![0],
            ..Checker::default()
        }
    }

    /// The last index that was committed anywhere.
    pub fn committed(&self) -> u64 {
        self.operations.len() as u64
    }

    /// The newest view in which something was committed.
    pub fn newest_view(&self) -> u64 {
        self.newest_view
    }

    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    pub fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Notes that a replica applies an entry.
    pub fn applied(&mut self, by: Committer, index: u64, operation: &Operation) {
        if index <= self.committed() {
            if self.operations[index as usize - 1] != *operation {
                self.report(Violation::Diverged {
                    disk: by.disk,
                    index,
                });
            }
            return;
        }
        self.first_commit(by, index, operation);
    }

    fn first_commit(&mut self, by: Committer, index: u64, operation: &Operation) {
        let disk = by.disk;
        if !by.is_head {
            self.report(Violation::CommittedByFollower { disk, index });
        }
        if !by.chain_is_long_enough {
            self.report(Violation::CommittedInShortChain { disk, index });
        }
        if by.view < self.newest_view {
            let newest = self.newest_view;
            self.report(Violation::CommittedInOldView {
                disk,
                index,
                view: by.view,
                newest,
            });
        }
        self.newest_view = self.newest_view.max(by.view);
        let state = self.states.last().copied().unwrap_or_default();
        self.states.push(apply(state, operation));
        self.operations.push(operation.clone());
    }

    /// Notes that a replica loads a snapshot.
    pub fn loaded(&mut self, disk: DiskId, index: u64, state: u64) {
        match self.states.get(index as usize) {
            None => self.report(Violation::CommittedByNobody { disk, index }),
            Some(expected) if *expected != state => {
                self.report(Violation::WrongSnapshot { disk, index })
            }
            Some(_) => {}
        }
    }

    /// Notes that a barrier passes that was started when `expected` was committed.
    pub fn barrier(&mut self, disk: DiskId, committed: u64, expected: u64) {
        if committed < expected {
            self.report(Violation::StaleBarrier {
                disk,
                committed,
                expected,
            });
        }
    }
}
