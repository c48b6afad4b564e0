//! A server as seen by one placement pass.

use crate::placement::queued_totals::QueuedTotals;
use crate::placement::reservation::Reservation;
use crate::resources::{difference, dominant_share, fits, sum};
use crate::servers::server::rack_of;
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;
use std::cell::OnceCell;
use std::sync::Arc;

/// A single task that does not fit anywhere now reserves capacity if it needs more than this share
/// of a server.
const MIN_RESERVED_SHARE: f64 = 0.25;

/// Capacity of a server that is expected to become free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreedCapacity {
    /// When it becomes free.
    pub(crate) at: Millis,
    /// The amount that becomes free.
    pub(crate) amount: Resources,
}

/// The capacity that would remain free on a server, as fractions of its total capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Leftover {
    /// The sum of the free fractions of all resources.
    pub(crate) total: f64,
    /// The difference between the free fractions of processor and memory.
    pub(crate) imbalance: f64,
}

/// A server that accepts new work.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The identity of the server.
    pub(crate) server: ServerId,
    /// The facts that the server reports about itself.
    pub(crate) facts: Arc<ServerFacts>,
    /// The capacity that is neither used by runs nor allocated in this round.
    pub(crate) free: Resources,
    /// The needs of the tasks in its queue.
    pub(crate) queued: QueuedTotals,
    /// The number of its runs.
    pub(crate) running: usize,
    /// Whether it is suspected of causing its tasks to fail.
    pub(crate) suspected: bool,
    /// The time since the newest fault of a run there, in milliseconds; `None` if there is none since
    /// the last success.
    pub(crate) since_fault_ms: Option<u64>,
    /// The ratio of actual to expected duration of work on this server; 1 unless the server counts
    /// as slow.
    pub(crate) slowdown: f64,
    /// When its runs are expected to free capacity, soonest first. Computed on first use by
    /// [`Planner::freed`](crate::placement::planner::Planner::freed).
    pub(crate) freed: OnceCell<Vec<FreedCapacity>>,
    /// The capacity that is reserved on it.
    pub(crate) reservation: Option<Reservation>,
}

impl Candidate {
    /// Whether the server has this label. Every server has the empty label.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.facts.labels.iter().any(|existing| existing == label)
    }

    /// The label of its rack; empty if it has none.
    pub(crate) fn rack(&self) -> &str {
        rack_of(&self.facts)
    }

    /// Whether a task with these needs fits on the server when it is otherwise empty.
    pub(crate) fn could_fit(&self, needs: &Resources) -> bool {
        fits(needs, &self.facts.capacity)
    }

    /// Whether a task with these needs uses so much of the server that it may reserve capacity.
    pub(crate) fn is_large(&self, needs: &Resources) -> bool {
        dominant_share(needs, &self.facts.capacity) > MIN_RESERVED_SHARE
    }

    /// The free capacity minus the needs of queued tasks of the same or a more urgent priority.
    pub(crate) fn free_for(&self, priority: u32) -> Resources {
        self.free_beside(|queued| queued <= priority)
    }

    /// The free capacity minus the needs of queued tasks of more urgent priorities.
    pub(crate) fn free_beside_more_urgent(&self, priority: u32) -> Resources {
        self.free_beside(|queued| queued < priority)
    }

    /// The share of its capacity that its queued tasks and `more` need together.
    pub(crate) fn queued_share(&self, more: &Resources) -> f64 {
        let total = sum(&self.queued.needs_of(|_| true), more);
        dominant_share(&total, &self.facts.capacity)
    }

    /// Whether work of this priority that ends at `ends_at` may use `needs` despite the
    /// reservation: it is more urgent than the reserved work, ends before that work starts, or fits
    /// next to it.
    pub(crate) fn admits(&self, priority: u32, needs: &Resources, ends_at: Millis) -> bool {
        self.reservation.as_ref().is_none_or(|reserved| {
            let fits_beside = fits(&sum(needs, &reserved.needs), &self.free);
            priority < reserved.priority || ends_at <= reserved.until || fits_beside
        })
    }

    /// The capacity that would remain free after allocating `needs` and the needs of all its queued
    /// tasks.
    pub(crate) fn leftover(&self, needs: &Resources) -> Leftover {
        let free = difference(&self.free_beside(|_| true), needs);
        let capacity = &self.facts.capacity;
        let cpu = fraction(free.cpu, capacity.cpu);
        let memory = fraction(free.memory_mb, capacity.memory_mb);
        let gpu = fraction(free.gpu, capacity.gpu);
        Leftover {
            total: cpu + memory + gpu,
            imbalance: (cpu - memory).abs(),
        }
    }

    /// Reserves capacity in addition to an existing reservation.
    pub(crate) fn reserve(&mut self, more: Reservation) {
        let merged = self
            .reservation
            .map_or(more, |reserved| reserved.merge(&more));
        self.reservation = Some(merged);
    }

    /// The free capacity minus the needs of queued tasks whose priority `counts` accepts.
    fn free_beside(&self, counts: impl Fn(u32) -> bool) -> Resources {
        difference(&self.free, &self.queued.needs_of(counts))
    }
}

fn fraction(amount: u64, capacity: u64) -> f64 {
    if capacity == 0 {
        0.0
    } else {
        amount as f64 / capacity as f64
    }
}
