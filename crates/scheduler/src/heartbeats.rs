//! Reading of heartbeats: progress, ends, runs that no record asks for, and proofs that a stopped run never runs.

use crate::inferred_end::InferredEndReason;
use crate::runs::table::{Run, RunPhase, StopReason};
use crate::scheduler::Scheduler;
use crate::servers::table::{ForeignRun, Server, UnreadHeartbeat};
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::operation::EndRecord;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask};
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{ControlState, TaskStatus};
use std::collections::BTreeSet;

/// A list of ends of this length may have been cut.
const ENDS_LISTED_MOST: usize = 500;

/// A heartbeat with what its server's runs are checked against.
struct Reading<'a> {
    server: &'a ServerId,
    unread: &'a UnreadHeartbeat,
    /// Runs in either list.
    listed: BTreeSet<(TaskId, Attempt)>,
}

impl Scheduler {
    /// Reads the newest heartbeat of every server that sent one since the last round.
    pub(crate) fn read_heartbeats(&mut self, state: &ControlState, now: Millis) {
        let take =
            |(id, server): (&ServerId, &mut Server)| Some((id.clone(), server.unread.take()?));
        let unread: Vec<_> = self.servers.iter_mut().filter_map(take).collect();
        for (server, unread) in unread {
            self.read_heartbeat(state, &server, &unread, now);
        }
    }

    fn read_heartbeat(
        &mut self,
        state: &ControlState,
        server: &ServerId,
        unread: &UnreadHeartbeat,
        now: Millis,
    ) {
        let heartbeat = &unread.heartbeat;
        for finished in &heartbeat.finished {
            self.read_end(state, server, finished, now);
        }
        for running in &heartbeat.running {
            self.read_progress(state, server, running, unread.received_at);
        }
        let reading = Reading {
            server,
            unread,
            listed: listed(heartbeat),
        };
        self.forget_foreign(&reading);
        self.prove_stops(&reading);
    }

    /// Takes in a listed end: frees its room, and has it recorded if the record waits for it.
    fn read_end(
        &mut self,
        state: &ControlState,
        server: &ServerId,
        finished: &FinishedTask,
        now: Millis,
    ) {
        let FinishedTask {
            number,
            task,
            attempt,
            ..
        } = *finished;
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        if !entry.ends.list(number, task, attempt) {
            return;
        }
        if self.runs.on_server(server, task, attempt).is_some() {
            self.learn_from_end(server, finished, now);
            self.runs.end(task);
        }
        if is_assigned(state, server, task, attempt) {
            let record = EndRecord {
                task,
                attempt,
                end: finished.end,
                checkpoint: finished.checkpoint.clone(),
            };
            self.end_run(record);
        } else {
            self.end_is_recorded(task, attempt);
        }
    }

    /// Has an end recorded, with the newest checkpoint that is known.
    pub(crate) fn end_run(&mut self, mut record: EndRecord) {
        self.runs.end(record.task);
        if let Some(run) = self
            .runs
            .get(record.task)
            .filter(|run| run.attempt == record.attempt)
        {
            if record.checkpoint.is_empty() {
                record.checkpoint.clone_from(&run.checkpoint);
            }
            // The others of a gang cannot go on alone.
            if record.end != RunEnd::Done && run.traits.gang {
                self.stop_run(record.task, StopReason::GangBroken);
            }
        }
        self.submissions.add_end(record);
    }

    fn learn_from_end(&mut self, server: &ServerId, finished: &FinishedTask, now: Millis) {
        let Some(run) = self.runs.get(finished.task) else {
            return;
        };
        match finished.end {
            RunEnd::Done => {
                self.evidence.success(server, finished.task);
                if let Some(since) = run.running_since.filter(|_| run.shows_duration()) {
                    let expected = run.traits.estimate_ms as f64 * run.traits.distance_factor;
                    let (actual, ratio) =
                        (now.since(since), self.durations.ratio(&run.traits.queue));
                    self.evidence
                        .took(server, actual as f64 / (expected * ratio).max(1.0), now);
                    self.durations.learn(&run.traits.queue, expected, actual);
                }
            }
            RunEnd::Failed if !run.traits.long_running => {
                self.evidence.fault(server, finished.task, now)
            }
            _ => {}
        }
    }

