//! Reports why tasks wait, for operators: which servers are left out, for which reason and since when.

use lupinrack_cluster_api::identity::{JobId, ServerId};
use std::collections::BTreeMap;
use std::fmt;

/// The first reason for which a server does not start a waiting task now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Exclusion {
    /// without a session
    NoSession,
    /// with a session that was not answered yet
    SessionNotAnswered,
    /// not heard from
    NotHeardFrom,
    /// draining
    Draining,
    /// without the label
    MissingLabel,
    /// too small
    TooSmall,
    /// suspected
    Suspected,
    /// slow, or with an earlier fault of the gang
    Unreliable,
    /// at the anti-affinity limit
    AntiAffinity,
    /// without free capacity
    Full,
    /// with capacity claimed by queued tasks
    Claimed,
    /// with capacity reserved for other work
    Reserved,
    /// with capacity kept for urgent work
    Headroom,
    /// able to start a task
    Able,
}

/// The servers that are left out for the same reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcludedServers {
    /// Their number.
    pub count: usize,
    /// The server that has been left out for this reason for the longest time.
    pub longest: ServerId,
    /// For how long, in milliseconds.
    pub longest_ms: u64,
}

/// A step with waiting tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The job.
    pub job: JobId,
    /// The index of the job's occurrence.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The number of its tasks that wait.
    pub tasks: usize,
    /// The number of these tasks that are in the queue of a server.
    pub queued: usize,
    /// Whether the tasks start together.
    pub is_gang: bool,
    /// How long the step has been waiting, in milliseconds.
    pub waited_ms: u64,
    /// All servers of the service, by the reason for which they do not start a task of the step.
    pub servers: BTreeMap<Exclusion, ExcludedServers>,
}

/// Starts that were decided and that the servers do not list yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnlistedStarts {
    /// The number of starts that are not recorded yet.
    pub proposed: usize,
    /// The longest time since the proposal of one of them, in milliseconds.
    pub proposed_ms: u64,
    /// The number of recorded starts that their servers do not list.
    pub recorded: usize,
    /// The longest time since one of them was recorded, in milliseconds.
    pub recorded_ms: u64,
}

/// Why the tasks of a service wait, at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitReport {
    /// The steps that have been waiting for the longest time, the longest first.
    pub steps: Vec<WaitingStep>,
    /// The number of further steps that wait for too long.
    pub more_steps: usize,
    /// The starts that were decided and have had no effect yet.
    pub starts: UnlistedStarts,
    /// For how long the owner has had no authority to place tasks, in milliseconds; 0 if it has.
    pub without_authority_ms: u64,
    /// The number of sessions that agents have begun with this owner. It grows fast if sessions break.
    pub sessions: u64,
}

impl fmt::Display for WaitingStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let WaitingStep {
            job,
            occurrence,
            step,
            tasks,
            queued,
            waited_ms,
            ..
        } = self;
        let kind = if self.is_gang { "gang" } else { "step" };
        write!(f, "{kind} {job}.{occurrence}.{step}: {tasks} tasks wait")?;
        write!(f, " for {waited_ms} ms ({queued} queued); servers:")?;
        for (reason, servers) in &self.servers {
            write!(f, " {reason} {servers}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ExcludedServers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (server, longest_ms) = (&self.longest.0, self.longest_ms);
        write!(f, "{} ({server} for {longest_ms} ms),", self.count)
    }
}

impl fmt::Display for UnlistedStarts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} proposed ({} ms)", self.proposed, self.proposed_ms)?;
        write!(
            f,
            ", {} recorded and not listed ({} ms)",
            self.recorded, self.recorded_ms
        )
    }
}
