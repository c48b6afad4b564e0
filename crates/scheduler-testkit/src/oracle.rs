//! Checks what the servers and clients of a simulation observe against the rules for running tasks.

use crate::expected_job::ExpectedJob;
use crate::idle_jobs::{OpenJob, TaskStates};
use crate::observed_start::ObservedStart;
use crate::start_rules::{Bound, BrokenRule, StartRules};
use crate::step_context::TimeBounds;
use crate::task_history::TaskHistory;
use crate::violation::{Rule, Violation};
use lupinrack_cluster_api::identity::{JobId, TaskId};
use lupinrack_cluster_api::job::Step;
use std::collections::BTreeMap;

/// The number of violations that are recorded. Further ones add no information and are dropped.
const MAX_VIOLATIONS: usize = 20;

/// When the rule on starts on draining servers is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainRule {
    /// Always: each agent can reach its server, whatever other faults are active.
    Always,
    /// Only while [`TimeBounds::Enforced`]: the agent's process may be paused.
    WithinTimeBounds,
}

/// The jobs whose gangs may end because members are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangRule {
    /// Cancelled jobs.
    CancelledJobs,
    /// Jobs whose cancellation was requested, and jobs with injected failures. A simulation with lost requests and responses
    /// does not know when a cancellation takes effect.
    CancelledOrFailingJobs,
}

/// The rules that differ between simulations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OracleRules {
    /// How long before its start time an occurrence may start, in milliseconds: the maximum clock error.
    pub max_early_start_ms: u64,
    /// When starts on draining servers are violations.
    pub draining: DrainRule,
    /// The jobs whose gangs may end because members are missing.
    pub gangs: GangRule,
}

/// Records the observations of servers and clients, and reports violations.
#[derive(Clone, Debug)]
pub struct Oracle {
    rules: OracleRules,
    /// The jobs as their clients expect them.
    jobs: BTreeMap<JobId, ExpectedJob>,
    tasks: BTreeMap<TaskId, TaskHistory>,
    violations: Vec<Violation>,
}

