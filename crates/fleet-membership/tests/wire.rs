//! Decoding of datagrams: what was encoded is decoded, what was altered is rejected, and no input causes a panic.

use lupinrack_fleet_membership::agreement::{
    AgreementMessage, Promises, ProposalNumber, Renewal, View, ViewNumber,
};
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::swim::{MemberState, Update};
use lupinrack_fleet_membership::wire::{
    Body, Datagram, FrameError, Keys, Piggyback, ReplayWindow, MAX_DATAGRAM_BYTES, MAX_VOLUMES,
};
use std::collections::HashSet;

fn keys(sign: u8, also: Option<u8>) -> Keys {
    Keys {
        sign: Some([sign; 32]),
        also_accepted: also.map(|k| [k; 32]),
    }
}

fn view_number(rng: &mut fastrand::Rng, front_count: u16) -> ViewNumber {
    let proposal = ProposalNumber {
        round: rng.u32(1..9),
        proposer: rng.u16(0..front_count),
        process_incarnation: rng.u64(1..),
    };
    ViewNumber {
        proposal,
        sequence: rng.u32(1..),
    }
}

fn front_set(rng: &mut fastrand::Rng, front_count: u16) -> FrontSet {
    (0..front_count).filter(|_| rng.bool()).collect()
}

fn piggyback(rng: &mut fastrand::Rng, front_count: u16) -> Piggyback {
    let number = view_number(rng, front_count);
    let mut agreement = AgreementMessage {
        promised: number.proposal,
        view_number: number,
        ..AgreementMessage::default()
    };
    let previous = ViewNumber {
        sequence: number.sequence - 1,
        ..number
    };
    agreement.view = rng.bool().then(|| View {
        number,
        previous,
        members: front_set(rng, front_count),
    });
    agreement.promises = rng.bool().then(|| Promises {
        promised_by: front_set(rng, front_count),
        highest_accepted: view_number(rng, front_count),
    });
    agreement.renewal = rng.bool().then(|| Renewal {
        sequence: rng.u32(..),
        acknowledged_by: front_set(rng, front_count),
    });
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    let leads = rng.bool();
    let updates = (0..rng.usize(0..6)).map(|_| Update {
        front: rng.u16(0..front_count),
        state: states[rng.usize(0..4)],
        process_incarnation: rng.u64(1..),
        incarnation: rng.u16(..),
        reported_by: rng.u16(0..front_count),
    });
    Piggyback {
        agreement,
        leads,
        updates: updates.collect(),
    }
}

fn volumes(rng: &mut fastrand::Rng) -> Vec<u64> {
    (0..rng.usize(0..=MAX_VOLUMES))
        .map(|_| rng.u64(..))
        .collect()
}

fn datagram(rng: &mut fastrand::Rng, front_count: u16) -> Datagram {
    let body = match rng.u32(0..9) {
        0 => Body::Hello(rng.u64(..)),
        1 => Body::Ping(rng.u32(..), piggyback(rng, front_count)),
        2 => Body::Ack(
            rng.u32(..),
            i64::from(rng.u32(..)),
            piggyback(rng, front_count),
        ),
        3 => Body::Push(piggyback(rng, front_count)),
        4 => Body::PingReq(rng.u16(0..front_count), rng.u32(..)),
        5 => Body::PingReqResult(rng.u32(..), rng.bool()),
        6 => Body::ServedVolumes(rng.u8(..), volumes(rng)),
        7 => Body::ServedVolumesAck(rng.u8(..), volumes(rng), rng.u32(..)),
        _ => Body::NameContested,
    };
    Datagram {
        roster_hash: rng.u32(..),
        from: rng.u16(0..front_count),
        sequence: rng.u32(1..),
        process_incarnation: rng.u64(1..),
        to_process_incarnation: rng.u64(..),
        incarnation: rng.u16(..),
        body,
    }
}

/// Whether the decoded body is the encoded one, except for parts of a piggyback that did not fit.
fn is_same_or_shortened(encoded: &Body, decoded: &Body) -> bool {
    let piggyback = |encoded: &Piggyback, decoded: &Piggyback| {
        let (e, d) = (&encoded.agreement, &decoded.agreement);
        (e.promised, e.view_number) == (d.promised, d.view_number)
            && d.view.is_none_or(|v| Some(v) == e.view)
            && d.promises.is_none_or(|v| Some(v) == e.promises)
            && d.renewal.is_none_or(|v| Some(v) == e.renewal)
            && encoded.updates.starts_with(&decoded.updates)
    };
    match (encoded, decoded) {
        (Body::Ping(a, e), Body::Ping(b, d)) => a == b && piggyback(e, d),
        (Body::Ack(a, x, e), Body::Ack(b, y, d)) => (a, x) == (b, y) && piggyback(e, d),
        (Body::Push(e), Body::Push(d)) => piggyback(e, d),
        _ => encoded == decoded,
    }
}

