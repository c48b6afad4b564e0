//! The share of a front in a limit of the whole fleet, and a token bucket that fills by it.
//!
//! A [`Share`] is how many times its even share a front may use, and until when. At any moment the shares of all fronts add up to
//! at most their number (`docs/design/membership.md`). A [`TokenBucket`] is what a front may take of a [`FleetLimit`], which
//! fills with time: limits on retries and hedges, health probes, connections, calls. Its invariants, tested over random
//! schedules of shares:
//!
//! 1. Within any time span all fronts together take at most the burst of the limit and what it fills by in that span.
//! 2. What a front may take is checked when it takes it, on its own clock: a share that has expired by then is the reserve.
//! 3. Time before a share changed fills the bucket by the old share; a larger share later never makes up for it.
//!
//! ```
//! use lupinrack_fleet_membership::share::{share_factor, FleetLimit, Share, TokenBucket};
//!
//! // One of five fronts; two of the others are surely gone, and the reserve of 0.15 of each front is never taken over.
//! let share = Share { valid_until: 2_000_000, leased: share_factor(5.0, 2.0, 0.15), reserve: 0.15 };
//! let mut bucket = TokenBucket::new(0, FleetLimit { per_s: 50.0, burst: 25.0, fronts: 5 }, share);
//! assert!(bucket.try_take(1_000_000, &share, 7.0));
//! // After its lease the front has its reserve, whatever the bucket contained.
//! assert!(!bucket.try_take(2_000_000, &share, 5.0));
//! ```

use lupinrack_policy::Micros;

/// How many times its even share a front may use of a volume whose requests are spread over `hosts` fronts, if `gone` of them
/// surely use no more than their reserve: the remaining fronts share evenly what these leave.
pub fn share_factor(hosts: f64, gone: f64, reserve: f64) -> f64 {
    if gone <= 0.0 || gone >= hosts {
        return 1.0;
    }
    1.0 + gone * (1.0 - reserve.clamp(0.0, 1.0)) / (hosts - gone)
}

/// How much a front may use of a shared limit, as a multiple of its even share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// When `leased` ends, exclusive, on this front's clock; from then on the front has `reserve`.
    pub valid_until: Micros,
    /// What it may use under its lease.
    pub leased: f64,
    /// What it may use without a lease; 0 where even that is not safe.
    pub reserve: f64,
}

impl Share {
    /// What may be used at a moment.
    pub fn at(&self, now: Micros) -> f64 {
        if now < self.valid_until {
            self.leased
        } else {
            self.reserve
        }
    }
}

/// A limit on what all fronts use together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimit {
    /// Tokens that it fills by in a second.
    pub per_s: f64,
    /// The most tokens that it contains.
    pub burst: f64,
    /// The fronts that share it.
    pub fronts: u16,
}

/// One front's share of a limit as a token bucket. It starts empty, since the previous process incarnation may have taken all.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    limit: FleetLimit,
    level: f64,
    filled_at: Micros,
    /// The share that applies since then.
    share: Share,
}

impl TokenBucket {
    /// An empty bucket that fills by this share from `now` on.
    pub fn new(now: Micros, limit: FleetLimit, share: Share) -> TokenBucket {
        TokenBucket {
            limit,
            level: 0.0,
            filled_at: now,
            share,
        }
    }

    /// Changes the limit. The bucket contains no more than either the old or the new one allows.
    pub fn resize(&mut self, now: Micros, limit: FleetLimit) {
        let share = self.share;
        self.fill(now, &share);
        self.limit = limit;
        self.cap(now);
    }

    fn even_share(&self, of: f64) -> f64 {
        of / f64::from(self.limit.fronts.max(1))
    }

    fn cap(&mut self, now: Micros) {
        self.level = self
            .level
            .min(self.even_share(self.limit.burst) * self.share.at(now));
    }

    /// Fills by the share that applied until now, then changes to the given one.
    fn fill(&mut self, now: Micros, share: &Share) {
        let (from, old) = (self.filled_at, self.share);
        if now > from {
            let leased_s = (old.valid_until.clamp(from, now) - from) as f64 / 1e6;
            let reserve_s = (now - from) as f64 / 1e6 - leased_s;
            let (per_s, burst) = (
                self.even_share(self.limit.per_s),
                self.even_share(self.limit.burst),
            );
            if leased_s > 0.0 {
                self.level = (self.level + per_s * old.leased * leased_s).min(burst * old.leased);
            }
            if reserve_s > 0.0 {
                self.level = self.level.min(burst * old.reserve);
                self.level =
                    (self.level + per_s * old.reserve * reserve_s).min(burst * old.reserve);
            }
            self.filled_at = now;
        }
        self.share = *share;
        self.cap(now);
    }

