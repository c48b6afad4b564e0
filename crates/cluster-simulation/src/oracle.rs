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
pub struct ExpectedJob {
    pub spec: JobSpec,
    pub max_retries: u32,
    pub cancelled_at: Option<u64>,
    /// Own failures of each task before it can succeed; more than the queue allows for a hopeless job.
    pub scripted_failures: u32,
    pub work_factor: f64,
    /// Whether a client has sent it, and whether every try was rejected and no other will follow.
    pub sent: bool,
    pub rejected: bool,
    pub cancel_sent: bool,
}

impl ExpectedJob {
    /// Whether its gangs may end for want of members.
    pub fn is_excused(&self) -> bool {
        self.cancel_sent || self.scripted_failures > 0
    }
}

/// A start as a server sees it.
pub struct ObservedStart<'a> {
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
pub struct TimeBounds {
    /// No trouble but cancelled and hopeless jobs and new servers.
    pub stable: bool,
}

pub const DRAIN_MS: u64 = 2_000;
pub const EARLY_MS: u64 = 5_000;
pub const CANCEL_MS: u64 = 3_000;

#[derive(Clone, Debug, Default)]
pub struct Oracle {
    pub jobs: BTreeMap<JobId, ExpectedJob>,
    pub tasks: BTreeMap<TaskId, TaskHistory>,
    pub violations: Vec<String>,
}

impl Oracle {
    pub fn report_violation(&mut self, now: u64, text: String) {
        if self.violations.len() < 20 {
            self.violations.push(format!("{now} ms: {text}"));
        }
    }

    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    pub fn start(&mut self, observed_start: &ObservedStart<'_>, time_bounds: TimeBounds) {
        let mut faults = self.faults_of_start(observed_start, time_bounds);
        for fault in faults.drain(..) {
            self.report_violation(
                observed_start.now,
                format!(
                    "{fault}: {} attempt {} on {}",
                    observed_start.task, observed_start.attempt, observed_start.machine
                ),
            );
        }
        let history = self.tasks.entry(observed_start.task).or_default();
        history
            .running_on
            .insert((observed_start.machine, observed_start.incarnation));
        history.last_start_at = Some(observed_start.now);
        history.highest_attempt = history.highest_attempt.max(observed_start.attempt);
    }

    fn faults_of_start(
        &self,
        observed_start: &ObservedStart<'_>,
        time_bounds: TimeBounds,
    ) -> Vec<&'static str> {
        let mut faults = Vec::new();
        let Some(job) = self.jobs.get(&observed_start.task.job) else {
            return vec!["UNASKED: no such job"];
        };
        let Some(step) = self.step(observed_start.task) else {
            return vec!["UNASKED: no such step"];
        };
        if !job.sent {
            faults.push("UNASKED: not sent");
        }
        if job.rejected {
            faults.push("REFUSED");
        }
        let history = self
            .tasks
            .get(&observed_start.task)
            .cloned()
            .unwrap_or_default();
        let needs = step.needs;
        if observed_start.used.cpu + needs.cpu > observed_start.capacity.cpu
            || observed_start.used.memory_mb + needs.memory_mb > observed_start.capacity.memory_mb
            || observed_start.used.gpu + needs.gpu > observed_start.capacity.gpu
        {
            faults.push("LIMIT");
        }
        if !history.running_on.is_empty() && !step.speculative {
            faults.push("TWICE: runs elsewhere");
        }
        if history.done_noted && !step.long_running && !step.speculative {
            faults.push("TWICE: was done");
        }
        if !self.dependencies_done(job, step, observed_start.task) {
            faults.push("ORDER");
        }
        let due =
            job.spec.start_at_ms + u64::from(observed_start.task.occurrence) * job.spec.interval_ms;
        if job.spec.repeat > 0 && observed_start.wall + EARLY_MS < due {
            faults.push("ORDER: ahead of its time");
        }
        if !step.requires.is_empty() && !observed_start.labels.contains(&step.requires) {
            faults.push("ROUTE: label");
        }
        if step.anti_affinity > 0 && observed_start.siblings + 1 > step.anti_affinity {
            faults.push("ROUTE: anti-affinity");
        }
        if !step.long_running && history.failures_noted >= job.max_retries {
            faults.push("BUDGET");
        }
        if observed_start.spec != job.spec.spec {
            faults.push("UNASKED: spec");
        }
        let prefix = format!(
            "{}.{}.{}/",
            observed_start.task.job, observed_start.task.occurrence, observed_start.task.step
        );
        if !observed_start.checkpoint.is_empty() && !observed_start.checkpoint.starts_with(&prefix)
        {
            faults.push("UNASKED: saved");
        }
        let cancelled = job
            .cancelled_at
            .is_some_and(|at| observed_start.now > at + CANCEL_MS);
        if cancelled && time_bounds.stable {
            faults.push("UNASKED: cancelled");
        }
        if time_bounds.stable
            && observed_start
                .draining_since
                .is_some_and(|since| observed_start.now > since + DRAIN_MS)
        {
            faults.push("DRAIN");
        }
        faults
    }

    fn dependencies_done(&self, job: &ExpectedJob, step: &Step, task: TaskId) -> bool {
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
        let long_running_steps = self.step(task).is_some_and(|step| step.long_running);
        let history = self.tasks.entry(task).or_default();
        history.done_noted = true;
        let again = history.last_start_at.is_some_and(|at| at > done_at);
        if again && !long_running_steps {
            self.report_violation(
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
        let Some(expected) = self.jobs.get(&job) else {
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
            let is_gang = expected
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
            if failures >= expected.max_retries {
                return true;
            }
        }
        false
    }

    pub fn all_done(&self, job: JobId) -> bool {
        let Some(expected) = self.jobs.get(&job) else {
            return false;
        };
        (0..expected.spec.repeat.max(1)).all(|occurrence| {
            expected.spec.steps.iter().enumerate().all(|(step, spec)| {
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
