//! The record of a run for the checks, and the limits and capacities of the mock servers.

use crate::history::{Entry, Moment};
use crate::script::Act;
use mock_servers::load::RequestOutcome;
use std::ops::Range;

/// The limit of the plan `basic` in the mock settings: units per second, burst and slack.
pub const LIMIT: (f64, f64, f64) = (40.0, 32.0, 8.0);
/// Capacity of a warmed-up node in units per second, the share of it that a new node starts with, and the duration of the
/// warm-up in seconds.
pub const NODE_CAPACITY: (f64, f64, f64) = (150.0, 0.25, 8.0);
/// Load above this multiple of its capacity, for a second, overloads a node.
pub const OVERLOAD_FACTOR: f64 = 4.0;
/// A request that a client sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// When it was sent.
    pub at: Moment,
    /// The front that it was sent to.
    pub front: u16,
    /// The volume.
    pub volume: u64,
    /// Its cost in units.
    pub units: u32,
    /// Whether it counts against a limit.
    pub limited: bool,
    /// Whether it writes.
    pub writes: bool,
}

/// An attempt that reached a node.
#[derive(Clone, Debug)]
pub struct NodeAttempt {
    /// When its last byte arrived.
    pub at: Moment,
    /// The node's index.
    pub node: usize,
    /// When the node started, if it started during the run and had to warm up.
    pub cold: Option<Moment>,
    /// The request ID.
    pub id: String,
    /// The volume.
    pub volume: u64,
    /// Its cost in units.
    pub units: u32,
    /// Whether the request ran, in this attempt or in an earlier one of which this is a deduplicated retry.
    pub ran: bool,
    /// Whether the node deduplicated it as a retry.
    pub dropped: bool,
    /// The idempotency key of a write.
    pub key: Option<String>,
}

/// Everything that was recorded of a run.
#[derive(Default)]
pub struct RunRecord {
    /// From the start to the end of the load.
    pub span: Range<Moment>,
    /// Log records and acts, ordered by time.
    pub history: Vec<(Moment, Entry)>,
    /// The acts that the harness carried out.
    pub injected_acts: Vec<(Moment, Act)>,
    /// The attempts that reached the nodes.
    pub seen: Vec<NodeAttempt>,
    /// The requests that clients sent, with their outcomes.
    pub done: Vec<(SentRequest, RequestOutcome)>,
    /// Number of datagrams and bytes that each front sent since the load began.
    pub sent: Vec<(u64, u64)>,
    /// Number of processes that were started.
    pub processes: u64,
    /// CPU time of the processes that ran at the end, in milliseconds.
    pub cpu_ms: f64,
}
