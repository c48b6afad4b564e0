//! A test bench whose servers run their tasks, and the trace of its rounds.

use crate::bench::{Bench, ModelServer};
use crate::text::{round_text, summary_text};
use lupinrack_cluster_api::agent::{Assignment, OwnerMessage};
use lupinrack_cluster_api::identity::{Attempt, TaskId};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::{RunEnd, RunningTask};
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::ControlState;
use lupinrack_scheduler::Round;
use std::collections::BTreeMap;

/// The interval of heartbeats and rounds, in milliseconds.
const STEP_INTERVAL_MS: u64 = 50;

/// How a server performs its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Runs take as long as estimated.
    #[default]
    Healthy,
    /// Runs take three times as long.
    Slow,
    /// Every run fails at once.
    Failing,
    /// No run makes progress.
    Stalled,
}

pub struct Scenario {
    pub bench: Bench,
    pub behaviors: BTreeMap<u16, Behavior>,
    started_at: BTreeMap<(TaskId, Attempt), u64>,
    text: String,
}

impl Scenario {
    /// Servers of 16 cores with these labels. Machines are numbered from 1.
    pub fn new(labels: &[&[&str]]) -> Scenario {
        let mut bench = Bench::new();
        for (machine, labels) in (1..).zip(labels) {
            bench.attach(machine, 1, labels);
        }
        Scenario {
            bench,
            behaviors: BTreeMap::new(),
            started_at: BTreeMap::new(),
            text: String::new(),
        }
    }

    /// The trace, with a summary of the service at the end.
    pub fn finish(mut self) -> String {
        self.record_summary();
        self.text
    }

    /// Appends the scheduler's present summary of the service to the trace.
    pub fn record_summary(&mut self) {
        let summary = self.bench.scheduler.summary(Millis(self.bench.now));
        self.text.push_str(&summary_text(self.bench.now, &summary));
    }

    /// Runs one round without heartbeats.
    pub fn round(&mut self) -> Round {
        self.round_until(u64::MAX)
    }

    /// Runs one round of an owner whose authority ends at this time.
    pub fn round_until(&mut self, authority_until: u64) -> Round {
        let round = self.bench.round_until(authority_until);
        self.text.push_str(&round_text(self.bench.now, &round));
        round
    }

    /// Advances the time. The servers work and send heartbeats.
    pub fn run_for(&mut self, milliseconds: u64) {
        let until = self.bench.now + milliseconds;
        while self.bench.now < until {
            self.bench.now += STEP_INTERVAL_MS;
            self.work();
            self.exchange_messages();
            self.round();
        }
    }

    /// Advances the time without heartbeats.
    pub fn run_without_heartbeats(&mut self, milliseconds: u64) {
        let until = self.bench.now + milliseconds;
        while self.bench.now < until {
            self.bench.now += STEP_INTERVAL_MS;
            self.round();
        }
    }

    /// Delivers the messages to the servers, and a heartbeat of each server to the scheduler.
    pub fn exchange_messages(&mut self) {
        for (machine, message) in std::mem::take(&mut self.bench.messages) {
            let server = self.bench.servers.get_mut(&machine);
            if let Some(server) = server.filter(|server| server.id == message.server) {
                apply_orders(server, message);
            }
        }
        let machines: Vec<u16> = self.bench.servers.keys().copied().collect();
        machines
            .into_iter()
            .for_each(|machine| self.bench.send_heartbeat(machine));
    }

    /// The server of a machine.
    pub fn server(&mut self, machine: u16) -> &mut ModelServer {
        self.bench
            .servers
            .get_mut(&machine)
            .expect("the server exists")
    }

    /// Ends the runs of a task on all servers.
    pub fn end(&mut self, task: TaskId, end: RunEnd) {
        for server in self.bench.servers.values_mut() {
            let attempt = server
                .running
                .iter()
                .find(|run| run.task == task)
                .map(|run| run.attempt);
            if let Some(attempt) = attempt {
                server.end(task, attempt, end);
            }
        }
    }

    fn work(&mut self) {
        for (machine, server) in &mut self.bench.servers {
            let behavior = self.behaviors.get(machine).copied().unwrap_or_default();
            let mut ended = Vec::new();
            for run in &mut server.running {
                let started_at = *self
                    .started_at
                    .entry((run.task, run.attempt))
                    .or_insert(self.bench.now);
                let Some(step) = step_of(&self.bench.state, run.task) else {
                    continue;
                };
                let worked_ms = self.bench.now - started_at;
                if let Some(end) = work_on(run, step, behavior, worked_ms) {
                    ended.push((run.task, run.attempt, end));
                }
            }
            ended
                .into_iter()
                .for_each(|(task, attempt, end)| server.end(task, attempt, end));
        }
    }
}

/// Applies the orders of one message. A draining server starts no runs, and no server restarts a run that it lists as
/// running or ended.
fn apply_orders(server: &mut ModelServer, message: OwnerMessage) {
    server.orders_seen = message.number;
    for Assignment {
        task,
        attempt,
        checkpoint,
        ..
    } in message.assign
    {
        let is_running = server
            .running
            .iter()
            .any(|run| (run.task, run.attempt) == (task, attempt));
        let has_ended = server
            .finished
            .iter()
            .any(|end| (end.task, end.attempt) == (task, attempt));
        if !(is_running || has_ended || server.draining) {
            server.running.push(RunningTask {
                task,
                attempt,
                checkpoint,
                percent: 0,
            });
        }
    }
    for (task, attempt) in message.stop {
        server.end(task, attempt, RunEnd::Stopped);
    }
    server.finished.retain(|end| end.number > message.observed);
}

/// Sets the progress of a run after `worked_ms` of work. Returns its end if it has ended.
fn work_on(
    run: &mut RunningTask,
    step: &Step,
    behavior: Behavior,
    worked_ms: u64,
) -> Option<RunEnd> {
    let total_ms = match behavior {
        Behavior::Healthy => step.estimate_ms,
        Behavior::Slow => 3 * step.estimate_ms,
        Behavior::Failing => return Some(RunEnd::Failed),
        Behavior::Stalled => return None,
    };
    if step.long_running {
        return None;
    }
    run.percent = (100 * worked_ms / total_ms.max(1)).min(100) as u32;
    if step.checkpoints && run.percent >= 10 {
        run.checkpoint = format!("{}0 %", run.percent / 10);
    }
    (worked_ms >= total_ms).then_some(RunEnd::Done)
}

fn step_of(state: &ControlState, task: TaskId) -> Option<&Step> {
    state.job(task.job)?.spec.steps.get(task.step as usize)
}
