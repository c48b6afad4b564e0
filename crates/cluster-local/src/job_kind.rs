//! The kinds of submitted jobs, and the expected end of each.

use lupinrack_cluster_api::job::{JobSpec, JobState, Resources, Step};
use mock_servers::worker::work::Work;

/// Processor demand of a task, in thousandths of a core.
const TASK_CPU: u64 = 500;
/// Memory demand of a task, in megabytes.
const TASK_MEMORY_MB: u64 = 64;
/// Run time of a task, in milliseconds.
const TASK_WORK_MS: u64 = 250;
/// Run time of a task of a cancelled job, in milliseconds; longer than any run of a cluster.
const CANCELLED_TASK_WORK_MS: u64 = 3_600_000;
/// Number of members of a gang.
const GANG_SIZE: u32 = 3;

/// A kind of job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobKind {
    /// Two independent steps.
    Plain,
    /// A gang: tasks that run only together.
    Gang,
    /// A step that depends on another.
    Dependent,
    /// Cancelled by its client while it runs.
    Cancelled,
    /// Its task fails in every attempt.
    Failing,
}

impl JobKind {
    /// Every kind.
    pub const ALL: [JobKind; 5] = [
        JobKind::Plain,
        JobKind::Gang,
        JobKind::Dependent,
        JobKind::Cancelled,
        JobKind::Failing,
    ];

    /// Its name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            JobKind::Plain => "plain",
            JobKind::Gang => "gang",
            JobKind::Dependent => "dependent",
            JobKind::Cancelled => "cancelled",
            JobKind::Failing => "failing",
        }
    }

    /// The expected final state of a job of this kind.
    pub fn expected_state(self) -> JobState {
        match self {
            JobKind::Plain | JobKind::Gang | JobKind::Dependent => JobState::Succeeded,
            JobKind::Cancelled => JobState::Cancelled,
            JobKind::Failing => JobState::Failed,
        }
    }

    /// The specification of a job of this kind. Its text describes to the mock worker how each task behaves.
    pub fn spec(self) -> JobSpec {
        JobSpec {
            spec: self.work().to_string(),
            steps: self.steps(),
            ..JobSpec::default()
        }
    }

    fn work(self) -> Work {
        let work = Work {
            takes_ms: TASK_WORK_MS,
            cpu: TASK_CPU,
            gang: 0,
            fails: false,
        };
        match self {
            JobKind::Plain | JobKind::Dependent => work,
            JobKind::Gang => Work {
                gang: GANG_SIZE as usize,
                ..work
            },
            JobKind::Cancelled => Work {
                takes_ms: CANCELLED_TASK_WORK_MS,
                ..work
            },
            JobKind::Failing => Work {
                fails: true,
                ..work
            },
        }
    }

    fn steps(self) -> Vec<Step> {
        match self {
            JobKind::Plain => vec![step(3), step(2)],
            JobKind::Gang => vec![Step {
                gang: true,
                ..step(GANG_SIZE)
            }],
            JobKind::Dependent => {
                let dependent = Step {
                    depends_on: vec![0],
                    ..step(2)
                };
                vec![step(2), dependent]
            }
            JobKind::Cancelled | JobKind::Failing => vec![step(1)],
        }
    }
}

/// A step with `count` tasks.
fn step(count: u32) -> Step {
    let needs = Resources {
        cpu: TASK_CPU,
        memory_mb: TASK_MEMORY_MB,
        gpu: 0,
    };
    Step {
        count,
        needs,
        estimate_ms: TASK_WORK_MS,
        ..Step::default()
    }
}
