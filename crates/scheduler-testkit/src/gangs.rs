//! Gangs: groups of tasks that make progress only while all of them run.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// One attempt of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GangId {
    first_member: TaskId,
    attempt: Attempt,
}

impl GangId {
    /// The gang that this task is a member of in this attempt.
    pub(crate) fn of(task: TaskId, attempt: Attempt) -> GangId {
        GangId {
            first_member: TaskId { index: 0, ..task },
            attempt,
        }
    }

    /// Its first member.
    pub(crate) fn first_member(self) -> TaskId {
        self.first_member
    }
}

/// The state of a gang that has been complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GangState {
    /// All members have been ready together, and none has ended since.
    Working,
    /// A member has ended.
    Ended,
}

/// The gangs that have been complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gangs {
    states: BTreeMap<GangId, GangState>,
}

impl Gangs {
    /// Records that these gangs are complete now.
    pub(crate) fn record_complete(&mut self, complete: &BTreeSet<GangId>) {
        for gang in complete {
            self.states.entry(*gang).or_insert(GangState::Working);
        }
    }

    /// Records that a member has ended. This ends the gang only if it has been complete.
    pub(crate) fn record_member_end(&mut self, gang: GangId) {
        if let Some(state) = self.states.get_mut(&gang) {
            *state = GangState::Ended;
        }
    }

    /// The state of the gang; `None` if it was never complete.
    pub(crate) fn state(&self, gang: GangId) -> Option<GangState> {
        self.states.get(&gang).copied()
    }
}
