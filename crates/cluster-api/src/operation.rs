//! Operations of the replicated control state, and their results.
//!
//! The head of the chain numbers operations; every member applies them in that order once they are committed. Whether an
//! operation holds is decided when it is applied, so that every replica comes to the same result.

use crate::configuration::Configuration;
use crate::error::ErrorKind;
use crate::identity::{
    Attempt, DiskId, FencingToken, JobId, PeerAddress, QueueName, ServerId, ServiceName, TaskId,
};
use crate::job::{JobSpec, JobState};
use crate::server::RunEnd;
use crate::time::WallMillis;
use borsh::{BorshDeserialize, BorshSerialize};

/// How a configuration is changed.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ConfigurationBody {
    /// The body of a `PUT`: a complete configuration that replaces the current one.
    Replacement(String),
    /// The body of a `PATCH`: items to add, replace and remove.
    Patch(String),
}

/// A change of the configuration as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationChange {
    /// The version it builds on.
    pub if_match: u64,
    /// What it changes, as JSON text.
    pub body: ConfigurationBody,
}

/// A task told to start on a server.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StartRecord {
    /// The task.
    pub task: TaskId,
    /// The number of this start.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerId,
    /// The checkpoint that it continues from; empty for none.
    pub checkpoint: String,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EndRecord {
    /// The task.
    pub task: TaskId,
    /// The number of its start.
    pub attempt: Attempt,
    /// How it ended.
    pub end: RunEnd,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// One operation.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Operation {
    /// Changes the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// Accepts a job; the same job again changes nothing.
    AcceptJob {
        /// The job.
        job: JobId,
        /// Its queue, by the configuration at the head when it came.
        queue: QueueName,
        /// What it asks for.
        spec: JobSpec,
        /// When it came, by the clock of the head.
        at: WallMillis,
    },
    /// Cancels a job.
    CancelJob {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: QueueName,
        /// When the call came, by the clock of the head.
        at: WallMillis,
    },
    /// Moves the scheduling of a service to an owner.
    TakeShard {
        /// The service.
        service: ServiceName,
        /// The new token; one that is not above the current token is refused.
        token: FencingToken,
        /// The disk whose process owns the shard from now on.
        owner: DiskId,
        /// The life of that process. A later life of it reads this operation in its log again, and has to know that the
        /// token is not its own.
        incarnation: u64,
    },
    /// Records starts before any server is told of them.
    RecordStarts {
        /// The shard.
        service: ServiceName,
        /// The owner's token.
        token: FencingToken,
        /// The starts. Each is taken or refused for itself, members of one gang together.
        starts: Vec<StartRecord>,
    },
    /// Records ends before any server is told that they were observed.
    RecordEnds {
        /// The shard.
        service: ServiceName,
        /// The owner's token.
        token: FencingToken,
        /// The ends.
        ends: Vec<EndRecord>,
        /// When they were recorded, by the clock of the owner.
        at: WallMillis,
    },
    /// Records beside which agent a life of a server runs, when an owner first meets it. An agent stands beside one server
    /// at a time: every life that was recorded there earlier is over, also for an owner that never met it.
    RecordServer {
        /// The shard.
        service: ServiceName,
        /// The owner's token.
        token: FencingToken,
        /// The life.
        server: ServerId,
        /// Its agent.
        agent: PeerAddress,
    },
    /// Drops jobs that ended before this moment.
    ForgetJobs {
        /// The moment.
        ended_before: WallMillis,
    },
    /// Changes nothing; commits everything before it.
    Nothing,
}

/// What an operation came to.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum OperationResult {
    /// It holds.
    Done,
    /// A job's state after the operation.
    Job(JobState),
    /// Which of the starts hold, in their order.
    Starts(Vec<bool>),
    /// It does not hold.
    Refused(ErrorKind),
}

/// An operation under its number, as replicas keep it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LogEntry {
    /// Its number, from 1, without gaps.
    pub index: u64,
    /// What is to be applied.
    pub operation: Operation,
}

/// The configuration as a snapshot that processes share.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationSnapshot {
    /// The configuration.
    pub configuration: Configuration,
}
