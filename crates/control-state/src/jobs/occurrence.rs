//! Occurrences of jobs.

use crate::jobs::task::TaskRecord;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::Attempt;
use lupinrack_cluster_api::job::Step;

/// One occurrence of a job. It is recorded when its first task is started.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Occurrence {
    /// Its tasks, by step and index; empty once all have succeeded.
    pub steps: Vec<Vec<TaskRecord>>,
    /// How many tasks have not succeeded yet.
    pub open_tasks: u32,
}

impl Occurrence {
    /// An occurrence of a job with these steps and no started task.
    pub fn new(steps: &[Step]) -> Self {
        let tasks = |step: &Step| vec![TaskRecord::default(); step.count as usize];
        let open_tasks = steps
            .iter()
            .fold(0u32, |sum, step| sum.saturating_add(step.count));
        Self {
            steps: steps.iter().map(tasks).collect(),
            open_tasks,
        }
    }

    /// Whether all tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.open_tasks == 0
    }

    /// A task's record; none if there is no such task, or all tasks have succeeded.
    pub fn task(&self, step: u32, index: u32) -> Option<&TaskRecord> {
        self.steps.get(step as usize)?.get(index as usize)
    }

    /// The highest number of a start of one of its recorded tasks.
    pub(crate) fn highest_attempt(&self) -> Attempt {
        let tasks = self.steps.iter().flatten();
        tasks.map(|task| task.attempt).max().unwrap_or(0)
    }

    /// Counts tasks that have succeeded, and drops the records once all have.
    pub(crate) fn close_tasks(&mut self, succeeded: u32) {
        self.open_tasks = self.open_tasks.saturating_sub(succeeded);
        if self.is_done() {
            self.steps = Vec::new();
        }
    }
}
