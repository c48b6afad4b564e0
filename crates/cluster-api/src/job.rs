//! Jobs as clients describe them.

use borsh::{BorshDeserialize, BorshSerialize};

/// What one task needs of a server, or what a server has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What each of them needs.
    pub needs: Resources,
    /// A rough guess of how long a task takes, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Whether its tasks save their progress.
    pub checkpoints: bool,
    /// Whether its tasks work only together.
    pub gang: bool,
    /// Whether a gang is slow on more than one rack.
    pub same_rack: bool,
    /// A label that the server must have; empty for none.
    pub requires: String,
    /// The rack that holds the data; empty for none.
    pub affinity: String,
    /// The most tasks of this step and occurrence on one server; 0 for no bound.
    pub anti_affinity: u32,
    /// Whether copies may run side by side.
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
}

/// A job as handed in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct JobSpec {
    /// The text that every start carries.
    pub spec: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// How many times they run; 0 and 1 both mean once, 0 without a due time.
    pub repeat: u32,
    /// When time 0 is due, in milliseconds since 1970; 0 for at once.
    pub start_at_ms: u64,
    /// Between one time and the next, in milliseconds.
    pub interval_ms: u64,
}

/// What a client is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum JobState {
    /// Nothing of it was started yet.
    Queued,
    /// Some task was started.
    Running,
    /// Every task has ended well.
    Succeeded,
    /// A task or a gang failed as often as its queue allows.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether it changes no more.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Succeeded | JobState::Failed | JobState::Cancelled
        )
    }

    /// Its word on the wire.
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
