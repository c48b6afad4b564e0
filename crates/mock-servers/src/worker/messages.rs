//! The bodies of heartbeats and of their answers, written apart from the system's own code.

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// The hold was over.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the others of its gang.
    Alone,
    /// It was not started.
    Refused,
}

/// A row of `running`: task, run, checkpoint, percent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunningRow(pub String, pub u32, pub String, pub u32);

/// A row of `finished`: number, task, run, how, checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FinishedRow(pub u64, pub String, pub u32, pub End, pub String);

/// What a worker has in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub mem_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Beat {
    /// The service that the worker belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// `ready` or `draining`.
    pub state: &'static str,
    /// Rises with every heartbeat.
    pub sequence: u64,
    /// The worker's own clock, in milliseconds.
    pub clock_ms: u64,
    /// What it has in all.
    pub capacity: Capacity,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What has ended and was not observed yet.
    pub finished: Vec<FinishedRow>,
}

/// An order to start a task: task, run, text, checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StartRow(pub String, pub u32, pub String, pub String);

/// An order to stop a run: task, run.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StopRow(pub String, pub u32);

/// The answer to a heartbeat; what is not there is 0 or empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct BeatAnswer {
    /// How long, from the sending of the heartbeat, everything may be held.
    pub hold_ms: u64,
    /// Ends up to this number may be forgotten.
    pub observed: u64,
    /// The sender's fencing token.
    pub fence_token: u64,
    /// What to start.
    pub start: Vec<StartRow>,
    /// What to stop.
    pub stop: Vec<StopRow>,
    /// When to beat again, in milliseconds; 0 for the usual pace.
    pub retry_after_ms: u64,
}
