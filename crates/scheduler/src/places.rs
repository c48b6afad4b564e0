//! Lives of servers that are over because a later one runs beside the same agent, also those that this owner never met.
//!
//! After a loss of power both the owner and the agents have forgotten which life ran where, and the servers come back as
//! new lives. Without the record of places a new owner would have to wait for the longest hold of every old life.
//!
//! Heartbeats may be late, so a life that attaches is not always the later one: the record tells which of two was met
//! first, and only a life that nobody has met before is later than all that were.

use crate::inferred_end::InferredEndReason;
use crate::scheduler::Scheduler;
use lupinrack_cluster_api::identity::{PeerAddress, ServerId};
use lupinrack_control_state::ControlState;

impl Scheduler {
    /// Has the places of servers recorded that were met for the first time, and ends the lives before them.
    pub(crate) fn follow_places(&mut self, state: &ControlState) {
        let attached = self
            .servers
            .iter()
            .filter(|(id, server)| server.session.is_some() && !self.placed.contains(*id));
        let unplaced: Vec<_> = attached
            .map(|(id, server)| (id.clone(), server.agent))
            .collect();
        for (server, agent) in unplaced {
            if state.bindings().get(&server).is_some() {
                self.submissions.forget_server(&server);
                let earlier = state
                    .bindings()
                    .earlier_incarnations(&server)
                    .into_iter()
                    .cloned()
                    .collect();
                self.end_incarnations(earlier);
                self.placed.insert(server);
            } else {
                self.end_incarnations(self.others_beside(agent, &server));
                self.submissions.add_server(server, agent);
            }
        }
    }

    /// The other lives that this owner met beside an agent.
    fn others_beside(&self, agent: PeerAddress, incarnation: &ServerId) -> Vec<ServerId> {
        let others = self
            .servers
            .iter()
            .filter(|(id, server)| server.agent == agent && *id != incarnation);
        others.map(|(id, _)| id.clone()).collect()
    }

    fn end_incarnations(&mut self, incarnations: Vec<ServerId>) {
        incarnations.iter().for_each(|incarnation| {
            self.server_gone(incarnation, InferredEndReason::LaterIncarnation)
        });
    }
}
