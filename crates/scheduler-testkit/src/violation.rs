//! The rules that are checked, and violations of them.

use std::fmt;

/// The rules that an oracle and the clients of a simulation check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// The runs on a server fit its capacity.
    Capacity,
    /// A task has at most one run at a time, and none after it is known to be done.
    DuplicateRun,
    /// A step starts after the steps that it depends on, and not before its start time.
    StartOrder,
    /// A task runs only where its labels and its anti-affinity allow it.
    Placement,
    /// A task is not restarted once it has failed `max_retries` times.
    RetryLimit,
    /// A run belongs to a job that a client submitted and that is not cancelled, and is started with the submitted spec.
    Unrequested,
    /// A job whose submission was rejected never runs.
    RejectedSubmission,
    /// A draining server gets no new runs.
    Drain,
    /// The members of a gang start together.
    Gang,
    /// A job succeeds only if all its tasks did.
    PartialSuccess,
    /// An accepted job ends, and its final state agrees with the ends of its tasks.
    JobOutcome,
    /// A job does not wait with nothing running while servers have room for it.
    IdleJob,
    /// The configuration is the one of the last acknowledged change.
    Configuration,
}

impl Rule {
    /// The rule's name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Rule::Capacity => "LIMIT",
            Rule::DuplicateRun => "TWICE",
            Rule::StartOrder => "ORDER",
            Rule::Placement => "ROUTE",
            Rule::RetryLimit => "BUDGET",
            Rule::Unrequested => "UNASKED",
            Rule::RejectedSubmission => "REFUSED",
            Rule::Drain => "DRAIN",
            Rule::Gang => "GANG",
            Rule::PartialSuccess => "MIXED",
            Rule::JobOutcome | Rule::IdleJob => "LOST",
            Rule::Configuration => "CONFIG",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A broken rule. Its text is `{at} ms: {RULE}: {detail}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was observed.
    pub at: u64,
    /// The rule.
    pub rule: Rule,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { at, rule, detail } = self;
        write!(f, "{at} ms: {rule}: {detail}")
    }
}
