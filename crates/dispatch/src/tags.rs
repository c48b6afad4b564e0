//! Tags, and the rule that sets them.

/// Tags and units are kept in millionths, as integers, so that sums are exact and ties are real.
const SCALE: f64 = 1_000_000.0;
/// The least weight that is reckoned with.
const LEAST_WEIGHT: f64 = 1e-4;
/// The largest cost that is reckoned with, in units; with the least weight it is far from the end of the tags.
const LARGEST_COST: f64 = 1e6;

/// A point on the virtual time of one server, in millionths of a unit of capacity per weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

/// The tags of a waiting task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tags {
    /// `S`: the order in which tasks are released.
    pub start: Tag,
    /// `F`: what the stream's next task on the same server builds on.
    pub finish: Tag,
}

/// Units of capacity, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Units(u64);

impl Units {
    /// The cost of a task, bounded; the cast turns what is no number into zero.
    pub(crate) fn of_cost(units: f64) -> Self {
        Units((units.clamp(0.0, LARGEST_COST) * SCALE).round() as u64)
    }

    pub(crate) fn as_f64(self) -> f64 {
        self.0 as f64 / SCALE
    }

    pub(crate) fn plus(self, other: Units) -> Units {
        Units(self.0.saturating_add(other.0))
    }

    pub(crate) fn minus(self, other: Units) -> Units {
        Units(self.0.saturating_sub(other.0))
    }
}

impl Tag {
    /// This tag and what `units` cost a stream of this weight.
    fn plus(self, units: f64, weight: f64) -> Tag {
        Tag(self
            .0
            .saturating_add((units / weight * SCALE).round() as u64))
    }
}

/// A weight between the least one and 1; what is no positive number counts as 1.
pub(crate) fn valid_weight(weight: f64) -> f64 {
    if weight > 0.0 {
        weight.clamp(LEAST_WEIGHT, 1.0)
    } else {
        1.0
    }
}

/// The tags of a task: `S = max(v, F_prev + delay / φ)`, `F = S + cost / φ`.
pub(crate) fn tags(
    virtual_time: Tag,
    previous_finish: Tag,
    delay: f64,
    cost: f64,
    weight: f64,
) -> Tags {
    let start = virtual_time.max(previous_finish.plus(delay, weight));
    Tags {
        start,
        finish: start.plus(cost, weight),
    }
}
