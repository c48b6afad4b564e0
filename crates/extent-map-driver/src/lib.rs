//! The driver of the extent map: carries out the actions of the cache in the engine and returns their results to it.
//!
//! - `GET /extents?from=I.E&hold_ms=H` is a poll from version `I.E`; the first one has no `from`.
//! - `GET /extents/volume/V` is a fetch of a volume; with `?key=K`, of the extent of one key. `V` and `K` are
//!   hexadecimal.
//!
//! Responses are JSON and are defined in `lupinrack_extent_map::protocol`.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

mod file;

pub use file::load;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use lupinrack_extent_map::config::Section;
use lupinrack_extent_map::{datagram, Action, Counters, Input};
use lupinrack_request_engine::EngineHandle;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Timeout of a fetch. A poll's timeout is longer by its hold.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest response body accepted.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// How often the counters are logged if they have changed.
const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Why a call to the authority failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("request failed: {0}")]
    Request(#[from] hyper_util::client::legacy::Error),
    #[error("cannot read the response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("cannot decode the response: {0}")]
    Json(#[from] serde_json::Error),
    #[error("unexpected status {0}")]
    Status(http::StatusCode),
    #[error("no answer in time")]
    Timeout,
    #[error("cannot build the request: {0}")]
    BuildRequest(#[from] http::Error),
}

/// The driver of one front's extent map.
pub struct Driver {
    engine: EngineHandle,
    authority: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
    socket: Option<Arc<UdpSocket>>,
    peers: Arc<[SocketAddr]>,
    snapshot_file: Option<PathBuf>,
}

impl Driver {
    /// Creates a driver with the settings of the section, and binds the socket for datagrams of peers.
    pub async fn new(section: &Section, engine: EngineHandle) -> std::io::Result<Driver> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        let socket = match section.peer_listen {
            Some(address) => Some(Arc::new(UdpSocket::bind(address).await?)),
            None => None,
        };
        let peers = section.peers.clone().into();
        Ok(Driver {
            engine,
            authority: section.authority,
            client,
            socket,
            peers,
            snapshot_file: section.snapshot.clone(),
        })
    }

    /// Carries out actions until the engine drops its end of the channel.
    pub async fn run(
        self,
        mut actions: mpsc::Receiver<Action>,
        counters: watch::Receiver<Counters>,
    ) {
        let mut tasks = JoinSet::new();
        if let Some(socket) = self.socket.clone() {
            tasks.spawn(receive_peer_updates(
                socket,
                self.peers.clone(),
                self.engine.clone(),
            ));
        }
        tasks.spawn(log_counters(counters));
        while let Some(action) = actions.recv().await {
            match action {
                Action::Poll { from, hold } => {
                    let hold = Duration::from_micros(hold.max(0) as u64);
                    let from = from.map_or(String::new(), |v| format!("from={v}&"));
                    let path = format!("/extents?{from}hold_ms={}", hold.as_millis());
                    let (call, engine) =
                        (self.call(path, hold + CALL_TIMEOUT), self.engine.clone());
                    tasks.spawn(
                        async move { engine.extent_map_input(Input::Polled(call.await)).await },
                    );
                }
                Action::Fetch { volume, key } => {
                    let key = key.map_or(String::new(), |k| format!("?key={:x}", k.0));
                    let path = format!("/extents/volume/{:x}{key}", volume.0);
                    let (call, engine) = (self.call(path, CALL_TIMEOUT), self.engine.clone());
                    tasks.spawn(async move {
                        engine
                            .extent_map_input(Input::Fetched {
                                volume,
                                answer: call.await,
                            })
                            .await;
                    });
                }
                Action::SendToPeers(bytes) => {
                    if let Some(socket) = &self.socket {
                        for peer in self.peers.iter() {
                            // A datagram that cannot be sent counts as lost on the network.
                            let _ = socket.try_send_to(&bytes, *peer);
                        }
                    }
                }
                Action::Save(bytes) => {
                    if let Some(file) = self.snapshot_file.clone() {
                        tokio::task::spawn_blocking(move || {
                            if let Err(error) = file::save(&file, &bytes) {
                                tracing::warn!(
                                    "extents: cannot save the snapshot {}: {error}",
                                    file.display()
                                );
                            }
                        });
                    }
                }
                // Carried out by the engine.
                Action::Changed { .. }
                | Action::ChangedAll
                | Action::Wake(_)
                | Action::Warn { .. } => {}
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// Sends a GET request and decodes the JSON response; an error becomes a text for the log.
    fn call<T: DeserializeOwned>(
        &self,
        path: String,
        timeout: Duration,
    ) -> impl std::future::Future<Output = Result<T, String>> {
        let (client, authority) = (self.client.clone(), self.authority);
        let exchange = async move {
            let request =
                http::Request::get(format!("http://{authority}{path}")).body(Empty::new())?;
            let response = client.request(request).await?;
            if response.status() != http::StatusCode::OK {
                return Err(CallError::Status(response.status()));
            }
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(CallError::Body)?;
            Ok(serde_json::from_slice(&body.to_bytes())?)
        };
        async move {
            let result = tokio::time::timeout(timeout, exchange)
                .await
                .unwrap_or(Err(CallError::Timeout));
            result.map_err(|e| e.to_string())
        }
    }
}

/// Passes datagrams from the peers to the engine. Datagrams from other addresses are ignored.
async fn receive_peer_updates(
    socket: Arc<UdpSocket>,
    peers: Arc<[SocketAddr]>,
    engine: EngineHandle,
) {
    // One byte more than the maximum, so that a longer datagram is recognized by its length.
    let mut buffer = [0; datagram::MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                if let Some(peer) = peers.iter().position(|peer| *peer == from) {
                    engine
                        .extent_map_input(Input::PeerUpdate(peer as u16, buffer[..length].to_vec()))
                        .await;
                }
            }
            // An ICMP error caused by an unreachable peer is reported here; the socket is still usable.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn log_counters(mut counters: watch::Receiver<Counters>) {
    loop {
        tokio::time::sleep(COUNTERS_LOG_INTERVAL).await;
        match counters.has_changed() {
            Ok(true) => {
                let current = *counters.borrow_and_update();
                tracing::info!(target: "lupinrack_extent_map", counters = %serde_json::to_string(&current).unwrap_or_default());
            }
            Ok(false) => {}
            Err(_) => return,
        }
    }
}
