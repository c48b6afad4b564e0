//! The inputs in the engine's queue.

use crate::node_queries::{NodeCounts, NodeResponses, ServedVolume};
use crate::node_table::NodeListing;
use crate::order::Order;
use lupinrack_extent_map::{self as extent_map, Version};
use lupinrack_policy::{
    LoadReport, Micros, NodeId, NodeListKind, Outcome, QuotaShares, Request, RequestId, Settings,
};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// An input to the engine.
#[derive(Debug)]
pub(crate) enum Input {
    Open {
        request: Request,
        orders: mpsc::Sender<Order>,
    },
    Report {
        request: RequestId,
        report: Report,
    },
    ExtentMap(extent_map::Input),
    NodeList {
        kind: NodeListKind,
        nodes: Vec<NodeListing>,
    },
    HealthChecked {
        node: NodeId,
        outcome: Outcome,
        elapsed: Micros,
        load: Option<LoadReport>,
    },
    Settings(Settings),
    ProcessShare {
        share: f64,
        applied: oneshot::Sender<()>,
    },
    QuotaShares {
        shares: Box<QuotaShares>,
        applied: oneshot::Sender<()>,
    },
    ProbationGrants {
        nodes: Vec<Arc<str>>,
        until: Micros,
    },
    NodeRecovered(Arc<str>),
    Query(Query),
}

/// A report by the owner of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Report {
    AttemptEnded {
        attempt: u16,
        outcome: Outcome,
        load: Option<LoadReport>,
    },
    /// A node rejected an attempt because the data is on another shard, as of the version `hint` of the map.
    WrongShard {
        attempt: u16,
        hint: Option<Version>,
    },
    ResponseStarted {
        attempt: u16,
    },
    UnitsRequested(f64),
    BytesForwarded(u64),
    ClientGone,
    /// The owner ended before the request did.
    OwnerGone,
}

/// A query from another task, with the channel for its answer.
#[derive(Debug)]
pub(crate) enum Query {
    CountNodes(oneshot::Sender<NodeCounts>),
    TakeNodeResponses(oneshot::Sender<NodeResponses>),
    TakeServedVolumes(oneshot::Sender<Vec<ServedVolume>>),
}
