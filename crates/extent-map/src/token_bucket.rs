//! A token bucket. Time is passed in, so it works on simulated time too.

use lupinrack_policy::Micros;

/// Limits how often something happens: `rate_per_s` in the mean, `burst` at once.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Micros, rate_per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate_per_s: rate_per_s.max(1e-6),
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            refilled_at: now,
        }
    }

    /// Takes a token if there is one.
    pub fn try_take(&mut self, now: Micros) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// The time from which on a token is available; `now` if there is one.
    pub fn next_token_at(&mut self, now: Micros) -> Micros {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        now + (missing / self.rate_per_s * 1e6).ceil() as Micros
    }

    /// Whether the bucket is full, so that dropping it and creating it later makes no difference.
    pub fn is_full(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.tokens >= self.burst
    }

    fn refill(&mut self, now: Micros) {
        self.tokens = (self.tokens
            + self.rate_per_s * (now - self.refilled_at).max(0) as f64 / 1e6)
            .min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
