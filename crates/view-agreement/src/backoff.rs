//! Random delays between the attempts of a proposer, so that two proposers do not keep overtaking
//! each other.

/// The upper bound of the first delay, in milliseconds; it doubles with each attempt.
const FIRST_DELAY_MS: u64 = 40;
/// How many times the upper bound doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// A source of random delays. Its seed is the incarnation of the process, which differs between
/// processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Backoff {
    /// The state of the generator.
    state: u64,
}

impl Backoff {
    pub(crate) fn new(incarnation: u64) -> Backoff {
        Backoff { state: incarnation }
    }

    /// The delay before the next attempt after this many attempts, in milliseconds.
    pub(crate) fn delay_ms(&mut self, attempts: u32) -> u64 {
        let bound = FIRST_DELAY_MS << attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        self.next_random() % bound + 1
    }

    /// The next number of the `SplitMix64` generator (Steele, Lea and Flood, OOPSLA 2014).
    fn next_random(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
