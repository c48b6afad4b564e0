//! Bounds in bytes: what a head takes, what is on its way to a follower, and what stays in memory.

mod common;

use common::{acknowledge, large_operation, messages, view, START};
use lupinrack_chain::limits::{ByteLimits, ENTRY_BYTES_MOST};
use lupinrack_chain::{Chain, Effect, StoredState, SubmitError};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::frame::{Frame, MAX_FRAME_BYTES};
use lupinrack_cluster_api::identity::DiskId;

/// Bytes of one change of the configuration.
const CHANGE_BYTES: usize = 300_000;
/// Changes that a member was away for.
const CHANGES: u64 = 600;
/// A connection is closed by a further frame once so many bytes wait to be written to it.
const CONNECTION_BYTES_MOST: usize = 4 * 1024 * 1024;

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

/// The only member of a chain, which has committed this many large changes.
fn head_with_changes(changes: u64) -> Chain {
    let mut head = Chain::new(DiskId(1), 1, StoredState::default());
    head.adopt_view(view(1, &[1]), START);
    for number in 1..=changes {
        let (index, _) = head
            .submit(large_operation(number, CHANGE_BYTES), START)
            .expect("the head takes it");
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
    assert!(sent > 0, "it is sent something");
    assert!(sent < CONNECTION_BYTES_MOST, "{sent} bytes at once");
}

#[test]
fn a_successor_is_not_sent_more_than_a_connection_holds() {
    let mut head = Chain::new(DiskId(1), 2, StoredState::default());
    head.adopt_view(view(1, &[1, 2]), START);
    head.receive(DiskId(2), acknowledge(1, 0, 0), START);
    head.receive(DiskId(2), acknowledge(1, 0, 1), START);
    let mut sent = 0;
    let mut taken = 0;
    for number in 1..=CHANGES {
        let Ok((_, effects)) = head.submit(large_operation(number, CHANGE_BYTES), START) else {
            break;
        };
        taken += CHANGE_BYTES;
        sent += entry_bytes(&messages(&effects));
    }
    assert!(
        sent < CONNECTION_BYTES_MOST,
        "{sent} bytes without an acknowledgement"
    );
    assert!(taken < 6 * 1024 * 1024, "{taken} bytes uncommitted");
}

#[test]
fn the_log_is_bounded_by_bytes_while_changes_go_on() {
    let mut head = head_with_changes(1);
    let mut most = 0;
    for number in 2..=CHANGES {
        let (index, effects) = head
            .submit(large_operation(number, CHANGE_BYTES), START)
            .expect("takes it");
        assert!(matches!(effects.first(), Some(Effect::Append(_))));
        head.entries_written(index, START);
        if number % 20 == 0 {
            head.compact_log(index);
        }
        most = most.max(
            (1..=index)
                .filter(|index| head.entry(*index).is_some())
                .count(),
        );
    }
    assert!(
        most * CHANGE_BYTES <= 14 * 1024 * 1024,
        "{most} entries in memory"
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
        // An entry takes whole pages on the disk, at worst twice its size.
        assert!(
            2 * since_snapshot <= disk_mb * 1_000_000 / 4,
            "{disk_mb} MB: {limits:?}"
        );
        assert!(
            limits.window <= CONNECTION_BYTES_MOST as u64 / 2,
            "{limits:?}"
        );
        assert!(limits.retained <= limits.catch_up, "{limits:?}");
    }
}

#[test]
fn a_machine_that_says_nothing_of_itself_has_bounds() {
    assert_eq!(
        ByteLimits::of_machine(0, 0),
        ByteLimits::of_machine(256, 128)
    );
    assert_eq!(ByteLimits::of_machine(0, 0), ByteLimits::default());
    assert!(ByteLimits::of_machine(1, 1).uncommitted > 0);
}

/// A change whose entry has so many bytes.
fn change_of(bytes: u64) -> lupinrack_cluster_api::operation::Operation {
    let around = borsh::object_length(&common::entry(1, 1)).expect("counts") as u64;
    large_operation(1, (bytes - around - 6) as usize)
}

#[test]
fn every_message_fits_a_frame_and_what_would_not_is_refused() {
    let mut head = head_with_changes(3);
    assert_eq!(
        head.submit(change_of(ENTRY_BYTES_MOST + 1_000), START),
        Err(SubmitError::TooLarge)
    );
    let (index, _) = head
        .submit(change_of(ENTRY_BYTES_MOST), START)
        .expect("the largest one");
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
fn the_same_request_again_and_again_is_answered_less_and_less_often() {
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
fn a_request_for_little_is_always_answered() {
    let mut head = Chain::new(DiskId(1), 2, StoredState::default());
    head.adopt_view(view(1, &[1, 2]), START);
    for time in 0..20 {
        let resend = ChainMessage::Resend { view: 1, have: 0 };
        let effects = head.receive(DiskId(2), resend, START.plus(time * 100));
        assert!(!messages(&effects).is_empty(), "request {time}");
    }
}
