//! How often an update is transmitted.

/// The factor by which the number of members lengthens what spreads from one to another: its common logarithm, and at
/// least 1.
pub fn size_factor(members: usize) -> f64 {
    (members as f64 + 1.0).log10().max(1.0)
}

/// How many times each member transmits an update: `factor` times the [`size_factor`], rounded up, and at least `min` times.
pub fn transmission_limit(size_factor: f64, factor: f64, min: f64) -> u32 {
    (size_factor * factor).max(min).ceil() as u32
}
