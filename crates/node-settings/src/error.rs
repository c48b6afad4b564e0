//! Why a settings file cannot be used.

use displaydoc::Display;
use std::fmt;
use std::path::Path;

/// Why a settings file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// {path}: {reason}
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        reason: String,
    },
    /// the file does not consist of lines of the form key=value: {0}
    Syntax(String),
    /// {0}
    Invalid(Faults),
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    /// The error with the file that it concerns; of several faults each one stands on a line of its own.
    pub fn message_for_file(&self, path: &Path) -> String {
        let path = path.display();
        match self {
            SettingsError::Unreadable { .. } => self.to_string(),
            SettingsError::Syntax(_) => format!("{path}: {self}"),
            SettingsError::Invalid(Faults(faults)) => {
                let lines: Vec<String> = faults
                    .iter()
                    .map(|fault| format!("{path}: {fault}"))
                    .collect();
                lines.join("\n")
            }
        }
    }
}

/// All faults of a file, in the order in which they were found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<SettingsFault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// One fault, with its key.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SettingsFault {
    /// {key}: lacking or empty
    Lacking {
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
        /// Its value.
        value: String,
    },
    /// {key}: the word {value:?} is not known
    UnknownWord {
        /// The key.
        key: String,
        /// The word.
        value: String,
    },
    /// {key}: {reason}
    Contradictory {
        /// The key.
        key: String,
        /// What it contradicts.
        reason: String,
    },
}

impl SettingsFault {
    /// The key that is at fault.
    pub fn key(&self) -> &str {
        match self {
            SettingsFault::Lacking { key }
            | SettingsFault::NotANumber { key, .. }
            | SettingsFault::OutOfRange { key, .. }
            | SettingsFault::NotABoolean { key, .. }
            | SettingsFault::NotAnAddress { key, .. }
            | SettingsFault::UnknownWord { key, .. }
            | SettingsFault::Contradictory { key, .. } => key,
        }
    }
}
