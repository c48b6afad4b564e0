//! A bucket of tokens on simulated or real microseconds.

use lupinrack_policy::Micros;

/// How many of something may happen: so many a second, and so many at once.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    have: f64,
    at: Micros,
}

impl Budget {
    /// Full at `now`: `rate` a second, `burst` at once.
    pub fn new(now: Micros, rate: f64, burst: f64) -> Budget {
        Budget {
            rate: rate.max(1e-6),
            burst: burst.max(1.0),
            have: burst.max(1.0),
            at: now,
        }
    }

    /// Takes one, where there is one.
    pub fn take(&mut self, now: Micros) -> bool {
        self.fill(now);
        let ready = self.have >= 1.0;
        if ready {
            self.have -= 1.0;
        }
        ready
    }

    /// When the next may be taken.
    pub fn next(&mut self, now: Micros) -> Micros {
        self.fill(now);
        let lacking = (1.0 - self.have).max(0.0);
        now + (lacking / self.rate * 1e6).ceil() as Micros
    }

    /// Whether nothing is missing, so that a new one would be the same.
    pub fn full(&mut self, now: Micros) -> bool {
        self.fill(now);
        self.have >= self.burst
    }

    fn fill(&mut self, now: Micros) {
        self.have = (self.have + self.rate * (now - self.at).max(0) as f64 / 1e6).min(self.burst);
        self.at = self.at.max(now);
    }
}
