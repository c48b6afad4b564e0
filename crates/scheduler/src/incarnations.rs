//! Detects the ends of server incarnations, and removes their state.

use crate::history::History;
use crate::inferred_end::InferredEndReason;
use crate::queues::task_queues::TaskQueues;
use crate::run_tracker::RunTracker;
use crate::servers::table::ServerTable;
use lupinrack_cluster_api::identity::{PeerAddress, ServerId};
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::ControlState;

/// The state that is kept for servers and removed with them.
#[derive(Debug)]
pub(crate) struct Incarnations<'a> {
    pub(crate) servers: &'a mut ServerTable,
    /// The runs of the servers.
    pub(crate) tracker: &'a mut RunTracker,
    /// The queues of the servers.
    pub(crate) queues: &'a mut TaskQueues,
    /// What was learned about the servers.
    pub(crate) history: &'a mut History,
}

impl Incarnations<'_> {
    /// Removes a server that has ended, and infers the ends of its runs.
    pub(crate) fn remove(&mut self, id: &ServerId, reason: InferredEndReason) {
        self.tracker.infer_ends_on(id, reason);
        self.tracker.submissions.remove_binding(id);
        self.queues.remove_server(id);
        self.servers.remove(id);
        self.history.remove_server(id);
    }

    /// Infers the ends of runs on servers whose leases have expired. A server without a session is
    /// removed. If a server still has a session, its agent may have starts from before the expiry,
    /// so the session is reset: the agent receives its complete orders before it gets another
    /// lease.
    pub(crate) fn expire_leases(&mut self, now: Millis, timeout_ms: u64) {
        for expired in self.servers.expired(now, timeout_ms) {
            let reason = InferredEndReason::LeaseExpired;
            if !expired.has_session {
                self.remove(&expired.id, reason);
            } else if self.tracker.infer_ends_on(&expired.id, reason) {
                self.queues.remove_server(&expired.id);
                self.servers.reset_session(&expired.id);
            }
        }
    }

    /// Submits the bindings between agents and servers that are not recorded yet, and removes
    /// earlier incarnations of the same agent's server.
    ///
    /// After a power failure neither the owner nor the agents know which incarnation ran on which
    /// machine. Without the recorded bindings a new owner would have to wait until the longest
    /// lease of each old incarnation has expired. Heartbeats can be delayed, so the incarnation
    /// that attaches last is not always the latest one. The replicated state records which of two
    /// incarnations was seen first. Only an incarnation that was never seen before is known to be
    /// later than all others.
    pub(crate) fn reconcile_bindings(&mut self, state: &ControlState) {
        let unchecked: Vec<(ServerId, PeerAddress)> = self
            .servers
            .attached()
            .filter(|(_, server)| !server.binding_checked)
            .map(|(id, server)| (id.clone(), server.agent))
            .collect();
        for (id, agent) in unchecked {
            let bindings = state.bindings();
            let is_recorded = bindings.get(&id).is_some();
            let earlier = if is_recorded {
                let earlier = bindings.earlier_incarnations(&id);
                earlier.into_iter().cloned().collect()
            } else {
                self.servers.other_incarnations_of(agent, &id)
            };
            for incarnation in earlier {
                self.remove(&incarnation, InferredEndReason::LaterIncarnation);
            }
            if !is_recorded {
                self.tracker.submissions.add_binding(id, agent);
                continue;
            }
            self.tracker.submissions.remove_binding(&id);
            if let Some(server) = self.servers.get_mut(&id) {
                server.binding_checked = true;
            }
        }
    }
}
