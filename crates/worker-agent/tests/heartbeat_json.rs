//! The JSON of heartbeats and of their responses.

use lupinrack_cluster_api::agent::Assignment;
use lupinrack_cluster_api::identity::{FencingToken, JobId, ServiceName, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_worker_agent::heartbeat_json::{parse, render, ParseHeartbeatError};
use lupinrack_worker_agent::{HeartbeatResponse, ServerHeartbeat, StopOrder};
use quickcheck::quickcheck;
use serde_json::{json, Value};

const TASK: &str = "00000000000000ab.0.1.2";

fn task() -> TaskId {
    TaskId {
        job: JobId(0xab),
        occurrence: 0,
        step: 1,
        index: 2,
    }
}

/// A body with the required fields and `fields`.
fn body(fields: Value) -> Vec<u8> {
    let mut body = json!({"service": "search", "state": "ready", "sequence": 7});
    let fields = fields.as_object().expect("an object").clone();
    body.as_object_mut().expect("an object").extend(fields);
    body.to_string().into_bytes()
}

fn parse_with(fields: Value) -> ServerHeartbeat {
    parse("server-1", &body(fields)).expect("a heartbeat")
}

fn is_error(fields: Value) -> bool {
    matches!(
        parse("server-1", &body(fields)),
        Err(ParseHeartbeatError::Body(_))
    )
}

#[test]
fn every_field_is_parsed() {
    let heartbeat = parse_with(json!({
        "address": "127.0.0.1:80", "zone": "north", "version": "v3", "slots": 8, "state": "draining",
        "cold-remaining-ms": 12, "remaining-ms": 3400, "clock-ms": 99, "labels": ["big", "rack-2"],
        "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 1},
        "running": [[TASK, 2, "0f0f", 41]],
        "finished": [[58, TASK, 1, "done", "0e0e"]],
    }));
    assert_eq!(heartbeat.facts.service, ServiceName("search".into()));
    assert_eq!(
        (
            heartbeat.facts.zone.as_str(),
            heartbeat.facts.version.as_str()
        ),
        ("north", "v3")
    );
    assert_eq!(
        heartbeat.facts.capacity,
        Resources {
            cpu: 16000,
            memory_mb: 32768,
            gpu: 1
        }
    );
    assert_eq!(heartbeat.facts.labels, ["big", "rack-2"]);
    assert_eq!(heartbeat.facts.id, heartbeat.heartbeat.server);
    assert_eq!(
        (heartbeat.heartbeat.sequence, heartbeat.heartbeat.draining),
        (7, true)
    );
    assert_eq!(heartbeat.heartbeat.remaining_ms, Some(3400));
    let run = &heartbeat.heartbeat.running[0];
    assert_eq!(
        (run.task, run.attempt, run.checkpoint.as_str(), run.percent),
        (task(), 2, "0f0f", 41)
    );
    let end = &heartbeat.heartbeat.finished[0];
    assert_eq!(
        (end.number, end.task, end.attempt, end.end),
        (58, task(), 1, RunEnd::Done)
    );
    assert_eq!(end.checkpoint, "0e0e");
    assert_eq!(
        (
            heartbeat.address.as_str(),
            heartbeat.slots,
            heartbeat.warm_up_remaining_ms
        ),
        ("127.0.0.1:80", 8, 12)
    );
    assert_eq!((heartbeat.clock_ms, heartbeat.ends_listed), (99, 1));
}

#[test]
fn absent_lists_are_empty_and_unknown_keys_are_skipped() {
    let heartbeat = parse_with(json!({"mood": {"good": [1, 2]}}));
    assert!(heartbeat.heartbeat.running.is_empty() && heartbeat.heartbeat.finished.is_empty());
    assert_eq!(heartbeat.heartbeat.remaining_ms, None);
    assert!(!heartbeat.heartbeat.draining);
}

#[test]
fn rows_may_omit_or_add_trailing_fields() {
    let heartbeat = parse_with(json!({
        "running": [[TASK, 1], [TASK, 2, ""], [TASK, 3, null, 12.7, "more"]],
        "finished": [[1, TASK, 1, "stopped"], [2, TASK, 2, "lapsed", "0f", 5]],
    }));
    let percents: Vec<u32> = heartbeat
        .heartbeat
        .running
        .iter()
        .map(|run| run.percent)
        .collect();
    assert_eq!(percents, [0, 0, 12]);
    let checkpoint: Vec<&str> = heartbeat
        .heartbeat
        .finished
        .iter()
        .map(|end| end.checkpoint.as_str())
        .collect();
    assert_eq!(checkpoint, ["", "0f"]);
}

#[test]
fn every_name_of_a_run_end_is_parsed_and_others_are_rejected() {
    let names = [
        ("done", RunEnd::Done),
        ("failed", RunEnd::Failed),
        ("stopped", RunEnd::Stopped),
        ("lapsed", RunEnd::LeaseExpired),
        ("broken", RunEnd::Broken),
        ("alone", RunEnd::Alone),
        ("refused", RunEnd::Refused),
    ];
    for (name, end) in names {
        assert_eq!(
            parse_with(json!({"finished": [[1, TASK, 1, name, ""]]}))
                .heartbeat
                .finished[0]
                .end,
            end
        );
    }
    assert!(is_error(
        json!({"finished": [[1, TASK, 1, "vanished", ""]]})
    ));
}

#[test]
fn runs_with_task_names_of_other_systems_are_listed_separately() {
    let upper = TASK.to_uppercase();
    let heartbeat = parse_with(json!({
        "running": [["other", 3, "", 1], [TASK, 1, "", 2], [upper, 4, "", 0]],
        "finished": [[1, "other", 2, "done", ""], [2, TASK, 1, "done", ""]],
    }));
    assert_eq!(heartbeat.heartbeat.running.len(), 1);
    let unknown: Vec<&str> = heartbeat
        .unknown_runs
        .iter()
        .map(|run| run.task.as_str())
        .collect();
    assert_eq!(unknown, ["other", upper.as_str()]);
    assert_eq!(
        (heartbeat.heartbeat.finished.len(), heartbeat.ends_listed),
        (1, 2)
    );
}

#[test]
fn malformed_bodies_are_rejected() {
    assert!(is_error(json!({"state": "asleep"})));
    assert!(is_error(json!({"sequence": "seven"})));
    assert!(is_error(json!({"running": [[TASK]]})));
    assert!(is_error(json!({"running": [[TASK, "x"]]})));
    assert!(is_error(json!({"running": {}})));
    assert!(matches!(
        parse("server-1", b"{\"service\":"),
        Err(ParseHeartbeatError::Body(_))
    ));
    assert!(matches!(
        parse("server-1", b"{}"),
        Err(ParseHeartbeatError::Body(_))
    ));
    assert!(matches!(
        parse("", &body(json!({}))),
        Err(ParseHeartbeatError::ServerId)
    ));
}

#[test]
fn an_empty_response_is_an_empty_object() {
    assert_eq!(render(&HeartbeatResponse::default()), "{}");
}

#[test]
fn a_response_contains_the_fields_that_are_set() {
    let start = Assignment {
        task: task(),
        attempt: 1,
        spec: "say \"hello\"\n".into(),
        checkpoint: String::new(),
    };
    let response = HeartbeatResponse {
        starts: vec![start],
        stops: vec![StopOrder {
            task: "other".into(),
            attempt: 2,
        }],
        observed: 58,
        token: FencingToken(7),
        lease_ms: 4000,
        heartbeat_after_ms: 200,
    };
    let rendered: Value = serde_json::from_str(&render(&response)).expect("JSON");
    let expected = json!({
        "hold-ms": 4000, "observed": 58, "fence-token": 7,
        "start": [[TASK, 1, "say \"hello\"\n", ""]], "stop": [["other", 2]], "retry-after-ms": 200,
    });
    assert_eq!(rendered, expected);
}

quickcheck! {
    fn any_bytes_are_parsed_or_rejected(bytes: Vec<u8>) -> bool {
        let _ = parse("server-1", &bytes);
        true
    }

    fn any_spec_and_checkpoint_are_rendered_unchanged(spec: String, checkpoint: String) -> bool {
        let start = Assignment { task: task(), attempt: 3, spec: spec.clone(), checkpoint: checkpoint.clone() };
        let response = HeartbeatResponse { starts: vec![start], ..HeartbeatResponse::default() };
        let rendered: Value = serde_json::from_str(&render(&response)).expect("JSON");
        rendered["start"][0] == json!([TASK, 3, spec, checkpoint])
    }
}
