//! Advances all servers of a farm by one time step.

use super::{Deregistration, ServerFarm, ServerSlot};
use crate::gangs::{GangId, GangState};
use crate::idle_jobs::TaskStates;
use crate::model_server::ServerBehavior;
use crate::server_run::ServerRun;
use crate::step_context::{StepContext, TimeBounds};
use crate::violation::Rule;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::server::RunEnd;
use std::collections::{BTreeMap, BTreeSet};

/// How long a member of a gang waits for the other members.
const MAX_GANG_WAIT_MS: u64 = 3_000;
/// The factor on the duration of runs on a slow server.
const SLOW_FACTOR: f64 = 4.0;
/// The delay from a start on a failing server to its failure.
const FAILURE_DELAY_MS: u64 = 100;
/// How long a server is down after it has drained and shut down.
const SHUTDOWN_DOWNTIME_MS: u64 = 500;

impl ServerFarm {
    /// Advances all servers by `step_ms`, up to the present time. Returns the servers that have drained and shut down.
    pub fn step(&mut self, step_ms: u64, context: &mut StepContext<'_>) -> Vec<Deregistration> {
        let complete_gangs = self.complete_gangs(context);
        self.gangs.record_complete(&complete_gangs);
        for slot in 0..self.slots.len() {
            self.expire_lease(slot, context);
            self.work(slot, step_ms, &complete_gangs, context);
        }
        self.end_broken_gangs(context);
        let slots = 0..self.slots.len();
        let shut_down = slots.filter_map(|slot| self.shut_down_or_return(slot, context));
        shut_down.collect()
    }

    fn expire_lease(&mut self, slot: usize, context: &mut StepContext<'_>) {
        let Some(server) = self.slots[slot].server.as_ref() else {
            return;
        };
        if server.has_lease(context.now) {
            return;
        }
        let tasks: Vec<TaskId> = server.runs.keys().copied().collect();
        for task in tasks {
            self.end_run(slot, task, RunEnd::LeaseExpired, context);
        }
        if let Some(server) = self.slots[slot].server.as_mut() {
            server.record_lease_expiry();
        }
    }

    fn work(
        &mut self,
        slot: usize,
        step_ms: u64,
        complete_gangs: &BTreeSet<GangId>,
        context: &mut StepContext<'_>,
    ) {
        let Some(server) = self.slots[slot].server.as_mut() else {
            return;
        };
        let behavior = server.behavior;
        let mut ended = Vec::new();
        for (task, run) in &mut server.runs {
            let gang_works = !run.gang || complete_gangs.contains(&GangId::of(*task, run.attempt));
            let end = work_on(run, behavior, gang_works, step_ms, context.now);
            ended.extend(end.map(|end| (*task, end)));
        }
        for (task, end) in ended {
            self.end_run(slot, task, end, context);
        }
    }

    /// Ends a run, and records the end in the oracle and in the run's gang.
    fn end_run(&mut self, slot: usize, task: TaskId, end: RunEnd, context: &mut StepContext<'_>) {
        let now = context.now;
        let ServerSlot {
            server: Some(server),
            incarnation,
            ..
        } = &mut self.slots[slot]
        else {
            return;
        };
        let Some(run) = server.end(task, end, now) else {
            return;
        };
        let oracle = &mut *context.oracle;
        oracle.observe_run_end(task, slot, *incarnation);
        if end == RunEnd::Failed {
            oracle.observe_failure(task);
        }
        if end == RunEnd::Alone
            && context.time_bounds == TimeBounds::Enforced
            && !oracle.may_gang_miss_members(task.job)
        {
            oracle.report_violation(
                now,
                Rule::Gang,
                format!("{task} ended because members of its gang were missing"),
            );
        }
        if run.gang {
            self.end_gang_member(task, run.attempt, end, context);
        } else if end == RunEnd::Done {
            oracle.observe_done(task, now);
        }
    }

    /// The gangs whose members all run and are ready to work.
    fn complete_gangs(&self, context: &StepContext<'_>) -> BTreeSet<GangId> {
        let mut ready: BTreeMap<GangId, u32> = BTreeMap::new();
        let servers = self.slots.iter().filter_map(|slot| slot.server.as_ref());
        for server in servers.filter(|server| server.behavior != ServerBehavior::Stalled) {
            for (task, run) in server.runs.iter().filter(|(_, run)| run.gang) {
                if run.stops_at.is_none() && context.now >= run.work_begins_at {
                    *ready.entry(GangId::of(*task, run.attempt)).or_default() += 1;
                }
            }
        }
        let is_complete = |gang: &GangId, count: u32| {
            let step = context.oracle.step(gang.first_member());
            step.is_some_and(|step| step.count == count)
        };
        let complete = ready
            .into_iter()
            .filter(|(gang, count)| is_complete(gang, *count));
        complete.map(|(gang, _)| gang).collect()
    }

    /// Ends the members of gangs that have lost a member, and members that have waited too long for the others.
    fn end_broken_gangs(&mut self, context: &mut StepContext<'_>) {
        let mut ended = Vec::new();
        for (slot, server) in self.slots.iter().enumerate() {
            let Some(server) = &server.server else {
                continue;
            };
            for (task, run) in server.runs.iter().filter(|(_, run)| run.gang) {
                let state = self.gangs.state(GangId::of(*task, run.attempt));
                let waited_too_long = context.now > run.started_at + MAX_GANG_WAIT_MS;
                match state {
                    Some(GangState::Ended) => ended.push((slot, *task, state)),
                    None if waited_too_long => ended.push((slot, *task, state)),
                    Some(GangState::Working) | None => {}
                }
            }
        }
        for (slot, task, state) in ended {
            let end = match state {
                None => RunEnd::Alone,
                Some(_) if context.oracle.is_done(task) => RunEnd::Done,
                Some(_) => RunEnd::Broken,
            };
            self.end_run(slot, task, end, context);
        }
    }

    fn shut_down_or_return(
        &mut self,
        slot: usize,
        context: &mut StepContext<'_>,
    ) -> Option<Deregistration> {
        let now = context.now;
        let is_due = |at: Option<u64>| at.is_some_and(|at| now >= at);
        let shut_down = self
            .server(slot)
            .filter(|server| is_due(server.shuts_down_at()))
            .map(|server| server.id().clone());
        if shut_down.is_some() {
            self.crash(slot, SHUTDOWN_DOWNTIME_MS, context);
        }
        if is_due(self.slots[slot].returns_at) {
            self.restart(slot, now);
        }
        shut_down.map(|server| Deregistration { slot, server })
    }
}

/// Advances a run by `step_ms`. Returns the run's end if it has ended.
fn work_on(
    run: &mut ServerRun,
    behavior: ServerBehavior,
    gang_works: bool,
    step_ms: u64,
    now: u64,
) -> Option<RunEnd> {
    if run.stops_at.is_some_and(|at| now >= at) {
        run.write_last_checkpoint();
        return Some(RunEnd::Stopped);
    }
    if behavior == ServerBehavior::Failing && now >= run.started_at + FAILURE_DELAY_MS {
        return Some(RunEnd::Failed);
    }
    if behavior == ServerBehavior::Stalled || now < run.work_begins_at || !gang_works {
        return None;
    }
    let slowdown = match behavior {
        ServerBehavior::Slow => SLOW_FACTOR,
        _ => 1.0,
    };
    run.work(step_ms as f64 / slowdown)
}
