//! Arithmetic on resource amounts. Additions, subtractions and multiplications saturate.

use lupinrack_cluster_api::job::Resources;

/// Whether `needs` fits into `free`.
pub(crate) fn fits(needs: &Resources, free: &Resources) -> bool {
    needs.cpu <= free.cpu && needs.memory_mb <= free.memory_mb && needs.gpu <= free.gpu
}

pub(crate) fn sum(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.saturating_add(b.cpu),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        gpu: a.gpu.saturating_add(b.gpu),
    }
}

/// `a` minus `b`, at least 0 for each resource.
pub(crate) fn difference(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.saturating_sub(b.cpu),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
        gpu: a.gpu.saturating_sub(b.gpu),
    }
}

/// The larger of the two amounts of each resource.
pub(crate) fn component_max(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.max(b.cpu),
        memory_mb: a.memory_mb.max(b.memory_mb),
        gpu: a.gpu.max(b.gpu),
    }
}

/// `count` times `needs`.
pub(crate) fn scaled(needs: &Resources, count: u64) -> Resources {
    Resources {
        cpu: needs.cpu.saturating_mul(count),
        memory_mb: needs.memory_mb.saturating_mul(count),
        gpu: needs.gpu.saturating_mul(count),
    }
}

/// How many tasks with these needs fit into `free` together, at most `max_count`.
pub(crate) fn fitting_count(needs: &Resources, free: &Resources, max_count: u64) -> u64 {
    let fitting = |needed: u64, available: u64| available.checked_div(needed).unwrap_or(max_count);
    let cpu = fitting(needs.cpu, free.cpu);
    let memory = fitting(needs.memory_mb, free.memory_mb);
    let gpu = fitting(needs.gpu, free.gpu);
    cpu.min(memory).min(gpu).min(max_count)
}

/// The dominant share (Ghodsi and others, *Dominant Resource Fairness*, NSDI 2011): the maximum
/// over all resources of `needs` as a fraction of `capacity`. Infinite if a needed resource has no
/// capacity at all.
pub(crate) fn dominant_share(needs: &Resources, capacity: &Resources) -> f64 {
    let fraction = |needed: u64, available: u64| match (needed, available) {
        (0, _) => 0.0,
        (_, 0) => f64::INFINITY,
        (needed, available) => needed as f64 / available as f64,
    };
    let cpu = fraction(needs.cpu, capacity.cpu);
    let memory = fraction(needs.memory_mb, capacity.memory_mb);
    let gpu = fraction(needs.gpu, capacity.gpu);
    cpu.max(memory).max(gpu)
}
