//! How long work takes, learned from the runs that ended.
//!
//! The estimates of clients are rough. So the ratio of measured to estimated duration is averaged
//! for each queue, with exponentially falling weights.

use lupinrack_cluster_api::identity::QueueName;
use std::collections::BTreeMap;

/// The weight of the newest run in the average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bounds on the ratio of one run, so that single runs do not spoil the average.
const MIN_RATIO: f64 = 0.2;
const MAX_RATIO: f64 = 6.0;
/// The largest number of queues that are remembered.
const MAX_QUEUES: usize = 4_096;

/// Learned ratios of measured to estimated duration, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct DurationModel {
    ratios: BTreeMap<QueueName, f64>,
}

impl DurationModel {
    /// Learns from a run that ended well. `estimated_ms` is its client's estimate times the factor
    /// for the distance from its data.
    pub(crate) fn learn(&mut self, queue: &QueueName, estimated_ms: f64, measured_ms: u64) {
        let is_full = self.ratios.len() >= MAX_QUEUES && !self.ratios.contains_key(queue);
        if estimated_ms < 1.0 || is_full {
            return;
        }
        let ratio = (measured_ms as f64 / estimated_ms).clamp(MIN_RATIO, MAX_RATIO);
        let average = self.ratios.entry(queue.clone()).or_insert(1.0);
        *average += NEWEST_WEIGHT * (ratio - *average);
    }

    /// By which factor an estimate of this queue is to be multiplied.
    pub(crate) fn ratio(&self, queue: &QueueName) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// The expected duration of work with this estimate, in milliseconds.
    pub(crate) fn expected_ms(&self, queue: &QueueName, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.ratio(queue)) as u64
    }
}
