//! What a host observes.

use super::ids::{Micros, NodeId, RequestId, Shard};
use super::node::{NodeEntry, NodeListKind};
use super::outcome::{AttemptEnd, LoadReport, Outcome};
use super::quota::QuotaShares;
use super::request::Request;
use super::settings::Settings;
use std::collections::BTreeMap;

/// An event that the embedder passes to [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the node list.
    NodeList {
        /// What the update contains.
        kind: NodeListKind,
        /// The entries.
        entries: Vec<NodeEntry>,
    },
    /// New settings. Classes and plans keep their indices, and open requests keep their attempts.
    Settings(Box<Settings>),
    /// The share of this host's quota that this process may use from now on, 0 to 1: another process serves for the same host.
    ProcessShare(f64),
    /// What this host may use of the limits that all hosts share.
    QuotaShares(Box<QuotaShares>),
    /// From now on unresponsive nodes are tried as the fleet grants it, not at this host's own pace: each of these nodes once, before
    /// its moment.
    ProbationGrants(BTreeMap<NodeId, Micros>),
    /// Another host of the fleet saw a node answer again.
    NodeRecovered(NodeId),
    /// A request arrived.
    RequestArrived(Request),
    /// The answer of an attempt has begun to reach the client: the attempt is not repeated from now on.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// A transfer in progress is to move more units; [`Action::Grant`](super::Action::Grant) allows it.
    UnitsRequested {
        /// The request.
        request: RequestId,
        /// The units, at most the most units of one request.
        units: f64,
    },
    /// The shard that stores the data of a request is known, or has changed.
    ShardChanged {
        /// The request.
        request: RequestId,
        /// The shard; `None`: any node may take it.
        shard: Option<Shard>,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected, or its answer is overdue: it needs none any more.
    ClientGone(RequestId),
    /// A timer that was set has expired.
    Timer(u32),
    /// A health check ended. Ignored by this policy.
    HealthChecked {
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// The load report, if one came.
        load: Option<LoadReport>,
    },
    /// A message of a peer. Ignored by this policy: hosts share nothing this way.
    PeerMessage,
}
