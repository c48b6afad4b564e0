//! The path of the settings file.

use std::path::PathBuf;

/// The environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "LUPINRACK_CONFIG";
/// The path if the variable is unset or empty.
pub const DEFAULT_PATH: &str = "/etc/lupinrack/local.conf";

/// The path of the settings file, from the environment.
pub fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE)
        .filter(|path| !path.is_empty())
        .map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}
