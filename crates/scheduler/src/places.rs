//! Lives of servers that are over because a later one runs beside the same agent, also those that this owner never met.
//!
//! After a loss of power both the owner and the agents have forgotten which life ran where, and the servers come back as
//! new lives. Without the record of places a new owner would have to wait for the longest hold of every old life.

use crate::scheduler::Scheduler;
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_control_state::ControlState;

impl Scheduler {
    /// Has the places of servers recorded that were met for the first time, and ends the lives before them.
    pub(crate) fn follow_places(&mut self, state: &ControlState) {
        let attached =
            self.servers.iter().filter(|(id, server)| server.session.is_some() && !self.placed.contains(*id));
        let unplaced: Vec<_> = attached.map(|(id, server)| (id.clone(), server.agent)).collect();
        for (server, agent) in unplaced {
            if !state.servers.contains_key(&server) {
                self.submissions.add_server(server, agent);
                continue;
            }
            self.submissions.server_applied(&server);
            let over: Vec<ServerId> = state.earlier_lives(&server).into_iter().cloned().collect();
            over.iter().for_each(|earlier| self.server_gone(earlier));
            self.placed.insert(server);
        }
    }
}
