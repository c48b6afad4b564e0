//! Placement: which server is to run which task, in the order of urgency.

use crate::capacity::{difference, dominant_share, fits};
use crate::durations::Durations;
use crate::estimates::NEVER_MS;
use crate::evidence::Evidence;
use crate::jobs::{Rank, ReadyStep};
use crate::queueing::{task_record, QueuedTask, StreamWeights};
use crate::rows::{earliest, Reservation, Row, Share, Wanted};
use crate::runs::{RunLedger, RunTraits};
use crate::scheduler::Scheduler;
use crate::settings::SchedulerSettings;
use crate::spare::Spare;
use lupinrack_cluster_api::identity::{JobId, QueueName, ServerId, TaskId};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord};
use lupinrack_dispatch::Dispatcher;
use std::collections::{BTreeMap, BTreeSet};

/// Single tasks that need more than this part of a server have room reserved where they do not fit.
const LARGE_SHARE: f64 = 0.25;
/// Tasks wait in a server's queue for at most so long; where that is not to be expected they wait unplaced.
const QUEUE_WAIT_MOST_MS: u64 = 2_000;

/// A step whose turn has come, with its job.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The job.
    pub id: JobId,
    /// Its record.
    pub job: &'a JobRecord,
    /// The step.
    pub step: &'a Step,
    /// Which tasks of it wait.
    pub ready: &'a ReadyStep,
    /// How urgent it is.
    pub rank: Rank,
    /// How long a task is expected to take near its data.
    pub expected_ms: u64,
}

impl Demand<'_> {
    /// A task of the step.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.id, occurrence: self.ready.occurrence, step: self.ready.step, index }
    }

    /// What a run of it is on a server near its data, or far.
    pub fn traits(&self, distance_factor: f64) -> RunTraits {
        RunTraits::new(self.job, self.step, distance_factor)
    }
}

/// Steps that are alike to placement: what found no room for one finds none for the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Signature<'a> {
    cpu: u64,
    memory_mb: u64,
    gpu: u64,
    requires: &'a str,
    affinity: &'a str,
    priority: u32,
}

/// Servers among which work may be placed, and how many times as long it takes there.
pub struct Candidates {
    /// The places of their rows.
    pub rows: Vec<usize>,
    /// The factor.
    pub factor: f64,
}

/// One round of placement.
pub struct Placer<'a> {
    /// The replicated state.
    pub state: &'a ControlState,
    /// The scheduler's settings.
    pub settings: &'a SchedulerSettings,
    /// The moment.
    pub now: Millis,
    /// The servers that may be given work.
    pub rows: Vec<Row>,
    /// The weights of the streams.
    pub weights: StreamWeights,
    /// What was learned of durations.
    pub durations: &'a Durations,
    /// All runs.
    pub runs: &'a mut RunLedger,
    /// The queues.
    pub dispatcher: &'a mut Dispatcher<ServerId, QueueName, TaskId>,
    /// What is in the queues.
    pub queued: &'a mut BTreeMap<TaskId, QueuedTask>,
    /// What speaks against servers.
    pub evidence: &'a mut Evidence,
    /// The starts that were decided; gangs side by side.
    pub starts: Vec<Vec<StartRecord>>,
    /// How many reservations were made.
    pub reservations: usize,
}

impl Scheduler {
    /// Places what has its turn, has room made for what is most urgent, and proposes the starts.
    pub(crate) fn place(&mut self, state: &ControlState, now: Millis, wall: WallMillis) {
        let mut rows = self.rows(now);
        self.tidy_queues(&mut rows, now);
        let jobs = std::mem::take(&mut self.jobs);
        let demands = self.demands(state, &jobs, wall);
        let mut placer = self.placer(state, rows, &demands, now);
        placer.place_all(&demands);
        placer.release_all();
        let (starts, rows) = (placer.starts, placer.rows);
        self.submissions.add_starts(starts);
        self.make_room(&demands, rows, now);
        drop(demands);
        self.jobs = jobs;
    }

    /// Stops runs that are better continued elsewhere or later.
    fn make_room(&mut self, demands: &[Demand<'_>], rows: Vec<Row>, now: Millis) {
        self.stop_stalled(now);
        self.evacuate(&mut Spare::beside_queues(&rows), now);
        self.preempt(demands, Spare::before_queues(rows), now);
    }

    /// The steps whose turn has come, most urgent first.
    fn demands<'a>(
        &self,
        state: &'a ControlState,
        jobs: &'a crate::jobs::JobBoard,
        wall: WallMillis,
    ) -> Vec<Demand<'a>> {
        let mut demands = Vec::new();
        for (id, plan) in jobs.plans() {
            let Some(job) = state.jobs.get(id) else { continue };
            for ready in plan.ready() {
                let Some(step) = job.spec.steps.get(ready.step as usize) else { continue };
                let rank = plan.rank(job, ready, wall);
                let expected_ms = self.durations.expected_ms(&job.queue, step.estimate_ms);
                demands.push(Demand { id: *id, job, step, ready, rank, expected_ms });
            }
        }
        demands.sort_by_key(|demand| (demand.rank, demand.id, demand.ready.occurrence, demand.ready.step));
        demands
    }

    fn placer<'a>(
        &'a mut self,
        state: &'a ControlState,
        rows: Vec<Row>,
        demands: &[Demand<'_>],
        now: Millis,
    ) -> Placer<'a> {
        let queues: BTreeSet<(&QueueName, u32)> =
            demands.iter().map(|demand| (&demand.job.queue, demand.job.priority)).collect();
        Placer {
            state,
            settings: &self.settings,
            now,
            rows,
            weights: StreamWeights::new(queues.into_iter().map(|(_, priority)| priority)),
            durations: &self.durations,
            runs: &mut self.runs,
            dispatcher: &mut self.dispatcher,
            queued: &mut self.queued,
            evidence: &mut self.evidence,
            starts: Vec::new(),
            reservations: 0,
        }
    }
}

