//! The arithmetic that all SWIM failure detectors of this workspace share: the local health score and the shortening of
//! suspicions of Lifeguard, and how often a piece of news is retransmitted.
//!
//! There is no roster here, no message and no clock; times are numbers in whatever unit the caller uses.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

/// The worst local health score.
pub const HEALTH_SCORE_WORST: u32 = 8;

/// How far a process trusts its own observations: 0 is well, and every unit makes its timeouts longer by once their
/// length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// The score, from 0 (well) to [`HEALTH_SCORE_WORST`].
    pub fn score(self) -> u32 {
        self.score
    }

    /// How many times longer than usual to wait.
    pub fn multiplier(self) -> u32 {
        1 + self.score
    }

    /// A probe was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Something happened that a slow or cut off process of its own would explain.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(HEALTH_SCORE_WORST);
    }
}

/// The number of members as it counts for the spreading of news: its common logarithm, and 1 at least.
pub fn size_factor(members: usize) -> f64 {
    (members as f64 + 1.0).log10().max(1.0)
}

/// How often a piece of news is sent on: `factor` times the size factor, and `least` at least.
pub fn transmission_limit(size_factor: f64, factor: f64, least: f64) -> u32 {
    (size_factor * factor).max(least).ceil() as u32
}

/// How many further suspicions of other members bring a suspicion to its least length: `wanted`, or as many as other
/// members can give.
pub fn confirmations_needed(wanted: usize, members: usize) -> usize {
    wanted.min(members.saturating_sub(2)).max(1)
}

/// How long a suspicion lasts: `ratio` times `least` while nobody else shares it, and less with every independent
/// `confirmation`, on a logarithmic scale, down to `least` with as many as are `needed`.
pub fn suspicion_timeout(least: f64, ratio: f64, confirmations: usize, needed: usize) -> f64 {
    let most = least * ratio;
    let part = (confirmations.min(needed) as f64 + 1.0).ln() / (needed as f64 + 1.0).ln();
    (most - (most - least) * part).max(least)
}
