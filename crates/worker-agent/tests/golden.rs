//! Compares parsed heartbeats, rendered responses, error texts and the agent's decisions with the files under
//! `tests/golden/`.

#[path = "support/answer_at_once.rs"]
mod answer_at_once;
mod golden_trace;
#[path = "model/random.rs"]
mod random;

use borsh::BorshDeserialize;
use golden_trace::Bulk;
use lupinrack_cluster_api::agent::{Assignment, Heartbeat};
use lupinrack_cluster_api::identity::{FencingToken, JobId, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask, ServerFacts};
use lupinrack_golden_files::{check_folder, path, to_hex, GoldenFile};
use lupinrack_worker_agent::heartbeat_json::{parse, render};
use lupinrack_worker_agent::{
    HeartbeatResponse, OwnerMessageError, ServerHeartbeat, StopOrder, UnknownRun,
};
use std::collections::BTreeMap;

const SERVER: &str = "server-1";
const TASK: &str = "00000000000000ab.3.1.2";
const OTHER_TASK: &str = "00000000000000ab.3.1.4";

fn task() -> TaskId {
    TaskId {
        job: JobId(0xab),
        occurrence: 3,
        step: 1,
        index: 2,
    }
}

fn other_task() -> TaskId {
    TaskId {
        job: JobId(0xab),
        occurrence: 3,
        step: 1,
        index: 4,
    }
}

/// The parsed form of a body with the required fields alone.
fn minimal_heartbeat() -> ServerHeartbeat {
    ServerHeartbeat {
        facts: ServerFacts {
            id: ServerId(SERVER.into()),
            service: ServiceName("search".into()),
            version: String::new(),
            zone: String::new(),
            capacity: Resources {
                cpu: 0,
                memory_mb: 0,
                gpu: 0,
            },
            labels: Vec::new(),
        },
        heartbeat: Heartbeat {
            server: ServerId(SERVER.into()),
            sequence: 7,
            draining: false,
            remaining_ms: None,
            running: Vec::new(),
            finished: Vec::new(),
            orders_seen: 0,
        },
        unknown_runs: Vec::new(),
        ends_listed: 0,
        address: String::new(),
        slots: 0,
        warm_up_remaining_ms: 0,
        clock_ms: 0,
    }
}

fn full_heartbeat() -> ServerHeartbeat {
    ServerHeartbeat {
        facts: ServerFacts {
            id: ServerId(SERVER.into()),
            service: ServiceName("search".into()),
            version: "v3".into(),
            zone: "north".into(),
            capacity: Resources {
                cpu: 16_000,
                memory_mb: 32_768,
                gpu: 5,
            },
            labels: vec!["big".into(), "rack-2".into()],
        },
        heartbeat: Heartbeat {
            server: ServerId(SERVER.into()),
            sequence: 7,
            draining: true,
            remaining_ms: Some(3_400),
            running: vec![RunningTask {
                task: task(),
                attempt: 6,
                checkpoint: "0f0f".into(),
                percent: 41,
            }],
            finished: vec![FinishedTask {
                number: 58,
                task: other_task(),
                attempt: 9,
                end: RunEnd::Done,
                checkpoint: "0e0e".into(),
            }],
            orders_seen: 0,
        },
        unknown_runs: Vec::new(),
        ends_listed: 1,
        address: "127.0.0.1:80".into(),
        slots: 8,
        warm_up_remaining_ms: 12,
        clock_ms: 99,
    }
}

