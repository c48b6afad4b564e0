//! Task runs on the simulated servers: starts, progress, ends.

use crate::gangs::gang_key;
use crate::oracle::{ExpectedJob, ObservedStart, TimeBounds};
use crate::server::{HeartbeatReply, ServerBehavior, ServerRun, StartCommand};
use crate::world::World;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::server::RunEnd;
use std::collections::BTreeSet;

/// Longest time from the stop order to the end of a run (exclusive), in milliseconds.
const MAX_STOP_MS: u64 = 400;
/// Work of a run between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL_MS: f64 = 1_000.0;
/// Time that a run takes to restore its checkpoint, in milliseconds.
const RESTORE_MS: u64 = 200;
/// Factor on the run time on a server without the label that the step prefers.
const WITHOUT_LABEL_FACTOR: f64 = 1.5;
/// Factor on the run time on a slow server.
const SLOW_FACTOR: f64 = 4.0;
/// Time from a server's graceful shutdown until it restarts, in milliseconds.
const RESTART_MS: u64 = 500;
/// Run time until a failing server fails a task, in milliseconds.
const FAILURE_AFTER_MS: u64 = 100;

impl World {
    /// Applies the reply to a server's heartbeat.
    pub(crate) fn answer(&mut self, machine: usize, incarnation: u64, answer: &HeartbeatReply) {
        let now = self.now;
        if self.server_slots[machine].incarnation != incarnation {
            return;
        }
        let Some(server) = self.server_slots[machine].server.as_mut() else {
            return;
        };
        if server.refuses(answer) {
            let agent = self.machines[self.agent_of(machine)].incarnation;
            self.oracle.token_refused(machine, agent, answer.token, now);
        }
        let Some(server) = self.server_slots[machine].server.as_mut() else {
            return;
        };
        if !server.take_reply(answer, now) {
            return;
        }
        let observed = server.observe(answer.observed);
        for end in observed {
            let task = end.finished.task;
            match end.finished.end {
                RunEnd::Done if !end.lease_expired_since => {
                    self.oracle.done_observed(task, end.at, now);
                }
                RunEnd::Failed if !end.lease_expired_since => self.oracle.failure_observed(task),
                _ => {}
            }
        }
        for (task, attempt) in &answer.stops {
            let Some(server) = self.server_slots[machine].server.as_mut() else {
                return;
            };
            if let Some(run) = server
                .runs
                .get_mut(task)
                .filter(|run| run.attempt == *attempt)
            {
                let stops_at = now + self.rng.u64(20..MAX_STOP_MS);
                run.stops_at.get_or_insert(stops_at);
            }
        }
        for start in &answer.starts {
            self.start(machine, start);
        }
    }

    fn start(&mut self, machine: usize, start: &StartCommand) {
        let now = self.now;
        let slot = &self.server_slots[machine];
        let Some(server) = slot.server.as_ref() else {
            return;
        };
        if now >= server.lease_until || !server.is_newer(start.task, start.attempt) {
            return;
        }
        let StartCommand {
            task,
            attempt,
            spec,
            checkpoint,
        } = start;
        let siblings = server.runs.keys().filter(|other| {
            other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
        });
        let observed_start = ObservedStart {
            now,
            machine,
            incarnation: slot.incarnation,
            task: *task,
            attempt: *attempt,
            spec,
            checkpoint,
            used: server.used(),
            capacity: server.facts.capacity,
            labels: &server.facts.labels,
            service: &server.facts.service.0,
            siblings: siblings.count() as u32,
            draining_since: server.draining_since,
            wall: self.wall(),
        };
        let time_bounds = self.time_bounds();
        self.oracle.start(&observed_start, time_bounds);
        if let Some(run) = self.new_run(machine, start) {
            if let Some(server) = self.server_slots[machine].server.as_mut() {
                server.runs.insert(start.task, run);
            }
        }
    }

    fn new_run(&self, machine: usize, start: &StartCommand) -> Option<ServerRun> {
        let expected = self.oracle.jobs.get(&start.task.job)?;
        let step = expected.spec.steps.get(start.task.step as usize)?;
        let server = self.server_slots[machine].server.as_ref()?;
        let near = step.affinity.is_empty() || server.facts.labels.contains(&step.affinity);
        let factor = expected.work_factor * if near { 1.0 } else { WITHOUT_LABEL_FACTOR };
        let total_ms = step.estimate_ms as f64 * factor;
        let part: f64 = start
            .checkpoint
            .rsplit('/')
            .next()
            .and_then(|part| part.parse().ok())
            .unwrap_or(0.0);
        let failures = self
            .oracle
            .tasks
            .get(&start.task)
            .map_or(0, |history| history.failures);
        let restore = if start.checkpoint.is_empty() {
            0
        } else {
            RESTORE_MS
        };
        Some(ServerRun {
            attempt: start.attempt,
            needs: step.needs,
            started_at: self.now,
            works_from: self.now + 10 + restore,
            done_ms: part * total_ms,
            total_ms,
            saved_ms: part * total_ms,
            checkpoints: step.checkpoints,
            gang: step.gang,
            long_running: step.long_running,
            fails_at_ms: (failures < expected.scripted_failures).then_some(total_ms * 0.95),
            stops_at: None,
        })
    }

