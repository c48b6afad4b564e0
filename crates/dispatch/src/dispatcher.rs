//! The dispatcher: the task queues of all servers of one owner, and the streams that share them.

use crate::cost::Cost;
use crate::delay::hybrid_delay;
use crate::server_queue::{QueuedTask, ServerQueue};
use crate::settings::DispatchSettings;
use crate::stream_state::StreamState;
use crate::tags::{valid_weight, Load, Tag, Tags};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::hash::Hash;

/// An identifier of a server, a stream or a task.
pub trait Key: Clone + Eq + Ord + Hash + Debug {}

impl<T: Clone + Eq + Ord + Hash + Debug> Key for T {}

/// A task to be enqueued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival<Stream, Task> {
    /// The task.
    pub task: Task,
    /// The stream that is charged for it.
    pub stream: Stream,
    /// The weight of the stream (`φ`), above 0 and at most 1.
    pub weight: f64,
    /// The cost of the task, in units of capacity.
    pub cost: f64,
}

/// HYBRID-DSFQ over the task queue of each server; see the [crate] documentation.
#[derive(Clone, Debug)]
pub struct Dispatcher<Server, Stream, Task> {
    settings: DispatchSettings,
    queues: BTreeMap<Server, ServerQueue<Stream, Task>>,
    streams: BTreeMap<Stream, StreamState<Server>>,
    next_sequence: u64,
    /// When idle streams were last removed.
    last_sweep: Millis,
}

impl<Server: Key, Stream: Key, Task: Key> Dispatcher<Server, Stream, Task> {
    /// A dispatcher without servers or streams.
    pub fn new(settings: DispatchSettings) -> Self {
        Dispatcher {
            settings,
            queues: BTreeMap::new(),
            streams: BTreeMap::new(),
            next_sequence: 0,
            last_sweep: Millis::default(),
        }
    }

    /// Adds a task to the queue of a server and returns its tags. A task that is already queued
    /// there keeps its tags. An unknown server is added.
    pub fn enqueue(
        &mut self,
        server: &Server,
        arrival: Arrival<Stream, Task>,
        now: Millis,
    ) -> Tags {
        self.remove_idle_streams(now);
        if let Some(tags) = self.tags(server, &arrival.task) {
            return tags;
        }
        let Arrival { task, stream, .. } = arrival;
        let weight = valid_weight(arrival.weight);
        let cost = Cost::from_units(arrival.cost);
        let tags = self.next_tags(server, &stream, weight, cost, now);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.streams
            .entry(stream.clone())
            .or_default()
            .enqueued(server, sequence, cost, tags, now);
        self.queues
            .entry(server.clone())
            .or_default()
            .insert(QueuedTask::new(task, stream, sequence, cost, tags));
        tags
    }

    /// Removes a task from a server's queue without running it. Returns whether it was queued there.
    ///
    /// Its cost is refunded. If it was its stream's last task on this server, its start tag becomes
    /// the stream's previous finish tag there.
    pub fn withdraw(&mut self, server: &Server, task: &Task) -> bool {
        let removed = self
            .queues
            .get_mut(server)
            .and_then(|queue| queue.remove(task));
        if let Some(queued) = &removed {
            self.refund(server, queued);
        }
        removed.is_some()
    }

    /// Removes the tasks that the server should start now, and returns them in the order of their
    /// start tags.
    ///
    /// `running` is the number of tasks that the server already has, including those that are being
    /// started or stopped. `fits` is called in the order of start tags. Each task for which it
    /// returns `true` is released, so `fits` may reserve capacity for that task.
    pub fn release(
        &mut self,
        server: &Server,
        running: usize,
        now: Millis,
        fits: impl FnMut(&Task) -> bool,
    ) -> Vec<Task> {
        let max_tasks = self.settings.depth.saturating_sub(running);
        let Some(queue) = self.queues.get_mut(server) else {
            return Vec::new();
        };
        let released = queue.release(max_tasks, self.settings.max_bypasses, fits);
        for queued in &released {
            if let Some(stream) = self.streams.get_mut(&queued.stream) {
                stream.released(server, now);
            }
        }
        released.into_iter().map(|queued| queued.task).collect()
    }

    /// The tasks in the queue of a server, in the order of their start tags.
    pub fn queued(&self, server: &Server) -> impl Iterator<Item = &Task> {
        self.queues
            .get(server)
            .into_iter()
            .flat_map(|queue| queue.iter().map(|queued| &queued.task))
    }

    /// Removes a server. Returns the tasks of its queue, in the order of their start tags.
    pub fn remove_server(&mut self, server: &Server) -> Vec<Task> {
        let Some(queue) = self.queues.remove(server) else {
            return Vec::new();
        };
        for queued in queue.iter() {
            self.refund(server, queued);
        }
        for stream in self.streams.values_mut() {
            stream.remove_server(server);
        }
        queue.iter().map(|queued| queued.task.clone()).collect()
    }

    /// A server's virtual time `v`: the highest start tag released there, initially zero.
    pub fn virtual_time(&self, server: &Server) -> Tag {
        self.queues
            .get(server)
            .map_or(Tag::default(), ServerQueue::virtual_time)
    }

    /// The tags of a task in the queue of a server; `None` if it is not queued there.
    pub fn tags(&self, server: &Server, task: &Task) -> Option<Tags> {
        self.queues.get(server)?.get(task).map(|queued| queued.tags)
    }

    /// The number of streams whose state is kept.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    fn next_tags(
        &mut self,
        server: &Server,
        stream: &Stream,
        weight: f64,
        cost: Cost,
        now: Millis,
    ) -> Tags {
        if !self.settings.orders_by_start_tag {
            // Among equal tags, the sequence number decides: tasks are released in the order of arrival.
            return Tags::default();
        }
        self.remove_if_idle(stream, now);
        let state = self.streams.entry(stream.clone()).or_default();
        let remote_cost = state.remote_cost(server).units();
        let previous_finish = state.previous_finish(server);
        let cost = cost.units();
        let ratio = self.settings.minimum_weight_ratio;
        let load = Load {
            delay: hybrid_delay(remote_cost, cost, weight, ratio),
            cost,
            weight,
        };
        Tags::new(self.virtual_time(server), previous_finish, load)
    }

    fn refund(&mut self, server: &Server, queued: &QueuedTask<Stream, Task>) {
        if let Some(stream) = self.streams.get_mut(&queued.stream) {
            stream.withdrawn(server, queued.sequence, queued.cost, queued.tags);
        }
    }

    fn remove_if_idle(&mut self, stream: &Stream, now: Millis) {
        let idle_ms = self.settings.stream_idle_ms;
        let Some(state) = self.streams.get_mut(stream) else {
            return;
        };
        state.remove_idle_servers(now, idle_ms);
        if state.is_idle(now, idle_ms) {
            self.streams.remove(stream);
        }
    }

    /// Frees the state of idle streams, at most once per `stream_idle_ms`. Tags do not depend on it,
    /// since [`Self::enqueue`] checks its own stream each time.
    fn remove_idle_streams(&mut self, now: Millis) {
        let idle_ms = self.settings.stream_idle_ms;
        if now.since(self.last_sweep) < idle_ms {
            return;
        }
        self.last_sweep = now;
        self.streams.retain(|_, state| {
            state.remove_idle_servers(now, idle_ms);
            !state.is_idle(now, idle_ms)
        });
    }
}
