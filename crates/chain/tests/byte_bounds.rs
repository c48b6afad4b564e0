//! Bounds in bytes: what a head takes, what is on its way to a follower, and what stays in memory.

mod common;

use common::{acknowledge, large_operation, messages, view, START};
use lupinrack_chain::{Chain, Effect, Stored};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::wire::ChainMessage;

/// Bytes of one change of the configuration.
const CHANGE_BYTES: usize = 300_000;
/// Changes that a member was away for.
const CHANGES: u64 = 600;
/// A connection is closed by a further frame once so many bytes wait to be written to it.
const CONNECTION_BYTES_MOST: usize = 4 * 1024 * 1024;

/// The bytes of all entries in these messages.
fn entry_bytes(messages: &[(DiskId, ChainMessage)]) -> usize {
    let of_message = |message: &ChainMessage| match message {
        ChainMessage::Append { entries, .. } => {
            entries.iter().map(|entry| borsh::object_length(entry).expect("counts")).sum()
        }
        _ => 0,
    };
    messages.iter().map(|(_, message)| of_message(message)).sum()
}

/// The only member of a chain, which has committed this many large changes.
fn head_with_changes(changes: u64) -> Chain {
    let mut head = Chain::new(DiskId(1), 1, Stored::default());
    head.new_view(view(1, &[1]), START);
    for number in 1..=changes {
        let (index, _) =
            head.submit(large_operation(number, CHANGE_BYTES), START).expect("the head takes it");
        head.written(index, START);
    }
    head
}

#[test]
fn a_joiner_far_behind_is_not_sent_more_than_a_connection_holds() {
    let mut head = head_with_changes(40);
    let join = ChainMessage::Join { view: 1, disk: DiskId(2), have: Some(0) };
    let sent = entry_bytes(&messages(&head.receive(DiskId(2), join, START)));
    assert!(sent > 0, "it is sent something");
    assert!(sent < CONNECTION_BYTES_MOST, "{sent} bytes at once");
}

#[test]
fn a_successor_is_not_sent_more_than_a_connection_holds() {
    let mut head = Chain::new(DiskId(1), 2, Stored::default());
    head.new_view(view(1, &[1, 2]), START);
    head.receive(DiskId(2), acknowledge(1, 0, 0), START);
    head.receive(DiskId(2), acknowledge(1, 0, 1), START);
    let mut sent = 0;
    let mut taken = 0;
    for number in 1..=CHANGES {
        let Ok((_, effects)) = head.submit(large_operation(number, CHANGE_BYTES), START) else { break };
        taken += CHANGE_BYTES;
        sent += entry_bytes(&messages(&effects));
    }
    assert!(sent < CONNECTION_BYTES_MOST, "{sent} bytes without an acknowledgement");
    assert!(taken < 6 * 1024 * 1024, "{taken} bytes uncommitted");
}

#[test]
fn the_log_is_bounded_by_bytes_while_changes_go_on() {
    let mut head = head_with_changes(1);
    let mut most = 0;
    for number in 2..=CHANGES {
        let (index, effects) = head.submit(large_operation(number, CHANGE_BYTES), START).expect("takes it");
        assert!(matches!(effects.first(), Some(Effect::Append(_))));
        head.written(index, START);
        if number % 20 == 0 {
            head.compacted(index);
        }
        most = most.max((1..=index).filter(|index| head.entry(*index).is_some()).count());
    }
    assert!(most * CHANGE_BYTES <= 14 * 1024 * 1024, "{most} entries in memory");
}
