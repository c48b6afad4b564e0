//! What can be wrong with the value of one key.

use displaydoc::Display;

/// Why the value of one key cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum InvalidSetting {
    /// {key}: lacking or empty
    Missing {
        /// The key.
        key: String,
    },
    /// {key}: {value:?} is not a number
    NotANumber {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// {key}: {value:?} is out of range
    OutOfRange {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// {key}: {value:?} is neither true nor false
    NotABoolean {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// {key}: {value:?} is not an address
    NotAnAddress {
        /// The key.
        key: String,
        /// Its value, or the part of its list.
        value: String,
    },
    /// {key}: the word {value:?} is not known
    UnknownValue {
        /// The key.
        key: String,
        /// Its value, or the part of its list.
        value: String,
    },
    /// {key}: {reason}
    Inconsistent {
        /// The key.
        key: String,
        /// Which other setting it does not fit to, or why it makes no sense by itself.
        reason: String,
    },
}

impl InvalidSetting {
    /// The key whose value cannot be used.
    pub fn key(&self) -> &str {
        match self {
            InvalidSetting::Missing { key }
            | InvalidSetting::NotANumber { key, .. }
            | InvalidSetting::OutOfRange { key, .. }
            | InvalidSetting::NotABoolean { key, .. }
            | InvalidSetting::NotAnAddress { key, .. }
            | InvalidSetting::UnknownValue { key, .. }
            | InvalidSetting::Inconsistent { key, .. } => key,
        }
    }
}
