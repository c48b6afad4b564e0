//! The scheduler of one service: its state, and what happens in a round.

use crate::history::durations::Durations;
use crate::history::faults::Evidence;
use crate::inferred_end::{InferredEnd, InferredEndReason};
use crate::jobs::plan::{JobBoard, JobView};
use crate::placement::headroom::UrgentUse;
use crate::queues::task_queues::QueuedTask;
use crate::runs::table::{Run, RunLedger, RunPhase, RunTraits, StopReason};
use crate::servers::table::{Attachment, ReportTimes, ServerTable};
use crate::settings::SchedulerSettings;
use crate::submissions::Submissions;
use lupinrack_cluster_api::agent::{AgentMessage, Heartbeat, OwnerMessage};
use lupinrack_cluster_api::identity::{
    FencingToken, JobId, PeerAddress, QueueName, ServerId, ServiceName, TaskId,
};
use lupinrack_cluster_api::operation::{Operation, OperationResult, StartRecord};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::ControlState;
use lupinrack_dispatch::Dispatcher;
use std::collections::{BTreeMap, BTreeSet};

/// A message to an agent, and the connection that it goes out on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentOrder {
    /// The agent.
    pub agent: PeerAddress,
    /// The connection of its session.
    pub connection: u64,
    /// The message.
    pub message: OwnerMessage,
}

/// What a round came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Operations that are to be submitted to the head, in this order.
    pub operations: Vec<Operation>,
    /// Messages that are to be sent to agents.
    pub messages: Vec<AgentOrder>,
    /// Runs whose ends are among the operations although their servers did not list them.
    pub inferred_ends: Vec<InferredEnd>,
}

/// What the owner of a service's shard decides. A state machine without I/O: messages, applied operations and moments
/// come in, operations and messages go out.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) service: ServiceName,
    pub(crate) token: FencingToken,
    pub(crate) settings: SchedulerSettings,
    /// Up to when runs may be held that were granted by earlier owners.
    pub(crate) takeover_bound: Millis,
    pub(crate) adopted: bool,
    /// Servers whose place is recorded and was looked at.
    pub(crate) placed: BTreeSet<ServerId>,
    pub(crate) servers: ServerTable,
    pub(crate) runs: RunLedger,
    pub(crate) jobs: JobBoard,
    pub(crate) evidence: Evidence,
    pub(crate) durations: Durations,
    pub(crate) urgent_use: UrgentUse,
    pub(crate) submissions: Submissions,
    pub(crate) dispatcher: Dispatcher<ServerId, QueueName, TaskId>,
    pub(crate) queued: BTreeMap<TaskId, QueuedTask>,
    /// Runs that were found to be over without their servers' word since the last round.
    pub(crate) inferred_ends: Vec<InferredEnd>,
}

impl Scheduler {
    /// The scheduler of a service from the moment on at which its `TakeShard` was applied here.
    pub fn new(
        service: ServiceName,
        token: FencingToken,
        settings: SchedulerSettings,
        now: Millis,
    ) -> Scheduler {
        Scheduler {
            takeover_bound: now.plus(settings.takeover_bound_ms()),
            adopted: false,
            placed: BTreeSet::new(),
            servers: ServerTable::default(),
            runs: RunLedger::default(),
            jobs: JobBoard::default(),
            evidence: Evidence::default(),
            durations: Durations::default(),
            urgent_use: UrgentUse::default(),
            submissions: Submissions::new(service.clone(), token, settings.resubmit_ms),
            dispatcher: Dispatcher::new(settings.dispatch),
            queued: BTreeMap::new(),
            inferred_ends: Vec::new(),
            service,
            token,
            settings,
        }
    }

    /// The token under which it acts.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Takes a message from an agent.
    pub fn receive(
        &mut self,
        agent: PeerAddress,
        connection: u64,
        message: AgentMessage,
        now: Millis,
    ) {
        match message {
            AgentMessage::Attach {
                facts,
                token: _,
                heartbeat,
                sent_at,
            } => {
                let report = ReportTimes {
                    sent_at,
                    received_at: now,
                };
                self.attach(
                    Attachment {
                        agent,
                        connection,
                        facts,
                        heartbeat,
                        report,
                    },
                    now,
                );
            }
            AgentMessage::Report { heartbeat, sent_at } => {
                let report = ReportTimes {
                    sent_at,
                    received_at: now,
                };
                self.report(agent, connection, heartbeat, report);
            }
            AgentMessage::Deregister { server } => {
                if self
                    .servers
                    .in_session(agent, connection)
                    .is_some_and(|known| known.facts.id == server)
                {
                    self.server_gone(&server, InferredEndReason::ServerDeregistered);
                }
            }
        }
    }

    /// Notes that a connection to an agent has ended.
    pub fn disconnected(&mut self, agent: PeerAddress, connection: u64) {
        self.servers.detach(agent, connection);
    }

    fn attach(&mut self, attachment: Attachment, now: Millis) {
        if attachment.facts.service == self.service {
            // Which of two lives beside one agent is over is decided by the record, in the next round.
            self.placed.remove(&attachment.facts.id);
            self.servers
                .attach(attachment, self.takeover_bound.max(now));
        }
    }

