//! What goes out in all, whatever is heard or asked for: datagrams of one socket, and datagrams and bytes of each machine.
//!
//! The membership comes first: whoever is behind it leaves a part of the burst to those before it, so that a machine that
//! floods holds back itself and those behind it, and nobody else. The membership alone may use the burst to its end.

use crate::frame::{Tag, LONGEST};
use lupinrack_policy::Micros;

/// How much of a second's worth may go at once.
const BURST_S: f64 = 0.25;
/// Of the whole, how much each machine but the membership may use in the long run.
const SHARE: f64 = 0.5;

/// Something that fills with time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    per_s: f64,
    most: f64,
    level: f64,
    at: Micros,
}

impl Bucket {
    fn new(now: Micros, per_s: f64, least: f64) -> Bucket {
        let most = (per_s * BURST_S).max(least);
        Bucket {
            per_s,
            most,
            level: most,
            at: now,
        }
    }

    fn fill(&mut self, now: Micros) {
        self.level = (self.level + self.per_s * (now - self.at).max(0) as f64 / 1e6).min(self.most);
        self.at = self.at.max(now);
    }
}

/// The budget of one front.
#[derive(Clone, Debug)]
pub struct Budget {
    whole: Bucket,
    /// Of each machine behind the membership, in the order of urgency: datagrams and bytes.
    own: Vec<(Tag, Bucket, Bucket)>,
}

impl Budget {
    /// So many datagrams a second in all.
    pub fn new(now: Micros, datagrams_per_s: f64) -> Budget {
        let behind = Tag::ALL.iter().filter(|t| **t != Tag::MEMBERSHIP);
        let each = datagrams_per_s * SHARE;
        let own = behind.map(|t| {
            (
                *t,
                Bucket::new(now, each, 1.0),
                Bucket::new(now, each * LONGEST as f64 * SHARE, LONGEST as f64),
            )
        });
        Budget {
            whole: Bucket::new(now, datagrams_per_s, 1.0),
            own: own.collect(),
        }
    }

    /// What of the burst is left to those before this place among all.
    fn kept(&self, place: usize) -> f64 {
        self.whole.most * place as f64 / (self.own.len() + 1) as f64
    }

    /// Whether a datagram of this machine, this long, may go now; it then counts.
    pub fn draw(&mut self, now: Micros, tag: Tag, bytes: usize) -> bool {
        self.whole.fill(now);
        if tag == Tag::MEMBERSHIP {
            let may = self.whole.level >= 1.0;
            self.whole.level -= f64::from(u8::from(may));
            return may;
        }
        let Some(at) = self.own.iter().position(|o| o.0 == tag) else {
            return false;
        };
        let kept = self.kept(at + 1);
        let (_, datagrams, size) = &mut self.own[at];
        datagrams.fill(now);
        size.fill(now);
        let may =
            datagrams.level >= 1.0 && size.level >= bytes as f64 && self.whole.level >= kept + 1.0;
        if may {
            datagrams.level -= 1.0;
            size.level -= bytes as f64;
            self.whole.level -= 1.0;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Others flood; what a machine before them wants within its part goes, the membership's always.
    #[test]
    fn whoever_floods_holds_back_nobody_before_it() {
        for seed in 0..200 {
            let mut dice = fastrand::Rng::with_seed(seed);
            let per_s = f64::from(dice.u32(40..2_000));
            let mut budget = Budget::new(0, per_s);
            let (mut now, mut at, mut sent) = (0, 0.0, 0u64);
            // The membership sends at nine tenths of the whole, in bunches of up to two.
            while now < 5_000_000 {
                now += dice.i64(1..3_000);
                for tag in [Tag::STREAM, Tag::MISSING, Tag::OVERLOAD] {
                    while budget.draw(now, tag, LONGEST) {
                        sent += 1;
                    }
                }
                while at < now as f64 {
                    at += 1e6 / (per_s * 0.9);
                    assert!(
                        budget.draw(now, Tag::MEMBERSHIP, LONGEST),
                        "seed {seed} at {now}"
                    );
                    sent += 1;
                }
            }
            let most = per_s * (now as f64 / 1e6) + per_s * BURST_S + 1.0;
            assert!(sent as f64 <= most, "{sent} of {most}");
        }
    }

    #[test]
    fn a_machine_alone_has_its_share_and_no_more() {
        let mut budget = Budget::new(0, 400.0);
        let (mut datagrams, mut short) = (0, 0);
        for now in (0..10_000_000).step_by(1_000) {
            datagrams += u32::from(budget.draw(now, Tag::OVERLOAD, LONGEST));
            short += u32::from(budget.draw(now, Tag::REGISTRY, 20));
        }
        // Bytes bound long ones to a quarter of the whole, datagrams short ones to a half.
        assert!(
            (900..=1_100).contains(&datagrams) && (1_950..=2_060).contains(&short),
            "{datagrams}, {short}"
        );
    }
}
