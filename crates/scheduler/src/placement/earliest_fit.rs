//! Finds the earliest time at which several tasks can start together, and on which servers.

use crate::placement::candidate::FreedCapacity;
use crate::resources::{fitting_count, sum};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;
use std::cmp::Reverse;

/// Tasks that have to start together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskGroup {
    /// The needs of each task.
    pub(crate) needs: Resources,
    /// The number of tasks.
    pub(crate) count: u64,
}

/// The number of tasks allocated to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Allocation {
    /// The index of the candidate in the round.
    pub(crate) candidate: usize,
    /// The number of tasks.
    pub(crate) count: u64,
}

/// The earliest time at which candidates have capacity for a group of tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EarliestFit {
    /// When the capacity is available.
    pub(crate) at: Millis,
    /// How the tasks are distributed over the candidates at that time.
    pub(crate) allocations: Vec<Allocation>,
}

/// The free capacity of candidates, now and in the future.
pub(crate) struct CapacitySupply<'a, F, G> {
    /// The indices of the candidates to consider.
    pub(crate) chosen: &'a [usize],
    /// Returns the capacity of a candidate that is free now, by the candidate's index.
    pub(crate) free: G,
    /// Returns when the runs of a candidate free capacity, soonest first, by the candidate's index.
    pub(crate) freed: F,
}

/// Capacity that becomes free on the candidate at this position in `chosen`.
#[derive(Clone, Copy, Debug)]
struct FreedEvent {
    at: Millis,
    position: usize,
    amount: Resources,
}

/// The earliest time at which the chosen candidates have capacity for all tasks of the group at
/// once; `None` if the known ends of runs do not free enough. `max_tasks_on` limits the number of
/// tasks of the group on each candidate.
pub(crate) fn earliest_fit<'a, F: Fn(usize) -> &'a [FreedCapacity], G: Fn(usize) -> Resources>(
    supply: &CapacitySupply<'a, F, G>,
    group: &TaskGroup,
    max_tasks_on: impl Fn(usize) -> u64,
    now: Millis,
) -> Option<EarliestFit> {
    let chosen = supply.chosen;
    let count_in = |position: usize, free: &Resources| {
        fitting_count(&group.needs, free, max_tasks_on(chosen[position]))
    };
    let mut free: Vec<Resources> = chosen
        .iter()
        .map(|candidate| (supply.free)(*candidate))
        .collect();
    let mut counts: Vec<u64> = free
        .iter()
        .enumerate()
        .map(|(position, free)| count_in(position, free))
        .collect();
    let mut total: u64 = counts.iter().sum();
    let mut at = now;
    if total < group.count {
        let mut events = freed_in_order(supply).into_iter();
        while total < group.count {
            let event = events.next()?;
            let position = event.position;
            free[position] = sum(&free[position], &event.amount);
            total -= counts[position];
            counts[position] = count_in(position, &free[position]);
            total += counts[position];
            at = event.at;
        }
    }
    Some(EarliestFit {
        at,
        allocations: allocate(chosen, &counts, group.count),
    })
}

/// The times at which capacity of the chosen candidates becomes free, soonest first.
fn freed_in_order<'a, F: Fn(usize) -> &'a [FreedCapacity], G>(
    supply: &CapacitySupply<'a, F, G>,
) -> Vec<FreedEvent> {
    let mut events = Vec::new();
    for (position, candidate) in supply.chosen.iter().enumerate() {
        let freed = (supply.freed)(*candidate).iter();
        events.extend(freed.map(|freed| FreedEvent {
            at: freed.at,
            position,
            amount: freed.amount,
        }));
    }
    events.sort_by_key(|event| (event.at, event.position));
    events
}

/// Distributes tasks over few candidates: those with capacity for the most tasks are filled first.
fn allocate(chosen: &[usize], counts: &[u64], wanted: u64) -> Vec<Allocation> {
    let mut allocations: Vec<Allocation> = chosen
        .iter()
        .zip(counts)
        .map(|(candidate, count)| Allocation {
            candidate: *candidate,
            count: *count,
        })
        .collect();
    allocations.sort_by_key(|allocation| (Reverse(allocation.count), allocation.candidate));
    let mut remaining = wanted;
    for allocation in &mut allocations {
        allocation.count = allocation.count.min(remaining);
        remaining -= allocation.count;
    }
    allocations.retain(|allocation| allocation.count > 0);
    allocations
}
