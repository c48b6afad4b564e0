//! Compares the table of key ranges with a naive model that stores each key of a small key space by itself.

use lupinrack_extent_map::btree_ranges::BTreeRanges;
use lupinrack_extent_map::ranges::Ranges;
use quickcheck::{quickcheck, Arbitrary, Gen};

/// Keys of the model. In the table they are spread over all 64 bits.
const MODEL_KEYS: usize = 48;
const KEY_STEP: u64 = u64::MAX / (MODEL_KEYS as u64 - 1);

/// One update of a range, with keys of the model.
#[derive(Clone, Copy, Debug)]
struct Set {
    first: usize,
    last: usize,
    shard: Option<u32>,
    epoch: u64,
    max_replaced_epoch: u64,
}

impl Arbitrary for Set {
    fn arbitrary(g: &mut Gen) -> Set {
        let (key_a, key_b) = (
            usize::arbitrary(g) % MODEL_KEYS,
            usize::arbitrary(g) % MODEL_KEYS,
        );
        let epoch = 1 + u64::arbitrary(g) % 20;
        // A change replaces earlier epochs; a fetch also replaces its own epoch.
        let max_replaced_epoch = if bool::arbitrary(g) {
            epoch - 1
        } else {
            epoch + u64::arbitrary(g) % 3
        };
        let shard = Some(u32::arbitrary(g) % 4).filter(|shard| *shard > 0);
        Set {
            first: key_a.min(key_b),
            last: key_a.max(key_b),
            shard,
            epoch,
            max_replaced_epoch,
        }
    }
}

/// The first and last key in the table for the model's keys.
fn table_keys(set: &Set) -> (u64, u64) {
    let last = if set.last + 1 == MODEL_KEYS {
        u64::MAX
    } else {
        (set.last as u64 + 1) * KEY_STEP - 1
    };
    (set.first as u64 * KEY_STEP, last)
}

/// Applies the updates to the model, the chunked table and the `BTreeMap` table. Compares all three after each.
fn agrees_with_model<const MAX_CHUNK_RANGES: usize>(sets: &[Set]) -> bool {
    let mut model = [(None, 0u64); MODEL_KEYS];
    let (mut table, mut btree) = (Ranges::<MAX_CHUNK_RANGES>::new(0), BTreeRanges::new(0));
    for set in sets {
        let mut moved = false;
        for key in &mut model[set.first..=set.last] {
            if key.1 <= set.max_replaced_epoch {
                moved |= key.0 != set.shard;
                *key = (set.shard, set.epoch);
            }
        }
        let (first, last) = table_keys(set);
        let table_moved = table.set(first, last, set.shard, set.epoch, set.max_replaced_epoch);
        assert_eq!(table_moved, moved, "whether any key changed its shard");
        assert_eq!(
            btree.set(first, last, set.shard, set.epoch, set.max_replaced_epoch),
            moved
        );
        for (i, key) in model.iter().enumerate() {
            for at in [
                i as u64 * KEY_STEP,
                (i as u64 * KEY_STEP).saturating_add(KEY_STEP / 2),
            ] {
                let range = table.get(at);
                let expected = if at / KEY_STEP == i as u64 {
                    key
                } else {
                    &model[(at / KEY_STEP) as usize]
                };
                assert_eq!(
                    (range.shard, range.epoch),
                    *expected,
                    "at {at:x} after {set:?}"
                );
                assert!(range.first <= at && at <= range.last);
            }
        }
        let ranges: Vec<_> = table.iter().collect();
        assert_eq!(
            ranges,
            btree.iter().collect::<Vec<_>>(),
            "the BTreeMap table has the same ranges"
        );
        assert_eq!(ranges.len(), table.len());
        assert_eq!(
            (ranges[0].first, ranges[ranges.len() - 1].last),
            (0, u64::MAX),
            "all keys are covered"
        );
        for pair in ranges.windows(2) {
            assert_eq!(pair[0].last + 1, pair[1].first, "no gap and no overlap");
            assert!(
                (pair[0].shard, pair[0].epoch) != (pair[1].shard, pair[1].epoch),
                "equal neighbours are one range"
            );
        }
    }
    true
}

quickcheck! {
    fn small_chunks_agree_with_the_model(sets: Vec<Set>) -> bool {
        agrees_with_model::<3>(&sets) && agrees_with_model::<2>(&sets)
    }

    fn one_flat_table_agrees_with_the_model(sets: Vec<Set>) -> bool {
        agrees_with_model::<{ usize::MAX }>(&sets)
    }

    /// Reordered and repeated changes lead to the same table.
    fn order_and_repetition_do_not_matter(sets: Vec<Set>, seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Each change has its own epoch, as it does at the authority.
        let changes: Vec<Set> = sets.iter().zip(1u64..).map(|(set, epoch)| Set { epoch, max_replaced_epoch: epoch - 1, ..*set }).collect();
        let mut shuffled: Vec<Set> = changes.iter().chain(&changes).copied().collect();
        rng.shuffle(&mut shuffled);
        let apply = |all: &[Set]| {
            let mut table = Ranges::<4>::new(0);
            for set in all {
                let (first, last) = table_keys(set);
                table.set(first, last, set.shard, set.epoch, set.max_replaced_epoch);
            }
            table.iter().collect::<Vec<_>>()
        };
        apply(&changes) == apply(&shuffled)
    }
}

#[test]
fn updates_at_the_ends_of_the_key_space_and_of_empty_ranges() {
    let mut table = Ranges::<4>::new(7);
    assert!(
        !table.set(5, 4, Some(1), 9, 8),
        "a range whose last key is before its first changes nothing"
    );
    assert!(table.set(u64::MAX, u64::MAX, Some(1), 9, 8) && table.set(0, 0, Some(2), 10, 9));
    assert_eq!(
        (
            table.get(u64::MAX).shard,
            table.get(0).shard,
            table.get(1).shard
        ),
        (Some(1), Some(2), None)
    );
    assert!(
        !table.set(0, u64::MAX, Some(3), 5, 4),
        "an epoch older than all known ones changes nothing"
    );
    assert!(table.set(0, u64::MAX, None, 11, 11) && table.len() == 1 && table.is_empty());
    assert!(
        table.can_store(7 + u64::from(u32::MAX) - 1) && !table.can_store(7 + u64::from(u32::MAX))
    );
}
