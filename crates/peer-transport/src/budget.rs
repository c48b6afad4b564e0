//! A budget for all datagrams that a front sends: datagrams of the whole socket, and datagrams and bytes of each protocol.
//!
//! The membership has the highest priority. A protocol of lower priority leaves a part of the burst to those above it. So a
//! protocol that floods delays only itself and those below it. Only the membership may use the whole burst.

use crate::frame::{Tag, MAX_DATAGRAM_BYTES};
use lupinrack_policy::Micros;

/// The burst, as seconds of the sustained rate.
const BURST_S: f64 = 0.25;
/// The part of the total rate that each protocol except the membership may use on average.
const PROTOCOL_SHARE: f64 = 0.5;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    per_s: f64,
    burst: f64,
    level: f64,
    filled_at: Micros,
}

impl TokenBucket {
    fn new(now: Micros, per_s: f64, min_burst: f64) -> TokenBucket {
        let burst = (per_s * BURST_S).max(min_burst);
        TokenBucket {
            per_s,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    fn fill(&mut self, now: Micros) {
        self.level =
            (self.level + self.per_s * (now - self.filled_at).max(0) as f64 / 1e6).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}

/// The budget of one front.
#[derive(Clone, Debug)]
pub struct Budget {
    total: TokenBucket,
    /// Datagrams and bytes of each protocol except the membership, by descending priority.
    protocols: Vec<(Tag, TokenBucket, TokenBucket)>,
}

impl Budget {
    /// A budget of this many datagrams per second in total.
    pub fn new(now: Micros, datagrams_per_s: f64) -> Budget {
        let lower_priority = Tag::ALL.iter().filter(|t| **t != Tag::MEMBERSHIP);
        let protocol_rate = datagrams_per_s * PROTOCOL_SHARE;
        let protocols = lower_priority.map(|t| {
            (
                *t,
                TokenBucket::new(now, protocol_rate, 1.0),
                TokenBucket::new(
                    now,
                    protocol_rate * MAX_DATAGRAM_BYTES as f64 * PROTOCOL_SHARE,
                    MAX_DATAGRAM_BYTES as f64,
                ),
            )
        });
        Budget {
            total: TokenBucket::new(now, datagrams_per_s, 1.0),
            protocols: protocols.collect(),
        }
    }

    /// The part of the total burst that is reserved for the protocols of higher priority than the one with this rank.
    fn reserved(&self, rank: usize) -> f64 {
        self.total.burst * rank as f64 / (self.protocols.len() + 1) as f64
    }

    /// Whether a protocol may send a datagram of this size now; if so, it is charged.
    pub fn try_take(&mut self, now: Micros, tag: Tag, bytes: usize) -> bool {
        self.total.fill(now);
        if tag == Tag::MEMBERSHIP {
            let allowed = self.total.level >= 1.0;
            self.total.level -= f64::from(u8::from(allowed));
            return allowed;
        }
        let Some(index) = self.protocols.iter().position(|p| p.0 == tag) else {
            return false;
        };
        let reserved = self.reserved(index + 1);
        let (_, datagram_bucket, byte_bucket) = &mut self.protocols[index];
        datagram_bucket.fill(now);
        byte_bucket.fill(now);
        let allowed = datagram_bucket.level >= 1.0
            && byte_bucket.level >= bytes as f64
            && self.total.level >= reserved + 1.0;
        if allowed {
            datagram_bucket.level -= 1.0;
            byte_bucket.level -= bytes as f64;
            self.total.level -= 1.0;
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Protocols of lower priority flood the socket; datagrams of the membership within its rate are still sent.
    #[test]
    fn flooding_protocol_never_delays_the_membership() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let per_s = f64::from(rng.u32(40..2_000));
            let mut budget = Budget::new(0, per_s);
            let (mut now, mut membership_due_at, mut sent) = (0, 0.0, 0u64);
            // The membership sends at nine tenths of the total rate, in bursts of up to two.
            while now < 5_000_000 {
                now += rng.i64(1..3_000);
                for tag in [Tag::STREAM, Tag::MISSING, Tag::OVERLOAD] {
                    while budget.try_take(now, tag, MAX_DATAGRAM_BYTES) {
                        sent += 1;
                    }
                }
                while membership_due_at < now as f64 {
                    membership_due_at += 1e6 / (per_s * 0.9);
                    assert!(
                        budget.try_take(now, Tag::MEMBERSHIP, MAX_DATAGRAM_BYTES),
                        "seed {seed} at {now}"
                    );
                    sent += 1;
                }
            }
            let max_sent = per_s * (now as f64 / 1e6) + per_s * BURST_S + 1.0;
            assert!(sent as f64 <= max_sent, "{sent} of {max_sent}");
        }
    }

    #[test]
    fn single_protocol_is_limited_to_its_share() {
        let mut budget = Budget::new(0, 400.0);
        let (mut long, mut short) = (0, 0);
        for now in (0..10_000_000).step_by(1_000) {
            long += u32::from(budget.try_take(now, Tag::OVERLOAD, MAX_DATAGRAM_BYTES));
            short += u32::from(budget.try_take(now, Tag::REGISTRY, 20));
        }
        // The limit on bytes allows long datagrams a quarter of the total rate; that on datagrams allows short ones a half.
        assert!(
            (900..=1_100).contains(&long) && (1_950..=2_060).contains(&short),
            "{long}, {short}"
        );
    }
}
