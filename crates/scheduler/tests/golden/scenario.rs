//! A bench whose servers do what they are given, and the trace of its rounds.

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

/// Between two heartbeats of every server, and two rounds, in milliseconds.
const STEP_MS: u64 = 50;

/// What a server does with what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Conduct {
    /// Work takes as long as estimated.
    #[default]
    Sound,
    /// Work takes three times as long.
    Slow,
    /// Everything fails at once.
    Failing,
    /// Nothing moves.
    Still,
}

pub struct Scenario {
    pub bench: Bench,
    pub conduct: BTreeMap<u16, Conduct>,
    began: BTreeMap<(TaskId, Attempt), u64>,
    text: String,
}

impl Scenario {
    /// Servers of 16 cores with these labels, beside agents of the numbers from 1 on.
    pub fn new(labels: &[&[&str]]) -> Scenario {
        let mut bench = Bench::new();
        for (machine, labels) in (1..).zip(labels) {
            bench.attach(machine, 1, labels);
        }
        Scenario {
            bench,
            conduct: BTreeMap::new(),
            began: BTreeMap::new(),
            text: String::new(),
        }
    }

    /// What was decided, and the service as it is summed up in the end.
    pub fn finish(mut self) -> String {
        self.note_summary();
        self.text
    }

    /// Writes down how the scheduler sums its service up now.
    pub fn note_summary(&mut self) {
        let summary = self.bench.scheduler.summary(Millis(self.bench.now));
        self.text.push_str(&summary_text(self.bench.now, &summary));
    }

    /// One round, without a word from the servers.
    pub fn round(&mut self) -> Round {
        self.round_until(u64::MAX)
    }

    /// One round of an owner whose authority ends at this time.
    pub fn round_until(&mut self, authority_until: u64) -> Round {
        let round = self.bench.round_until(authority_until);
        self.text.push_str(&round_text(self.bench.now, &round));
        round
    }

    /// Moves on while the servers work and beat.
    pub fn run_for(&mut self, milliseconds: u64) {
        let until = self.bench.now + milliseconds;
        while self.bench.now < until {
            self.bench.now += STEP_MS;
            self.work();
            self.follow();
            self.round();
        }
    }

    /// Moves on without a word from the servers.
    pub fn silent_for(&mut self, milliseconds: u64) {
        let until = self.bench.now + milliseconds;
        while self.bench.now < until {
            self.bench.now += STEP_MS;
            self.round();
        }
    }

    /// The servers take the messages that are on their way, and beat.
    pub fn follow(&mut self) {
        for (machine, message) in std::mem::take(&mut self.bench.messages) {
            let server = self.bench.servers.get_mut(&machine);
            if let Some(server) = server.filter(|server| server.id == message.server) {
                take_orders(server, message);
            }
        }
        let machines: Vec<u16> = self.bench.servers.keys().copied().collect();
        machines
            .into_iter()
            .for_each(|machine| self.bench.send_heartbeat(machine));
    }

    /// A server or its agent, as it is now.
    pub fn server(&mut self, machine: u16) -> &mut ModelServer {
        self.bench
            .servers
            .get_mut(&machine)
            .expect("the server exists")
    }

    /// Ends a run wherever it runs.
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
            let conduct = self.conduct.get(machine).copied().unwrap_or_default();
            let mut over = Vec::new();
            for run in &mut server.running {
                let began = *self
                    .began
                    .entry((run.task, run.attempt))
                    .or_insert(self.bench.now);
                let Some(step) = step_of(&self.bench.state, run.task) else {
                    continue;
                };
                let worked_ms = self.bench.now - began;
                if let Some(end) = work_on(run, step, conduct, worked_ms) {
                    over.push((run.task, run.attempt, end));
                }
            }
            over.into_iter()
                .for_each(|(task, attempt, end)| server.end(task, attempt, end));
        }
    }
}

/// A server that drains starts nothing; what runs or has ended there is not started again.
fn take_orders(server: &mut ModelServer, message: OwnerMessage) {
    server.orders_seen = message.number;
    for Assignment {
        task,
        attempt,
        checkpoint,
        ..
    } in message.assign
    {
        let runs = server
            .running
            .iter()
            .any(|run| (run.task, run.attempt) == (task, attempt));
        let ended = server
            .finished
            .iter()
            .any(|end| (end.task, end.attempt) == (task, attempt));
        if !(runs || ended || server.draining) {
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

/// Moves a run on to where it is after so much work; gives its end if it is over.
fn work_on(run: &mut RunningTask, step: &Step, conduct: Conduct, worked_ms: u64) -> Option<RunEnd> {
    let total_ms = match conduct {
        Conduct::Sound => step.estimate_ms,
        Conduct::Slow => 3 * step.estimate_ms,
        Conduct::Failing => return Some(RunEnd::Failed),
        Conduct::Still => return None,
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
