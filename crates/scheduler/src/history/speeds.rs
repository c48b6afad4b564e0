//! How fast servers are, compared with what is expected of work.

use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// The weight of the newest run in the average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Bounds on the ratio of one run.
const MIN_RATIO: f64 = 0.3;
const MAX_RATIO: f64 = 8.0;
/// From this ratio on a server counts as slow: estimates are rough.
const SLOW_RATIO: f64 = 1.7;
/// In this time the distance of a ratio from 1 falls to a half, in milliseconds.
const HALF_TIME_MS: f64 = 10_000.0;

/// How many times as long as expected work took on a server, on average.
#[derive(Clone, Copy, Debug)]
struct Slowdown {
    ratio: f64,
    at: Millis,
}

impl Slowdown {
    /// The ratio now. It goes back towards 1 while nothing is learned.
    fn decayed(self, now: Millis) -> f64 {
        let halvings = now.since(self.at) as f64 / HALF_TIME_MS;
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(halvings)
    }
}

/// How fast servers are.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedHistory {
    servers: BTreeMap<ServerId, Slowdown>,
}

impl SpeedHistory {
    /// A run took `ratio` times as long as expected.
    pub(crate) fn record(&mut self, server: &ServerId, ratio: f64, now: Millis) {
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        let before = self.ratio(server, now);
        let slowdown = Slowdown {
            ratio: before + NEWEST_WEIGHT * (ratio - before),
            at: now,
        };
        self.servers.insert(server.clone(), slowdown);
    }

    /// How many times as long as expected work takes on a server; 1 unless the server counts as slow.
    pub(crate) fn slowdown(&self, server: &ServerId, now: Millis) -> f64 {
        let ratio = self.ratio(server, now);
        if ratio < SLOW_RATIO {
            1.0
        } else {
            ratio
        }
    }

    /// Forgets a server.
    pub(crate) fn forget_server(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    fn ratio(&self, server: &ServerId, now: Millis) -> f64 {
        self.servers
            .get(server)
            .map_or(1.0, |slowdown| slowdown.decayed(now))
    }
}
