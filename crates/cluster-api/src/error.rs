//! The closed list of error kinds, and the table from kind to answer.

use borsh::{BorshDeserialize, BorshSerialize};

/// Why a call is not answered with success.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize, displaydoc::Display,
)]
pub enum ErrorKind {
    /// the request cannot be read
    Malformed,
    /// the configuration is invalid
    InvalidConfiguration,
    /// another version of the configuration is current
    VersionConflict,
    /// there is no such queue
    UnknownQueue,
    /// there is no such job
    UnknownJob,
    /// the method or path is not served here
    NotServed,
    /// the body is larger than allowed
    TooLarge,
    /// the call was not taken and never will be; it may be sent again
    NotTaken,
    /// too many calls are open; this one was not taken and never will be
    Overloaded,
    /// whether the call was taken is not known
    InDoubt,
    /// the caller is under an older fencing token
    Fenced,
    /// this process is shutting down and took nothing
    ShuttingDown,
    /// the request took too long to arrive
    TooSlow,
}

/// How an error kind is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Seconds for `Retry-After`; none for no such header.
    pub retry_after_s: Option<u32>,
}

impl ErrorKind {
    /// Every kind.
    pub const ALL: [ErrorKind; 13] = [
        ErrorKind::Malformed,
        ErrorKind::InvalidConfiguration,
        ErrorKind::VersionConflict,
        ErrorKind::UnknownQueue,
        ErrorKind::UnknownJob,
        ErrorKind::NotServed,
        ErrorKind::TooLarge,
        ErrorKind::NotTaken,
        ErrorKind::Overloaded,
        ErrorKind::InDoubt,
        ErrorKind::Fenced,
        ErrorKind::ShuttingDown,
        ErrorKind::TooSlow,
    ];

    /// The answer to an outside caller.
    pub fn answer(self) -> Answer {
        let (status, retry_after_s) = match self {
            ErrorKind::Malformed => (400, None),
            ErrorKind::InvalidConfiguration => (400, None),
            ErrorKind::VersionConflict => (412, None),
            ErrorKind::UnknownQueue => (404, None),
            ErrorKind::UnknownJob => (410, None),
            ErrorKind::NotServed => (404, None),
            ErrorKind::TooLarge => (413, None),
            ErrorKind::NotTaken => (503, Some(1)),
            ErrorKind::Overloaded => (429, Some(1)),
            ErrorKind::InDoubt => (504, None),
            ErrorKind::Fenced => (503, Some(1)),
            ErrorKind::ShuttingDown => (503, Some(1)),
            ErrorKind::TooSlow => (408, None),
        };
        Answer {
            status,
            retry_after_s,
        }
    }
}
