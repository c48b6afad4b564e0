//! Why a settings file cannot be used.

use crate::invalid_setting::InvalidSetting;
use displaydoc::Display;
use std::fmt;
use std::path::Path;

/// Why a settings file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// {path}: {reason}
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// the file does not consist of lines of the form key=value: {0}
    Syntax(String),
    /// {0}
    Invalid(InvalidSettings),
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    /// The error message prefixed with the path of the file, with one line per invalid setting.
    pub fn message_for_file(&self, path: &Path) -> String {
        let path = path.display();
        match self {
            SettingsError::Unreadable { .. } => self.to_string(),
            SettingsError::Syntax(_) => format!("{path}: {self}"),
            SettingsError::Invalid(InvalidSettings(invalid)) => {
                let lines: Vec<String> = invalid
                    .iter()
                    .map(|setting| format!("{path}: {setting}"))
                    .collect();
                lines.join("\n")
            }
        }
    }
}

/// All invalid settings of a file, in the order in which they were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub Vec<InvalidSetting>);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, setting) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "; " };
            write!(f, "{separator}{setting}")?;
        }
        Ok(())
    }
}
