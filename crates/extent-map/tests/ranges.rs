//! The table of ranges against a naive model: one word for each key of a small key space.

use lupinrack_extent_map::plain::Plain;
use lupinrack_extent_map::ranges::Ranges;
use quickcheck::{quickcheck, Arbitrary, Gen};

/// Keys of the model; the table's are these, spread over all 64 bits.
const KEYS: usize = 48;
const STEP: u64 = u64::MAX / (KEYS as u64 - 1);

/// A change of a range, by its first and last key of the model.
#[derive(Clone, Copy, Debug)]
struct Set {
    first: usize,
    last: usize,
    shard: Option<u32>,
    epoch: u64,
    limit: u64,
}

impl Arbitrary for Set {
    fn arbitrary(g: &mut Gen) -> Set {
        let (a, b) = (usize::arbitrary(g) % KEYS, usize::arbitrary(g) % KEYS);
        let epoch = 1 + u64::arbitrary(g) % 20;
        // Changes replace what is older; answers on a volume also what is as old as they are.
        let limit = if bool::arbitrary(g) {
            epoch - 1
        } else {
            epoch + u64::arbitrary(g) % 3
        };
        let shard = Some(u32::arbitrary(g) % 4).filter(|s| *s > 0);
        Set {
            first: a.min(b),
            last: a.max(b),
            shard,
            epoch,
            limit,
        }
    }
}

/// The keys from the model's first up to the one before the next of its last.
fn span(s: &Set) -> (u64, u64) {
    let last = if s.last + 1 == KEYS {
        u64::MAX
    } else {
        (s.last as u64 + 1) * STEP - 1
    };
    (s.first as u64 * STEP, last)
}

/// Applies all to the naive model, to the table and to the plain one, and compares after each.
fn agree<const CHUNK: usize>(sets: &[Set]) -> bool {
    let mut model = [(None, 0u64); KEYS];
    let (mut table, mut plain) = (Ranges::<CHUNK>::new(0), Plain::new(0));
    for s in sets {
        let mut moved = false;
        for key in &mut model[s.first..=s.last] {
            if key.1 <= s.limit {
                moved |= key.0 != s.shard;
                *key = (s.shard, s.epoch);
            }
        }
        let (first, last) = span(s);
        let told = table.set(first, last, s.shard, s.epoch, s.limit);
        assert_eq!(told, moved, "whether anything moved");
        assert_eq!(plain.set(first, last, s.shard, s.epoch, s.limit), moved);
        for (i, key) in model.iter().enumerate() {
            for at in [i as u64 * STEP, (i as u64 * STEP).saturating_add(STEP / 2)] {
                let piece = table.get(at);
                let expected = if at / STEP == i as u64 {
                    key
                } else {
                    &model[(at / STEP) as usize]
                };
                assert_eq!(
                    (piece.shard, piece.epoch),
                    *expected,
                    "at {at:x} after {s:?}"
                );
                assert!(piece.first <= at && at <= piece.last);
            }
        }
        let pieces: Vec<_> = table.iter().collect();
        assert_eq!(
            pieces,
            plain.iter().collect::<Vec<_>>(),
            "the plain table has the same pieces"
        );
        assert_eq!(pieces.len(), table.len());
        assert_eq!(
            (pieces[0].first, pieces[pieces.len() - 1].last),
            (0, u64::MAX),
            "all keys are covered"
        );
        for pair in pieces.windows(2) {
            assert_eq!(pair[0].last + 1, pair[1].first, "no gap and no overlap");
            assert!(
                (pair[0].shard, pair[0].epoch) != (pair[1].shard, pair[1].epoch),
                "what is alike is one piece"
            );
        }
    }
    true
}

quickcheck! {
    fn small_chunks_agree_with_the_model(sets: Vec<Set>) -> bool {
        agree::<3>(&sets) && agree::<2>(&sets)
    }

    fn one_flat_table_agrees_with_the_model(sets: Vec<Set>) -> bool {
        agree::<{ usize::MAX }>(&sets)
    }

    /// Whatever order changes come in, and however often, the same is known in the end.
    fn order_and_repetition_do_not_matter(sets: Vec<Set>, seed: u64) -> bool {
        let mut dice = fastrand::Rng::with_seed(seed);
        // Each epoch is one change, as the authority makes them.
        let changes: Vec<Set> = sets.iter().zip(1u64..).map(|(s, n)| Set { epoch: n, limit: n - 1, ..*s }).collect();
        let mut shuffled: Vec<Set> = changes.iter().chain(&changes).copied().collect();
        dice.shuffle(&mut shuffled);
        let play = |all: &[Set]| {
            let mut table = Ranges::<4>::new(0);
            for s in all {
                let (first, last) = span(s);
                table.set(first, last, s.shard, s.epoch, s.limit);
            }
            table.iter().collect::<Vec<_>>()
        };
        play(&changes) == play(&shuffled)
    }
}

#[test]
fn ends_of_the_key_space_and_empty_ranges() {
    let mut table = Ranges::<4>::new(7);
    assert!(
        !table.set(5, 4, Some(1), 9, 8),
        "a range that ends before it begins changes nothing"
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
        "older than all that is known"
    );
    assert!(table.set(0, u64::MAX, None, 11, 11) && table.len() == 1 && table.is_empty());
    assert!(table.fits(7 + u64::from(u32::MAX) - 1) && !table.fits(7 + u64::from(u32::MAX)));
}
