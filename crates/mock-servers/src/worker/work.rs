//! What a task does at a stand-in worker, as the text of its job says it.

use std::fmt;
use std::str::FromStr;

/// A task's work. Its text is a list of `key=value` words; unknown words are skipped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Milliseconds that it takes.
    pub takes_ms: u64,
    /// Thousandths of a core that it takes meanwhile.
    pub cpu: u64,
    /// How many tasks its gang has; 0 for no gang.
    pub gang: usize,
    /// Whether it fails in the end.
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
