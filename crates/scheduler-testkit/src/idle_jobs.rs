//! Finds accepted jobs with nothing running although servers have room for them.

use lupinrack_cluster_api::identity::{JobId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use std::collections::{BTreeMap, BTreeSet};

/// A job may have nothing running for this long although there is room for it, in milliseconds.
pub const MAX_IDLE_MS: u64 = 3_000;
/// There is room for work if it fits this many times.
const ROOM_FACTOR: u64 = 2;

/// An accepted job that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenJob<'a> {
    /// Its ID.
    pub id: JobId,
    /// What its client submitted.
    pub spec: &'a JobSpec,
}

/// A server that accepts new runs.
#[derive(Clone, Copy, Debug)]
pub struct OpenServer<'a> {
    /// Its total resources.
    pub capacity: Resources,
    /// The resources of its runs.
    pub used: Resources,
    /// Its labels.
    pub labels: &'a [String],
}

/// The states of tasks, as the servers know them.
pub trait TaskStates {
    /// Whether a server runs the task.
    fn is_running(&self, task: TaskId) -> bool;
    /// Whether the task has succeeded.
    fn is_done(&self, task: TaskId) -> bool;
}

/// A job that has been idle for [`MAX_IDLE_MS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleJob {
    /// Its ID.
    pub id: JobId,
    /// Since when it has been idle, in milliseconds.
    pub since: u64,
}

/// For how long a job has been idle.
#[derive(Clone, Copy, Debug)]
struct IdleTime {
    since: u64,
    is_reported: bool,
}

/// Measures for how long jobs have nothing running although they could.
#[derive(Clone, Debug, Default)]
pub struct IdleJobs {
    idle: BTreeMap<JobId, IdleTime>,
}

impl IdleJobs {
    /// Forgets the times measured so far, because a fault is active.
    pub fn reset(&mut self) {
        self.idle.clear();
    }

    /// Observes that these jobs and no others are idle now. Returns each job once that has been idle for
    /// [`MAX_IDLE_MS`].
    pub fn observe(&mut self, idle: &BTreeSet<JobId>, now: u64) -> Vec<IdleJob> {
        self.idle.retain(|job, _| idle.contains(job));
        let mut reported = Vec::new();
        for id in idle {
            let time = self.idle.entry(*id).or_insert(IdleTime {
                since: now,
                is_reported: false,
            });
            if now - time.since >= MAX_IDLE_MS && !time.is_reported {
                time.is_reported = true;
                reported.push(IdleJob {
                    id: *id,
                    since: time.since,
                });
            }
        }
        reported
    }
}

/// The jobs of which nothing runs although the turn of a task has come and the servers of their service, which are less
/// than half used, have room for it.
pub fn idle_jobs<'a>(
    jobs: impl IntoIterator<Item = OpenJob<'a>>,
    servers: &[OpenServer<'_>],
    tasks: &impl TaskStates,
    wall_ms: u64,
) -> BTreeSet<JobId> {
    if !are_under_half_used(servers) {
        return BTreeSet::new();
    }
    let idle = jobs
        .into_iter()
        .filter(|job| is_idle(job, servers, tasks, wall_ms));
    idle.map(|job| job.id).collect()
}

fn is_idle(
    job: &OpenJob<'_>,
    servers: &[OpenServer<'_>],
    tasks: &impl TaskStates,
    wall_ms: u64,
) -> bool {
    let is_running = job
        .all_tasks()
        .into_iter()
        .any(|task| tasks.is_running(task));
    if is_running {
        return false;
    }
    job.due_steps(tasks, wall_ms)
        .into_iter()
        .any(|(step, waiting)| have_room_for(servers, step, waiting))
}

impl<'a> OpenJob<'a> {
    fn all_tasks(&self) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for occurrence in 0..self.spec.repeat.max(1) {
            for (number, step) in (0..).zip(&self.spec.steps) {
                tasks.extend(self.tasks_of_step(occurrence, number, step));
            }
        }
        tasks
    }

    fn tasks_of_step(
        &self,
        occurrence: u32,
        number: u32,
        step: &Step,
    ) -> impl Iterator<Item = TaskId> {
        let job = self.id;
        (0..step.count).map(move |index| TaskId {
            job,
            occurrence,
            step: number,
            index,
        })
    }

    /// The steps with waiting tasks whose turn has come, with the number of these tasks.
    fn due_steps(&self, tasks: &impl TaskStates, wall_ms: u64) -> Vec<(&'a Step, u64)> {
        let spec = self.spec;
        let mut due = Vec::new();
        for occurrence in 0..spec.repeat.max(1) {
            if wall_ms < spec.start_at_ms + u64::from(occurrence) * spec.interval_ms {
                continue;
            }
            let waiting_tasks = |number: u32| {
                let step = &spec.steps[number as usize];
                let waiting = self
                    .tasks_of_step(occurrence, number, step)
                    .filter(|task| !tasks.is_done(*task));
                waiting.count() as u64
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
}

/// Whether less than half of each resource is in use.
fn are_under_half_used(servers: &[OpenServer<'_>]) -> bool {
    let amounts: [fn(&Resources) -> u64; 3] = [|all| all.cpu, |all| all.memory_mb, |all| all.gpu];
    amounts.into_iter().all(|amount| {
        let capacity: u64 = servers.iter().map(|server| amount(&server.capacity)).sum();
        let used: u64 = servers.iter().map(|server| amount(&server.used)).sum();
        2 * used < capacity.max(1)
    })
}

/// Whether the waiting tasks of a step, or one of them if they run by themselves, would fit several times.
fn have_room_for(servers: &[OpenServer<'_>], step: &Step, waiting: u64) -> bool {
    let needed = if step.gang { waiting } else { 1 };
    let fitting: u64 = servers.iter().map(|server| server.fitting(step)).sum();
    fitting >= ROOM_FACTOR * needed
}

impl OpenServer<'_> {
    /// The number of tasks of a step that fit on the server beside its runs.
    fn fitting(&self, step: &Step) -> u64 {
        let has_label = step.requires.is_empty() || self.labels.contains(&step.requires);
        if !has_label {
            return 0;
        }
        let (used, capacity, needs) = (self.used, self.capacity, step.needs);
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
}
