//! What a server's agent (the process on its machine) and the owner of its shard tell each other.
//!
//! The owner says what should run on the server; the agent turns that into starts and stops in answers to the server's
//! heartbeats, and may be asked for it again at any time. A session begins with [`AgentMessage::Attach`] and ends with
//! its connection; the first answer holds everything, later ones hold changes.

use crate::identity::{Attempt, FencingToken, ServerId, TaskId};
use crate::server::{FinishedTask, RunningTask, ServerFacts};
use crate::time::Millis;
use borsh::{BorshDeserialize, BorshSerialize};

/// A heartbeat of the server, as its agent passes it on.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    /// The server's life.
    pub server: ServerId,
    /// The server's sequence number of the heartbeat.
    pub sequence: u64,
    /// Whether the server drains.
    pub draining: bool,
    /// While it drains, the milliseconds that are left at least.
    pub remaining_ms: Option<u64>,
    /// All that runs.
    pub running: Vec<RunningTask>,
    /// Ends that were not observed yet.
    pub finished: Vec<FinishedTask>,
    /// The newest [`OwnerMessage`] number all of whose starts and stops had been in an answer which the server received
    /// or dropped before it sent this heartbeat.
    pub orders_seen: u64,
}

/// From a server's agent to the owner of its shard.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AgentMessage {
    /// Begins a session.
    Attach {
        /// The server.
        facts: ServerFacts,
        /// The highest token that the agent has seen; it takes orders under no lower one.
        token: FencingToken,
        /// The newest heartbeat.
        heartbeat: Heartbeat,
        /// When the agent sent this, by its own steady clock.
        sent_at: Millis,
    },
    /// A heartbeat, or word that nothing has changed.
    Report {
        /// The heartbeat; none where it tells nothing new.
        heartbeat: Option<Heartbeat>,
        /// When the agent sent this, by its own steady clock.
        sent_at: Millis,
    },
    /// The server has left in order; nothing runs on it.
    Deregister {
        /// The server's life.
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
    /// The text of its job.
    pub spec: String,
    /// The checkpoint that it continues from; empty for none.
    pub checkpoint: String,
}

/// From the owner of a shard to a server's agent.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct OwnerMessage {
    /// The owner's token.
    pub token: FencingToken,
    /// The server's life that this is for; the agent drops it where another one lives now.
    pub server: ServerId,
    /// Its number in this session, from 1.
    pub number: u64,
    /// Whether `assign` is all that should run (the first message of a session), or comes on top.
    pub complete: bool,
    /// What should run from now on.
    pub assign: Vec<Assignment>,
    /// Runs that should not: stopped where they run, never started where they do not.
    pub stop: Vec<(TaskId, Attempt)>,
    /// Ends up to this number are kept and may be forgotten.
    pub observed: u64,
    /// The agent's `sent_at` of the newest message that the owner has from it: from then on the hold counts.
    pub lease_from: Millis,
    /// How long, in milliseconds, the server may hold what runs from `lease_from` on.
    pub lease_ms: u64,
    /// How long, in milliseconds, the server should wait before it beats again.
    pub heartbeat_after_ms: u64,
}
