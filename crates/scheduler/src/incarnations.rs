//! The ends of server incarnations.

use crate::history::History;
use crate::inferred_end::InferredEndReason;
use crate::queues::task_queues::TaskQueues;
use crate::run_tracker::RunTracker;
use crate::servers::table::ServerTable;
use lupinrack_cluster_api::identity::{PeerAddress, ServerId};
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::ControlState;

/// All that belongs to servers, so that it goes with them.
#[derive(Debug)]
pub(crate) struct Incarnations<'a> {
    /// The servers.
    pub(crate) servers: &'a mut ServerTable,
    /// Their runs.
    pub(crate) tracker: &'a mut RunTracker,
    /// Their queues.
    pub(crate) queues: &'a mut TaskQueues,
    /// What was learned of them.
    pub(crate) history: &'a mut History,
}

impl Incarnations<'_> {
    /// A server is gone, and with it all that ran there.
    pub(crate) fn remove(&mut self, id: &ServerId, reason: InferredEndReason) {
        self.tracker.infer_ends_on(id, reason);
        self.tracker.submissions.remove_binding(id);
        self.queues.remove_server(id);
        self.servers.remove(id);
        self.history.forget_server(id);
    }

    /// Infers the ends of runs on servers whose leases have expired. A server without a session is
    /// forgotten. The agent of another one may still have starts of before; it is sent all its orders
    /// anew before it gets another lease.
    pub(crate) fn expire_leases(&mut self, now: Millis, timeout_ms: u64) {
        for expired in self.servers.expired(now, timeout_ms) {
            let reason = InferredEndReason::LeaseExpired;
            if !expired.has_session {
                self.remove(&expired.id, reason);
            } else if self.tracker.infer_ends_on(&expired.id, reason) {
                self.queues.remove_server(&expired.id);
                self.servers.renew_session(&expired.id);
            }
        }
    }

    /// Has the agents recorded beside which servers were seen for the first time, and ends the
    /// incarnations that were there before.
    ///
    /// After a loss of power both the owner and the agents have forgotten which incarnation ran
    /// where. Without the recorded bindings a new owner would have to wait for the longest lease of
    /// each old one. Heartbeats may be late, so an incarnation that attaches is not always the latest:
    /// the replicated state tells which of two was seen first, and only one that was never seen
    /// before is later than all others.
    pub(crate) fn follow_bindings(&mut self, state: &ControlState) {
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
                self.servers.others_beside(agent, &id)
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
