//! Why a core process has to end at once.

/// Memory and disk no longer agree, so the process must send nothing more. Started anew, it goes on from what is on its
/// disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum CoreFault {
    /// a write does not fit the log on the disk
    WriteRejected,
    /// a snapshot of another member cannot be read
    UnreadableSnapshot,
}

impl std::error::Error for CoreFault {}
