//! Whether tasks started ahead of the step that they depend on.

use crate::job_kind::{Kind, PlayedJob};
use lupinrack_cluster_api::identity::{JobId, TaskId};
use mock_servers::worker::floor::Event;
use mock_servers::worker::messages::End;
use std::collections::BTreeSet;

/// Starts in the later step of a dependent job before all tasks of its first step were done.
pub fn out_of_order(played: &[PlayedJob], events: &[Event]) -> usize {
    let dependent: BTreeSet<JobId> = played
        .iter()
        .filter(|job| job.kind == Kind::Dependent)
        .map(|job| job.job)
        .collect();
    let first_step_tasks = Kind::Dependent
        .spec()
        .steps
        .first()
        .map_or(0, |step| step.count as usize);
    let mut done: BTreeSet<TaskId> = BTreeSet::new();
    let mut early = 0;
    for event in events {
        match event {
            Event::Started { run, .. } => {
                let Some(task) = task_of(&run.task, &dependent).filter(|task| task.step == 1)
                else {
                    continue;
                };
                let done = done
                    .iter()
                    .filter(|done| done.job == task.job && done.step == 0)
                    .count();
                early += usize::from(done < first_step_tasks);
            }
            Event::Ended {
                run,
                end: End::Done,
            } => done.extend(task_of(&run.task, &dependent)),
            Event::Ended { .. } | Event::Observed { .. } => {}
        }
    }
    early
}

/// The task of this name, where it is one of these jobs'.
fn task_of(name: &str, jobs: &BTreeSet<JobId>) -> Option<TaskId> {
    name.parse::<TaskId>()
        .ok()
        .filter(|task| jobs.contains(&task.job))
}
