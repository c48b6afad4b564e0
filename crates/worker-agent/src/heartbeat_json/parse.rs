//! Parses the body of a heartbeat.

use super::count::Count;
use super::parse_error::ParseHeartbeatError;
use super::rows::{FinishedRow, RunningRow};
use super::task_name::TaskName;
use crate::server_heartbeat::{ServerHeartbeat, UnknownRun};
use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::{ServerId, ServiceName};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunningTask, ServerFacts};
use serde::Deserialize;

/// The largest length of a server's identity, in bytes.
pub const MAX_SERVER_ID_BYTES: usize = 256;

/// Whether a server accepts new runs, in its JSON form.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerStateForm {
    Ready,
    Draining,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct CapacityForm {
    cpu: Count,
    mem_mb: Count,
    gpu: Count,
}

/// The body of a heartbeat. The order of the fields is part of the format: a body may also be a list of their values.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct HeartbeatForm {
    service: String,
    state: ServerStateForm,
    sequence: Count,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    slots: Count,
    #[serde(default, rename = "cold-remaining-ms")]
    warm_up_remaining_ms: Count,
    #[serde(default)]
    remaining_ms: Option<Count>,
    #[serde(default)]
    capacity: CapacityForm,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    clock_ms: Count,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    finished: Vec<FinishedRow>,
}

/// Parses a heartbeat of the server `id`. Unknown keys are skipped.
///
/// # Errors
///
/// [`ParseHeartbeatError::ServerId`] if `id` is empty or longer than [`MAX_SERVER_ID_BYTES`];
/// [`ParseHeartbeatError::Body`] if the body is not JSON of this format.
pub fn parse(id: &str, body: &[u8]) -> Result<ServerHeartbeat, ParseHeartbeatError> {
    if id.is_empty() || id.len() > MAX_SERVER_ID_BYTES {
        return Err(ParseHeartbeatError::ServerId);
    }
    let form = serde_json::from_slice(body).map_err(ParseHeartbeatError::Body)?;
    Ok(server_heartbeat(ServerId(id.to_owned()), form))
}

fn server_heartbeat(id: ServerId, form: HeartbeatForm) -> ServerHeartbeat {
    let (running, unknown_runs) = split_runs(form.running);
    let ends_listed = form.finished.len();
    let heartbeat = Heartbeat {
        server: id.clone(),
        sequence: form.sequence.0,
        draining: matches!(form.state, ServerStateForm::Draining),
        remaining_ms: form.remaining_ms.map(|count| count.0),
        running,
        finished: known_ends(form.finished),
        orders_seen: 0,
    };
    let facts = ServerFacts {
        id,
        service: ServiceName(form.service),
        version: form.version,
        zone: form.zone,
        capacity: resources(&form.capacity),
        labels: form.labels,
    };
    ServerHeartbeat {
        facts,
        heartbeat,
        unknown_runs,
        ends_listed,
        address: form.address,
        slots: form.slots.0,
        warm_up_remaining_ms: form.warm_up_remaining_ms.0,
        clock_ms: form.clock_ms.0,
    }
}

fn resources(capacity: &CapacityForm) -> Resources {
    Resources {
        cpu: capacity.cpu.0,
        memory_mb: capacity.mem_mb.0,
        gpu: capacity.gpu.0,
    }
}

/// Splits the rows into runs of this system's tasks, sorted, and other runs.
fn split_runs(rows: Vec<RunningRow>) -> (Vec<RunningTask>, Vec<UnknownRun>) {
    let mut known = Vec::with_capacity(rows.len());
    let mut unknown = Vec::new();
    for row in rows {
        match row.task {
            TaskName::Known(task) => known.push(RunningTask {
                task,
                attempt: row.attempt,
                checkpoint: row.checkpoint,
                percent: row.percent,
            }),
            TaskName::Unknown(task) => unknown.push(UnknownRun {
                task,
                attempt: row.attempt,
            }),
        }
    }
    known.sort_by_key(|run| (run.task, run.attempt));
    (known, unknown)
}

/// The ends of this system's tasks, sorted by number.
fn known_ends(rows: Vec<FinishedRow>) -> Vec<FinishedTask> {
    let mut ends: Vec<FinishedTask> = rows.into_iter().filter_map(known_end).collect();
    ends.sort_by_key(|end| end.number);
    ends
}

fn known_end(row: FinishedRow) -> Option<FinishedTask> {
    match row.task {
        TaskName::Known(task) => Some(FinishedTask {
            number: row.number,
            task,
            attempt: row.attempt,
            end: row.end,
            checkpoint: row.checkpoint,
        }),
        TaskName::Unknown(_) => None,
    }
}
