//! Bounds and intervals of the replication.

use lupinrack_cluster_api::frame::FRAME_BYTES_MOST;

/// The most entries that a head has uncommitted.
pub const UNCOMMITTED_ENTRIES_MOST: u64 = 4096;

/// The largest entry, in bytes. It goes into one frame, and leaves room on its connection for the frames beside it.
pub const ENTRY_BYTES_MOST: u64 = FRAME_BYTES_MOST as u64 / 8 * 5;

/// How many entries are kept in memory after a snapshot, for disks that join.
pub const RETAINED_ENTRIES: u64 = 2000;

/// Bytes of entries after which an `Append` is sent and the next begun.
pub const BATCH_BYTES: u64 = 1024 * 1024;

/// Entries that may be on their way to a member that has not acknowledged them.
pub const WINDOW_ENTRIES: u64 = 4096;

/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Milliseconds after which a snapshot that was received whole, and is not on the receiver's disk yet, is sent again.
pub const SNAPSHOT_RETRY_MS: u64 = 2000;

/// Milliseconds without an acknowledgement after which a successor is asked where it stands.
pub const PROBE_MS: u64 = 250;

/// Milliseconds between two requests to resend the same entries.
pub const RESEND_MS: u64 = 100;

/// Milliseconds of silence after which a spare turns to another member: one `Join` message without an answer. It is well
/// before a silent member leaves the chain, so that a spare is ready when the tail does.
pub const FEEDER_SILENT_MS: u64 = 250;

/// Milliseconds between two `Join` messages of a spare.
pub const JOIN_MS: u64 = 200;

/// Milliseconds without a `Join` after which the tail forgets a spare.
pub const JOINER_SILENT_MS: u64 = 2000;

/// Milliseconds without progress of a receiver after which the sender sends again from where the receiver stands, beside the
/// time that [`SLOW_LINK_BYTES_PER_S`] gives what is on its way; doubled with each further time without progress.
pub const JOINER_STALLED_MS: u64 = 1000;

/// The longest that the wait of [`JOINER_STALLED_MS`] grows, in milliseconds.
pub const JOINER_STALLED_MOST_MS: u64 = 6000;

/// A link that carries so many bytes a second is not taken for one that has lost what is on its way.
pub const SLOW_LINK_BYTES_PER_S: u64 = 500_000;

/// Milliseconds for which the tail's word on what is committed counts as fresh.
pub const CAUGHT_UP_MS: u64 = 500;

/// Bytes of a megabyte, as machines are described.
const MEGABYTE: u64 = 1_000_000;
/// The part of a machine's memory that the log may take.
const MEMORY_PARTS: u64 = 8;
/// The part of a machine's disk that the log may take.
const DISK_PARTS: u64 = 4;
/// What is assumed of a machine that does not say, in bytes.
const BUDGET_DEFAULT: u64 = 32 * MEGABYTE;
/// With less nothing could be replicated at all, in bytes.
const BUDGET_LEAST: u64 = 4 * MEGABYTE;

/// Bounds in bytes of encoded entries. They follow from one budget: an eighth of the machine's memory, or a quarter of its
/// disk where that is less.
///
/// The log in memory holds at most what is retained (`retained`, or `catch_up` while a joiner is at work), what comes
/// until the next snapshot, what is uncommitted, and one entry; the disk holds the last three, beside the snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimits {
    /// With so many bytes uncommitted a head takes no operation.
    pub uncommitted: u64,
    /// After so many bytes a new snapshot is due.
    pub snapshot_after: u64,
    /// Bytes kept in memory after a snapshot, for disks that will join.
    pub retained: u64,
    /// Bytes kept in memory after a snapshot for a disk that is joining: what follows the snapshot that it is sent.
    pub catch_up: u64,
    /// Bytes on their way to one disk that has not acknowledged them; a single entry may be larger.
    pub window: u64,
}

impl ByteLimits {
    /// The bounds on a machine with so many megabytes of memory and disk; 0 where it is not known.
    pub fn of_machine(memory_mb: u64, disk_mb: u64) -> ByteLimits {
        let part = |megabytes: u64, parts: u64| match megabytes {
            0 => BUDGET_DEFAULT,
            known => known.saturating_mul(MEGABYTE) / parts,
        };
        let budget = part(memory_mb, MEMORY_PARTS)
            .min(part(disk_mb, DISK_PARTS))
            .max(BUDGET_LEAST);
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

/// The widest window, in bytes: connections are closed where more waits to be written than a few of these.
const WINDOW_BYTES_MOST: u64 = 2 * 1024 * 1024;
