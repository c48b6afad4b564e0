//! Streams over a network that loses, duplicates, delays and reorders datagrams, between fronts of which one restarts: each message
//! is delivered once, complete and in order, or is reported as lost, and nothing is delivered that was not sent.

use lupinrack_peer_transport::stream::{Output, SendError, Streams, MAX_MESSAGE_BYTES};
use lupinrack_peer_transport::Tag;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MAX_PAYLOAD_BYTES: usize = 210;

/// A message: its number, and bytes derived from it.
fn message(number: u32, length: usize) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.extend((4..length.max(5)).map(|i| (i as u32).wrapping_mul(number + 1) as u8));
    bytes
}

/// When a datagram arrives, its tie-breaking order, whether it goes to the receiver, the receiver's incarnation that it belongs to, and
/// its payload.
type InFlight = (i64, u64, bool, u32, Vec<u8>);

#[derive(Default)]
struct Outcome {
    sent: Vec<u32>,
    received: Vec<u32>,
    delivered: u32,
    lost: u32,
    rejected: u32,
}

/// Two fronts, one of which sends. The seed decides which datagrams are lost, and when the receiver restarts.
fn simulate(seed: u64, loss: f64, restarts: bool) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut sender, mut receiver) = (
        Streams::new(MAX_PAYLOAD_BYTES, 1),
        Streams::new(MAX_PAYLOAD_BYTES, 2),
    );
    let mut outcome = Outcome::default();
    let mut network: BinaryHeap<Reverse<InFlight>> = BinaryHeap::new();
    let (mut now, mut number, mut incarnation, mut order) = (1_000_000, 0, 0, 0u64);
    let end = 60_000_000;
    while now < end {
        now += 5_000;
        let mut out = Vec::new();
        if now < 20_000_000 && rng.u32(0..20) == 0 {
            number += 1;
            let length = [5, 150, 196, 197, 4_000, MAX_MESSAGE_BYTES][rng.usize(0..6)];
            match sender.send(now, 1, Tag::REGISTRY, message(number, length)) {
                Ok(_) => outcome.sent.push(number),
                Err(SendError::QueueFull) => outcome.rejected += 1,
                Err(error) => panic!("{error}"),
            }
        }
        if restarts && now < 20_000_000 && rng.u32(0..800) == 0 {
            // The receiver restarts empty and the sender learns of it. Datagrams in flight belong to the previous incarnation.
            incarnation += 1;
            receiver = Streams::new(MAX_PAYLOAD_BYTES, rng.u64(..));
            sender.on_restart(now, 1, &mut out);
        }
        let mut datagrams_left = 40;
        sender.tick(
            now,
            |_, _| {
                datagrams_left -= 1;
                datagrams_left > 0
            },
            &mut out,
        );
        let mut receiver_out = Vec::new();
        while network
            .peek()
            .is_some_and(|Reverse(datagram)| datagram.0 <= now)
        {
            let Some(Reverse((_, _, to_receiver, of, bytes))) = network.pop() else {
                break;
            };
            match to_receiver {
                _ if of != incarnation => {}
                true => receiver.receive(now, 0, &bytes, &mut receiver_out),
                false => sender.receive(now, 1, &bytes, &mut out),
            }
        }
        for (from_sender, output) in out
            .into_iter()
            .map(|output| (true, output))
            .chain(receiver_out.into_iter().map(|output| (false, output)))
        {
            match output {
                Output::Segment(_, bytes) => {
                    assert!(bytes.len() <= MAX_PAYLOAD_BYTES);
                    for _ in 0..1 + usize::from(rng.u32(0..10) == 0) {
                        if rng.f64() >= loss {
                            order += 1;
                            network.push(Reverse((
                                now + rng.i64(0..60_000),
                                order,
                                from_sender,
                                incarnation,
                                bytes.clone(),
                            )));
                        }
                    }
                }
                Output::Received(_, tag, bytes) => {
                    let number = u32::from_le_bytes(bytes[..4].try_into().unwrap());
                    assert_eq!(
                        (tag, bytes == message(number, bytes.len())),
                        (Tag::REGISTRY, true)
                    );
                    outcome.received.push(number);
                }
                Output::Delivered(..) => outcome.delivered += 1,
                Output::Lost(..) => outcome.lost += 1,
            }
        }
    }
    outcome
}

#[test]
fn messages_are_delivered_once_complete_and_in_order() {
    for seed in 0..60 {
        let loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let outcome = simulate(seed, loss, false);
        assert_eq!(
            (&outcome.received, outcome.lost),
            (&outcome.sent, 0),
            "seed {seed}"
        );
        assert_eq!(outcome.delivered as usize, outcome.sent.len());
    }
}

#[test]
fn receiver_restarts_cause_no_duplicates_and_every_lost_message_is_reported() {
    let mut lost = 0;
    for seed in 0..60 {
        let outcome = simulate(seed, 0.1, true);
        assert!(
            outcome.received.windows(2).all(|w| w[0] < w[1]),
            "seed {seed}: {:?}",
            outcome.received
        );
        assert_eq!(
            (outcome.delivered + outcome.lost) as usize,
            outcome.sent.len(),
            "seed {seed}"
        );
        assert!(
            outcome.delivered as usize <= outcome.received.len(),
            "seed {seed}: reported as delivered, but never received"
        );
        lost += outcome.lost;
    }
    assert!(lost > 0, "the restarts lose messages");
}

#[test]
fn messages_over_a_dead_link_are_reported_as_lost() {
    let outcome = simulate(5, 1.0, false);
    assert!(outcome.received.is_empty() && outcome.rejected > 0);
    assert!(
        outcome.lost >= 3,
        "each after its progress timeout: {}",
        outcome.lost
    );
}

#[test]
fn random_payloads_complete_no_message_and_give_at_most_two_outputs() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut streams = Streams::new(MAX_PAYLOAD_BYTES, 1);
    streams.send(0, 3, Tag::MISSING, vec![1; 1_000]).unwrap();
    for round in 0..200_000u32 {
        let mut body: Vec<u8> = (0..rng.usize(0..MAX_PAYLOAD_BYTES))
            .map(|_| rng.u8(..))
            .collect();
        if body.len() > 14 {
            body[0] = rng.u8(0..3);
            body[2..6].copy_from_slice(&rng.u32(0..4).to_le_bytes());
            body[6..10].copy_from_slice(&rng.u32(0..70_000).to_le_bytes());
            body[10..14].copy_from_slice(&rng.u32(0..300).to_le_bytes());
        }
        let mut out = Vec::new();
        streams.receive(i64::from(round), rng.u16(0..1024), &body, &mut out);
        assert!(out.len() <= 2);
    }
    assert_eq!(
        streams.queued_messages(),
        1,
        "only the front that the message was sent to can acknowledge it, by its number"
    );
}
