//! One occurrence of a job: the tasks that were started in it.

use crate::jobs::index_set::IndexSet;
use crate::jobs::task::{TaskRecord, DONE, NEVER_STARTED};
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::Attempt;
use lupinrack_cluster_api::job::Step;
use std::collections::BTreeMap;

/// The tasks of one step that were started in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StepRecord {
    /// The tasks that have succeeded.
    done: IndexSet,
    /// The other tasks that were started, by index.
    tasks: BTreeMap<u32, TaskRecord>,
}

impl StepRecord {
    /// The tasks that have succeeded.
    pub fn done(&self) -> &IndexSet {
        &self.done
    }

    /// The tasks that were started and have not succeeded, by index.
    pub fn tasks(&self) -> &BTreeMap<u32, TaskRecord> {
        &self.tasks
    }

    fn task(&self, index: u32) -> &TaskRecord {
        if self.done.contains(index) {
            return &DONE;
        }
        self.tasks.get(&index).unwrap_or(&NEVER_STARTED)
    }

    pub(crate) fn tasks_mut(&mut self) -> &mut BTreeMap<u32, TaskRecord> {
        &mut self.tasks
    }

    fn set_done(&mut self, index: u32) -> u32 {
        self.tasks.remove(&index);
        u32::from(self.done.insert(index))
    }
}

/// One occurrence of a job. It is recorded when its first task is started, and until all of its tasks
/// have succeeded. Its size follows what was started and has not succeeded, not what the job has.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Occurrence {
    /// The steps with started tasks, by number.
    steps: BTreeMap<u32, StepRecord>,
    /// How many tasks have not succeeded yet.
    open_tasks: u32,
}

impl Occurrence {
    /// An occurrence of a job with these steps and no started task.
    pub fn new(steps: &[Step]) -> Self {
        let open_tasks = steps
            .iter()
            .fold(0u32, |sum, step| sum.saturating_add(step.count));
        Self {
            steps: BTreeMap::new(),
            open_tasks,
        }
    }

    /// An occurrence with a record for each task, by step and index, of which so many have not
    /// succeeded. Earlier versions kept occurrences in this form.
    pub fn from_all_tasks(steps: Vec<Vec<TaskRecord>>, open_tasks: u32) -> Self {
        let mut occurrence = Self {
            steps: BTreeMap::new(),
            open_tasks,
        };
        for (step, tasks) in (0..).zip(steps) {
            for (index, task) in (0..).zip(tasks) {
                if task.is_done() {
                    occurrence.step_mut(step).set_done(index);
                } else if task != NEVER_STARTED {
                    occurrence.step_mut(step).tasks.insert(index, task);
                }
            }
        }
        occurrence
    }

    /// Whether all tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.open_tasks == 0
    }

    /// How many tasks have not succeeded yet.
    pub fn open_tasks(&self) -> u32 {
        self.open_tasks
    }

    /// The record of a step; none if none of its tasks was started.
    pub fn step(&self, step: u32) -> Option<&StepRecord> {
        self.steps.get(&step)
    }

    /// The steps with started tasks, by number.
    pub fn steps(&self) -> impl Iterator<Item = (u32, &StepRecord)> {
        self.steps.iter().map(|(number, step)| (*number, step))
    }

    /// A task's record. The caller checks that there is such a task.
    pub fn task(&self, step: u32, index: u32) -> &TaskRecord {
        self.step(step)
            .map_or(&NEVER_STARTED, |step| step.task(index))
    }

    /// The tasks that were started and have not succeeded.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskRecord> {
        self.steps.values().flat_map(|step| step.tasks.values())
    }

    pub(crate) fn tasks_mut(&mut self) -> impl Iterator<Item = &mut TaskRecord> {
        let steps = self.steps.values_mut();
        steps.flat_map(|step| step.tasks.values_mut())
    }

    pub(crate) fn step_mut(&mut self, step: u32) -> &mut StepRecord {
        self.steps.entry(step).or_default()
    }

    /// The highest number of a start of one of its recorded tasks.
    pub(crate) fn highest_attempt(&self) -> Attempt {
        let attempts = self.tasks().map(|task| task.attempt);
        attempts.max().unwrap_or(0)
    }

    /// Sets tasks of a step to done.
    pub(crate) fn set_done(&mut self, step: u32, indices: &[u32]) {
        let record = self.step_mut(step);
        let succeeded: u32 = indices.iter().map(|index| record.set_done(*index)).sum();
        self.open_tasks = self.open_tasks.saturating_sub(succeeded);
    }
}
