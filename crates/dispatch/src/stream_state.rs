//! The state of a stream: its cost over all servers, and its last task on each server.

use crate::cost::Cost;
use crate::tags::{Tag, Tags};
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// The state of a stream on one server.
#[derive(Clone, Debug, Default)]
struct ServerState {
    /// `F_prev`: the finish tag of the stream's last task here.
    finish: Tag,
    /// The sequence number of the stream's last task here.
    last_sequence: u64,
    /// The stream's total cost when that task was enqueued, the task included.
    total_cost_at_last: Cost,
    /// The number of the stream's tasks queued here.
    queued: usize,
    /// When a task was last enqueued or released here.
    last_active: Millis,
}

/// The state of a stream on all servers of a dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct StreamState<Server> {
    /// The cost of all tasks enqueued on any server, except withdrawn ones.
    total_cost: Cost,
    /// When a task was last enqueued or released on any server.
    last_active: Millis,
    servers: BTreeMap<Server, ServerState>,
}

impl<Server> Default for StreamState<Server> {
    fn default() -> Self {
        StreamState {
            total_cost: Cost::default(),
            last_active: Millis::default(),
            servers: BTreeMap::new(),
        }
    }
}

impl<Server: Clone + Ord> StreamState<Server> {
    /// Removes the servers on which the stream has been idle for `idle_ms`.
    pub(crate) fn remove_idle_servers(&mut self, now: Millis, idle_ms: u64) {
        self.servers
            .retain(|_, state| state.queued > 0 || now.since(state.last_active) < idle_ms);
    }

    /// Whether the stream has been idle for `idle_ms` on all servers, and these have been removed.
    pub(crate) fn is_idle(&self, now: Millis, idle_ms: u64) -> bool {
        self.servers.is_empty() && now.since(self.last_active) >= idle_ms
    }

    /// `F_prev` on this server; zero if the stream has no state there.
    pub(crate) fn previous_finish(&self, server: &Server) -> Tag {
        self.servers
            .get(server)
            .map_or(Tag::default(), |state| state.finish)
    }

    /// The cost enqueued on other servers since the stream's last task on this one, or since the
    /// state of the stream began.
    pub(crate) fn remote_cost(&self, server: &Server) -> Cost {
        let total_cost_at_last = self
            .servers
            .get(server)
            .map_or(Cost::default(), |state| state.total_cost_at_last);
        self.total_cost.minus(total_cost_at_last)
    }

    /// Records that a task was enqueued on this server.
    pub(crate) fn enqueued(
        &mut self,
        server: &Server,
        sequence: u64,
        cost: Cost,
        tags: Tags,
        now: Millis,
    ) {
        self.last_active = now;
        self.total_cost = self.total_cost.plus(cost);
        let state = self.servers.entry(server.clone()).or_default();
        state.finish = tags.finish;
        state.last_sequence = sequence;
        state.total_cost_at_last = self.total_cost;
        state.queued += 1;
        state.last_active = now;
    }

    /// Records that a task left the queue of this server to run there.
    pub(crate) fn released(&mut self, server: &Server, now: Millis) {
        self.last_active = now;
        if let Some(state) = self.servers.get_mut(server) {
            state.queued = state.queued.saturating_sub(1);
            state.last_active = now;
        }
    }

    /// Records that a task left the queue of this server without running. Its cost is refunded. If
    /// it was the stream's last task here, its start tag becomes `F_prev`.
    pub(crate) fn withdrawn(&mut self, server: &Server, sequence: u64, cost: Cost, tags: Tags) {
        self.refund(sequence, cost);
        if let Some(state) = self.servers.get_mut(server) {
            state.queued = state.queued.saturating_sub(1);
            if state.last_sequence == sequence {
                state.finish = tags.start;
            }
        }
    }

    /// Removes this server.
    pub(crate) fn remove_server(&mut self, server: &Server) {
        self.servers.remove(server);
    }

    /// Subtracts a cost from the total, and from the earlier totals that include it.
    fn refund(&mut self, sequence: u64, cost: Cost) {
        self.total_cost = self.total_cost.minus(cost);
        let including = self
            .servers
            .values_mut()
            .filter(|state| state.last_sequence >= sequence);
        for state in including {
            state.total_cost_at_last = state.total_cost_at_last.minus(cost);
        }
    }
}
