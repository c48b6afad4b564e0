//! Detects tasks that started before the step that they depend on was done.

use crate::client::JobOutcome;
use crate::job_kind::JobKind;
use lupinrack_cluster_api::identity::{JobId, TaskId};
use mock_servers::worker::cluster_events::Event;
use mock_servers::worker::messages::End;
use std::collections::BTreeSet;

/// Counts the starts in the second step of dependent jobs that came before all tasks of the first step were done.
pub fn count_early_starts(outcomes: &[JobOutcome], events: &[Event]) -> usize {
    let dependent: BTreeSet<JobId> = outcomes
        .iter()
        .filter(|outcome| outcome.kind == JobKind::Dependent)
        .map(|outcome| outcome.job)
        .collect();
    let task_of = |name: &str| {
        let task = name.parse::<TaskId>().ok()?;
        dependent.contains(&task.job).then_some(task)
    };
    let mut done: BTreeSet<TaskId> = BTreeSet::new();
    let mut early_starts = 0;
    for event in events {
        match event {
            Event::Started { run, .. } => {
                let started = task_of(&run.task).filter(|task| task.step == 1);
                early_starts += usize::from(started.is_some_and(|task| is_early(task, &done)));
            }
            Event::Ended {
                run,
                end: End::Done,
            } => done.extend(task_of(&run.task)),
            Event::Ended { .. } | Event::Observed { .. } => {}
        }
    }
    early_starts
}

/// Whether a task of the second step starts before all tasks of the first step are done.
fn is_early(task: TaskId, done: &BTreeSet<TaskId>) -> bool {
    let first_step_tasks = JobKind::Dependent
        .spec()
        .steps
        .first()
        .map_or(0, |step| step.count as usize);
    let first_step_done = done
        .iter()
        .filter(|done| done.job == task.job && done.step == 0);
    first_step_done.count() < first_step_tasks
}
