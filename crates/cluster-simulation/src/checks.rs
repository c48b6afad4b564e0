//! What the servers and clients of the model see, checked against the rules of running tasks.

use lupinrack_cluster_api::identity::{Attempt, JobId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use std::collections::{BTreeMap, BTreeSet};

/// What has happened to a task.
#[derive(Clone, Debug, Default)]
pub struct TaskHistory {
    /// Lives of servers on which it runs, as (machine, life).
    pub running_on: BTreeSet<(usize, u64)>,
    pub last_start_at: Option<u64>,
    pub done_at: Option<u64>,
    /// Whether an end that was done was taken note of.
    pub done_noted: bool,
    pub failures: u32,
    pub failures_noted: u32,
    pub highest_attempt: Attempt,
}

/// What the client of a job knows.
#[derive(Clone, Debug)]
pub struct JobTruth {
    pub spec: JobSpec,
    pub max_retries: u32,
    pub cancelled_at: Option<u64>,
    /// Own failures of each task before it can succeed; more than the queue allows for a hopeless job.
    pub own_failures: u32,
    pub work_factor: f64,
    /// Whether a client has sent it, and whether every try was rejected and no other will follow.
    pub sent: bool,
    pub refused: bool,
    pub cancel_sent: bool,
}

impl JobTruth {
    /// Whether its gangs may end for want of members.
    pub fn is_excused(&self) -> bool {
        self.cancel_sent || self.own_failures > 0
    }
}

/// A start as a server sees it.
pub struct SeenStart<'a> {
    pub now: u64,
    pub machine: usize,
    pub incarnation: u64,
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: &'a str,
    pub checkpoint: &'a str,
    /// What runs there already.
    pub used: Resources,
    pub capacity: Resources,
    pub labels: &'a [String],
    /// Runs of the same step and time there.
    pub siblings: u32,
    pub draining_since: Option<u64>,
    pub wall: u64,
}

/// Which rules with time bounds are checked.
#[derive(Clone, Copy, Debug)]
pub struct Strictness {
    /// No trouble but cancelled and hopeless jobs and new servers.
    pub calm: bool,
}

pub const DRAIN_MS: u64 = 2_000;
pub const EARLY_MS: u64 = 5_000;
pub const CANCEL_MS: u64 = 3_000;

#[derive(Clone, Debug, Default)]
pub struct Checks {
    pub jobs: BTreeMap<JobId, JobTruth>,
    pub tasks: BTreeMap<TaskId, TaskHistory>,
    pub broken: Vec<String>,
}

impl Checks {
    pub fn broke(&mut self, now: u64, text: String) {
        if self.broken.len() < 20 {
            self.broken.push(format!("{now} ms: {text}"));
        }
    }

    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    pub fn start(&mut self, seen: &SeenStart<'_>, strictness: Strictness) {
        let mut faults = self.faults_of_start(seen, strictness);
        for fault in faults.drain(..) {
            self.broke(
                seen.now,
                format!(
                    "{fault}: {} attempt {} on {}",
                    seen.task, seen.attempt, seen.machine
                ),
            );
        }
        let history = self.tasks.entry(seen.task).or_default();
        history.running_on.insert((seen.machine, seen.incarnation));
        history.last_start_at = Some(seen.now);
        history.highest_attempt = history.highest_attempt.max(seen.attempt);
    }

