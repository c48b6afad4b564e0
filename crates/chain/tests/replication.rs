//! Members of a chain: entries, acknowledgements, commits and barriers.

mod common;

use common::{
    acknowledge, append, entry, messages, operation, orders, stored, view, Cluster, START,
};
use lupinrack_chain::limits::{BATCH_BYTES, MAX_UNCOMMITTED_ENTRIES, PROBE_AFTER_MS};
use lupinrack_chain::{Chain, Effect, ReplicaStatus, StoredState, SubmitError};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, LogEntry, Operation,
};
use lupinrack_cluster_api::time::Millis;

/// Disk 1 as the head of a chain of two, ready.
fn ready_head() -> Chain {
    let mut head = Chain::new(DiskId(1), 2, StoredState::default());
    head.adopt_view(view(1, &[1, 2]), START);
    head.receive(DiskId(2), acknowledge(1, 0, 0), START);
    head.receive(DiskId(2), acknowledge(1, 0, 1), START);
    assert!(head.is_ready());
    head
}

/// Disk 2 as the tail of a chain of two, with these entries on its disk.
fn tail_with(entries: Vec<LogEntry>) -> Chain {
    let mut tail = Chain::new(
        DiskId(2),
        2,
        stored(entries, view(1, &[1, 2]), ReplicaStatus::Complete),
    );
    tail.adopt_view(view(2, &[1, 2]), START);
    tail
}

#[test]
fn the_head_sends_before_its_own_sync_and_commits_after_both() {
    let mut head = ready_head();
    let (index, effects) = head.submit(operation(7), START).expect("the head is ready");
    assert_eq!(index, 1);
    assert_eq!(orders(&effects), [Effect::Append(vec![entry(1, 7)])]);
    assert_eq!(
        messages(&effects),
        [(DiskId(2), append(1, 0, vec![entry(1, 7)], 0, 1))]
    );
    let effects = head.receive(DiskId(2), acknowledge(1, 1, 1), START);
    assert_eq!(orders(&effects), []);
    assert_eq!(head.committed(), 0);
    let effects = head.entries_written(1, START);
    assert_eq!(effects, [Effect::Commit(1)]);
    assert_eq!(head.committed(), 1);
}

#[test]
fn a_member_acknowledges_only_entries_synced_by_it_and_all_members_after_it() {
    let mut middle = Chain::new(DiskId(2), 3, StoredState::default());
    middle.adopt_view(view(1, &[1, 2, 3]), START);
    let effects = middle.receive(DiskId(1), append(1, 0, vec![entry(1, 7)], 0, 0), START);
    assert!(effects.contains(&Effect::Append(vec![entry(1, 7)])));
    let forwarded = (DiskId(3), append(1, 0, vec![entry(1, 7)], 0, 0));
    assert!(messages(&effects).contains(&forwarded), "{effects:?}");
    assert_eq!(
        messages(&middle.receive(DiskId(3), acknowledge(1, 1, 0), START)),
        []
    );
    let effects = middle.entries_written(1, START);
    assert_eq!(messages(&effects), [(DiskId(1), acknowledge(1, 1, 0))]);
}

#[test]
fn every_member_applies_committed_entries() {
    let mut cluster = Cluster::new(3, 2);
    cluster.adopt(view(1, &[1, 2, 3]));
    assert!(cluster.chain(1).is_ready());
    assert_eq!(cluster.submit(1, 7), Some(1));
    assert_eq!(cluster.submit(1, 8), Some(2));
    cluster.advance(200);
    for disk in 1..=3 {
        assert_eq!(cluster.chain(disk).committed(), 2, "disk {disk}");
        assert_eq!(
            cluster.chain(disk).entry(2),
            Some(&entry(2, 8)),
            "disk {disk}"
        );
    }
}

#[test]
fn only_a_ready_head_accepts_operations_and_barriers() {
    let mut cluster = Cluster::new(2, 2);
    assert_eq!(cluster.submit(1, 7), None);
    cluster.adopt(view(1, &[1, 2]));
    assert!(cluster.chain(1).is_head());
    assert_eq!(cluster.submit(2, 7), None);
    assert_eq!(cluster.barrier(2), None);
    assert_eq!(cluster.submit(1, 7), Some(1));
}

