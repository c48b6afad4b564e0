//! Limits, intervals and timeouts of the replication.

use lupinrack_cluster_api::frame::MAX_FRAME_BYTES;

/// Uncommitted entries after which a head rejects further operations.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 4096;

/// The largest entry, in bytes. Its frame leaves capacity on the connection for other
/// frames.
pub const MAX_ENTRY_BYTES: u64 = MAX_FRAME_BYTES as u64 / 8 * 5;

/// Entries retained in memory after a snapshot, for disks that join later.
pub const RETAINED_ENTRIES: u64 = 2000;

/// Bytes of entries in one `Append`; a single larger entry is sent alone.
pub const BATCH_BYTES: u64 = 1024 * 1024;

/// Unacknowledged entries that may be in flight to one disk.
pub const WINDOW_ENTRIES: u64 = 4096;

/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Milliseconds after which a completely received snapshot is sent again if it is not on the
/// receiver's disk yet.
pub const SNAPSHOT_RETRY_MS: u64 = 2000;

/// Milliseconds without an acknowledgement after which a successor is probed for one.
pub const PROBE_AFTER_MS: u64 = 250;

/// Milliseconds between requests to resend the same entries.
pub const RESEND_INTERVAL_MS: u64 = 100;

/// Milliseconds without a message after which a spare switches to another member: one `Join`
/// without an answer. This is well below the time in which a lost member is removed from the chain,
/// so a spare is ready when a lost tail is removed.
pub const SOURCE_TIMEOUT_MS: u64 = 250;

/// How many times [`SOURCE_TIMEOUT_MS`] doubles at most.
pub const MAX_SOURCE_TIMEOUT_DOUBLINGS: usize = 5;

/// Milliseconds between `Join` messages of a spare.
pub const JOIN_INTERVAL_MS: u64 = 200;

/// Milliseconds without a message from a spare after which a member no longer feeds it.
pub const JOINER_TIMEOUT_MS: u64 = 2000;

/// Milliseconds without progress of a receiver after which the sender resends everything after the
/// receiver's last acknowledged position. The time that [`SLOW_LINK_BYTES_PER_S`] allows for the
/// bytes in flight is added; the sum doubles with each further stall.
pub const JOINER_STALLED_MS: u64 = 1000;

/// The upper bound of the doubled wait of [`JOINER_STALLED_MS`], in milliseconds.
pub const MAX_JOINER_STALLED_MS: u64 = 6000;

/// Bytes per second of the slowest link on which bytes in flight are not assumed to be lost.
pub const SLOW_LINK_BYTES_PER_S: u64 = 500_000;

/// A spare counts as caught up if it has synced everything committed this many milliseconds ago.
pub const CAUGHT_UP_MS: u64 = 500;

/// Bytes of a megabyte in the description of a machine.
const MEGABYTE: u64 = 1_000_000;
/// The budget of the log is the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 8;
/// The budget of the log is at most the machine's disk divided by this.
const DISK_DIVISOR: u64 = 4;
/// The budget on a machine whose size is not known, in bytes.
const DEFAULT_BUDGET_BYTES: u64 = 32 * MEGABYTE;
/// The smallest budget with which entries can be replicated, in bytes.
const MIN_BUDGET_BYTES: u64 = 4 * MEGABYTE;
/// The largest window, in bytes. A connection is closed when a few times as many bytes wait to be
/// written.
const MAX_WINDOW_BYTES: u64 = 2 * 1024 * 1024;

/// Limits in bytes of encoded entries. They follow from one budget: an eighth of the machine's
/// memory, or a quarter of its disk if that is less.
///
/// The log in memory holds at most the retained entries (`retained`, or `catch_up` while a spare
/// joins), the entries until the next snapshot, the uncommitted entries, and one more entry. The
/// disk holds the last three and the snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimits {
    /// Uncommitted bytes from which on a head accepts no operation.
    pub uncommitted: u64,
    /// Applied bytes after which a new snapshot is due.
    pub snapshot_after: u64,
    /// Bytes retained in memory after a snapshot, for disks that join later.
    pub retained: u64,
    /// Bytes retained in memory after a snapshot while a disk is joining: the entries after the
    /// snapshot that it is being sent.
    pub catch_up: u64,
    /// Unacknowledged bytes in flight to one disk; a single entry may be larger.
    pub window: u64,
}

impl ByteLimits {
    /// The limits on a machine with this many megabytes of memory and disk; 0 if not known.
    pub fn of_machine(memory_mb: u64, disk_mb: u64) -> ByteLimits {
        let fraction = |megabytes: u64, divisor: u64| match megabytes {
            0 => DEFAULT_BUDGET_BYTES,
            known => known.saturating_mul(MEGABYTE) / divisor,
        };
        let of_memory = fraction(memory_mb, MEMORY_DIVISOR);
        let of_disk = fraction(disk_mb, DISK_DIVISOR);
        let budget = of_memory.min(of_disk).max(MIN_BUDGET_BYTES);
        ByteLimits {
            uncommitted: budget / 8,
            snapshot_after: budget * 3 / 16,
            retained: budget / 8,
            catch_up: budget / 4,
            window: (budget / 16).min(MAX_WINDOW_BYTES),
        }
    }
}

impl Default for ByteLimits {
    fn default() -> Self {
        ByteLimits::of_machine(0, 0)
    }
}
