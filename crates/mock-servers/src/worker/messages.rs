//! The JSON bodies of heartbeats and their answers. They share no code with the cluster's own types.

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
    /// The worker rejected the start order.
    Refused,
}

/// A row of `running`: task, run, checkpoint, percentage done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunningRow(pub String, pub u32, pub String, pub u32);

/// A row of `finished`: number of the end, task, run, how it ended, checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FinishedRow(pub u64, pub String, pub u32, pub End, pub String);

/// A worker's total resources.
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
pub struct Heartbeat {
    /// The service that the worker belongs to.
    pub service: String,
    /// The worker's zone.
    pub zone: String,
    /// The version of the worker's software.
    pub version: String,
    /// `ready` or `draining`.
    pub state: &'static str,
    /// Increases with every heartbeat.
    pub sequence: u64,
    /// The worker's own clock, in milliseconds.
    pub clock_ms: u64,
    /// The worker's total resources.
    pub capacity: Capacity,
    /// The worker's labels: its kind and its rack.
    pub labels: Vec<String>,
    /// The runs in progress.
    pub running: Vec<RunningRow>,
    /// Ends that the cluster has not confirmed as observed yet.
    pub finished: Vec<FinishedRow>,
}

/// An order to start a task: task, run, text, checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StartRow(pub String, pub u32, pub String, pub String);

/// An order to stop a run: task, run.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StopRow(pub String, pub u32);

/// The answer to a heartbeat. A missing field is 0 or empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct HeartbeatAnswer {
    /// Duration of the worker's lease on all its runs, counted from the sending of the heartbeat.
    pub hold_ms: u64,
    /// The worker may drop ends up to this number.
    pub observed: u64,
    /// The sender's fencing token.
    pub fence_token: u64,
    /// Runs to start.
    pub start: Vec<StartRow>,
    /// Runs to stop.
    pub stop: Vec<StopRow>,
    /// Delay until the next heartbeat, in milliseconds; 0 for the usual interval.
    pub retry_after_ms: u64,
}
