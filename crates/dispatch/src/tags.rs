//! Start and finish tags, and their formula.

use crate::cost::MILLIONTHS;

/// The smallest weight; smaller ones are raised to it.
const MIN_WEIGHT: f64 = 1e-4;

/// A point on the virtual time of one server, in millionths of a unit of capacity per weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

/// The tags of a queued task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tags {
    /// `S`: tasks are released in this order.
    pub start: Tag,
    /// `F`: the start tag of the stream's next task on the same server is derived from it.
    pub finish: Tag,
}

impl Tag {
    /// This tag plus `units / weight`.
    fn plus(self, units: f64, weight: f64) -> Tag {
        Tag(self
            .0
            .saturating_add((units / weight * MILLIONTHS).round() as u64))
    }
}

impl Tags {
    /// `S = max(v, F_prev + delay / φ)`, `F = S + cost / φ`, where `v` is the server's virtual time and
    /// `F_prev` the finish tag of the stream's previous task there.
    pub(crate) fn new(virtual_time: Tag, previous_finish: Tag, load: Load) -> Tags {
        let start = virtual_time.max(previous_finish.plus(load.delay, load.weight));
        Tags {
            start,
            finish: start.plus(load.cost, load.weight),
        }
    }
}

/// The delay, cost and weight from which the tags of a task are computed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// The delay ([`hybrid_delay`](crate::hybrid_delay)), in units of capacity.
    pub(crate) delay: f64,
    /// The cost of the task, in units of capacity.
    pub(crate) cost: f64,
    /// The weight of the stream.
    pub(crate) weight: f64,
}

/// A weight clamped to the range from [`MIN_WEIGHT`] to 1. A weight that is not a positive number
/// counts as 1.
pub(crate) fn valid_weight(weight: f64) -> f64 {
    if weight > 0.0 {
        weight.clamp(MIN_WEIGHT, 1.0)
    } else {
        1.0
    }
}
