//! A set of fronts, by their index in the roster, as a fixed-size bit set.

use std::fmt;

/// The largest number of fronts in a roster.
pub const MAX_FRONTS: usize = 1024;
const WORD_COUNT: usize = MAX_FRONTS / 64;

/// A set of indexes below [`MAX_FRONTS`].
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FrontSet([u64; WORD_COUNT]);

impl FrontSet {
    /// All indexes below `n`.
    pub fn first_n(n: usize) -> FrontSet {
        (0..n.min(MAX_FRONTS)).map(|i| i as u16).collect()
    }

    /// Inserts an index; one that is not below [`MAX_FRONTS`] is ignored.
    pub fn insert(&mut self, i: u16) {
        if let Some(word) = self.0.get_mut(usize::from(i) / 64) {
            *word |= 1 << (i % 64);
        }
    }

    /// Removes an index.
    pub fn remove(&mut self, i: u16) {
        if let Some(word) = self.0.get_mut(usize::from(i) / 64) {
            *word &= !(1 << (i % 64));
        }
    }

    /// Whether the set contains an index.
    pub fn contains(&self, i: u16) -> bool {
        self.0
            .get(usize::from(i) / 64)
            .is_some_and(|w| w >> (i % 64) & 1 == 1)
    }

    /// The number of indexes.
    pub fn len(&self) -> usize {
        self.0.iter().map(|w| w.count_ones() as usize).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|w| *w == 0)
    }

    /// The indexes in at least one of the two sets.
    pub fn union(&self, other: &FrontSet) -> FrontSet {
        FrontSet(std::array::from_fn(|i| self.0[i] | other.0[i]))
    }

    /// The indexes in both sets.
    pub fn intersection(&self, other: &FrontSet) -> FrontSet {
        FrontSet(std::array::from_fn(|i| self.0[i] & other.0[i]))
    }

    /// The indexes in this set that are not in the other.
    pub fn difference(&self, other: &FrontSet) -> FrontSet {
        FrontSet(std::array::from_fn(|i| self.0[i] & !other.0[i]))
    }

    /// The indexes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u16> + '_ {
        self.0.iter().enumerate().flat_map(|(index, word)| {
            let mut remaining = *word;
            std::iter::from_fn(move || {
                let bit = remaining.trailing_zeros();
                remaining &= remaining.wrapping_sub(1);
                (bit < 64).then_some((index * 64) as u16 + bit as u16)
            })
        })
    }

    /// The index at this position in ascending order.
    pub fn nth(&self, position: usize) -> Option<u16> {
        let mut before = 0;
        for (index, word) in self.0.iter().enumerate() {
            let count = word.count_ones() as usize;
            if position < before + count {
                let mut remaining = *word;
                (before..position).for_each(|_| remaining &= remaining.wrapping_sub(1));
                return Some((index * 64) as u16 + remaining.trailing_zeros() as u16);
            }
            before += count;
        }
        None
    }

    /// Encodes the set for a roster of `n` fronts: one bit for each front, lowest bit first.
    pub fn to_bytes(&self, n: usize) -> impl Iterator<Item = u8> + '_ {
        (0..n.div_ceil(8)).map(|i| (self.0[i / 8] >> (i % 8 * 8)) as u8)
    }

    /// Decodes a set for a roster of `n` fronts; none if it contains an index that is not below `n`.
    pub fn from_bytes(bytes: &[u8], n: usize) -> Option<FrontSet> {
        let mut set = FrontSet::default();
        for (i, byte) in bytes.iter().enumerate() {
            *set.0.get_mut(i / 8)? |= u64::from(*byte) << (i % 8 * 8);
        }
        set.difference(&FrontSet::first_n(n))
            .is_empty()
            .then_some(set)
    }
}

impl FromIterator<u16> for FrontSet {
    fn from_iter<I: IntoIterator<Item = u16>>(indexes: I) -> FrontSet {
        let mut set = FrontSet::default();
        indexes.into_iter().for_each(|i| set.insert(i));
        set
    }
}

impl fmt::Debug for FrontSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter()).finish()
    }
}
