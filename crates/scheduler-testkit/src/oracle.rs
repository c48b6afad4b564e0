//! What the servers and clients of a simulation observe, checked against the rules of running tasks.

use crate::expected_job::ExpectedJob;
use crate::observed_start::ObservedStart;
use crate::start_rules::{Bound, BrokenRule, StartRules};
use crate::step_context::TimeBounds;
use crate::task_history::TaskHistory;
use crate::violation::{Rule, Violation};
use lupinrack_cluster_api::identity::{JobId, TaskId};
use lupinrack_cluster_api::job::Step;
use std::collections::BTreeMap;

/// How many violations are recorded; more say nothing new.
const MAX_VIOLATIONS: usize = 20;

/// When the rule on starts on draining servers is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainRule {
    /// Always: an agent is beside its server, whatever else is out of order.
    Always,
    /// Only while [`TimeBounds::Enforced`]: the agent's process may stand still.
    WithinTimeBounds,
}

/// Which jobs' gangs may end for want of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangRule {
    /// Those of cancelled jobs.
    CancelledJobs,
    /// Those of jobs whose cancellation was asked for, and of jobs whose tasks fail by their own fault: a simulation with
    /// lost calls and answers does not know when a cancellation counts.
    CancelledOrFailingJobs,
}

/// In what the rules of two simulations differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OracleRules {
    /// How much before its time an occurrence may start, in milliseconds: the error of the clocks.
    pub max_early_start_ms: u64,
    /// When starts on draining servers are violations.
    pub draining: DrainRule,
    /// Which jobs' gangs may end for want of members.
    pub gangs: GangRule,
}

/// Records what servers and clients observe, and reports violations.
#[derive(Clone, Debug)]
pub struct Oracle {
    rules: OracleRules,
    /// What clients know of their jobs.
    jobs: BTreeMap<JobId, ExpectedJob>,
    tasks: BTreeMap<TaskId, TaskHistory>,
    violations: Vec<Violation>,
}

impl Oracle {
    /// An oracle that has observed nothing.
    pub fn new(rules: OracleRules) -> Oracle {
        Oracle {
            rules,
            jobs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Expects a job from now on.
    pub fn expect_job(&mut self, id: JobId, job: ExpectedJob) {
        self.jobs.insert(id, job);
    }

    /// What clients know of their jobs.
    pub fn jobs(&self) -> &BTreeMap<JobId, ExpectedJob> {
        &self.jobs
    }

    /// What the client of a job knows, to be changed.
    pub fn job_mut(&mut self, id: JobId) -> Option<&mut ExpectedJob> {
        self.jobs.get_mut(&id)
    }

    /// What has happened to the tasks that were started.
    pub fn tasks(&self) -> &BTreeMap<TaskId, TaskHistory> {
        &self.tasks
    }

    /// The rules that were broken, in the order of their reports; after twenty, no more are recorded.
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

    /// The step of a task of a known job.
    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// Whether all tasks of a job were done.
    pub fn all_done(&self, job: JobId) -> bool {
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

    /// Whether a task, or the members of a gang together, failed as often as the job's queue allows.
    pub fn has_cause_to_fail(&self, job: JobId) -> bool {
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

    /// Whether a gang of the job may end for want of members.
    pub(crate) fn may_gang_lack_members(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|job| match self.rules.gangs {
                GangRule::CancelledJobs => job.cancelled_at.is_some(),
                GangRule::CancelledOrFailingJobs => job.cancel_sent || job.own_failures > 0,
            })
    }

    /// How often a task has failed.
    pub(crate) fn failures(&self, task: TaskId) -> u32 {
        self.tasks.get(&task).map_or(0, |history| history.failures)
    }

    /// Whether a task was done.
    pub(crate) fn is_done(&self, task: TaskId) -> bool {
        self.tasks
            .get(&task)
            .is_some_and(|history| history.done_at.is_some())
    }

    /// Checks and records a start.
    pub(crate) fn observe_start(&mut self, start: &ObservedStart<'_>, time_bounds: TimeBounds) {
        for BrokenRule { rule, cause } in self.rules_broken_by(start, time_bounds) {
            let what = format!("{} attempt {} on {}", start.task, start.attempt, start.slot);
            let detail = match cause {
                Some(cause) => format!("{cause}: {what}"),
                None => what,
            };
            self.report_violation(start.now, rule, detail);
        }
        let history = self.tasks.entry(start.task).or_default();
        history.running_on.insert((start.slot, start.incarnation));
        history.last_start_at = Some(start.now);
        history.highest_attempt = history.highest_attempt.max(start.attempt);
    }

    /// Records that a run is over, however it ended.
    pub(crate) fn observe_run_over(&mut self, task: TaskId, slot: usize, incarnation: u64) {
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

    /// Records that the owner has recorded that a task was done at `done_at`.
    pub(crate) fn observe_done_recorded(&mut self, task: TaskId, done_at: u64, now: u64) {
        let long_running = self.step(task).is_some_and(|step| step.long_running);
        let history = self.tasks.entry(task).or_default();
        history.done_recorded = true;
        let started_since = history.last_start_at.is_some_and(|at| at > done_at);
        if started_since && !long_running {
            let detail = format!("{task} was started after its end, which was recorded later");
            self.report_violation(now, Rule::Twice, detail);
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
            return vec![unrequested("no such job")];
        };
        let Some(step) = self.step(start.task) else {
            return vec![unrequested("no such step")];
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

    /// Whether the tasks of a step in one occurrence were done, by its first task.
    fn step_done(&self, first: TaskId, count: u32) -> bool {
        (0..count).all(|index| self.is_done(TaskId { index, ..first }))
    }
}
