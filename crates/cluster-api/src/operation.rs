//! Operations of the replicated control state, and their results.
//!
//! The head of the chain numbers operations; every replica applies them in that order once they are
//! committed. Whether an operation takes effect is decided when it is applied, so that every
//! replica comes to the same result.

use crate::error::ErrorKind;
use crate::identity::{
    Attempt, DiskId, FencingToken, JobId, PeerAddress, QueueName, ServerId, ServiceName, TaskId,
};
use crate::job::{JobSpec, JobState};
use crate::request::Target;
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

/// A change of the configuration, as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationChange {
    /// The version that must be current for the change to be accepted.
    pub if_match: u64,
    /// The change, as JSON text.
    pub body: ConfigurationBody,
}

/// The start of a task on a server.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StartRecord {
    /// The task.
    pub task: TaskId,
    /// The number of this start.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerId,
    /// The checkpoint that the run continues from; empty for none.
    pub checkpoint: String,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EndRecord {
    /// The task.
    pub task: TaskId,
    /// The number of the run's start.
    pub attempt: Attempt,
    /// How the run ended.
    pub end: RunEnd,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// An operation.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Operation {
    /// Changes the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// Accepts a job; an identity that is in use already, in whatever queue, changes nothing. Only
    /// logs of earlier versions hold it: see [`Operation::AcceptJobAt`].
    AcceptJob {
        /// The job.
        job: JobId,
        /// Its queue, according to the configuration at the head when the call arrived.
        queue: QueueName,
        /// The job as its client submitted it.
        spec: JobSpec,
        /// When the call arrived, by the clock of the head.
        at: WallMillis,
    },
    /// Cancels the job of this identity, in whatever queue it is. Only logs of earlier versions hold
    /// it: see [`Operation::CancelJobAt`].
    CancelJob {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: QueueName,
        /// When the call arrived, by the clock of the head.
        at: WallMillis,
    },
    /// Moves the shard of a service to an owner.
    TakeShard {
        /// The service.
        service: ServiceName,
        /// The new token; refused if it is not above the current one.
        token: FencingToken,
        /// The disk whose process owns the shard from now on.
        owner: DiskId,
        /// The incarnation of that process. A later incarnation of the process reads this operation
        /// in its log again, and must recognize that the token is not its own.
        incarnation: u64,
    },
    /// Records starts, before any server is ordered to run them.
    RecordStarts {
        /// The service of the shard.
        service: ServiceName,
        /// The owner's token.
        token: FencingToken,
        /// The starts. Each is accepted or refused separately, except that the members of a gang
        /// are accepted or refused together.
        starts: Vec<StartRecord>,
    },
    /// Records ends, before any server is notified that it may drop them.
    RecordEnds {
        /// The service of the shard.
        service: ServiceName,
        /// The owner's token.
        token: FencingToken,
        /// The ends.
        ends: Vec<EndRecord>,
        /// When the owner ordered this, by its clock.
        at: WallMillis,
    },
    /// Records which agent an incarnation of a server is bound to, when an owner first receives
    /// from it. An agent serves one server at a time, so every incarnation that was bound to the
    /// agent earlier has ended, even if the owner never received from that incarnation.
    RecordServer {
        /// The service of the shard.
        service: ServiceName,
        /// The owner's token.
        token: FencingToken,
        /// The incarnation.
        server: ServerId,
        /// Its agent.
        agent: PeerAddress,
    },
    /// Removes jobs that ended before a point in time.
    ForgetJobs {
        /// The point in time.
        ended_before: WallMillis,
    },
    /// Changes nothing. Once it is committed, everything before it is too.
    Noop,
    /// Moves open jobs of a service to the services to which the configuration directs their queues
    /// when this is applied. Jobs whose queues are not directed elsewhere are not changed.
    HandOverJobs {
        /// The service of the shard that the jobs belong to.
        service: ServiceName,
        /// The owner's token.
        token: FencingToken,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Accepts a job in the queue that has this address when this is applied; the same job of the
    /// same queue again changes nothing. Jobs of other queues may have the same identity.
    AcceptJobAt {
        /// Where the client submitted it.
        target: Target,
        /// The identity that the client chose.
        job: JobId,
        /// The job as its client submitted it.
        spec: JobSpec,
        /// When the call arrived, by the clock of the head.
        at: WallMillis,
    },
    /// Cancels a job of the queue that has this address when this is applied.
    CancelJobAt {
        /// Where the client cancelled it.
        target: Target,
        /// The identity that the client chose.
        job: JobId,
        /// When the call arrived, by the clock of the head.
        at: WallMillis,
    },
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum OperationResult {
    /// It took effect, or had done so earlier.
    Done,
    /// The job's state after the operation.
    Job(JobState),
    /// Which of the starts were accepted, in their order.
    Starts(Vec<bool>),
    /// It had no effect.
    Refused(ErrorKind),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LogEntry {
    /// Its index, from 1 without gaps.
    pub index: u64,
    /// The operation.
    pub operation: Operation,
}
