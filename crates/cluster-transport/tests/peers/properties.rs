//! Properties of what a connection makes of any bytes.

use crate::support::{encoded, large, plain_peer, process, request, Process};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_transport::peers::PeerEvent;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The port that the plain peer says it listens at.
const PORT: u16 = 9;

/// Cases of each property.
const CASES: u64 = 60;

fn play<T>(case: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(case)
}

/// Frames, and how their bytes are cut into pieces.
#[derive(Clone, Debug)]
struct Pieces {
    sizes: Vec<u16>,
    cuts: Vec<u16>,
}

impl Arbitrary for Pieces {
    fn arbitrary(g: &mut Gen) -> Self {
        Pieces {
            sizes: Vec::arbitrary(g),
            cuts: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let shrunk = (self.sizes.clone(), self.cuts.clone()).shrink();
        Box::new(shrunk.map(|(sizes, cuts)| Pieces { sizes, cuts }))
    }
}

impl Pieces {
    fn frames(&self) -> Vec<Frame> {
        (0..)
            .zip(&self.sizes)
            .map(|(id, size)| large(id, usize::from(*size)))
            .collect()
    }
}

/// Writes bytes in pieces of these sizes, over and over; the reader gets a turn after each.
async fn write_in_pieces(stream: &mut TcpStream, mut bytes: &[u8], cuts: &[u16]) {
    let whole = [u16::MAX];
    let mut sizes = if cuts.is_empty() { &whole[..] } else { cuts }
        .iter()
        .cycle();
    while let Some(size) = sizes.next().filter(|_| !bytes.is_empty()) {
        let (chunk, rest) = bytes.split_at(bytes.len().min(usize::from(*size).max(1)));
        // The reader may have closed the connection over what came before.
        if stream.write_all(chunk).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
        bytes = rest;
    }
}

#[test]
fn frames_arrive_however_their_bytes_are_cut() {
    fn holds(chunks: Pieces) -> bool {
        play(async {
            let mut first = process(1);
            let mut stream = plain_peer(&first, PORT, 2).await;
            first.greeted().await;
            stream.set_nodelay(true).unwrap();
            let frames = chunks.frames();
            let bytes: Vec<u8> = frames.iter().flat_map(encoded).collect();
            let receive = async {
                for frame in &frames {
                    assert_eq!(first.frame().await.0, *frame);
                }
            };
            tokio::join!(write_in_pieces(&mut stream, &bytes, &chunks.cuts), receive);
        });
        true
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(Pieces) -> bool);
}

/// The frames until the end of the only connection.
async fn frames_until_closed(process: &mut Process) -> Vec<Frame> {
    let mut frames = Vec::new();
    while let PeerEvent::Frame { frame, .. } = process.event().await {
        frames.push(frame);
    }
    frames
}

#[test]
fn what_came_before_any_bytes_is_delivered_and_the_connection_ends() {
    fn holds(bytes: Vec<u8>, cuts: Vec<u16>) -> bool {
        play(async {
            let mut first = process(1);
            let mut stream = plain_peer(&first, PORT, 2).await;
            first.greeted().await;
            let sent = [encoded(&request(1)), encoded(&request(2)), bytes].concat();
            let send = async {
                write_in_pieces(&mut stream, &sent, &cuts).await;
                // Both fail where the reader has closed the connection already.
                let _ = stream.shutdown().await;
                let _ = stream.read_to_end(&mut Vec::new()).await;
            };
            let ((), frames) = tokio::join!(send, frames_until_closed(&mut first));
            frames.starts_with(&[request(1), request(2)])
        })
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(Vec<u8>, Vec<u16>) -> bool);
}
