//! Reads heartbeats: progress and ends of runs, unexpected runs, and acknowledged stops.

use crate::history::History;
use crate::inferred_end::InferredEndReason;
use crate::jobs::open_jobs::OpenJobs;
use crate::policy::SchedulingPolicy;
use crate::recorded::is_assigned;
use crate::run_id::RunId;
use crate::run_tracker::RunTracker;
use crate::runs::run::Run;
use crate::servers::server::{HeartbeatOrigin, UnexpectedRun, UnreadHeartbeat};
use crate::servers::table::ServerTable;
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{ServerId, TaskId};
use lupinrack_cluster_api::operation::EndRecord;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask};
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::ControlState;
use std::borrow::Cow;
use std::collections::BTreeSet;

/// Servers list at most this many ends in one heartbeat (`MAX_LISTED_ENDS` of
/// `lupinrack-worker-agent`), so a list of this length may be incomplete.
const MAX_ENDS_LISTED: usize = 500;

/// Applies the reports in heartbeats to the owner's state.
#[derive(Debug)]
pub(crate) struct HeartbeatReader<'a> {
    pub(crate) state: &'a ControlState,
    pub(crate) servers: &'a mut ServerTable,
    pub(crate) tracker: &'a mut RunTracker,
    pub(crate) jobs: &'a mut OpenJobs,
    /// The durations, faults and speeds learned from runs.
    pub(crate) history: &'a mut History,
    /// The mechanisms that are enabled, among them those that learn.
    pub(crate) policy: SchedulingPolicy,
    /// The time of the round.
    pub(crate) now: Millis,
}