impl Oracle {
    /// An oracle without observations.
    pub fn new(rules: OracleRules) -> Oracle {
        Oracle {
            rules,
            jobs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Adds a job that clients have submitted or will submit.
    pub fn expect_job(&mut self, id: JobId, job: ExpectedJob) {
        self.jobs.insert(id, job);
    }

    /// The jobs as their clients expect them.
    pub fn jobs(&self) -> &BTreeMap<JobId, ExpectedJob> {
        &self.jobs
    }

    /// The expectation of a job's client, for changes.
    pub fn job_mut(&mut self, id: JobId) -> Option<&mut ExpectedJob> {
        self.jobs.get_mut(&id)
    }

    /// The histories of the tasks that were started.
    pub fn tasks(&self) -> &BTreeMap<TaskId, TaskHistory> {
        &self.tasks
    }

    /// The violations in the order of their reports; at most the first twenty.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records a broken rule.
    pub fn report_violation(&mut self, at: u64, rule: Rule, detail: impl Into<String>) {
        if self.violations.len() < MAX_VIOLATIONS {
            let detail = detail.into();
            self.violations.push(Violation { at, rule, detail });
        }
    }

    /// The step of a task; `None` for an unknown job.
    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// Whether all tasks of a job are done.
    pub fn all_tasks_done(&self, job: JobId) -> bool {
        let Some(expected) = self.jobs.get(&job) else {
            return false;
        };
        let occurrences = 0..expected.spec.repeat.max(1);
        occurrences.into_iter().all(|occurrence| {
            let steps = expected.spec.steps.iter().enumerate();
            steps.into_iter().all(|(step, spec)| {
                let first = TaskId {
                    job,
                    occurrence,
                    step: step as u32,
                    index: 0,
                };
                self.step_done(first, spec.count)
            })
        })
    }

    /// Whether a task, or the members of a gang together, have failed `max_retries` times.
    pub fn has_exhausted_retries(&self, job: JobId) -> bool {
        let Some(expected) = self.jobs.get(&job) else {
            return false;
        };
        let mut gang_failures: BTreeMap<(u32, u32), u32> = BTreeMap::new();
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
            let is_gang = self.step(*task).is_some_and(|step| step.gang);
            let failures = if is_gang {
                let count = gang_failures.entry((task.occurrence, task.step));
                let count = count.or_default();
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

    /// Whether a gang of the job may end because members are missing.
    pub(crate) fn may_gang_miss_members(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|job| match self.rules.gangs {
                GangRule::CancelledJobs => job.cancelled_at.is_some(),
                GangRule::CancelledOrFailingJobs => job.cancel_sent || job.injected_failures > 0,
            })
    }

    /// How often a task has failed.
    pub(crate) fn failures(&self, task: TaskId) -> u32 {
        self.tasks.get(&task).map_or(0, |history| history.failures)
    }

    /// A job that must make progress; `None` if it was cancelled or has no attempts left.
    pub fn expected_to_progress(&self, id: JobId) -> Option<OpenJob<'_>> {
        let expected = self.jobs.get(&id)?;
        let may_end = expected.cancelled_at.is_some() || self.has_exhausted_retries(id);
        (!may_end).then_some(OpenJob {
            id,
            spec: &expected.spec,
        })
    }

    /// Checks and records a start.
    pub(crate) fn observe_start(&mut self, start: &ObservedStart<'_>, time_bounds: TimeBounds) {
        for BrokenRule { rule, cause } in self.rules_broken_by(start, time_bounds) {
            let subject = format!("{} attempt {} on {}", start.task, start.attempt, start.slot);
            let detail = match cause {
                Some(cause) => format!("{cause}: {subject}"),
                None => subject,
            };
            self.report_violation(start.now, rule, detail);
        }
        let history = self.tasks.entry(start.task).or_default();
        history.running_on.insert((start.slot, start.incarnation));
        history.last_start_at = Some(start.now);
        history.highest_attempt = history.highest_attempt.max(start.attempt);
    }

    /// Records that a run has ended, for whatever reason.
    pub(crate) fn observe_run_end(&mut self, task: TaskId, slot: usize, incarnation: u64) {
        let history = self.tasks.entry(task).or_default();
        history.running_on.remove(&(slot, incarnation));
    }

    /// Records that a task is done.
    pub(crate) fn observe_done(&mut self, task: TaskId, now: u64) {
        let history = self.tasks.entry(task).or_default();
        history.done_at.get_or_insert(now);
    }

    /// Records that a task failed.
    pub(crate) fn observe_failure(&mut self, task: TaskId) {
        self.tasks.entry(task).or_default().failures += 1;
    }

    /// Records that the owner has recorded the end of a task that was done at `done_at`.
    pub(crate) fn observe_done_recorded(&mut self, task: TaskId, done_at: u64, now: u64) {
        let long_running = self.step(task).is_some_and(|step| step.long_running);
        let history = self.tasks.entry(task).or_default();
        history.done_recorded = true;
        let started_since = history.last_start_at.is_some_and(|at| at > done_at);
        if started_since && !long_running {
            let detail =
                format!("{task} was started again after it was done and before that was recorded");
            self.report_violation(now, Rule::DuplicateRun, detail);
        }
    }

    /// Records that the owner has recorded a failure of a task.
    pub(crate) fn observe_failure_recorded(&mut self, task: TaskId) {
        self.tasks.entry(task).or_default().failures_recorded += 1;
    }

    /// The rules that a start breaks.
    fn rules_broken_by(
        &self,
        start: &ObservedStart<'_>,
        time_bounds: TimeBounds,
    ) -> Vec<BrokenRule> {
        let unrequested = |cause| BrokenRule {
            rule: Rule::Unrequested,
            cause: Some(cause),
        };
        let Some(job) = self.jobs.get(&start.task.job) else {
            return vec![unrequested("unknown job")];
        };
        let Some(step) = self.step(start.task) else {
            return vec![unrequested("unknown step")];
        };
        let within_bounds = match time_bounds {
            TimeBounds::Enforced => Bound::Checked,
            TimeBounds::Suspended => Bound::Unchecked,
        };
        let history = self.tasks.get(&start.task).cloned().unwrap_or_default();
        let rules = StartRules {
            start,
            job,
            step,
            history: &history,
            dependencies_done: self.dependencies_done(job, step, start.task),
            max_early_start_ms: self.rules.max_early_start_ms,
            cancel_bound: within_bounds,
            drain_bound: match self.rules.draining {
                DrainRule::Always => Bound::Checked,
                DrainRule::WithinTimeBounds => within_bounds,
            },
        };
        rules.broken()
    }

    fn dependencies_done(&self, job: &ExpectedJob, step: &Step, task: TaskId) -> bool {
        step.depends_on.iter().all(|earlier| {
            let count = job.spec.steps[*earlier as usize].count;
            let first = TaskId {
                step: *earlier,
                index: 0,
                ..task
            };
            self.step_done(first, count)
        })
    }

    /// Whether all tasks of a step in one occurrence are done; `first` is the task with index 0.
    fn step_done(&self, first: TaskId, count: u32) -> bool {
        (0..count).all(|index| self.is_done(TaskId { index, ..first }))
    }
}

impl TaskStates for Oracle {
    fn is_running(&self, task: TaskId) -> bool {
        let history = self.tasks.get(&task);
        history.is_some_and(|history| !history.running_on.is_empty())
    }

    fn is_done(&self, task: TaskId) -> bool {
        let history = self.tasks.get(&task);
        history.is_some_and(|history| history.done_at.is_some())
    }
}