    fn faults_of_start(&self, seen: &SeenStart<'_>, strictness: Strictness) -> Vec<&'static str> {
        let mut faults = Vec::new();
        let Some(job) = self.jobs.get(&seen.task.job) else {
            return vec!["UNASKED: no such job"];
        };
        let Some(step) = self.step(seen.task) else {
            return vec!["UNASKED: no such step"];
        };
        if !job.sent {
            faults.push("UNASKED: not sent");
        }
        if job.refused {
            faults.push("REFUSED");
        }
        let history = self.tasks.get(&seen.task).cloned().unwrap_or_default();
        let needs = step.needs;
        if seen.used.cpu + needs.cpu > seen.capacity.cpu
            || seen.used.memory_mb + needs.memory_mb > seen.capacity.memory_mb
            || seen.used.gpu + needs.gpu > seen.capacity.gpu
        {
            faults.push("LIMIT");
        }
        if !history.running_on.is_empty() && !step.speculative {
            faults.push("TWICE: runs elsewhere");
        }
        if history.done_noted && !step.long_running && !step.speculative {
            faults.push("TWICE: was done");
        }
        if !self.dependencies_done(job, step, seen.task) {
            faults.push("ORDER");
        }
        let due = job.spec.start_at_ms + u64::from(seen.task.occurrence) * job.spec.interval_ms;
        if job.spec.repeat > 0 && seen.wall + EARLY_MS < due {
            faults.push("ORDER: ahead of its time");
        }
        if !step.requires.is_empty() && !seen.labels.contains(&step.requires) {
            faults.push("ROUTE: label");
        }
        if step.anti_affinity > 0 && seen.siblings + 1 > step.anti_affinity {
            faults.push("ROUTE: anti-affinity");
        }
        if !step.long_running && history.failures_noted >= job.max_retries {
            faults.push("BUDGET");
        }
        if seen.spec != job.spec.spec {
            faults.push("UNASKED: spec");
        }
        let prefix = format!(
            "{}.{}.{}/",
            seen.task.job, seen.task.occurrence, seen.task.step
        );
        if !seen.checkpoint.is_empty() && !seen.checkpoint.starts_with(&prefix) {
            faults.push("UNASKED: saved");
        }
        let cancelled = job.cancelled_at.is_some_and(|at| seen.now > at + CANCEL_MS);
        if cancelled && strictness.calm {
            faults.push("UNASKED: cancelled");
        }
        if strictness.calm
            && seen
                .draining_since
                .is_some_and(|since| seen.now > since + DRAIN_MS)
        {
            faults.push("DRAIN");
        }
        faults
    }

    fn dependencies_done(&self, job: &JobTruth, step: &Step, task: TaskId) -> bool {
        step.depends_on.iter().all(|earlier| {
            let count = job.spec.steps[*earlier as usize].count;
            (0..count).all(|index| {
                let before = TaskId {
                    step: *earlier,
                    index,
                    ..task
                };
                self.tasks
                    .get(&before)
                    .is_some_and(|history| history.done_at.is_some())
            })
        })
    }

    pub fn run_over(&mut self, task: TaskId, machine: usize, incarnation: u64) {
        self.tasks
            .entry(task)
            .or_default()
            .running_on
            .remove(&(machine, incarnation));
    }

    /// An end that was done; for a gang it stands for all its members.
    pub fn done(&mut self, task: TaskId, now: u64) {
        self.tasks
            .entry(task)
            .or_default()
            .done_at
            .get_or_insert(now);
    }

    pub fn failed(&mut self, task: TaskId) {
        self.tasks.entry(task).or_default().failures += 1;
    }

    pub fn done_noted(&mut self, task: TaskId, done_at: u64, now: u64) {
        let lasting = self.step(task).is_some_and(|step| step.long_running);
        let history = self.tasks.entry(task).or_default();
        history.done_noted = true;
        let again = history.last_start_at.is_some_and(|at| at > done_at);
        if again && !lasting {
            self.broke(
                now,
                format!("TWICE: {task} was started after its end, which was noted later"),
            );
        }
    }

    pub fn failure_noted(&mut self, task: TaskId) {
        self.tasks.entry(task).or_default().failures_noted += 1;
    }

    /// Whether a task, or a gang, has failed as often as its queue allows.
    pub fn has_cause_to_fail(&self, job: JobId) -> bool {
        let Some(truth) = self.jobs.get(&job) else {
            return false;
        };
        let mut gangs: BTreeMap<(u32, u32), u32> = BTreeMap::new();
        let first = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let tasks = self
            .tasks
            .range(first..)
            .take_while(|(task, _)| task.job == job);
        for (task, history) in tasks {
            let is_gang = truth
                .spec
                .steps
                .get(task.step as usize)
                .is_some_and(|step| step.gang);
            let failures = if is_gang {
                let count = gangs.entry((task.occurrence, task.step)).or_default();
                *count += history.failures;
                *count
            } else {
                history.failures
            };
            if failures >= truth.max_retries {
                return true;
            }
        }
        false
    }

    pub fn all_done(&self, job: JobId) -> bool {
        let Some(truth) = self.jobs.get(&job) else {
            return false;
        };
        (0..truth.spec.repeat.max(1)).all(|occurrence| {
            truth.spec.steps.iter().enumerate().all(|(step, spec)| {
                (0..spec.count).all(|index| {
                    let task = TaskId {
                        job,
                        occurrence,
                        step: step as u32,
                        index,
                    };
                    self.tasks
                        .get(&task)
                        .is_some_and(|history| history.done_at.is_some())
                })
            })
        })
    }
}
