//! Calls between processes of the system: what a front or any control process asks of the head of the chain.
//!
//! A call is known by its [`CallId`], and its type says whether it may be sent again: a [`Request`] is [`Idempotent`], a
//! [`ProcessQuery`] is not, and what sends calls again takes the former only.

use crate::error::ErrorKind;
use crate::identity::JobId;
use crate::job::{JobSpec, JobState};
use crate::operation::ConfigurationChange;
use crate::view::View;
use borsh::{BorshDeserialize, BorshSerialize};

/// Host and path of a client's request, by which the head finds the queue in the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Target {
    /// The `Host` header without a port.
    pub host: String,
    /// The path.
    pub path: String,
}

/// The identity of a call: no other call of any process, in any of its lives, has the same one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct CallId {
    /// The life of the process that calls, drawn at random when it began. Numbers begin anew with each life, and a process
    /// that was restarted listens at the same address: without this it would take an answer to its former life's call
    /// for one of its own.
    pub incarnation: u64,
    /// The number of the call in that life.
    pub number: u64,
}

/// Why a call may be sent again, also after it was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotenceReason {
    /// It changes nothing.
    Read,
    /// It names a job by the identity that its client chose; the same job again is the same job.
    JobIdentity,
    /// The digests of changes that were taken are kept; the same change again is answered as it was.
    ChangeDigest,
    /// What it asks for is final; once it is so, the call changes nothing.
    Final,
}

mod sealed {
    /// Only this module says what may be sent again.
    pub trait Sealed {}
}

/// A call that may be sent again when no answer came, to the same process or another one: however often it is carried
/// out, the state is as after the first time, and each answer is true.
pub trait Idempotent: sealed::Sealed {
    /// Why that is so.
    fn idempotence_reason(&self) -> IdempotenceReason;
}

/// A call to the head of the chain. Each kind is repeatable; a kind that is not does not belong here.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// Changes the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// Reads the newest configuration.
    ReadConfiguration,
    /// Hands in a job; the path ends in the job's identity.
    SubmitJob {
        /// Which queue.
        target: Target,
        /// The job.
        job: JobId,
        /// What it asks for.
        spec: JobSpec,
    },
    /// Asks for a job's state.
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
    /// Asks how many jobs of a queue have not ended.
    ReadQueue {
        /// Which queue.
        target: Target,
    },
    /// Asks whether the view of this number still rules: answered `Done` after a barrier through its chain. An owner of a
    /// shard may act for a bounded time counted from when it sent this first.
    ConfirmView {
        /// The number.
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

/// A question that only the process which is asked can answer. It is never sent on or again: another process would
/// answer for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessQuery {
    /// What it knows of the system, for operators.
    Status,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Reply {
    /// It is done and kept.
    Done,
    /// The newest configuration as the operator wrote it, as JSON text.
    ConfigurationDocument(String),
    /// A job's state.
    Job(JobState),
    /// How many jobs of the queue have not ended.
    Pending(u64),
    /// It did not come to that.
    Error(ErrorKind),
    /// This process is not the head; nothing was taken. The newest view that it knows.
    NotHead(View),
}
