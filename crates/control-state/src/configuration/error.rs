//! Why a configuration is refused, and where in it the reason lies.

/// A fault of a configuration: {path}: {reason}
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{path}: {reason}")]
pub struct ConfigurationFault {
    /// Where, such as `routes[3].timeout-ms`; `configuration` for the whole.
    pub path: String,
    /// Why.
    pub reason: FaultReason,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum FaultReason {
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

impl ConfigurationFault {
    /// A fault at this place.
    pub fn new(path: impl Into<String>, reason: FaultReason) -> ConfigurationFault {
        ConfigurationFault {
            path: path.into(),
            reason,
        }
    }
}

impl std::error::Error for ConfigurationFault {}
