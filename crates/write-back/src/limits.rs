//! Limits and delays of a buffer.

use lupinrack_policy::Micros;

/// Limits and delays of a buffer, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of pending bodies. Writes beyond it are written through.
    pub max_pending_bytes: u64,
    /// Longest delay of a sync, so that several writes share it.
    pub sync_delay: Micros,
    /// Time for which nodes drop repeats of a write with an idempotency key.
    pub repeat_window: Micros,
    /// Delay before a released write is opened again.
    pub retry_delay: Micros,
}
