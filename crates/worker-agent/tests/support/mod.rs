//! Builders for the heartbeats, messages and agents of the tests.

// Each test file uses some of the builders.
#![allow(dead_code)]

pub mod answer_at_once;

pub use answer_at_once::AnswerAtOnce;
use lupinrack_cluster_api::agent::{AgentMessage, Assignment, Heartbeat, OwnerMessage};
use lupinrack_cluster_api::identity::{
    Attempt, FencingToken, JobId, ServerId, ServiceName, TaskId,
};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask, ServerFacts};
use lupinrack_cluster_api::time::Millis;
use lupinrack_worker_agent::HEARTBEAT_GRACE_MS;
use lupinrack_worker_agent::{Agent, AgentSettings, HeartbeatResponse, ServerHeartbeat};

/// The connection of the first session.
pub const CONNECTION: u64 = 1;

pub fn settings() -> AgentSettings {
    AgentSettings {
        lease_max_ms: 6_000,
        heartbeat_ms: 1_500,
        idle_heartbeat_ms: 400,
        busy_heartbeat_ms: 80,
    }
}

pub fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(7),
        occurrence: 0,
        step: 0,
        index,
    }
}

pub fn assignment(index: u32, attempt: Attempt) -> Assignment {
    Assignment {
        task: task(index),
        attempt,
        spec: format!("work {index}"),
        checkpoint: String::new(),
    }
}

pub fn running(index: u32, attempt: Attempt) -> RunningTask {
    RunningTask {
        task: task(index),
        attempt,
        checkpoint: String::new(),
        percent: 0,
    }
}

pub fn finished(number: u64, index: u32, attempt: Attempt, end: RunEnd) -> FinishedTask {
    FinishedTask {
        number,
        task: task(index),
        attempt,
        end,
        checkpoint: String::new(),
    }
}

/// A message without orders that grants a lease from 11 ms to 3011 ms.
pub fn message(number: u64, server: &str, token: u64) -> OwnerMessage {
    OwnerMessage {
        token: FencingToken(token),
        server: ServerId(server.into()),
        number,
        complete: false,
        assign: Vec::new(),
        stop: Vec::new(),
        observed: 0,
        lease_from: Millis(11),
        lease_ms: 3_000,
        heartbeat_after_ms: 200,
    }
}

/// A heartbeat of a server on which nothing runs.
pub fn heartbeat_of(server: &str, sequence: u64) -> ServerHeartbeat {
    let id = ServerId(server.into());
    let heartbeat = Heartbeat {
        server: id.clone(),
        sequence,
        draining: false,
        remaining_ms: None,
        running: Vec::new(),
        finished: Vec::new(),
        orders_seen: 0,
    };
    let facts = ServerFacts {
        id,
        service: ServiceName("search".into()),
        version: "v1".into(),
        zone: "north".into(),
        capacity: Resources {
            cpu: 4_000,
            memory_mb: 8_192,
            gpu: 0,
        },
        labels: Vec::new(),
    };
    ServerHeartbeat {
        facts,
        heartbeat,
        unknown_runs: Vec::new(),
        ends_listed: 0,
        address: String::new(),
        slots: 8,
        warm_up_remaining_ms: 0,
        clock_ms: 0,
    }
}

/// An agent whose server "a" sent one heartbeat at 10 ms, and whose session is attached since 11 ms.
pub fn attached() -> Agent {
    let mut agent = Agent::new(settings());
    agent.owner_connected(CONNECTION);
    agent.heartbeat(heartbeat_of("a", 1), Millis(10));
    let messages = agent.poll(Millis(11));
    assert!(matches!(messages.as_slice(), [AgentMessage::Attach { .. }]));
    agent
}

/// A time at which the server is overdue for an agent from `ordered`, or for one that received its last heartbeat at 100 ms.
pub const OVERDUE: Millis = Millis(100 + 400 + HEARTBEAT_GRACE_MS + 1);

/// The first message of a session: it assigns task 1 and grants a lease from 11 ms to 3011 ms.
pub fn first_message() -> OwnerMessage {
    OwnerMessage {
        complete: true,
        assign: vec![assignment(1, 1)],
        ..message(1, "a", 5)
    }
}

/// An agent whose owner has ordered a run of task 1.
pub fn ordered() -> Agent {
    let mut agent = attached();
    assert_eq!(
        agent.receive_owner_message(CONNECTION, first_message()),
        Ok(())
    );
    agent
}

pub fn started(response: &HeartbeatResponse) -> Vec<(u32, u32)> {
    response
        .starts
        .iter()
        .map(|start| (start.task.index, start.attempt))
        .collect()
}

pub fn reported(messages: &[AgentMessage]) -> Option<&Heartbeat> {
    messages.iter().find_map(|message| match message {
        AgentMessage::Report { heartbeat, .. } => heartbeat.as_ref(),
        _ => None,
    })
}
