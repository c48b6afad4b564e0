//! The weights of dispatcher streams and the costs of tasks.

use crate::resources::dominant_share;
use lupinrack_cluster_api::job::Resources;
use std::collections::BTreeMap;

/// The minimum cost of a task, as a share of its server's capacity.
const MIN_COST: f64 = 1e-4;
/// The minimum weight of a stream.
const MIN_WEIGHT: f64 = 1e-6;
/// All priorities from this one on have the same weight.
const MAX_PRIORITY: u32 = 16;

/// The weights of the streams that have waiting work.
///
/// Each queue of the configuration is a stream. The weight of a priority is half of the next more
/// urgent one's, and the queues of one priority share it equally, so all weights add up to at most
/// 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamWeights {
    queues_of_priority: BTreeMap<u32, usize>,
}

impl StreamWeights {
    /// The weights for queues with these priorities. The iterator yields one priority for each
    /// queue.
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

    /// The weight of a queue with this priority.
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

/// The cost that a task is charged with: its dominant share of the server's capacity.
pub(crate) fn task_cost(needs: &Resources, capacity: &Resources) -> f64 {
    dominant_share(needs, capacity).clamp(MIN_COST, 1.0)
}
