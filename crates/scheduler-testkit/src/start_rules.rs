//! The rules that a start is checked against.

use crate::expected_job::ExpectedJob;
use crate::observed_start::ObservedStart;
use crate::server_run::checkpoint_prefix;
use crate::task_history::TaskHistory;
use crate::violation::Rule;
use lupinrack_cluster_api::job::Step;

/// How long after its client learnt that a job is cancelled its tasks may still start.
const CANCEL_MS: u64 = 3_000;
/// How long after a server began to drain it may still be given starts.
const DRAIN_MS: u64 = 2_000;

/// A rule that a start breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokenRule {
    pub(crate) rule: Rule,
    /// What is wrong, where the rule alone does not say it.
    pub(crate) cause: Option<&'static str>,
}

/// Whether a bound on time is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bound {
    Checked,
    Unchecked,
}

/// A start, and all that its rules depend on.
#[derive(Debug)]
pub(crate) struct StartRules<'a> {
    pub(crate) start: &'a ObservedStart<'a>,
    pub(crate) job: &'a ExpectedJob,
    pub(crate) step: &'a Step,
    /// What had happened to the task before.
    pub(crate) history: &'a TaskHistory,
    /// Whether the tasks of all earlier steps that the step depends on were done.
    pub(crate) dependencies_done: bool,
    /// How much before its time an occurrence may start.
    pub(crate) max_early_start_ms: u64,
    /// The bound on starts of cancelled jobs.
    pub(crate) cancel_bound: Bound,
    /// The bound on starts on draining servers.
    pub(crate) drain_bound: Bound,
}

impl StartRules<'_> {
    /// The rules that are broken, in the order in which they are reported.
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
            broken(!self.job.sent, Rule::Unrequested, "not sent"),
            broken_alone(self.job.refused, Rule::Refused),
        ]
    }

    fn capacity(&self) -> Option<BrokenRule> {
        let (used, needs, capacity) = (self.start.used, self.step.needs, self.start.capacity);
        let exceeded = used.cpu + needs.cpu > capacity.cpu
            || used.memory_mb + needs.memory_mb > capacity.memory_mb
            || used.gpu + needs.gpu > capacity.gpu;
        broken_alone(exceeded, Rule::Limit)
    }

    fn history(&self) -> [Option<BrokenRule>; 2] {
        let step = self.step;
        let runs = !self.history.running_on.is_empty();
        let done = self.history.done_recorded;
        [
            broken(runs && !step.speculative, Rule::Twice, "runs elsewhere"),
            broken(
                done && !step.long_running && !step.speculative,
                Rule::Twice,
                "was done",
            ),
        ]
    }

    fn order(&self) -> [Option<BrokenRule>; 2] {
        let spec = &self.job.spec;
        let occurrence = u64::from(self.start.task.occurrence);
        let due_ms = spec.start_at_ms + occurrence * spec.interval_ms;
        let early = self.start.wall_ms + self.max_early_start_ms < due_ms;
        [
            broken_alone(!self.dependencies_done, Rule::Order),
            broken(spec.repeat > 0 && early, Rule::Order, "ahead of its time"),
        ]
    }

    fn route(&self) -> [Option<BrokenRule>; 2] {
        let (step, start) = (self.step, self.start);
        let lacks_label = !step.requires.is_empty() && !start.labels.contains(&step.requires);
        let crowded = step.anti_affinity > 0 && start.siblings + 1 > step.anti_affinity;
        [
            broken(lacks_label, Rule::Route, "label"),
            broken(crowded, Rule::Route, "anti-affinity"),
        ]
    }

    fn budget(&self) -> Option<BrokenRule> {
        let exhausted = self.history.failures_recorded >= self.job.max_retries;
        broken_alone(!self.step.long_running && exhausted, Rule::Budget)
    }

    fn command(&self) -> [Option<BrokenRule>; 3] {
        let start = self.start;
        let prefix = checkpoint_prefix(start.task);
        let foreign = !start.checkpoint.is_empty() && !start.checkpoint.starts_with(&prefix);
        let cancelled = is_over(self.job.cancelled_at, CANCEL_MS, start.now);
        let cancelled = cancelled && self.cancel_bound == Bound::Checked;
        [
            broken(start.spec != self.job.spec.spec, Rule::Unrequested, "spec"),
            broken(foreign, Rule::Unrequested, "checkpoint"),
            broken(cancelled, Rule::Unrequested, "cancelled"),
        ]
    }

    fn draining(&self) -> Option<BrokenRule> {
        let draining = is_over(self.start.draining_since, DRAIN_MS, self.start.now);
        broken_alone(draining && self.drain_bound == Bound::Checked, Rule::Drain)
    }
}

fn broken(is_broken: bool, rule: Rule, cause: &'static str) -> Option<BrokenRule> {
    is_broken.then_some(BrokenRule {
        rule,
        cause: Some(cause),
    })
}

fn broken_alone(is_broken: bool, rule: Rule) -> Option<BrokenRule> {
    is_broken.then_some(BrokenRule { rule, cause: None })
}

/// Whether `now` is more than `bound_ms` after `since`.
fn is_over(since: Option<u64>, bound_ms: u64, now: u64) -> bool {
    since.is_some_and(|since| now > since + bound_ms)
}
