//! A local fleet without a relay: mock nodes, their discovery service, and processes of the program that connect to them
//! directly. Whether keyed writes ran twice is read from the nodes.

use crate::history::History;
use crate::process::{Guard, Process, StartOptions};
use crate::HarnessError;
use mock_servers::discovery::{Discovery, Entry};
use mock_servers::node::{lock, AttemptOutcome, KeyedWrites, Node, NodeConfig};
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a process may take for its graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Mock servers, and the guard and the folder of the processes that it starts. The guard kills processes that still run at
/// the end.
pub struct LocalFleet {
    /// The discovery service.
    pub discovery: Discovery,
    /// All nodes that were ever started, with their shards.
    pub nodes: Vec<(Node, u32)>,
    /// The processes' log records.
    pub history: Arc<History>,
    keyed_writes: HashMap<u32, KeyedWrites>,
    guard: Arc<Mutex<Guard>>,
    program: PathBuf,
    folder: PathBuf,
}

impl LocalFleet {
    /// A fleet without nodes and processes, for this program.
    pub async fn new(program: PathBuf) -> Result<LocalFleet, HarnessError> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let name = format!(
            "lupinrack-stage-{}-{}",
            std::process::id(),
            NUMBER.fetch_add(1, Relaxed)
        );
        Ok(LocalFleet {
            discovery: Discovery::start(Vec::new()).await?,
            nodes: Vec::new(),
            history: Arc::default(),
            keyed_writes: HashMap::new(),
            guard: Arc::new(Mutex::new(Guard::new()?)),
            program,
            folder: std::env::temp_dir().join(name),
        })
    }

    /// Starts a node without listing it, and returns its index. Nodes of a shard share their record of keyed writes.
    pub async fn node(&mut self, config: NodeConfig) -> Result<usize, HarnessError> {
        let (shard, group_keys) = (
            config.shard,
            self.keyed_writes.entry(config.shard).or_default().clone(),
        );
        self.nodes
            .push((Node::start(config, group_keys).await?, shard));
        Ok(self.nodes.len() - 1)
    }

    /// Lists a node with this lifecycle state, and returns the list's version.
    pub fn list(&self, index: usize, lifecycle: &'static str) -> u64 {
        let (node, shard) = &self.nodes[index];
        let (name, address) = (format!("s-{index}"), node.address);
        self.discovery.set(Entry {
            name,
            address,
            shard: *shard,
            lifecycle,
            started: 0,
        })
    }

    /// Starts a process of the program and waits until it listens.
    pub async fn front(
        &self,
        number: u16,
        mut config: Value,
        operator: String,
    ) -> Result<Process, HarnessError> {
        config["management"] = json!("127.0.0.1:0");
        let folder = self.folder.join(format!("n{number}"));
        let options = StartOptions {
            program: &self.program,
            folder,
            config,
            operator,
            front: number,
            twin: false,
            socket: None,
        };
        Process::start(options, self.guard.clone(), self.history.clone(), false).await
    }

    /// Shuts a process down gracefully and waits until it has exited.
    pub async fn end(&self, mut process: Process) -> Result<(), HarnessError> {
        process.signal(Signal::SIGTERM);
        match process.wait_for_exit(SHUTDOWN_TIMEOUT).await {
            Some(status) if status.success() => Ok(()),
            status => Err(HarnessError::End {
                status: format!("{status:?}"),
                log: process.log_tail(),
            }),
        }
    }

    /// Number of keyed writes that ran more than once, on any nodes.
    pub fn duplicates(&self) -> u64 {
        let mut runs_by_key: HashMap<String, u64> = HashMap::new();
        for (node, _) in &self.nodes {
            for attempt in lock(&node.attempts)
                .iter()
                .filter(|attempt| attempt.outcome == AttemptOutcome::Ran)
            {
                if let Some(key) = &attempt.key {
                    *runs_by_key.entry(key.clone()).or_default() += 1;
                }
            }
        }
        runs_by_key.values().filter(|runs| **runs > 1).count() as u64
    }
}

impl Drop for LocalFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
