//! How much of the capacity of all servers is in use.

use crate::placement::candidate::Candidate;
use crate::resources::{difference, sum};
use lupinrack_cluster_api::job::Resources;

/// Whether less than half of each resource of these servers is in use.
pub(crate) fn is_under_half_used(candidates: &[Candidate]) -> bool {
    let total = |amount: fn(&Candidate) -> Resources| {
        candidates
            .iter()
            .fold(Resources::default(), |total, candidate| {
                sum(&total, &amount(candidate))
            })
    };
    let capacity = total(|candidate| candidate.facts.capacity);
    let used = difference(&capacity, &total(|candidate| candidate.free));
    2 * used.cpu <= capacity.cpu
        && 2 * used.memory_mb <= capacity.memory_mb
        && 2 * used.gpu <= capacity.gpu
}
