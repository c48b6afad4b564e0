//! The fronts on loopback, with one core, as the program starts them.

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

/// Settings in the platform's form: three classes, and a plan with and one without a limit.
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

/// Clients of the HTTP front at once.
pub const PLACES: usize = 64;

/// Memory for large bodies, as a front of 48 MB has it.
pub fn room() -> MemoryPool {
    MemoryPool::new(MemoryBudget::of_memory_mb(48))
}

pub fn told() -> FrontSettings {
    settings::parse_json(&serde_json::from_str(SETTINGS).unwrap()).unwrap()
}

/// Node `n0` on shard 0, as discovery lists it.
pub fn listing(address: SocketAddr, state: NodeState) -> NodeListing {
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

/// The same at an address where nothing is ever sent.
pub fn unreached(state: NodeState) -> NodeListing {
    listing(SocketAddr::from(([127, 0, 0, 1], 9)), state)
}

pub struct Fronts {
    pub core: EngineHandle,
    pub room: MemoryPool,
    pub http: SocketAddr,
    pub rsync: SocketAddr,
    pub phase: watch::Sender<Phase>,
    pub ended: tokio::task::JoinHandle<()>,
}

/// Starts both fronts: node `n0` on shard 0 is the HTTP node and the rsync server given.
pub async fn start(node: SocketAddr, server: SocketAddr, plan: &str, deadline_ms: u64) -> Fronts {
    start_with(node, &[("n0", server)], plan, deadline_ms).await
}

/// The same with several rsync servers, by the names of their nodes.
pub async fn start_with(
    node: SocketAddr,
    servers: &[(&str, SocketAddr)],
    plan: &str,
    deadline_ms: u64,
) -> Fronts {
    start_told(told(), node, servers, plan, deadline_ms).await
}

/// The same with these settings.
pub async fn start_told(
    told: FrontSettings,
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
    } = EngineParts::new(told.policy.clone(), 7, clock);
    let mut text = format!(
        "enabled = true\nlisten = '127.0.0.1:0'\n[[module]]\nname = 'trips'\ncomment = 'Trip exports'\n\
         plan = '{plan}'\nvolume = 'a1'\nclass = 'bulk-read'\nshard = 0\nbytes_per_unit = 16384\n\
         deadline_ms = {deadline_ms}\n"
    );
    for (name, address) in servers {
        text += &format!("[[server]]\nnode = '{name}'\naddress = '{address}'\n");
    }
    let config = RsyncConfig::parse(&text, &told).unwrap().unwrap();
    let (phase, seen) = watch::channel(Phase::Ready);
    let (a, b) = (
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
    );
    let (http, rsync) = (a.local_addr().unwrap(), b.local_addr().unwrap());
    tokio::spawn(engine.run());
    let room = room();
    let upstream = Upstream::new(&told, clock, 64, room.clone(), Default::default());
    let front = accept::Front {
        engine: handle.clone(),
        upstream,
        settings: watch::channel(Arc::new(told)).1,
        phase: seen.clone(),
        ids: Default::default(),
        memory: room.clone(),
        metrics: Default::default(),
        close_phase: Phase::Closing,
    };
    let connect = Duration::from_millis(500);
    let second = daemon::Front {
        core: handle.clone(),
        config: Arc::new(config),
        connect,
        phase: seen,
    };
    let ended = tokio::spawn(async move {
        tokio::join!(accept::run(a, front, PLACES), daemon::run(b, second));
    });
    let fronts = Fronts {
        core: handle,
        room,
        http,
        rsync,
        phase,
        ended,
    };
    fronts
        .node(NodeListKind::Cached, node, NodeState::Ready)
        .await;
    fronts
}

/// Fronts with an rsync server and no HTTP node.
pub async fn with_rsync(server: &RsyncServer, plan: &str, deadline_ms: u64) -> Fronts {
    start(server.address, server.address, plan, deadline_ms).await
}

impl Fronts {
    /// Tells the core of node `n0`.
    pub async fn node(&self, kind: NodeListKind, address: SocketAddr, state: NodeState) {
        self.core
            .update_nodes(kind, vec![listing(address, state)])
            .await;
    }
}
