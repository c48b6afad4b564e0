//! Golden files of the simulator's wire protocol: every record that the simulator writes, every record of a
//! reply.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_policy::*;
use std::io::Write;
use std::process::{Command, Stdio};
use wire::{Incoming, Reply};

/// The adapter is a program without a library, so the test includes its module.
#[path = "../src/wire.rs"]
mod wire;

const INSTANCE: u16 = 0x0102;

/// The big-endian fields of a record, as the simulator writes them.
#[derive(Default)]
struct Fields(Vec<u8>);

impl Fields {
    fn of_instance() -> Fields {
        Fields::default().u16(INSTANCE)
    }
    fn raw(mut self, bytes: &[u8]) -> Fields {
        self.0.extend(bytes);
        self
    }
    fn u8(self, n: u8) -> Fields {
        self.raw(&[n])
    }
    fn u16(self, n: u16) -> Fields {
        self.raw(&n.to_be_bytes())
    }
    fn u32(self, n: u32) -> Fields {
        self.raw(&n.to_be_bytes())
    }
    fn u64(self, n: u64) -> Fields {
        self.raw(&n.to_be_bytes())
    }
    fn f32(self, x: f32) -> Fields {
        self.raw(&x.to_be_bytes())
    }
    fn f64(self, x: f64) -> Fields {
        self.raw(&x.to_be_bytes())
    }
}

/// A record as the simulator writes it, and its content as the adapter decodes it.
struct Record {
    name: String,
    code: u8,
    fields: Fields,
    expected: Incoming,
}

fn record(name: impl Into<String>, code: u8, fields: Fields, expected: Incoming) -> Record {
    Record {
        name: name.into(),
        code,
        fields,
        expected,
    }
}

fn event(name: impl Into<String>, code: u8, fields: Fields, event: Event) -> Record {
    record(name, code, fields, Incoming::Event(event))
}

/// The names of the values in load reports, as the settings give them. One of them is not known to the
/// adapter.
fn columns() -> Vec<String> {
    [
        "outstanding",
        "backlog",
        "utilization",
        "temperature",
        "recent_ms",
        "throughput",
        "errors_per_s",
    ]
    .map(String::from)
    .to_vec()
}

fn load_fields(fields: Fields) -> Fields {
    let values = [1.5, 2.5, 0.75, 99.0, 12.25, 3.5, 0.125];
    values
        .into_iter()
        .fold(fields.u8(7), |fields, x| fields.f32(x))
}

fn load() -> LoadReport {
    LoadReport {
        outstanding: Some(1.5),
        backlog: Some(2.5),
        utilization: Some(0.75),
        service_time: Some(12_250),
        throughput: Some(3.5),
        errors: Some(0.125),
    }
}

fn start_and_stop() -> Vec<Record> {
    let info = "resolution=2.0\nzone=3";
    let start = Fields::of_instance()
        .u64(0x1112_1314_1516_1718)
        .u32(info.len() as u32)
        .raw(info.as_bytes());
    let started = Incoming::Start {
        seed: 0x1112_1314_1516_1718,
        info: info.into(),
    };
    vec![
        record("start", 90, start, started),
        record("stop", 100, Fields::of_instance(), Incoming::Stop),
    ]
}

