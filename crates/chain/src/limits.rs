//! Bounds and intervals of the replication.

use lupinrack_cluster_api::frame::MAX_FRAME_BYTES;

/// The most entries that a head has uncommitted.
pub const UNCOMMITTED_ENTRIES_MOST: u64 = 4096;

/// The largest entry, in bytes. It fits into one frame, and leaves capacity on its connection for
/// other frames.
pub const ENTRY_BYTES_MOST: u64 = MAX_FRAME_BYTES as u64 / 8 * 5;

/// How many entries are retained in memory after a snapshot, for disks that join.
pub const RETAINED_ENTRIES: u64 = 2000;

/// Bytes of entries after which an `Append` is sent and the next begun.
pub const BATCH_BYTES: u64 = 1024 * 1024;

/// Entries that may be in flight to a disk that has not acknowledged them.
pub const WINDOW_ENTRIES: u64 = 4096;

/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Milliseconds after which a snapshot that was received completely, and is not on the receiver's
/// disk yet, is sent again.
pub const SNAPSHOT_RETRY_MS: u64 = 2000;

/// Milliseconds without an acknowledgement after which a successor is asked for one.
pub const PROBE_MS: u64 = 250;

/// Milliseconds between two requests to resend the same entries.
pub const RESEND_MS: u64 = 100;

/// Milliseconds without a message after which a spare turns to another member: one `Join` without
/// an answer. That is well before a lost member is removed from the chain, so that a spare is ready
/// when the tail is.
pub const SOURCE_TIMEOUT_MS: u64 = 250;

/// How often [`SOURCE_TIMEOUT_MS`] doubles at the most.
pub const SOURCE_TIMEOUT_DOUBLINGS_MOST: usize = 5;

/// Milliseconds between two `Join` messages of a spare.
pub const JOIN_MS: u64 = 200;

/// Milliseconds without a message after which a member no longer feeds a spare.
pub const JOINER_TIMEOUT_MS: u64 = 2000;

/// Milliseconds without progress of a receiver after which the sender sends again from where the
/// receiver stands, in addition to the time that [`SLOW_LINK_BYTES_PER_S`] allows for what is in
/// flight; doubled with each further time without progress.
pub const JOINER_STALLED_MS: u64 = 1000;

/// The longest that the wait of [`JOINER_STALLED_MS`] grows, in milliseconds.
pub const JOINER_STALLED_MOST_MS: u64 = 6000;

/// A link that carries so many bytes per second is not taken for one that has lost what is in
/// flight.
pub const SLOW_LINK_BYTES_PER_S: u64 = 500_000;

/// Milliseconds for which a spare that has synced everything committed counts as caught up.
pub const CAUGHT_UP_MS: u64 = 500;

/// Bytes of a megabyte, as machines are described.
const MEGABYTE: u64 = 1_000_000;
/// What the memory of a machine is divided by for the budget of the log.
const MEMORY_DIVISOR: u64 = 8;
/// What the disk of a machine is divided by for the budget of the log.
const DISK_DIVISOR: u64 = 4;
/// The budget on a machine whose size is not known, in bytes.
const BUDGET_BYTES_DEFAULT: u64 = 32 * MEGABYTE;
/// The least budget with which anything can be replicated, in bytes.
const BUDGET_BYTES_LEAST: u64 = 4 * MEGABYTE;
/// The widest window, in bytes. Connections are closed where a few times as much waits to be
/// written.
const WINDOW_BYTES_MOST: u64 = 2 * 1024 * 1024;

/// Bounds in bytes of encoded entries. They follow from one budget: an eighth of the machine's
/// memory, or a quarter of its disk if that is less.
///
/// The log in memory has at most what is retained (`retained`, or `catch_up` while a spare joins),
/// what comes until the next snapshot, what is uncommitted, and one entry. The disk has the last
/// three, beside the snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimits {
    /// With so many bytes uncommitted a head accepts no operation.
    pub uncommitted: u64,
    /// After so many bytes a new snapshot is due.
    pub snapshot_after: u64,
    /// Bytes retained in memory after a snapshot, for disks that will join.
    pub retained: u64,
    /// Bytes retained in memory after a snapshot for a disk that is joining: what follows the
    /// snapshot that it is sent.
    pub catch_up: u64,
    /// Bytes in flight to one disk that has not acknowledged them; a single entry may be larger.
    pub window: u64,
}

impl ByteLimits {
    /// The bounds on a machine with so many megabytes of memory and disk; 0 if it is not known.
    pub fn of_machine(memory_mb: u64, disk_mb: u64) -> ByteLimits {
        let fraction = |megabytes: u64, divisor: u64| match megabytes {
            0 => BUDGET_BYTES_DEFAULT,
            known => known.saturating_mul(MEGABYTE) / divisor,
        };
        let of_memory = fraction(memory_mb, MEMORY_DIVISOR);
        let of_disk = fraction(disk_mb, DISK_DIVISOR);
        let budget = of_memory.min(of_disk).max(BUDGET_BYTES_LEAST);
        ByteLimits {
            uncommitted: budget / 8,
            snapshot_after: budget * 3 / 16,
            retained: budget / 8,
            catch_up: budget / 4,
            window: (budget / 16).min(WINDOW_BYTES_MOST),
        }
    }
}

impl Default for ByteLimits {
    fn default() -> Self {
        ByteLimits::of_machine(0, 0)
    }
}
