//! The list of a job's ready steps over all of its occurrences.
//!
//! A job may have a million occurrences that are all due. The list has each step's earliest occurrence
//! with waiting tasks, and later ones of the step only within an allowance. The tasks of a step have the
//! same needs in each occurrence, so a later one finds no room that the earliest one does not find. The
//! exception is the limit of anti-affinity, which is one for each occurrence: an occurrence that has
//! reached it takes no part of the allowance.

use crate::jobs::ready_step::{ready_steps, ReadyStep};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::JobRecord;

/// What the lists of all jobs of a service may hold of later occurrences, in listed tasks.
const LOOKAHEAD_TASKS: u32 = 65_536;
/// What a listed step counts beside its tasks: its list and its demand take as much memory as so many
/// tasks in a list.
const STEP_COST: u32 = 32;

/// What the list of one job may hold of the later occurrences of each step, in listed tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LookaheadAllowance {
    tasks_per_job: u32,
}

impl LookaheadAllowance {
    /// The allowance of each of so many repeating jobs.
    pub(crate) fn shared_by(repeating_jobs: usize) -> LookaheadAllowance {
        let jobs = u32::try_from(repeating_jobs.max(1)).unwrap_or(u32::MAX);
        LookaheadAllowance {
            tasks_per_job: LOOKAHEAD_TASKS / jobs,
        }
    }

    fn per_step(self, steps: usize) -> u32 {
        let steps = u32::try_from(steps.max(1)).unwrap_or(u32::MAX);
        self.tasks_per_job / steps
    }
}

/// The ready steps of a job, by occurrence and step.
#[derive(Debug, Default)]
pub(crate) struct ReadyListing {
    pub(crate) ready: Vec<ReadyStep>,
    /// When the next occurrence becomes due, in milliseconds since 1970; `None` if all considered
    /// occurrences are due.
    pub(crate) next_due_ms: Option<u64>,
}

/// What determines the list beside the job's record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListingInputs {
    /// What the list may hold of later occurrences.
    pub(crate) allowance: LookaheadAllowance,
    /// The number of the service's servers.
    pub(crate) servers: usize,
    /// The time of the round.
    pub(crate) now: Millis,
    /// The wall-clock time.
    pub(crate) wall: WallMillis,
}

/// Lists the ready steps of a job. A step that is also in `previous` keeps the time at which it began to
/// wait.
pub(crate) fn list_ready_steps(
    job: &JobRecord,
    previous: &[ReadyStep],
    inputs: ListingInputs,
) -> ReadyListing {
    let mut lookahead = Lookahead::new(job, inputs);
    let mut listing = ReadyListing::default();
    let last_started = job.occurrences.open().keys().next_back();
    let done = job.occurrences.done();
    let mut occurrence = done.first_missing_from(0);
    while occurrence < job.occurrence_count() {
        let due_ms = job.due_ms(occurrence);
        if inputs.wall.0 < due_ms {
            listing.next_due_ms = Some(due_ms);
            break;
        }
        let ready = ready_steps(job, occurrence, inputs.now, |step| lookahead.wants(step));
        // All occurrences without a started task have the same ready steps.
        if ready.is_empty() && last_started.is_none_or(|last| *last < occurrence) {
            break;
        }
        for mut step in ready {
            lookahead.take(&mut step);
            if step.indices.is_empty() {
                continue;
            }
            step.since = waiting_since(previous, &step).unwrap_or(inputs.now);
            listing.ready.push(step);
        }
        occurrence = done.first_missing_from(occurrence + 1);
    }
    listing
}

/// What the list holds of each step so far.
struct Lookahead<'a> {
    job: &'a JobRecord,
    servers: u32,
    allowed: u32,
    /// For each step, what later occurrences took of the allowance; `None` before the earliest one.
    taken: Vec<Option<u32>>,
}

impl<'a> Lookahead<'a> {
    fn new(job: &'a JobRecord, inputs: ListingInputs) -> Self {
        let steps = job.spec.steps.len();
        Lookahead {
            job,
            servers: u32::try_from(inputs.servers).unwrap_or(u32::MAX),
            allowed: inputs.allowance.per_step(steps),
            taken: vec![None; steps],
        }
    }

    /// Whether a further occurrence of the step is to be listed.
    fn wants(&self, step: u32) -> bool {
        let taken = self.taken.get(step as usize);
        taken.is_some_and(|taken| taken.is_none_or(|taken| taken <= self.allowed))
    }

    /// Counts a step. Of a later occurrence, keeps only the tasks that anti-affinity may allow.
    fn take(&mut self, ready: &mut ReadyStep) {
        let Some(taken) = self.taken.get_mut(ready.step as usize) else {
            return;
        };
        let Some(taken) = taken else {
            *taken = Some(0);
            return;
        };
        let most = startable_at_once(self.job, ready, self.servers);
        ready.indices.truncate(most as usize);
        if !ready.indices.is_empty() {
            let tasks = u32::try_from(ready.indices.len()).unwrap_or(u32::MAX);
            *taken = taken.saturating_add(tasks).saturating_add(STEP_COST);
        }
    }
}

/// How many more tasks of a step may run at once under its anti-affinity.
fn startable_at_once(job: &JobRecord, ready: &ReadyStep, servers: u32) -> u32 {
    let Some(step) = job.step(ready.step) else {
        return 0;
    };
    if step.anti_affinity == 0 || step.gang {
        return u32::MAX;
    }
    let occurrence = job.occurrences.open().get(&ready.occurrence);
    let record = occurrence.and_then(|occurrence| occurrence.step(ready.step));
    let assigned = record.map_or(0, |record| {
        let tasks = record.tasks().values();
        tasks.filter(|task| task.server().is_some()).count()
    });
    let assigned = u32::try_from(assigned).unwrap_or(u32::MAX);
    let most = step.anti_affinity.saturating_mul(servers);
    most.saturating_sub(assigned)
}

/// The time at which a step began to wait; `None` if it was not listed.
fn waiting_since(previous: &[ReadyStep], step: &ReadyStep) -> Option<Millis> {
    let key = |listed: &ReadyStep| (listed.occurrence, listed.step);
    let found = previous.binary_search_by_key(&key(step), key).ok()?;
    previous.get(found).map(|listed| listed.since)
}