#[test]
fn encoded_datagrams_of_rosters_of_all_sizes_fit_and_are_decoded() {
    let mut rng = fastrand::Rng::with_seed(1);
    for front_count in [2u16, 3, 5, 9, 64, 300, 1000, 1024] {
        for _ in 0..2_000 {
            let datagram = datagram(&mut rng, front_count);
            let keys = if rng.bool() {
                keys(1, None)
            } else {
                Keys::default()
            };
            let bytes = datagram.encode(usize::from(front_count), &keys);
            assert!(
                bytes.len() <= MAX_DATAGRAM_BYTES,
                "{front_count}: {}",
                bytes.len()
            );
            let decoded = Datagram::decode(&bytes, usize::from(front_count), &keys)
                .unwrap_or_else(|e| panic!("{e}: {datagram:?}"));
            assert!(
                is_same_or_shortened(&datagram.body, &decoded.body),
                "{datagram:?}\n{decoded:?}"
            );
            assert_eq!(
                Datagram {
                    body: datagram.body.clone(),
                    ..decoded
                },
                datagram
            );
        }
    }
}

#[test]
fn altered_datagrams_are_rejected_and_no_input_causes_a_panic() {
    let mut rng = fastrand::Rng::with_seed(2);
    let valid_keys = keys(1, Some(2));
    for _ in 0..20_000 {
        let front_count = rng.u16(2..300);
        let mut bytes =
            datagram(&mut rng, front_count).encode(usize::from(front_count), &valid_keys);
        match rng.u32(0..4) {
            0 => {
                let at = rng.usize(0..bytes.len());
                bytes[at] ^= 1 << rng.u32(0..8);
            }
            1 => bytes.truncate(rng.usize(0..bytes.len())),
            2 => bytes.extend((0..rng.usize(1..40)).map(|_| rng.u8(..))),
            _ => bytes = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect(),
        }
        assert!(Datagram::decode(&bytes, usize::from(front_count), &valid_keys).is_err());
    }
    // Random bytes with a valid checksum reach the decoder.
    for _ in 0..200_000 {
        let front_count = rng.usize(1..1025);
        let mut bytes: Vec<u8> = (0..rng.usize(0..252)).map(|_| rng.u8(..)).collect();
        if bytes.len() > 4 && rng.bool() {
            bytes[..4].copy_from_slice(&[0x6c, 3, 0, 0]);
            bytes
                .get_mut(30..32)
                .into_iter()
                .for_each(|b| b.copy_from_slice(&[rng.u8(0..10), 0]));
        }
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        if let Ok(decoded) = Datagram::decode(&bytes, front_count, &Keys::default()) {
            assert!(decoded.encode(front_count, &Keys::default()).len() <= MAX_DATAGRAM_BYTES);
        }
    }
}

#[test]
fn keys_can_be_replaced_in_steps_without_rejected_datagrams() {
    let mut rng = fastrand::Rng::with_seed(3);
    let datagram = datagram(&mut rng, 5);
    let accepts = |sender: &Keys, receiver: &Keys| {
        Datagram::decode(&datagram.encode(5, sender), 5, receiver).map(|_| ())
    };
    let (old, both, new, only) = (
        keys(1, None),
        keys(1, Some(2)),
        keys(2, Some(1)),
        keys(2, None),
    );
    for (a, b) in [(&old, &both), (&both, &new), (&new, &only)] {
        assert_eq!((accepts(a, b), accepts(b, a)), (Ok(()), Ok(())));
    }
    assert_eq!(accepts(&old, &only), Err(FrameError::DigestMismatch));
    assert_eq!(
        accepts(&Keys::default(), &old),
        Err(FrameError::DigestMismatch)
    );
}

#[test]
fn the_replay_window_agrees_with_a_set_of_all_sequence_numbers() {
    let mut rng = fastrand::Rng::with_seed(4);
    for _ in 0..200 {
        let (mut window, mut seen, mut last) = (ReplayWindow::default(), HashSet::new(), 0u32);
        let mut newest = 1u32;
        for _ in 0..500 {
            newest = newest.saturating_add(rng.u32(0..4));
            let seq = newest.saturating_sub(rng.u32(0..90)).max(1);
            let expected = !seen.contains(&seq) && (seq > last || last - seq < 64);
            assert_eq!(window.accept(seq), expected, "{seq} after {last}");
            if expected {
                seen.insert(seq);
                last = last.max(seq);
            }
        }
    }
}
