//! Golden tests of the exported messages, the schema of the section and the error texts.

use lupinrack_flow_export::config::{IpfixConfig, Section};
use lupinrack_flow_export::{run, ENTERPRISE_NUMBER, FIELDS, TEMPLATE_ID};
use lupinrack_golden_files::{check_folder, check_text, path, GoldenFile};
use lupinrack_policy::{Request, RequestId, VolumeId};
use lupinrack_request_engine::{Flow, FlowEnd};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Bytes of the export time in a message header. They are zeroed in the golden files.
const EXPORT_TIME: std::ops::Range<usize> = 4..8;
/// Difference between Unix time and the clock of the flows.
const UNIX_OFFSET_US: i64 = 1_700_000_000_000_000;

fn flow(number: u32, end: FlowEnd) -> Flow {
    let number_wide = u64::from(number);
    let request = Request {
        id: RequestId(0x0a0b_0c00 + number),
        class: 0x0d00 + number as u16,
        volume: VolumeId(0x1122_3344_5566_7700 + number_wide),
        ..Request::default()
    };
    Flow {
        request,
        opened: 1_000_000 * i64::from(number),
        ended: 1_000_000 * i64::from(number) + 123_456,
        units: 1.5 + f64::from(number),
        bytes: 0x0102_0304_0506_0700 + number_wide,
        attempts: 0x0e00 + number as u16,
        end,
    }
}

/// One flow for each [`FlowEnd`].
fn flows() -> Vec<(&'static str, Flow)> {
    vec![
        ("served", flow(1, FlowEnd::Served)),
        ("refused", flow(2, FlowEnd::Rejected)),
        ("failed", flow(3, FlowEnd::Failed)),
        ("client gone", flow(4, FlowEnd::ClientGone)),
    ]
}

/// A flow before 1970 without any bytes, and one with numbers at their limits.
fn edge_case_flows() -> Vec<(&'static str, Flow)> {
    let early = Flow {
        opened: -UNIX_OFFSET_US - 1_000,
        ended: -UNIX_OFFSET_US,
        units: -1.0,
        bytes: 0,
        ..flow(0, FlowEnd::Served)
    };
    let large = Flow {
        units: 1e12,
        bytes: u64::MAX,
        attempts: u16::MAX,
        ..flow(255, FlowEnd::Failed)
    };
    vec![("early", early), ("large", large)]
}

/// Runs an exporter and returns the messages that it sends, one for each batch.
async fn exported_messages(template_interval: Duration, batches: Vec<Vec<Flow>>) -> Vec<Vec<u8>> {
    let collector = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a socket");
    let address = collector.local_addr().expect("an address");
    let config = IpfixConfig {
        collector: address,
        domain: 0x0a0b_0c0d,
        template_interval,
    };
    let (sender, receiver) = mpsc::channel(lupinrack_flow_export::MAX_QUEUED_FLOWS);
    let mut batches = batches.into_iter();
    // The first batch is queued before the exporter starts, so that it is sent in one message.
    for flow in batches.next().into_iter().flatten() {
        sender.send(flow).await.expect("room");
    }
    let exporter = tokio::spawn(run(config, UNIX_OFFSET_US, receiver));
    let mut received = vec![receive(&collector).await];
    for batch in batches {
        for flow in batch {
            sender.try_send(flow).expect("room");
        }
        received.push(receive(&collector).await);
    }
    drop(sender);
    exporter.await.expect("an end").expect("no failure");
    received
}

async fn receive(collector: &UdpSocket) -> Vec<u8> {
    let mut buffer = vec![0; 65_536];
    let received = tokio::time::timeout(Duration::from_secs(10), collector.recv(&mut buffer)).await;
    let length = received.expect("a message in time").expect("a message");
    buffer.truncate(length);
    buffer[EXPORT_TIME].fill(0);
    buffer
}

