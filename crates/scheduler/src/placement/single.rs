//! Single tasks: on which server each is placed, or that it is to wait.

use crate::placement::candidate::{earliest, Row, Wanted};
use crate::placement::planner::{Candidates, Demand, Placer};
use crate::queues::task_queues::task_record;
use crate::resources::{dominant_share, fits};
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::time::Millis;

/// Single tasks that need more than this part of a server have room reserved where they do not fit.
const LARGE_SHARE: f64 = 0.25;
/// Tasks wait in a server's queue for at most so long; where that is not to be expected they wait unplaced.
const QUEUE_WAIT_MOST_MS: u64 = 2_000;
/// A server on which a task has failed or stood still counts as so many times as slow for it.
const FAULT_FACTOR: f64 = 4.0;
/// Factors that differ by less than one part in this many count as equal.
const FACTOR_PARTS: f64 = 4.0;

/// A row that may take a task, and how many times as long the task is expected to take there.
#[derive(Clone, Copy, Debug)]
struct Choice {
    place: usize,
    factor: f64,
}

impl Choice {
    /// Rows of the same grade are as good as one another.
    fn grade(&self) -> u64 {
        (self.factor * FACTOR_PARTS).round() as u64
    }
}

impl Placer<'_> {
    /// Places the waiting tasks of a step; tells whether none was left for want of room.
    pub(crate) fn place_tasks(&mut self, demand: &Demand<'_>) -> bool {
        for index in &demand.ready.indices {
            let task = demand.task(*index);
            if self.runs.contains(task) || self.queued.contains_key(&task) {
                continue;
            }
            let Some(place) = self.choose(demand, task) else {
                self.reserve_for_large(demand);
                return false;
            };
            let traits = demand.traits(self.distance(demand, &self.rows[place]));
            self.enqueue(place, task, traits, &demand.step.affinity);
        }
        true
    }

    /// The row of the server that a task is placed on; none where it is to wait.
    fn choose(&self, demand: &Demand<'_>, task: TaskId) -> Option<usize> {
        if let Some(trial) = self.choose_trial(demand, task) {
            return Some(trial);
        }
        let choices = self.choices(demand, task);
        let best_grade = choices.iter().map(Choice::grade).min()?;
        let best: Vec<usize> = places_of_grade(&choices, best_grade);
        match self.room_now(demand, &choices) {
            Some(now) if now.grade() == best_grade => Some(now.place),
            Some(now) if !self.is_worth_waiting(demand, &best, best_grade, now.factor) => {
                Some(now.place)
            }
            _ => self.shortest_queue(demand, &best),
        }
    }

    /// The rows whose servers may take a task.
    fn choices(&self, demand: &Demand<'_>, task: TaskId) -> Vec<Choice> {
        let allowed = self
            .allowed(demand)
            .into_iter()
            .filter(|place| self.most_on(demand, *place) > 0);
        allowed
            .map(|place| Choice {
                place,
                factor: self.factor(demand, task, place),
            })
            .collect()
    }

    /// How many times as long a task is expected to take on a row.
    fn factor(&self, demand: &Demand<'_>, task: TaskId, place: usize) -> f64 {
        let row = &self.rows[place];
        let fault = if self.evidence.has_faulted(task, &row.server) {
            FAULT_FACTOR
        } else {
            1.0
        };
        self.distance(demand, row) * row.slowness * fault
    }

    /// How many times as long work takes on a row because of its data.
    pub(crate) fn distance(&self, demand: &Demand<'_>, row: &Row) -> f64 {
        if row.has_label(&demand.step.affinity) {
            1.0
        } else {
            self.settings.remote_factor
        }
    }

    /// The best row that has room now; among those of one grade, the one that is left with least and most evenly. Work
    /// that does not end by itself is spread instead, to where most is left: where it gathers, one resource of a server is
    /// used up for good and the others lie idle.
    fn room_now(&self, demand: &Demand<'_>, choices: &[Choice]) -> Option<Choice> {
        let needs = &demand.step.needs;
        let has_room = |choice: &&Choice| {
            let row = &self.rows[choice.place];
            let work_ms = self.work_ms(demand, choice.factor);
            fits(needs, &row.free_for(demand.job.priority))
                && row.admits(demand.job.priority, needs, self.now.plus(work_ms))
                && self.headroom.allows(demand.job.priority, needs, 1)
        };
        let spread = if demand.step.long_running { -1.0 } else { 1.0 };
        let cost = |choice: &Choice| {
            let left = self.rows[choice.place].left_after(needs);
            spread * left.total + left.unevenness
        };
        let order = |a: &&Choice, b: &&Choice| {
            a.grade()
                .cmp(&b.grade())
                .then_with(|| cost(a).total_cmp(&cost(b)))
        };
        choices.iter().filter(has_room).min_by(order).copied()
    }

    /// Whether a task had better wait for the best rows than start now on a row of this factor. Slower work also holds
    /// its room for longer, at the cost of others; so the time that it would take more counts twice.
    fn is_worth_waiting(
        &self,
        demand: &Demand<'_>,
        best: &[usize],
        grade: u64,
        factor_now: f64,
    ) -> bool {
        let set = Candidates {
            rows: best.to_vec(),
            factor: grade as f64 / FACTOR_PARTS,
        };
        let (work_now_ms, work_best_ms) = (
            self.work_ms(demand, factor_now),
            self.work_ms(demand, set.factor),
        );
        let more_ms = work_now_ms.saturating_sub(work_best_ms);
        let done_now = self.now.plus(work_now_ms.saturating_add(more_ms));
        self.finish_on(demand, &set, 1)
            .is_some_and(|finish| finish.done_at < done_now)
    }

    /// Among these, the row whose queue the task should join; none where it would wait too long.
    fn shortest_queue(&self, demand: &Demand<'_>, places: &[usize]) -> Option<usize> {
        let needs = demand.step.needs;
        let wanted = Wanted {
            needs,
            count: 1,
            priority: demand.job.priority,
        };
        let waits = |place: &usize| -> Option<(Millis, usize)> {
            let row = &self.rows[*place];
            let short = row.queue_share(&needs) <= self.settings.max_queued_share
                && row.reservation.is_none();
            if !short {
                return None;
            }
            let (at, _) = earliest(&self.rows, &[*place], &wanted, |_| 1, self.now)?;
            (at.since(self.now) <= QUEUE_WAIT_MOST_MS).then_some((at, *place))
        };
        places
            .iter()
            .filter_map(waits)
            .min()
            .map(|(_, place)| place)
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
            row.suspected
                && row.running == 0
                && row.queued.is_empty()
                && row.has_label(&demand.step.requires)
                && self.most_on(demand, *place) > 0
                && fits(&demand.step.needs, &row.free)
                && self.evidence.is_trial_due(
                    &row.server,
                    self.now,
                    self.settings.probation_interval_ms,
                )
        };
        (0..self.rows.len()).find(trial)
    }

    /// Keeps room for a single task that needs much of a server and found none.
    fn reserve_for_large(&mut self, demand: &Demand<'_>) {
        let allowed = self.allowed(demand);
        let large = |place: &usize| {
            let capacity = &self.rows[*place].facts.capacity;
            dominant_share(&demand.step.needs, capacity) > LARGE_SHARE
        };
        if allowed.iter().any(large) {
            let set = Candidates {
                rows: allowed,
                factor: 1.0,
            };
            if let Some(finish) = self.finish_on(demand, &set, 1) {
                self.reserve(demand, finish.starts_at, &finish.shares);
            }
        }
    }
}

fn places_of_grade(choices: &[Choice], grade: u64) -> Vec<usize> {
    choices
        .iter()
        .filter(|choice| choice.grade() == grade)
        .map(|choice| choice.place)
        .collect()
}