    fn read_progress(
        &mut self,
        state: &ControlState,
        server: &ServerId,
        running: &RunningTask,
        at: Millis,
    ) {
        let (task, attempt) = (running.task, running.attempt);
        let ours = self.runs.on_server(server, task, attempt);
        if ours.is_some_and(|run| run.phase == RunPhase::Recorded && !run.ended) {
            if let Some(run) = self.runs.get_mut(task) {
                note_progress(run, running, at);
            }
            return;
        }
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        let needs = needs_of(state, task).unwrap_or(entry.facts.capacity);
        entry.foreign.entry((task, attempt)).or_insert(ForeignRun {
            needs,
            stop_sent: None,
        });
    }

    /// Drops foreign runs that are not listed as running any longer.
    fn forget_foreign(&mut self, reading: &Reading<'_>) {
        let Some(entry) = self.servers.get_mut(reading.server) else {
            return;
        };
        let running = |key: &(TaskId, Attempt)| {
            reading
                .unread
                .heartbeat
                .running
                .iter()
                .any(|run| (run.task, run.attempt) == *key)
        };
        entry.foreign.retain(|key, _| running(key));
    }

    /// A run whose stop was in the orders that the server has seen, and which it lists nowhere, never runs.
    fn prove_stops(&mut self, reading: &Reading<'_>) {
        let heartbeat = &reading.unread.heartbeat;
        if !reading.unread.of_session || heartbeat.finished.len() >= ENDS_LISTED_MOST {
            return;
        }
        let Some(session) = self
            .servers
            .get(reading.server)
            .and_then(|server| server.session.as_ref())
        else {
            return;
        };
        let proven = |run: &&Run| {
            let seen = run.stop_sent.is_some_and(|sent| {
                sent.session == session.id && sent.number <= heartbeat.orders_seen
            });
            seen && !run.ended && !reading.listed.contains(&(run.task, run.attempt))
        };
        let stopped: Vec<TaskId> = self
            .runs
            .of_server(reading.server)
            .filter(proven)
            .map(|run| run.task)
            .collect();
        stopped
            .into_iter()
            .for_each(|task| self.end_unlisted(task, InferredEndReason::StopAcknowledged));
    }

    /// Notes that the record has taken note of an end, or never will.
    pub(crate) fn end_is_recorded(&mut self, task: TaskId, attempt: Attempt) {
        self.submissions.end_applied(task, attempt);
        self.jobs.touch(task.job);
        let run = self.runs.get(task).filter(|run| run.attempt == attempt);
        let Some((server, ended)) = run.map(|run| (run.server.clone(), run.ended)) else {
            self.observe_anywhere(task, attempt);
            return;
        };
        self.observe(&server, task, attempt);
        // A member of a gang whose end another one stood for still takes room until its own end is listed.
        if ended {
            self.runs.remove(task);
        }
    }

    fn observe(&mut self, server: &ServerId, task: TaskId, attempt: Attempt) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.ends.recorded(task, attempt);
        }
    }

    fn observe_anywhere(&mut self, task: TaskId, attempt: Attempt) {
        for (_, entry) in self.servers.iter_mut() {
            entry.ends.recorded(task, attempt);
        }
    }
}

fn listed(heartbeat: &Heartbeat) -> BTreeSet<(TaskId, Attempt)> {
    let running = heartbeat.running.iter().map(|run| (run.task, run.attempt));
    running
        .chain(heartbeat.finished.iter().map(|end| (end.task, end.attempt)))
        .collect()
}

fn note_progress(run: &mut Run, running: &RunningTask, at: Millis) {
    if run.running_since.is_none() {
        run.running_since = Some(at);
        run.progressed_at = at;
        run.saved_at = at;
    }
    if run.percent != running.percent {
        run.percent = running.percent;
        run.progressed_at = at;
    }
    if !running.checkpoint.is_empty() && run.checkpoint != running.checkpoint {
        run.checkpoint.clone_from(&running.checkpoint);
        run.saved_at = at;
    }
}

/// What a task needs, where its job is known.
fn needs_of(state: &ControlState, task: TaskId) -> Option<Resources> {
    let steps = &state.job(task.job)?.spec.steps;
    steps.get(task.step as usize).map(|step| step.needs)
}

/// Whether the record has this start assigned to this server.
pub(crate) fn is_assigned(
    state: &ControlState,
    server: &ServerId,
    task: TaskId,
    attempt: Attempt,
) -> bool {
    let job = state.job(task.job);
    let record = job.and_then(|job| job.task(task.occurrence, task.step, task.index));
    record.is_some_and(|record| {
        record.attempt == attempt
            && matches!(&record.status, TaskStatus::Assigned { server: assigned } if assigned == server)
    })
}
