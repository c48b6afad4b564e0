//! Replies and requests that are truncated, repeated, or for an unknown connection: each is delivered completely and as
//! often as it was sent, or its connection is closed.

use crate::support::{
    call_id, encoded, plain_peer, process, process_at, request, within, Process, ANY,
};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::request::Reply;
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The listening port in the greeting of the plain peer.
const PORT: u16 = 9;
/// Cases of each property.
const CASES: u64 = 60;

fn reply(number: u64) -> Frame {
    Frame::Reply {
        id: call_id(number),
        reply: Reply::Pending(number),
    }
}

/// How one frame is sent.
#[derive(Clone, Copy, Debug)]
enum Transmission {
    Whole,
    Twice,
    /// Only a part of it, in thousandths, and then something else.
    Truncated(u16),
    /// With this byte of its length or its content inverted.
    Flipped(u16),
}

impl Arbitrary for Transmission {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Transmission::Whole,
            4 | 5 => Transmission::Twice,
            6 => Transmission::Truncated(u16::arbitrary(g) % 1_000),
            _ => Transmission::Flipped(u16::arbitrary(g)),
        }
    }
}

fn bytes_of(frame: &Frame, sent: Transmission) -> Vec<u8> {
    let mut whole = encoded(frame);
    match sent {
        Transmission::Whole => whole,
        Transmission::Twice => whole.repeat(2),
        Transmission::Truncated(thousandths) => {
            whole.truncate(whole.len() * usize::from(thousandths) / 1_000);
            whole
        }
        Transmission::Flipped(at) => {
            let at = usize::from(at) % whole.len();
            whole[at] ^= 0xff;
            whole
        }
    }
}

/// The frames that must arrive before the first damaged one, and whether one is damaged.
fn undamaged_prefix(sends: &[Transmission]) -> (Vec<Frame>, bool) {
    let mut frames = Vec::new();
    for (number, sent) in (1..).zip(sends) {
        match sent {
            Transmission::Whole => frames.push(reply(number)),
            Transmission::Twice => frames.extend([reply(number), reply(number)]),
            Transmission::Truncated(_) | Transmission::Flipped(_) => return (frames, true),
        }
    }
    (frames, false)
}

async fn frames_until_closed(first: &mut Process) -> Vec<Frame> {
    let mut frames = Vec::new();
    while let PeerEvent::Frame { frame, .. } = first.event().await {
        frames.push(frame);
    }
    frames
}

#[test]
fn replies_arrive_as_often_as_they_were_sent_until_one_is_damaged() {
    fn holds(sends: Vec<Transmission>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut first = process(1);
            let mut stream = plain_peer(&first, PORT, 2).await;
            first.greeted().await;
            let numbered = (1..).zip(&sends);
            let bytes: Vec<u8> = numbered
                .flat_map(|(number, sent)| bytes_of(&reply(number), *sent))
                .collect();
            let send = async {
                // Fails if the reader has closed the connection because of earlier bytes.
                let _ = stream.write_all(&bytes).await;
                let _ = stream.shutdown().await;
                let _ = stream.read_to_end(&mut Vec::new()).await;
            };
            let ((), received) = tokio::join!(send, frames_until_closed(&mut first));
            let (undamaged_prefix, damaged) = undamaged_prefix(&sends);
            let clean =
                !damaged && received == undamaged_prefix && first.peers.protocol_violations() == 0;
            clean || (damaged && received.starts_with(&undamaged_prefix))
        })
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(Vec<Transmission>) -> bool);
}

#[tokio::test]
async fn a_reply_on_an_ended_connection_is_dropped_though_its_process_runs() {
    let mut first = process(1);
    let former = plain_peer(&first, PORT, 2).await;
    let asked_on = first.greeted().await;
    drop(former);
    assert_eq!(first.closed().await.0, asked_on);
    // Another incarnation of the process, at the same address.
    let mut stream = plain_peer(&first, PORT, 3).await;
    let newer = first.greeted().await;
    assert!(!first.peers.send_on(asked_on, reply(1)));
    assert!(first.peers.send_on(newer, reply(2)));
    assert_eq!(
        crate::support::read_frame(&mut stream).await,
        reply(2),
        "and nothing came before it"
    );
}

#[tokio::test]
async fn a_connection_number_is_never_reused() {
    let mut first = process(1);
    let mut numbers = Vec::new();
    for incarnation in 2..6 {
        let stream = plain_peer(&first, PORT, incarnation).await;
        numbers.push(first.greeted().await);
        drop(stream);
        first.closed().await;
    }
    assert!(numbers.is_sorted_by(|one, next| one < next), "{numbers:?}");
}

#[tokio::test]
async fn a_request_of_an_earlier_incarnation_is_answered_to_nobody_else() {
    let mut head = process(1);
    let front = process_at(ANY, 2, PeerSettings::default());
    let address = front.address;
    front.peers.send(head.address, request(1));
    let asked_on = head.greeted().await;
    assert_eq!(head.frame().await.0, request(1));
    // The front's process dies, and another one starts at its address and sends a request too.
    front.peers.stop_listening();
    front.peers.close(head.address);
    drop(front);
    assert_eq!(head.closed().await.0, asked_on);
    let mut second = process_at(address.0, 3, PeerSettings::default());
    second.peers.send(head.address, request(1));
    let newer = head.greeted().await;
    assert_eq!(head.frame().await.0, request(1));
    assert!(!head.peers.send_on(asked_on, reply(5)));
    assert!(head.peers.send_on(newer, reply(1)));
    second.greeted().await;
    assert_eq!(within(second.frame()).await.0, reply(1));
}
