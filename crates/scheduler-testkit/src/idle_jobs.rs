//! Finds accepted jobs with nothing running although servers have room for them.

use crate::expected_job::ExpectedJob;
use crate::model_server::ModelServer;
use crate::oracle::Oracle;
use crate::server_farm::ServerFarm;
use crate::violation::Rule;
use lupinrack_cluster_api::identity::{JobId, TaskId};
use lupinrack_cluster_api::job::{Resources, Step};
use std::collections::{BTreeMap, BTreeSet};

/// A job may have nothing running for this long although there is room for it, in milliseconds.
pub const MAX_IDLE_MS: u64 = 3_000;
/// There is room for work if it fits this many times.
const ROOM_FACTOR: u64 = 2;

/// For how long a job has been idle.
#[derive(Clone, Copy, Debug)]
struct IdleTime {
    since: u64,
    is_reported: bool,
}

/// Measures for how long jobs have nothing running although they could, and reports those that wait for too long.
#[derive(Clone, Debug, Default)]
pub struct IdleJobs {
    idle: BTreeMap<JobId, IdleTime>,
}

impl IdleJobs {
    /// Forgets the times measured so far, because a fault is active.
    pub fn reset(&mut self) {
        self.idle.clear();
    }

    /// Observes these open jobs, and reports each one that has been idle for [`MAX_IDLE_MS`].
    pub fn observe(
        &mut self,
        open: impl IntoIterator<Item = JobId>,
        farm: &ServerFarm,
        oracle: &mut Oracle,
        (now, wall_ms): (u64, u64),
    ) {
        let servers = FreeServers::new(farm);
        let idle: BTreeSet<JobId> = if servers.are_under_half_used() {
            open.into_iter()
                .filter(|job| is_idle(*job, &servers, oracle, wall_ms))
                .collect()
        } else {
            BTreeSet::new()
        };
        self.idle.retain(|job, _| idle.contains(job));
        for job in idle {
            let time = self.idle.entry(job).or_insert(IdleTime {
                since: now,
                is_reported: false,
            });
            if now - time.since >= MAX_IDLE_MS && !time.is_reported {
                time.is_reported = true;
                let detail = format!("{job} has had nothing running since {} ms", time.since);
                oracle.report_violation(now, Rule::IdleJob, detail);
            }
        }
    }
}

/// Whether nothing of a job runs although the turn of a task has come and there is room for it.
fn is_idle(job: JobId, servers: &FreeServers<'_>, oracle: &Oracle, wall_ms: u64) -> bool {
    let Some(expected) = oracle.jobs().get(&job) else {
        return false;
    };
    if expected.cancelled_at.is_some() || oracle.has_exhausted_retries(job) {
        return false;
    }
    let runs = |task: &TaskId| {
        let history = oracle.tasks().get(task);
        history.is_some_and(|history| !history.running_on.is_empty())
    };
    let tasks = tasks_of(job, expected);
    if tasks.iter().any(runs) {
        return false;
    }
    due_steps(job, expected, oracle, wall_ms)
        .into_iter()
        .any(|(step, waiting)| servers.have_room_for(step, waiting))
}

/// All tasks of a job.
fn tasks_of(job: JobId, expected: &ExpectedJob) -> Vec<TaskId> {
    let mut tasks = Vec::new();
    for occurrence in 0..expected.spec.repeat.max(1) {
        for (step, spec) in (0..).zip(&expected.spec.steps) {
            tasks.extend((0..spec.count).map(|index| TaskId {
                job,
                occurrence,
                step,
                index,
            }));
        }
    }
    tasks
}

/// The steps with waiting tasks whose turn has come, with the number of these tasks.
fn due_steps<'a>(
    job: JobId,
    expected: &'a ExpectedJob,
    oracle: &Oracle,
    wall_ms: u64,
) -> Vec<(&'a Step, u64)> {
    let spec = &expected.spec;
    let mut due = Vec::new();
    for occurrence in 0..spec.repeat.max(1) {
        if wall_ms < spec.start_at_ms + u64::from(occurrence) * spec.interval_ms {
            continue;
        }
        let waiting_tasks = |step: u32| {
            let count = spec.steps[step as usize].count;
            let tasks = (0..count).map(|index| TaskId {
                job,
                occurrence,
                step,
                index,
            });
            tasks.filter(|task| !oracle.is_done(*task)).count() as u64
        };
        for (number, step) in (0..).zip(&spec.steps) {
            let is_due = step
                .depends_on
                .iter()
                .all(|other| waiting_tasks(*other) == 0);
            let waiting = waiting_tasks(number);
            if is_due && waiting > 0 {
                due.push((step, waiting));
            }
        }
    }
    due
}

/// The servers that accept new runs.
struct FreeServers<'a>(Vec<&'a ModelServer>);

impl<'a> FreeServers<'a> {
    fn new(farm: &'a ServerFarm) -> FreeServers<'a> {
        let servers = (0..farm.slot_count()).filter_map(|slot| farm.server(slot));
        FreeServers(
            servers
                .filter(|server| server.draining_since().is_none())
                .collect(),
        )
    }

    /// Whether less than half of each resource is in use.
    fn are_under_half_used(&self) -> bool {
        let total = |amount: fn(&Resources) -> u64, of: fn(&ModelServer) -> Resources| {
            self.0.iter().map(|server| amount(&of(server))).sum::<u64>()
        };
        let amounts: [fn(&Resources) -> u64; 3] =
            [|all| all.cpu, |all| all.memory_mb, |all| all.gpu];
        amounts.into_iter().all(|amount| {
            let capacity = total(amount, |server| server.facts().capacity);
            2 * total(amount, ModelServer::used) < capacity.max(1)
        })
    }

    /// Whether the waiting tasks of a step, or one of them if they run by themselves, would fit several times.
    fn have_room_for(&self, step: &Step, waiting: u64) -> bool {
        let needed = if step.gang { waiting } else { 1 };
        let fitting: u64 = self.0.iter().map(|server| fitting(server, step)).sum();
        fitting >= ROOM_FACTOR * needed
    }
}

/// The number of tasks of a step that fit on a server beside its runs.
fn fitting(server: &ModelServer, step: &Step) -> u64 {
    let has_label = step.requires.is_empty() || server.facts().labels.contains(&step.requires);
    if !has_label {
        return 0;
    }
    let (used, capacity, needs) = (server.used(), server.facts().capacity, step.needs);
    let times = |used: u64, capacity: u64, need: u64| {
        let free = capacity.saturating_sub(used);
        free.checked_div(need).unwrap_or(u64::MAX)
    };
    let fitting = times(used.cpu, capacity.cpu, needs.cpu)
        .min(times(used.memory_mb, capacity.memory_mb, needs.memory_mb))
        .min(times(used.gpu, capacity.gpu, needs.gpu));
    match step.anti_affinity {
        0 => fitting,
        limit => fitting.min(u64::from(limit)),
    }
}
