//! Bounds and intervals of the replication.

/// The most entries that a head has uncommitted.
pub const UNCOMMITTED_ENTRIES_MOST: u64 = 4096;

/// How many entries are kept in memory after a snapshot, for disks that join.
pub const RETAINED_ENTRIES: u64 = 2000;

/// How many bytes of entries are kept in memory after a snapshot, for disks that join.
pub const RETAINED_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of entries after which an `Append` is sent and the next begun.
pub const BATCH_BYTES: usize = 1024 * 1024;

/// Entries that may be on their way to a member that has not acknowledged them.
pub const WINDOW_ENTRIES: u64 = 4096;

/// Bytes of a snapshot in one message.
pub const SNAPSHOT_PIECE_BYTES: usize = 256 * 1024;

/// Pieces of a snapshot that are sent to one disk at each tick.
pub const SNAPSHOT_PIECES_PER_TICK: usize = 4;

/// Milliseconds after which a snapshot that was sent whole, and did not help, is sent again.
pub const SNAPSHOT_RETRY_MS: u64 = 2000;

/// Milliseconds without an acknowledgement after which a successor is asked where it stands.
pub const PROBE_MS: u64 = 250;

/// Milliseconds between two requests to resend the same entries.
pub const RESEND_MS: u64 = 100;

/// Milliseconds between two `Join` messages of a spare.
pub const JOIN_MS: u64 = 200;

/// Milliseconds without a `Join` after which the tail forgets a spare.
pub const JOINER_SILENT_MS: u64 = 2000;

/// Milliseconds without progress of a spare after which the tail sends again from where the spare stands.
pub const JOINER_STALLED_MS: u64 = 1000;

/// Milliseconds for which the tail's word on what is committed counts as fresh.
pub const CAUGHT_UP_MS: u64 = 500;
