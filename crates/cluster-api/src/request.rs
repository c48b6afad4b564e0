//! Calls between processes of the system: what a front or a core process asks of the head of the
//! chain.
//!
//! A call is identified by its [`CallId`], and its type says whether it may be sent again: a
//! [`Request`] is [`Idempotent`], a [`ProcessQuery`] is not. Code that retries calls accepts only
//! the former.

use crate::error::ErrorKind;
use crate::identity::JobId;
use crate::job::{JobSpec, JobState};
use crate::operation::ConfigurationChange;
use crate::view::View;
use borsh::{BorshDeserialize, BorshSerialize};

/// Host and path of a client's request, by which the head finds the queue in the current
/// configuration.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Target {
    /// The `Host` header without a port.
    pub host: String,
    /// The path.
    pub path: String,
}

/// The identity of a call, unique among all calls of all incarnations of all processes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct CallId {
    /// The incarnation of the calling process, drawn at random when it started. Each incarnation
    /// numbers its calls from the beginning, and a restarted process listens at the same address:
    /// without this field it would mistake the answer to a call of its former incarnation for the
    /// answer to its own.
    pub incarnation: u64,
    /// The number of the call in that incarnation.
    pub number: u64,
}

/// Why a call may be sent again, even after it was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotenceReason {
    /// It changes nothing.
    Read,
    /// It identifies a job by the identity that its client chose, so a repeated call refers to the
    /// same job.
    JobIdentity,
    /// The digests of accepted changes are kept; the same change again gets the same answer.
    ChangeDigest,
    /// It asks for a final state; once that state is reached, the call changes nothing.
    Final,
}

mod sealed {
    /// Keeps [`super::Idempotent`] from being implemented outside this module.
    pub trait Sealed {}
}

/// A call that may be sent again if no answer arrived, to the same process or another one: however
/// often it is carried out, the state is as after the first time, and each answer is true.
pub trait Idempotent: sealed::Sealed {
    /// Why the call is idempotent.
    fn idempotence_reason(&self) -> IdempotenceReason;
}

/// A call to the head of the chain. Every variant must be idempotent.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// Changes the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// Reads the current configuration.
    ReadConfiguration,
    /// Submits a job; the path ends in the job's identity.
    SubmitJob {
        /// Which queue.
        target: Target,
        /// The job.
        job: JobId,
        /// The job's description.
        spec: JobSpec,
    },
    /// Reads a job's state.
    ReadJob {
        /// Which queue.
        target: Target,
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    CancelJob {
        /// Which queue.
        target: Target,
        /// The job.
        job: JobId,
    },
    /// Reads how many jobs of a queue have not ended.
    ReadQueue {
        /// Which queue.
        target: Target,
    },
    /// Asks whether a view is still in force. The answer is [`Reply::Done`], after a barrier has
    /// passed through its chain. An owner of a shard may act for a bounded time, counted from when
    /// it first sent this.
    ConfirmView {
        /// The view's number.
        number: u64,
    },
}

impl sealed::Sealed for Request {}

impl Idempotent for Request {
    fn idempotence_reason(&self) -> IdempotenceReason {
        match self {
            Request::ChangeConfiguration(_) => IdempotenceReason::ChangeDigest,
            Request::SubmitJob { .. } => IdempotenceReason::JobIdentity,
            Request::CancelJob { .. } => IdempotenceReason::Final,
            Request::ReadConfiguration
            | Request::ReadJob { .. }
            | Request::ReadQueue { .. }
            | Request::ConfirmView { .. } => IdempotenceReason::Read,
        }
    }
}

/// A query that only its receiver can answer. It is never forwarded or retried, since another
/// process would answer for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessQuery {
    /// The process's own status, for operators.
    Status,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Reply {
    /// The call took effect and is committed.
    Done,
    /// The current configuration as the operator sent it, as JSON text.
    ConfigurationDocument(String),
    /// A job's state.
    Job(JobState),
    /// How many jobs of the queue have not ended.
    Pending(u64),
    /// The call failed.
    Error(ErrorKind),
    /// The called process is not the head, and has accepted nothing. Holds the newest view that the
    /// process knows.
    NotHead(View),
}
