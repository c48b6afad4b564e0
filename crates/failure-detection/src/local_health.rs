//! Lifeguard's local health multiplier.

/// The worst local health score.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// How far a process trusts its own observations: Lifeguard's *local health multiplier*.
///
/// A score of 0 is good health. Every point adds the base length of a timeout to that timeout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// The score, from 0 (good) to [`MAX_HEALTH_SCORE`].
    pub fn score(self) -> u32 {
        self.score
    }

    /// The factor of timeouts over their base length, at least 1.
    pub fn multiplier(self) -> u32 {
        1 + self.score
    }

    /// Records that a ping was acknowledged: the score falls by one.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records an event that this process may have caused itself by being slow or partitioned, such as a ping that failed
    /// or a suspicion that it had to refute: the score rises by one.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_HEALTH_SCORE);
    }
}
