//! Why an operation is rejected.

/// Why an operation was not appended. A rejected operation leaves no part in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum SubmitError {
    /// this disk is not the head of a chain that is ready
    NotReady,
    /// too much is uncommitted
    Full,
    /// the operation is larger than a frame may be
    TooLarge,
}

impl std::error::Error for SubmitError {}
