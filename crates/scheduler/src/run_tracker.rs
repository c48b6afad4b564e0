//! The life cycle of runs, from the proposal of the start to the recorded end.

use crate::inferred_end::{InferredEnd, InferredEndReason};
use crate::run_id::RunId;
use crate::runs::profile::RunProfile;
use crate::runs::run::{Run, RunOrigin, RunPhase, StopReason};
use crate::runs::table::RunTable;
use crate::servers::table::ServerTable;
use crate::submissions::Submissions;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::operation::{EndRecord, StartRecord};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;

/// Proof that all leases granted by earlier owners have expired.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TakeoverBoundExpired;

/// The runs, the pending operations that record their starts and ends, and the inferred ends.
///
/// A run that has ended stays in the table until its end is recorded, so that its task is not
/// started again before that.
#[derive(Clone, Debug)]
pub(crate) struct RunTracker {
    /// All runs. Placement inserts runs into the table, and eviction requests stops in it.
    pub(crate) runs: RunTable,
    /// The operations that have not been applied yet.
    pub(crate) submissions: Submissions,
    /// The ends inferred since the last round.
    inferred_ends: Vec<InferredEnd>,
}

impl RunTracker {
    /// Creates a tracker without runs.
    pub(crate) fn new(submissions: Submissions) -> RunTracker {
        RunTracker {
            runs: RunTable::default(),
            submissions,
            inferred_ends: Vec::new(),
        }
    }

    /// Handles an applied operation with these starts. `accepted[i]` is whether `starts[i]` took
    /// effect.
    pub(crate) fn starts_applied(
        &mut self,
        starts: &[StartRecord],
        accepted: &[bool],
        now: Millis,
    ) {
        self.submissions.starts_applied(starts);
        for (start, accepted) in starts.iter().zip(accepted) {
            self.start_applied(start, *accepted, now);
        }
    }

    fn start_applied(&mut self, start: &StartRecord, accepted: bool, now: Millis) {
        let id = RunId::new(start.task, start.attempt);
        let phase = self.runs.on_server(&start.server, id).map(|run| run.phase);
        match (phase, accepted) {
            (Some(RunPhase::Proposed), true) => self.runs.set_recorded(start.task, now),
            (Some(RunPhase::Proposed), false) => self.runs.remove(start.task),
            // The operation was submitted twice and had been applied before.
            (Some(RunPhase::Recorded), _) | (None, false) => {}
            (None, true) => self.adopt_orphan(start, now),
        }
    }

    /// Adopts and stops a recorded start that this scheduler did not propose, or whose proposal it
    /// has dropped. Only the server knows whether it has received the start.
    fn adopt_orphan(&mut self, start: &StartRecord, now: Millis) {
        let mut run = Run::inherited(start, RunProfile::without_needs(), now);
        run.stop = Some(StopReason::Orphaned);
        self.runs.insert(run);
    }

    /// Marks a run as ended and submits its end, with the newest known checkpoint.
    pub(crate) fn end(&mut self, mut end: EndRecord) {
        self.runs.set_ended(end.task);
        let run = self.runs.get(end.task);
        if let Some(run) = run.filter(|run| run.attempt == end.attempt) {
            if end.checkpoint.is_empty() {
                end.checkpoint.clone_from(&run.checkpoint);
            }
            // The other members of a gang cannot continue without this one.
            if end.end != RunEnd::Done && run.profile.gang {
                self.runs.request_stop(end.task, StopReason::GangBroken);
            }
        }
        self.submissions.add_end(end);
    }

    /// Handles an end that is recorded or never will be: the server that reported it may forget it.
    pub(crate) fn end_recorded(&mut self, servers: &mut ServerTable, id: RunId) {
        self.submissions.end_applied(id);
        let Some(run) = self.runs.get(id.task).filter(|run| run.id() == id) else {
            servers.set_end_recorded(id);
            return;
        };
        if let Some(server) = servers.get_mut(&run.server) {
            server.ends.set_recorded(id);
        }
        // The end of one member is recorded for all members of its gang. Another member uses
        // capacity until its server reports its own end.
        if run.ended {
            self.runs.remove(id.task);
        }
    }

    /// Infers and submits the end of a run that its server did not report.
    pub(crate) fn infer_end(&mut self, task: TaskId, reason: InferredEndReason) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let (attempt, server) = (run.attempt, run.server.clone());
        self.inferred_ends.push(InferredEnd {
            task,
            attempt,
            server,
            reason,
        });
        self.end(EndRecord {
            task,
            attempt,
            end: reason.run_end(),
            checkpoint: String::new(),
        });
    }

    /// Infers the ends of all open runs of a server. Returns whether there were any.
    pub(crate) fn infer_ends_on(&mut self, server: &ServerId, reason: InferredEndReason) -> bool {
        let tasks: Vec<TaskId> = self
            .runs
            .of_server(server)
            .filter(|run| run.is_open())
            .map(|run| run.task)
            .collect();
        for task in &tasks {
            self.infer_end(*task, reason);
        }
        !tasks.is_empty()
    }

    /// Infers the ends of runs that cannot have started, and of runs on unknown servers without a
    /// valid lease. Leases granted by earlier owners count as valid until `bound` proves otherwise.
    /// Checks all runs.
    pub(crate) fn infer_unreported_ends(
        &mut self,
        servers: &ServerTable,
        bound: Option<TakeoverBoundExpired>,
    ) {
        let ended = unreported_ends(self.runs.iter(), servers, bound);
        for (task, reason) in ended {
            self.infer_end(task, reason);
        }
    }

    /// Like [`Self::infer_unreported_ends`], but checks only the runs that may have ended since the
    /// last call.
    pub(crate) fn infer_possible_unreported_ends(
        &mut self,
        servers: &ServerTable,
        bound: Option<TakeoverBoundExpired>,
    ) {
        let ended = unreported_ends(self.runs.take_possibly_ended().into_iter(), servers, bound);
        for (task, reason) in ended {
            self.infer_end(task, reason);
        }
    }

    /// Takes the ends inferred since the last call.
    pub(crate) fn take_inferred_ends(&mut self) -> Vec<InferredEnd> {
        std::mem::take(&mut self.inferred_ends)
    }
}

fn unreported_ends<'a>(
    runs: impl Iterator<Item = &'a Run>,
    servers: &ServerTable,
    bound: Option<TakeoverBoundExpired>,
) -> Vec<(TaskId, InferredEndReason)> {
    runs.filter(|run| run.is_open())
        .filter_map(|run| Some((run.task, unreported_end(run, servers, bound)?)))
        .collect()
}

/// Why an open run is over without a report of its server; `None` if it is not over.
fn unreported_end(
    run: &Run,
    servers: &ServerTable,
    bound: Option<TakeoverBoundExpired>,
) -> Option<InferredEndReason> {
    if run.stop.is_some() && !run.may_be_known_to_server() {
        return Some(InferredEndReason::StoppedBeforeNotification);
    }
    if servers.get(&run.server).is_some() {
        return None;
    }
    match run.origin {
        RunOrigin::Own => Some(InferredEndReason::ServerGoneBeforeNotification),
        RunOrigin::Inherited => bound.map(|_| InferredEndReason::TakeoverBoundExpired),
    }
}