impl HeartbeatReader<'_> {
    /// Reads the newest heartbeat of each server that has sent one since the last round.
    pub(crate) fn read_all(&mut self) {
        for (server, unread) in self.servers.take_unread() {
            self.read(&server, &unread);
        }
    }

    fn read(&mut self, server: &ServerId, unread: &UnreadHeartbeat) {
        let heartbeat = &self.with_tasks(&unread.heartbeat);
        for finished in &heartbeat.finished {
            self.apply_end(server, finished);
        }
        for running in &heartbeat.running {
            self.apply_progress(server, running, unread.received_at);
        }
        self.drop_ended_unexpected(server, heartbeat);
        if unread.origin == HeartbeatOrigin::Report {
            self.infer_acknowledged_stops(server, heartbeat);
        }
    }

    /// A heartbeat with the tasks of this system in place of their names on servers.
    fn with_tasks<'h>(&self, heartbeat: &'h Heartbeat) -> Cow<'h, Heartbeat> {
        let jobs = self.state.jobs();
        if jobs.namesakes().is_empty() {
            return Cow::Borrowed(heartbeat);
        }
        let mut heartbeat = heartbeat.clone();
        for run in &mut heartbeat.running {
            run.task = jobs.task_of_run(run.task, run.attempt);
        }
        for end in &mut heartbeat.finished {
            end.task = jobs.task_of_run(end.task, end.attempt);
        }
        Cow::Owned(heartbeat)
    }

    /// Applies a listed end: frees the capacity of the run, and submits the end if the replicated
    /// state does not have it yet.
    fn apply_end(&mut self, server: &ServerId, finished: &FinishedTask) {
        let run = RunId::new(finished.task, finished.attempt);
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        if !entry.ends.add(finished.number, run) {
            return;
        }
        if self.tracker.runs.on_server(server, run).is_some() {
            self.learn_from_end(server, finished);
            self.tracker.runs.set_ended(run.task);
        }
        if is_assigned(self.state, server, run) {
            self.tracker.end(EndRecord {
                task: finished.task,
                attempt: finished.attempt,
                end: finished.end,
                checkpoint: finished.checkpoint.clone(),
            });
        } else {
            self.tracker.end_recorded(self.servers, run);
            self.jobs.set_changed(run.task.job);
        }
    }

    fn learn_from_end(&mut self, server: &ServerId, finished: &FinishedTask) {
        let Some(run) = self.tracker.runs.get(finished.task) else {
            return;
        };
        match finished.end {
            RunEnd::Done => {
                self.history.faults.record_success(server, finished.task);
                learn_duration(self.history, self.policy, server, run, self.now);
            }
            RunEnd::Failed if !run.profile.long_running => {
                let faults = &mut self.history.faults;
                faults.record_fault(server, finished.task, self.now);
            }
            _ => {}
        }
    }

    fn apply_progress(&mut self, server: &ServerId, listed: &RunningTask, at: Millis) {
        let run = RunId::new(listed.task, listed.attempt);
        let known = self.tracker.runs.on_server(server, run);
        if known.is_some_and(Run::is_open) {
            self.tracker.runs.record_progress(listed, at);
            return;
        }
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        let needs = self
            .state
            .job(run.task.job)
            .and_then(|job| job.step(run.task.step))
            .map_or(entry.facts.capacity, |step| step.needs);
        entry.unexpected.entry(run).or_insert(UnexpectedRun {
            needs,
            stop_order: None,
        });
    }

    /// Drops unexpected runs that the server no longer lists as running.
    fn drop_ended_unexpected(&mut self, server: &ServerId, heartbeat: &Heartbeat) {
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        if !entry.unexpected.is_empty() {
            let running = running_ids(heartbeat);
            entry.unexpected.retain(|run, _| running.contains(run));
        }
    }

    /// Infers the ends of runs whose stop the server has acknowledged and that it does not list.
    /// The server will never start such a run.
    fn infer_acknowledged_stops(&mut self, server: &ServerId, heartbeat: &Heartbeat) {
        if heartbeat.finished.len() >= MAX_ENDS_LISTED {
            return;
        }
        let session = self
            .servers
            .get(server)
            .and_then(|entry| entry.session.as_ref());
        let Some(session) = session else {
            return;
        };
        let is_acknowledged = |run: &&Run| {
            let was_received = run.stop_order.is_some_and(|order| {
                order.session == session.id && order.number <= heartbeat.orders_seen
            });
            was_received && !run.ended
        };
        let mut acknowledged = self
            .tracker
            .runs
            .of_server(server)
            .filter(is_acknowledged)
            .peekable();
        if acknowledged.peek().is_none() {
            return;
        }
        let listed = listed_ids(heartbeat);
        let stopped: Vec<TaskId> = acknowledged
            .filter(|run| !listed.contains(&run.id()))
            .map(|run| run.task)
            .collect();
        for task in stopped {
            self.tracker
                .infer_end(task, InferredEndReason::StopAcknowledged);
        }
    }
}

/// Learns from the duration of a successful run, if the duration is a usable sample.
fn learn_duration(
    history: &mut History,
    policy: SchedulingPolicy,
    server: &ServerId,
    run: &Run,
    now: Millis,
) {
    let Some(since) = run.running_since.filter(|_| run.is_duration_sample()) else {
        return;
    };
    let queue = &run.profile.queue;
    let measured_ms = now.since(since);
    let estimated_ms = run.profile.estimate_ms as f64 * run.profile.distance_factor;
    let expected_ms = estimated_ms * history.durations.ratio(queue);
    if policy.learns_speeds {
        let ratio = measured_ms as f64 / expected_ms.max(1.0);
        history.speeds.record(server, ratio, now);
    }
    if policy.learns_durations {
        history.durations.learn(queue, estimated_ms, measured_ms);
    }
}

fn running_ids(heartbeat: &Heartbeat) -> BTreeSet<RunId> {
    let running = heartbeat.running.iter();
    running
        .map(|run| RunId::new(run.task, run.attempt))
        .collect()
}

/// The runs that the server lists as running or finished.
fn listed_ids(heartbeat: &Heartbeat) -> BTreeSet<RunId> {
    let mut listed = running_ids(heartbeat);
    let finished = heartbeat.finished.iter();
    listed.extend(finished.map(|end| RunId::new(end.task, end.attempt)));
    listed
}