    fn report(
        &mut self,
        agent: PeerAddress,
        connection: u64,
        heartbeat: Option<Heartbeat>,
        report: ReportTimes,
    ) {
        let Some(server) = self.servers.in_session(agent, connection) else {
            return;
        };
        server.heard(report);
        if let Some(heartbeat) = heartbeat.filter(|heartbeat| heartbeat.server == server.facts.id) {
            server.take_heartbeat(heartbeat, true, report.received_at);
        }
    }

    /// Notes an operation that the local replica has applied, for whatever service.
    pub fn applied(&mut self, operation: &Operation, result: &OperationResult, now: Millis) {
        match operation {
            Operation::AcceptJob { job, .. } | Operation::CancelJob { job, .. } => {
                self.jobs.touch(*job)
            }
            Operation::RecordStarts {
                service,
                token,
                starts,
            } if *service == self.service => {
                if let (true, OperationResult::Starts(taken)) = (*token == self.token, result) {
                    self.starts_applied(starts, taken, now);
                }
            }
            Operation::RecordEnds { service, ends, .. }
                if *service == self.service && !matches!(result, OperationResult::Refused(_)) =>
            {
                ends.iter()
                    .for_each(|end| self.end_is_recorded(end.task, end.attempt));
            }
            _ => {}
        }
    }

    fn starts_applied(&mut self, starts: &[StartRecord], taken: &[bool], now: Millis) {
        self.submissions.starts_applied(starts);
        for (start, taken) in starts.iter().zip(taken) {
            self.jobs.touch(start.task.job);
            let proposed = self
                .runs
                .on_server(&start.server, start.task, start.attempt);
            match (proposed.map(|run| run.phase), taken) {
                (Some(RunPhase::Proposed), true) => self.start_is_recorded(start.task, now),
                (Some(RunPhase::Proposed), false) => {
                    self.runs.remove(start.task);
                }
                // A copy that was submitted again; the first one counted.
                (Some(RunPhase::Recorded), _) | (None, false) => {}
                (None, true) => self.adopt_orphan(start, now),
            }
        }
    }

    fn start_is_recorded(&mut self, task: TaskId, now: Millis) {
        if let Some(run) = self.runs.get_mut(task) {
            run.phase = RunPhase::Recorded;
            run.progressed_at = now;
        }
    }

    /// A start was recorded although this scheduler holds no reservation for it. It is stopped; whether its server was
    /// told of it, only the server can say.
    fn adopt_orphan(&mut self, start: &StartRecord, now: Millis) {
        let traits = RunTraits::unknown();
        let mut run = Run::proposed(start, traits, now);
        run.phase = RunPhase::Recorded;
        run.inherited = true;
        run.stop = Some(StopReason::Orphaned);
        self.runs.insert(run);
    }

    /// Decides what is to be done now. `authority_until` is the moment up to which this process may act as the owner:
    /// no message goes out after it.
    pub fn round(
        &mut self,
        state: &ControlState,
        now: Millis,
        wall: WallMillis,
        authority_until: Millis,
    ) -> Round {
        self.adopt(state, now);
        self.read_heartbeats(state, now);
        self.expire_servers(now);
        self.follow_places(state);
        let closed = self.refresh_jobs(state, now, wall);
        closed.into_iter().for_each(|job| self.close_job(job));
        self.settle_runs(now);
        let has_authority = now < authority_until;
        if has_authority {
            self.place(state, now, wall);
        }
        let operations = self.submissions.due(now, wall);
        let messages = if has_authority {
            self.orders(state, now)
        } else {
            Vec::new()
        };
        Round {
            operations,
            messages,
            inferred_ends: std::mem::take(&mut self.inferred_ends),
        }
    }

    fn refresh_jobs(&mut self, state: &ControlState, now: Millis, wall: WallMillis) -> Vec<JobId> {
        let view = JobView {
            state,
            service: &self.service,
            room: self.servers.total_capacity(),
            durations: &self.durations,
            now,
            wall,
        };
        self.jobs.refresh(&view)
    }

    /// Stops all that is left of a job that is not open any longer.
    fn close_job(&mut self, job: JobId) {
        let runs: Vec<TaskId> = self.runs.of_job(job).map(|run| run.task).collect();
        runs.into_iter()
            .for_each(|task| self.stop_run(task, StopReason::JobClosed));
        self.withdraw_job(job);
        self.evidence.forget_job(job);
    }

    /// Has a run stopped, with the other members of its gang.
    pub(crate) fn stop_run(&mut self, task: TaskId, reason: StopReason) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let mut members = vec![task];
        if run.traits.gang {
            let attempt = run.attempt;
            let gang = self.runs.of_step(task.job, task.occurrence, task.step);
            members.extend(
                gang.filter(|member| member.attempt == attempt)
                    .map(|member| member.task),
            );
        }
        for member in members {
            if let Some(run) = self.runs.get_mut(member).filter(|run| !run.ended) {
                run.stop.get_or_insert(reason);
            }
        }
    }
}