fn minimal_body(fields: &str) -> String {
    format!(r#"{{"service":"search","state":"ready","sequence":7{fields}}}"#)
}

fn full_body() -> String {
    let runs = format!(
        r#""running":[["{TASK}",6,"0f0f",41]],"finished":[[58,"{OTHER_TASK}",9,"done","0e0e"]]"#
    );
    format!(
        concat!(
            r#"{{"service":"search","state":"draining","sequence":7,"address":"127.0.0.1:80","zone":"north","#,
            r#""version":"v3","slots":8,"cold-remaining-ms":12,"remaining-ms":3400,"#,
            r#""capacity":{{"cpu":16000,"mem-mb":32768,"gpu":5}},"labels":["big","rack-2"],"clock-ms":99,{}}}"#
        ),
        runs
    )
}

/// A body whose fields are a list of values without names, in the order of the format.
fn full_body_as_list() -> String {
    format!(
        concat!(
            r#"["search","draining",7,"127.0.0.1:80","north","v3",8,12,3400,[16000,32768,5],["big","rack-2"],99,"#,
            r#"[["{}",6,"0f0f",41]],[[58,"{}",9,"done","0e0e"]]]"#
        ),
        TASK, OTHER_TASK
    )
}

/// A heartbeat that lists one run of each kind of end.
fn heartbeat_of_every_end() -> (String, ServerHeartbeat) {
    let ends = [
        ("done", RunEnd::Done),
        ("failed", RunEnd::Failed),
        ("stopped", RunEnd::Stopped),
        ("lapsed", RunEnd::LeaseExpired),
        ("broken", RunEnd::Broken),
        ("alone", RunEnd::Alone),
        ("refused", RunEnd::Refused),
    ];
    let rows: Vec<String> = ends
        .iter()
        .zip(1..)
        .map(|((name, _), number)| {
            format!(
                r#"[{number},"{TASK}",{},"{name}","s{number}"]"#,
                number + 20
            )
        })
        .collect();
    let body = minimal_body(&format!(r#","finished":[{}]"#, rows.join(",")));
    let finished = ends.iter().zip(1..).map(|((_, end), number)| FinishedTask {
        number,
        task: task(),
        attempt: number as u32 + 20,
        end: *end,
        checkpoint: format!("s{number}"),
    });
    let mut parsed = minimal_heartbeat();
    parsed.heartbeat.finished = finished.collect();
    parsed.ends_listed = ends.len();
    (body, parsed)
}

/// Rows that omit trailing fields or have additional ones, and that are not sorted.
fn heartbeat_of_short_and_long_rows() -> (String, ServerHeartbeat) {
    let running = format!(
        r#"[["{OTHER_TASK}",4,"0d",88,"more"],["{TASK}",2],["{TASK}",3,null,12.7],["{OTHER_TASK}",3,"0c"]]"#
    );
    let finished = format!(r#"[[9,"{TASK}",2,"failed",null,5],[8,"{OTHER_TASK}",1,"stopped"]]"#);
    let body = minimal_body(&format!(
        r#","running":{running},"finished":{finished},"mood":{{"good":[1]}}"#
    ));
    let run = |task, attempt, checkpoint: &str, percent| RunningTask {
        task,
        attempt,
        checkpoint: checkpoint.into(),
        percent,
    };
    let end = |number, task, attempt, end| FinishedTask {
        number,
        task,
        attempt,
        end,
        checkpoint: String::new(),
    };
    let mut parsed = minimal_heartbeat();
    parsed.heartbeat.running = vec![
        run(task(), 2, "", 0),
        run(task(), 3, "", 12),
        run(other_task(), 3, "0c", 0),
        run(other_task(), 4, "0d", 88),
    ];
    parsed.heartbeat.finished = vec![
        end(8, other_task(), 1, RunEnd::Stopped),
        end(9, task(), 2, RunEnd::Failed),
    ];
    parsed.ends_listed = 2;
    (body, parsed)
}

/// Runs whose task names are not in this system's format.
fn heartbeat_of_unknown_runs() -> (String, ServerHeartbeat) {
    let upper = TASK.to_uppercase();
    let body = minimal_body(&format!(
        r#","running":[["other",3,"",1],["{TASK}",1,"",2],["{upper}",4]],"finished":[[1,"other",2,"done",""]]"#
    ));
    let mut parsed = minimal_heartbeat();
    parsed.heartbeat.running = vec![RunningTask {
        task: task(),
        attempt: 1,
        checkpoint: String::new(),
        percent: 2,
    }];
    parsed.unknown_runs = vec![
        UnknownRun {
            task: "other".into(),
            attempt: 3,
        },
        UnknownRun {
            task: upper,
            attempt: 4,
        },
    ];
    parsed.ends_listed = 1;
    (body, parsed)
}

/// Numbers that are negative, fractional or too large.
fn heartbeat_of_odd_numbers() -> (String, ServerHeartbeat) {
    let body = minimal_body(&format!(
        concat!(
            r#","slots":-3,"cold-remaining-ms":2.9,"remaining-ms":-0.5,"clock-ms":18446744073709551615,"#,
            r#""running":[["{}",4294967296,"",4294967297]],"#,
            r#""capacity":{{"cpu":1e3,"mem-mb":-1}}"#
        ),
        TASK
    ));
    let mut parsed = minimal_heartbeat();
    parsed.warm_up_remaining_ms = 2;
    parsed.heartbeat.remaining_ms = Some(0);
    parsed.clock_ms = u64::MAX;
    parsed.heartbeat.running = vec![RunningTask {
        task: task(),
        attempt: u32::MAX,
        checkpoint: String::new(),
        percent: u32::MAX,
    }];
    parsed.facts.capacity.cpu = 1_000;
    (body, parsed)
}

/// Named heartbeats: their bodies and parsed forms.
fn heartbeats() -> Vec<(&'static str, String, ServerHeartbeat)> {
    let named = |name, (body, parsed): (String, ServerHeartbeat)| (name, body, parsed);
    let mut without_remaining = minimal_heartbeat();
    without_remaining.heartbeat.draining = true;
    vec![
        named("least", (minimal_body(""), minimal_heartbeat())),
        named("every field", (full_body(), full_heartbeat())),
        named(
            "every field in a list",
            (full_body_as_list(), full_heartbeat()),
        ),
        named(
            "draining, without the time that remains",
            (
                r#"{"service":"search","state":"draining","sequence":7,"remaining-ms":null}"#
                    .into(),
                without_remaining,
            ),
        ),
        named("every kind of end", heartbeat_of_every_end()),
        named("short and long rows", heartbeat_of_short_and_long_rows()),
        named("unknown runs", heartbeat_of_unknown_runs()),
        named("odd numbers", heartbeat_of_odd_numbers()),
    ]
}

/// The parsed values except the facts and the heartbeat itself, which are compared in binary form.
fn other_values(parsed: &ServerHeartbeat) -> String {
    let unknown: Vec<String> = parsed
        .unknown_runs
        .iter()
        .map(|run| format!("{}/{}", run.task, run.attempt))
        .collect();
    format!(
        "unknown-runs=[{}] ends-listed={} address={} slots={} cold-remaining-ms={} clock-ms={}",
        unknown.join(" "),
        parsed.ends_listed,
        parsed.address,
        parsed.slots,
        parsed.warm_up_remaining_ms,
        parsed.clock_ms
    )
}

#[test]
fn parsed_heartbeats_match_the_golden_files() {
    let mut bodies = GoldenFile::open(path!("heartbeats.txt"));
    let mut parsed_values = GoldenFile::open(path!("heartbeats-read.txt"));
    for (name, body, parsed) in heartbeats() {
        bodies.add(name, body);
        parsed_values.add_bytes(
            format!("{name} | facts"),
            &borsh::to_vec(&parsed.facts).expect("borsh"),
        );
        parsed_values.add_bytes(
            format!("{name} | heartbeat"),
            &borsh::to_vec(&parsed.heartbeat).expect("borsh"),
        );
        parsed_values.add(format!("{name} | rest"), other_values(&parsed));
    }
    let bodies = bodies.check();
    let parsed_values = parsed_values.check();
    for (name, _, expected) in heartbeats() {
        let parsed = parse(SERVER, bodies.text(name).as_bytes())
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(parsed, expected, "{name}");
        let facts = parsed_values.bytes(&format!("{name} | facts"));
        assert_eq!(
            ServerFacts::try_from_slice(&facts).expect("facts"),
            parsed.facts,
            "{name}"
        );
        let heartbeat = parsed_values.bytes(&format!("{name} | heartbeat"));
        assert_eq!(
            Heartbeat::try_from_slice(&heartbeat).expect("a heartbeat"),
            parsed.heartbeat,
            "{name}"
        );
        assert_eq!(
            parsed_values.text(&format!("{name} | rest")),
            other_values(&parsed),
            "{name}"
        );
    }
}

fn assignment(task: TaskId, attempt: u32, spec: &str, checkpoint: &str) -> Assignment {
    Assignment {
        task,
        attempt,
        spec: spec.into(),
        checkpoint: checkpoint.into(),
    }
}

fn full_response() -> HeartbeatResponse {
    HeartbeatResponse {
        starts: vec![
            assignment(task(), 6, "say \"hello\"\n\u{1}\u{e9}", "0f0f"),
            assignment(other_task(), 9, "work", ""),
        ],
        stops: vec![
            StopOrder {
                task: TASK.into(),
                attempt: 5,
            },
            StopOrder {
                task: "o\\ther".into(),
                attempt: 2,
            },
        ],
        observed: 58,
        token: FencingToken(7),
        lease_ms: 4_000,
        heartbeat_after_ms: 200,
    }
}

/// Named responses: with no field, with all fields, and with each field alone.
fn responses() -> Vec<(&'static str, HeartbeatResponse)> {
    let none = HeartbeatResponse::default;
    vec![
        ("empty", none()),
        ("all", full_response()),
        (
            "starts",
            HeartbeatResponse {
                starts: full_response().starts,
                ..none()
            },
        ),
        (
            "stops",
            HeartbeatResponse {
                stops: full_response().stops,
                ..none()
            },
        ),
        (
            "observed",
            HeartbeatResponse {
                observed: 58,
                ..none()
            },
        ),
        (
            "token",
            HeartbeatResponse {
                token: FencingToken(u64::MAX),
                ..none()
            },
        ),
        (
            "hold",
            HeartbeatResponse {
                lease_ms: 4_000,
                ..none()
            },
        ),
        (
            "beat after",
            HeartbeatResponse {
                heartbeat_after_ms: 200,
                ..none()
            },
        ),
    ]
}

#[test]
fn rendered_responses_match_the_golden_file() {
    let mut file = GoldenFile::open(path!("answers.txt"));
    for (name, response) in responses() {
        file.add(name, render(&response));
    }
    let golden = file.check();
    for (name, response) in responses() {
        let json: serde_json::Value = serde_json::from_str(golden.text(name)).expect("JSON");
        let starts = json["start"].as_array().map_or(0, Vec::len);
        let stops = json["stop"].as_array().map_or(0, Vec::len);
        assert_eq!(
            (starts, stops),
            (response.starts.len(), response.stops.len()),
            "{name}"
        );
        assert_eq!(
            json["fence-token"].as_u64().unwrap_or(0),
            response.token.0,
            "{name}"
        );
        assert_eq!(
            json["hold-ms"].as_u64().unwrap_or(0),
            response.lease_ms,
            "{name}"
        );
        assert_eq!(
            json["observed"].as_u64().unwrap_or(0),
            response.observed,
            "{name}"
        );
        assert_eq!(
            json["retry-after-ms"].as_u64().unwrap_or(0),
            response.heartbeat_after_ms,
            "{name}"
        );
    }
}

/// Named bodies that cannot be parsed.
fn malformed_bodies() -> BTreeMap<&'static str, String> {
    let row = |fields: &str| minimal_body(&format!(r#","running":[{fields}]"#));
    let end = |fields: &str| minimal_body(&format!(r#","finished":[{fields}]"#));
    BTreeMap::from([
        ("nothing", String::new()),
        ("cut off", r#"{"service":"#.into()),
        (
            "service missing",
            r#"{"state":"ready","sequence":7}"#.into(),
        ),
        (
            "state missing",
            r#"{"service":"search","sequence":7}"#.into(),
        ),
        (
            "sequence missing",
            r#"{"service":"search","state":"ready"}"#.into(),
        ),
        ("service twice", minimal_body(r#","service":"search""#)),
        (
            "unknown state",
            r#"{"service":"search","state":"asleep","sequence":7}"#.into(),
        ),
        (
            "sequence as text",
            r#"{"service":"search","state":"ready","sequence":"seven"}"#.into(),
        ),
        ("labels as text", minimal_body(r#","labels":"big""#)),
        ("address as number", minimal_body(r#","address":80"#)),
        ("running as object", minimal_body(r#","running":{}"#)),
        ("run as text", row(r#""x""#)),
        ("run without task", row("[]")),
        ("run without start", row(&format!(r#"["{TASK}"]"#))),
        ("run with task as number", row("[5,1]")),
        ("run with start as text", row(&format!(r#"["{TASK}","x"]"#))),
        (
            "run with saved as number",
            row(&format!(r#"["{TASK}",1,2]"#)),
        ),
        ("end as number", end("4")),
        ("end without number", end("[]")),
        ("end without task", end("[1]")),
        ("end without start", end(&format!(r#"[1,"{TASK}"]"#))),
        ("end without word", end(&format!(r#"[1,"{TASK}",1]"#))),
        (
            "end with unknown word",
            end(&format!(r#"[1,"{TASK}",1,"vanished",""]"#)),
        ),
    ])
}

#[test]
fn error_texts_match_the_golden_file() {
    let mut file = GoldenFile::open(path!("errors.txt"));
    let mut add_parse_error = |name: &str, id: &str, body: &str| match parse(id, body.as_bytes()) {
        Ok(_) => panic!("{name} was parsed"),
        Err(error) => file.add(format!("heartbeat, {name}"), error.to_string()),
    };
    add_parse_error("identity empty", "", &minimal_body(""));
    add_parse_error("identity too long", &"x".repeat(257), &minimal_body(""));
    for (name, body) in malformed_bodies() {
        add_parse_error(name, SERVER, &body);
    }
    let rejected = [
        ("other connection", OwnerMessageError::OtherConnection),
        ("other incarnation", OwnerMessageError::OtherIncarnation),
        ("lower token", OwnerMessageError::LowerToken),
        ("earlier session", OwnerMessageError::EarlierSession),
        ("repeated", OwnerMessageError::Repeated),
        ("gap", OwnerMessageError::Gap),
    ];
    for (name, rejected) in rejected {
        file.add(format!("rejected message, {name}"), rejected.to_string());
    }
    file.check();
    assert!(parse(&"x".repeat(256), minimal_body("").as_bytes()).is_ok());
}

#[test]
fn decisions_of_the_agent_match_the_golden_file() {
    const STEPS: usize = 200;
    let mut file = GoldenFile::open(path!("agent-trace.txt"));
    for seed in 1..=3 {
        for (step, line) in golden_trace::play(seed, STEPS, Bulk::Without)
            .into_iter()
            .enumerate()
        {
            file.add(format!("seed {seed} step {step}"), line);
        }
    }
    file.check();
}

#[test]
fn digests_of_long_runs_match_the_golden_file() {
    const STEPS: usize = 3_000;
    let mut file = GoldenFile::open(path!("agent-trace-digests.txt"));
    for seed in 100..140 {
        let lines = golden_trace::play(seed, STEPS, Bulk::With);
        file.add(
            format!("seed {seed}"),
            to_hex(&golden_trace::digest(&lines).to_be_bytes()),
        );
    }
    file.check();
}

#[test]
fn every_golden_file_is_compared() {
    check_folder(
        path!(),
        [
            "agent-trace-digests.txt",
            "agent-trace.txt",
            "answers.txt",
            "errors.txt",
            "heartbeats-read.txt",
            "heartbeats.txt",
        ],
    );
}
