//! The servers as a round of placement sees them.

use crate::estimator::rest_ms;
use crate::resources::{copies, difference, dominant_share, fits, sum};
use crate::scheduler::Scheduler;
use crate::servers::table::{rack_of, Server};
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Room on a server that will be free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreedRoom {
    /// When.
    pub at: Millis,
    /// What.
    pub room: Resources,
}

/// Work that waits in a server's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRoom {
    /// The priority of the work.
    pub priority: u32,
    /// What it needs.
    pub needs: Resources,
}

/// Room that is kept for work which waits for several servers or most of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// When that work is expected to start.
    pub until: Millis,
    /// Its priority; more urgent work is not held back.
    pub priority: u32,
    /// What it needs on this server.
    pub needs: Resources,
}

/// What is left of a server, in parts of its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeftRoom {
    /// The sum of the free parts of each resource.
    pub total: f64,
    /// By how much the free parts of processor and memory differ.
    pub unevenness: f64,
}

/// A server that may be given work.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its identity.
    pub server: ServerId,
    /// What it says of itself.
    pub facts: Arc<ServerFacts>,
    /// What is neither used nor given away in this round.
    pub free: Resources,
    /// What waits in its queue.
    pub queued: Vec<QueuedRoom>,
    /// The runs on it.
    pub running: usize,
    /// Whether it is suspected of failing what it is given.
    pub suspected: bool,
    /// How many times as long work takes on it as elsewhere; 1 where that is not remarkable.
    pub slowness: f64,
    /// Room that will be free, soonest first.
    pub freed: Vec<FreedRoom>,
    /// What is kept of it.
    pub reservation: Option<Reservation>,
}

impl Row {
    /// Whether it has this label; every server has the empty one.
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.facts.labels.iter().any(|own| own == label)
    }

    /// The label of its rack.
    pub fn rack(&self) -> &str {
        rack_of(&self.facts)
    }

    /// What is free beside queued work of the same or higher priority.
    pub fn free_for(&self, priority: u32) -> Resources {
        let ahead = self
            .queued
            .iter()
            .filter(|queued| queued.priority <= priority);
        ahead.fold(self.free, |free, queued| difference(&free, &queued.needs))
    }

    /// What is free beside queued work of higher priority.
    pub fn free_beside_urgent(&self, priority: u32) -> Resources {
        let ahead = self
            .queued
            .iter()
            .filter(|queued| queued.priority < priority);
        ahead.fold(self.free, |free, queued| difference(&free, &queued.needs))
    }

    /// The part of its capacity that waits in its queue, with `more`.
    pub fn queue_share(&self, more: &Resources) -> f64 {
        let total = self
            .queued
            .iter()
            .fold(*more, |total, queued| sum(&total, &queued.needs));
        dominant_share(&total, &self.facts.capacity)
    }

    /// Whether work of this priority that ends at `ends_at` may take `needs` in spite of a reservation.
    pub fn admits(&self, priority: u32, needs: &Resources, ends_at: Millis) -> bool {
        self.reservation.as_ref().is_none_or(|kept| {
            let beside = fits(&sum(needs, &kept.needs), &self.free);
            priority < kept.priority || ends_at <= kept.until || beside
        })
    }

    /// What would be left of it with `needs` taken, beside all that waits in its queue.
    pub fn left_after(&self, needs: &Resources) -> LeftRoom {
        let queued = self
            .queued
            .iter()
            .fold(self.free, |free, queued| difference(&free, &queued.needs));
        let left = difference(&queued, needs);
        let part = |left: u64, capacity: u64| {
            if capacity == 0 {
                0.0
            } else {
                left as f64 / capacity as f64
            }
        };
        let capacity = &self.facts.capacity;
        let cpu = part(left.cpu, capacity.cpu);
        let memory = part(left.memory_mb, capacity.memory_mb);
        let gpu = part(left.gpu, capacity.gpu);
        LeftRoom {
            total: cpu + memory + gpu,
            unevenness: (cpu - memory).abs(),
        }
    }

    /// Keeps room, beside what is kept already.
    pub fn reserve(&mut self, more: Reservation) {
        let kept = self.reservation.get_or_insert(Reservation {
            needs: Resources::default(),
            ..more
        });
        kept.needs = sum(&kept.needs, &more.needs);
        kept.until = kept.until.min(more.until);
        kept.priority = kept.priority.min(more.priority);
    }
}

/// How many tasks a row takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The place of the row.
    pub row: usize,
    /// How many.
    pub count: u64,
}

