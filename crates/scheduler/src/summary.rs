//! The summary of servers and waiting tasks that a scheduler shows to operators.

use lupinrack_cluster_api::job::Resources;
use std::collections::BTreeMap;
use std::fmt;

/// The state of a server at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// The identity of the server.
    pub server: String,
    /// The total capacity of the server.
    pub capacity: Resources,
    /// The capacity that no run uses.
    pub free: Resources,
    /// The number of its runs that were proposed and have not ended, by priority.
    pub runs: BTreeMap<u32, usize>,
    /// The number of these runs with a requested stop.
    pub stopping: usize,
    /// The number of tasks in its queue.
    pub queued: usize,
    /// Whether it accepts new work.
    pub schedulable: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it is suspected of causing its tasks to fail.
    pub suspected: bool,
}

/// The ready tasks of one priority that have not started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingSummary {
    /// The number of tasks.
    pub tasks: usize,
    /// The longest wait, in milliseconds.
    pub longest_ms: u64,
}

/// The state of a service at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSummary {
    /// The servers of the service.
    pub servers: Vec<ServerSummary>,
    /// The waiting tasks, by priority.
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
