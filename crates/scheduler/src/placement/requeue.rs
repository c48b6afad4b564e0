//! Queued tasks that are better placed anew.

use crate::placement::candidate::{Candidate, QueuedNeeds};
use crate::queues::task_queues::{QueuedTask, TaskQueues};
use crate::resources::fits;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::time::Millis;

/// After this time in a queue a task is placed anew, in milliseconds.
const MAX_QUEUED_MS: u64 = 3_000;

/// Takes tasks out of the queues of servers that are no candidates or suspected, those that waited
/// too long, and those for which another candidate has capacity now.
pub(crate) fn withdraw_misplaced(
    queues: &mut TaskQueues,
    candidates: &mut [Candidate],
    now: Millis,
) {
    let misplaced: Vec<TaskId> = queues
        .iter()
        .filter(|(_, queued)| is_misplaced(queued, candidates, now))
        .map(|(task, _)| *task)
        .collect();
    for task in misplaced {
        queues.withdraw(task);
    }
    for candidate in candidates {
        candidate.queued = queues
            .of_server(&candidate.server)
            .map(QueuedNeeds::from)
            .collect();
    }
}

fn is_misplaced(queued: &QueuedTask, candidates: &[Candidate], now: Millis) -> bool {
    let own = candidates
        .iter()
        .find(|candidate| candidate.server == queued.server);
    own.is_none_or(|own| {
        now.since(queued.since) > MAX_QUEUED_MS
            || own.suspected
            || fits_on_another(queued, own, candidates)
    })
}

/// Whether a task that does not fit on its server now would fit on another one that is as good for
/// it.
fn fits_on_another(queued: &QueuedTask, own: &Candidate, candidates: &[Candidate]) -> bool {
    let QueuedNeeds { priority, needs } = QueuedNeeds::from(queued);
    if fits(&needs, &own.free) {
        return false;
    }
    candidates.iter().any(|other| {
        let is_as_near = other.has_label(&queued.affinity) || !own.has_label(&queued.affinity);
        other.server != own.server
            && !other.suspected
            && is_as_near
            && fits(&needs, &other.free_for(priority))
    })
}
