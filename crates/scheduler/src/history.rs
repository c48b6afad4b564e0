//! What the owner has learned from runs: the durations of work, and which servers are faulty or
//! slow.

pub(crate) mod durations;
pub(crate) mod faults;
pub(crate) mod speeds;

use crate::history::durations::DurationModel;
use crate::history::faults::FaultHistory;
use crate::history::speeds::SpeedHistory;
use lupinrack_cluster_api::identity::ServerId;

/// What this owner has learned since it took over the shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// The durations of work, by queue.
    pub(crate) durations: DurationModel,
    /// The faults of servers and tasks.
    pub(crate) faults: FaultHistory,
    /// The speeds of servers.
    pub(crate) speeds: SpeedHistory,
}

impl History {
    /// Removes the faults and the speed of a server.
    pub(crate) fn remove_server(&mut self, server: &ServerId) {
        self.faults.remove_server(server);
        self.speeds.remove_server(server);
    }
}
