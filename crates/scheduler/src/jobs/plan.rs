//! The plan of one open job.

use crate::history::durations::DurationModel;
use crate::jobs::rank::Rank;
use crate::jobs::ready_listing::{list_ready_steps, ListingInputs};
use crate::jobs::ready_step::ReadyStep;
use crate::resources::{dominant_share, scaled};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::JobRecord;

/// A step is expected to run in waves. Each wave uses this share of the service's capacity.
const WAVE_SHARE: f64 = 0.25;
/// An occurrence expires, and has no value any more, after this multiple of the time allowed for
/// it.
const EXPIRY_FACTOR: u64 = 3;

/// The ready steps of an open job, and the data that determine their urgency.
#[derive(Clone, Debug)]
pub(crate) struct JobPlan {
    /// For each step, the expected duration of the longest chain of steps that starts with it, in
    /// milliseconds.
    chain_durations_ms: Vec<u64>,
    /// How long an occurrence may take to meet its latency target, in milliseconds: the longest
    /// chain times the job's extension, plus the latency target itself.
    time_allowed_ms: u64,
    priority: u32,
    /// When the job was accepted, in milliseconds since 1970.
    accepted_ms: u64,
    is_repeating: bool,
    ready: Vec<ReadyStep>,
    /// When the next occurrence becomes due, in milliseconds since 1970; `None` if all considered
    /// occurrences are due.
    next_due_ms: Option<u64>,
}

impl JobPlan {
    /// Creates the plan of a job for a service with this total capacity. No step is ready before
    /// the first refresh.
    pub(crate) fn new(job: &JobRecord, capacity: &Resources, durations: &DurationModel) -> JobPlan {
        let expected_ms = |step: &Step| {
            durations.expected_ms(&job.queue.name, step.estimate_ms) * waves(step, capacity)
        };
        let chain_durations_ms = chain_durations_ms(&job.spec.steps, expected_ms);
        let longest_chain_ms = chain_durations_ms.iter().copied().max().unwrap_or(0);
        let allowed_work_ms = longest_chain_ms.saturating_mul(job.extension_milli) / 1_000;
        JobPlan {
            chain_durations_ms,
            time_allowed_ms: allowed_work_ms.saturating_add(job.target_latency_ms),
            priority: job.priority,
            accepted_ms: job.accepted_at.0,
            is_repeating: job.occurrence_count() > 1,
            ready: Vec::new(),
            next_due_ms: None,
        }
    }

    /// The priority of the job's queue; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        self.priority
    }

    /// The steps with tasks that are ready to start.
    pub(crate) fn ready(&self) -> &[ReadyStep] {
        &self.ready
    }

    /// The urgency of a step.
    pub(crate) fn rank(&self, job: &JobRecord, ready: &ReadyStep, wall: WallMillis) -> Rank {
        let begin_ms = self.accepted_ms.max(job.due_ms(ready.occurrence));
        let chain_ms = self
            .chain_durations_ms
            .get(ready.step as usize)
            .copied()
            .unwrap_or(0);
        let latest_start_ms = begin_ms
            .saturating_add(self.time_allowed_ms)
            .saturating_sub(chain_ms);
        let expires_ms =
            begin_ms.saturating_add(self.time_allowed_ms.saturating_mul(EXPIRY_FACTOR));
        Rank {
            expired: wall.0 > expires_ms,
            priority: self.priority,
            late: wall.0 > latest_start_ms,
            latest_start_ms,
        }
    }

    /// Whether an occurrence has become due since the last refresh.
    pub(crate) fn has_newly_due_occurrence(&self, wall: WallMillis) -> bool {
        self.next_due_ms.is_some_and(|due| wall.0 >= due)
    }

    /// Whether the job has several occurrences.
    pub(crate) fn is_repeating(&self) -> bool {
        self.is_repeating
    }

    /// Updates the ready steps from the job's record.
    pub(crate) fn refresh(&mut self, job: &JobRecord, inputs: ListingInputs) {
        let listing = list_ready_steps(job, &self.ready, inputs);
        self.ready = listing.ready;
        self.next_due_ms = listing.next_due_ms;
    }
}

/// The number of waves in which a step is expected to run.
fn waves(step: &Step, capacity: &Resources) -> u64 {
    let share = dominant_share(&scaled(&step.needs, u64::from(step.count)), capacity);
    if !share.is_finite() {
        return 1;
    }
    (share / WAVE_SHARE).ceil().max(1.0) as u64
}

/// For each step, the expected duration of the longest chain of steps that starts with it. Steps
/// depend on earlier steps only, so one backward pass computes all chains.
fn chain_durations_ms(steps: &[Step], expected_ms: impl Fn(&Step) -> u64) -> Vec<u64> {
    let mut dependents_ms = vec![0_u64; steps.len()];
    let mut chain_durations_ms = vec![0_u64; steps.len()];
    for (number, step) in steps.iter().enumerate().rev() {
        chain_durations_ms[number] = expected_ms(step).saturating_add(dependents_ms[number]);
        for dependency in &step.depends_on {
            if let Some(longest) = dependents_ms.get_mut(*dependency as usize) {
                *longest = (*longest).max(chain_durations_ms[number]);
            }
        }
    }
    chain_durations_ms
}