fn node_lists() -> Vec<Record> {
    let mut records = Vec::new();
    for (name, mode, kind) in [
        ("changes", 0, NodeListKind::Changes),
        ("whole", 1, NodeListKind::Full),
        ("cached", 2, NodeListKind::Cached),
        ("failed", 3, NodeListKind::Failed),
    ] {
        let fields = Fields::of_instance().u32(0x2122_2324).u8(mode).u32(0);
        let nodes = Event::NodeList {
            kind,
            entries: Vec::new(),
        };
        records.push(event(format!("nodes_{name}"), 60, fields, nodes));
    }
    let mut fields = Fields::of_instance().u32(0x2122_2324).u8(0).u32(3);
    let mut entries = Vec::new();
    for (n, (mode, state)) in [
        (0, NodeState::Ready),
        (1, NodeState::Draining),
        (3, NodeState::Gone),
    ]
    .into_iter()
    .enumerate()
    {
        let n = n as u32;
        let (node, zone, shard) = (0x3132_3330 + n, 0x40 + n as u8, 0x5150 + n as u16);
        // 0 stands for a node that started long ago.
        let started_ms = f64::from(n) * 1000.25;
        fields = fields
            .f32(0.5 + n as f32)
            .u8(mode)
            .u16(0x6162)
            .u32(node)
            .u8(zone)
            .f64(started_ms)
            .u16(shard);
        entries.push(NodeEntry {
            node: NodeId(node),
            state,
            zone: Zone(zone),
            shard: Shard(u32::from(shard)),
            started: (n > 0).then_some(i64::from(n) * 1_000_250),
            weight: 0.5 + f64::from(n),
        });
    }
    records.push(event(
        "nodes_entries",
        60,
        fields,
        Event::NodeList {
            kind: NodeListKind::Changes,
            entries,
        },
    ));
    records
}

fn requests() -> Vec<Record> {
    let fields = |key: u64, flags: u8, shard: f32| {
        let fields = Fields::of_instance()
            .u32(0x7172_7374)
            .f32(2.5)
            .f32(3.5)
            .f64(12_000.5);
        fields
            .u64(key)
            .u8(flags)
            .u32(0x8182_8384)
            .f32(shard)
            .u64(0x9192_9394_9596_9798)
            .u16(0xa1a2)
    };
    let request = Request {
        id: RequestId(0x7172_7374),
        class: 0xa1a2,
        plan: 0x8182_8384,
        volume: VolumeId(0x9192_9394_9596_9798),
        hosts: 3.5,
        units: 2.5,
        key: Some(Key(0xb1b2_b3b4_b5b6_b7b8)),
        shard: Some(Shard(77)),
        client_deadline: 12_000_500,
        is_client_retry: false,
        shard_unknown: false,
    };
    let without_key_and_shard = Request {
        key: None,
        shard: None,
        ..request
    };
    let client_retry = Request {
        is_client_retry: true,
        ..request
    };
    vec![
        event(
            "request",
            20,
            fields(0xb1b2_b3b4_b5b6_b7b8, 1, 77.0),
            Event::RequestArrived(request),
        ),
        event(
            "request_repeated",
            20,
            fields(0xb1b2_b3b4_b5b6_b7b8, 2, 77.0),
            Event::RequestArrived(client_retry),
        ),
        event(
            "request_without_key_and_shard",
            20,
            fields(0, 0, -1.0),
            Event::RequestArrived(without_key_and_shard),
        ),
    ]
}

const OUTCOMES: [(&str, u16, Outcome); 8] = [
    ("ok", 200, Outcome::Ok),
    ("error", 502, Outcome::Error),
    ("full", 429, Outcome::Rejected),
    ("timeout", 408, Outcome::Timeout),
    ("connect_failed", 521, Outcome::ConnectFailed),
    ("reset", 520, Outcome::Reset),
    ("cancelled", 444, Outcome::Cancelled),
    ("moot", 409, Outcome::NotSent),
];

fn attempt_ends() -> Vec<Record> {
    let fields = |code: u16, request_finished: u8, usage_code: u16| {
        let fields = Fields::of_instance()
            .u32(0x7172_7374)
            .u16(0xc1c2)
            .u32(0xd1d2_d3d4)
            .u16(code);
        fields
            .f64(41.5)
            .u8(request_finished)
            .u16(usage_code)
            .u16(0xe1e2)
    };
    let answer = |outcome| AttemptEnd {
        request: RequestId(0x7172_7374),
        attempt: 0xc1c2,
        node: NodeId(0xd1d2_d3d4),
        outcome,
        elapsed: 41_500,
        request_finished: false,
        volume_usage: None,
        units_through_other_hosts: f64::from(0xe1e2),
        load: None,
    };
    let mut records: Vec<Record> = Vec::new();
    for (name, code, outcome) in OUTCOMES {
        let expected = Event::AttemptEnded(answer(outcome));
        records.push(event(
            format!("answer_{name}"),
            50,
            fields(code, 0, 0).u8(0),
            expected,
        ));
    }
    let with_all = AttemptEnd {
        request_finished: true,
        volume_usage: Some(1.5),
        load: Some(load()),
        ..answer(Outcome::Ok)
    };
    records.push(event(
        "answer_with_all",
        50,
        load_fields(fields(200, 1, 151)),
        Event::AttemptEnded(with_all),
    ));
    records
}

