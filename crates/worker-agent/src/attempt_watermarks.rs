//! A bounded memory of the highest attempt per task that something was said of.

use lupinrack_cluster_api::identity::{Attempt, TaskId};
use std::collections::{BTreeMap, VecDeque};

/// The highest marked attempt of each task. When there are too many tasks, the one that was marked first is forgotten.
#[derive(Clone, Debug)]
pub struct AttemptMarks {
    highest: BTreeMap<TaskId, Attempt>,
    first_marked: VecDeque<TaskId>,
    most: usize,
}

impl AttemptMarks {
    /// No marks, and room for those of `most` tasks.
    pub fn new(most: usize) -> AttemptMarks {
        AttemptMarks {
            highest: BTreeMap::new(),
            first_marked: VecDeque::new(),
            most,
        }
    }

    /// Marks this attempt of the task and all lower ones.
    pub fn raise(&mut self, task: TaskId, attempt: Attempt) {
        if let Some(mark) = self.highest.get_mut(&task) {
            *mark = attempt.max(*mark);
            return;
        }
        self.highest.insert(task, attempt);
        self.first_marked.push_back(task);
        self.forget_surplus();
    }

    /// Whether this attempt of the task is marked.
    pub fn covers(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.highest.get(task).is_some_and(|mark| attempt <= *mark)
    }

    /// Forgets all marks.
    pub fn clear(&mut self) {
        self.highest.clear();
        self.first_marked.clear();
    }

    /// How many tasks have a mark.
    pub fn len(&self) -> usize {
        self.highest.len()
    }

    /// Whether no task has a mark.
    pub fn is_empty(&self) -> bool {
        self.highest.is_empty()
    }

    fn forget_surplus(&mut self) {
        while self.highest.len() > self.most {
            match self.first_marked.pop_front() {
                Some(task) => self.highest.remove(&task),
                None => return,
            };
        }
    }
}
