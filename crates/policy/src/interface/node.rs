//! The node list.

use super::ids::{Micros, NodeId, Shard, Zone};

/// An entry of the node list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// Its number.
    pub node: NodeId,
    /// Whether it takes requests.
    pub state: NodeState,
    /// Its zone.
    pub zone: Zone,
    /// The shard that it stores.
    pub shard: Shard,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
    /// Its capacity relative to that of others, without a unit. Not used by this policy.
    pub weight: f64,
}

/// Whether a listed node takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It takes requests.
    Ready,
    /// It finishes the requests that it has and must get no new ones.
    Draining,
    /// It was removed.
    Gone,
}

/// What an update of the node list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeListKind {
    /// The entries that changed.
    Changes,
    /// The full list.
    Full,
    /// The full list as this host last had it. It may be out of date.
    Cached,
    /// Nothing: a call failed or the subscription ended. The known list stays in use.
    Failed,
}

/// How the balancer treats a listed node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// It gets no new requests, or only probes: it is draining or unresponsive.
    pub is_avoided: bool,
    /// It does not answer: its circuit breaker is open.
    pub is_unresponsive: bool,
}