/// What [`earliest`] looks for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// What each task needs.
    pub needs: Resources,
    /// How many tasks.
    pub count: u64,
    /// The priority.
    pub priority: u32,
}

/// The soonest that these rows have room for all wanted tasks at once, and how the tasks would be shared out.
/// `most_on` is how many of them a row may hold.
pub fn earliest(
    rows: &[Row],
    chosen: &[usize],
    wanted: &Wanted,
    most_on: impl Fn(usize) -> u64,
    now: Millis,
) -> Option<(Millis, Vec<Share>)> {
    let mut free: Vec<Resources> = chosen
        .iter()
        .map(|row| rows[*row].free_for(wanted.priority))
        .collect();
    let count_on =
        |place: usize, free: &Resources| copies(&wanted.needs, free, most_on(chosen[place]));
    let mut counts: Vec<u64> = free
        .iter()
        .enumerate()
        .map(|(place, free)| count_on(place, free))
        .collect();
    let mut total: u64 = counts.iter().sum();
    let mut at = now;
    let mut events = if total < wanted.count {
        freed_in_order(rows, chosen)
    } else {
        Vec::new()
    }
    .into_iter();
    while total < wanted.count {
        let (freed_at, place, room) = events.next()?;
        free[place] = sum(&free[place], &room);
        total -= counts[place];
        counts[place] = count_on(place, &free[place]);
        total += counts[place];
        at = freed_at;
    }
    Some((at, share_out(chosen, &counts, wanted.count)))
}

/// When room comes free on the chosen rows, by their places among the chosen.
fn freed_in_order(rows: &[Row], chosen: &[usize]) -> Vec<(Millis, usize, Resources)> {
    let mut events = Vec::new();
    for (place, row) in chosen.iter().enumerate() {
        events.extend(
            rows[*row]
                .freed
                .iter()
                .map(|freed| (freed.at, place, freed.room)),
        );
    }
    events.sort_by_key(|(at, place, _)| (*at, *place));
    events
}

/// Shares tasks out so that few rows are used.
fn share_out(chosen: &[usize], counts: &[u64], wanted: u64) -> Vec<Share> {
    let mut shares: Vec<Share> = chosen
        .iter()
        .zip(counts)
        .map(|(row, count)| Share {
            row: *row,
            count: *count,
        })
        .collect();
    shares.sort_by_key(|share| (std::cmp::Reverse(share.count), share.row));
    let mut left = wanted;
    for share in &mut shares {
        share.count = share.count.min(left);
        left -= share.count;
    }
    shares.retain(|share| share.count > 0);
    shares
}

impl Scheduler {
    /// The rows of all servers that may be given work now.
    pub(crate) fn rows(&self, now: Millis) -> Vec<Row> {
        let heartbeat_timeout_ms = self.settings.heartbeat_timeout_ms;
        let schedulable = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_schedulable(now, heartbeat_timeout_ms));
        let schedulable: Vec<(&ServerId, &Server)> = schedulable.collect();
        let ids: Vec<ServerId> = schedulable.iter().map(|(id, _)| (*id).clone()).collect();
        let suspects = self.evidence.suspects(&ids, now);
        schedulable
            .into_iter()
            .map(|(id, server)| self.row(id, server, &suspects, now))
            .collect()
    }

    fn row(
        &self,
        id: &ServerId,
        server: &Server,
        suspects: &BTreeSet<ServerId>,
        now: Millis,
    ) -> Row {
        let taken = sum(&self.runs.used(id), &server.foreign_use());
        let queued = self
            .dispatcher
            .queued(id)
            .filter_map(|task| self.queued.get(task));
        let queued = queued.map(|task| QueuedRoom {
            priority: task.traits.priority,
            needs: task.traits.needs,
        });
        let mut freed: Vec<FreedRoom> = self
            .runs
            .of_server(id)
            .filter(|run| !run.ended)
            .map(|run| FreedRoom {
                at: now.plus(rest_ms(run, &self.durations, &self.settings, now)),
                room: run.traits.needs,
            })
            .collect();
        freed.sort_by_key(|freed| freed.at);
        Row {
            server: id.clone(),
            facts: server.facts.clone(),
            free: difference(&server.facts.capacity, &taken),
            queued: queued.collect(),
            running: freed.len() + server.foreign.len(),
            suspected: suspects.contains(id),
            slowness: self.evidence.slowness(id, now),
            freed,
            reservation: None,
        }
    }
}

/// How many tasks with these needs a whole server could hold.
pub fn whole_copies(row: &Row, needs: &Resources, most: u64) -> u64 {
    copies(needs, &row.facts.capacity, most)
}