    /// Advances all servers by a step of the given milliseconds.
    pub(crate) fn work(&mut self, step_ms: u64) {
        let working_gangs = self.working_gangs();
        for machine in 0..self.server_slots.len() {
            self.expire_lease(machine);
            self.work_on(machine, step_ms, &working_gangs);
        }
        self.end_gangs();
        for machine in 0..self.server_slots.len() {
            self.shut_down_or_restart(machine);
        }
    }

    fn expire_lease(&mut self, machine: usize) {
        let now = self.now;
        let Some(server) = self.server_slots[machine].server.as_mut() else {
            return;
        };
        if now < server.lease_until {
            return;
        }
        let tasks: Vec<TaskId> = server.runs.keys().copied().collect();
        for task in tasks {
            self.end_run(machine, task, RunEnd::LeaseExpired);
        }
        if let Some(server) = self.server_slots[machine].server.as_mut() {
            server
                .ends
                .iter_mut()
                .for_each(|end| end.lease_expired_since = true);
        }
    }

    fn work_on(&mut self, machine: usize, step_ms: u64, working_gangs: &BTreeSet<(TaskId, u32)>) {
        let now = self.now;
        let Some(server) = self.server_slots[machine].server.as_mut() else {
            return;
        };
        let behavior = server.behavior;
        let mut over = Vec::new();
        for (task, run) in &mut server.runs {
            if run.stops_at.is_some_and(|at| now >= at) {
                if run.checkpoints {
                    run.saved_ms = run.saved_ms.max(run.done_ms);
                }
                over.push((*task, RunEnd::Stopped));
                continue;
            }
            if behavior == ServerBehavior::Failing && now >= run.started_at + FAILURE_AFTER_MS {
                over.push((*task, RunEnd::Failed));
                continue;
            }
            let gang_works = !run.gang || working_gangs.contains(&gang_key(*task, run.attempt));
            if behavior == ServerBehavior::Stalled || now < run.works_from || !gang_works {
                continue;
            }
            run.done_ms += step_ms as f64
                / if behavior == ServerBehavior::Slow {
                    SLOW_FACTOR
                } else {
                    1.0
                };
            if run.checkpoints && run.done_ms >= run.saved_ms + CHECKPOINT_INTERVAL_MS {
                run.saved_ms = run.done_ms;
            }
            if run.fails_at_ms.is_some_and(|at| run.done_ms >= at) {
                over.push((*task, RunEnd::Failed));
            } else if run.done_ms >= run.total_ms && !run.long_running {
                over.push((*task, RunEnd::Done));
            }
        }
        for (task, end) in over {
            self.end_run(machine, task, end);
        }
    }

    /// Ends a run and records the consequence for its gang.
    pub(crate) fn end_run(&mut self, machine: usize, task: TaskId, end: RunEnd) {
        let now = self.now;
        let incarnation = self.server_slots[machine].incarnation;
        let Some(run) = self.server_slots[machine]
            .server
            .as_mut()
            .and_then(|server| server.end(task, end, now))
        else {
            return;
        };
        self.oracle.run_over(task, machine, incarnation);
        if end == RunEnd::Failed {
            self.oracle.failed(task);
        }
        if end == RunEnd::Alone && self.time_bounds() == TimeBounds::Checked {
            let excused = self
                .oracle
                .jobs
                .get(&task.job)
                .is_some_and(ExpectedJob::is_excused);
            if !excused {
                self.oracle
                    .report_violation(now, &format!("GANG: {task} ended alone"));
            }
        }
        if run.gang {
            self.record_gang_member_end(task, run.attempt, end);
        } else if end == RunEnd::Done {
            self.oracle.done(task, now);
        }
    }

    fn shut_down_or_restart(&mut self, machine: usize) {
        let now = self.now;
        let leaves = self.server_slots[machine]
            .server
            .as_ref()
            .and_then(|server| server.shuts_down_at);
        if leaves.is_some_and(|at| now >= at) {
            self.deregister_server(machine);
            self.crash(machine, Some(RESTART_MS));
        }
        if self.server_slots[machine]
            .back_at
            .is_some_and(|at| now >= at)
        {
            self.restart_server(machine);
        }
    }

    /// Crashes the server with all its runs. It restarts after this time, if any, with a new incarnation.
    pub(crate) fn crash(&mut self, machine: usize, back_after_ms: Option<u64>) {
        let now = self.now;
        let incarnation = self.server_slots[machine].incarnation;
        let Some(server) = self.server_slots[machine].server.take() else {
            return;
        };
        for (task, run) in server.runs {
            self.oracle.run_over(task, machine, incarnation);
            if run.gang {
                self.record_gang_member_end(task, run.attempt, RunEnd::LeaseExpired);
            }
        }
        self.server_slots[machine].back_at = back_after_ms.map(|delay_ms| now + delay_ms);
    }
}
