//! What of the open jobs may start: tasks whose turn has come, and how urgent they are.

use crate::history::durations::Durations;
use crate::resources::{dominant_share, times};
use lupinrack_cluster_api::identity::{JobId, ServiceName};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord, Occurrence, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};

/// The part of the service's room from which on a step runs in waves.
const WAVE_SHARE: f64 = 0.25;
/// Times of one job that are considered at once, at most.
const TIMES_MOST: u32 = 64;
/// After so many times its objective a job earns nothing any longer.
const HOPELESS_FACTOR: u64 = 3;

/// Tasks of one step whose turn has come and which are not assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyStep {
    /// Which time.
    pub occurrence: u32,
    /// Which step.
    pub step: u32,
    /// Which tasks. For a gang all of them.
    pub indices: Vec<u32>,
    /// Since when some of them wait.
    pub since: Millis,
}

/// How urgent a step is; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it earns nothing any longer.
    pub hopeless: bool,
    /// The priority of its queue.
    pub priority: u32,
    /// Whether it cannot meet its objective any longer.
    pub late: bool,
    /// When it has to start to meet its objective, in milliseconds since 1970.
    pub latest_start_ms: u64,
}

/// What is known of one open job.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// The expected work of each step and the longest chain behind it, in milliseconds.
    tails: Vec<u64>,
    objective_ms: u64,
    priority: u32,
    accepted_ms: u64,
    ready: Vec<ReadyStep>,
    first_open: u32,
    next_due_ms: Option<u64>,
}

impl JobPlan {
    fn new(job: &JobRecord, room: &Resources, durations: &Durations) -> JobPlan {
        let expected =
            |step: &Step| durations.expected_ms(&job.queue, step.estimate_ms) * waves(step, room);
        let tails = tails(&job.spec.steps, expected);
        let chain_ms = tails.iter().copied().max().unwrap_or(0);
        let allowed_ms = chain_ms.saturating_mul(job.extension_milli) / 1_000;
        JobPlan {
            tails,
            objective_ms: allowed_ms.saturating_add(job.target_latency_ms),
            priority: job.priority,
            accepted_ms: job.accepted_at.0,
            ready: Vec::new(),
            first_open: 0,
            next_due_ms: None,
        }
    }

    /// The priority of its queue.
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// The steps whose turn has come.
    pub fn ready(&self) -> &[ReadyStep] {
        &self.ready
    }

