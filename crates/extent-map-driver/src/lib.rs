//! The driver of the map of extents: carries out what the cache in the core decides, and brings what came of it.
//!
//! `GET /extents?from=I.E&hold_ms=H` is a poll (without `from`: the first), `GET /extents/volume/V` a fetch of a
//! volume, with `?key=K` of the extent of one key; numbers in hexadecimal. Answers are JSON, as
//! `lupinrack_extent_map::words` has them.
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

/// How much longer than its hold a poll may take, and how long a fetch may.
const PATIENCE: Duration = Duration::from_secs(1);
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// The longest answer taken.
const LONGEST: usize = 32 << 20;
/// How often the counters are told in the log, where they changed.
const TELL: Duration = Duration::from_secs(60);

/// Why a call brought nothing.
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

/// The driver of one front's map.
pub struct Driver {
    core: EngineHandle,
    authority: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
    socket: Option<Arc<UdpSocket>>,
    peers: Arc<[SocketAddr]>,
    file: Option<PathBuf>,
}

impl Driver {
    /// A driver as the section wants it; it listens to peers from now on.
    pub async fn new(section: &Section, core: EngineHandle) -> std::io::Result<Driver> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        let socket = match section.peer_listen {
            Some(at) => Some(Arc::new(UdpSocket::bind(at).await?)),
            None => None,
        };
        let peers = section.peers.clone().into();
        Ok(Driver {
            core,
            authority: section.authority,
            client,
            socket,
            peers,
            file: section.snapshot.clone(),
        })
    }

    /// Runs until the core is gone.
    pub async fn run(
        self,
        mut actions: mpsc::Receiver<Action>,
        counters: watch::Receiver<Counters>,
    ) {
        let mut tasks = JoinSet::new();
        if let Some(socket) = self.socket.clone() {
            tasks.spawn(listen(socket, self.peers.clone(), self.core.clone()));
        }
        tasks.spawn(tell(counters));
        while let Some(action) = actions.recv().await {
            match action {
                Action::Poll { from, hold } => {
                    let hold = Duration::from_micros(hold.max(0) as u64);
                    let from = from.map_or(String::new(), |v| format!("from={v}&"));
                    let path = format!("/extents?{from}hold_ms={}", hold.as_millis());
                    let (call, core) = (self.call(path, hold + PATIENCE), self.core.clone());
                    tasks.spawn(
                        async move { core.extent_map_input(Input::Polled(call.await)).await },
                    );
                }
                Action::Fetch { volume, key } => {
                    let key = key.map_or(String::new(), |k| format!("?key={:x}", k.0));
                    let path = format!("/extents/volume/{:x}{key}", volume.0);
                    let (call, core) = (self.call(path, PATIENCE), self.core.clone());
                    tasks.spawn(async move {
                        core.extent_map_input(Input::Fetched {
                            volume,
                            answer: call.await,
                        })
                        .await;
                    });
                }
                Action::Tell(bytes) => {
                    if let Some(socket) = &self.socket {
                        for peer in self.peers.iter() {
                            // A datagram that cannot be sent is one that was lost.
                            let _ = socket.try_send_to(&bytes, *peer);
                        }
                    }
                }
                Action::Save(bytes) => {
                    if let Some(file) = self.file.clone() {
                        tokio::task::spawn_blocking(move || {
                            if let Err(why) = file::save(&file, &bytes) {
                                tracing::warn!("extents: {}: {why}", file.display());
                            }
                        });
                    }
                }
                // The core's own.
                Action::Changed { .. }
                | Action::ChangedAll
                | Action::Wake(_)
                | Action::Complain { .. } => {}
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    fn call<T: DeserializeOwned>(
        &self,
        path: String,
        patience: Duration,
    ) -> impl std::future::Future<Output = Result<T, String>> {
        let (client, authority) = (self.client.clone(), self.authority);
        let exchange = async move {
            let request =
                http::Request::get(format!("http://{authority}{path}")).body(Empty::new())?;
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
        async move {
            let ended = tokio::time::timeout(patience, exchange)
                .await
                .unwrap_or(Err(CallError::Late));
            ended.map_err(|e| e.to_string())
        }
    }
}

/// Hears what peers tell; what comes from anybody else is dropped.
async fn listen(socket: Arc<UdpSocket>, peers: Arc<[SocketAddr]>, core: EngineHandle) {
    // One byte more than allowed: a longer datagram shows by its length.
    let mut buffer = [0; datagram::LONGEST + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                if let Some(peer) = peers.iter().position(|p| *p == from) {
                    core.extent_map_input(Input::Peer(peer as u16, buffer[..length].to_vec()))
                        .await;
                }
            }
            // A peer that is away answers with an error of the system's; it says nothing of this socket.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn tell(mut counters: watch::Receiver<Counters>) {
    loop {
        tokio::time::sleep(TELL).await;
        match counters.has_changed() {
            Ok(true) => {
                let c = *counters.borrow_and_update();
                tracing::info!(target: "lupinrack_extent_map", counters = %serde_json::to_string(&c).unwrap_or_default());
            }
            Ok(false) => {}
            Err(_) => return,
        }
    }
}
