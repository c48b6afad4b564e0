//! Steps with tasks that are ready to start.

use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{JobRecord, Occurrence, TaskRecord, TaskStatus};

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

/// The steps of one occurrence whose dependencies are done and that have waiting tasks. A step that
/// is also in `previous` keeps the time at which it began to wait.
pub(crate) fn ready_steps(
    job: &JobRecord,
    occurrence: u32,
    previous: &[ReadyStep],
    now: Millis,
) -> Vec<ReadyStep> {
    if job.occurrence_is_done(occurrence) {
        return Vec::new();
    }
    let waiting_since = |step: u32| {
        previous
            .iter()
            .find(|old| old.occurrence == occurrence && old.step == step)
            .map_or(now, |old| old.since)
    };
    let done: Vec<bool> = (0..)
        .zip(&job.spec.steps)
        .map(|(number, _)| job.step_is_done(occurrence, number))
        .collect();
    (0..)
        .zip(&job.spec.steps)
        .filter(|(number, step)| !done[*number as usize] && dependencies_are_done(step, &done))
        .filter_map(|(number, step)| {
            let indices = waiting_tasks(step, number, job.occurrences.get(&occurrence));
            let is_startable =
                !indices.is_empty() && (!step.gang || indices.len() >= step.count as usize);
            is_startable.then(|| ReadyStep {
                occurrence,
                step: number,
                indices,
                since: waiting_since(number),
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

/// The indices of a step's waiting tasks. Before the occurrence has a record, all tasks wait.
fn waiting_tasks(step: &Step, number: u32, occurrence: Option<&Occurrence>) -> Vec<u32> {
    let Some(tasks) = occurrence.and_then(|occurrence| occurrence.steps.get(number as usize))
    else {
        return (0..step.count).collect();
    };
    let is_waiting = |task: &TaskRecord| task.status == TaskStatus::Waiting;
    (0..)
        .zip(tasks)
        .filter(|(_, task)| is_waiting(task))
        .map(|(index, _)| index)
        .collect()
}
