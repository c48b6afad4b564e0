//! Properties of a follower under any loss and repetition of messages.

mod common;

use common::{append, entry, operation, view, START};
use lupinrack_chain::{Chain, Effect, StoredState};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;
use quickcheck::quickcheck;

/// Entries of the head's log in the property.
const LOG: u64 = 40;

fn slice_of_log(previous: u64, length: u64) -> Vec<LogEntry> {
    (previous + 1..=(previous + length).min(LOG))
        .map(|index| entry(index, index * 3))
        .collect()
}

/// A member of a chain of two whose log differs from that of the head from some index on.
fn follower(own_from: u8) -> Chain {
    let own_from = u64::from(own_from) % LOG;
    let entries = (1..=LOG / 2).map(|index| {
        entry(
            index,
            if index < own_from {
                index * 3
            } else {
                1000 + index
            },
        )
    });
    let stored = StoredState {
        entries: entries.collect(),
        view: view(1, &[1, 2]),
        ..StoredState::default()
    };
    let mut chain = Chain::new(DiskId(2), 2, stored);
    chain.adopt_view(view(2, &[1, 2]), START);
    chain
}

quickcheck! {
    /// In whatever order and however often entries arrive, only those of the head are acknowledged.
    fn only_the_heads_entries_are_acknowledged(own_from: u8, slices: Vec<(u8, u8)>) -> bool {
        let mut chain = follower(own_from);
        slices.into_iter().all(|(previous, length)| {
            let previous = u64::from(previous) % LOG;
            let message = append(2, previous, slice_of_log(previous, u64::from(length) % 12), 0, 0);
            let effects = chain.receive(DiskId(1), message, START);
            let done: Vec<Effect> = effects.iter().flat_map(|effect| complete(&mut chain, effect)).collect();
            effects.iter().chain(&done).all(|effect| is_sound(&chain, effect))
        })
    }

    /// A follower that receives the entries that it requests ends with the head's log, at any batch size.
    fn a_follower_ends_with_the_heads_log(own_from: u8, batch: u8) -> bool {
        let mut chain = follower(own_from);
        let mut previous = 0;
        while previous < LOG {
            let message = append(2, previous, slice_of_log(previous, u64::from(batch % 9) + 1), 0, 0);
            chain.receive(DiskId(1), message, START);
            previous += u64::from(batch % 9) + 1;
        }
        (1..=LOG).all(|index| chain.entry(index) == Some(&entry(index, index * 3)))
    }

    /// The head numbers operations without gaps, and its log equals the entries that it wrote.
    fn the_head_numbers_without_gaps(count: u8) -> bool {
        let mut head = Chain::new(DiskId(1), 1, StoredState::default());
        head.adopt_view(view(1, &[1]), START);
        (1..=u64::from(count)).all(|number| {
            let submitted = head.submit(operation(number), START);
            submitted.is_ok_and(|(index, effects)| {
                index == number && effects == [Effect::Append(vec![entry(number, number)])]
            })
        })
    }
}

/// Completes an effect as the disk would.
fn complete(chain: &mut Chain, effect: &Effect) -> Vec<Effect> {
    match effect {
        Effect::Append(entries) => chain.entries_written(entries[entries.len() - 1].index, START),
        Effect::TruncateAfter(index) => chain.log_truncated(*index, START),
        _ => Vec::new(),
    }
}

/// Whether an acknowledgement covers entries of the head only.
fn is_sound(chain: &Chain, effect: &Effect) -> bool {
    let Effect::Send(_, lupinrack_cluster_api::chain::ChainMessage::Acknowledge { synced, .. }) =
        effect
    else {
        return true;
    };
    (1..=*synced).all(|index| chain.entry(index) == Some(&entry(index, index * 3)))
}
