//! How far a pending write has come.

use lupinrack_policy::Micros;

/// What is being done with a pending write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteStage {
    /// It waits for its barrier, or until this time since boot.
    Waiting(Micros),
    /// The core has it.
    Open,
    /// The nodes that may have run it are being asked.
    Locating,
    /// It may have run, and nobody knows.
    InDoubt,
}

impl WriteStage {
    /// It waits for its barrier alone.
    pub(super) const READY: WriteStage = WriteStage::Waiting(0);
}

/// How far a pending write has come.
#[derive(Clone, Debug)]
pub(super) struct WriteProgress {
    /// How many barriers of its volume it comes after.
    pub(super) generation: u64,
    pub(super) stage: WriteStage,
    /// Bytes of its body.
    pub(super) bytes: u64,
}
