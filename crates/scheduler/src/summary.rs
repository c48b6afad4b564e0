//! What a scheduler shows operators of its servers and queues.

use lupinrack_cluster_api::job::Resources;
use std::collections::BTreeMap;
use std::fmt;

/// A server at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// Its identity.
    pub server: String,
    /// What it has.
    pub capacity: Resources,
    /// What no run takes of it.
    pub free: Resources,
    /// How many runs were decided for it and have not ended, by priority.
    pub runs: BTreeMap<u32, usize>,
    /// How many of these runs are to be stopped.
    pub stopping: usize,
    /// How many tasks are in its queue.
    pub queued: usize,
    /// Whether it may be given new work.
    pub schedulable: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it is suspected of failing what it is given.
    pub suspected: bool,
}

/// Tasks of one priority that may start and wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingSummary {
    /// How many.
    pub tasks: usize,
    /// The longest wait, in milliseconds.
    pub longest_ms: u64,
}

/// A service at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSummary {
    /// Its servers.
    pub servers: Vec<ServerSummary>,
    /// What waits, by priority.
    pub waiting: BTreeMap<u32, WaitingSummary>,
}

impl fmt::Display for ServiceSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (priority, waiting) in &self.waiting {
            write!(f, "[priority {priority}: {waiting}] ")?;
        }
        for server in &self.servers {
            write!(f, "{server}; ")?;
        }
        Ok(())
    }
}

impl fmt::Display for WaitingSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} wait, {} ms", self.tasks, self.longest_ms)
    }
}

impl fmt::Display for ServerSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.server)?;
        if !self.schedulable {
            write!(f, " (not schedulable)")?;
        }
        if self.suspected {
            write!(f, " (suspected)")?;
        }
        let (free, capacity) = (&self.free, &self.capacity);
        write!(f, ": cpu {}/{}", free.cpu, capacity.cpu)?;
        write!(f, " memory {}/{}", free.memory_mb, capacity.memory_mb)?;
        write!(f, " gpu {}/{}", free.gpu, capacity.gpu)?;
        write!(f, " runs {:?} stopping {}", self.runs, self.stopping)?;
        write!(f, " queued {}", self.queued)
    }
}
