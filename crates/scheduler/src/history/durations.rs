//! How long work takes, learned from the runs that ended.
//!
//! The estimates of clients are rough. Per queue, the ratio of measured to estimated duration is averaged with
//! exponentially falling weights.

use lupinrack_cluster_api::identity::QueueName;
use std::collections::BTreeMap;

/// The weight of the newest run in the average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bounds on a ratio, so that single runs do not spoil the average.
const RATIO_LEAST: f64 = 0.2;
const RATIO_MOST: f64 = 6.0;
/// Queues that are remembered at most.
const QUEUES_MOST: usize = 4_096;

/// Learned ratios of measured to estimated duration.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    ratios: BTreeMap<QueueName, f64>,
}

impl Durations {
    /// Learns from a run that ended well after `actual_ms`; `expected_ms` is its client's estimate, times the factor for
    /// distance.
    pub fn learn(&mut self, queue: &QueueName, expected_ms: f64, actual_ms: u64) {
        if expected_ms < 1.0
            || (self.ratios.len() >= QUEUES_MOST && !self.ratios.contains_key(queue))
        {
            return;
        }
        let ratio = (actual_ms as f64 / expected_ms).clamp(RATIO_LEAST, RATIO_MOST);
        let average = self.ratios.entry(queue.clone()).or_insert(1.0);
        *average += NEWEST_WEIGHT * (ratio - *average);
    }

    /// The ratio by which an estimate of this queue is to be multiplied.
    pub fn ratio(&self, queue: &QueueName) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// The expected duration of work with this estimate, in milliseconds.
    pub fn expected_ms(&self, queue: &QueueName, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.ratio(queue)) as u64
    }
}
