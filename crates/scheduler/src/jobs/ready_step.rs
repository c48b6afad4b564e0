//! Steps with tasks that are ready to start.

use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{JobRecord, Occurrence, StepRecord, TaskStatus};
use std::ops::Range;

/// The tasks of one step that are ready to start and not assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReadyStep {
    /// The index of the job's occurrence, from 0.
    pub(crate) occurrence: u32,
    /// The index of the step, from 0.
    pub(crate) step: u32,
    /// The indices of the waiting tasks; for a gang these are all tasks of the step.
    pub(crate) indices: Vec<u32>,
    /// The time since which tasks of this step have been waiting.
    pub(crate) since: Millis,
}

/// The steps of one occurrence whose dependencies are done and that have waiting tasks, of those that
/// `is_wanted` accepts.
pub(crate) fn ready_steps(
    job: &JobRecord,
    occurrence: u32,
    now: Millis,
    is_wanted: impl Fn(u32) -> bool,
) -> Vec<ReadyStep> {
    if job.occurrence_is_done(occurrence) {
        return Vec::new();
    }
    let done: Vec<bool> = (0..)
        .zip(&job.spec.steps)
        .map(|(number, _)| job.step_is_done(occurrence, number))
        .collect();
    let started = job.occurrences.open().get(&occurrence);
    (0..)
        .zip(&job.spec.steps)
        .filter(|(number, _)| is_wanted(*number))
        .filter(|(number, step)| !done[*number as usize] && dependencies_are_done(step, &done))
        .filter_map(|(number, step)| {
            let indices = waiting_tasks(step, number, started);
            let is_startable =
                !indices.is_empty() && (!step.gang || indices.len() >= step.count as usize);
            is_startable.then_some(ReadyStep {
                occurrence,
                step: number,
                indices,
                since: now,
            })
        })
        .collect()
}

/// Whether all steps that a step depends on are done. `done` is indexed by step.
fn dependencies_are_done(step: &Step, done: &[bool]) -> bool {
    step.depends_on
        .iter()
        .all(|dependency| done.get(*dependency as usize).copied().unwrap_or(true))
}

/// The indices of a step's waiting tasks. Before any of its tasks has a record, all of them wait.
fn waiting_tasks(step: &Step, number: u32, occurrence: Option<&Occurrence>) -> Vec<u32> {
    let Some(record) = occurrence.and_then(|occurrence| occurrence.step(number)) else {
        return (0..step.count).collect();
    };
    let mut waiting = Vec::new();
    let mut next = 0;
    for done in record.done().ranges() {
        extend_with_waiting(&mut waiting, record, next..done.start);
        next = done.end;
    }
    extend_with_waiting(&mut waiting, record, next..step.count);
    waiting
}

/// Adds the waiting tasks of a range in which none has succeeded.
fn extend_with_waiting(waiting: &mut Vec<u32>, record: &StepRecord, range: Range<u32>) {
    if range.is_empty() {
        return;
    }
    let mut next = range.start;
    for (index, task) in record.tasks().range(range.clone()) {
        if task.status != TaskStatus::Waiting {
            waiting.extend(next..*index);
            next = index + 1;
        }
    }
    waiting.extend(next..range.end);
}
