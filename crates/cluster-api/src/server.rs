//! What servers report of themselves and of what runs on them.

use crate::identity::{Attempt, ServerId, ServiceName, TaskId};
use crate::job::Resources;
use borsh::{BorshDeserialize, BorshSerialize};

/// What a server reports of itself. The values seldom change within an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ServerFacts {
    /// The incarnation of the server.
    pub id: ServerId,
    /// Its service.
    pub service: ServiceName,
    /// The version of its software.
    pub version: String,
    /// Its zone.
    pub zone: String,
    /// Its total capacity.
    pub capacity: Resources,
    /// Its labels: its kind and its rack.
    pub labels: Vec<String>,
}

/// A run on a server.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The number of its start.
    pub attempt: Attempt,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Its progress, in percent.
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum RunEnd {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the server's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The lease under which the server ran it has expired.
    LeaseExpired,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
    /// It was not started.
    Refused,
}

/// The end of a run, as a server reports it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FinishedTask {
    /// Its number, from 1 in each incarnation of the server.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the run's start.
    pub attempt: Attempt,
    /// How it ended.
    pub end: RunEnd,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}
