//! Chunks of snapshots that arrive out of order, twice, malformed, or from the wrong sender or view.

mod common;

use common::{messages, orders, view, START};
use lupinrack_chain::limits::{ByteLimits, JOINER_STALLED_MS, SNAPSHOT_CHUNK_BYTES};
use lupinrack_chain::{Chain, Effect, StoredState};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;

const TAIL: DiskId = DiskId(1);
const SPARE: DiskId = DiskId(2);
/// Chunks of each snapshot in these tests.
const CHUNKS: u32 = 4;

/// The chunks of a snapshot up to `index`, filled with this byte, that a tail sends in this view.
fn chunks_of(view_number: u64, index: u64, fill: u8) -> Vec<ChainMessage> {
    let mut tail = Chain::new(
        TAIL,
        1,
        StoredState {
            snapshot_index: index,
            ..StoredState::default()
        },
    );
    tail.adopt_view(view(view_number, &[1]), START);
    let join = ChainMessage::Join {
        view: view_number,
        disk: SPARE,
        have: Some(0),
    };
    assert!(orders(&tail.receive(SPARE, join, START)).contains(&Effect::NeedSnapshot));
    sent(&tail.provide_snapshot(index, bytes(fill), START))
}

fn bytes(fill: u8) -> Vec<u8> {
    vec![fill; SNAPSHOT_CHUNK_BYTES * (CHUNKS as usize - 1) + 5]
}

/// The chunks among these effects.
fn sent(effects: &[Effect]) -> Vec<ChainMessage> {
    let is_piece = |message: &ChainMessage| matches!(message, ChainMessage::Snapshot { .. });
    messages(effects)
        .into_iter()
        .map(|(_, message)| message)
        .filter(is_piece)
        .collect()
}

fn spare(view_number: u64) -> Chain {
    let mut spare = Chain::new(SPARE, 1, StoredState::default());
    spare.adopt_view(view(view_number, &[1]), START);
    spare
}

/// The installations that the spare orders after these chunks.
fn snapshot_installed(spare: &mut Chain, chunks: &[ChainMessage]) -> Vec<Effect> {
    let effects: Vec<Effect> = chunks
        .iter()
        .flat_map(|chunk| spare.receive(TAIL, chunk.clone(), START))
        .collect();
    effects
        .into_iter()
        .filter(|effect| matches!(effect, Effect::Install { .. }))
        .collect()
}

fn identity(chunk: &ChainMessage) -> SnapshotIdentity {
    match chunk {
        ChainMessage::Snapshot { snapshot, .. } => *snapshot,
        other => panic!("not a chunk: {other:?}"),
    }
}

#[test]
fn chunks_of_two_snapshots_are_never_combined() {
    // Two snapshots with the same index and number of chunks, but different bytes.
    let (one, other) = (chunks_of(1, 5, 1), chunks_of(1, 5, 2));
    let mixed = [&one[..2], &other[2..]].concat();
    assert_eq!(snapshot_installed(&mut spare(1), &mixed), []);
    // Two snapshots with different indices.
    let newer = chunks_of(1, 6, 1);
    let mixed = [&one[..2], &newer[2..]].concat();
    assert_eq!(snapshot_installed(&mut spare(1), &mixed), []);
}

#[test]
fn chunks_of_another_view_are_ignored() {
    let old = chunks_of(1, 5, 1);
    let mut spare = spare(1);
    assert_eq!(snapshot_installed(&mut spare, &old[..3]), []);
    spare.adopt_view(view(2, &[1]), START);
    assert_eq!(
        snapshot_installed(&mut spare, &old[3..]),
        [],
        "the remaining chunks of a snapshot that began in the old view"
    );
    let new = chunks_of(2, 5, 1);
    assert_eq!(
        snapshot_installed(&mut spare, &new[1..]),
        [],
        "chunks received in the old view are forgotten"
    );
    assert_eq!(
        snapshot_installed(&mut spare, &new),
        [Effect::Install {
            index: 5,
            bytes: bytes(1)
        }]
    );
}

