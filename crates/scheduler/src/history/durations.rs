//! The expected durations of work, learned from runs that have ended.
//!
//! The estimates of clients are rough. So an exponentially weighted moving average (EWMA) of the
//! ratio of measured to estimated duration is kept for each queue.

use lupinrack_cluster_api::identity::QueueName;
use std::collections::BTreeMap;

/// The weight of the newest run in the average.
const EWMA_WEIGHT: f64 = 0.1;
/// Bounds on the ratio of one run, so that an outlier does not distort the average.
const MIN_RATIO: f64 = 0.2;
const MAX_RATIO: f64 = 6.0;
/// The maximum number of queues with a learned ratio.
const MAX_QUEUES: usize = 4_096;

/// The learned ratios of measured to estimated duration, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct DurationModel {
    ratios: BTreeMap<QueueName, f64>,
}

impl DurationModel {
    /// Learns from a successful run. `estimated_ms` is its client's estimate times the factor for
    /// the distance to its data.
    pub(crate) fn learn(&mut self, queue: &QueueName, estimated_ms: f64, measured_ms: u64) {
        let is_full = self.ratios.len() >= MAX_QUEUES && !self.ratios.contains_key(queue);
        if estimated_ms < 1.0 || is_full {
            return;
        }
        let ratio = (measured_ms as f64 / estimated_ms).clamp(MIN_RATIO, MAX_RATIO);
        let ewma = self.ratios.entry(queue.clone()).or_insert(1.0);
        *ewma += EWMA_WEIGHT * (ratio - *ewma);
    }

    /// The factor by which estimates of this queue are multiplied.
    pub(crate) fn ratio(&self, queue: &QueueName) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// The expected duration of work with this estimate, in milliseconds.
    pub(crate) fn expected_ms(&self, queue: &QueueName, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.ratio(queue)) as u64
    }
}
