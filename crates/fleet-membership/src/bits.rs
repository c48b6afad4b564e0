//! A set of fronts, by their index in the roster.

use std::fmt;

/// The most fronts of a roster.
pub const MOST: usize = 1024;
const WORDS: usize = MOST / 64;

/// A set of indexes below [`MOST`].
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Bits([u64; WORDS]);

impl Bits {
    /// All indexes below `n`.
    pub fn first(n: usize) -> Bits {
        (0..n.min(MOST)).map(|i| i as u16).collect()
    }

    /// Puts an index in; one beyond the bound is not there.
    pub fn insert(&mut self, i: u16) {
        if let Some(word) = self.0.get_mut(usize::from(i) / 64) {
            *word |= 1 << (i % 64);
        }
    }

    /// Takes an index out.
    pub fn remove(&mut self, i: u16) {
        if let Some(word) = self.0.get_mut(usize::from(i) / 64) {
            *word &= !(1 << (i % 64));
        }
    }

    /// Whether an index is in.
    pub fn has(&self, i: u16) -> bool {
        self.0
            .get(usize::from(i) / 64)
            .is_some_and(|w| w >> (i % 64) & 1 == 1)
    }

    /// How many are in.
    pub fn len(&self) -> usize {
        self.0.iter().map(|w| w.count_ones() as usize).sum()
    }

    /// Whether none is in.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|w| *w == 0)
    }

    /// What is in either.
    pub fn or(&self, other: &Bits) -> Bits {
        Bits(std::array::from_fn(|i| self.0[i] | other.0[i]))
    }

    /// What is in both.
    pub fn and(&self, other: &Bits) -> Bits {
        Bits(std::array::from_fn(|i| self.0[i] & other.0[i]))
    }

    /// What is in this one only.
    pub fn without(&self, other: &Bits) -> Bits {
        Bits(std::array::from_fn(|i| self.0[i] & !other.0[i]))
    }

    /// The indexes, in order.
    pub fn iter(&self) -> impl Iterator<Item = u16> + '_ {
        self.0.iter().enumerate().flat_map(|(at, word)| {
            let mut left = *word;
            std::iter::from_fn(move || {
                let bit = left.trailing_zeros();
                left &= left.wrapping_sub(1);
                (bit < 64).then_some((at * 64) as u16 + bit as u16)
            })
        })
    }

    /// The index at this place in their order.
    pub fn nth(&self, place: usize) -> Option<u16> {
        let mut before = 0;
        for (at, word) in self.0.iter().enumerate() {
            let here = word.count_ones() as usize;
            if place < before + here {
                let mut left = *word;
                (before..place).for_each(|_| left &= left.wrapping_sub(1));
                return Some((at * 64) as u16 + left.trailing_zeros() as u16);
            }
            before += here;
        }
        None
    }

    /// As bytes, for a roster of `n`.
    pub fn bytes(&self, n: usize) -> impl Iterator<Item = u8> + '_ {
        (0..n.div_ceil(8)).map(|i| (self.0[i / 8] >> (i % 8 * 8)) as u8)
    }

    /// From bytes, for a roster of `n`; none where an index beyond it is in.
    pub fn read(bytes: &[u8], n: usize) -> Option<Bits> {
        let mut bits = Bits::default();
        for (i, byte) in bytes.iter().enumerate() {
            *bits.0.get_mut(i / 8)? |= u64::from(*byte) << (i % 8 * 8);
        }
        bits.without(&Bits::first(n)).is_empty().then_some(bits)
    }
}

impl FromIterator<u16> for Bits {
    fn from_iter<I: IntoIterator<Item = u16>>(indexes: I) -> Bits {
        let mut bits = Bits::default();
        indexes.into_iter().for_each(|i| bits.insert(i));
        bits
    }
}

impl fmt::Debug for Bits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter()).finish()
    }
}
