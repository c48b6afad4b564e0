//! What is planned for one open job.

use crate::history::durations::DurationModel;
use crate::jobs::rank::Rank;
use crate::jobs::ready_step::{ready_steps, ReadyStep};
use crate::resources::{dominant_share, times};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::JobRecord;

/// A step is expected to run in waves, each of which takes this part of the service's capacity.
const WAVE_SHARE: f64 = 0.25;
/// The largest number of occurrences of one job that are considered at once.
const MAX_OCCURRENCES: u32 = 64;
/// After this many times its latency target a job has no value any longer.
const HOPELESS_FACTOR: u64 = 3;

/// An open job: its ready steps, and what their urgency follows from.
#[derive(Clone, Debug)]
pub(crate) struct JobPlan {
    /// For each step its expected work and the longest chain of work that depends on it, in
    /// milliseconds.
    tails_ms: Vec<u64>,
    /// How long an occurrence may take to meet its latency target, in milliseconds.
    objective_ms: u64,
    priority: u32,
    /// When the job was accepted, in milliseconds since 1970.
    accepted_ms: u64,
    ready: Vec<ReadyStep>,
    /// All occurrences before this one are done.
    first_open: u32,
    /// When the next occurrence is due, in milliseconds since 1970, if one is not due yet.
    next_due_ms: Option<u64>,
}

impl JobPlan {
    /// The plan of a job at a service with this capacity in all; nothing is ready before the first
    /// refresh.
    pub(crate) fn new(job: &JobRecord, capacity: &Resources, durations: &DurationModel) -> JobPlan {
        let expected_ms = |step: &Step| {
            durations.expected_ms(&job.queue, step.estimate_ms) * waves(step, capacity)
        };
        let tails_ms = tails_ms(&job.spec.steps, expected_ms);
        let longest_chain_ms = tails_ms.iter().copied().max().unwrap_or(0);
        let allowed_ms = longest_chain_ms.saturating_mul(job.extension_milli) / 1_000;
        JobPlan {
            tails_ms,
            objective_ms: allowed_ms.saturating_add(job.target_latency_ms),
            priority: job.priority,
            accepted_ms: job.accepted_at.0,
            ready: Vec::new(),
            first_open: 0,
            next_due_ms: None,
        }
    }

    /// The priority of its queue; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        self.priority
    }

    /// The steps whose tasks may start.
    pub(crate) fn ready(&self) -> &[ReadyStep] {
        &self.ready
    }

    /// How urgent a step is.
    pub(crate) fn rank(&self, job: &JobRecord, ready: &ReadyStep, wall: WallMillis) -> Rank {
        let begin_ms = self.accepted_ms.max(job.due_ms(ready.occurrence));
        let tail_ms = self.tails_ms.get(ready.step as usize).copied().unwrap_or(0);
        let latest_start_ms = begin_ms
            .saturating_add(self.objective_ms)
            .saturating_sub(tail_ms);
        let hopeless_ms =
            begin_ms.saturating_add(self.objective_ms.saturating_mul(HOPELESS_FACTOR));
        Rank {
            hopeless: wall.0 > hopeless_ms,
            priority: self.priority,
            late: wall.0 > latest_start_ms,
            latest_start_ms,
        }
    }

    /// Whether an occurrence has become due since the last refresh.
    pub(crate) fn is_stale(&self, wall: WallMillis) -> bool {
        self.next_due_ms.is_some_and(|due| wall.0 >= due)
    }

    /// Brings the ready steps up to date.
    pub(crate) fn refresh(&mut self, job: &JobRecord, now: Millis, wall: WallMillis) {
        let before = std::mem::take(&mut self.ready);
        self.next_due_ms = None;
        self.skip_done(job);
        let end = self
            .first_open
            .saturating_add(MAX_OCCURRENCES)
            .min(job.occurrence_count());
        for occurrence in self.first_open..end {
            let due_ms = job.due_ms(occurrence);
            if wall.0 < due_ms {
                self.next_due_ms = Some(due_ms);
                break;
            }
            self.ready
                .extend(ready_steps(job, occurrence, &before, now));
        }
    }

    fn skip_done(&mut self, job: &JobRecord) {
        while job.occurrence_is_done(self.first_open) {
            self.first_open += 1;
        }
    }
}

/// In how many waves a step is expected to run.
fn waves(step: &Step, capacity: &Resources) -> u64 {
    let share = dominant_share(&times(&step.needs, u64::from(step.count)), capacity);
    if !share.is_finite() {
        return 1;
    }
    (share / WAVE_SHARE).ceil().max(1.0) as u64
}

/// For each step its expected work and the longest chain of work that depends on it. Steps depend on
/// earlier ones only.
fn tails_ms(steps: &[Step], expected_ms: impl Fn(&Step) -> u64) -> Vec<u64> {
    let mut behind_ms = vec![0_u64; steps.len()];
    let mut tails_ms = vec![0_u64; steps.len()];
    for (number, step) in steps.iter().enumerate().rev() {
        tails_ms[number] = expected_ms(step).saturating_add(behind_ms[number]);
        for earlier in &step.depends_on {
            if let Some(longest) = behind_ms.get_mut(*earlier as usize) {
                *longest = (*longest).max(tails_ms[number]);
            }
        }
    }
    tails_ms
}