fn only_flows(named: Vec<(&'static str, Flow)>) -> Vec<Flow> {
    named.into_iter().map(|(_, flow)| flow).collect()
}

/// Removes a big-endian number of `length` bytes from the front.
fn take_number(bytes: &mut &[u8], length: usize) -> u64 {
    let (number, rest) = bytes.split_at(length);
    *bytes = rest;
    number
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// The sets of a message with their set IDs. Checks the message header (RFC 7011, section 3.1).
fn sets(message: &[u8], sequence: u64) -> Vec<(u64, &[u8])> {
    let mut rest = message;
    assert_eq!(
        (take_number(&mut rest, 2), take_number(&mut rest, 2)),
        (10, message.len() as u64)
    );
    assert_eq!(
        (
            take_number(&mut rest, 4),
            take_number(&mut rest, 4),
            take_number(&mut rest, 4)
        ),
        (0, sequence, 0x0a0b_0c0d)
    );
    let mut sets = Vec::new();
    while !rest.is_empty() {
        let set_id = take_number(&mut rest, 2);
        let length = take_number(&mut rest, 2) as usize - 4;
        let (set, after_set) = rest.split_at(length);
        sets.push((set_id, set));
        rest = after_set;
    }
    sets
}

fn check_template(mut set: &[u8]) {
    assert_eq!(
        (take_number(&mut set, 2), take_number(&mut set, 2)),
        (u64::from(TEMPLATE_ID), FIELDS.len() as u64)
    );
    for (element, length, project_specific) in FIELDS {
        let enterprise_bit = if project_specific { 0x8000 } else { 0 };
        assert_eq!(
            take_number(&mut set, 2),
            u64::from(element) | enterprise_bit
        );
        assert_eq!(take_number(&mut set, 2), u64::from(length));
        if project_specific {
            assert_eq!(take_number(&mut set, 4), u64::from(ENTERPRISE_NUMBER));
        }
    }
    assert!(set.is_empty());
}

/// The field values of each record of a data set.
fn record_fields(mut set: &[u8]) -> Vec<Vec<u64>> {
    let mut records = Vec::new();
    while !set.is_empty() {
        records.push(
            FIELDS
                .iter()
                .map(|field| take_number(&mut set, usize::from(field.1)))
                .collect(),
        );
    }
    records
}

fn expected_fields(number: u64, reason: u64, end: u64) -> Vec<u64> {
    vec![
        1_700_000_000_000 + 1_000 * number,
        1_700_000_000_000 + 1_000 * number + 123,
        0x0102_0304_0506_0700 + number,
        0x0a0b_0c00 + number,
        reason,
        0x1122_3344_5566_7700 + number,
        1_500 + 1_000 * number,
        0x0d00 + number,
        0x0e00 + number,
        end,
    ]
}

#[tokio::test]
async fn messages_match_the_golden_file() {
    let long_interval = Duration::from_secs(3_600);
    let mut file = GoldenFile::open(path!("messages.txt"));
    let batches = vec![
        only_flows(flows()),
        vec![flow(5, FlowEnd::Served)],
        vec![flow(6, FlowEnd::ClientGone)],
    ];
    let sent = exported_messages(long_interval, batches).await;
    file.add_bytes("template and a record of each end", &sent[0]);
    file.add_bytes("without template, sequence 4", &sent[1]);
    file.add_bytes("without template, sequence 5", &sent[2]);
    for (name, flow) in flows().into_iter().chain(edge_case_flows()) {
        let sent = exported_messages(long_interval, vec![vec![flow]]).await;
        file.add_bytes(format!("{name} alone"), &sent[0]);
    }
    let template_each_time = exported_messages(
        Duration::ZERO,
        vec![
            vec![flow(1, FlowEnd::Served)],
            vec![flow(2, FlowEnd::Served)],
        ],
    )
    .await;
    file.add_bytes("template again, sequence 1", &template_each_time[1]);
    let golden = file.check();

    let first = golden.bytes("template and a record of each end");
    let [(2, template), (256, data)] = sets(&first, 0)[..] else {
        panic!("a template set and a data set")
    };
    check_template(template);
    let expected = [
        expected_fields(1, 3, 0),
        expected_fields(2, 4, 1),
        expected_fields(3, 4, 2),
        expected_fields(4, 4, 3),
    ];
    assert_eq!(record_fields(data), expected);
    let last = golden.bytes("without template, sequence 5");
    let [(256, data)] = sets(&last, 5)[..] else {
        panic!("only a data set")
    };
    assert_eq!(record_fields(data), [expected_fields(6, 4, 3)]);
    let again = golden.bytes("template again, sequence 1");
    let [(2, template), (256, data)] = sets(&again, 1)[..] else {
        panic!("a template set and a data set")
    };
    check_template(template);
    assert_eq!(record_fields(data), [expected_fields(2, 3, 0)]);
}

#[tokio::test]
async fn a_batch_over_the_message_limit_is_split() {
    let batch: Vec<Flow> = (0..60)
        .map(|number| flow(number, FlowEnd::Served))
        .collect();
    let sent = exported_messages(Duration::from_secs(3_600), vec![batch, Vec::new()]).await;
    let records = |message: &[u8], sequence| -> Vec<u64> {
        let message_sets = sets(message, sequence);
        message_sets
            .iter()
            .filter(|set| set.0 == 256)
            .flat_map(|set| record_fields(set.1))
            .map(|record| record[3])
            .collect()
    };
    let first = records(&sent[0], 0);
    let second = records(&sent[1], first.len() as u64);
    assert_eq!((first.len(), second.len(), sent[0].len()), (26, 26, 1_388));
}

#[test]
fn the_section_schema_matches_the_golden_file() {
    let schema = schemars::schema_for!(Section);
    check_text(
        path!("section.schema.json"),
        &format!("{:#}\n", schema.as_value()),
    );
}

#[test]
fn the_section_is_parsed_with_its_defaults_and_limits() {
    let parse = |text: &str| IpfixConfig::parse(text).expect("a section");
    assert!(
        parse("collector = '127.0.0.1:4739'").is_none(),
        "disabled by default"
    );
    let defaults = parse("enabled = true\ncollector = '127.0.0.1:4739'").expect("enabled");
    assert_eq!(
        (defaults.collector, defaults.domain),
        (SocketAddr::from(([127, 0, 0, 1], 4739)), 1)
    );
    assert_eq!(defaults.template_interval, Duration::from_secs(10));
    let full =
        "enabled = true\ncollector = '[::1]:1'\nobservation_domain = 7\ntemplate_every_ms = 2500";
    let full = parse(full).expect("enabled");
    assert_eq!(
        (full.collector.to_string().as_str(), full.domain),
        ("[::1]:1", 7)
    );
    assert_eq!(full.template_interval, Duration::from_millis(2_500));
    let below_minimum =
        parse("enabled = true\ncollector = '[::1]:1'\ntemplate_every_ms = 1").expect("enabled");
    assert_eq!(below_minimum.template_interval, Duration::from_millis(100));
    assert!(IpfixConfig::load(Path::new("/nowhere/ipfix.toml"))
        .expect("no file")
        .is_none());
}

#[test]
fn error_texts_match_the_golden_file() {
    let mut file = GoldenFile::open(path!("errors.txt"));
    let texts = [
        ("no collector", ""),
        ("not toml", "enabled"),
        ("unknown key", "collector = '127.0.0.1:4739'\nmood = 1"),
        ("not an address", "collector = 'here'"),
        (
            "negative domain",
            "collector = '127.0.0.1:4739'\nobservation_domain = -1",
        ),
    ];
    for (name, text) in texts {
        let error = IpfixConfig::parse(text).expect_err(name);
        file.add(name, error.to_string().escape_debug().to_string());
    }
    let folder = std::env::temp_dir();
    let error = IpfixConfig::load(&folder)
        .expect_err("a folder cannot be read as a file")
        .to_string();
    file.add(
        "not a file",
        error.replace(&folder.display().to_string(), "FOLDER"),
    );
    file.check();
}

#[test]
fn every_golden_file_is_checked() {
    check_folder(
        path!(),
        ["errors.txt", "messages.txt", "section.schema.json"],
    );
}
