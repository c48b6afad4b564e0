//! Releases queued tasks in the order of their start tags.

use crate::placement::candidate::Candidate;
use crate::placement::headroom::Headroom;
use crate::placement::planner::Planner;
use crate::queues::task_queues::QueuedTask;
use crate::recorded::task_record;
use crate::resources::{difference, fits};
use crate::runs::profile::RunProfile;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::Millis;

/// On each candidate, releases the queued tasks that fit now and decides to start them.
pub(crate) fn release_all(planner: &mut Planner<'_>) {
    for candidate in 0..planner.candidates.len() {
        if !planner.candidates[candidate].queued.is_empty() {
            release_on(planner, candidate);
        }
    }
}

fn release_on(planner: &mut Planner<'_>, index: usize) {
    let Planner {
        candidates,
        headroom,
        queues,
        runs,
        kept_capacity,
        now,
        ..
    } = planner;
    let candidate = &mut candidates[index];
    let (server, running) = (candidate.server.clone(), candidate.running);
    let released = queues.release(&server, running, *now, |task, queued| {
        let is_free = if kept_capacity.is_granted_to(task.job) && runs.is_idle(task.job) {
            fits(&queued.profile.needs, &candidate.free)
        } else {
            is_admitted(candidate, headroom, queued, *now)
        };
        if is_free {
            allocate(candidate, headroom, queued);
        }
        is_free
    });
    for (task, queued) in released {
        start(planner, index, task, queued.profile);
    }
}

/// Whether a queued task fits next to more urgent queued tasks, reservations and headroom.
fn is_admitted(
    candidate: &Candidate,
    headroom: &Headroom,
    queued: &QueuedTask,
    now: Millis,
) -> bool {
    let (priority, needs) = (queued.profile.priority, queued.profile.needs);
    let ends_at = now.plus(queued.expected_ms);
    fits(&needs, &candidate.free_beside_more_urgent(priority))
        && headroom.allows(priority, &needs, 1)
        && candidate.admits(priority, &needs, ends_at)
}

fn allocate(candidate: &mut Candidate, headroom: &mut Headroom, queued: &QueuedTask) {
    let (priority, needs) = (queued.profile.priority, queued.profile.needs);
    candidate.free = difference(&candidate.free, &needs);
    headroom.allocate(&needs);
    candidate.queued.remove(priority, &needs);
}

/// Decides to start a single task whose capacity has been allocated.
fn start(planner: &mut Planner<'_>, candidate: usize, task: TaskId, profile: RunProfile) {
    let record = planner
        .state
        .job(task.job)
        .and_then(|job| task_record(job, task));
    let start = StartRecord {
        task,
        attempt: planner.state.jobs().next_attempt(task),
        server: planner.candidates[candidate].server.clone(),
        checkpoint: record.map_or_else(String::new, |record| record.checkpoint.clone()),
    };
    planner.record_start(candidate, &start, profile);
    planner.starts.push(vec![start]);
}
