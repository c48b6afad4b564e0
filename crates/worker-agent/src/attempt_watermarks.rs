//! A bounded map of the highest marked attempt of each task.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use std::collections::{BTreeMap, VecDeque};

/// The highest marked attempt of each task. Above the capacity, the task that was marked first is evicted.
#[derive(Clone, Debug)]
pub(crate) struct AttemptWatermarks {
    highest: BTreeMap<TaskId, Attempt>,
    /// The tasks in `highest`, in the order of their first mark.
    first_marked: VecDeque<TaskId>,
    /// The largest number of tasks in `highest`.
    capacity: usize,
}

impl AttemptWatermarks {
    /// An empty map for at most `capacity` tasks.
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

    /// Removes all marks.
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
