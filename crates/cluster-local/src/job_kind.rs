//! The kinds of jobs that are handed in, and how one of them is followed to its end.

use crate::http_call::{exchange, Answer, Call};
use crate::operator::{HOST, PREFIX};
use http::Method;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::{JobSpec, JobState, Resources, Step};
use lupinrack_cluster_json::{job_body, parse_job_state};
use mock_servers::worker::work::Work;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Between two tries of a call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Between two questions for a job's state.
const POLL_PAUSE: Duration = Duration::from_millis(300);
/// How long after it was accepted a job is cancelled.
const CANCEL_AFTER: Duration = Duration::from_millis(700);
/// What a task takes of its worker's processor, in thousandths of a core.
const TASK_CPU: u64 = 500;
/// What a task takes of its worker's memory, in megabytes.
const TASK_MEMORY_MB: u64 = 64;
/// How long the work of a task is, in milliseconds.
const SHORT_MS: u64 = 250;
/// How long the work of a task is that is cancelled, in milliseconds; longer than anybody waits.
const ENDLESS_MS: u64 = 3_600_000;
/// The status of a job that does not exist, or not any more.
const GONE: u16 = 410;

/// A kind of job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Two steps side by side.
    Plain,
    /// Tasks that work only together.
    Gang,
    /// A step that waits for another.
    Dependent,
    /// Cancelled while it runs.
    Cancelled,
    /// Its task fails each time.
    Failing,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 5] = [
        Kind::Plain,
        Kind::Gang,
        Kind::Dependent,
        Kind::Cancelled,
        Kind::Failing,
    ];

    /// Its word in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Plain => "plain",
            Kind::Gang => "gang",
            Kind::Dependent => "dependent",
            Kind::Cancelled => "cancelled",
            Kind::Failing => "failing",
        }
    }

    /// How such a job should end.
    pub fn expected(self) -> JobState {
        match self {
            Kind::Plain | Kind::Gang | Kind::Dependent => JobState::Succeeded,
            Kind::Cancelled => JobState::Cancelled,
            Kind::Failing => JobState::Failed,
        }
    }

    /// What such a job asks for.
    pub fn spec(self) -> JobSpec {
        let work = Work {
            takes_ms: SHORT_MS,
            cpu: TASK_CPU,
            gang: 0,
            fails: false,
        };
        let (work, steps) = match self {
            Kind::Plain => (work, vec![step(3), step(2)]),
            Kind::Gang => (
                Work { gang: 3, ..work },
                vec![Step {
                    gang: true,
                    ..step(3)
                }],
            ),
            Kind::Dependent => (
                work,
                vec![
                    step(2),
                    Step {
                        depends_on: vec![0],
                        ..step(2)
                    },
                ],
            ),
            Kind::Cancelled => (
                Work {
                    takes_ms: ENDLESS_MS,
                    ..work
                },
                vec![step(1)],
            ),
            Kind::Failing => (
                Work {
                    fails: true,
                    ..work
                },
                vec![step(1)],
            ),
        };
        JobSpec {
            spec: work.to_string(),
            steps,
            ..JobSpec::default()
        }
    }
}

fn step(count: u32) -> Step {
    let needs = Resources {
        cpu: TASK_CPU,
        memory_mb: TASK_MEMORY_MB,
        gpu: 0,
    };
    Step {
        count,
        needs,
        estimate_ms: SHORT_MS,
        ..Step::default()
    }
}

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlayedJob {
    /// The job.
    pub job: JobId,
    /// Its kind.
    pub kind: Kind,
    /// How often it was sent until it was accepted.
    pub sends: u32,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Its last state that was seen.
    pub state: Option<JobState>,
}

impl PlayedJob {
    /// Whether it ended as it should.
    pub fn is_as_expected(&self) -> bool {
        self.accepted && self.state == Some(self.kind.expected())
    }
}

/// A client of one job.
#[derive(Clone, Debug)]
pub struct Client {
    /// The fronts, in the order in which they are tried.
    pub fronts: Vec<SocketAddrV4>,
    /// When it gives up.
    pub until: Instant,
}

impl Client {
    /// Hands a job in and follows it to its end.
    pub async fn play(self, job: JobId, kind: Kind) -> PlayedJob {
        let mut played = PlayedJob {
            job,
            kind,
            sends: 0,
            accepted: false,
            state: None,
        };
        let submission = Call {
            body: job_body(&kind.spec()),
            ..call(Method::POST, job)
        };
        let Some(sends) = self.insist(&submission, Answer::is_success).await else {
            return played;
        };
        played.sends = sends;
        played.accepted = true;
        if kind == Kind::Cancelled {
            sleep(CANCEL_AFTER).await;
            let over = |answer: &Answer| answer.is_success() || answer.status == GONE;
            self.insist(&call(Method::DELETE, job), over).await;
        }
        played.state = self.final_state(job).await;
        played
    }

    /// Makes a call at one front after the other until an answer will do, and tells how often; none where the time is over.
    async fn insist(&self, call: &Call, will_do: impl Fn(&Answer) -> bool) -> Option<u32> {
        let mut sends = 0;
        for front in self.fronts.iter().cycle() {
            if Instant::now() >= self.until {
                return None;
            }
            sends += 1;
            if exchange(*front, call)
                .await
                .is_some_and(|answer| will_do(&answer))
            {
                return Some(sends);
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Asks until the job changes no more, or the time is over: the last state that was seen.
    async fn final_state(&self, job: JobId) -> Option<JobState> {
        let question = call(Method::GET, job);
        let mut state = None;
        for front in self.fronts.iter().cycle() {
            if let Some(answer) = exchange(*front, &question).await.filter(Answer::is_success) {
                state = parse_job_state(&answer.body).ok().or(state);
            }
            if state.is_some_and(JobState::is_final) || Instant::now() >= self.until {
                break;
            }
            sleep(POLL_PAUSE).await;
        }
        state
    }
}

fn call(method: Method, job: JobId) -> Call {
    Call {
        method,
        path: format!("{PREFIX}{job}"),
        host: HOST.to_owned(),
        ..Call::default()
    }
}
