//! A settings file that a process reads at startup, and again when the platform notifies it of a change.

use crate::error::SettingsError;
use crate::key_values::KeyValues;
use crate::node_settings::NodeSettings;
use std::path::{Path, PathBuf};

/// The keys whose new values a running process applies without a restart.
const REREADABLE_KEYS: [&str; 1] = ["seeds"];

/// A settings file and the settings in force in the process.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    values: KeyValues,
    settings: NodeSettings,
}

/// The keys of a reloaded settings file whose values differ from those in force in the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsChanges {
    /// The keys whose new values are in force.
    pub taken: Vec<String>,
    /// The keys whose new values take effect at the next restart of the process.
    pub deferred: Vec<String>,
}

impl SettingsFile {
    /// Loads a file.
    ///
    /// # Errors
    ///
    /// As [`NodeSettings::load`].
    pub fn load(path: &Path) -> Result<SettingsFile, SettingsError> {
        SettingsFile::parse(path, &read(path)?)
    }

    /// Parses and validates the text of the file at this path.
    ///
    /// # Errors
    ///
    /// As [`NodeSettings::parse`].
    pub fn parse(path: &Path, text: &str) -> Result<SettingsFile, SettingsError> {
        Ok(SettingsFile {
            path: path.to_path_buf(),
            values: KeyValues::parse(text)?,
            settings: NodeSettings::parse(text)?,
        })
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The settings in force in the process.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Reloads the file and applies the values that may change in a running process.
    ///
    /// # Errors
    ///
    /// As [`SettingsFile::load`]; on an error no setting changes.
    pub fn reread(&mut self) -> Result<SettingsChanges, SettingsError> {
        let text = read(&self.path)?;
        let values = KeyValues::parse(&text)?;
        let settings = NodeSettings::parse(&text)?;
        let mut changes = SettingsChanges::default();
        for key in self.values.changed_keys(&values) {
            if REREADABLE_KEYS.contains(&key.as_str()) {
                self.values.take(&key, &values);
                changes.taken.push(key);
            } else {
                changes.deferred.push(key);
            }
        }
        self.settings.seeds = settings.seeds;
        Ok(changes)
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}
