//! Jobs, as clients describe them.

use borsh::{BorshDeserialize, BorshSerialize};

/// What a task needs of a server, or what a server has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub gpu: u64,
}

/// A step of a job: a number of identical tasks.
// Each flag is a field of the JSON in which clients submit jobs; they are independent of each
// other.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What each of them needs.
    pub needs: Resources,
    /// A rough estimate of how long a task runs, in milliseconds.
    pub estimate_ms: u64,
    /// Numbers of the earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Whether its tasks write checkpoints, from which a later run continues.
    pub checkpoints: bool,
    /// Whether its tasks form a gang: they work only together, so all start at once or none.
    pub gang: bool,
    /// Whether a gang is slow on more than one rack.
    pub same_rack: bool,
    /// A label that the server must have; empty for none.
    pub requires: String,
    /// The rack that holds the data, which is preferred; empty for none.
    pub affinity: String,
    /// The most tasks of this step and occurrence on one server; 0 for no limit.
    pub anti_affinity: u32,
    /// Whether a slow task may be started a second time while its first run continues (speculative
    /// execution).
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
}

/// A job, as its client submits it. Its steps run once or several times; each of these times is an
/// occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct JobSpec {
    /// The job's text, which servers get with every start.
    pub spec: String,
    /// Its steps, in an order in which each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// The number of occurrences. 0 is one occurrence, due at once; 1 is one occurrence, due at
    /// `start_at_ms`.
    pub repeat: u32,
    /// When the first occurrence is due, in milliseconds since 1970; 0 for at once.
    pub start_at_ms: u64,
    /// The time between one occurrence and the next, in milliseconds.
    pub interval_ms: u64,
}

/// The state of a job, as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum JobState {
    /// None of its tasks was started yet.
    Queued,
    /// At least one task was started.
    Running,
    /// All tasks of all occurrences have succeeded.
    Succeeded,
    /// A task or gang has failed as often as its queue permits.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether the job has ended. A final state never changes.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Succeeded | JobState::Failed | JobState::Cancelled
        )
    }

    /// Its name in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Succeeded => "succeeded",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }
}