fn other_records() -> Vec<Record> {
    let response_started = Fields::of_instance()
        .u32(0x7172_7374)
        .u16(0xc1c2)
        .raw(&[0xee; 12]);
    let health_checked = |outcome, load| Event::HealthChecked {
        node: NodeId(0xd1d2_d3d4),
        outcome,
        elapsed: 41_500,
        load,
    };
    let health_check = |code| Fields::of_instance().f64(41.5).u32(0xd1d2_d3d4).u16(code);
    let peer_message = Fields::of_instance().u32(0xf1f2_f3f4).u16(3).raw(b"abc");
    vec![
        event(
            "began",
            70,
            response_started,
            Event::ResponseStarted {
                request: RequestId(0x7172_7374),
                attempt: 0xc1c2,
            },
        ),
        event(
            "client_gone",
            40,
            Fields::of_instance().u32(0x7172_7374),
            Event::ClientGone(RequestId(0x7172_7374)),
        ),
        event(
            "timer",
            30,
            Fields::of_instance().u32(0x1920_2122),
            Event::Timer(0x1920_2122),
        ),
        event(
            "probed",
            10,
            health_check(502).u8(0),
            health_checked(Outcome::Error, None),
        ),
        event(
            "probed_with_load",
            10,
            load_fields(health_check(200)),
            health_checked(Outcome::Ok, Some(load())),
        ),
        event("note", 80, peer_message, Event::PeerMessage),
    ]
}

/// The content of a record as text, since events cannot be compared.
fn describe(incoming: &Incoming) -> String {
    match incoming {
        Incoming::Start { seed, info } => format!("start {seed} {info:?}"),
        Incoming::Stop => "stop".to_string(),
        Incoming::Event(event) => format!("{event:?}"),
    }
}

#[test]
fn every_record_of_the_simulator_is_decoded_as_in_the_golden_file() {
    let records: Vec<Record> = [
        start_and_stop(),
        node_lists(),
        requests(),
        attempt_ends(),
        other_records(),
    ]
    .into_iter()
    .flatten()
    .collect();
    let mut examples = GoldenFile::open(path!("records.txt"));
    for r in &records {
        examples.add_bytes(r.name.clone(), &[&[r.code], &r.fields.0[..]].concat());
    }
    let golden = examples.check();
    let columns = columns();
    for r in &records {
        let bytes = golden.bytes(&r.name);
        let (instance, incoming) = wire::record((bytes[0], &bytes[1..]), |_| &columns[..]).unwrap();
        assert_eq!(
            (instance, describe(&incoming)),
            (INSTANCE, describe(&r.expected)),
            "{}",
            r.name
        );
    }
}

