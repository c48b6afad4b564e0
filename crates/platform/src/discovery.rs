//! The node list: its form on the wire, and the loop that watches it.

use crate::clock::Epoch;
use crate::watching::{Call, Failure, Head, Verdict, Watching};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use lupinrack_policy::*;
use lupinrack_request_engine::{Handle, Listing};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// How long a connection may take to come up: the agent is on the front's own machine.
const CONNECT: Duration = Duration::from_secs(1);
/// The longest list taken.
const LONGEST: usize = 4 << 20;

/// A list, or the changes to one.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
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
    #[serde(default = "one")]
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
    /// A word that this version does not know: one such entry must not cost the whole list.
    #[serde(other)]
    Unknown,
}

fn one() -> f64 {
    1.0
}

/// Why a call to discovery brought nothing.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("call: {0}")]
    Call(#[from] hyper_util::client::legacy::Error),
    #[error("answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("answer: {0}")]
    Form(#[from] serde_json::Error),
    #[error("status {0}")]
    Status(http::StatusCode),
    #[error("no answer in time")]
    Late,
    #[error("address: {0}")]
    Address(#[from] http::Error),
}

impl CallError {
    fn failure(&self) -> Failure {
        match self {
            CallError::Late => Failure::Silent,
            _ => Failure::Said,
        }
    }
}

/// Words a list for the core.
fn listings(list: &List, zones: &[String], epoch: &Epoch) -> Vec<Listing> {
    let zone = |name: &str| Zone(zones.iter().position(|z| z == name).unwrap_or(0) as u8);
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let one = |i: &Instance| Listing {
        name: i.instance_id.clone(),
        address: i.host_port.unwrap_or(nowhere),
        state: match (i.lifecycle, i.host_port) {
            (Lifecycle::Serving, Some(_)) => NodeState::Ready,
            // Known to be there, but not that it takes anything new.
            (Lifecycle::Serving | Lifecycle::Draining | Lifecycle::Unknown, _) => {
                NodeState::Draining
            }
            (Lifecycle::Deleted, _) => NodeState::Gone,
        },
        zone: zone(&i.zone),
        shard: Shard(i.cell),
        started: epoch.reading(i.started_at_ms),
        size: i.weight,
    };
    list.instances.iter().map(one).collect()
}

/// Watches the list and hands all news to the core.
pub struct Watch {
    /// DiscoveryMode's address, which a new configuration may move.
    pub address: watch::Receiver<SocketAddr>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// How Unix time maps to the clock.
    pub epoch: Epoch,
    /// Whether an agent is asked or a service, and how many fronts ask it.
    pub how: (DiscoveryMode, u32),
    /// For random waits.
    pub seed: u64,
}

impl Watch {
    /// Hands over the list this front last had, then watches for as long as the program runs.
    pub async fn run(mut self, core: Handle, known: Option<List>) {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        let mut watching = Watching::new(
            self.how.0,
            self.how.1,
            known.as_ref().map(|l| l.generation),
            self.seed,
        );
        if let Some(list) = known {
            core.list(
                NodeListKind::Cached,
                listings(&list, &self.zones, &self.epoch),
            )
            .await;
        }
        loop {
            let call = watching.next_call();
            tokio::time::sleep(call.after).await;
            let address = *self.address.borrow_and_update();
            let mut moved = self.address.clone();
            let begun = tokio::time::Instant::now();
            let answer = tokio::select! {
                biased;
                answer = self.call(&client, address, call) => answer,
                // Moved while a call is out: the watch goes on at the new address from the version in hand, so
                // that no node is lost and nothing told twice. The old call ends with its connection.
                Ok(()) = moved.changed() => continue,
            };
            let before = watching.fails();
            match answer {
                Ok(list) => {
                    let (generation, whole, empty) =
                        (list.generation, list.reset, list.instances.is_empty());
                    match watching.answered(
                        call,
                        Head {
                            generation,
                            whole,
                            empty,
                        },
                    ) {
                        Verdict::Whole => self.tell(&core, NodeListKind::Full, &list).await,
                        Verdict::Changes => self.tell(&core, NodeListKind::Changes, &list).await,
                        Verdict::Same => {}
                        Verdict::Doubted => {
                            tracing::debug!("discovery: version {generation} is left aside")
                        }
                    }
                }
                Err(why) => {
                    watching.failed(why.failure(), begun.elapsed());
                    tracing::debug!("discovery: {why}");
                    if before == 0 {
                        tracing::warn!("discovery: {why}; asked again, with growing waits");
                    }
                }
            }
            if before > 0 && watching.fails() == 0 {
                tracing::info!("discovery answers again, after {before} calls");
            }
        }
    }

    async fn tell(&self, core: &Handle, kind: NodeListKind, list: &List) {
        core.list(kind, listings(list, &self.zones, &self.epoch))
            .await;
    }

    async fn call(
        &self,
        client: &Client<HttpConnector, Empty<Bytes>>,
        address: SocketAddr,
        call: Call,
    ) -> Result<List, CallError> {
        let hold = call.hold;
        let query = call.from.map_or(String::new(), |g| {
            format!("?from={g}&hold_ms={}", hold.as_millis())
        });
        let uri = format!("http://{address}/registry/instances{query}");
        let request = http::Request::get(uri).body(Empty::new())?;
        let exchange = async {
            let answer = client.request(request).await?;
            if answer.status() != http::StatusCode::OK {
                return Err(CallError::Status(answer.status()));
            }
            let body = Limited::new(answer.into_body(), LONGEST)
                .collect()
                .await
                .map_err(CallError::Body)?;
            Ok(serde_json::from_slice(&body.to_bytes())?)
        };
        tokio::time::timeout(call.patience, exchange)
            .await
            .unwrap_or(Err(CallError::Late))
    }
}
