//! The oracle: what servers and clients observe, checked against the rules for running tasks.

use crate::fenced_senders::FencedSenders;
use crate::route_layout::Direction;
use lupinrack_cluster_api::identity::{Attempt, FencingToken, JobId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use std::collections::{BTreeMap, BTreeSet};

/// The observed history of a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskHistory {
    /// Incarnations of servers on which it runs, as (slot, incarnation).
    pub running_on: BTreeSet<(usize, u64)>,
    pub last_start_at: Option<u64>,
    pub done_at: Option<u64>,
    /// Whether a successful end was confirmed as observed.
    pub done_observed: bool,
    pub failures: u32,
    pub failures_observed: u32,
    pub highest_attempt: Attempt,
}

/// What a job's client knows about the job.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedJob {
    pub spec: JobSpec,
    pub queue: &'static str,
    pub max_retries: u32,
    pub cancelled_at: Option<u64>,
    /// Failures of each task before it succeeds; for a hopeless job more than the queue allows.
    pub scripted_failures: u32,
    pub work_factor: f64,
    /// Whether a client has sent it, and whether every attempt was rejected and no other will follow.
    pub sent: bool,
    pub rejected: bool,
    pub cancel_sent: bool,
}

impl ExpectedJob {
    /// Whether its gangs may end for lack of members.
    pub(crate) fn is_excused(&self) -> bool {
        self.cancel_sent || self.scripted_failures > 0
    }
}

/// A start as a server sees it.
pub(crate) struct ObservedStart<'a> {
    pub now: u64,
    pub machine: usize,
    pub incarnation: u64,
    pub task: TaskId,
    pub attempt: Attempt,
    pub spec: &'a str,
    pub checkpoint: &'a str,
    /// Tasks that already run there.
    pub used: Resources,
    pub capacity: Resources,
    pub labels: &'a [String],
    pub service: &'a str,
    /// Runs of the same step and time there.
    pub siblings: u32,
    pub draining_since: Option<u64>,
    pub wall: u64,
}

impl ObservedStart<'_> {
    fn exceeds_capacity(&self, needs: Resources) -> bool {
        self.used.cpu + needs.cpu > self.capacity.cpu
            || self.used.memory_mb + needs.memory_mb > self.capacity.memory_mb
            || self.used.gpu + needs.gpu > self.capacity.gpu
    }

    fn is_early(&self, job: &ExpectedJob) -> bool {
        let spec = &job.spec;
        let due = spec.start_at_ms + u64::from(self.task.occurrence) * spec.interval_ms;
        spec.repeat > 0 && self.wall + EARLY_START_TOLERANCE_MS < due
    }

    fn lacks_label(&self, step: &Step) -> bool {
        !step.requires.is_empty() && !self.labels.contains(&step.requires)
    }

    fn exceeds_anti_affinity(&self, step: &Step) -> bool {
        step.anti_affinity > 0 && self.siblings + 1 > step.anti_affinity
    }

    /// Whether the checkpoint belongs to another step or occurrence.
    fn has_foreign_checkpoint(&self) -> bool {
        let TaskId {
            job,
            occurrence,
            step,
            ..
        } = self.task;
        let prefix = format!("{job}.{occurrence}.{step}/");
        !self.checkpoint.is_empty() && !self.checkpoint.starts_with(&prefix)
    }

    fn is_after_cancellation(&self, job: &ExpectedJob) -> bool {
        job.cancelled_at
            .is_some_and(|at| self.now > at + CANCELLATION_GRACE_MS)
    }

    fn is_on_draining_server(&self) -> bool {
        self.draining_since
            .is_some_and(|since| self.now > since + DRAIN_GRACE_MS)
    }
}

/// Which rules with time bounds are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimeBounds {
    /// All of them: no fault is in effect. Cancelled jobs, hopeless jobs and new servers are allowed.
    Checked,
    /// None: a fault is in effect or ended recently.
    Suspended,
}

/// Time after which a draining server may get no more tasks, in milliseconds.
pub(crate) const DRAIN_GRACE_MS: u64 = 2_000;
/// Tolerance for an early start of a recurring job's occurrence, in milliseconds.
pub(crate) const EARLY_START_TOLERANCE_MS: u64 = 5_000;
/// Time after a cancellation from which the job may no longer start, in milliseconds.
pub(crate) const CANCELLATION_GRACE_MS: u64 = 3_000;

#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    pub jobs: BTreeMap<JobId, ExpectedJob>,
    pub tasks: BTreeMap<TaskId, TaskHistory>,
    pub violations: Vec<String>,
    /// For each queue, the services to which a configuration that was sent directs it.
    directions: BTreeMap<&'static str, BTreeSet<&'static str>>,
    fenced_senders: FencedSenders,
}

