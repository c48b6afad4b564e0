//! What the streams of the dispatcher weigh, and what tasks cost.

use crate::resources::dominant_share;
use lupinrack_cluster_api::job::Resources;
use std::collections::BTreeMap;

/// The smallest cost of a task, as a part of its server.
const MIN_COST: f64 = 1e-4;
/// The smallest weight of a stream.
const MIN_WEIGHT: f64 = 1e-6;
/// Priorities from this one on weigh the same.
const MAX_PRIORITY: u32 = 16;

/// The weights of the streams that have work now.
///
/// A queue of the configuration is a stream. The weight halves with each priority and is shared by
/// the queues of one priority, so that all weights add up to at most 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamWeights {
    queues_of_priority: BTreeMap<u32, usize>,
}

impl StreamWeights {
    /// The weights for these queues, each of which is given once by its priority.
    pub(crate) fn new(priorities: impl Iterator<Item = u32>) -> StreamWeights {
        let mut weights = StreamWeights::default();
        for priority in priorities {
            *weights
                .queues_of_priority
                .entry(priority.min(MAX_PRIORITY))
                .or_insert(0) += 1;
        }
        weights
    }

    /// The weight of a queue of this priority.
    pub(crate) fn weight(&self, priority: u32) -> f64 {
        let priority = priority.min(MAX_PRIORITY);
        let queues = self
            .queues_of_priority
            .get(&priority)
            .copied()
            .unwrap_or(1)
            .max(1);
        (0.5_f64.powi(priority as i32 + 1) / queues as f64).max(MIN_WEIGHT)
    }
}

/// What a task costs its stream: the largest part that it takes of any resource of its server.
pub(crate) fn task_cost(needs: &Resources, capacity: &Resources) -> f64 {
    dominant_share(needs, capacity).clamp(MIN_COST, 1.0)
}