    /// How many tokens may be taken now.
    pub fn level(&mut self, now: Micros, share: &Share) -> f64 {
        self.fill(now, share);
        self.level
    }

    /// Takes tokens if the bucket contains that many under this share now.
    pub fn try_take(&mut self, now: Micros, share: &Share, tokens: f64) -> bool {
        self.fill(now, share);
        let sufficient = self.level >= tokens;
        self.level -= if sufficient { tokens } else { 0.0 };
        sufficient
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// By how much all fronts together exceed the limit when each takes what it can at random times while shares move among them.
    ///
    /// `inject_fault` has a bucket fill by its new share for the time since it was last used.
    fn excess(seed: u64, inject_fault: bool) -> f64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fronts = rng.u16(2..9);
        let limit = FleetLimit {
            per_s: f64::from(rng.u32(1..200)),
            burst: f64::from(rng.u32(1..100)),
            fronts,
        };
        let mut buckets: Vec<TokenBucket> = (0..fronts)
            .map(|_| TokenBucket::new(0, limit, Share::default()))
            .collect();
        let mut shares = vec![Share::default(); usize::from(fronts)];
        let (mut now, mut taken): (Micros, Vec<(Micros, f64)>) = (0, Vec::new());
        while now < 8_000_000 {
            now += rng.i64(1..60_000);
            // The share of a front without a lease may have been taken over by another.
            let front = usize::from(rng.u16(0..fronts));
            if rng.u32(0..8) == 0 {
                let others: f64 = (0..usize::from(fronts))
                    .filter(|other| *other != front)
                    .map(|other| shares[other].leased.max(0.1))
                    .sum();
                let available = (f64::from(fronts) - others).max(0.1);
                let leased = 0.1 + (available - 0.1) * rng.f64();
                // A granted share cannot be revoked: it falls only after it has expired.
                if now >= shares[front].valid_until || leased > shares[front].leased {
                    shares[front] = Share {
                        valid_until: now + rng.i64(1..900_000),
                        leased,
                        reserve: 0.1,
                    };
                }
            }
            for share in shares.iter_mut().filter(|s| now >= s.valid_until) {
                share.leased = share.reserve;
            }
            let front = usize::from(rng.u16(0..fronts));
            if inject_fault {
                let bucket = &mut buckets[front];
                (bucket.share, bucket.share.valid_until) = (
                    shares[front],
                    bucket.share.valid_until.max(shares[front].valid_until),
                );
            }
            let level = buckets[front].level(now, &shares[front]);
            let tokens = if rng.bool() { level } else { level * rng.f64() };
            if tokens > 0.0 && buckets[front].try_take(now, &shares[front], tokens) {
                taken.push((now, tokens));
            }
        }
        // The oracle: one bucket for the whole limit, independent of the code above.
        let (mut level, mut last, mut worst) = (limit.burst, 0, 0.0_f64);
        for (at, tokens) in taken {
            level = (level + limit.per_s * (at - last) as f64 / 1e6).min(limit.burst) - tokens;
            (last, worst) = (at, worst.max(-level));
        }
        worst
    }

    #[test]
    fn all_fronts_together_stay_within_the_limit_while_shares_move() {
        for seed in 0..3_000 {
            let by = excess(seed, false);
            assert!(by < 1e-6, "seed {seed}: limit exceeded by {by}");
        }
    }

    #[test]
    fn a_share_applied_to_the_time_before_it_exceeds_the_limit() {
        let found = (0..3_000).filter(|seed| excess(*seed, true) > 1e-3).count();
        assert!(found > 0, "the injected fault is not found");
    }

    #[test]
    fn a_bucket_unused_past_its_lease_has_the_reserve() {
        let share = Share {
            valid_until: 1_000_000,
            leased: 2.0,
            reserve: 0.1,
        };
        let mut bucket = TokenBucket::new(
            0,
            FleetLimit {
                per_s: 30.0,
                burst: 30.0,
                fronts: 3,
            },
            share,
        );
        assert!((bucket.level(900_000, &share) - 18.0).abs() < 1e-9);
        assert!((bucket.level(9_000_000, &share) - 1.0).abs() < 1e-9);
    }
}
