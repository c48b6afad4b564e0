//! What the balancer keeps of volumes, nodes, requests and ordered keys.

use crate::interface::{Micros, NodeId, Request, RequestId, Shard, VolumeId, Zone};
use std::collections::{BTreeMap, VecDeque};

/// One volume at one node: what its next start tag is computed from.
pub(super) struct Flow {
    /// The finish tag of the volume's last request at this node.
    pub(super) finish_tag: i64,
    /// Units that the volume had sent to other nodes when that request was tagged.
    pub(super) remote_units: f64,
    /// Units that the volume has sent to this node.
    pub(super) units_sent_here: f64,
    pub(super) last_used: Micros,
}

/// A token bucket. Its rate and its capacity are passed to each refill, because they change.
#[derive(Clone, Copy, Default)]
pub(super) struct TokenBucket {
    /// Units that may be spent; below zero after an overdraft.
    pub(super) level: f64,
    pub(super) refilled_at: Micros,
}

/// One volume at this host.
#[derive(Default)]
pub(super) struct Volume {
    /// Units sent to any node.
    pub(super) units_sent: f64,
    /// This host's share of the volume's rate limit, with the rate and capacity of its last refill.
    pub(super) limit: TokenBucket,
    pub(super) limit_rate: f64,
    pub(super) limit_capacity: f64,
    /// The largest number of hosts that a request of the volume has named; the limit is divided by it.
    pub(super) hosts: f64,
    /// Units of open requests that have not drawn from the rate limit yet.
    pub(super) waiting_units: f64,
    /// This host's share of the volume's reservation. Units within it earn their full value.
    pub(super) reservation: TokenBucket,
    pub(super) last_used: Micros,
}

/// A node: its queue, its tags, its depth D and its health.
#[derive(Default)]
pub(super) struct Node {
    pub(super) shard: Shard,
    pub(super) zone: Zone,
    pub(super) started_at: Option<Micros>,
    /// Since when this host has known the node as draining or gone.
    pub(super) draining_since: Option<Micros>,
    pub(super) gone: bool,
    /// Waiting requests by start tag, and among equal tags by arrival.
    pub(super) queue: BTreeMap<(i64, u64), RequestId>,
    /// The highest start tag that was sent to the node.
    pub(super) virtual_time: i64,
    pub(super) flows: BTreeMap<VolumeId, Flow>,
    /// When each attempt in flight was sent.
    pub(super) in_flight: BTreeMap<(RequestId, u16), Micros>,
    /// The latest send time among the attempts that the node has answered.
    pub(super) answered_sent_at: Micros,
    /// D: how many attempts may be in flight. Below 1 it is a rate, see [`Node::next_paced_send`].
    pub(super) depth: f64,
    pub(super) depth_updated_at: Micros,
    pub(super) last_sent_at: Micros,
    /// Random factor for the spacing of sends while D is below 1.
    pub(super) send_jitter: f64,
    /// D has held a request back since its last update.
    pub(super) depth_limited: bool,
    /// Running mean of the latency in µs; 0: not known.
    pub(super) latency_ewma: f64,
    /// Running mean of the share of errors among answers.
    pub(super) error_ewma: f64,
    pub(super) consecutive_failures: u32,
    /// When the node last answered, or was first listed.
    pub(super) last_answer_at: Micros,
    pub(super) breaker_open: bool,
    pub(super) next_probe_at: Micros,
    pub(super) probe_backoff: Micros,
    /// This host's share of what the node may get during its slow start.
    pub(super) slow_start_bucket: TokenBucket,
}

/// The first attempt of a request that ran or may have run. It fixes where the request may be repeated.
#[derive(Clone, Copy)]
pub(super) struct FirstAttempt {
    pub(super) sent_at: Micros,
    pub(super) shard: Shard,
    pub(super) zone: Zone,
}

/// A request without a final answer.
#[derive(Default)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    /// The number of its arrival. It orders requests with equal start tags.
    pub(super) sequence: u64,
    /// When its latency target ends.
    pub(super) latency_target_at: Micros,
    /// When it gets a final answer at the latest.
    pub(super) deadline: Micros,
    pub(super) value: f64,
    /// The node at which it waits, or to which it was last sent.
    pub(super) node: Option<NodeId>,
    /// Its key in that node's queue, its start tag first; `None`: not in a queue.
    pub(super) queue_key: Option<(i64, u64)>,
    pub(super) finish_tag: i64,
    /// Attempts sent so far.
    pub(super) attempts: u16,
    pub(super) max_attempts: u32,
    /// Attempts that have not ended.
    pub(super) in_flight: u16,
    /// Its answer has begun to reach the client: it is a transfer in progress.
    pub(super) response_started: bool,
    /// Units that the transfer asks to move next.
    pub(super) requested_units: Option<f64>,
    /// An attempt that has ended may have run.
    pub(super) may_have_run: bool,
    pub(super) first_attempt: Option<FirstAttempt>,
    /// Its units were drawn from the volume's rate limit.
    pub(super) limit_charged: bool,
}

/// Requests of ordered classes with one key, in the order of their arrival.
#[derive(Default)]
pub(super) struct KeyQueue {
    pub(super) requests: VecDeque<RequestId>,
    /// Until when no other request with the key is sent, because an attempt may still be running.
    pub(super) cooldown_until: Micros,
}
