//! Records of every kind.

use crate::state_parts::StateParts;
use lupinrack_cluster_api::configuration::{Configuration, Limits, QueueAddress, Route, Service};
use lupinrack_cluster_api::identity::{
    Attempt, DiskId, FencingToken, JobId, PeerAddress, QueueName, ServerId, ServiceName,
};
use lupinrack_cluster_api::job::{JobSpec, JobState, Resources, Step};
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange, Operation};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::{
    AcceptedChanges, AgentBinding, ConfigurationDocument, ControlState, DocumentItem, JobQueue,
    JobRecord, Occurrence, Occurrences, Shard, TaskRecord, TaskStatus,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

fn service(name: &str) -> ServiceName {
    ServiceName(name.to_owned())
}

fn server(name: &str) -> ServerId {
    ServerId(name.to_owned())
}

/// Every status of a task, under a name.
pub(crate) fn task_statuses() -> Vec<(&'static str, TaskStatus)> {
    vec![
        ("waiting", TaskStatus::Waiting),
        (
            "assigned",
            TaskStatus::Assigned {
                server: server("server-5"),
            },
        ),
        ("done", TaskStatus::Done),
    ]
}

/// The status of a task whose job was handed over while it ran.
pub(crate) fn status_after_hand_over() -> TaskStatus {
    TaskStatus::AssignedInFormerService {
        server: server("server-6"),
        service: service("former"),
    }
}

pub(crate) fn task_record(status: TaskStatus) -> TaskRecord {
    TaskRecord {
        status,
        attempt: 3,
        failed: 1,
        failed_attempt: 2,
        checkpoint: "half".to_owned(),
    }
}

pub(crate) fn occurrence() -> Occurrence {
    let tasks = task_statuses()
        .into_iter()
        .map(|(_, status)| task_record(status))
        .collect();
    Occurrence::from_all_tasks(vec![tasks, vec![TaskRecord::default()]], 3)
}

fn step() -> Step {
    Step {
        count: 3,
        needs: Resources {
            cpu: 4,
            memory_mb: 5,
            gpu: 6,
        },
        estimate_ms: 700,
        depends_on: vec![8, 9],
        checkpoints: true,
        gang: true,
        same_rack: true,
        requires: "ssd".to_owned(),
        affinity: "rack-1".to_owned(),
        anti_affinity: 10,
        speculative: true,
        long_running: true,
    }
}

/// What is assumed of the starts in an occurrence that was done under an earlier version.
const ASSUMED_DONE_ATTEMPT: Attempt = 100;

pub(crate) fn job_record(state: JobState, ended_at: Option<u64>) -> JobRecord {
    JobRecord {
        queue: QueueName("render".to_owned()).into(),
        service: service("worker"),
        priority: 11,
        max_retries: 12,
        target_latency_ms: 13,
        extension_milli: 14,
        spec: JobSpec {
            spec: "work".to_owned(),
            steps: vec![step(), Step::default()],
            repeat: 15,
            start_at_ms: 16,
            interval_ms: 17,
        },
        accepted_at: WallMillis(18),
        state,
        ended_at: ended_at.map(WallMillis),
        occurrences: Occurrences::new(
            [0],
            BTreeMap::from([(1, occurrence())]),
            ASSUMED_DONE_ATTEMPT,
        ),
    }
}

pub(crate) fn job_record_of_former_route() -> JobRecord {
    let queue = JobQueue {
        name: QueueName("render".to_owned()),
        former_address: Some(QueueAddress {
            host: "h.example".to_owned(),
            path_prefix: "/render/".to_owned(),
        }),
    };
    JobRecord {
        queue,
        ..job_record(JobState::Running, None)
    }
}

pub(crate) fn shard(owner: u64) -> Shard {
    Shard {
        owner: DiskId(owner),
        token: FencingToken(owner + 100),
    }
}

pub(crate) fn binding(order: u64) -> AgentBinding {
    let agent = PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 2, 3, 4), 7004));
    AgentBinding { agent, order }
}

pub(crate) fn document() -> ConfigurationDocument {
    let item = |name: &str, text: &str| DocumentItem {
        name: name.to_owned(),
        text: text.to_owned(),
    };
    ConfigurationDocument {
        version: 23,
        routes: vec![item("render", r#"{"name":"render"}"#)],
        services: vec![item("worker", r#"{"name":"worker"}"#)],
        limits: Some(r#"{"max-header-bytes":1}"#.to_owned()),
        other: vec![item("owner", r#""operators""#)],
    }
}

fn configuration() -> Configuration {
    Configuration {
        version: 24,
        routes: vec![Route {
            name: QueueName("render".to_owned()),
            host: "render.example".to_owned(),
            path_prefix: "/render/".to_owned(),
            timeout_ms: 25,
            target_latency_ms: 26,
            priority: 27,
            service: service("worker"),
            max_retries: 28,
            extension_milli: 29,
        }],
        services: vec![Service {
            name: service("worker"),
            guards: true,
        }],
        limits: Limits {
            max_header_bytes: 30,
            max_body_bytes: 31,
            header_timeout_ms: 32,
            idle_timeout_ms: 33,
        },
    }
}

/// The record of accepted changes in a state that accepted one change.
fn accepted_changes() -> AcceptedChanges {
    let body = ConfigurationBody::Replacement(super::PUT.to_owned());
    let mut state = ControlState::default();
    state.apply(&Operation::ChangeConfiguration(ConfigurationChange {
        if_match: 0,
        body,
    }));
    state.configuration_state().accepted_changes().clone()
}

/// The parts of a state that holds every kind of record, and jobs in each state.
pub(crate) fn all_parts() -> StateParts {
    let jobs = [
        (1, job_record(JobState::Queued, None)),
        (2, job_record(JobState::Running, None)),
        (3, job_record(JobState::Succeeded, Some(34))),
        (4, job_record(JobState::Failed, Some(35))),
        (5, job_record(JobState::Cancelled, Some(36))),
    ];
    let open = BTreeSet::from([JobId(1), JobId(2)]);
    StateParts {
        configuration: configuration(),
        document: document(),
        accepted_changes: accepted_changes(),
        jobs: jobs
            .into_iter()
            .map(|(number, record)| (JobId(number), record))
            .collect(),
        open_jobs: BTreeMap::from([(service("worker"), open)]),
        shards: BTreeMap::from([
            (service("guard"), shard(37)),
            (service("worker"), shard(38)),
        ]),
        bindings: BTreeMap::from([
            (server("server-5"), binding(39)),
            (server("server-6"), binding(40)),
        ]),
        bindings_recorded: 41,
    }
}
