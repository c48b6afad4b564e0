//! The life of the server that beats now.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::time::Millis;

/// What the agent knows of the living server.
#[derive(Clone, Debug)]
pub(crate) struct Life {
    pub(crate) facts: ServerFacts,
    /// Its newest heartbeat.
    pub(crate) heartbeat: Heartbeat,
    /// The owner's newest message with orders that the heartbeat's `orders_seen` covers.
    pub(crate) orders_answered: u64,
    /// Whether the heartbeat lists every end that was not observed.
    pub(crate) all_ends_listed: bool,
    /// Whether it has said that it drains, or that it leaves; that does not end.
    pub(crate) draining: bool,
    /// Whether it has said that it leaves without having said before that it drains: it serves on for a while.
    pub(crate) left_first: bool,
    /// Ends up to this number may be forgotten.
    pub(crate) observed: u64,
    /// After this moment it counts as silent.
    pub(crate) expected_by: Millis,
}

impl Life {
    /// Notes that it says that it leaves, and has not drained.
    pub(crate) fn leaves_first(&mut self) {
        self.left_first = true;
        self.note_draining();
    }

    /// Draining does not end, also where a heartbeat does not repeat it; the owner is told with each heartbeat.
    pub(crate) fn note_draining(&mut self) {
        self.draining |= self.heartbeat.draining || self.left_first;
        self.heartbeat.draining = self.draining;
    }
}