    /// How urgent a step is.
    pub fn rank(&self, job: &JobRecord, ready: &ReadyStep, wall: WallMillis) -> Rank {
        let begin_ms = self.accepted_ms.max(job.due_ms(ready.occurrence));
        let tail_ms = self.tails.get(ready.step as usize).copied().unwrap_or(0);
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

    fn is_stale(&self, wall: WallMillis) -> bool {
        self.next_due_ms.is_some_and(|due| wall.0 >= due)
    }

    fn refresh(&mut self, job: &JobRecord, now: Millis, wall: WallMillis) {
        let before = std::mem::take(&mut self.ready);
        self.next_due_ms = None;
        self.skip_done(job);
        let last = self
            .first_open
            .saturating_add(TIMES_MOST)
            .min(job.occurrence_count());
        for occurrence in self.first_open..last {
            let due_ms = job.due_ms(occurrence);
            if wall.0 < due_ms {
                self.next_due_ms = Some(due_ms);
                break;
            }
            self.ready
                .extend(ready_steps(job, occurrence, now, &before));
        }
    }

    fn skip_done(&mut self, job: &JobRecord) {
        while job.occurrences.get(&self.first_open).is_some_and(is_done) {
            self.first_open += 1;
        }
    }
}

fn is_done(occurrence: &Occurrence) -> bool {
    occurrence.steps.is_empty()
}

/// How often a step has to be filled with tasks until all have run, where it is wide.
fn waves(step: &Step, room: &Resources) -> u64 {
    let share = dominant_share(&times(&step.needs, u64::from(step.count)), room);
    if !share.is_finite() {
        return 1;
    }
    (share / WAVE_SHARE).ceil().max(1.0) as u64
}

/// Per step its work and the longest chain of work behind it. Steps depend on earlier ones only.
fn tails(steps: &[Step], expected: impl Fn(&Step) -> u64) -> Vec<u64> {
    let mut behind = vec![0_u64; steps.len()];
    let mut tails = vec![0_u64; steps.len()];
    for (number, step) in steps.iter().enumerate().rev() {
        tails[number] = expected(step).saturating_add(behind[number]);
        for earlier in &step.depends_on {
            if let Some(longest) = behind.get_mut(*earlier as usize) {
                *longest = (*longest).max(tails[number]);
            }
        }
    }
    tails
}

/// The steps of one time whose turn has come.
fn ready_steps(
    job: &JobRecord,
    occurrence: u32,
    now: Millis,
    before: &[ReadyStep],
) -> Vec<ReadyStep> {
    let record = job.occurrences.get(&occurrence);
    if record.is_some_and(is_done) {
        return Vec::new();
    }
    let done: Vec<bool> = (0..job.spec.steps.len())
        .map(|step| is_step_done(job, record, step))
        .collect();
    let mut ready = Vec::new();
    for (number, step) in job.spec.steps.iter().enumerate() {
        let turn = step
            .depends_on
            .iter()
            .all(|earlier| done.get(*earlier as usize).copied().unwrap_or(true));
        if done[number] || !turn {
            continue;
        }
        let indices = waiting(step, number, record);
        if indices.is_empty() || (step.gang && indices.len() < step.count as usize) {
            continue;
        }
        let step = number as u32;
        let same = |old: &&ReadyStep| old.occurrence == occurrence && old.step == step;
        let since = before.iter().find(same).map_or(now, |old| old.since);
        ready.push(ReadyStep {
            occurrence,
            step,
            indices,
            since,
        });
    }
    ready
}

fn is_step_done(job: &JobRecord, record: Option<&Occurrence>, number: usize) -> bool {
    if job.spec.steps[number].count == 0 {
        return true;
    }
    let tasks = record.and_then(|occurrence| occurrence.steps.get(number));
    tasks.is_some_and(|tasks| tasks.iter().all(|task| task.is_done()))
}

/// The tasks of a step that wait.
fn waiting(step: &Step, number: usize, record: Option<&Occurrence>) -> Vec<u32> {
    let Some(tasks) = record.and_then(|occurrence| occurrence.steps.get(number)) else {
        return (0..step.count).collect();
    };
    let waits = |(_, task): &(usize, &lupinrack_control_state::TaskRecord)| {
        task.status == TaskStatus::Waiting
    };
    tasks
        .iter()
        .enumerate()
        .filter(waits)
        .map(|(index, _)| index as u32)
        .collect()
}

/// The open jobs of a service.
#[derive(Clone, Debug, Default)]
pub struct JobBoard {
    plans: BTreeMap<JobId, JobPlan>,
    touched: BTreeSet<JobId>,
    newest_at: Option<Millis>,
}

impl JobBoard {
    /// Notes that something of a job has changed.
    pub fn touch(&mut self, job: JobId) {
        self.touched.insert(job);
    }

    /// When the newest job was first seen.
    pub fn newest_at(&self) -> Option<Millis> {
        self.newest_at
    }

    /// The plans of the open jobs.
    pub fn plans(&self) -> impl Iterator<Item = (&JobId, &JobPlan)> {
        self.plans.iter()
    }

    /// Brings the plans of touched jobs up to date, and those a time of which has come due; gives the touched jobs that
    /// are not open any longer.
    pub fn refresh(&mut self, view: &JobView<'_>) -> Vec<JobId> {
        let mut closed = Vec::new();
        for job in std::mem::take(&mut self.touched) {
            if !self.refresh_job(job, view) {
                self.plans.remove(&job);
                closed.push(job);
            }
        }
        for (job, plan) in &mut self.plans {
            if let Some(record) = plan
                .is_stale(view.wall)
                .then(|| view.state.job(*job))
                .flatten()
            {
                plan.refresh(record, view.now, view.wall);
            }
        }
        closed
    }

    /// Tells whether the job is open.
    fn refresh_job(&mut self, job: JobId, view: &JobView<'_>) -> bool {
        let open =
            |record: &&JobRecord| record.service == *view.service && !record.state.is_final();
        let Some(record) = view.state.job(job).filter(open) else {
            return false;
        };
        let plan = self
            .plans
            .entry(job)
            .or_insert_with(|| JobPlan::new(record, &view.room, view.durations));
        plan.refresh(record, view.now, view.wall);
        true
    }
}

/// What [`JobBoard::refresh`] looks at.
pub struct JobView<'a> {
    /// The replicated state.
    pub state: &'a ControlState,
    /// The service.
    pub service: &'a ServiceName,
    /// What all its servers have together.
    pub room: Resources,
    /// What was learned of durations.
    pub durations: &'a Durations,
    /// The moment.
    pub now: Millis,
    /// The time of day.
    pub wall: WallMillis,
}
