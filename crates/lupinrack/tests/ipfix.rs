//! Flow export, decoded from bytes according to RFC 7011.

mod common;

use common::front::{front_settings, unreachable_node};
use lupinrack::engine::{Clock, EngineParts, Order};
use lupinrack::ipfix::{self, config::IpfixConfig, ENTERPRISE_NUMBER};
use lupinrack::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

type Fields = Vec<(u32, u16, usize)>;
/// A record: enterprise number and element id to value.
type Record = BTreeMap<(u32, u16), u64>;

fn number(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Decodes one message into its sequence number and its records. Templates are added to `templates`.
fn decode(message: &[u8], templates: &mut BTreeMap<u16, Fields>) -> (u64, Vec<Record>) {
    assert_eq!(number(&message[..2]), 10, "version");
    assert_eq!(number(&message[2..4]) as usize, message.len(), "length");
    assert_eq!(number(&message[12..16]), 7, "observation domain");
    let (mut offset, mut records) = (16, Vec::new());
    while offset < message.len() {
        let (set, length) = (
            number(&message[offset..offset + 2]) as u16,
            number(&message[offset + 2..offset + 4]) as usize,
        );
        let mut body = &message[offset + 4..offset + length];
        offset += length;
        if set == 2 {
            let (id, count) = (number(&body[..2]) as u16, number(&body[2..4]));
            body = &body[4..];
            let mut fields = Fields::new();
            for _ in 0..count {
                let (element, length) = (number(&body[..2]) as u16, number(&body[2..4]) as usize);
                let enterprise_specific = element & 0x8000 != 0;
                fields.push((
                    if enterprise_specific {
                        number(&body[4..8]) as u32
                    } else {
                        0
                    },
                    element & 0x7fff,
                    length,
                ));
                body = &body[if enterprise_specific { 8 } else { 4 }..];
            }
            assert!(body.is_empty(), "the template set holds one template");
            templates.insert(id, fields);
            continue;
        }
        let fields = &templates[&set];
        while !body.is_empty() {
            let mut record = Record::new();
            for (enterprise, element, length) in fields {
                record.insert((*enterprise, *element), number(&body[..*length]));
                body = &body[*length..];
            }
            records.push(record);
        }
    }
    (number(&message[8..12]), records)
}

#[tokio::test]
async fn each_finished_request_is_one_record() {
    let collector = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let text = format!(
        "enabled = true\ncollector = '{}'\nobservation_domain = 7\ntemplate_every_ms = 100\n",
        collector.local_addr().unwrap()
    );
    let config = IpfixConfig::parse(&text).unwrap().unwrap();
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(front_settings().policy, 3, clock);
    let (flow_sender, flows) = mpsc::channel(ipfix::MAX_QUEUED_FLOWS);
    tokio::spawn(engine.export_flows(flow_sender).run());
    // A fixed Unix time at the start of the clock, so that the range of the records' times is known.
    tokio::spawn(ipfix::run(
        config,
        1_700_000_000_000_000 - clock.now(),
        flows,
    ));
    handle
        .update_nodes(
            NodeListKind::Cached,
            vec![unreachable_node(NodeState::Ready)],
        )
        .await;
    let request = |units| Request {
        class: 2,
        plan: 2,
        volume: VolumeId(0xa1),
        units,
        hosts: 1.0,
        client_deadline: clock.now() + 60_000_000,
        ..Request::default()
    };
    let mut templates = BTreeMap::new();
    let mut records_seen = Vec::new();
    for round in 0..3_u64 {
        // A transfer that is granted two more units, and forwards 300 bytes in all.
        let mut request_handle = handle.open(request(2.0)).await;
        let Some(Order::Send(_)) = request_handle.next_order().await else {
            panic!("not sent")
        };
        let reporter = request_handle.reporter();
        reporter.response_started(0).await;
        reporter.bytes_forwarded(100).await;
        reporter.request_units(2.0).await;
        let Some(Order::Grant) = request_handle.next_order().await else {
            panic!("not granted")
        };
        reporter.bytes_forwarded(200).await;
        reporter.attempt_ended(0, Outcome::Ok, None).await;
        assert!(request_handle.next_order().await.is_none());
        let mut message = [0; 2048];
        let length = tokio::time::timeout(Duration::from_secs(20), collector.recv(&mut message))
            .await
            .unwrap()
            .unwrap();
        // Each message carries its template again, so it is decoded without the earlier ones.
        templates.clear();
        let (sequence, records) = decode(&message[..length], &mut templates);
        assert_eq!(sequence, round, "records sent before this message");
        records_seen.extend(records);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(records_seen.len(), 3);
    let enterprise_field = |element| (ENTERPRISE_NUMBER, element);
    for (index, record) in records_seen.iter().enumerate() {
        assert_eq!(
            (
                record[&(0, 1)],
                record[&enterprise_field(1)],
                record[&enterprise_field(2)],
                record[&enterprise_field(3)]
            ),
            (300, 0xa1, 4_000, 2),
            "bytes, volume, units, class"
        );
        assert_eq!(
            (
                record[&enterprise_field(4)],
                record[&enterprise_field(5)],
                record[&(0, 136)]
            ),
            (1, 0, 3),
            "attempts, served, end of flow"
        );
        assert_eq!(record[&(0, 148)], index as u64 + 1, "the request's number");
        assert!(
            record[&(0, 152)] >= 1_700_000_000_000 && record[&(0, 153)] >= record[&(0, 152)],
            "{record:?}"
        );
    }
}

#[tokio::test]
async fn a_full_queue_drops_records_without_blocking() {
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(front_settings().policy, 3, clock);
    let (flow_sender, mut flows) = mpsc::channel(2);
    tokio::spawn(engine.export_flows(flow_sender).run());
    for _ in 0..50 {
        // Without a node each request ends by the disconnect of its client.
        let request = Request {
            plan: 2,
            units: 1.0,
            hosts: 1.0,
            client_deadline: clock.now() + 60_000_000,
            ..Request::default()
        };
        let mut request_handle = handle.open(request).await;
        request_handle.reporter().client_gone().await;
        assert!(request_handle.next_order().await.is_none());
    }
    let queued = std::iter::from_fn(|| flows.try_recv().ok()).count();
    assert_eq!(queued, 2, "two records were queued, the others dropped");
}