impl<'a> Placer<'a> {
    fn place_all(&mut self, demands: &[Demand<'_>]) {
        let mut without_room = BTreeSet::new();
        for demand in demands {
            if demand.step.gang {
                self.place_gang(demand);
                continue;
            }
            let signature = signature(demand);
            if without_room.contains(&signature) {
                continue;
            }
            let placed_all = self.place_tasks(demand);
            if !placed_all && demand.step.anti_affinity == 0 {
                without_room.insert(signature);
            }
        }
    }

    /// Places the waiting tasks of a step; tells whether none was left for want of room.
    fn place_tasks(&mut self, demand: &Demand<'_>) -> bool {
        for index in &demand.ready.indices {
            let task = demand.task(*index);
            if self.runs.contains(task) || self.queued.contains_key(&task) {
                continue;
            }
            match self.choose(demand, task) {
                Some(place) => {
                    let near = self.rows[place].has_label(&demand.step.affinity);
                    let factor = if near { 1.0 } else { self.settings.far_factor };
                    self.enqueue(place, task, demand.traits(factor), &demand.step.affinity);
                }
                None => {
                    self.reserve_for_large(demand);
                    return false;
                }
            }
        }
        true
    }

    /// The row of the server that a task is placed on; none where it is to wait.
    fn choose(&self, demand: &Demand<'_>, task: TaskId) -> Option<usize> {
        if let Some(trial) = self.choose_trial(demand, task) {
            return Some(trial);
        }
        let allowed = self.allowed(demand, &[task]);
        let sets = self.sets_by_affinity(demand, &allowed);
        let best =
            sets.iter().filter_map(|set| self.finish_on(demand, set, 1)).min_by_key(|found| found.0)?;
        let (_, start, _, set) = best;
        if start <= self.now {
            return self.tightest(demand, &set.rows);
        }
        self.shortest_queue(demand, &set.rows)
    }

    /// When so many tasks would be done on these servers if they started together as soon as they can, when they would
    /// start, and where.
    pub(crate) fn finish_on<'s>(
        &self,
        demand: &Demand<'_>,
        set: &'s Candidates,
        count: u64,
    ) -> Option<(Millis, Millis, Vec<Share>, &'s Candidates)> {
        let wanted = Wanted { needs: demand.step.needs, count, priority: demand.job.priority };
        let work_ms = (demand.expected_ms as f64 * set.factor) as u64;
        let most_on = |place: usize| self.most_on(demand, place);
        let (start, shares) = earliest(&self.rows, &set.rows, &wanted, most_on, self.now)?;
        let ends_at = self.now.plus(self.work_ms(demand, work_ms));
        let admitted = start > self.now
            || shares.iter().all(|share| {
                let needs = crate::rows::needs_of_share(&demand.step.needs, share);
                self.rows[share.row].admits(demand.job.priority, &needs, ends_at)
            });
        admitted.then(|| (start.plus(work_ms), start, shares, set))
    }

    fn work_ms(&self, demand: &Demand<'_>, work_ms: u64) -> u64 {
        if demand.step.long_running {
            NEVER_MS
        } else {
            work_ms
        }
    }

    /// The rows whose servers may run tasks of this step: capacity, labels, suspicion, and faults of these very tasks.
    pub(crate) fn allowed(&self, demand: &Demand<'_>, tasks: &[TaskId]) -> Vec<usize> {
        let step = demand.step;
        let able = |place: &usize| {
            let row = &self.rows[*place];
            row.has_label(&step.requires) && fits(&step.needs, &row.facts.capacity)
        };
        let able: Vec<usize> = (0..self.rows.len()).filter(able).collect();
        let sound: Vec<usize> = able.iter().copied().filter(|place| !self.rows[*place].suspect).collect();
        let sound = if sound.is_empty() { able } else { sound };
        let faulted = |place: &usize| {
            let server = &self.rows[*place].server;
            tasks.iter().any(|task| self.evidence.has_faulted(*task, server))
        };
        let unblemished: Vec<usize> = sound.iter().copied().filter(|place| !faulted(place)).collect();
        let waited_ms = self.now.since(demand.ready.since);
        if unblemished.is_empty() || waited_ms > self.settings.avoid_repeat_ms {
            sound
        } else {
            unblemished
        }
    }

