//! What is kept of a stream: its units in all, and its last task on each server.

use crate::tags::{Tag, Tags, Units};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// A stream on one server.
#[derive(Clone, Debug, Default)]
struct StreamOnServer {
    /// `F_prev`.
    finish: Tag,
    /// The sequence number of its last task here.
    last_sequence: u64,
    /// The stream's units in all when that task was placed, itself included.
    total_then: Units,
    /// How many of its tasks wait here.
    waiting: usize,
    /// When a task was last placed or released here.
    last_active: Millis,
}

/// A stream on all servers of a dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Stream<Server> {
    /// Units placed on any server, without those withdrawn.
    total: Units,
    /// When a task was last placed or released on any server.
    last_active: Millis,
    servers: BTreeMap<Server, StreamOnServer>,
}

impl<Server> Default for Stream<Server> {
    fn default() -> Self {
        Stream {
            total: Units::default(),
            last_active: Millis::default(),
            servers: BTreeMap::new(),
        }
    }
}

impl<Server: Clone + Ord> Stream<Server> {
    /// Drops what has been idle for `idle_ms`; tells whether nothing is left.
    pub(crate) fn drop_idle(&mut self, now: Millis, idle_ms: u64) -> bool {
        self.servers
            .retain(|_, entry| entry.waiting > 0 || now.since(entry.last_active) < idle_ms);
        self.servers.is_empty() && now.since(self.last_active) >= idle_ms
    }

    /// `F_prev` at this server; zero where the stream has none.
    pub(crate) fn previous_finish(&self, server: &Server) -> Tag {
        self.servers
            .get(server)
            .map_or(Tag::default(), |entry| entry.finish)
    }

    /// Units placed on other servers since the stream's last task on this one, or since the record of the stream
    /// began.
    pub(crate) fn elsewhere(&self, server: &Server) -> Units {
        let then = self
            .servers
            .get(server)
            .map_or(Units::default(), |entry| entry.total_then);
        self.total.minus(then)
    }

    /// Notes a task placed on this server.
    pub(crate) fn placed(
        &mut self,
        server: &Server,
        sequence: u64,
        cost: Units,
        tags: Tags,
        now: Millis,
    ) {
        self.last_active = now;
        self.total = self.total.plus(cost);
        let total = self.total;
        let entry = self.entry(server);
        entry.finish = tags.finish;
        entry.last_sequence = sequence;
        entry.total_then = total;
        entry.waiting += 1;
        entry.last_active = now;
    }

    /// Notes that a task has left the queue of this server to run there.
    pub(crate) fn released(&mut self, server: &Server, now: Millis) {
        self.last_active = now;
        if let Some(entry) = self.servers.get_mut(server) {
            entry.waiting = entry.waiting.saturating_sub(1);
            entry.last_active = now;
        }
    }

    /// Notes that a task has left the queue of this server without having run. Its units count no longer, and if it was
    /// the stream's last task here, its time in the virtual order is given back.
    pub(crate) fn withdrawn(&mut self, server: &Server, sequence: u64, cost: Units, tags: Tags) {
        self.uncount(sequence, cost);
        if let Some(entry) = self.servers.get_mut(server) {
            entry.waiting = entry.waiting.saturating_sub(1);
            if entry.last_sequence == sequence {
                entry.finish = tags.start;
            }
        }
    }

    /// Forgets this server.
    pub(crate) fn forget(&mut self, server: &Server) {
        self.servers.remove(server);
    }

    /// Takes units out of the total, and out of all remembered totals that hold them.
    fn uncount(&mut self, sequence: u64, cost: Units) {
        self.total = self.total.minus(cost);
        for entry in self
            .servers
            .values_mut()
            .filter(|entry| entry.last_sequence >= sequence)
        {
            entry.total_then = entry.total_then.minus(cost);
        }
    }

    fn entry(&mut self, server: &Server) -> &mut StreamOnServer {
        if !self.servers.contains_key(server) {
            self.servers
                .insert(server.clone(), StreamOnServer::default());
        }
        self.servers.get_mut(server).expect("inserted above")
    }
}