#[test]
fn a_chain_that_is_too_short_commits_nothing() {
    let mut cluster = Cluster::new(2, 3);
    cluster.adopt(view(1, &[1, 2]));
    cluster.advance(1000);
    assert!(!cluster.chain(1).is_ready());
    assert_eq!(cluster.submit(1, 7), None);
}

#[test]
fn a_chain_of_one_commits_by_its_own_sync() {
    let mut cluster = Cluster::new(1, 1);
    cluster.adopt(view(1, &[1]));
    assert_eq!(cluster.submit(1, 7), Some(1));
    assert_eq!(cluster.chain(1).committed(), 1);
    assert!(cluster.barrier(1).is_some());
}

#[test]
fn a_head_bounds_its_uncommitted_entries() {
    let mut head = ready_head();
    for number in 0..MAX_UNCOMMITTED_ENTRIES {
        assert!(head.submit(operation(number), START).is_ok());
    }
    assert_eq!(head.submit(operation(0), START), Err(SubmitError::Full));
    head.entries_written(1, START);
    head.receive(DiskId(2), acknowledge(1, 1, 1), START);
    assert!(head.submit(operation(0), START).is_ok());
}

#[test]
fn a_barrier_passes_without_a_sync() {
    let mut cluster = Cluster::new(3, 2);
    cluster.adopt(view(1, &[1, 2, 3]));
    cluster.stalled = vec![DiskId(1), DiskId(2), DiskId(3)];
    cluster.submit(1, 7);
    let number = cluster.barrier(1).expect("the head is ready");
    assert_eq!(cluster.seen, [(DiskId(1), Effect::Barrier(number))]);
}

#[test]
fn a_barrier_does_not_pass_without_the_tail() {
    let mut head = ready_head();
    let (number, effects) = head.start_barrier(START).expect("the head is ready");
    assert_eq!(
        messages(&effects),
        [(DiskId(2), append(1, 0, vec![], 0, number))]
    );
    assert_eq!(orders(&head.tick(START)), []);
    let effects = head.receive(DiskId(2), acknowledge(1, 0, number), START);
    assert_eq!(effects, [Effect::Barrier(number)]);
}

#[test]
fn an_older_view_is_answered_and_a_newer_one_ignored() {
    let mut tail = tail_with(vec![]);
    let effects = tail.receive(DiskId(1), append(1, 0, vec![entry(1, 7)], 0, 0), START);
    assert_eq!(
        effects,
        [Effect::Send(
            DiskId(1),
            ChainMessage::Outdated {
                view: view(2, &[1, 2])
            }
        )]
    );
    let effects = tail.receive(DiskId(1), append(3, 0, vec![entry(1, 7)], 0, 0), START);
    assert_eq!(effects, []);
    assert_eq!(tail.last_index(), 0);
}

#[test]
fn entries_come_from_the_predecessor_only() {
    let mut tail = tail_with(vec![]);
    assert_eq!(
        tail.receive(DiskId(3), append(2, 0, vec![entry(1, 7)], 0, 0), START),
        []
    );
    assert_eq!(tail.last_index(), 0);
}

#[test]
fn missing_entries_are_requested() {
    let mut tail = tail_with(vec![]);
    let effects = tail.receive(
        DiskId(1),
        append(2, 4, vec![entry(5, 7)], 0, 0),
        START.plus(200),
    );
    assert_eq!(
        effects,
        [Effect::Send(
            DiskId(1),
            ChainMessage::Resend { view: 2, have: 0 }
        )]
    );
    let mut head = ready_head();
    for number in 0..3 {
        head.submit(operation(number), START)
            .expect("the head takes it");
    }
    let effects = head.receive(DiskId(2), ChainMessage::Resend { view: 1, have: 1 }, START);
    let sent: Vec<u64> = messages(&effects)
        .iter()
        .flat_map(|(_, message)| indexes(message))
        .collect();
    assert_eq!(sent, [2, 3]);
}

