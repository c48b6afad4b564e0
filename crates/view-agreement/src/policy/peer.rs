//! What is known of the process at one address.

use super::peer_report::PeerReport;
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::Voter;

/// What the timeout is divided by after a connection was reset.
const RESET_DIVISOR: u64 = 2;

/// A core process, as its heartbeats describe it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its disk, address and zone.
    pub(super) voter: Voter,
    /// The contents of its last heartbeat.
    pub(super) report: PeerReport,
    /// Since when heartbeats of this incarnation have come without a timeout between them.
    pub(super) present_since: Millis,
    /// When its last heartbeat came.
    pub(super) last_heartbeat: Millis,
    /// Since when its disk has been reported as unhealthy; none if it is healthy.
    pub(super) unhealthy_since: Option<Millis>,
    /// Whether a connection from it was reset after its last heartbeat.
    pub(super) connection_reset: bool,
}

impl Peer {
    /// Whether the process runs on this disk.
    pub(super) fn has_disk(&self, disk: DiskId) -> bool {
        self.voter.disk == disk
    }

    /// Whether no heartbeat came for `suspect_after_ms` milliseconds. A reset connection makes the
    /// timeout shorter, since it may mean that the process has ended.
    pub(super) fn has_timed_out(&self, suspect_after_ms: u64, now: Millis) -> bool {
        let timeout_ms = if self.connection_reset {
            suspect_after_ms / RESET_DIVISOR
        } else {
            suspect_after_ms
        };
        now.since(self.last_heartbeat) >= timeout_ms
    }

    /// Whether its disk was healthy by its last heartbeat.
    pub(super) fn has_healthy_disk(&self) -> bool {
        self.unhealthy_since.is_none()
    }

    /// The state of its replica, if its last heartbeat was sent in this view.
    pub(super) fn replica_in(&self, view_number: u64) -> Option<ReplicaReport> {
        (self.report.view_number == view_number).then_some(self.report.replica)
    }
}
