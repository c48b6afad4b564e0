//! The job record: what is kept of each job, its times and its tasks.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::{Attempt, QueueName, ServerId, ServiceName};
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::time::WallMillis;
use std::collections::BTreeMap;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TaskStatus {
    /// It is not assigned to any server.
    Waiting,
    /// Its newest start was recorded for this server, and no end of it yet.
    Assigned {
        /// The server.
        server: ServerId,
    },
    /// It has ended well; nothing of it starts again.
    Done,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TaskRecord {
    /// Where it stands.
    pub status: TaskStatus,
    /// The number of its newest start; 0 before the first.
    pub attempt: Attempt,
    /// How many of its runs ended failed; a failed run of a gang counts once for each member.
    pub failed: u32,
    /// The newest start whose failure was counted; 0 for none.
    pub failed_attempt: Attempt,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}

impl TaskRecord {
    /// A task that was never started.
    pub fn new() -> TaskRecord {
        TaskRecord {
            status: TaskStatus::Waiting,
            attempt: 0,
            failed: 0,
            failed_attempt: 0,
            checkpoint: String::new(),
        }
    }

    /// Whether it has ended well.
    pub fn is_done(&self) -> bool {
        self.status == TaskStatus::Done
    }

    /// Whether this start of it was recorded, and no end.
    pub fn is_assigned(&self, attempt: Attempt) -> bool {
        matches!(self.status, TaskStatus::Assigned { .. }) && self.attempt == attempt
    }
}

impl Default for TaskRecord {
    fn default() -> Self {
        Self::new()
    }
}

/// One time of a job, kept from its first start on.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Occurrence {
    /// Its tasks, by step and index.
    pub steps: Vec<Vec<TaskRecord>>,
    /// Tasks that have not ended well.
    pub open_tasks: u32,
}

impl Occurrence {
    /// A time of a job with these steps, none of whose tasks was started.
    pub fn new(steps: &[Step]) -> Occurrence {
        let tasks = |step: &Step| vec![TaskRecord::new(); step.count as usize];
        let open_tasks = steps
            .iter()
            .fold(0u32, |sum, step| sum.saturating_add(step.count));
        Occurrence {
            steps: steps.iter().map(tasks).collect(),
            open_tasks,
        }
    }

    /// Whether all its tasks have ended well.
    pub fn is_done(&self) -> bool {
        self.open_tasks == 0
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobRecord {
    /// Its queue.
    pub queue: QueueName,
    /// The service whose servers run it, from the configuration when it was accepted.
    pub service: ServiceName,
    /// Its priority, likewise.
    pub priority: u32,
    /// Failed runs of a task after which it has failed, likewise.
    pub max_retries: u32,
    /// Milliseconds that its client hopes for, likewise.
    pub target_latency_ms: u64,
    /// Times the longest chain of work that it may take, in thousandths, likewise.
    pub extension_milli: u64,
    /// What it asks for.
    pub spec: JobSpec,
    /// When it was accepted, by the clock of the head.
    pub accepted_at: WallMillis,
    /// What clients are told.
    pub state: JobState,
    /// When it came to its final state, by the clock of whoever recorded that.
    pub ended_at: Option<WallMillis>,
    /// Its times that were started, by number; one that is done keeps an empty list of steps.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Times that are done.
    pub occurrences_done: u32,
}

impl JobRecord {
    /// How many times it runs.
    pub fn times(&self) -> u32 {
        self.spec.repeat.max(1)
    }

    /// When a time is due, in milliseconds since 1970; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.spec.repeat == 0 {
            return 0;
        }
        let offset = u64::from(occurrence).saturating_mul(self.spec.interval_ms);
        self.spec.start_at_ms.saturating_add(offset)
    }

    /// A task's record; none where its time was not started or is done.
    pub fn task(&self, occurrence: u32, step: u32, index: u32) -> Option<&TaskRecord> {
        self.occurrences
            .get(&occurrence)?
            .steps
            .get(step as usize)?
            .get(index as usize)
    }

    /// Whether it has not come to its final state.
    pub fn is_open(&self) -> bool {
        !self.state.is_final()
    }

    /// A step of what it asks for.
    pub fn step(&self, step: u32) -> Option<&Step> {
        self.spec.steps.get(step as usize)
    }

    /// Failed runs after which a task has failed for good: `max_retries`, and at least one.
    pub fn failure_limit(&self) -> u32 {
        self.max_retries.max(1)
    }

    /// Whether all tasks of a time have ended well.
    pub fn occurrence_is_done(&self, occurrence: u32) -> bool {
        self.occurrences
            .get(&occurrence)
            .is_some_and(Occurrence::is_done)
    }

    /// Whether all tasks of a step have ended well in a time; false where there is no such step.
    pub fn step_is_done(&self, occurrence: u32, step: u32) -> bool {
        let Some(asked) = self.step(step) else {
            return false;
        };
        if asked.count == 0 || self.occurrence_is_done(occurrence) {
            return true;
        }
        let started = self.occurrences.get(&occurrence);
        let tasks = started.and_then(|started| started.steps.get(step as usize));
        tasks.is_some_and(|tasks| tasks.iter().all(TaskRecord::is_done))
    }
}
