//! Lifeguard's dynamic timeouts of suspicions.

/// How many confirmations by other members bring a suspicion to its shortest timeout: the configured number `wanted`, or
/// as many as there can be among this many members, of whom two are the suspect and the first to suspect it. At least 1.
pub fn confirmations_needed(wanted: usize, members: usize) -> usize {
    wanted.min(members.saturating_sub(2)).max(1)
}

/// The timeout of a suspicion, in the unit of `min_timeout`.
///
/// It is `ratio` times `min_timeout` while no other member confirms the suspicion. Every independent confirmation
/// shortens it, on a logarithmic scale, down to `min_timeout` with as many as are `needed`.
pub fn suspicion_timeout(min_timeout: f64, ratio: f64, confirmations: usize, needed: usize) -> f64 {
    let max_timeout = min_timeout * ratio;
    let progress = (confirmations.min(needed) as f64 + 1.0).ln() / (needed as f64 + 1.0).ln();
    (max_timeout - (max_timeout - min_timeout) * progress).max(min_timeout)
}
