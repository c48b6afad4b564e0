//! Queues of all servers of one owner, and the streams that share them.

use crate::delay::hybrid_delay;
use crate::server_queue::{ServerQueue, Waiting};
use crate::settings::DispatchSettings;
use crate::stream_state::Stream as StreamRecord;
use crate::tags::{tags, valid_weight, Tag, Tags, Units};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::hash::Hash;

/// What may name a server, a stream or a task.
pub trait Key: Clone + Eq + Ord + Hash + Debug {}

impl<T: Clone + Eq + Ord + Hash + Debug> Key for T {}

/// HYBRID-DSFQ over the tasks that wait for each server; see the [crate] documentation.
#[derive(Clone, Debug)]
pub struct Dispatcher<Server, Stream, Task> {
    settings: DispatchSettings,
    queues: BTreeMap<Server, ServerQueue<Stream, Task>>,
    streams: BTreeMap<Stream, StreamRecord<Server>>,
    next_sequence: u64,
    swept_at: Millis,
}

impl<Server: Key, Stream: Key, Task: Key> Dispatcher<Server, Stream, Task> {
    /// A dispatcher without servers and streams.
    pub fn new(settings: DispatchSettings) -> Self {
        Dispatcher {
            settings,
            queues: BTreeMap::new(),
            streams: BTreeMap::new(),
            next_sequence: 0,
            swept_at: Millis::default(),
        }
    }

    /// Queues a task for a server and gives its tags. A task that waits there already keeps its tags.
    ///
    /// `weight` is the stream's `φ`, above 0 and at most 1; `cost` is in units of capacity. A server that is not known
    /// is added.
    pub fn place(
        &mut self,
        server: &Server,
        stream: &Stream,
        weight: f64,
        cost: f64,
        task: Task,
        now: Millis,
    ) -> Tags {
        self.sweep(now);
        if let Some(tags) = self.tags(server, &task) {
            return tags;
        }
        let (weight, cost) = (valid_weight(weight), Units::of_cost(cost));
        let tags = self.next_tags(server, stream, weight, cost, now);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let record = self.streams.entry(stream.clone()).or_default();
        record.placed(server, sequence, cost, tags, now);
        self.queue(server)
            .insert(Waiting::new(task, stream.clone(), sequence, cost, tags));
        tags
    }

    /// Takes a task out of a server's queue without running it; tells whether it waited there.
    ///
    /// Its units are not counted any longer. If it was its stream's last task on this server, the next one starts from
    /// its start tag.
    pub fn withdraw(&mut self, server: &Server, task: &Task) -> bool {
        let removed = self
            .queues
            .get_mut(server)
            .and_then(|queue| queue.remove(task));
        if let Some(waiting) = &removed {
            self.give_back(server, waiting);
        }
        removed.is_some()
    }

    /// Takes out the tasks that the server should start now, in the order of their start tags.
    ///
    /// `running` is how many tasks the server has already, those included that are being started or stopped. `fits` is
    /// asked in the order of tags; a task for which it says yes is released, so that it may reserve capacity.
    pub fn release(
        &mut self,
        server: &Server,
        running: usize,
        now: Millis,
        fits: impl FnMut(&Task) -> bool,
    ) -> Vec<Task> {
        let room = self.settings.depth.saturating_sub(running);
        let Some(queue) = self.queues.get_mut(server) else {
            return Vec::new();
        };
        let released = queue.release(room, self.settings.passes_most, fits);
        for waiting in &released {
            if let Some(record) = self.streams.get_mut(&waiting.stream) {
                record.released(server, now);
            }
        }
        released.into_iter().map(|waiting| waiting.task).collect()
    }

    /// The tasks that wait for a server, in the order of their start tags.
    pub fn queued(&self, server: &Server) -> impl Iterator<Item = &Task> {
        self.queues
            .get(server)
            .into_iter()
            .flat_map(|queue| queue.iter().map(|waiting| &waiting.task))
    }

    /// Forgets a server; gives the tasks that waited for it, in the order of their start tags.
    pub fn remove_server(&mut self, server: &Server) -> Vec<Task> {
        let Some(queue) = self.queues.remove(server) else {
            return Vec::new();
        };
        for waiting in queue.iter() {
            self.give_back(server, waiting);
        }
        for record in self.streams.values_mut() {
            record.forget(server);
        }
        queue.iter().map(|waiting| waiting.task.clone()).collect()
    }

    /// Whether a task waits for a server.
    pub fn contains(&self, server: &Server, task: &Task) -> bool {
        self.tags(server, task).is_some()
    }

    /// A server's `v`: the highest start tag that was released there, zero at first.
    pub fn virtual_time(&self, server: &Server) -> Tag {
        self.queues
            .get(server)
            .map_or(Tag::default(), ServerQueue::virtual_time)
    }

    /// The tags of a task that waits for a server.
    pub fn tags(&self, server: &Server, task: &Task) -> Option<Tags> {
        self.queues
            .get(server)?
            .get(task)
            .map(|waiting| waiting.tags)
    }

    /// How many streams are remembered.
    pub fn streams(&self) -> usize {
        self.streams.len()
    }

    fn next_tags(
        &mut self,
        server: &Server,
        stream: &Stream,
        weight: f64,
        cost: Units,
        now: Millis,
    ) -> Tags {
        self.drop_if_idle(stream, now);
        let record = self.streams.entry(stream.clone()).or_default();
        let elsewhere = record.elsewhere(server).as_f64();
        let delay = hybrid_delay(
            elsewhere,
            cost.as_f64(),
            weight,
            self.settings.minimum_weight_ratio,
        );
        let previous_finish = record.previous_finish(server);
        tags(
            self.virtual_time(server),
            previous_finish,
            delay,
            cost.as_f64(),
            weight,
        )
    }

    fn queue(&mut self, server: &Server) -> &mut ServerQueue<Stream, Task> {
        self.queues.entry(server.clone()).or_default()
    }

    fn give_back(&mut self, server: &Server, waiting: &Waiting<Stream, Task>) {
        if let Some(record) = self.streams.get_mut(&waiting.stream) {
            record.withdrawn(server, waiting.sequence, waiting.cost, waiting.tags);
        }
    }

    fn drop_if_idle(&mut self, stream: &Stream, now: Millis) {
        let idle_ms = self.settings.stream_idle_ms;
        let gone = self
            .streams
            .get_mut(stream)
            .is_some_and(|record| record.drop_idle(now, idle_ms));
        if gone {
            self.streams.remove(stream);
        }
    }

    /// Frees the records of idle streams, once in the time after which they are idle. What a placement sees does not
    /// depend on it, since that looks at its own stream's record each time.
    fn sweep(&mut self, now: Millis) {
        let idle_ms = self.settings.stream_idle_ms;
        if now.since(self.swept_at) < idle_ms {
            return;
        }
        self.swept_at = now;
        self.streams
            .retain(|_, record| !record.drop_idle(now, idle_ms));
    }
}
