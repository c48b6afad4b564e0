//! The HTTP and rsync fronts on loopback with one engine, as the program starts them.

use lupinrack::engine::{Clock, EngineHandle, EngineParts, NodeListing};
use lupinrack::net::memory_budget::{MemoryBudget, MemoryPool};
use lupinrack::net::shutdown::Phase;
use lupinrack::net::{accept, upstream::Upstream};
use lupinrack::rsync::{config::RsyncConfig, daemon};
use lupinrack::settings::{self, FrontSettings};
use lupinrack::*;
use mock_servers::rsync::RsyncServer;
pub use mock_servers::scripted::{ask, get, node, Heads};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Settings in the platform's format: three classes, plans with a limit and one without.
pub const SETTINGS: &str = r#"{
  "areas": ["salt-lake"], "peersTotal": 1, "registryMode": "push", "resolution": 2.0, "zone": 0,
  "classes": [
    {"name": "read", "aim": 300.0, "deadline": 2000.0, "group": "all", "repeat": "free", "worth": 3.0},
    {"name": "new-write", "aim": 600.0, "deadline": 4000.0, "group": "cell", "repeat": "guarded", "window": 4000.0, "worth": 2.0},
    {"name": "bulk-read", "aim": 1200.0, "deadline": 4000.0, "group": "all", "repeat": "free", "worth": 1.0}],
  "domain": {"changesData": [false, true, false], "maxUnits": 8, "unitMean": 2.0, "fairWorth": 0.3, "idleWorth": 0.05},
  "grades": [
    {"name": "basic", "shares": 1.0, "guaranteed": 1.0, "nominal": 3.0, "worthFactor": 0.8, "limit": 16.0, "limitBurst": 32.0, "limitSlack": 8.0},
    {"name": "tiny", "shares": 1.0, "guaranteed": 0.1, "nominal": 0.1, "worthFactor": 0.8, "limit": 0.2, "limitBurst": 16.0, "limitSlack": 8.0},
    {"name": "priority", "shares": 3.0, "guaranteed": 5.0, "nominal": 4.0, "worthFactor": 0.9}],
  "policyLimits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 250.0, "maxRetryAfter": 1000.0, "mostTries": 3, "parallelTries": true, "retryAfter": true},
  "report": {"columns": [], "how": "none"},
  "safety": {"stopSendingWithin": 1000.0}
}"#;

/// Most client connections of the HTTP front.
pub const MAX_HTTP_CLIENTS: usize = 64;

/// The memory for large bodies of a front with 48 MB.
pub fn memory_pool() -> MemoryPool {
    MemoryPool::new(MemoryBudget::of_memory_mb(48))
}

pub fn front_settings() -> FrontSettings {
    settings::parse_json(&serde_json::from_str(SETTINGS).unwrap()).unwrap()
}

/// Node `n0` on shard 0, as discovery lists it.
pub fn node_listing(address: SocketAddr, state: NodeState) -> NodeListing {
    NodeListing {
        name: "n0".into(),
        address,
        state,
        zone: Zone(0),
        shard: Shard(0),
        started: None,
        weight: 1.0,
    }
}

/// The same node at an address that no test sends to.
pub fn unreachable_node(state: NodeState) -> NodeListing {
    node_listing(SocketAddr::from(([127, 0, 0, 1], 9)), state)
}

pub struct Fronts {
    pub engine: EngineHandle,
    pub memory: MemoryPool,
    pub http: SocketAddr,
    pub rsync: SocketAddr,
    pub phase: watch::Sender<Phase>,
    pub task: tokio::task::JoinHandle<()>,
}

/// Starts both fronts. Node `n0` on shard 0 is the given HTTP node and rsync server.
pub async fn start(node: SocketAddr, server: SocketAddr, plan: &str, deadline_ms: u64) -> Fronts {
    start_with_rsync_servers(node, &[("n0", server)], plan, deadline_ms).await
}

/// Like [`start`], with several rsync servers by the names of their nodes.
pub async fn start_with_rsync_servers(
    node: SocketAddr,
    servers: &[(&str, SocketAddr)],
    plan: &str,
    deadline_ms: u64,
) -> Fronts {
    start_with_settings(front_settings(), node, servers, plan, deadline_ms).await
}

/// Like [`start_with_rsync_servers`], with these settings.
pub async fn start_with_settings(
    settings: FrontSettings,
    node: SocketAddr,
    servers: &[(&str, SocketAddr)],
    plan: &str,
    deadline_ms: u64,
) -> Fronts {
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(settings.policy.clone(), 7, clock);
    let mut rsync_section = format!(
        "enabled = true\nlisten = '127.0.0.1:0'\n[[module]]\nname = 'trips'\ncomment = 'Trip exports'\n\
         plan = '{plan}'\nvolume = 'a1'\nclass = 'bulk-read'\nshard = 0\nbytes_per_unit = 16384\n\
         deadline_ms = {deadline_ms}\n"
    );
    for (name, address) in servers {
        rsync_section += &format!("[[server]]\nnode = '{name}'\naddress = '{address}'\n");
    }
    let config = RsyncConfig::parse(&rsync_section, &settings)
        .unwrap()
        .unwrap();
    let (phase, phase_receiver) = watch::channel(Phase::Ready);
    let (http_listener, rsync_listener) = (
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
    );
    let (http, rsync) = (
        http_listener.local_addr().unwrap(),
        rsync_listener.local_addr().unwrap(),
    );
    tokio::spawn(engine.run());
    let memory = memory_pool();
    let upstream = Upstream::new(&settings, clock, 64, memory.clone(), Default::default());
    let http_front = accept::Front {
        engine: handle.clone(),
        upstream,
        settings: watch::channel(Arc::new(settings)).1,
        phase: phase_receiver.clone(),
        ids: Default::default(),
        memory: memory.clone(),
        metrics: Default::default(),
        close_phase: Phase::Draining,
    };
    let connect_timeout = Duration::from_millis(500);
    let rsync_front = daemon::Front {
        engine: handle.clone(),
        config: Arc::new(config),
        connect_timeout,
        phase: phase_receiver,
    };
    let task = tokio::spawn(async move {
        tokio::join!(
            accept::run(http_listener, http_front, MAX_HTTP_CLIENTS),
            daemon::run(rsync_listener, rsync_front)
        );
    });
    let fronts = Fronts {
        engine: handle,
        memory,
        http,
        rsync,
        phase,
        task,
    };
    fronts
        .update_node(NodeListKind::Cached, node, NodeState::Ready)
        .await;
    fronts
}

/// Starts the fronts with an rsync server and without an HTTP node.
pub async fn start_with_rsync_server(server: &RsyncServer, plan: &str, deadline_ms: u64) -> Fronts {
    start(server.address, server.address, plan, deadline_ms).await
}

impl Fronts {
    /// Updates node `n0` in the engine.
    pub async fn update_node(&self, kind: NodeListKind, address: SocketAddr, state: NodeState) {
        self.engine
            .update_nodes(kind, vec![node_listing(address, state)])
            .await;
    }
}
