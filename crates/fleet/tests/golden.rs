//! Golden files of what protocols send between two fronts: complete datagrams, with header, digest and stream segments.

use lupinrack_fleet::{Endpoint, Message, Output};
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::Source;
use lupinrack_golden_files::{path, GoldenFile, KeptExamples};
use lupinrack_peer_transport::Tag;
use lupinrack_policy::Micros;
use std::net::SocketAddr;

const START: Micros = 1_000_000_000;
const TICK_INTERVAL: Micros = 25_000;
const PROCESS_INCARNATIONS: [u64; 2] = [0x0102_0304_0506_0708, 0x1112_1314_1516_1718];

fn section() -> Section {
    let peer = |i: u16| Peer {
        name: format!("n{i}"),
        address: SocketAddr::from(([127, 0, 0, 1], 7001 + i)),
    };
    let member = (0..2).map(peer).collect();
    Section {
        enabled: true,
        name: "n0".into(),
        member,
        keys: vec!["07".repeat(32)],
        ..Section::default()
    }
}

/// Two fronts on one clock, over a network without loss.
struct Pair {
    endpoints: [Endpoint; 2],
    now: Micros,
    /// The first datagrams, with their senders.
    greetings: Vec<(u16, Vec<u8>)>,
}

impl Pair {
    /// Two fronts that know each other's process incarnation.
    fn connected() -> Pair {
        let endpoint = |i: u16| {
            Endpoint::new(
                &section(),
                i,
                PROCESS_INCARNATIONS[usize::from(i)],
                5 + u64::from(i),
                START,
            )
        };
        let mut pair = Pair {
            endpoints: [endpoint(0), endpoint(1)],
            now: START,
            greetings: Vec::new(),
        };
        while pair.greetings.len() < 8 {
            pair.now += TICK_INTERVAL;
            for i in 0..2 {
                let mut out = Vec::new();
                pair.endpoints[usize::from(i)].tick(pair.now, &mut out);
                pair.deliver(i, out);
            }
        }
        pair
    }

    fn deliver(&mut self, from: u16, out: Vec<Output>) {
        for output in out {
            let Output::Send(to, bytes) = output else {
                continue;
            };
            self.greetings.push((from, bytes.clone()));
            let mut answers = Vec::new();
            self.endpoints[usize::from(to)].receive(
                self.now,
                Source::Peer(from),
                &bytes,
                &mut answers,
            );
            self.deliver(to, answers);
        }
    }
}

fn datagrams(out: &[Output]) -> Vec<Vec<u8>> {
    let sent = |output: &Output| match output {
        Output::Send(1, bytes) => Some(bytes.clone()),
        _ => None,
    };
    out.iter().filter_map(sent).collect()
}

fn messages(pair: &mut Pair, datagram: &[u8]) -> Vec<Message> {
    let mut out = Vec::new();
    pair.endpoints[1].receive(pair.now, Source::Peer(0), datagram, &mut out);
    let messages = out.into_iter().filter_map(|output| match output {
        Output::Message(message) => Some(message),
        _ => None,
    });
    messages.collect()
}

#[test]
fn greetings_match_golden_file() {
    let mut examples = GoldenFile::open(path!("greetings.txt"));
    for (index, (from, bytes)) in Pair::connected().greetings.iter().enumerate() {
        examples.add_bytes(format!("{index:02}_from_n{from}"), bytes);
    }
    let golden = examples.check();
    let mut endpoint = Endpoint::new(&section(), 0, PROCESS_INCARNATIONS[0], 9, START);
    let mut out = Vec::new();
    endpoint.receive(
        START,
        Source::Peer(1),
        &golden.bytes("00_from_n1"),
        &mut out,
    );
    assert_eq!(datagrams(&out).len(), 1, "the hello is answered: {out:?}");
}

const PROTOCOLS: [(&str, Tag, &[u8]); 3] = [
    ("overload", Tag::OVERLOAD, b"it answers"),
    ("registry", Tag::REGISTRY, b"a rule"),
    ("missing", Tag::MISSING, b"a key"),
];

fn message() -> Vec<u8> {
    (0..300).map(|i| i as u8).collect()
}

#[test]
fn protocol_datagrams_match_golden_file() {
    let mut pair = Pair::connected();
    let now = pair.now;
    let mut examples = GoldenFile::open(path!("machines.txt"));
    for (name, tag, bytes) in PROTOCOLS {
        let mut out = Vec::new();
        assert!(pair.endpoints[0].send(now, 1, tag, bytes, &mut out));
        examples.add_bytes(format!("said_{name}"), &datagrams(&out)[0]);
    }
    let mut out = Vec::new();
    assert_eq!(
        pair.endpoints[0].send_stream(now, 1, Tag::REGISTRY, message(), &mut out),
        Ok(1)
    );
    let segments = datagrams(&out);
    for (index, segment) in segments.iter().enumerate() {
        examples.add_bytes(format!("stream_piece_{index}"), segment);
    }
    assert_receives(pair, &examples.check(), segments.len());
}

/// The other front decodes the datagrams of the golden file to the messages that were sent.
fn assert_receives(mut pair: Pair, golden: &KeptExamples, segment_count: usize) {
    for (name, tag, bytes) in PROTOCOLS {
        let expected = Message {
            from: 0,
            tag,
            bytes: bytes.to_vec(),
            streamed: false,
        };
        assert_eq!(
            messages(&mut pair, &golden.bytes(&format!("said_{name}"))),
            [expected],
            "{name}"
        );
    }
    let streamed: Vec<Message> = (0..segment_count)
        .flat_map(|index| messages(&mut pair, &golden.bytes(&format!("stream_piece_{index}"))))
        .collect();
    let expected = Message {
        from: 0,
        tag: Tag::REGISTRY,
        bytes: message(),
        streamed: true,
    };
    assert_eq!(streamed, [expected]);
}