#[test]
fn chunks_of_another_sender_are_ignored() {
    let chunks = chunks_of(1, 5, 1);
    let mut spare = spare(1);
    for chunk in &chunks {
        assert_eq!(spare.receive(DiskId(3), chunk.clone(), START), []);
    }
    assert_eq!(snapshot_installed(&mut spare, &chunks).len(), 1);
}

#[test]
fn repeated_and_late_chunks_do_not_disturb_the_transfer() {
    let (old, new) = (chunks_of(1, 5, 1), chunks_of(1, 6, 2));
    let order = [
        &new[0], &new[0], &new[1], &old[0], &old[1], &new[1], &new[2], &old[0], &new[3],
    ];
    let order: Vec<ChainMessage> = order.into_iter().cloned().collect();
    assert_eq!(
        snapshot_installed(&mut spare(1), &order),
        [Effect::Install {
            index: 6,
            bytes: bytes(2)
        }]
    );
}

#[test]
fn an_older_snapshot_is_accepted_once_a_newer_one_makes_no_progress() {
    let (old, new) = (chunks_of(1, 5, 1), chunks_of(1, 6, 2));
    let mut spare = spare(1);
    snapshot_installed(&mut spare, &new[..2]);
    assert_eq!(snapshot_installed(&mut spare, &old), []);
    let later = START.plus(JOINER_STALLED_MS);
    let effects: Vec<Effect> = old
        .iter()
        .flat_map(|chunk| spare.receive(TAIL, chunk.clone(), later))
        .collect();
    assert!(effects.contains(&Effect::Install {
        index: 5,
        bytes: bytes(1)
    }));
}

#[test]
fn malformed_chunks_are_ignored() {
    let chunks = chunks_of(1, 5, 1);
    let right = identity(&chunks[0]);
    let chunk = |snapshot, chunk, length| ChainMessage::Snapshot {
        view: 1,
        snapshot,
        chunk,
        bytes: vec![1; length],
    };
    let mut spare = spare(1);
    let spoilt = [
        chunk(right, CHUNKS, 5),
        chunk(right, u32::MAX, 5),
        chunk(right, 0, 5),
        chunk(right, 0, SNAPSHOT_CHUNK_BYTES + 1),
        chunk(right, CHUNKS - 1, SNAPSHOT_CHUNK_BYTES + 1),
        chunk(SnapshotIdentity { chunks: 0, ..right }, 0, 0),
    ];
    for message in spoilt {
        assert_eq!(spare.receive(TAIL, message, START), []);
    }
    assert_eq!(snapshot_installed(&mut spare, &chunks).len(), 1);
}

#[test]
fn a_snapshot_with_a_wrong_checksum_is_sent_again() {
    let mut chunks = chunks_of(1, 5, 1);
    if let ChainMessage::Snapshot { bytes, .. } = &mut chunks[1] {
        bytes[9] ^= 1;
    }
    let mut spare = spare(1);
    assert_eq!(snapshot_installed(&mut spare, &chunks), []);
    assert_eq!(snapshot_installed(&mut spare, &chunks_of(1, 5, 1)).len(), 1);
}

/// A tail that sends a snapshot of many chunks through a small window, and the first of these chunks.
fn sending_tail() -> (Chain, Vec<ChainMessage>) {
    let limits = ByteLimits {
        window: 2 * SNAPSHOT_CHUNK_BYTES as u64,
        ..ByteLimits::default()
    };
    let mut tail = Chain::new(
        TAIL,
        1,
        StoredState {
            snapshot_index: 5,
            ..StoredState::default()
        },
    )
    .with_byte_limits(limits);
    tail.adopt_view(view(1, &[1]), START);
    tail.receive(
        SPARE,
        ChainMessage::Join {
            view: 1,
            disk: SPARE,
            have: Some(0),
        },
        START,
    );
    let chunks = sent(&tail.provide_snapshot(5, bytes(1), START));
    (tail, chunks)
}

