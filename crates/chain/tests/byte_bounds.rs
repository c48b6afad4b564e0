//! Limits in bytes: uncommitted entries of a head, entries in flight to a follower, and the log in
//! memory.

mod common;

use common::{acknowledge, large_operation, messages, view, START};
use lupinrack_chain::limits::{ByteLimits, MAX_ENTRY_BYTES};
use lupinrack_chain::{Chain, Effect, StoredState, SubmitError};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::frame::{Frame, MAX_FRAME_BYTES};
use lupinrack_cluster_api::identity::DiskId;

/// Bytes of one change of the configuration.
const CHANGE_BYTES: usize = 300_000;
/// Changes that are submitted.
const CHANGES: u64 = 600;
/// Waiting bytes with which a connection is closed instead of taking a further frame.
const MAX_CONNECTION_BYTES: usize = 4 * 1024 * 1024;

/// The bytes of all entries in these messages.
fn entry_bytes(messages: &[(DiskId, ChainMessage)]) -> usize {
    let of_message = |message: &ChainMessage| match message {
        ChainMessage::Append { entries, .. } => entries
            .iter()
            .map(|entry| borsh::object_length(entry).expect("counts"))
            .sum(),
        _ => 0,
    };
    messages
        .iter()
        .map(|(_, message)| of_message(message))
        .sum()
}

/// The only member of a chain, with this many large changes committed.
fn head_with_changes(changes: u64) -> Chain {
    let mut head = Chain::new(DiskId(1), 1, StoredState::default());
    head.adopt_view(view(1, &[1]), START);
    for number in 1..=changes {
        let (index, _) = head
            .submit(large_operation(number, CHANGE_BYTES), START)
            .expect("the head accepts it");
        head.entries_written(index, START);
    }
    head
}

#[test]
fn a_joiner_far_behind_is_not_sent_more_than_a_connection_holds() {
    let mut head = head_with_changes(40);
    let join = ChainMessage::Join {
        view: 1,
        disk: DiskId(2),
        have: Some(0),
    };
    let sent = entry_bytes(&messages(&head.receive(DiskId(2), join, START)));
    assert!(sent > 0, "the joiner receives entries");
    assert!(sent < MAX_CONNECTION_BYTES, "{sent} bytes at once");
}

#[test]
fn a_successor_is_not_sent_more_than_a_connection_holds() {
    let mut head = Chain::new(DiskId(1), 2, StoredState::default());
    head.adopt_view(view(1, &[1, 2]), START);
    head.receive(DiskId(2), acknowledge(1, 0, 0), START);
    head.receive(DiskId(2), acknowledge(1, 0, 1), START);
    let mut sent = 0;
    let mut accepted_bytes = 0;
    for number in 1..=CHANGES {
        let Ok((_, effects)) = head.submit(large_operation(number, CHANGE_BYTES), START) else {
            break;
        };
        accepted_bytes += CHANGE_BYTES;
        sent += entry_bytes(&messages(&effects));
    }
    assert!(
        sent < MAX_CONNECTION_BYTES,
        "{sent} bytes without an acknowledgement"
    );
    assert!(
        accepted_bytes < 6 * 1024 * 1024,
        "{accepted_bytes} bytes uncommitted"
    );
}

#[test]
fn the_log_is_bounded_by_bytes_while_changes_go_on() {
    let mut head = head_with_changes(1);
    let mut max_entries = 0;
    for number in 2..=CHANGES {
        let (index, effects) = head
            .submit(large_operation(number, CHANGE_BYTES), START)
            .expect("the head accepts every change");
        assert!(matches!(effects.first(), Some(Effect::Append(_))));
        head.entries_written(index, START);
        if number % 20 == 0 {
            head.compact_log(index);
        }
        max_entries = max_entries.max(
            (1..=index)
                .filter(|index| head.entry(*index).is_some())
                .count(),
        );
    }
    assert!(
        max_entries * CHANGE_BYTES <= 14 * 1024 * 1024,
        "{max_entries} entries in memory"
    );
}

