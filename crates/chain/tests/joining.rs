//! Spares: how they join, catch up and become members.

mod common;

use common::{acknowledge, append, entry, messages, orders, stored, view, Cluster, START};
use lupinrack_chain::limits::{
    CAUGHT_UP_MS, JOINER_TIMEOUT_MS, RETAINED_ENTRIES, SNAPSHOT_CHUNK_BYTES, SOURCE_TIMEOUT_MS,
};
use lupinrack_chain::{Chain, Effect, ReplicaStatus, StoredState};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;

fn join(view: u64, disk: u64, have: u64) -> ChainMessage {
    ChainMessage::Join {
        view,
        disk: DiskId(disk),
        have: Some(have),
    }
}

#[test]
fn a_spare_truncates_before_it_joins() {
    let kept = stored(
        vec![entry(1, 1), entry(2, 2)],
        view(1, &[1, 2]),
        ReplicaStatus::Complete,
    );
    let mut spare = Chain::new(DiskId(2), 1, kept);
    spare.receive(DiskId(1), append(1, 1, vec![], 1, 0), START);
    let effects = spare.adopt_view(view(2, &[1]), START);
    assert_eq!(
        orders(&effects),
        [
            Effect::TruncateAfter(1),
            Effect::StoreReplicaStatus(ReplicaStatus::Joining)
        ]
    );
    assert_eq!(spare.tick(START), []);
    assert_eq!(spare.log_truncated(1, START), []);
    assert_eq!(spare.tick(START), []);
    spare.replica_status_stored(START);
    assert_eq!(spare.tick(START), [Effect::Send(DiskId(1), join(2, 2, 1))]);
}

#[test]
fn a_spare_catches_up_and_applies_what_is_committed() {
    let mut cluster = Cluster::new(3, 2);
    cluster.adopt(view(1, &[1, 2]));
    for number in 1..=5 {
        cluster.submit(1, number);
    }
    cluster.advance(500);
    let now = cluster.now;
    assert_eq!(cluster.chain(3).committed(), 5);
    assert!(cluster.chain(3).is_caught_up(now));
    assert!(!cluster.chain(3).is_member() && !cluster.chain(3).is_complete());
    assert!(!cluster.chain(3).is_caught_up(now.plus(CAUGHT_UP_MS + 200)));
    assert!(
        !cluster.chain(2).is_caught_up(now),
        "a member is not a spare"
    );
}

#[test]
fn a_spare_whose_disk_hangs_has_not_caught_up() {
    let mut cluster = Cluster::new(3, 2);
    cluster.adopt(view(1, &[1, 2]));
    cluster.advance(500);
    cluster.stalled = vec![DiskId(3)];
    cluster.submit(1, 1);
    cluster.advance(500);
    let now = cluster.now;
    assert!(!cluster.chain(3).is_caught_up(now));
    assert_eq!(cluster.chain(3).committed(), 0);
}

/// The members that a spare sends `Join` messages to while time advances in steps of 50 ms.
fn joined_within(spare: &mut Chain, now: &mut Millis, milliseconds: u64) -> Vec<DiskId> {
    let mut joined = Vec::new();
    for _ in 0..milliseconds / 50 {
        *now = now.plus(50);
        let effects = spare.tick(*now);
        let joins = messages(&effects).into_iter();
        joined.extend(
            joins
                .filter(|(_, message)| matches!(message, ChainMessage::Join { .. }))
                .map(|(to, _)| to),
        );
    }
    joined
}

#[test]
fn a_spare_whose_sources_are_all_slow_switches_less_and_less_often() {
    let kept = stored(vec![], view(1, &[1, 2, 3]), ReplicaStatus::Joining);
    let mut spare = Chain::new(DiskId(4), 2, kept);
    spare.adopt_view(view(2, &[1, 2, 3]), START);
    let mut now = START;
    let mut turns_in = |milliseconds| {
        let mut asked = joined_within(&mut spare, &mut now, milliseconds);
        asked.dedup();
        asked.len()
    };
    let (first, later) = (turns_in(3_000), turns_in(60_000));
    assert!(first >= 5, "{first} members joined in the first seconds");
    assert!(later <= 20, "{later} members joined in the minute after");
}

#[test]
fn a_spare_whose_source_times_out_switches_to_the_member_before_it_and_wraps_around() {
    let kept = stored(vec![], view(1, &[1, 2, 3]), ReplicaStatus::Joining);
    let mut spare = Chain::new(DiskId(4), 2, kept);
    spare.adopt_view(view(2, &[1, 2, 3]), START);
    let mut now = START;
    let mut asked = joined_within(&mut spare, &mut now, 1_500);
    asked.dedup();
    assert_eq!(asked[..4], [3, 2, 1, 3].map(DiskId), "{asked:?}");
}

