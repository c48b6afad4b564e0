//! What the owner learned from runs: how long work takes, and which servers fail or are slow.

pub(crate) mod durations;
pub(crate) mod faults;
pub(crate) mod speeds;

use crate::history::durations::DurationModel;
use crate::history::faults::FaultHistory;
use crate::history::speeds::SpeedHistory;
use lupinrack_cluster_api::identity::ServerId;

/// What was learned since this owner took the shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// How long work takes, by queue.
    pub(crate) durations: DurationModel,
    /// Faults of servers and tasks.
    pub(crate) faults: FaultHistory,
    /// How fast servers are.
    pub(crate) speeds: SpeedHistory,
}

impl History {
    /// Forgets a server.
    pub(crate) fn forget_server(&mut self, server: &ServerId) {
        self.faults.forget_server(server);
        self.speeds.forget_server(server);
    }
}
