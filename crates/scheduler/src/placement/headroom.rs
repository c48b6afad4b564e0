//! Headroom: capacity that is kept free for urgent work.
//!
//! Urgent tasks are short and arrive continuously. When few of them are running, longer work must
//! not use all of the capacity that they left free, because the next urgent tasks would then have
//! to wait. So the recent peak usage of urgent work is kept free for it, up to a share of the total
//! capacity.

use crate::placement::candidate::Candidate;
use crate::policy::SchedulingPolicy;
use crate::resources::{difference, scaled};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

pub(crate) const URGENT_PRIORITY: u32 = 0;
/// The half-life of the recorded peak, in milliseconds.
const PEAK_HALF_LIFE_MS: f64 = 8_000.0;
/// The largest share of the total capacity that is kept free, in percent.
const MAX_HEADROOM_PERCENT: u64 = 20;

/// The recent processor and memory usage of urgent work. The two are tracked separately: urgent
/// tasks with large memory needs cannot use processor that is free on a server without free memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgentUsage {
    /// Processor usage, in thousandths of a core.
    cpu: RecentPeak,
    /// Memory usage, in megabytes.
    memory: RecentPeak,
    /// The time of the last observation.
    at: Millis,
}

/// The current usage of one resource and its recent peak.
#[derive(Clone, Copy, Debug, Default)]
struct RecentPeak {
    /// The current usage.
    current: u64,
    /// The peak usage, which decays over time.
    peak: f64,
}

impl RecentPeak {
    fn observe(&mut self, current: u64, decay: f64) {
        self.current = current;
        self.peak = (self.peak * decay).max(current as f64);
    }

    /// The amount to keep free of a resource with this total capacity.
    fn reserved(&self, capacity: u64) -> u64 {
        let below_peak = (self.peak as u64).saturating_sub(self.current);
        below_peak.min(capacity * MAX_HEADROOM_PERCENT / 100)
    }
}

impl UrgentUsage {
    /// Records the current usage of urgent work.
    pub(crate) fn observe(&mut self, used: &Resources, now: Millis) {
        let half_lives = now.since(self.at) as f64 / PEAK_HALF_LIFE_MS;
        let decay = 0.5_f64.powf(half_lives);
        self.cpu.observe(used.cpu, decay);
        self.memory.observe(used.memory_mb, decay);
        self.at = now;
    }

    /// The headroom to keep on these candidates together.
    pub(crate) fn headroom(&self, candidates: &[Candidate], policy: SchedulingPolicy) -> Headroom {
        let total = |amount: fn(&Candidate) -> u64| candidates.iter().map(amount).sum::<u64>();
        let cpu = total(|candidate| candidate.facts.capacity.cpu);
        let memory = total(|candidate| candidate.facts.capacity.memory_mb);
        Headroom {
            free: Resources {
                cpu: total(|candidate| candidate.free.cpu),
                memory_mb: total(|candidate| candidate.free.memory_mb),
                gpu: 0,
            },
            reserved: if policy.keeps_headroom {
                Resources {
                    cpu: self.cpu.reserved(cpu),
                    memory_mb: self.memory.reserved(memory),
                    gpu: 0,
                }
            } else {
                Resources::default()
            },
        }
    }
}

/// The free capacity of all candidates together, and the part of it that is kept for urgent work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Headroom {
    free: Resources,
    reserved: Resources,
}

impl Headroom {
    /// Whether `count` tasks of this priority may start without using the headroom. Urgent tasks
    /// may use it.
    pub(crate) fn allows(&self, priority: u32, needs: &Resources, count: u64) -> bool {
        let remaining = difference(&self.free, &scaled(needs, count));
        priority == URGENT_PRIORITY
            || (remaining.cpu >= self.reserved.cpu
                && remaining.memory_mb >= self.reserved.memory_mb)
    }

    /// Subtracts allocated capacity from the free capacity.
    pub(crate) fn allocate(&mut self, needs: &Resources) {
        self.free = difference(&self.free, needs);
    }
}
