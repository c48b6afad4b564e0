//! A stage: stand-in nodes and their list, and processes of the program in front of them, each led straight to where it is to
//! go. What was promised of writes is looked up at the nodes.

use crate::history::History;
use crate::process::{Guard, Process, Start};
use crate::RigError;
use mock_servers::discovery::{Discovery, Entry};
use mock_servers::node::{lock, Fate, Group, Manner, Node};
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a process may take for its orderly end.
const ENDS: Duration = Duration::from_secs(30);

/// Stand-ins and processes; the processes are ended with it.
pub struct Stage {
    /// The list of nodes.
    pub discovery: Discovery,
    /// Every node that ever was, and its shard.
    pub nodes: Vec<(Node, u32)>,
    /// What the processes said.
    pub history: Arc<History>,
    groups: HashMap<u32, Group>,
    guard: Arc<Mutex<Guard>>,
    program: PathBuf,
    folder: PathBuf,
}

impl Stage {
    /// A stage without nodes, for this program.
    pub async fn new(program: PathBuf) -> Result<Stage, RigError> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let name = format!(
            "lupinrack-stage-{}-{}",
            std::process::id(),
            NUMBER.fetch_add(1, Relaxed)
        );
        Ok(Stage {
            discovery: Discovery::start(Vec::new()).await?,
            nodes: Vec::new(),
            history: Arc::default(),
            groups: HashMap::new(),
            guard: Arc::new(Mutex::new(Guard::new()?)),
            program,
            folder: std::env::temp_dir().join(name),
        })
    }

    /// Starts a node, which is not listed yet; nodes of one shard share a memory of writes.
    pub async fn node(&mut self, manner: Manner) -> Result<usize, RigError> {
        let (shard, group) = (
            manner.shard,
            self.groups.entry(manner.shard).or_default().clone(),
        );
        self.nodes.push((Node::start(manner, group).await?, shard));
        Ok(self.nodes.len() - 1)
    }

    /// Lists a node in this state of its life; tells the list's version.
    pub fn list(&self, at: usize, lifecycle: &'static str) -> u64 {
        let (node, shard) = &self.nodes[at];
        let (name, address) = (format!("s-{at}"), node.address);
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
    ) -> Result<Process, RigError> {
        config["management"] = json!("127.0.0.1:0");
        let folder = self.folder.join(format!("n{number}"));
        let start = Start {
            program: &self.program,
            folder,
            config,
            operator,
            front: number,
            twin: false,
            socket: None,
        };
        Process::start(start, self.guard.clone(), self.history.clone(), false).await
    }

    /// Has a process end in order, and waits for it.
    pub async fn end(&self, mut process: Process) -> Result<(), RigError> {
        process.signal(Signal::SIGTERM);
        match process.ended(ENDS).await {
            Some(status) if status.success() => Ok(()),
            status => Err(RigError::End {
                status: format!("{status:?}"),
                log: process.said(),
            }),
        }
    }

    /// Keyed writes that ran more than once, at whichever nodes.
    pub fn duplicates(&self) -> u64 {
        let mut ran: HashMap<String, u64> = HashMap::new();
        for (node, _) in &self.nodes {
            for seen in lock(&node.seen).iter().filter(|s| s.fate == Fate::Ran) {
                if let Some(key) = &seen.key {
                    *ran.entry(key.clone()).or_default() += 1;
                }
            }
        }
        ran.values().filter(|n| **n > 1).count() as u64
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
