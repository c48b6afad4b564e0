//! What servers say of themselves and of what runs on them.

use crate::identity::{Attempt, ServerId, ServiceName, TaskId};
use crate::job::Resources;
use borsh::{BorshDeserialize, BorshSerialize};

/// What a server says of itself and seldom changes.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ServerFacts {
    /// Its identity in this life.
    pub id: ServerId,
    /// Its service.
    pub service: ServiceName,
    /// The version of its software.
    pub version: String,
    /// Its zone.
    pub zone: String,
    /// What it has in all.
    pub capacity: Resources,
    /// Its labels: its kind and its rack.
    pub labels: Vec<String>,
}

/// A run on a server.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Its start.
    pub attempt: Attempt,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
    /// How far it is, in percent.
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum RunEnd {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the server's.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// The lease under which the server ran it has expired.
    LeaseExpired,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the others of its gang.
    Alone,
    /// It was not started.
    Refused,
}

/// The end of a run, as a server lists it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FinishedTask {
    /// Its number, from 1 in each life of the server.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Its start.
    pub attempt: Attempt,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
}