#[test]
fn a_spare_keeps_a_source_that_answers() {
    let kept = stored(vec![], view(1, &[1, 2]), ReplicaStatus::Joining);
    let mut spare = Chain::new(DiskId(3), 2, kept);
    spare.adopt_view(view(2, &[1, 2]), START);
    let mut now = START;
    let mut asked = Vec::new();
    for _ in 0..20 {
        asked.extend(joined_within(&mut spare, &mut now, SOURCE_TIMEOUT_MS / 2));
        spare.receive(DiskId(2), append(2, 0, vec![], 0, 0), now);
    }
    asked.dedup();
    assert_eq!(asked, [DiskId(2)]);
}

#[test]
fn a_tail_streams_committed_entries_only() {
    let mut tail = Chain::new(DiskId(2), 2, StoredState::default());
    tail.adopt_view(view(1, &[1, 2]), START);
    tail.receive(
        DiskId(1),
        append(1, 0, vec![entry(1, 1), entry(2, 2)], 0, 0),
        START,
    );
    tail.entries_written(2, START);
    tail.receive(DiskId(1), append(1, 2, vec![], 1, 0), START);
    let effects = tail.receive(DiskId(3), join(1, 3, 0), START);
    let sent = messages(&effects);
    assert_eq!(
        sent.last(),
        Some(&(DiskId(3), append(1, 0, vec![entry(1, 1)], 1, 0)))
    );
}

#[test]
fn a_tail_forgets_a_silent_spare() {
    let mut tail = Chain::new(DiskId(2), 2, StoredState::default());
    tail.adopt_view(view(1, &[1, 2]), START);
    tail.receive(DiskId(1), append(1, 0, vec![entry(1, 1)], 0, 0), START);
    tail.receive(DiskId(3), join(1, 3, 0), START);
    tail.entries_written(1, START);
    tail.receive(DiskId(1), append(1, 1, vec![], 1, 0), START);
    let to_spare = |effects: &[Effect]| messages(effects).iter().any(|(to, _)| *to == DiskId(3));
    assert!(!to_spare(&tail.tick(START.plus(JOINER_TIMEOUT_MS + 1))));
    tail.receive(DiskId(3), join(1, 3, 0), START.plus(JOINER_TIMEOUT_MS + 2));
    assert!(to_spare(&tail.receive(
        DiskId(3),
        join(1, 3, 0),
        START.plus(JOINER_TIMEOUT_MS + 2)
    )));
}

#[test]
fn a_spare_that_becomes_the_tail_is_complete_only_once_it_has_everything() {
    let mut cluster = Cluster::new(2, 1);
    cluster.adopt(view(1, &[1]));
    for number in 1..=5 {
        cluster.submit(1, number);
    }
    cluster.advance(500);
    cluster.stalled = vec![DiskId(2)];
    cluster.submit(1, 6);
    cluster.adopt(view(2, &[1, 2]));
    cluster.advance(500);
    assert!(!cluster.chain(2).is_complete());
    assert!(!cluster.chain(1).is_ready());
}

#[test]
fn a_spare_that_becomes_the_tail_completes_and_the_chain_goes_on() {
    let mut cluster = Cluster::new(2, 1);
    cluster.adopt(view(1, &[1]));
    for number in 1..=5 {
        cluster.submit(1, number);
    }
    cluster.advance(500);
    cluster.adopt(view(2, &[1, 2]));
    assert!(cluster.chain(1).is_ready());
    assert!(cluster.chain(2).is_complete());
    assert_eq!(cluster.submit(1, 6), Some(6));
    cluster.advance(100);
    assert_eq!(cluster.chain(2).committed(), 6);
}

#[test]
fn a_spare_that_is_far_behind_gets_a_snapshot_in_chunks() {
    let mut cluster = Cluster::new(2, 1);
    cluster.adopt(view(1, &[1]));
    cluster.stalled = vec![DiskId(2)];
    for number in 1..=RETAINED_ENTRIES + 10 {
        cluster.submit(1, number);
    }
    cluster.chain(1).compact_log(RETAINED_ENTRIES + 10);
    assert_eq!(cluster.chain(1).entry(10), None);
    assert!(cluster.chain(1).entry(11).is_some());
    cluster.stalled.clear();
    let effects = cluster.chain(2).replica_status_stored(START);
    cluster.run(1, effects);
    cluster.advance(1000);
    let installs = cluster
        .seen
        .iter()
        .filter(|(_, effect)| matches!(effect, Effect::Install { .. }));
    assert_eq!(installs.count(), 1);
    assert_eq!(cluster.chain(2).committed(), RETAINED_ENTRIES + 10);
    let now = cluster.now;
    assert!(cluster.chain(2).is_caught_up(now));
}

