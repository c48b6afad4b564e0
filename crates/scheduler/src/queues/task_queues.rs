//! The queues of tasks that were placed on a server, and their release in the order of their tags.

use crate::estimator::NEVER_MS;
use crate::placement::candidate::{QueuedRoom, Row};
use crate::placement::headroom::Headroom;
use crate::placement::planner::Placer;
use crate::resources::{difference, dominant_share, fits};
use crate::runs::table::{Run, RunTraits};
use crate::scheduler::Scheduler;
use lupinrack_cluster_api::identity::{JobId, ServerId, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::{JobRecord, TaskRecord};
use lupinrack_dispatch::Arrival;
use std::collections::BTreeMap;

/// A task that waits for no room is placed anew after this time, in milliseconds.
const QUEUED_MOST_MS: u64 = 3_000;
/// The least cost of a task, as a part of its server.
const COST_LEAST: f64 = 1e-4;
/// The least weight of a stream.
const WEIGHT_LEAST: f64 = 1e-6;
/// Priorities from this one on weigh the same.
const PRIORITY_MOST: u32 = 16;

/// A task in the queue of a server.
#[derive(Clone, Debug)]
pub struct QueuedTask {
    /// The server.
    pub server: ServerId,
    /// What the run would be.
    pub traits: RunTraits,
    /// How long the run is expected to take.
    pub expected_ms: u64,
    /// The rack that holds its data; empty for none.
    pub affinity: String,
    /// Since when it is there.
    pub since: Millis,
}

/// The weights of the streams that have work now. A queue is a stream; the weight halves with each priority and is
/// shared by the queues of one priority, so that all weights add up to 1 at most.
#[derive(Clone, Debug, Default)]
pub struct StreamWeights {
    queues_of_priority: BTreeMap<u32, usize>,
}

impl StreamWeights {
    /// The weights for these queues, each given once with its priority.
    pub fn new(queues: impl Iterator<Item = u32>) -> StreamWeights {
        let mut weights = StreamWeights::default();
        for priority in queues {
            *weights
                .queues_of_priority
                .entry(priority.min(PRIORITY_MOST))
                .or_insert(0) += 1;
        }
        weights
    }

    /// The weight of a queue of this priority.
    pub fn weight(&self, priority: u32) -> f64 {
        let priority = priority.min(PRIORITY_MOST);
        let queues = self
            .queues_of_priority
            .get(&priority)
            .copied()
            .unwrap_or(1)
            .max(1);
        (0.5_f64.powi(priority as i32 + 1) / queues as f64).max(WEIGHT_LEAST)
    }
}

impl Scheduler {
    /// Takes the tasks of a job out of all queues.
    pub(crate) fn withdraw_job(&mut self, job: JobId) {
        let first = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let last = TaskId {
            job,
            occurrence: u32::MAX,
            step: u32::MAX,
            index: u32::MAX,
        };
        let tasks: Vec<TaskId> = self
            .queued
            .range(first..=last)
            .map(|(task, _)| *task)
            .collect();
        tasks.into_iter().for_each(|task| self.withdraw(task));
    }

    /// Takes all tasks out of the queue of a server that is gone.
    pub(crate) fn withdraw_server(&mut self, server: &ServerId) {
        for task in self.dispatcher.remove_server(server) {
            self.queued.remove(&task);
        }
    }

    fn withdraw(&mut self, task: TaskId) {
        if let Some(queued) = self.queued.remove(&task) {
            self.dispatcher.withdraw(&queued.server, &task);
        }
    }

    /// Takes tasks out of the queues of servers that are given nothing now, those that waited too long, and those for
    /// which another server has room now.
    pub(crate) fn tidy_queues(&mut self, rows: &mut [Row], now: Millis) {
        let misplaced = |(task, queued): (&TaskId, &QueuedTask)| {
            let own = rows.iter().find(|row| row.server == queued.server);
            let stays = own.is_some_and(|own| {
                let held_up = now.since(queued.since) > QUEUED_MOST_MS || own.suspected;
                !held_up && !has_room_elsewhere(queued, own, rows)
            });
            (!stays).then_some(*task)
        };
        let misplaced: Vec<TaskId> = self.queued.iter().filter_map(misplaced).collect();
        for task in misplaced {
            self.withdraw(task);
        }
        for row in rows {
            let queued = self
                .dispatcher
                .queued(&row.server)
                .filter_map(|task| self.queued.get(task));
            row.queued = queued.map(queued_room).collect();
        }
    }
}

fn queued_room(task: &QueuedTask) -> QueuedRoom {
    QueuedRoom {
        priority: task.traits.priority,
        needs: task.traits.needs,
    }
}

/// Whether a task that does not fit on its server now would fit on another one that is as good for it.
fn has_room_elsewhere(queued: &QueuedTask, own: &Row, rows: &[Row]) -> bool {
    if fits(&queued.traits.needs, &own.free) {
        return false;
    }
    rows.iter().any(|row| {
        let as_near = row.has_label(&queued.affinity) || !own.has_label(&queued.affinity);
        let room = row.free_for(queued.traits.priority);
        row.server != own.server && !row.suspected && as_near && fits(&queued.traits.needs, &room)
    })
}

impl Placer<'_> {
    /// Puts a task into the queue of a row's server.
    pub(crate) fn enqueue(
        &mut self,
        place: usize,
        task: TaskId,
        traits: RunTraits,
        affinity: &str,
    ) {
        let expected_ms = self.expected_ms(&traits);
        let row = &mut self.rows[place];
        let cost = dominant_share(&traits.needs, &row.facts.capacity).clamp(COST_LEAST, 1.0);
        let weight = self.weights.weight(traits.priority);
        let arrival = Arrival {
            task,
            stream: traits.queue.clone(),
            weight,
            cost,
        };
        self.dispatcher.enqueue(&row.server, arrival, self.now);
        row.queued.push(QueuedRoom {
            priority: traits.priority,
            needs: traits.needs,
        });
        let server = row.server.clone();
        let affinity = affinity.to_owned();
        self.queued.insert(
            task,
            QueuedTask {
                server,
                traits,
                expected_ms,
                affinity,
                since: self.now,
            },
        );
    }

    fn expected_ms(&self, traits: &RunTraits) -> u64 {
        if traits.long_running {
            return NEVER_MS;
        }
        let near_ms = self
            .durations
            .expected_ms(&traits.queue, traits.estimate_ms);
        (near_ms as f64 * traits.distance_factor) as u64
    }

    /// Releases, in the order of tags, what fits on each server now, and proposes the starts.
    pub(crate) fn release_all(&mut self) {
        for place in 0..self.rows.len() {
            if !self.rows[place].queued.is_empty() {
                self.release_row(place);
            }
        }
    }

    fn release_row(&mut self, place: usize) {
        let now = self.now;
        let queued = &*self.queued;
        let headroom = &mut self.headroom;
        let row = &mut self.rows[place];
        let (server, running) = (row.server.clone(), row.running);
        let released = self.dispatcher.release(&server, running, now, |task| {
            queued
                .get(task)
                .is_some_and(|task| take_room(row, headroom, task, now))
        });
        for task in released {
            if let Some(queued) = self.queued.remove(&task) {
                self.propose(place, task, queued.traits);
            }
        }
    }

    /// Proposes the start of a single task whose room was taken.
    fn propose(&mut self, place: usize, task: TaskId, traits: RunTraits) {
        let record = self
            .state
            .job(task.job)
            .and_then(|job| task_record(job, task));
        let start = StartRecord {
            task,
            attempt: record.map_or(0, |record| record.attempt) + 1,
            server: self.rows[place].server.clone(),
            checkpoint: record.map_or_else(String::new, |record| record.checkpoint.clone()),
        };
        self.note_start(place, &start, traits);
        self.starts.push(vec![start]);
    }

    /// Notes a start whose room was taken.
    pub(crate) fn note_start(&mut self, place: usize, start: &StartRecord, traits: RunTraits) {
        let row = &mut self.rows[place];
        row.running += 1;
        if row.suspected {
            self.evidence.trial(&row.server, self.now);
        }
        self.runs.insert(Run::proposed(start, traits, self.now));
    }

    /// Charges the stream of a gang for a member. A gang starts as one, so its members do not wait for their tags; they
    /// pass the queue and move the server's virtual time.
    pub(crate) fn charge(&mut self, place: usize, task: TaskId, traits: &RunTraits) {
        let row = &self.rows[place];
        let cost = dominant_share(&traits.needs, &row.facts.capacity).clamp(COST_LEAST, 1.0);
        let weight = self.weights.weight(traits.priority);
        let arrival = Arrival {
            task,
            stream: traits.queue.clone(),
            weight,
            cost,
        };
        self.dispatcher.enqueue(&row.server, arrival, self.now);
        self.dispatcher
            .release(&row.server, row.running, self.now, |waiting| {
                *waiting == task
            });
        self.dispatcher.withdraw(&row.server, &task);
    }
}

/// Takes room for a queued task if it fits beside more urgent queued work and what is reserved.
fn take_room(row: &mut Row, headroom: &mut Headroom, task: &QueuedTask, now: Millis) -> bool {
    let (priority, needs) = (task.traits.priority, task.traits.needs);
    let fits_now =
        fits(&needs, &row.free_beside_urgent(priority)) && headroom.allows(priority, &needs, 1);
    if !fits_now || !row.admits(priority, &needs, now.plus(task.expected_ms)) {
        return false;
    }
    row.free = difference(&row.free, &needs);
    headroom.take(&needs);
    let own = QueuedRoom { priority, needs };
    if let Some(place) = row.queued.iter().position(|queued| *queued == own) {
        row.queued.swap_remove(place);
    }
    true
}

/// The record of a task; none before the first start of its time.
pub fn task_record(job: &JobRecord, task: TaskId) -> Option<&TaskRecord> {
    job.task(task.occurrence, task.step, task.index)
}
