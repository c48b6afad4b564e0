//! Calls between processes of the system: what a front or any control process asks of the head of the chain.

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

/// A call.
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
    /// shard may act for a bounded time counted from when it sent this.
    ConfirmView {
        /// The number.
        number: u64,
    },
    /// Asks what a process knows of the system, for operators.
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
    /// Text for operators.
    Status(String),
    /// It did not come to that.
    Error(ErrorKind),
    /// This process is not the head; nothing was taken. The newest view that it knows.
    NotHead(View),
}