/// Megabytes of memory and disk of a core machine.
const MACHINES: [(u64, u64); 5] = [
    (128, 128),
    (192, 128),
    (256, 192),
    (384, 256),
    (64_000, 2_000_000),
];

#[test]
fn the_bounds_leave_most_of_a_machine_to_others() {
    for (memory_mb, disk_mb) in MACHINES {
        let limits = ByteLimits::of_machine(memory_mb, disk_mb);
        let since_snapshot = limits.snapshot_after + limits.uncommitted;
        let in_memory = since_snapshot + limits.retained.max(limits.catch_up);
        assert!(
            in_memory <= memory_mb * 1_000_000 / 8,
            "{memory_mb} MB: {limits:?}"
        );
        // An entry occupies full pages on the disk, in the worst case twice its size.
        assert!(
            2 * since_snapshot <= disk_mb * 1_000_000 / 4,
            "{disk_mb} MB: {limits:?}"
        );
        assert!(
            limits.window <= MAX_CONNECTION_BYTES as u64 / 2,
            "{limits:?}"
        );
        assert!(limits.retained <= limits.catch_up, "{limits:?}");
    }
}

#[test]
fn a_machine_of_unknown_size_has_bounds() {
    assert_eq!(
        ByteLimits::of_machine(0, 0),
        ByteLimits::of_machine(256, 128)
    );
    assert_eq!(ByteLimits::of_machine(0, 0), ByteLimits::default());
    assert!(ByteLimits::of_machine(1, 1).uncommitted > 0);
}

/// A change whose entry has this many bytes.
fn change_of(bytes: u64) -> lupinrack_cluster_api::operation::Operation {
    let around = borsh::object_length(&common::entry(1, 1)).expect("counts") as u64;
    large_operation(1, (bytes - around - 6) as usize)
}

#[test]
fn every_message_fits_a_frame_and_a_larger_operation_is_rejected() {
    let mut head = head_with_changes(3);
    assert_eq!(
        head.submit(change_of(MAX_ENTRY_BYTES + 1_000), START),
        Err(SubmitError::TooLarge)
    );
    let (index, _) = head
        .submit(change_of(MAX_ENTRY_BYTES), START)
        .expect("an entry of the maximum size");
    head.entries_written(index, START);
    let mut have = 0;
    let mut now = START;
    while have < index {
        now = now.plus(10);
        let join = ChainMessage::Join {
            view: 1,
            disk: DiskId(2),
            have: Some(have),
        };
        for (_, message) in messages(&head.receive(DiskId(2), join, now)) {
            let frame = Frame::Chain(message);
            assert!(borsh::object_length(&frame).expect("counts") <= MAX_FRAME_BYTES);
            if let Frame::Chain(ChainMessage::Append {
                previous, entries, ..
            }) = frame
            {
                have = have.max(previous + entries.len() as u64);
            }
        }
    }
}

#[test]
fn a_repeated_request_is_answered_less_and_less_often() {
    let mut head = head_with_changes(10);
    head.receive(
        DiskId(2),
        ChainMessage::Join {
            view: 1,
            disk: DiskId(2),
            have: Some(0),
        },
        START,
    );
    let mut answered = 0;
    for time in 0..20 {
        let resend = ChainMessage::Resend { view: 1, have: 0 };
        let effects = head.receive(DiskId(2), resend, START.plus(time * 100));
        answered += u32::from(entry_bytes(&messages(&effects)) > 0);
    }
    assert!((2..=6).contains(&answered), "{answered} of 20");
}

#[test]
fn a_request_for_few_bytes_is_always_answered() {
    let mut head = Chain::new(DiskId(1), 2, StoredState::default());
    head.adopt_view(view(1, &[1, 2]), START);
    for time in 0..20 {
        let resend = ChainMessage::Resend { view: 1, have: 0 };
        let effects = head.receive(DiskId(2), resend, START.plus(time * 100));
        assert!(!messages(&effects).is_empty(), "request {time}");
    }
}
