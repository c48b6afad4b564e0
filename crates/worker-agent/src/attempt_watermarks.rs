//! A bounded memory of the highest attempt of each task of which something is known.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use std::collections::{BTreeMap, VecDeque};

/// The highest marked attempt of each task. When there are too many tasks, the one that was marked first is forgotten.
#[derive(Clone, Debug)]
pub(crate) struct AttemptWatermarks {
    highest: BTreeMap<TaskId, Attempt>,
    /// The tasks in `highest`, in the order of their first mark.
    first_marked: VecDeque<TaskId>,
    /// How many tasks `highest` may hold.
    capacity: usize,
}

impl AttemptWatermarks {
    /// No marks, and room for those of `capacity` tasks.
    pub(crate) fn new(capacity: usize) -> AttemptWatermarks {
        AttemptWatermarks {
            highest: BTreeMap::new(),
            first_marked: VecDeque::new(),
            capacity,
        }
    }

    /// Marks this attempt of the task and all lower ones.
    pub(crate) fn raise(&mut self, task: TaskId, attempt: Attempt) {
        if let Some(watermark) = self.highest.get_mut(&task) {
            *watermark = attempt.max(*watermark);
            return;
        }
        self.highest.insert(task, attempt);
        self.first_marked.push_back(task);
        self.evict_surplus();
    }

    /// Whether this attempt of the task is marked.
    pub(crate) fn covers(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.highest
            .get(task)
            .is_some_and(|watermark| attempt <= *watermark)
    }

    /// Forgets all marks.
    pub(crate) fn clear(&mut self) {
        self.highest.clear();
        self.first_marked.clear();
    }

    fn evict_surplus(&mut self) {
        while self.highest.len() > self.capacity {
            match self.first_marked.pop_front() {
                Some(task) => self.highest.remove(&task),
                None => return,
            };
        }
    }
}
