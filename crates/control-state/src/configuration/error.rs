//! Why a configuration is invalid.

/// {path}: {reason}
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct InvalidConfiguration {
    /// Where in the configuration, such as `routes[3].timeout-ms`; `configuration` for the body
    /// itself.
    pub path: String,
    /// What is wrong there.
    pub reason: InvalidReason,
}

/// What is wrong with a part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum InvalidReason {
    /// it cannot be read: {0}
    Unreadable(String),
    /// the field is missing
    MissingField,
    /// there is no such field or list here
    UnknownField,
    /// the field comes twice
    DuplicateField,
    /// the name is used twice
    DuplicateName,
    /// it has the host and prefix of route {0}
    SameHostAndPrefix(String),
    /// there is no service {0}
    UnknownService(String),
    /// it must be above 0
    Zero,
    /// it must be a finite number, 0 or above
    NotANumber,
    /// it must be above the current version {0}
    VersionNotAbove(u64),
}

impl InvalidConfiguration {
    /// An error at this path.
    pub(crate) fn new(path: impl Into<String>, reason: InvalidReason) -> Self {
        Self {
            path: path.into(),
            reason,
        }
    }
}

impl std::error::Error for InvalidConfiguration {}