fn indexes(message: &ChainMessage) -> Vec<u64> {
    match message {
        ChainMessage::Append { entries, .. } => entries.iter().map(|entry| entry.index).collect(),
        _ => Vec::new(),
    }
}

#[test]
fn entries_that_differ_are_replaced_and_equal_ones_kept() {
    let mut tail = tail_with(vec![entry(1, 1), entry(2, 2), entry(3, 3)]);
    let effects = tail.receive(
        DiskId(1),
        append(2, 0, vec![entry(1, 1), entry(2, 9)], 0, 0),
        START,
    );
    assert_eq!(
        orders(&effects),
        [Effect::TruncateAfter(1), Effect::Append(vec![entry(2, 9)])]
    );
    assert_eq!(tail.last_index(), 2);
    assert_eq!(
        messages(&tail.entries_written(3, START)),
        [],
        "the completed write is that of replaced entries"
    );
    assert_eq!(messages(&tail.log_truncated(1, START)), []);
    assert_eq!(
        messages(&tail.entries_written(2, START)),
        [(DiskId(1), acknowledge(2, 2, 0))]
    );
}

#[test]
fn entries_that_the_predecessor_has_not_confirmed_are_not_acknowledged() {
    let mut tail = tail_with(vec![entry(1, 1), entry(2, 2)]);
    let effects = tail.receive(DiskId(1), append(2, 0, vec![entry(1, 1)], 0, 0), START);
    assert_eq!(messages(&effects), [(DiskId(1), acknowledge(2, 1, 0))]);
    assert_eq!(tail.last_index(), 2);
}

#[test]
fn a_complete_member_trusts_its_log_as_far_as_it_is_committed() {
    let mut tail = tail_with(vec![entry(1, 1), entry(2, 2), entry(3, 3)]);
    let effects = tail.receive(DiskId(1), append(2, 2, vec![], 2, 0), START);
    assert_eq!(orders(&effects), [Effect::Commit(2)]);
    assert_eq!(messages(&effects), [(DiskId(1), acknowledge(2, 2, 0))]);
}

#[test]
fn a_restarted_head_is_silent_until_a_newer_view() {
    let kept = stored(vec![entry(1, 1)], view(1, &[1, 2]), ReplicaStatus::Complete);
    let mut head = Chain::new(DiskId(1), 2, kept);
    assert!(head.needs_new_view());
    assert_eq!(head.tick(Millis(5000)), []);
    assert_eq!(
        head.receive(DiskId(2), ChainMessage::Resend { view: 1, have: 0 }, START),
        []
    );
    head.receive(DiskId(2), acknowledge(1, 5, 1), START);
    assert!(!head.is_ready());
    let effects = head.adopt_view(view(2, &[1, 2]), START);
    assert!(!head.needs_new_view());
    assert_eq!(
        messages(&effects),
        [(DiskId(2), append(2, 1, vec![], 0, 0))]
    );
}

#[test]
fn a_restarted_chain_commits_again_after_a_new_view() {
    let entries = vec![entry(1, 1), entry(2, 2)];
    let kept = || stored(entries.clone(), view(1, &[1, 2]), ReplicaStatus::Complete);
    let mut cluster = Cluster::new(2, 2);
    cluster.chains = vec![
        Chain::new(DiskId(1), 2, kept()),
        Chain::new(
            DiskId(2),
            2,
            stored(vec![], view(1, &[1, 2]), ReplicaStatus::Complete),
        ),
    ];
    cluster.adopt(view(2, &[1, 2]));
    cluster.advance(1000);
    assert!(cluster.chain(1).is_ready());
    assert_eq!(cluster.chain(1).committed(), 2);
    assert_eq!(cluster.chain(2).committed(), 2);
}

#[test]
fn a_silent_successor_is_probed() {
    let mut head = ready_head();
    head.submit(operation(7), START).expect("the head takes it");
    assert_eq!(head.tick(START.plus(PROBE_AFTER_MS - 1)), []);
    let effects = head.tick(START.plus(PROBE_AFTER_MS));
    assert_eq!(
        messages(&effects),
        [(DiskId(2), append(1, 1, vec![], 0, 1))]
    );
}

