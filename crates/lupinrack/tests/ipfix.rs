//! Flow export, decoded from the bytes by the rules of RFC 7011.

mod common;

use common::front::{told, unreached};
use lupinrack::engine::{Clock, EngineParts, Order};
use lupinrack::ipfix::{self, config::IpfixConfig, ENTERPRISE_NUMBER};
use lupinrack::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

type Fields = Vec<(u32, u16, usize)>;
/// A record: enterprise number and element to value.
type Record = BTreeMap<(u32, u16), u64>;

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// Decodes one message: its sequence number, and what its sets hold. `templates` keeps what was learnt.
fn decode(message: &[u8], templates: &mut BTreeMap<u16, Fields>) -> (u64, Vec<Record>) {
    assert_eq!(number(&message[..2]), 10, "version");
    assert_eq!(number(&message[2..4]) as usize, message.len(), "length");
    assert_eq!(number(&message[12..16]), 7, "observation domain");
    let (mut at, mut records) = (16, Vec::new());
    while at < message.len() {
        let (set, length) = (
            number(&message[at..at + 2]) as u16,
            number(&message[at + 2..at + 4]) as usize,
        );
        let mut body = &message[at + 4..at + length];
        at += length;
        if set == 2 {
            let (id, count) = (number(&body[..2]) as u16, number(&body[2..4]));
            body = &body[4..];
            let mut fields = Fields::new();
            for _ in 0..count {
                let (element, length) = (number(&body[..2]) as u16, number(&body[2..4]) as usize);
                let own = element & 0x8000 != 0;
                fields.push((
                    if own { number(&body[4..8]) as u32 } else { 0 },
                    element & 0x7fff,
                    length,
                ));
                body = &body[if own { 8 } else { 4 }..];
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
    } = EngineParts::new(told().policy, 3, clock);
    let (to, flows) = mpsc::channel(ipfix::MAX_QUEUED_FLOWS);
    tokio::spawn(engine.export_flows(to).run());
    // A clock that reads a known Unix time: the records' times are whole milliseconds from there.
    tokio::spawn(ipfix::run(
        config,
        1_700_000_000_000_000 - clock.now(),
        flows,
    ));
    handle
        .update_nodes(NodeListKind::Cached, vec![unreached(NodeState::Ready)])
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
    let mut seen = Vec::new();
    for round in 0..3_u64 {
        // A transfer: it moves two units more than it began with, and 300 bytes in all.
        let mut ticket = handle.open(request(2.0)).await;
        let Some(Order::Send(_)) = ticket.next_order().await else {
            panic!("not sent")
        };
        let reporter = ticket.reporter();
        reporter.response_started(0).await;
        reporter.bytes_forwarded(100).await;
        reporter.request_units(2.0).await;
        let Some(Order::Grant) = ticket.next_order().await else {
            panic!("not granted")
        };
        reporter.bytes_forwarded(200).await;
        reporter.attempt_ended(0, Outcome::Ok, None).await;
        assert!(ticket.next_order().await.is_none());
        let mut message = [0; 2048];
        let n = tokio::time::timeout(Duration::from_secs(20), collector.recv(&mut message))
            .await
            .unwrap()
            .unwrap();
        // Each message is decoded as if it were the first: the template came with it again.
        templates.clear();
        let (sequence, records) = decode(&message[..n], &mut templates);
        assert_eq!(sequence, round, "records sent before this message");
        seen.extend(records);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(seen.len(), 3);
    let own = |element| (ENTERPRISE_NUMBER, element);
    for (i, r) in seen.iter().enumerate() {
        assert_eq!(
            (r[&(0, 1)], r[&own(1)], r[&own(2)], r[&own(3)]),
            (300, 0xa1, 4_000, 2),
            "bytes, volume, units, class"
        );
        assert_eq!(
            (r[&own(4)], r[&own(5)], r[&(0, 136)]),
            (1, 0, 3),
            "attempts, served, end of flow"
        );
        assert_eq!(r[&(0, 148)], i as u64 + 1, "the request's number");
        assert!(
            r[&(0, 152)] >= 1_700_000_000_000 && r[&(0, 153)] >= r[&(0, 152)],
            "{r:?}"
        );
    }
}

#[tokio::test]
async fn a_full_queue_costs_records_and_never_time() {
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(told().policy, 3, clock);
    let (to, mut flows) = mpsc::channel(2);
    tokio::spawn(engine.export_flows(to).run());
    for _ in 0..50 {
        // No node is known: each is left by its client.
        let request = Request {
            plan: 2,
            units: 1.0,
            hosts: 1.0,
            client_deadline: clock.now() + 60_000_000,
            ..Request::default()
        };
        let mut ticket = handle.open(request).await;
        ticket.reporter().client_gone().await;
        assert!(ticket.next_order().await.is_none());
    }
    let kept = std::iter::from_fn(|| flows.try_recv().ok()).count();
    assert_eq!(kept, 2, "two waited, the rest were dropped");
}
