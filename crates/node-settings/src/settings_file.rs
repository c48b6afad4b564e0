//! A settings file that is read at a process's start, and again when the platform says that it has changed.

use crate::error::SettingsError;
use crate::key_values::KeyValues;
use crate::node_settings::NodeSettings;
use std::path::{Path, PathBuf};

/// The keys whose new values a running process takes.
const REREADABLE_KEYS: [&str; 1] = ["seeds"];

/// A settings file and the settings that a process runs with.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    values: KeyValues,
    settings: NodeSettings,
}

/// The keys of a settings file that was read again whose values differ from those that the process runs with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsChanges {
    /// Those whose new values are in force.
    pub taken: Vec<String>,
    /// Those whose new values wait for a restart of the process.
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

    /// Reads and checks the text of the file at this path.
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

    /// The settings that the process runs with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Reads the file again and takes what a running process may take.
    ///
    /// # Errors
    ///
    /// As [`SettingsFile::load`]; nothing has changed then.
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
