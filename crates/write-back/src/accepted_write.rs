//! A write as the buffer accepted it.

use lupinrack_policy::VolumeId;
use serde::{Deserialize, Serialize};

/// The number of a write in its log; never reused within a log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WriteId(pub u64);

/// A write as the buffer accepted it. The fields' order is the form in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedWrite {
    /// Its number.
    pub write: WriteId,
    /// Its volume.
    pub volume: u64,
    /// Its plan, by the name in the settings: their order may change over a restart.
    pub plan: String,
    /// Its size in thousandths of a unit.
    pub milliunits: u32,
    /// The idempotency key, as the client sent it.
    pub key: Vec<u8>,
    /// The request's target: path and query.
    pub target: Vec<u8>,
    /// Its body.
    pub body: Vec<u8>,
    /// When its client gives up, in wall-clock microseconds since 1970.
    pub give_up: i64,
}

impl AcceptedWrite {
    /// The volume, as the request balancer names it.
    pub fn volume_id(&self) -> VolumeId {
        VolumeId(self.volume)
    }
}
