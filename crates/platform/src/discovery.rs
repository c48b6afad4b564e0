//! The node list: its JSON form, and the loop that fetches it from discovery.

use crate::clock::UnixClockOffset;
use crate::discovery_schedule::{
    AnswerSummary, CallFailure, DiscoveryCall, DiscoverySchedule, Verdict,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use lupinrack_policy::*;
use lupinrack_request_engine::{EngineHandle, NodeListing};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// How long connecting may take. The agent is on the front's own machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer that is accepted.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The full node list, or the changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeList {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: Option<SocketAddr>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    lifecycle: Lifecycle,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_at_ms: i64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Lifecycle {
    Serving,
    Draining,
    Deleted,
    /// A value that this version does not know. One such entry must not invalidate the whole list.
    #[serde(other)]
    Unknown,
}

fn default_weight() -> f64 {
    1.0
}

/// Why a call to discovery failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("call: {0}")]
    Call(#[from] hyper_util::client::legacy::Error),
    #[error("answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("answer: {0}")]
    Syntax(#[from] serde_json::Error),
    #[error("status {0}")]
    Status(http::StatusCode),
    #[error("no answer in time")]
    TimedOut,
    #[error("address: {0}")]
    Address(#[from] http::Error),
}

impl CallError {
    fn failure(&self) -> CallFailure {
        match self {
            CallError::TimedOut => CallFailure::TimedOut,
            _ => CallFailure::Failed,
        }
    }
}

/// Converts a list for the engine.
fn to_listings(
    list: &NodeList,
    zones: &[String],
    clock_offset: &UnixClockOffset,
) -> Vec<NodeListing> {
    let zone = |name: &str| Zone(zones.iter().position(|z| z == name).unwrap_or(0) as u8);
    let no_address = SocketAddr::from(([0, 0, 0, 0], 0));
    let to_listing = |i: &Instance| NodeListing {
        name: i.instance_id.clone(),
        address: i.host_port.unwrap_or(no_address),
        state: match (i.lifecycle, i.host_port) {
            (Lifecycle::Serving, Some(_)) => NodeState::Ready,
            // The node exists, but it is not known to accept new requests.
            (Lifecycle::Serving | Lifecycle::Draining | Lifecycle::Unknown, _) => {
                NodeState::Draining
            }
            (Lifecycle::Deleted, _) => NodeState::Gone,
        },
        zone: zone(&i.zone),
        shard: Shard(i.cell),
        started: clock_offset.monotonic_at(i.started_at_ms),
        weight: i.weight,
    };
    list.instances.iter().map(to_listing).collect()
}

/// Follows the node list and hands each change to the engine.
pub struct NodeListWatcher {
    /// The address of discovery, which a new configuration may change.
    pub address: watch::Receiver<SocketAddr>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// Converts Unix time to the monotonic clock.
    pub clock_offset: UnixClockOffset,
    /// Whether an agent or a central service is called, and how many fronts call it.
    pub mode_and_fronts: (DiscoveryMode, u32),
    /// The seed of random delays.
    pub seed: u64,
}

impl NodeListWatcher {
    /// Hands the list that this front last knew to the engine, then follows the list for as long as the program runs.
    pub async fn run(mut self, engine: EngineHandle, known: Option<NodeList>) {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        let mut schedule = DiscoverySchedule::new(
            self.mode_and_fronts.0,
            self.mode_and_fronts.1,
            known.as_ref().map(|l| l.generation),
            self.seed,
        );
        if let Some(list) = known {
            engine
                .update_nodes(
                    NodeListKind::Cached,
                    to_listings(&list, &self.zones, &self.clock_offset),
                )
                .await;
        }
        loop {
            let call = schedule.next_call();
            tokio::time::sleep(call.delay).await;
            let address = *self.address.borrow_and_update();
            let mut address_changed = self.address.clone();
            let started_at = tokio::time::Instant::now();
            let answer = tokio::select! {
                biased;
                answer = self.call(&client, address, call) => answer,
                // The address changed during a call. The next call goes to the new address and continues from the known
                // version, so that no change is lost or applied twice. The old call ends with its connection.
                Ok(()) = address_changed.changed() => continue,
            };
            let failures_before = schedule.failures();
            match answer {
                Ok(list) => {
                    let (generation, is_full, is_empty) =
                        (list.generation, list.reset, list.instances.is_empty());
                    match schedule.record_answer(
                        call,
                        AnswerSummary {
                            generation,
                            is_full,
                            is_empty,
                        },
                    ) {
                        Verdict::Full => self.apply(&engine, NodeListKind::Full, &list).await,
                        Verdict::Delta => self.apply(&engine, NodeListKind::Changes, &list).await,
                        Verdict::Unchanged => {}
                        Verdict::Contradictory => {
                            tracing::debug!("discovery: version {generation} contradicts the known list and is ignored")
                        }
                    }
                }
                Err(error) => {
                    schedule.record_failure(error.failure(), started_at.elapsed());
                    tracing::debug!("discovery: {error}");
                    if failures_before == 0 {
                        tracing::warn!("discovery: {error}; retrying with increasing delays");
                    }
                }
            }
            if failures_before > 0 && schedule.failures() == 0 {
                tracing::info!("discovery answers again, after {failures_before} failed calls");
            }
        }
    }

    async fn apply(&self, engine: &EngineHandle, kind: NodeListKind, list: &NodeList) {
        engine
            .update_nodes(kind, to_listings(list, &self.zones, &self.clock_offset))
            .await;
    }

    async fn call(
        &self,
        client: &Client<HttpConnector, Empty<Bytes>>,
        address: SocketAddr,
        call: DiscoveryCall,
    ) -> Result<NodeList, CallError> {
        let hold = call.hold;
        let query = call.from.map_or(String::new(), |generation| {
            format!("?from={generation}&hold_ms={}", hold.as_millis())
        });
        let uri = format!("http://{address}/registry/instances{query}");
        let request = http::Request::get(uri).body(Empty::new())?;
        let exchange = async {
            let answer = client.request(request).await?;
            if answer.status() != http::StatusCode::OK {
                return Err(CallError::Status(answer.status()));
            }
            let body = Limited::new(answer.into_body(), MAX_LIST_BYTES)
                .collect()
                .await
                .map_err(CallError::Body)?;
            Ok(serde_json::from_slice(&body.to_bytes())?)
        };
        tokio::time::timeout(call.timeout, exchange)
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }
}
