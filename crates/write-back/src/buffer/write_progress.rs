//! Stage of a pending write.

use lupinrack_policy::Micros;

/// Stage of a pending write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteStage {
    /// Waits for the barriers before it and until this time since boot.
    Waiting(Micros),
    /// Open in the request engine.
    Open,
    /// A lookup on the nodes that may have run it is in progress.
    Locating,
    /// In doubt: whether it ran is not known.
    InDoubt,
}

impl WriteStage {
    /// Waits for the barriers before it only.
    pub(super) const READY: WriteStage = WriteStage::Waiting(0);
}

/// State of a pending write in the buffer.
#[derive(Clone, Debug)]
pub(super) struct WriteProgress {
    /// Number of barriers of its volume before it.
    pub(super) generation: u64,
    pub(super) stage: WriteStage,
    /// Bytes of its body.
    pub(super) bytes: u64,
}
