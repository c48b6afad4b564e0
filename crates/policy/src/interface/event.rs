//! The events that a host observes.

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
    /// The share of this host's quota that this process may use from now on, 0 to 1. Another process
    /// of the same host uses the rest.
    ProcessShare(f64),
    /// What this host may use of the limits that all hosts share.
    QuotaShares(Box<QuotaShares>),
    /// Grants of the fleet: each of these nodes may be probed once, before the given time. From the
    /// first of these events on, unresponsive nodes are no longer probed at this host's own pace.
    ProbationGrants(BTreeMap<NodeId, Micros>),
    /// A node that was unresponsive has answered another host of the fleet.
    NodeRecovered(NodeId),
    /// A request arrived.
    RequestArrived(Request),
    /// The answer of an attempt has begun to reach the client. From now on the request is not retried.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// A transfer in progress asks to move more units. [`Action::Grant`](super::Action::Grant) allows
    /// them.
    UnitsRequested {
        /// The request.
        request: RequestId,
        /// The units, at most [`Settings::max_units`].
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
    /// The client disconnected, or its deadline has passed: the request needs no answer.
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
    /// A message from another host. Ignored by this policy.
    PeerMessage,
}
