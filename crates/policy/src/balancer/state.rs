//! What the balancer remembers of volumes, nodes, requests and keys.

use crate::interface::{Micros, NodeId, Request, RequestId, Shard, VolumeId, Zone};
use std::collections::{BTreeMap, VecDeque};

/// What one volume has at one node: its last finish tag, and counts for the delay.
pub(super) struct Flow {
    pub(super) finish: i64,
    pub(super) elsewhere_seen: f64,
    pub(super) sent_here: f64,
    pub(super) last: Micros,
}

/// What may be spent: it fills with time.
#[derive(Clone, Copy, Default)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) at: Micros,
}

/// What one volume has at this host: units sent anywhere, and this host's part of its limit.
#[derive(Default)]
pub(super) struct Volume {
    pub(super) sent: f64,
    pub(super) tokens: Bucket,
    pub(super) rate: f64,
    pub(super) most: f64,
    pub(super) hosts: f64,
    pub(super) waiting: f64,
    pub(super) reserve: Bucket,
    pub(super) last: Micros,
}

/// A node: queue, tags, depth and health.
#[derive(Default)]
pub(super) struct Node {
    pub(super) shard: Shard,
    pub(super) zone: Zone,
    pub(super) started: Option<Micros>,
    pub(super) stopping_since: Option<Micros>,
    pub(super) gone: bool,
    pub(super) queue: BTreeMap<(i64, u64), RequestId>,
    pub(super) vtime: i64,
    pub(super) flows: BTreeMap<VolumeId, Flow>,
    pub(super) out: BTreeMap<(RequestId, u16), Micros>,
    pub(super) answered: Micros,
    pub(super) depth: f64,
    pub(super) depth_at: Micros,
    pub(super) sent_at: Micros,
    pub(super) jitter: f64,
    pub(super) pressed: bool,
    pub(super) latency: f64,
    pub(super) errors: f64,
    pub(super) fails: u32,
    pub(super) heard_at: Micros,
    pub(super) open: bool,
    pub(super) trial_at: Micros,
    pub(super) backoff: Micros,
    pub(super) cold: Bucket,
}

/// The first attempt of a request that ran or may have run.
#[derive(Clone, Copy)]
pub(super) struct Anchor {
    pub(super) sent: Micros,
    pub(super) shard: Shard,
    pub(super) zone: Zone,
}

/// An open request.
#[derive(Default)]
pub(super) struct Open {
    pub(super) req: Request,
    pub(super) seq: u64,
    pub(super) aim_at: Micros,
    pub(super) end: Micros,
    pub(super) value: f64,
    pub(super) home: Option<NodeId>,
    pub(super) slot: Option<(i64, u64)>,
    pub(super) finish: i64,
    pub(super) tries: u16,
    pub(super) most: u32,
    pub(super) live: u16,
    pub(super) began: bool,
    pub(super) more: Option<f64>,
    pub(super) maybe_ran: bool,
    pub(super) anchor: Option<Anchor>,
    pub(super) drawn: bool,
}

/// Requests of ordered classes with one key, in the order taken.
#[derive(Default)]
pub(super) struct KeyQueue {
    pub(super) ids: VecDeque<RequestId>,
    pub(super) rest_until: Micros,
}
