//! Placement: which server is to run which task, in the order of urgency.

use crate::estimator::NEVER_MS;
use crate::eviction::unclaimed::Spare;
use crate::history::durations::Durations;
use crate::history::faults::Evidence;
use crate::jobs::plan::{Rank, ReadyStep};
use crate::placement::candidate::{earliest, Reservation, Row, Share, Wanted};
use crate::placement::headroom::Headroom;
use crate::queues::task_queues::{QueuedTask, StreamWeights};
use crate::resources::{difference, fits, times};
use crate::runs::table::{RunLedger, RunTraits};
use crate::scheduler::Scheduler;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::{JobId, QueueName, ServerId, TaskId};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord};
use lupinrack_dispatch::Dispatcher;
use std::collections::{BTreeMap, BTreeSet};

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
        TaskId {
            job: self.id,
            occurrence: self.ready.occurrence,
            step: self.ready.step,
            index,
        }
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

/// When work would be done that starts as soon as it can.
#[derive(Clone, Debug)]
pub struct Finish {
    /// When it starts.
    pub starts_at: Millis,
    /// When it is done.
    pub done_at: Millis,
    /// Where it runs.
    pub shares: Vec<Share>,
    /// How many times as long it takes there.
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
    /// The room that is left for urgent work that may come.
    pub headroom: Headroom,
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
        self.urgent_use.observe(&self.runs, now);
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
        self.note_overdue(now);
        self.stop_stalled(now);
        self.evacuate(&mut Spare::beside_queues(&rows), now);
        self.preempt(demands, Spare::before_queues(rows), now);
    }

    /// The steps whose turn has come, most urgent first.
    fn demands<'a>(
        &self,
        state: &'a ControlState,
        jobs: &'a crate::jobs::plan::JobBoard,
        wall: WallMillis,
    ) -> Vec<Demand<'a>> {
        let mut demands = Vec::new();
        for (id, plan) in jobs.plans() {
            let Some(job) = state.job(*id) else {
                continue;
            };
            for ready in plan.ready() {
                let Some(step) = job.spec.steps.get(ready.step as usize) else {
                    continue;
                };
                let rank = plan.rank(job, ready, wall);
                let expected_ms = self.durations.expected_ms(&job.queue, step.estimate_ms);
                demands.push(Demand {
                    id: *id,
                    job,
                    step,
                    ready,
                    rank,
                    expected_ms,
                });
            }
        }
        demands.sort_by_key(|demand| {
            (
                demand.rank,
                demand.id,
                demand.ready.occurrence,
                demand.ready.step,
            )
        });
        demands
    }

    fn placer<'a>(
        &'a mut self,
        state: &'a ControlState,
        rows: Vec<Row>,
        demands: &[Demand<'_>],
        now: Millis,
    ) -> Placer<'a> {
        let queues: BTreeSet<(&QueueName, u32)> = demands
            .iter()
            .map(|demand| (&demand.job.queue, demand.job.priority))
            .collect();
        Placer {
            state,
            settings: &self.settings,
            now,
            headroom: self.urgent_use.headroom(&rows),
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

    /// When so many tasks would be done on these servers if they started together as soon as they can; none where that
    /// cannot be foreseen, or where they could start now but for room that is kept for others.
    pub(crate) fn finish_on(
        &self,
        demand: &Demand<'_>,
        set: &Candidates,
        count: u64,
    ) -> Option<Finish> {
        let wanted = Wanted {
            needs: demand.step.needs,
            count,
            priority: demand.job.priority,
        };
        let most_on = |place: usize| self.most_on(demand, place);
        let (starts_at, shares) = earliest(&self.rows, &set.rows, &wanted, most_on, self.now)?;
        let done_at = starts_at.plus(self.work_ms(demand, set.factor));
        let admitted = starts_at > self.now || self.admits_all(demand, &shares, done_at);
        admitted.then_some(Finish {
            starts_at,
            done_at,
            shares,
            factor: set.factor,
        })
    }

    fn admits_all(&self, demand: &Demand<'_>, shares: &[Share], ends_at: Millis) -> bool {
        let (priority, needs) = (demand.job.priority, &demand.step.needs);
        let count = shares.iter().map(|share| share.count).sum();
        let admits = |share: &Share| {
            self.rows[share.row].admits(priority, &times(needs, share.count), ends_at)
        };
        self.headroom.allows(priority, needs, count) && shares.iter().all(admits)
    }

    /// How long a task of the step is expected to hold its room where it takes so many times as long.
    pub(crate) fn work_ms(&self, demand: &Demand<'_>, factor: f64) -> u64 {
        if demand.step.long_running {
            NEVER_MS
        } else {
            (demand.expected_ms as f64 * factor) as u64
        }
    }

    /// The rows whose servers may run tasks of this step: by capacity, labels and suspicion.
    pub(crate) fn allowed(&self, demand: &Demand<'_>) -> Vec<usize> {
        let step = demand.step;
        let able = |place: &usize| {
            let row = &self.rows[*place];
            row.has_label(&step.requires) && fits(&step.needs, &row.facts.capacity)
        };
        let able: Vec<usize> = (0..self.rows.len()).filter(able).collect();
        let sound: Vec<usize> = able
            .iter()
            .copied()
            .filter(|place| !self.rows[*place].suspected)
            .collect();
        if sound.is_empty() {
            able
        } else {
            sound
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
        let running = running
            .filter(|run| !run.ended && run.server == *server)
            .count();
        let (first, last) = (demand.task(0), demand.task(u32::MAX));
        let queued = self
            .queued
            .range(first..=last)
            .filter(|(_, task)| task.server == *server)
            .count();
        let held = (running + queued) as u64;
        u64::from(demand.step.anti_affinity).saturating_sub(held)
    }

    /// Keeps room until work can start that waits for it.
    pub(crate) fn reserve(&mut self, demand: &Demand<'_>, until: Millis, shares: &[Share]) {
        if self.reservations >= self.settings.max_reservations || until <= self.now {
            return;
        }
        self.reservations += 1;
        for share in shares {
            let needs = times(&demand.step.needs, share.count);
            self.rows[share.row].reserve(Reservation {
                until,
                priority: demand.job.priority,
                needs,
            });
        }
    }

    /// Takes room on a row.
    pub(crate) fn take(&mut self, place: usize, needs: &Resources) {
        let row = &mut self.rows[place];
        row.free = difference(&row.free, needs);
        self.headroom.take(needs);
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
