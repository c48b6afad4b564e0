//! The report of a run, as text and as JSON.

use crate::client::JobOutcome;
use crate::dependency_order::count_early_starts;
use lupinrack_cluster_api::job::JobState;
use mock_servers::worker::cluster_events::ClusterEvents;
use mock_servers::worker::messages::End;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A process that was killed and restarted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KilledProcess {
    /// The kill target: `head`, `front` or `agent`.
    #[serde(rename = "part")]
    pub target: &'static str,
    /// The name of the process.
    pub member: String,
    /// When it was killed, in milliseconds since the cluster was started.
    pub at_ms: u64,
}

/// A job that did not end as expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct UnexpectedJob {
    /// The job.
    pub job: String,
    /// Its kind.
    pub kind: &'static str,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The expected final state.
    pub expected: &'static str,
    /// The last state that the client read.
    pub state: Option<&'static str>,
}

/// The report of a run. Its JSON form is an interface: the names of its fields do not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LocalReport {
    /// Whether every job ended as expected and nothing ran that should not.
    pub good: bool,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs that ended as expected, by kind.
    pub as_expected: BTreeMap<&'static str, usize>,
    /// The jobs that did not end as expected.
    #[serde(rename = "wrong")]
    pub unexpected: Vec<UnexpectedJob>,
    /// Number of resent submissions until the jobs were accepted.
    #[serde(rename = "sent-again")]
    pub resubmissions: u32,
    /// Number of task runs by how they ended.
    pub run_ends: BTreeMap<End, usize>,
    /// Number of starts of tasks that already ran or were known to be done.
    #[serde(rename = "run-twice")]
    pub duplicate_starts: usize,
    /// Number of starts before the step that the task depends on was done.
    #[serde(rename = "out-of-order")]
    pub early_starts: usize,
    /// Number of runs that were still alive at the end.
    pub left_running: usize,
    /// Processes that were killed.
    pub killed: Vec<KilledProcess>,
    /// Duration of the run, in milliseconds.
    #[serde(rename = "took-ms")]
    pub duration_ms: u64,
}

impl LocalReport {
    /// Builds the report on these jobs from the workers' events.
    pub fn new(
        outcomes: &[JobOutcome],
        events: &ClusterEvents,
        killed: Vec<KilledProcess>,
        duration_ms: u64,
    ) -> LocalReport {
        let (expected, unexpected): (Vec<&JobOutcome>, Vec<&JobOutcome>) = outcomes
            .iter()
            .partition(|outcome| outcome.is_as_expected());
        let mut as_expected = BTreeMap::new();
        for outcome in expected {
            *as_expected.entry(outcome.kind.as_str()).or_default() += 1;
        }
        let duplicate_starts = events.duplicate_starts();
        let early_starts = count_early_starts(outcomes, &events.events());
        let left_running = events.alive();
        LocalReport {
            good: unexpected.is_empty() && duplicate_starts + early_starts + left_running == 0,
            jobs: outcomes.len(),
            as_expected,
            unexpected: unexpected.into_iter().map(unexpected_job).collect(),
            resubmissions: outcomes.iter().map(resubmissions).sum(),
            run_ends: events.ends(),
            duplicate_starts,
            early_starts,
            left_running,
            killed,
            duration_ms,
        }
    }
}

fn resubmissions(outcome: &JobOutcome) -> u32 {
    outcome.submissions.saturating_sub(1)
}

fn unexpected_job(outcome: &JobOutcome) -> UnexpectedJob {
    UnexpectedJob {
        job: outcome.job.to_string(),
        kind: outcome.kind.as_str(),
        accepted: outcome.accepted,
        expected: outcome.kind.expected_state().as_str(),
        state: outcome.state.map(JobState::as_str),
    }
}

impl fmt::Display for LocalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LocalReport {
            jobs, duration_ms, ..
        } = self;
        let ended: usize = self.as_expected.values().sum();
        writeln!(
            f,
            "jobs: {ended} of {jobs} ended as expected, in {duration_ms} ms"
        )?;
        for (kind, count) in &self.as_expected {
            writeln!(f, "  {kind}: {count}")?;
        }
        for unexpected in &self.unexpected {
            writeln!(f, "  {unexpected}")?;
        }
        writeln!(f, "resubmissions: {}", self.resubmissions)?;
        writeln!(f, "runs by end: {:?}", self.run_ends)?;
        writeln!(
            f,
            "duplicate starts: {}, early starts: {}, left running: {}",
            self.duplicate_starts, self.early_starts, self.left_running
        )
    }
}

impl fmt::Display for UnexpectedJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnexpectedJob {
            job,
            kind,
            expected,
            ..
        } = self;
        let state = self.state.unwrap_or("not known");
        write!(
            f,
            "unexpected: {job} ({kind}) is {state}, should be {expected}"
        )
    }
}
