//! The state of the process at one address.

use super::peer_report::PeerReport;
use super::settings::PolicySettings;
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::Voter;

/// The timeout is divided by this after a connection was reset.
const RESET_DIVISOR: u64 = 2;
/// The minimum timeout after a reset, in heartbeat intervals: a process that is alive sends its next
/// heartbeat on a new connection.
const HEARTBEATS_AFTER_RESET: u64 = 2;
/// The factor by which the longest gap decays with each heartbeat; 44 heartbeats halve it.
const GAP_DECAY: f64 = 63.0 / 64.0;

/// A core process, as its heartbeats describe it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its disk, address and zone.
    pub(super) voter: Voter,
    /// The contents of its last heartbeat.
    pub(super) report: PeerReport,
    /// Since when heartbeats of this incarnation have come without a timeout between them.
    pub(super) present_since: Millis,
    /// When its last heartbeat arrived.
    pub(super) last_heartbeat: Millis,
    /// When the observing process sent the newest heartbeat that the peer is known to have received; 0
    /// for none.
    pub(super) acknowledged: Millis,
    /// When the peer last acknowledged a newer heartbeat than before, or when the first heartbeat of
    /// its incarnation arrived, before which it could acknowledge none.
    pub(super) acknowledged_at: Millis,
    /// Since when its disk has been reported as unhealthy; none if it is healthy.
    pub(super) unhealthy_since: Option<Millis>,
    /// The longest gap between two of its heartbeats, in milliseconds; it decays with each further
    /// heartbeat.
    pub(super) longest_gap_ms: f64,
    /// Whether a connection from it was reset after its last heartbeat.
    pub(super) connection_reset: bool,
}

impl Peer {
    /// The longest gap between heartbeats after one that arrives now.
    pub(super) fn longest_gap_after(&self, now: Millis) -> f64 {
        let gap_ms = now.since(self.last_heartbeat) as f64;
        gap_ms.max(self.longest_gap_ms * GAP_DECAY)
    }

    /// Whether the process runs on this disk.
    pub(super) fn has_disk(&self, disk: DiskId) -> bool {
        self.voter.disk == disk
    }

    /// Whether no heartbeat arrived for longer than the gaps between earlier ones explain. A reset
    /// connection shortens the timeout, since the process may have ended.
    pub(super) fn has_timed_out(&self, settings: &PolicySettings, now: Millis) -> bool {
        let suspect_after_ms = settings.suspect_after_gap_ms(self.longest_gap_ms);
        let timeout_ms = if self.connection_reset {
            let least_ms = HEARTBEATS_AFTER_RESET * settings.heartbeat_ms;
            (suspect_after_ms / RESET_DIVISOR).max(least_ms)
        } else {
            suspect_after_ms
        };
        now.since(self.last_heartbeat) >= timeout_ms
    }

    /// Whether messages are known to pass in both directions: the peer's heartbeats arrive in time and
    /// keep acknowledging newer heartbeats of the observing process. The age of the acknowledged
    /// heartbeats does not count, since on a slow link they wait behind other messages.
    pub(super) fn is_reachable(&self, settings: &PolicySettings, now: Millis) -> bool {
        let unacknowledged_ms = now.since(self.acknowledged_at);
        !self.has_timed_out(settings, now) && unacknowledged_ms < settings.unacknowledged_after_ms()
    }

    /// Whether its last heartbeat listed this disk as linked with it.
    pub(super) fn reports_link(&self, disk: DiskId) -> bool {
        self.report.linked.contains(&disk)
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
