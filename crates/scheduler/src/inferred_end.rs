//! Runs that are over without their server's word: lives that ended, holds that ran out, starts that nobody was told of;
//! and the runs that a new owner finds in the record.

use crate::runs::table::{Run, RunPhase, RunTraits};
use crate::scheduler::Scheduler;
use lupinrack_cluster_api::identity::{Attempt, JobId, ServerId, TaskId};
use lupinrack_cluster_api::operation::{EndRecord, StartRecord};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{ControlState, JobRecord, TaskStatus};

/// Why a run is over although its server did not list its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum InferredEndReason {
    /// its server deregistered
    ServerDeregistered,
    /// a later incarnation runs beside the same agent
    LaterIncarnation,
    /// every lease that its server was granted has expired
    LeaseExpired,
    /// its server is not known, and every lease that an earlier owner granted has expired
    TakeoverBoundPassed,
    /// its server was gone before it was notified of it
    ServerGoneBeforeNotification,
    /// it was stopped before its server was notified of it
    StoppedBeforeNotification,
    /// its server has acknowledged the stop and does not list it
    StopAcknowledged,
}

/// A run that is over without its server's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InferredEnd {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub attempt: Attempt,
    /// The server that it was assigned to.
    pub server: ServerId,
    /// Why it is over.
    pub reason: InferredEndReason,
}

impl Scheduler {
    /// Takes over the runs of the record, in the first round. Those of jobs that are not open any longer are among them:
    /// they may still take room.
    pub(crate) fn adopt(&mut self, state: &ControlState, now: Millis) {
        if self.adopted {
            return;
        }
        self.adopted = true;
        let service = self.service.clone();
        for (job, record) in state
            .jobs()
            .iter()
            .filter(|(_, record)| record.service == service)
        {
            let starts = assigned_starts(job, record);
            if !starts.is_empty() || !record.state.is_final() {
                self.jobs.touch(job);
            }
            starts
                .iter()
                .for_each(|start| self.adopt_start(record, start, now));
        }
    }

    fn adopt_start(&mut self, job: &JobRecord, start: &StartRecord, now: Millis) {
        let Some(step) = job.spec.steps.get(start.task.step as usize) else {
            return;
        };
        let mut run = Run::proposed(start, RunTraits::new(job, step, 1.0), now);
        run.phase = RunPhase::Recorded;
        run.inherited = true;
        self.runs.insert(run);
    }

    /// A life of a server is over, and all that ran in it.
    pub(crate) fn server_gone(&mut self, server: &ServerId, reason: InferredEndReason) {
        self.lapse_runs(server, reason);
        self.withdraw_server(server);
        self.servers.remove(server);
        self.placed.remove(server);
        self.submissions.forget_server(server);
        self.evidence.forget_server(server);
    }

    /// Ends the runs of servers whose hold is over. Servers without a session are forgotten then; the agents of others
    /// are told all their orders anew before they get another hold, since they may still have starts that have lapsed.
    pub(crate) fn expire_servers(&mut self, now: Millis) {
        let heartbeat_timeout_ms = self.settings.heartbeat_timeout_ms;
        let over = self.servers.iter().filter(|(_, server)| {
            now > server.lease_bound && now.since(server.last_contact) > heartbeat_timeout_ms
        });
        let over: Vec<(ServerId, bool)> = over
            .map(|(id, server)| (id.clone(), server.session.is_none()))
            .collect();
        for (server, detached) in over {
            if detached {
                self.server_gone(&server, InferredEndReason::LeaseExpired);
            } else if self.lapse_runs(&server, InferredEndReason::LeaseExpired) {
                self.withdraw_server(&server);
                self.servers.renew_session(&server);
            }
        }
    }

    /// Ends all runs of a server; tells whether there were any.
    fn lapse_runs(&mut self, server: &ServerId, reason: InferredEndReason) -> bool {
        let held = |run: &Run| run.phase == RunPhase::Recorded && !run.ended;
        let tasks: Vec<TaskId> = self
            .runs
            .of_server(server)
            .filter(|run| held(run))
            .map(|run| run.task)
            .collect();
        tasks
            .iter()
            .for_each(|task| self.end_unlisted(*task, reason));
        !tasks.is_empty()
    }

    /// Has the end of a run recorded that its server did not list.
    pub(crate) fn end_unlisted(&mut self, task: TaskId, reason: InferredEndReason) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let (attempt, server) = (run.attempt, run.server.clone());
        let end = match reason {
            InferredEndReason::StoppedBeforeNotification | InferredEndReason::StopAcknowledged => {
                RunEnd::Stopped
            }
            _ => RunEnd::LeaseExpired,
        };
        self.inferred_ends.push(InferredEnd {
            task,
            attempt,
            server,
            reason,
        });
        self.end_run(EndRecord {
            task,
            attempt,
            end,
            checkpoint: String::new(),
        });
    }

    /// Ends runs that provably never began, and those whose server is not known and cannot hold them any longer.
    pub(crate) fn settle_runs(&mut self, now: Millis) {
        let recorded = self
            .runs
            .iter()
            .filter(|run| run.phase == RunPhase::Recorded && !run.ended);
        let over: Vec<(TaskId, InferredEndReason)> = recorded
            .filter_map(|run| Some((run.task, self.settled_by(run, now)?)))
            .collect();
        over.into_iter()
            .for_each(|(task, reason)| self.end_unlisted(task, reason));
    }

    fn settled_by(&self, run: &Run, now: Millis) -> Option<InferredEndReason> {
        if run.stop.is_some() && !run.may_be_known() {
            return Some(InferredEndReason::StoppedBeforeNotification);
        }
        if self.servers.get(&run.server).is_some() {
            return None;
        }
        match run.inherited {
            false => Some(InferredEndReason::ServerGoneBeforeNotification),
            true => (now > self.takeover_bound).then_some(InferredEndReason::TakeoverBoundPassed),
        }
    }
}

/// The starts of a job that were recorded and have not ended.
fn assigned_starts(job: JobId, record: &JobRecord) -> Vec<StartRecord> {
    let mut starts = Vec::new();
    for (occurrence, times) in &record.occurrences {
        for (step, tasks) in times.steps.iter().enumerate() {
            for (index, task) in tasks.iter().enumerate() {
                let TaskStatus::Assigned { server } = &task.status else {
                    continue;
                };
                let id = TaskId {
                    job,
                    occurrence: *occurrence,
                    step: step as u32,
                    index: index as u32,
                };
                starts.push(StartRecord {
                    task: id,
                    attempt: task.attempt,
                    server: server.clone(),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
    }
    starts
}