impl Oracle {
    pub(crate) fn report_violation(&mut self, now: u64, text: &str) {
        if self.violations.len() < 20 {
            self.violations.push(format!("{now} ms: {text}"));
        }
    }

    /// Notes to which services a configuration that is about to be sent directs the queues.
    pub(crate) fn queues_directed(&mut self, directions: impl Iterator<Item = Direction>) {
        for (queue, service) in directions {
            self.directions.entry(queue).or_default().insert(service);
        }
    }

    /// Whether a configuration that was sent directs the queue to this service.
    pub(crate) fn may_run_in(&self, queue: &str, service: &str) -> bool {
        let services = self.directions.get(queue);
        services.is_some_and(|services| services.contains(service))
    }

    pub(crate) fn step(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    pub(crate) fn start(&mut self, observed_start: &ObservedStart<'_>, time_bounds: TimeBounds) {
        let mut broken = self.broken_rules(observed_start, time_bounds);
        for rule in broken.drain(..) {
            self.report_violation(
                observed_start.now,
                &format!(
                    "{rule}: {} attempt {} on {}",
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

    /// The rules that a start violates.
    fn broken_rules(
        &self,
        start: &ObservedStart<'_>,
        time_bounds: TimeBounds,
    ) -> Vec<&'static str> {
        let Some(job) = self.jobs.get(&start.task.job) else {
            return vec!["UNASKED: no such job"];
        };
        let Some(step) = self.step(start.task) else {
            return vec!["UNASKED: no such step"];
        };
        let history = self.tasks.get(&start.task).cloned().unwrap_or_default();
        let mut broken = Vec::new();
        let mut check = |is_broken: bool, rule| {
            if is_broken {
                broken.push(rule);
            }
        };
        check(!job.sent, "UNASKED: not sent");
        check(job.rejected, "REFUSED");
        check(start.exceeds_capacity(step.needs), "LIMIT");
        let runs = !history.running_on.is_empty();
        check(runs && !step.speculative, "TWICE: runs elsewhere");
        let is_idempotent = step.long_running || step.speculative;
        check(history.done_observed && !is_idempotent, "TWICE: was done");
        check(!self.dependencies_done(job, step, start.task), "ORDER");
        check(start.is_early(job), "ORDER: ahead of its time");
        let is_directed_there = self.may_run_in(job.queue, start.service);
        check(!is_directed_there, "ROUTE: service");
        check(start.lacks_label(step), "ROUTE: label");
        check(start.exceeds_anti_affinity(step), "ROUTE: anti-affinity");
        let budget_is_spent = history.failures_observed >= job.max_retries;
        check(budget_is_spent && !step.long_running, "BUDGET");
        check(start.spec != job.spec.spec, "UNASKED: spec");
        check(start.has_foreign_checkpoint(), "UNASKED: saved");
        if time_bounds == TimeBounds::Checked {
            check(start.is_after_cancellation(job), "UNASKED: cancelled");
            check(start.is_on_draining_server(), "DRAIN");
        }
        broken
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

    pub(crate) fn run_over(&mut self, task: TaskId, machine: usize, incarnation: u64) {
        self.tasks
            .entry(task)
            .or_default()
            .running_on
            .remove(&(machine, incarnation));
    }

    /// Records a successful end; for a gang it counts for all members.
    pub(crate) fn done(&mut self, task: TaskId, now: u64) {
        self.tasks
            .entry(task)
            .or_default()
            .done_at
            .get_or_insert(now);
    }

    pub(crate) fn failed(&mut self, task: TaskId) {
        self.tasks.entry(task).or_default().failures += 1;
    }

    pub(crate) fn done_observed(&mut self, task: TaskId, done_at: u64, now: u64) {
        let long_running_steps = self.step(task).is_some_and(|step| step.long_running);
        let history = self.tasks.entry(task).or_default();
        history.done_observed = true;
        let again = history.last_start_at.is_some_and(|at| at > done_at);
        if again && !long_running_steps {
            self.report_violation(
                now,
                &format!("TWICE: {task} was started after its end, which was noted later"),
            );
        }
    }

    /// Records that a server refused a command under this token from the agent on its machine.
    pub(crate) fn token_refused(
        &mut self,
        machine: usize,
        agent_incarnation: u64,
        token: FencingToken,
        now: u64,
    ) {
        let senders = &mut self.fenced_senders;
        if senders.refused(machine, agent_incarnation, token, now) {
            let text = format!("DUTY: machine {machine} orders on under token {}", token.0);
            self.report_violation(now, &text);
        }
    }

    pub(crate) fn failure_observed(&mut self, task: TaskId) {
        self.tasks.entry(task).or_default().failures_observed += 1;
    }

    /// Whether a task or gang has reached the number of failures that its queue allows.
    pub(crate) fn has_cause_to_fail(&self, job: JobId) -> bool {
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

    pub(crate) fn all_done(&self, job: JobId) -> bool {
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
