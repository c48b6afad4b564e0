//! What happened, for people and for programs.

use crate::job_kind::PlayedJob;
use mock_servers::worker::floor::Floor;
use mock_servers::worker::messages::End;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use tokio::time::Instant;

/// A process that was killed and started again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Killed {
    /// Its part: `head`, `front` or `agent`.
    pub part: &'static str,
    /// Its name.
    pub member: String,
    /// When, in milliseconds since the cluster was started.
    pub at_ms: u64,
}

/// A job that did not end as it should.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WrongJob {
    /// The job.
    pub job: String,
    /// Its kind.
    pub kind: &'static str,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The state in which it should have ended.
    pub expected: &'static str,
    /// The last state that was seen.
    pub state: Option<&'static str>,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LocalReport {
    /// Whether every job ended as it should and nothing ran that should not.
    pub good: bool,
    /// Jobs that were handed in.
    pub jobs: usize,
    /// Jobs that ended as they should, by kind.
    pub as_expected: BTreeMap<&'static str, usize>,
    /// The others.
    pub wrong: Vec<WrongJob>,
    /// How often jobs were sent again until they were accepted.
    pub sent_again: u32,
    /// Runs by how they ended.
    pub run_ends: BTreeMap<End, usize>,
    /// Starts of tasks that ran already or were known to be done.
    pub run_twice: usize,
    /// Starts ahead of a step that had to be done first.
    pub out_of_order: usize,
    /// Runs that were alive in the end.
    pub left_running: usize,
    /// Processes that were killed.
    pub killed: Vec<Killed>,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}

impl LocalReport {
    /// From the jobs, and what the workers noted.
    pub fn new(
        played: &[PlayedJob],
        floor: &Floor,
        killed: Vec<Killed>,
        took_ms: u64,
    ) -> LocalReport {
        let mut as_expected = BTreeMap::new();
        for job in played.iter().filter(|job| job.is_as_expected()) {
            *as_expected.entry(job.kind.as_str()).or_default() += 1;
        }
        let wrong: Vec<WrongJob> = played
            .iter()
            .filter(|job| !job.is_as_expected())
            .map(wrong)
            .collect();
        let (run_twice, out_of_order, left_running) = (
            floor.run_twice(),
            crate::dependency_order::out_of_order(played, &floor.events()),
            floor.alive(),
        );
        LocalReport {
            good: wrong.is_empty() && run_twice + out_of_order + left_running == 0,
            jobs: played.len(),
            as_expected,
            wrong,
            sent_again: played.iter().map(|job| job.sends.saturating_sub(1)).sum(),
            run_ends: floor.ends(),
            run_twice,
            out_of_order,
            left_running,
            killed,
            took_ms,
        }
    }
}

fn wrong(job: &PlayedJob) -> WrongJob {
    WrongJob {
        job: job.job.to_string(),
        kind: job.kind.as_str(),
        accepted: job.accepted,
        expected: job.kind.expected().as_str(),
        state: job.state.map(|state| state.as_str()),
    }
}

impl fmt::Display for LocalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ended: usize = self.as_expected.values().sum();
        writeln!(
            f,
            "jobs: {ended} of {} ended as they should, in {} ms",
            self.jobs, self.took_ms
        )?;
        for (kind, count) in &self.as_expected {
            writeln!(f, "  {kind}: {count}")?;
        }
        for job in &self.wrong {
            let state = job.state.unwrap_or("not known");
            writeln!(
                f,
                "  wrong: {} ({}) is {state}, should be {}",
                job.job, job.kind, job.expected
            )?;
        }
        writeln!(f, "sent again: {}", self.sent_again)?;
        writeln!(f, "runs by end: {:?}", self.run_ends)?;
        writeln!(
            f,
            "run twice: {}, out of order: {}, left running: {}",
            self.run_twice, self.out_of_order, self.left_running
        )
    }
}

/// Tells what happens, as it happens.
#[derive(Debug)]
pub struct Journal {
    began: Instant,
    prints: bool,
}

impl Journal {
    /// Begins now; prints to standard output or keeps silent.
    pub fn begin(prints: bool) -> Journal {
        Journal {
            began: Instant::now(),
            prints,
        }
    }

    /// Milliseconds since it began.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Tells something, and gives its moment in milliseconds.
    pub fn tell(&self, what: impl fmt::Display) -> u64 {
        let at_ms = self.elapsed_ms();
        if self.prints {
            println!("{at_ms:>7} ms  {what}");
        }
        at_ms
    }
}
