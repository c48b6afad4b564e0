//! One kind of part: a whole that is shared out by view and lease, with a reserve.
//!
//! A [`Share`] says how much of its even part a front may use, and until when; at every moment the shares of all fronts add up to
//! their number at the most (`docs/design/membership.md`). A [`Purse`] is what a front may draw of a whole that fills with time: limits on
//! attempts past the first, trials, connections, calls. Its laws, tested over random schedules of shares:
//!
//! 1. What all fronts draw within any span is at most the whole's burst and what it fills in that span.
//! 2. What a front may draw is checked at the moment of the act, on its own clock: a share that ended meanwhile is the reserve.
//! 3. What was due before a share changed was due by the old one; nothing that was not due is ever made up for.
//!
//! ```
//! use lupinrack_fleet_membership::part::{factor, Purse, Share, Whole};
//!
//! // One of five fronts; two of the others are gone for certain, and nobody ever takes a reserve of 0.15.
//! let share = Share { until: 2_000_000, held: factor(5.0, 2.0, 0.15), reserve: 0.15 };
//! let mut purse = Purse::new(0, Whole { per_s: 50.0, burst: 25.0, fronts: 5 }, share);
//! assert!(purse.draw(1_000_000, &share, 7.0));
//! // Past its lease it has its reserve, whatever it held.
//! assert!(!purse.draw(2_000_000, &share, 5.0));
//! ```

use lupinrack_policy::Micros;

/// How many times its even part a front may use of a volume that works through `hosts` fronts, `gone` of which surely use
/// nothing but their reserve: those that are left share out evenly what is free.
pub fn factor(hosts: f64, gone: f64, reserve: f64) -> f64 {
    if gone <= 0.0 || gone >= hosts {
        return 1.0;
    }
    1.0 + gone * (1.0 - reserve.clamp(0.0, 1.0)) / (hosts - gone)
}

/// How much a front may use of what is shared, times its even part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Until this reading of the front's own clock, exclusive, it holds what it holds; from it on, the reserve.
    pub until: Micros,
    /// What it holds.
    pub held: f64,
    /// What it may use whatever happens; 0 where even that is not certain.
    pub reserve: f64,
}

impl Share {
    /// What may be used at a moment.
    pub fn at(&self, now: Micros) -> f64 {
        if now < self.until {
            self.held
        } else {
            self.reserve
        }
    }
}

/// Something that all fronts together may use: so much a second, and so much at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Whole {
    /// What it fills by in a second.
    pub per_s: f64,
    /// The most that is there at once.
    pub burst: f64,
    /// Among how many fronts it is shared out.
    pub fronts: u16,
}

/// One front's part of a whole, empty at first: its last life may have drawn all.
#[derive(Clone, Debug, PartialEq)]
pub struct Purse {
    whole: Whole,
    level: f64,
    at: Micros,
    /// The share that holds since then.
    share: Share,
}

impl Purse {
    /// Empty, filling by this share from now on.
    pub fn new(now: Micros, whole: Whole, share: Share) -> Purse {
        Purse {
            whole,
            level: 0.0,
            at: now,
            share,
        }
    }

    /// Another whole under the same name: nothing more is there at once than either allows.
    pub fn resize(&mut self, now: Micros, whole: Whole) {
        let share = self.share;
        self.fill(now, &share);
        self.whole = whole;
        self.cap(now);
    }

    fn even(&self, of: f64) -> f64 {
        of / f64::from(self.whole.fronts.max(1))
    }

    fn cap(&mut self, now: Micros) {
        self.level = self
            .level
            .min(self.even(self.whole.burst) * self.share.at(now));
    }

    /// Fills by the share that held until now, and goes by another from now on.
    fn fill(&mut self, now: Micros, share: &Share) {
        let (from, old) = (self.at, self.share);
        if now > from {
            let held = (old.until.clamp(from, now) - from) as f64 / 1e6;
            let after = (now - from) as f64 / 1e6 - held;
            let (per_s, burst) = (self.even(self.whole.per_s), self.even(self.whole.burst));
            if held > 0.0 {
                self.level = (self.level + per_s * old.held * held).min(burst * old.held);
            }
            if after > 0.0 {
                self.level = self.level.min(burst * old.reserve);
                self.level = (self.level + per_s * old.reserve * after).min(burst * old.reserve);
            }
            self.at = now;
        }
        self.share = *share;
        self.cap(now);
    }

