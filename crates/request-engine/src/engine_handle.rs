//! The way of all other tasks to the engine.

use crate::clock::Clock;
use crate::input::{Input, Question};
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

/// A clone of it for each task that opens requests or brings updates. Its methods wait while the engine's queue is full.
///
/// Once the engine has ended, updates are dropped and questions have no answer.
#[derive(Clone)]
pub struct EngineHandle {
    inputs: mpsc::Sender<Input>,
    next_request: Arc<AtomicU32>,
    order_queue_length: Arc<AtomicUsize>,
    /// The clock on which all readings are taken.
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

    /// Opens a request. The engine numbers it, whatever `id` it has.
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

    /// Brings an update of the node list.
    pub async fn update_nodes(&self, kind: NodeListKind, nodes: Vec<NodeListing>) {
        self.send(Input::NodeList { kind, nodes }).await;
    }

    /// Brings what the extent authority or a peer sent.
    pub async fn extent_map_input(&self, input: extent_map::Input) {
        self.send(Input::ExtentMap(input)).await;
    }

    /// Replaces the settings. Requests that are opened after this are under the new ones.
    pub async fn update_settings(&self, settings: Settings) {
        self.order_queue_length
            .fetch_max(order_queue_length(&settings), Ordering::Relaxed);
        self.send(Input::Settings(settings)).await;
    }

    /// Sets the share of this front's quota that this process may use, 0 to 1. Returns once it is in effect.
    pub async fn set_process_share(&self, share: f64) {
        let (applied, done) = oneshot::channel();
        self.send(Input::ProcessShare { share, applied }).await;
        // An error means that the engine has ended: nothing is used any more.
        let _ = done.await;
    }

    /// Sets what this front may use of the limits that its fleet shares. Returns once it is in effect.
    pub async fn set_quota_shares(&self, shares: QuotaShares) {
        let (applied, done) = oneshot::channel();
        let shares = Box::new(shares);
        self.send(Input::QuotaShares { shares, applied }).await;
        // An error means that the engine has ended: nothing is used any more.
        let _ = done.await;
    }

    /// From now on unresponsive nodes are tried as the fleet grants it: each of these nodes once, before `until`.
    pub async fn grant_probation(&self, nodes: Vec<Arc<str>>, until: Micros) {
        self.send(Input::ProbationGrants { nodes, until }).await;
    }

    /// Reports that another front saw this node respond again.
    pub async fn node_recovered(&self, node: Arc<str>) {
        self.send(Input::NodeRecovered(node)).await;
    }

    /// Reports the end of a health check.
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
        self.ask(Question::CountNodes).await
    }

    /// Takes which nodes respond, as seen since the last such question; `None` once the engine has ended.
    pub async fn take_node_responses(&self) -> Option<NodeResponses> {
        self.ask(Question::TakeNodeResponses).await
    }

    /// Takes the volumes with rate limits that were served since the last such question; `None` once the engine has ended.
    pub async fn take_served_volumes(&self) -> Option<Vec<ServedVolume>> {
        self.ask(Question::TakeServedVolumes).await
    }

    async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Question) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let question = Input::Question(question(sender));
        self.inputs.send(question).await.ok()?;
        answer.await.ok()
    }

    async fn send(&self, input: Input) {
        // An error means that the engine has ended, and with it everything that the input could change.
        let _ = self.inputs.send(input).await;
    }
}
