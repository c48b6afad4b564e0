//! Reads the body of a heartbeat.

use super::fields::{Count, FinishedRow, RunningRow, TaskName};
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{Attempt, ServerId, ServiceName};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunningTask, ServerFacts};
use serde::Deserialize;

/// The most bytes of a server's identity.
pub const SERVER_ID_BYTES_MOST: usize = 256;

/// A run whose task's name is not one of this system's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownRun {
    /// The name.
    pub task: String,
    /// The number of its start.
    pub attempt: Attempt,
}

/// A heartbeat as the server sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// What the server says of itself and seldom changes.
    pub facts: ServerFacts,
    /// What changes from one heartbeat to the next; its runs are sorted, and `orders_seen` is 0.
    pub heartbeat: Heartbeat,
    /// Runs that this system cannot have started.
    pub unknown_runs: Vec<UnknownRun>,
    /// How many ends it lists, also of runs that this system cannot have started.
    pub ends_listed: usize,
    /// Where the server takes calls.
    pub address: String,
    /// How many calls it serves at once.
    pub slots: u64,
    /// How much longer it stays slow from its start, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Its own steady clock, in milliseconds.
    pub clock_ms: u64,
}

/// Why a heartbeat cannot be read.
#[derive(Debug, displaydoc::Display)]
pub enum ParseHeartbeatError {
    /// the server's identity is empty or too long
    Identity,
    /// the body of the heartbeat cannot be read: {0}
    Body(serde_json::Error),
}

impl std::error::Error for ParseHeartbeatError {}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateWord {
    Ready,
    Draining,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Capacity {
    cpu: Count,
    mem_mb: Count,
    gpu: Count,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Body {
    service: String,
    state: StateWord,
    sequence: Count,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    slots: Count,
    #[serde(default)]
    cold_remaining_ms: Count,
    #[serde(default)]
    remaining_ms: Option<Count>,
    #[serde(default)]
    capacity: Capacity,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    clock_ms: Count,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    finished: Vec<FinishedRow>,
}

/// Reads the heartbeat of the server `id`. Keys that are not known are skipped.
pub fn parse(id: &str, body: &[u8]) -> Result<ServerHeartbeat, ParseHeartbeatError> {
    if id.is_empty() || id.len() > SERVER_ID_BYTES_MOST {
        return Err(ParseHeartbeatError::Identity);
    }
    let body: Body = serde_json::from_slice(body).map_err(ParseHeartbeatError::Body)?;
    Ok(server_heartbeat(ServerId(id.to_owned()), body))
}

fn server_heartbeat(id: ServerId, body: Body) -> ServerHeartbeat {
    let (running, unknown_runs) = known_runs(body.running);
    let ends_listed = body.finished.len();
    let heartbeat = Heartbeat {
        server: id.clone(),
        sequence: body.sequence.0,
        draining: matches!(body.state, StateWord::Draining),
        remaining_ms: body.remaining_ms.map(|count| count.0),
        running,
        finished: known_ends(body.finished),
        orders_seen: 0,
    };
    let facts = ServerFacts {
        id,
        service: ServiceName(body.service),
        version: body.version,
        zone: body.zone,
        capacity: resources(&body.capacity),
        labels: body.labels,
    };
    ServerHeartbeat {
        facts,
        heartbeat,
        unknown_runs,
        ends_listed,
        address: body.address,
        slots: body.slots.0,
        cold_remaining_ms: body.cold_remaining_ms.0,
        clock_ms: body.clock_ms.0,
    }
}

fn resources(capacity: &Capacity) -> Resources {
    Resources {
        cpu: capacity.cpu.0,
        memory_mb: capacity.mem_mb.0,
        gpu: capacity.gpu.0,
    }
}

fn known_runs(rows: Vec<RunningRow>) -> (Vec<RunningTask>, Vec<UnknownRun>) {
    let mut known = Vec::with_capacity(rows.len());
    let mut unknown = Vec::new();
    for RunningRow {
        task,
        attempt,
        checkpoint,
        percent,
    } in rows
    {
        match task {
            TaskName::Known(task) => known.push(RunningTask {
                task,
                attempt,
                checkpoint,
                percent,
            }),
            TaskName::Unknown(task) => unknown.push(UnknownRun { task, attempt }),
        }
    }
    known.sort_by_key(|run| (run.task, run.attempt));
    (known, unknown)
}

fn known_ends(rows: Vec<FinishedRow>) -> Vec<FinishedTask> {
    let mut ends: Vec<FinishedTask> = rows.into_iter().filter_map(known_end).collect();
    ends.sort_by_key(|end| end.number);
    ends
}

fn known_end(row: FinishedRow) -> Option<FinishedTask> {
    let FinishedRow {
        number,
        task,
        attempt,
        end,
        checkpoint,
    } = row;
    match task {
        TaskName::Known(task) => Some(FinishedTask {
            number,
            task,
            attempt,
            end,
            checkpoint,
        }),
        TaskName::Unknown(_) => None,
    }
}
