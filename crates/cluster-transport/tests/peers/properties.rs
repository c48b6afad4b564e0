//! Properties of connections for arbitrary bytes.

use crate::support::{encoded, large, plain_peer, process, request, Process};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_transport::peers::PeerEvent;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The listening port in the greeting of the plain peer.
const PORT: u16 = 9;

/// Cases of each property.
const CASES: u64 = 60;

fn run_case<T>(case: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(case)
}

/// Frames, and the sizes into which their bytes are split.
#[derive(Clone, Debug)]
struct SplitFrames {
    sizes: Vec<u16>,
    split_sizes: Vec<u16>,
}

impl Arbitrary for SplitFrames {
    fn arbitrary(g: &mut Gen) -> Self {
        SplitFrames {
            sizes: Vec::arbitrary(g),
            split_sizes: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let shrunk = (self.sizes.clone(), self.split_sizes.clone()).shrink();
        Box::new(shrunk.map(|(sizes, split_sizes)| SplitFrames { sizes, split_sizes }))
    }
}

impl SplitFrames {
    fn frames(&self) -> Vec<Frame> {
        (0..)
            .zip(&self.sizes)
            .map(|(id, size)| large(id, usize::from(*size)))
            .collect()
    }
}

/// Writes bytes in parts of these sizes, over and over; the reader runs after each.
async fn write_split(stream: &mut TcpStream, mut bytes: &[u8], split_sizes: &[u16]) {
    let whole = [u16::MAX];
    let mut sizes = if split_sizes.is_empty() {
        &whole[..]
    } else {
        split_sizes
    }
    .iter()
    .cycle();
    while let Some(size) = sizes.next().filter(|_| !bytes.is_empty()) {
        let (chunk, rest) = bytes.split_at(bytes.len().min(usize::from(*size).max(1)));
        // The reader may have closed the connection because of earlier bytes.
        if stream.write_all(chunk).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
        bytes = rest;
    }
}

#[test]
fn frames_arrive_however_their_bytes_are_split() {
    fn holds(chunks: SplitFrames) -> bool {
        run_case(async {
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
            tokio::join!(
                write_split(&mut stream, &bytes, &chunks.split_sizes),
                receive
            );
        });
        true
    }
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(holds as fn(SplitFrames) -> bool);
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
fn frames_before_malformed_bytes_are_delivered_and_the_connection_ends() {
    fn holds(bytes: Vec<u8>, split_sizes: Vec<u16>) -> bool {
        run_case(async {
            let mut first = process(1);
            let mut stream = plain_peer(&first, PORT, 2).await;
            first.greeted().await;
            let sent = [encoded(&request(1)), encoded(&request(2)), bytes].concat();
            let send = async {
                write_split(&mut stream, &sent, &split_sizes).await;
                // Both fail if the reader has already closed the connection.
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
