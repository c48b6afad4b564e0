//! The closed list of error kinds, and the HTTP status of each.

use borsh::{BorshDeserialize, BorshSerialize};

/// Why a call fails.
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

/// How an error kind is answered over HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The status code.
    pub status: u16,
    /// Seconds for the `Retry-After` header; none if the header is left out.
    pub retry_after_s: Option<u32>,
}

/// The value of `Retry-After`, in seconds, for a client whose call was not carried out.
const RETRY_AFTER_S: u32 = 1;

impl HttpError {
    const fn of(status: u16) -> Self {
        Self {
            status,
            retry_after_s: None,
        }
    }

    const fn with_retry(status: u16) -> Self {
        Self {
            status,
            retry_after_s: Some(RETRY_AFTER_S),
        }
    }
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

    /// How a client is answered (RFC 9110, section 15).
    pub fn http_error(self) -> HttpError {
        match self {
            ErrorKind::Malformed | ErrorKind::InvalidConfiguration => HttpError::of(400),
            ErrorKind::UnknownQueue | ErrorKind::NotServed => HttpError::of(404),
            ErrorKind::TooSlow => HttpError::of(408),
            ErrorKind::UnknownJob => HttpError::of(410),
            ErrorKind::VersionConflict => HttpError::of(412),
            ErrorKind::TooLarge => HttpError::of(413),
            ErrorKind::Overloaded => HttpError::with_retry(429),
            ErrorKind::NotTaken | ErrorKind::Fenced | ErrorKind::ShuttingDown => {
                HttpError::with_retry(503)
            }
            ErrorKind::InDoubt => HttpError::of(504),
        }
    }
}