    /// How many more tasks of a step the server of a row may hold at the same time.
    pub(crate) fn most_on(&self, demand: &Demand<'_>, place: usize) -> u64 {
        if demand.step.anti_affinity == 0 {
            return u64::from(demand.step.count.max(1));
        }
        let server = &self.rows[place].server;
        let (occurrence, step) = (demand.ready.occurrence, demand.ready.step);
        let running = self.runs.of_step(demand.id, occurrence, step);
        let running = running.filter(|run| !run.ended && run.server == *server).count();
        let (first, last) = (demand.task(0), demand.task(u32::MAX));
        let queued = self.queued.range(first..=last).filter(|(_, task)| task.server == *server).count();
        let held = (running + queued) as u64;
        u64::from(demand.step.anti_affinity).saturating_sub(held)
    }

    /// The servers near a step's data, and all.
    fn sets_by_affinity(&self, demand: &Demand<'_>, allowed: &[usize]) -> Vec<Candidates> {
        let open = |place: &usize| self.most_on(demand, *place) > 0;
        let open: Vec<usize> = allowed.iter().copied().filter(open).collect();
        let near = |place: &usize| self.rows[*place].has_label(&demand.step.affinity);
        let (near, far): (Vec<usize>, Vec<usize>) = open.into_iter().partition(near);
        vec![
            Candidates { rows: near, factor: 1.0 },
            Candidates { rows: far, factor: self.settings.far_factor },
        ]
    }

    /// Among these, the row with room now that is left with least.
    fn tightest(&self, demand: &Demand<'_>, places: &[usize]) -> Option<usize> {
        let needs = &demand.step.needs;
        let room = |place: &usize| fits(needs, &self.rows[*place].free_for(demand.job.priority));
        let slack = |place: &usize| self.rows[*place].slack_after(needs);
        places.iter().copied().filter(room).min_by(|a, b| slack(a).total_cmp(&slack(b)))
    }

    /// Among these, the row whose queue the task should join; none where it would wait too long.
    fn shortest_queue(&self, demand: &Demand<'_>, places: &[usize]) -> Option<usize> {
        let needs = demand.step.needs;
        let wanted = Wanted { needs, count: 1, priority: demand.job.priority };
        let waits = |place: &usize| {
            let row = &self.rows[*place];
            let short = row.queue_share(&needs) <= self.settings.queue_share && row.reservation.is_none();
            if !short {
                return None;
            }
            let (at, _) = earliest(&self.rows, &[*place], &wanted, |_| 1, self.now)?;
            (at.since(self.now) <= QUEUE_WAIT_MOST_MS).then_some((at, *place))
        };
        places.iter().filter_map(waits).min().map(|(_, place)| place)
    }

    /// A suspected server that is to be tried with this task.
    fn choose_trial(&self, demand: &Demand<'_>, task: TaskId) -> Option<usize> {
        let record = task_record(demand.job, task);
        let harmless = record.map_or(0, |record| record.failed) == 0 && demand.job.max_retries > 1;
        if !harmless || demand.step.long_running {
            return None;
        }
        let trial = |place: &usize| {
            let row = &self.rows[*place];
            row.suspect
                && row.running == 0
                && row.queued.is_empty()
                && row.has_label(&demand.step.requires)
                && self.most_on(demand, *place) > 0
                && fits(&demand.step.needs, &row.free)
                && self.evidence.is_trial_due(&row.server, self.now, self.settings.trial_ms)
        };
        (0..self.rows.len()).find(trial)
    }

    /// Keeps room for a single task that needs much of a server and found none.
    fn reserve_for_large(&mut self, demand: &Demand<'_>) {
        let allowed = self.allowed(demand, &[]);
        let large = |place: &usize| {
            let capacity = &self.rows[*place].facts.capacity;
            dominant_share(&demand.step.needs, capacity) > LARGE_SHARE
        };
        if allowed.iter().any(large) {
            let set = Candidates { rows: allowed, factor: 1.0 };
            if let Some((_, start, shares, _)) = self.finish_on(demand, &set, 1) {
                self.reserve(demand, start, &shares);
            }
        }
    }

    /// Keeps room until work can start that waits for it.
    pub(crate) fn reserve(&mut self, demand: &Demand<'_>, until: Millis, shares: &[Share]) {
        if self.reservations >= self.settings.reservations_most || until <= self.now {
            return;
        }
        self.reservations += 1;
        for share in shares {
            let needs = crate::rows::needs_of_share(&demand.step.needs, share);
            self.rows[share.row].reserve(Reservation { until, priority: demand.job.priority, needs });
        }
    }

    /// Takes room on a row.
    pub(crate) fn take(&mut self, place: usize, needs: &Resources) {
        let row = &mut self.rows[place];
        row.free = difference(&row.free, needs);
    }
}

fn signature<'a>(demand: &Demand<'a>) -> Signature<'a> {
    let needs = demand.step.needs;
    Signature {
        cpu: needs.cpu,
        memory_mb: needs.memory_mb,
        gpu: needs.gpu,
        requires: &demand.step.requires,
        affinity: &demand.step.affinity,
        priority: demand.job.priority,
    }
}
