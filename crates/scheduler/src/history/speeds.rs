//! The speeds of servers, relative to the expected durations of work.

use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// The weight of the newest run in the average.
const EWMA_WEIGHT: f64 = 0.2;
/// Bounds on the ratio of one run.
const MIN_RATIO: f64 = 0.3;
const MAX_RATIO: f64 = 8.0;
/// The ratio from which a server counts as slow. It is far above 1 because estimates are rough.
const SLOW_RATIO: f64 = 1.7;
/// The half-life of the difference between a ratio and 1, in milliseconds.
const RATIO_HALF_LIFE_MS: f64 = 10_000.0;

/// The moving average of the ratio of actual to expected duration on one server.
#[derive(Clone, Copy, Debug)]
struct Slowdown {
    ratio: f64,
    at: Millis,
}

impl Slowdown {
    /// The ratio now. It decays towards 1 while no runs are recorded.
    fn decayed(self, now: Millis) -> f64 {
        let half_lives = now.since(self.at) as f64 / RATIO_HALF_LIFE_MS;
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(half_lives)
    }
}

/// The slowdowns of servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedHistory {
    servers: BTreeMap<ServerId, Slowdown>,
}

impl SpeedHistory {
    /// Records a run that took `ratio` times as long as expected.
    pub(crate) fn record(&mut self, server: &ServerId, ratio: f64, now: Millis) {
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        let before = self.ratio(server, now);
        let slowdown = Slowdown {
            ratio: before + EWMA_WEIGHT * (ratio - before),
            at: now,
        };
        self.servers.insert(server.clone(), slowdown);
    }

    /// The ratio of actual to expected duration of work on a server; 1 unless the server counts as
    /// slow.
    pub(crate) fn slowdown(&self, server: &ServerId, now: Millis) -> f64 {
        let ratio = self.ratio(server, now);
        if ratio < SLOW_RATIO {
            1.0
        } else {
            ratio
        }
    }

    pub(crate) fn remove_server(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    fn ratio(&self, server: &ServerId, now: Millis) -> f64 {
        self.servers
            .get(server)
            .map_or(1.0, |slowdown| slowdown.decayed(now))
    }
}
