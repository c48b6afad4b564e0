//! The limit of transmissions per update.

/// The factor by which dissemination takes longer in a larger group: the common logarithm of `members + 1`, at least 1.
pub fn size_factor(members: usize) -> f64 {
    (members as f64 + 1.0).log10().max(1.0)
}

/// How many times each member transmits an update: `factor` times the [`size_factor`], at least `min`, rounded up.
pub fn transmission_limit(size_factor: f64, factor: f64, min: f64) -> u32 {
    (size_factor * factor).max(min).ceil() as u32
}
