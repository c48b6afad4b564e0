//! The handle through which other tasks use the engine.

use crate::clock::Clock;
use crate::input::{Input, Query};
use crate::node_queries::{NodeCounts, NodeResponses, ServedVolume};
use crate::node_table::NodeListing;
use crate::order::order_queue_length;
use crate::request_handle::RequestHandle;
use lupinrack_extent_map as extent_map;
use lupinrack_policy::{
    LoadReport, Micros, NodeId, NodeListKind, Outcome, QuotaShares, Request, RequestId, Settings,
};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Opens requests and sends updates and queries to the engine; each task has its own clone. Its methods wait while the engine's queue
/// is full.
///
/// Once the engine has ended, updates are dropped and queries return `None`.
#[derive(Clone)]
pub struct EngineHandle {
    inputs: mpsc::Sender<Input>,
    next_request: Arc<AtomicU32>,
    order_queue_length: Arc<AtomicUsize>,
    /// The clock of all readings.
    pub clock: Clock,
}

impl EngineHandle {
    pub(crate) fn new(inputs: mpsc::Sender<Input>, settings: &Settings, clock: Clock) -> Self {
        EngineHandle {
            inputs,
            next_request: Arc::new(AtomicU32::new(1)),
            order_queue_length: Arc::new(AtomicUsize::new(order_queue_length(settings))),
            clock,
        }
    }

    /// Opens a request. The handle assigns its number; the `id` that it has is ignored.
    pub async fn open(&self, mut request: Request) -> RequestHandle {
        request.id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (sender, orders) = mpsc::channel(self.order_queue_length.load(Ordering::Relaxed));
        self.send(Input::Open {
            request,
            orders: sender,
        })
        .await;
        RequestHandle::new(request.id, orders, self.inputs.clone())
    }

    /// Sends an update of the node list.
    pub async fn update_nodes(&self, kind: NodeListKind, nodes: Vec<NodeListing>) {
        self.send(Input::NodeList { kind, nodes }).await;
    }

    /// Sends a message of the extent authority or of a peer.
    pub async fn extent_map_input(&self, input: extent_map::Input) {
        self.send(Input::ExtentMap(input)).await;
    }

    /// Replaces the settings. They apply to requests that are opened afterwards.
    pub async fn update_settings(&self, settings: Settings) {
        self.order_queue_length
            .fetch_max(order_queue_length(&settings), Ordering::Relaxed);
        self.send(Input::Settings(settings)).await;
    }

    /// Sets the share of this front's quota that this process may use, from 0 to 1. Returns once the share is in effect.
    pub async fn set_process_share(&self, share: f64) {
        let (applied, done) = oneshot::channel();
        self.send(Input::ProcessShare { share, applied }).await;
        // An error means that the engine has ended and uses no quota.
        let _ = done.await;
    }

    /// Sets this front's shares of the limits of its fleet. Returns once they are in effect.
    pub async fn set_quota_shares(&self, shares: QuotaShares) {
        let (applied, done) = oneshot::channel();
        let shares = Box::new(shares);
        self.send(Input::QuotaShares { shares, applied }).await;
        // An error means that the engine has ended and uses no quota.
        let _ = done.await;
    }

    /// Grants probation to these unresponsive nodes: each may get one request before `until`. After the first grant, unresponsive nodes
    /// get requests only by grants of the fleet.
    pub async fn grant_probation(&self, nodes: Vec<Arc<str>>, until: Micros) {
        self.send(Input::ProbationGrants { nodes, until }).await;
    }

    /// Reports that another front saw this node respond again.
    pub async fn node_recovered(&self, node: Arc<str>) {
        self.send(Input::NodeRecovered(node)).await;
    }

    /// Reports the outcome of a health check.
    pub async fn health_checked(
        &self,
        node: NodeId,
        outcome: Outcome,
        elapsed: Micros,
        load: Option<LoadReport>,
    ) {
        self.send(Input::HealthChecked {
            node,
            outcome,
            elapsed,
            load,
        })
        .await;
    }

    /// Counts the listed nodes; `None` once the engine has ended.
    pub async fn count_nodes(&self) -> Option<NodeCounts> {
        self.query(Query::CountNodes).await
    }

    /// Takes the responses of the nodes since the previous query; `None` once the engine has ended.
    pub async fn take_node_responses(&self) -> Option<NodeResponses> {
        self.query(Query::TakeNodeResponses).await
    }

    /// Takes the volumes with rate limits that were served since the previous query; `None` once the engine has ended.
    pub async fn take_served_volumes(&self) -> Option<Vec<ServedVolume>> {
        self.query(Query::TakeServedVolumes).await
    }

    async fn query<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let query = Input::Query(query(sender));
        self.inputs.send(query).await.ok()?;
        answer.await.ok()
    }

    async fn send(&self, input: Input) {
        // An error means that the engine has ended: the input would have no effect.
        let _ = self.inputs.send(input).await;
    }
}
