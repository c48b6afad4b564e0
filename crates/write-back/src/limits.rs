//! Bounds and delays of a buffer.

use lupinrack_policy::Micros;

/// Bounds and delays of a buffer, from the operators' settings. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of bodies that may be pending; beyond it writes go through.
    pub max_pending_bytes: u64,
    /// The longest time that a write waits for others to share its sync.
    pub sync_delay: Micros,
    /// For how long nodes drop the repeat of a keyed write.
    pub repeat_window: Micros,
    /// The wait before a write that was rejected is opened again.
    pub retry_delay: Micros,
}
