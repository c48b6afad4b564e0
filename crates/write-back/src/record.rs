//! Records of the log.

use crate::accepted_write::{AcceptedWrite, WriteId};
use crate::attempt_outcome::AttemptOutcome;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};

/// One record. The order of variants and of their fields is the form in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A write is accepted; synced before it is acknowledged as buffered.
    Accepted(AcceptedWrite),
    /// An attempt is about to be sent; synced before its first byte leaves.
    Attempt {
        /// The write.
        write: WriteId,
        /// The attempt's number.
        attempt: u16,
        /// The node's name.
        node: String,
        /// The shard that the node holds.
        shard: u32,
        /// When.
        at: Moment,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The write.
        write: WriteId,
        /// The attempt's number.
        attempt: u16,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A write is over: a node has it, or its client was notified that it failed.
    Resolved(WriteId),
    /// What comes after waits for all of the volume's writes before.
    Barrier {
        /// The volume.
        volume: u64,
    },
    /// A flush of the volume was requested.
    Flush {
        /// The volume.
        volume: u64,
    },
}
