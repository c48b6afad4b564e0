//! The contents of a heartbeat.

use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;

/// The contents of a heartbeat, except its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// The number of the newest view that the sender knows.
    pub view_number: u64,
    /// Whether the sender's disk answers in time.
    pub disk_healthy: bool,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// The state of the sender's replica in the view `view_number`.
    pub replica: ReplicaReport,
    /// The index up to which the sender has applied the log.
    pub applied: u64,
    /// The send time, by the receiver's own steady clock, of the newest heartbeat that the sender has
    /// received from this incarnation of the receiver; none if there is none.
    pub acknowledged: Option<Millis>,
    /// The disks with whose processes the sender exchanges messages in both directions.
    pub linked: Vec<DiskId>,
}

/// A heartbeat claims a disk whose process is alive at another address: one of the two processes
/// runs on a copy of the other's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateDisk {
    /// The disk.
    pub disk: DiskId,
    /// The address from which its heartbeats came before.
    pub known_at: PeerAddress,
}
