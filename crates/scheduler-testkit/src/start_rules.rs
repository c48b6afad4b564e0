//! The rules for starts.

use crate::expected_job::ExpectedJob;
use crate::observed_start::ObservedStart;
use crate::server_run::checkpoint_prefix;
use crate::task_history::TaskHistory;
use crate::violation::Rule;
use lupinrack_cluster_api::job::Step;

/// How long after the confirmed cancellation of a job its tasks may still start.
const CANCEL_GRACE_MS: u64 = 3_000;
/// How long after a server began to drain it may still receive starts.
const DRAIN_GRACE_MS: u64 = 2_000;

/// A rule that a start breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokenRule {
    pub(crate) rule: Rule,
    /// The cause, if the rule alone does not identify it.
    pub(crate) cause: Option<&'static str>,
}

/// Whether a time bound is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bound {
    Checked,
    Unchecked,
}

/// A start, and everything that the rules for it depend on.
#[derive(Debug)]
pub(crate) struct StartRules<'a> {
    pub(crate) start: &'a ObservedStart<'a>,
    pub(crate) job: &'a ExpectedJob,
    pub(crate) step: &'a Step,
    /// The task's history before this start.
    pub(crate) history: &'a TaskHistory,
    /// Whether all tasks of the steps that this step depends on are done.
    pub(crate) dependencies_done: bool,
    /// How long before its start time an occurrence may start.
    pub(crate) max_early_start_ms: u64,
    /// Whether the time bound on starts of cancelled jobs is checked.
    pub(crate) cancel_bound: Bound,
    /// Whether the time bound on starts on draining servers is checked.
    pub(crate) drain_bound: Bound,
}

impl StartRules<'_> {
    /// The broken rules, in the order in which they are reported.
    pub(crate) fn broken(&self) -> Vec<BrokenRule> {
        let checks = self
            .submission()
            .into_iter()
            .chain([self.capacity()])
            .chain(self.history())
            .chain(self.order())
            .chain(self.route())
            .chain([self.budget()])
            .chain(self.command())
            .chain([self.draining()]);
        checks.flatten().collect()
    }

    fn submission(&self) -> [Option<BrokenRule>; 2] {
        [
            broken(
                !self.job.submitted,
                Rule::Unrequested,
                "submission was not sent",
            ),
            broken_without_cause(self.job.rejected, Rule::RejectedSubmission),
        ]
    }

    fn capacity(&self) -> Option<BrokenRule> {
        let (used, needs, capacity) = (self.start.used, self.step.needs, self.start.capacity);
        let exceeded = used.cpu + needs.cpu > capacity.cpu
            || used.memory_mb + needs.memory_mb > capacity.memory_mb
            || used.gpu + needs.gpu > capacity.gpu;
        broken_without_cause(exceeded, Rule::Capacity)
    }

    fn history(&self) -> [Option<BrokenRule>; 2] {
        let step = self.step;
        let runs = !self.history.running_on.is_empty();
        let done = self.history.done_recorded;
        [
            broken(
                runs && !step.speculative,
                Rule::DuplicateRun,
                "already running",
            ),
            broken(
                done && !step.long_running && !step.speculative,
                Rule::DuplicateRun,
                "already done",
            ),
        ]
    }

    fn order(&self) -> [Option<BrokenRule>; 2] {
        let spec = &self.job.spec;
        let occurrence = u64::from(self.start.task.occurrence);
        let due_ms = spec.start_at_ms + occurrence * spec.interval_ms;
        let early = self.start.wall_ms + self.max_early_start_ms < due_ms;
        [
            broken_without_cause(!self.dependencies_done, Rule::StartOrder),
            broken(
                spec.repeat > 0 && early,
                Rule::StartOrder,
                "before its start time",
            ),
        ]
    }

    fn route(&self) -> [Option<BrokenRule>; 2] {
        let (step, start) = (self.step, self.start);
        let misses_label = !step.requires.is_empty() && !start.labels.contains(&step.requires);
        let exceeds_limit = step.anti_affinity > 0 && start.siblings + 1 > step.anti_affinity;
        [
            broken(misses_label, Rule::Placement, "required label missing"),
            broken(
                exceeds_limit,
                Rule::Placement,
                "anti-affinity limit exceeded",
            ),
        ]
    }

    fn budget(&self) -> Option<BrokenRule> {
        let exhausted = self.history.failures_recorded >= self.job.max_retries;
        broken_without_cause(!self.step.long_running && exhausted, Rule::RetryLimit)
    }

    fn command(&self) -> [Option<BrokenRule>; 3] {
        let start = self.start;
        let prefix = checkpoint_prefix(start.task);
        let foreign = !start.checkpoint.is_empty() && !start.checkpoint.starts_with(&prefix);
        let cancelled = is_past_grace(self.job.cancelled_at, CANCEL_GRACE_MS, start.now);
        let cancelled = cancelled && self.cancel_bound == Bound::Checked;
        [
            broken(
                start.spec != self.job.spec.spec,
                Rule::Unrequested,
                "spec differs from the submission",
            ),
            broken(foreign, Rule::Unrequested, "checkpoint of another step"),
            broken(cancelled, Rule::Unrequested, "job was cancelled"),
        ]
    }

    fn draining(&self) -> Option<BrokenRule> {
        let draining = is_past_grace(self.start.draining_since, DRAIN_GRACE_MS, self.start.now);
        broken_without_cause(draining && self.drain_bound == Bound::Checked, Rule::Drain)
    }
}

fn broken(is_broken: bool, rule: Rule, cause: &'static str) -> Option<BrokenRule> {
    is_broken.then_some(BrokenRule {
        rule,
        cause: Some(cause),
    })
}

fn broken_without_cause(is_broken: bool, rule: Rule) -> Option<BrokenRule> {
    is_broken.then_some(BrokenRule { rule, cause: None })
}

/// Whether `now` is more than `grace_ms` after `since`.
fn is_past_grace(since: Option<u64>, grace_ms: u64, now: u64) -> bool {
    since.is_some_and(|since| now > since + grace_ms)
}
