//! A write that the buffer has accepted.

use lupinrack_policy::VolumeId;
use serde::{Deserialize, Serialize};

/// Number of a write in its log. It is never reused within a log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WriteId(pub u64);

/// A write that the buffer has accepted. The order of the fields is the encoding in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedWrite {
    /// Its number.
    pub write: WriteId,
    /// Its volume.
    pub volume: u64,
    /// Name of its plan in the settings. An index would not do: the order of plans can change over a restart.
    pub plan: String,
    /// Its size in thousandths of a unit.
    pub milliunits: u32,
    /// Idempotency key of the client, unchanged.
    pub key: Vec<u8>,
    /// Request target: path and query.
    pub target: Vec<u8>,
    /// Request body.
    pub body: Vec<u8>,
    /// Deadline of the client, in wall-clock microseconds since the Unix epoch (1970).
    pub give_up: i64,
}

impl AcceptedWrite {
    /// Volume as an identifier of the request balancer.
    pub fn volume_id(&self) -> VolumeId {
        VolumeId(self.volume)
    }
}
