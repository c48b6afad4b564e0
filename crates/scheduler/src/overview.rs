//! A read-only overview of the servers and their work.

use crate::history::History;
use crate::queues::task_queues::TaskQueues;
use crate::resources::{difference, sum};
use crate::runs::table::RunTable;
use crate::servers::server::Server;
use crate::servers::table::ServerTable;
use crate::settings::SchedulerSettings;
use lupinrack_cluster_api::identity::ServerId;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

/// The servers, their runs and queues, and what was learned from runs, at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Overview<'a> {
    pub(crate) servers: &'a ServerTable,
    /// The runs on the servers.
    pub(crate) runs: &'a RunTable,
    /// The tasks in the queues of the servers.
    pub(crate) queues: &'a TaskQueues,
    /// The durations, faults and speeds learned from runs.
    pub(crate) history: &'a History,
    pub(crate) settings: &'a SchedulerSettings,
    /// The time of the overview.
    pub(crate) now: Millis,
}

impl Overview<'_> {
    /// The capacity of a server that no run uses.
    pub(crate) fn free(&self, id: &ServerId, server: &Server) -> Resources {
        let in_use = sum(&self.runs.used(id), &server.unexpected_usage());
        difference(&server.facts.capacity, &in_use)
    }
}
