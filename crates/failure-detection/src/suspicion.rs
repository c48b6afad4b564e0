//! Lifeguard's dynamic suspicion timeouts.

/// The number of confirmations by other members that reduce a suspicion to its shortest timeout: the configured number
/// `configured`, limited to the members other than the suspect and the first member to suspect it, and at least 1.
pub fn confirmations_needed(configured: usize, members: usize) -> usize {
    configured.min(members.saturating_sub(2)).max(1)
}

/// The timeout of a suspicion, in the unit of `min_timeout`.
///
/// It is `ratio` times `min_timeout` while no other member confirms the suspicion. Every independent confirmation
/// shortens it on a logarithmic scale, down to `min_timeout` at `needed` confirmations.
pub fn suspicion_timeout(min_timeout: f64, ratio: f64, confirmations: usize, needed: usize) -> f64 {
    let max_timeout = min_timeout * ratio;
    let progress = (confirmations.min(needed) as f64 + 1.0).ln() / (needed as f64 + 1.0).ln();
    (max_timeout - (max_timeout - min_timeout) * progress).max(min_timeout)
}