#[test]
fn chunks_have_their_size_and_a_missing_one_prevents_the_installation() {
    let mut tail = Chain::new(
        DiskId(1),
        1,
        StoredState {
            snapshot_index: 5,
            ..StoredState::default()
        },
    );
    tail.adopt_view(view(1, &[1]), START);
    let effects = tail.receive(DiskId(2), join(1, 2, 0), START);
    assert!(orders(&effects).contains(&Effect::NeedSnapshot));
    let bytes: Vec<u8> = (0..2 * SNAPSHOT_CHUNK_BYTES + 1)
        .map(|at| at as u8)
        .collect();
    let chunks = messages(&tail.provide_snapshot(5, bytes.clone(), START));
    assert_eq!(chunks.len(), 3);
    let spare = || {
        let mut spare = Chain::new(DiskId(2), 1, StoredState::default());
        spare.adopt_view(view(1, &[1]), START);
        spare
    };
    let feed = |spare: &mut Chain, numbers: &[usize]| -> Vec<Effect> {
        numbers
            .iter()
            .flat_map(|at| spare.receive(DiskId(1), chunks[*at].1.clone(), START))
            .collect()
    };
    let whole = Effect::Install { index: 5, bytes };
    assert_eq!(orders(&feed(&mut spare(), &[0, 1, 2])).last(), Some(&whole));
    assert_eq!(orders(&feed(&mut spare(), &[0, 2])), []);
    assert_eq!(orders(&feed(&mut spare(), &[0, 1, 0, 1, 2])), [whole]);
}

#[test]
fn a_complete_member_ignores_snapshots() {
    let mut tail = Chain::new(DiskId(2), 1, StoredState::default());
    tail.adopt_view(view(1, &[1, 2]), START);
    let snapshot = SnapshotIdentity {
        index: 5,
        chunks: 1,
        checksum: 0,
    };
    let chunk = ChainMessage::Snapshot {
        view: 1,
        snapshot,
        chunk: 0,
        bytes: vec![1],
    };
    assert_eq!(tail.receive(DiskId(1), chunk, START), []);
}

#[test]
fn an_incomplete_member_drops_entries_not_known_to_be_committed() {
    let kept = stored(vec![entry(1, 1)], view(1, &[1, 2]), ReplicaStatus::Joining);
    let mut tail = Chain::new(DiskId(2), 1, kept);
    let effects = tail.tick(START);
    assert_eq!(orders(&effects), [Effect::TruncateAfter(0)]);
    assert_eq!(tail.last_index(), 0);
}

#[test]
fn the_recovery_barrier_is_acknowledged_once_the_status_is_durable() {
    let kept = stored(vec![], view(1, &[1]), ReplicaStatus::Joining);
    let mut tail = Chain::new(DiskId(2), 1, kept);
    tail.adopt_view(view(2, &[1, 2]), START);
    tail.receive(DiskId(1), append(2, 0, vec![], 0, 0), START);
    let effects = tail.receive(DiskId(1), append(2, 0, vec![], 0, 1), START);
    assert_eq!(
        orders(&effects),
        [Effect::StoreReplicaStatus(ReplicaStatus::Complete)]
    );
    assert_eq!(messages(&effects), [(DiskId(1), acknowledge(2, 0, 0))]);
    assert!(!tail.is_complete());
    let effects = tail.replica_status_stored(START);
    assert_eq!(messages(&effects), [(DiskId(1), acknowledge(2, 0, 1))]);
    assert!(tail.is_complete());
}

#[test]
fn entries_lost_by_a_reset_are_sent_again_at_the_next_tick() {
    let mut cluster = Cluster::new(1, 1);
    cluster.adopt(view(1, &[1]));
    for number in 1..=3 {
        cluster.submit(1, number);
    }
    let now = cluster.now;
    let tail = cluster.chain(1);
    let entries = || (1..=3).map(|index| entry(index, index)).collect();
    let all = (DiskId(2), append(1, 0, entries(), 3, 0));
    assert!(messages(&tail.receive(DiskId(2), join(1, 2, 0), now)).contains(&all));
    assert_eq!(messages(&tail.tick(now.plus(25))), []);
    tail.peer_disconnected(DiskId(2), now.plus(30));
    assert_eq!(messages(&tail.tick(now.plus(50))), [all]);
}
