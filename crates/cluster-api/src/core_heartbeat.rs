//! Heartbeats between core processes.
//!
//! The crate `view-agreement` uses them to decide which processes are reachable.

use crate::chain::ReplicaReport;
use crate::identity::DiskId;
use crate::time::Millis;
use crate::view::{View, Voter};
use borsh::{BorshDeserialize, BorshSerialize};

/// Identifies a heartbeat of a core process to that process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeartbeatStamp {
    /// The incarnation of the process that sent it.
    pub incarnation: u64,
    /// When it was sent, by the monotonic clock of that process.
    pub sent_at: Millis,
}

/// A heartbeat of a core process to another one.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CoreHeartbeat {
    /// The sender, as it would be listed as a voter.
    pub voter: Voter,
    /// The newest view that the sender knows.
    pub view: View,
    /// Whether the sender's disk answers in time.
    pub disk_healthy: bool,
    /// Whether the sender is shutting down: other disks should replace it in the chain and,
    /// where possible, as a voter.
    pub draining: bool,
    /// The state of its replica in that view.
    pub replica: ReplicaReport,
    /// The index up to which the sender has applied the log.
    pub applied: u64,
    /// When the sender sent this, by its own monotonic clock; the receiver's heartbeats return it.
    pub sent_at: Millis,
    /// The newest heartbeat that the sender has received from the receiver of this one.
    pub acknowledges: Option<HeartbeatStamp>,
    /// The disks whose processes exchange messages with the sender in both directions, in ascending
    /// order.
    pub linked: Vec<DiskId>,
}
