//! The cost of tasks, in fixed point.

/// The fixed-point scale of costs and tags. They are integers, so that sums are exact and equal tags compare as equal.
pub(crate) const MILLIONTHS: f64 = 1_000_000.0;
/// The largest cost, in units of capacity; larger ones are lowered to it. Even with the smallest
/// weight it stays far below the largest tag.
const MAX_COST_UNITS: f64 = 1e6;

/// A cost in millionths of a unit of capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cost(u64);

impl Cost {
    /// A cost in units of capacity, clamped to the range from 0 to [`MAX_COST_UNITS`]. NaN counts as 0,
    /// because the cast to an integer yields 0.
    pub(crate) fn from_units(units: f64) -> Self {
        Cost((units.clamp(0.0, MAX_COST_UNITS) * MILLIONTHS).round() as u64)
    }

    /// The cost in units of capacity.
    pub(crate) fn units(self) -> f64 {
        self.0 as f64 / MILLIONTHS
    }

    /// The sum of two costs.
    pub(crate) fn plus(self, other: Cost) -> Cost {
        Cost(self.0.saturating_add(other.0))
    }

    /// The difference of two costs, at least 0.
    pub(crate) fn minus(self, other: Cost) -> Cost {
        Cost(self.0.saturating_sub(other.0))
    }
}