#[test]
fn an_incomplete_head_is_silent() {
    let kept = stored(
        vec![entry(1, 1)],
        view(1, &[3, 1, 2]),
        ReplicaStatus::Joining,
    );
    let mut head = Chain::new(DiskId(1), 2, kept);
    let effects = head.adopt_view(view(2, &[1, 2]), START);
    assert_eq!(messages(&effects), []);
    head.receive(DiskId(2), acknowledge(2, 5, 1), START);
    assert!(!head.is_ready() && !head.is_complete());
}

#[test]
fn the_head_starts_the_recovery_barrier_once_all_its_earlier_entries_are_acknowledged() {
    let kept = stored(
        vec![entry(1, 1), entry(2, 2)],
        view(1, &[1, 2]),
        ReplicaStatus::Complete,
    );
    let mut head = Chain::new(DiskId(1), 2, kept);
    head.adopt_view(view(2, &[1, 2]), START);
    assert_eq!(head.receive(DiskId(2), acknowledge(2, 1, 0), START), []);
    let effects = head.receive(DiskId(2), acknowledge(2, 2, 0), START);
    assert_eq!(
        effects,
        [Effect::Send(DiskId(2), append(2, 2, vec![], 0, 1))]
    );
    assert!(!head.is_ready());
    let effects = head.receive(DiskId(2), acknowledge(2, 2, 1), START);
    assert_eq!(orders(&effects), [Effect::Commit(2)]);
    assert!(head.is_ready());
}

#[test]
fn a_barrier_is_sent_after_all_entries() {
    let mut head = ready_head();
    for _ in 0..3 {
        let body = ConfigurationBody::Replacement("x".repeat(BATCH_BYTES as usize * 2 / 3));
        let change = ConfigurationChange { if_match: 0, body };
        head.submit(Operation::ChangeConfiguration(change), START)
            .expect("the head takes it");
    }
    let effects = head.receive(DiskId(2), ChainMessage::Resend { view: 1, have: 0 }, START);
    let barriers: Vec<(usize, u64)> = messages(&effects)
        .iter()
        .map(|(_, message)| carried(message))
        .collect();
    assert_eq!(barriers, [(0, 0), (1, 0), (1, 0), (1, 1)]);
}

/// How many entries a message carries, and its barrier.
fn carried(message: &ChainMessage) -> (usize, u64) {
    match message {
        ChainMessage::Append {
            entries, barrier, ..
        } => (entries.len(), *barrier),
        _ => (0, 0),
    }
}

/// A head restarted from a snapshot lacks entries that a follower has after it; those were never committed.
#[test]
fn a_follower_truncates_entries_that_the_head_does_not_have() {
    let mut head = Chain::new(
        DiskId(1),
        2,
        StoredState {
            snapshot_index: 2,
            view: view(1, &[1, 2]),
            ..StoredState::default()
        },
    );
    let mut follower = tail_with((1..=5).map(|index| entry(index, index)).collect());
    head.adopt_view(view(2, &[1, 2]), START);
    // The head sends the committed index, and the follower acknowledges exactly that.
    let probe = append(2, 2, vec![], 2, 0);
    let effects = follower.receive(DiskId(1), probe, START);
    assert_eq!(
        messages(&effects).last(),
        Some(&(DiskId(1), acknowledge(2, 2, 0)))
    );
    assert_eq!(
        follower.committed(),
        2,
        "only the entries that the head has"
    );
    for (synced, barrier) in [(2, 0), (2, 1)] {
        head.receive(DiskId(2), acknowledge(2, synced, barrier), START);
    }
    let (index, effects) = head
        .submit(operation(30), START)
        .expect("the head is ready");
    assert_eq!(index, 3);
    let (_, message) = messages(&effects).pop().expect("the entry is forwarded");
    let effects = follower.receive(DiskId(1), message, START);
    assert_eq!(
        orders(&effects),
        [Effect::TruncateAfter(2), Effect::Append(vec![entry(3, 30)])]
    );
    assert_eq!(follower.last_index(), 3);
}