fn answer(tail: &mut Chain, snapshot: SnapshotIdentity, chunks: u32, now: Millis) -> Vec<u32> {
    let answer = ChainMessage::SnapshotReceived {
        view: 1,
        snapshot,
        chunks,
    };
    numbers(&sent(&tail.receive(SPARE, answer, now)))
}

fn numbers(chunks: &[ChainMessage]) -> Vec<u32> {
    let number = |chunk: &ChainMessage| match chunk {
        ChainMessage::Snapshot { chunk, .. } => *chunk,
        _ => u32::MAX,
    };
    chunks.iter().map(number).collect()
}

#[test]
fn a_sender_has_no_more_chunks_in_flight_than_its_window() {
    let (mut tail, first) = sending_tail();
    assert_eq!(numbers(&first), [0, 1]);
    assert_eq!(sent(&tail.tick(START.plus(25))), []);
    let snapshot = identity(&first[0]);
    assert_eq!(answer(&mut tail, snapshot, 1, START), [2]);
    assert_eq!(answer(&mut tail, snapshot, 3, START), [3]);
    assert_eq!(answer(&mut tail, snapshot, 4, START), [0; 0]);
}

#[test]
fn a_sender_continues_after_the_chunks_that_the_receiver_has() {
    let (mut tail, first) = sending_tail();
    let snapshot = identity(&first[0]);
    assert_eq!(answer(&mut tail, snapshot, 1, START), [2]);
    assert_eq!(
        sent(&tail.tick(START.plus(JOINER_STALLED_MS))),
        [],
        "the chunks may still be in flight on a slow link"
    );
    // Join messages keep the receiver from being dropped.
    let join = ChainMessage::Join {
        view: 1,
        disk: SPARE,
        have: Some(0),
    };
    assert_eq!(
        sent(&tail.receive(SPARE, join, START.plus(2 * JOINER_STALLED_MS))),
        []
    );
    let later = START.plus(3 * JOINER_STALLED_MS);
    assert_eq!(
        numbers(&sent(&tail.tick(later))),
        [1],
        "lost chunks are sent again, in a smaller window"
    );
    assert_eq!(
        answer(&mut tail, snapshot, 0, later),
        [0],
        "a restarted receiver has no chunks"
    );
}

#[test]
fn answers_about_other_snapshots_change_nothing() {
    let (mut tail, first) = sending_tail();
    let snapshot = identity(&first[0]);
    let others = [
        SnapshotIdentity {
            index: 4,
            ..snapshot
        },
        SnapshotIdentity {
            chunks: 9,
            ..snapshot
        },
        SnapshotIdentity {
            checksum: snapshot.checksum ^ 1,
            ..snapshot
        },
    ];
    for other in others {
        assert_eq!(answer(&mut tail, other, 3, START), [0; 0]);
    }
    assert_eq!(answer(&mut tail, snapshot, CHUNKS + 1, START), [0; 0]);
    assert_eq!(answer(&mut tail, snapshot, 2, START), [2, 3]);
}

#[test]
fn one_snapshot_is_requested_for_all_joiners() {
    let (mut tail, _) = sending_tail();
    let other = ChainMessage::Join {
        view: 1,
        disk: DiskId(3),
        have: Some(0),
    };
    let effects = tail.receive(DiskId(3), other, START.plus(50));
    assert!(!orders(&effects).contains(&Effect::NeedSnapshot));
    assert_eq!(numbers(&sent(&effects)), [0, 1]);
}

#[test]
fn chunks_lost_by_a_reset_are_sent_again_without_a_wait() {
    let (mut tail, first) = sending_tail();
    let snapshot = identity(&first[0]);
    assert_eq!(answer(&mut tail, snapshot, 1, START), [2]);
    assert_eq!(sent(&tail.tick(START.plus(25))), []);
    tail.peer_disconnected(SPARE, START.plus(30));
    assert_eq!(numbers(&sent(&tail.tick(START.plus(50)))), [1, 2]);
    tail.peer_disconnected(DiskId(9), START.plus(60));
    assert_eq!(
        sent(&tail.tick(START.plus(75))),
        [],
        "the connection of another disk"
    );
}
