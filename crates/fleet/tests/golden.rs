//! Golden files of what one front's machines say to the same machines of another: the whole datagrams, head, key and stream included.

use lupinrack_fleet::{Hub, Out, Said};
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::Source;
use lupinrack_golden_files::{path, GoldenFile, KeptExamples};
use lupinrack_peer_transport::Tag;
use lupinrack_policy::Micros;
use std::net::SocketAddr;

const START: Micros = 1_000_000_000;
const STEP: Micros = 25_000;
const LIVES: [u64; 2] = [0x0102_0304_0506_0708, 0x1112_1314_1516_1718];

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

/// Two fronts on one clock, over a network that loses nothing.
struct Pair {
    hubs: [Hub; 2],
    now: Micros,
    /// Datagrams of the beginning, with their senders.
    greetings: Vec<(u16, Vec<u8>)>,
}

impl Pair {
    /// Two fronts that have met.
    fn met() -> Pair {
        let hub = |i: u16| {
            Hub::new(
                &section(),
                i,
                LIVES[usize::from(i)],
                5 + u64::from(i),
                START,
            )
        };
        let mut pair = Pair {
            hubs: [hub(0), hub(1)],
            now: START,
            greetings: Vec::new(),
        };
        while pair.greetings.len() < 8 {
            pair.now += STEP;
            for i in 0..2 {
                let mut out = Vec::new();
                pair.hubs[usize::from(i)].tick(pair.now, &mut out);
                pair.deliver(i, out);
            }
        }
        pair
    }

    fn deliver(&mut self, from: u16, out: Vec<Out>) {
        for o in out {
            let Out::Send(to, bytes) = o else { continue };
            self.greetings.push((from, bytes.clone()));
            let mut answers = Vec::new();
            self.hubs[usize::from(to)].datagram(self.now, Source::Peer(from), &bytes, &mut answers);
            self.deliver(to, answers);
        }
    }
}

fn datagrams(out: &[Out]) -> Vec<Vec<u8>> {
    let sent = |o: &Out| match o {
        Out::Send(1, bytes) => Some(bytes.clone()),
        _ => None,
    };
    out.iter().filter_map(sent).collect()
}

fn said(pair: &mut Pair, bytes: &[u8]) -> Vec<Said> {
    let mut out = Vec::new();
    pair.hubs[1].datagram(pair.now, Source::Peer(0), bytes, &mut out);
    let said = out.into_iter().filter_map(|o| match o {
        Out::Said(said) => Some(said),
        _ => None,
    });
    said.collect()
}

#[test]
fn two_fronts_greet_each_other_in_the_same_bytes() {
    let mut examples = GoldenFile::open(path!("greetings.txt"));
    for (at, (from, bytes)) in Pair::met().greetings.iter().enumerate() {
        examples.add_bytes(format!("{at:02}_from_n{from}"), bytes);
    }
    let kept = examples.check();
    let mut hub = Hub::new(&section(), 0, LIVES[0], 9, START);
    let mut out = Vec::new();
    hub.datagram(START, Source::Peer(1), &kept.bytes("00_from_n1"), &mut out);
    assert_eq!(datagrams(&out).len(), 1, "it is answered: {out:?}");
}

const MACHINES: [(&str, Tag, &[u8]); 3] = [
    ("overload", Tag::OVERLOAD, b"it answers"),
    ("registry", Tag::REGISTRY, b"a rule"),
    ("missing", Tag::MISSING, b"a key"),
];

fn message() -> Vec<u8> {
    (0..300).map(|i| i as u8).collect()
}

#[test]
fn what_machines_say_keeps_its_form() {
    let mut pair = Pair::met();
    let now = pair.now;
    let mut examples = GoldenFile::open(path!("machines.txt"));
    for (name, tag, bytes) in MACHINES {
        let mut out = Vec::new();
        assert!(pair.hubs[0].say(now, 1, tag, bytes, &mut out));
        examples.add_bytes(format!("said_{name}"), &datagrams(&out)[0]);
    }
    let mut out = Vec::new();
    assert_eq!(
        pair.hubs[0].stream(now, 1, Tag::REGISTRY, message(), &mut out),
        Ok(1)
    );
    let pieces = datagrams(&out);
    for (at, piece) in pieces.iter().enumerate() {
        examples.add_bytes(format!("stream_piece_{at}"), piece);
    }
    heard(pair, &examples.check(), pieces.len());
}

/// The other front hears from the file what was said.
fn heard(mut pair: Pair, kept: &KeptExamples, pieces: usize) {
    for (name, tag, bytes) in MACHINES {
        let expected = Said {
            from: 0,
            tag,
            bytes: bytes.to_vec(),
            streamed: false,
        };
        assert_eq!(
            said(&mut pair, &kept.bytes(&format!("said_{name}"))),
            [expected],
            "{name}"
        );
    }
    let streamed: Vec<Said> = (0..pieces)
        .flat_map(|at| said(&mut pair, &kept.bytes(&format!("stream_piece_{at}"))))
        .collect();
    let expected = Said {
        from: 0,
        tag: Tag::REGISTRY,
        bytes: message(),
        streamed: true,
    };
    assert_eq!(streamed, [expected]);
}
