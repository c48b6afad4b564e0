//! Messages between a server's agent, which is the process on the server's machine, and the owner
//! of its shard.
//!
//! The owner decides what should run on the server. The agent turns that into starts and stops in
//! its answers to the server's heartbeats, and repeats them when it is asked again. A session
//! starts with [`AgentMessage::Attach`] and ends with its connection. The first [`OwnerMessage`] of
//! a session is a snapshot of everything that should run, later ones are deltas.

use crate::identity::{Attempt, FencingToken, ServerId, TaskId};
use crate::server::{FinishedTask, RunningTask, ServerFacts};
use crate::time::Millis;
use borsh::{BorshDeserialize, BorshSerialize};

/// A heartbeat of a server, as its agent forwards it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    /// The incarnation of the server.
    pub server: ServerId,
    /// The heartbeat's sequence number, given by the server.
    pub sequence: u64,
    /// Whether the server is draining.
    pub draining: bool,
    /// While the server drains, how long it will still run at least, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Everything that runs on the server.
    pub running: Vec<RunningTask>,
    /// Ends that the owner has not acknowledged yet.
    pub finished: Vec<FinishedTask>,
    /// The highest [`OwnerMessage::number`] whose starts and stops had all been in answers that the
    /// server received or dropped before it sent this heartbeat. A dropped answer counts, since it
    /// cannot start or stop anything any more.
    pub orders_seen: u64,
}

/// A message from a server's agent to the owner of its shard.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AgentMessage {
    /// Begins a session.
    Attach {
        /// The server.
        facts: ServerFacts,
        /// The highest token that the agent has seen; the agent rejects orders under a lower one.
        token: FencingToken,
        /// The newest heartbeat.
        heartbeat: Heartbeat,
        /// When the agent sent this, by its own monotonic clock.
        sent_at: Millis,
    },
    /// A heartbeat, or a notice that nothing has changed.
    Report {
        /// The heartbeat; none if it holds nothing new.
        heartbeat: Option<Heartbeat>,
        /// When the agent sent this, by its own monotonic clock.
        sent_at: Millis,
    },
    /// The server has shut down gracefully; nothing runs on it.
    Deregister {
        /// The incarnation of the server.
        server: ServerId,
    },
}

/// A task that should run on the server.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Assignment {
    /// The task.
    pub task: TaskId,
    /// The number of its start.
    pub attempt: Attempt,
    /// The text of its job, as the client submitted it.
    pub spec: String,
    /// The checkpoint that it continues from; empty for none.
    pub checkpoint: String,
}

/// A message from the owner of a shard to a server's agent.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct OwnerMessage {
    /// The owner's token.
    pub token: FencingToken,
    /// The incarnation of the server that this message is for. The agent drops the message if the
    /// server has another incarnation by now.
    pub server: ServerId,
    /// Its number in this session, from 1.
    pub number: u64,
    /// Whether `assign` is everything that should run, as in the first message of a session, or is
    /// added to what should run already.
    pub complete: bool,
    /// What should run from now on.
    pub assign: Vec<Assignment>,
    /// Runs that must not run: they are stopped if they run, and are never started otherwise.
    pub stop: Vec<(TaskId, Attempt)>,
    /// Ends up to this [`FinishedTask::number`] are recorded; the server may drop them.
    pub observed: u64,
    /// The `sent_at` of the newest message that the owner has received from the agent. The lease
    /// starts at that time.
    pub lease_from: Millis,
    /// How long the lease lasts from `lease_from` on, in milliseconds. The server may run tasks
    /// until then.
    pub lease_ms: u64,
    /// How long the server should wait before its next heartbeat, in milliseconds.
    pub heartbeat_after_ms: u64,
}