#[test]
fn every_record_of_a_reply_is_encoded_as_in_the_golden_file() {
    let request = RequestId(0x7172_7374);
    let send = |timeout| Action::Send {
        request,
        node: NodeId(0xd1d2_d3d4),
        timeout,
        begin_by: 0x1111,
    };
    let mut examples = GoldenFile::open(path!("replies.txt"));
    for (name, action) in [
        ("send", send(Some(1_500_250))),
        ("send_without_time_out", send(None)),
        (
            "cancel",
            Action::Cancel {
                request,
                attempt: 0xc1c2,
            },
        ),
        (
            "refuse",
            Action::Reject {
                request,
                retry_after: Some(750_500),
            },
        ),
        (
            "refuse_without_a_time",
            Action::Reject {
                request,
                retry_after: None,
            },
        ),
        ("fail", Action::Fail { request }),
        ("grant_is_not_told", Action::Grant { request }),
        (
            "wake",
            Action::SetTimer {
                at: 12_345_500,
                token: 0x1920_2122,
            },
        ),
        ("probe", Action::HealthCheck(NodeId(0xd1d2_d3d4))),
        ("subscribe", Action::Subscribe),
        ("fetch_list", Action::FetchList),
        ("log", Action::Log("a line".into())),
    ] {
        let mut reply = Reply::default();
        reply.action(INSTANCE, &action);
        examples.add_bytes(name, &reply.finish());
    }
    let mut crash = Reply::default();
    crash.crash(INSTANCE, "setting resolution is missing");
    examples.add_bytes("crash", &crash.finish());
    let mut several = Reply::default();
    several.action(INSTANCE, &Action::Subscribe);
    several.action(INSTANCE + 1, &Action::FetchList);
    examples.add_bytes("several_records", &several.finish());
    examples.add_bytes("empty", &Reply::default().finish());
    examples.check();
}

/// A batch of records with its length, as the simulator writes it.
fn batch(now_ms: f64, records: &[Record]) -> Vec<u8> {
    let mut body = Vec::new();
    for r in records {
        body.push(r.code);
        body.extend((r.fields.0.len() as u32).to_be_bytes());
        body.extend(&r.fields.0);
    }
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(now_ms.to_be_bytes());
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

/// What the program writes for this input.
fn run(input: &[u8]) -> Vec<u8> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lupinrack-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let out = child.wait_with_output().unwrap();
    assert!(out.status.success());
    out.stdout
}

#[test]
fn batches_and_replies_match_the_golden_file() {
    let settings = "classes.count=1\nclasses.0.aim=300.0\nclasses.0.deadline=2000.0\nclasses.0.repeat=free\n\
                    grades.count=1\nregistryMode=ask\nsafety.stopSendingWithin=1000.0\nresolution=2.0\n";
    let start = |info: &str| {
        let fields = Fields::of_instance()
            .u64(42)
            .u32(info.len() as u32)
            .raw(info.as_bytes());
        record("start", 90, fields, Incoming::Stop)
    };
    let node = Fields::of_instance()
        .u32(1)
        .u8(1)
        .u32(1)
        .f32(1.0)
        .u8(0)
        .u16(0)
        .u32(7)
        .u8(0)
        .f64(0.0)
        .u16(5);
    let request = Fields::of_instance()
        .u32(9)
        .f32(2.0)
        .f32(1.0)
        .f64(12_000.0)
        .u64(0)
        .u8(0)
        .u32(0);
    let request = request.f32(5.0).u64(77).u16(0);
    let ignored = || Incoming::Stop;
    let request = [
        start(settings),
        record("nodes", 60, node, ignored()),
        record("request", 20, request, ignored()),
    ];
    // Each with its clock in microseconds and the codes of its records.
    let batches = [
        ("empty", batch(8_284.0, &[]), (8_284_000, vec![])),
        (
            "settings_missing",
            batch(9_000.5, &[start("zone=1")]),
            (9_000_500, vec![90]),
        ),
        (
            "request",
            batch(10_000.25, &request),
            (10_000_250, vec![90, 60, 20]),
        ),
    ];
    let mut examples = GoldenFile::open(path!("batches.txt"));
    for (name, input, _) in &batches {
        examples.add_bytes(format!("{name}, batch"), input);
        examples.add_bytes(format!("{name}, reply"), &run(input));
    }
    let golden = examples.check();
    for (name, _, expected) in batches {
        let input = golden.bytes(&format!("{name}, batch"));
        // The frame without its length.
        let (now, records) = wire::batch(&input[4..]).unwrap();
        let codes: Vec<u8> = records.map(|r| r.unwrap().0).collect();
        assert_eq!((now, codes), expected, "{name}");
        assert_eq!(
            run(&input),
            golden.bytes(&format!("{name}, reply")),
            "{name}"
        );
    }
}
