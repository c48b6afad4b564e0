//! A seeded random number generator.

/// A small generator (xorshift*) whose sequence depends on the seed alone.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % bound
    }

    /// True in one of `times` calls on average.
    pub fn once_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}
