//! The simulated work of a task, parsed from its job's text.

use std::fmt;
use std::str::FromStr;

/// A task's simulated work. Its text is a list of `key=value` words; unknown keys are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// How long the task runs, in milliseconds.
    pub takes_ms: u64,
    /// CPU that it uses, in thousandths of a core.
    pub cpu: u64,
    /// Number of tasks in its gang; 0 if it is not part of a gang.
    pub gang: usize,
    /// Whether the task fails when its time is over.
    pub fails: bool,
}

impl FromStr for Work {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Work, Self::Err> {
        let mut work = Work::default();
        for (key, value) in text
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
        {
            match key {
                "takes-ms" => work.takes_ms = value.parse()?,
                "cpu" => work.cpu = value.parse()?,
                "gang" => work.gang = value.parse()?,
                "fails" => work.fails = value == "yes",
                _ => {}
            }
        }
        Ok(work)
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fails = if self.fails { "yes" } else { "no" };
        write!(
            f,
            "takes-ms={} cpu={} gang={} fails={fails}",
            self.takes_ms, self.cpu, self.gang
        )
    }
}
