//! Records of the log.

use crate::accepted_write::{AcceptedWrite, WriteId};
use crate::attempt_outcome::AttemptOutcome;
use crate::moment::Moment;
use serde::{Deserialize, Serialize};

/// A record. The order of the variants and of their fields is the encoding in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A write was accepted. Synced before the write is acknowledged as buffered.
    Accepted(AcceptedWrite),
    /// Intent of an attempt. Synced before the first byte of the attempt is sent.
    Attempt {
        /// The write.
        write: WriteId,
        /// The attempt's number.
        attempt: u16,
        /// The node's name.
        node: String,
        /// Shard of the node.
        shard: u32,
        /// When the intent was recorded.
        at: Moment,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The write.
        write: WriteId,
        /// The attempt's number.
        attempt: u16,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A write is resolved: a node has stored it, or its client was notified of the failure.
    Resolved(WriteId),
    /// Later writes of the volume wait until all earlier ones are resolved.
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