    /// What may be drawn now.
    pub fn level(&mut self, now: Micros, share: &Share) -> f64 {
        self.fill(now, share);
        self.level
    }

    /// Draws so much, if it is there under this share at this moment.
    pub fn draw(&mut self, now: Micros, share: &Share, units: f64) -> bool {
        self.fill(now, share);
        let there = self.level >= units;
        self.level -= if there { units } else { 0.0 };
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Fronts draw all they can, at moments by chance, while shares move among them: never more than the number of fronts together.
    /// `late`: a planted fault, a front that goes by the share it has now for the time since its last look.
    fn over(seed: u64, late: bool) -> f64 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let n = dice.u16(2..9);
        let whole = Whole {
            per_s: f64::from(dice.u32(1..200)),
            burst: f64::from(dice.u32(1..100)),
            fronts: n,
        };
        let mut purses: Vec<Purse> = (0..n)
            .map(|_| Purse::new(0, whole, Share::default()))
            .collect();
        let mut shares = vec![Share::default(); usize::from(n)];
        let (mut now, mut drawn): (Micros, Vec<(Micros, f64)>) = (0, Vec::new());
        while now < 8_000_000 {
            now += dice.i64(1..60_000);
            // Whoever holds no lease any more may have had it taken by another.
            let at = usize::from(dice.u16(0..n));
            if dice.u32(0..8) == 0 {
                let others: f64 = (0..usize::from(n))
                    .filter(|o| *o != at)
                    .map(|o| shares[o].held.max(0.1))
                    .sum();
                let room = (f64::from(n) - others).max(0.1);
                let held = 0.1 + (room - 0.1) * dice.f64();
                // A share that is out cannot be called back: it ends by itself, and only then falls.
                if now >= shares[at].until || held > shares[at].held {
                    shares[at] = Share {
                        until: now + dice.i64(1..900_000),
                        held,
                        reserve: 0.1,
                    };
                }
            }
            for s in shares.iter_mut().filter(|s| now >= s.until) {
                s.held = s.reserve;
            }
            let at = usize::from(dice.u16(0..n));
            if late {
                let p = &mut purses[at];
                (p.share, p.share.until) = (shares[at], p.share.until.max(shares[at].until));
            }
            let there = purses[at].level(now, &shares[at]);
            let units = if dice.bool() {
                there
            } else {
                there * dice.f64()
            };
            if units > 0.0 && purses[at].draw(now, &shares[at], units) {
                drawn.push((now, units));
            }
        }
        // A bucket of the whole, apart from the code above.
        let (mut level, mut last, mut worst) = (whole.burst, 0, 0.0_f64);
        for (at, units) in drawn {
            level = (level + whole.per_s * (at - last) as f64 / 1e6).min(whole.burst) - units;
            (last, worst) = (at, worst.max(-level));
        }
        worst
    }

    #[test]
    fn parts_never_add_up_past_the_whole_whoever_loses_a_share() {
        for seed in 0..3_000 {
            let by = over(seed, false);
            assert!(by < 1e-6, "seed {seed}: {by} over");
        }
    }

    #[test]
    fn a_share_that_counts_for_the_time_before_it_breaks_the_law() {
        let broken = (0..3_000).filter(|seed| over(*seed, true) > 1e-3).count();
        assert!(broken > 0, "the check finds nothing");
    }

    #[test]
    fn a_purse_that_slept_past_its_lease_wakes_with_the_reserve() {
        let share = Share {
            until: 1_000_000,
            held: 2.0,
            reserve: 0.1,
        };
        let mut purse = Purse::new(
            0,
            Whole {
                per_s: 30.0,
                burst: 30.0,
                fronts: 3,
            },
            share,
        );
        assert!((purse.level(900_000, &share) - 18.0).abs() < 1e-9);
        assert!((purse.level(9_000_000, &share) - 1.0).abs() < 1e-9);
    }
}
