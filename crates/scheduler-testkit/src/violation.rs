//! Broken rules.

use std::fmt;

/// The rules that an oracle and the clients of a simulation check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// What runs on a server fits its capacity.
    Limit,
    /// A task runs once at a time, and not after it is known to be done.
    Twice,
    /// A step starts after those that it depends on, and not before its time.
    Order,
    /// A task runs only where its labels and its anti-affinity allow it.
    Route,
    /// A task is not started again after as many failures as its queue allows.
    Budget,
    /// What runs was submitted by a client, is not cancelled, and is started as it was submitted.
    Unrequested,
    /// A job whose submission was rejected never runs.
    Refused,
    /// A server that drains gets no new runs.
    Drain,
    /// The members of a gang start together.
    Gang,
    /// A job succeeds only if all its tasks did.
    Mixed,
    /// An accepted job ends, and as its tasks did.
    Lost,
    /// The configuration is the one that was acknowledged last.
    Config,
}

impl Rule {
    /// The rule's name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Rule::Limit => "LIMIT",
            Rule::Twice => "TWICE",
            Rule::Order => "ORDER",
            Rule::Route => "ROUTE",
            Rule::Budget => "BUDGET",
            Rule::Unrequested => "UNASKED",
            Rule::Refused => "REFUSED",
            Rule::Drain => "DRAIN",
            Rule::Gang => "GANG",
            Rule::Mixed => "MIXED",
            Rule::Lost => "LOST",
            Rule::Config => "CONFIG",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A broken rule. Its text is `{moment} ms: {RULE}: {detail}`.
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
