//! Why a local cluster cannot be played to its end.

use std::io;
use std::path::PathBuf;

/// Why a local cluster cannot be played to its end.
#[derive(Debug, displaydoc::Display)]
pub enum LocalError {
    /// no range of ports is free at all addresses
    NoPorts,
    /// {0} cannot be written: {1}
    Folder(PathBuf, io::Error),
    /// {0} does not start: {1}
    Start(String, io::Error),
    /// {0} has ended by itself; its log is {1}
    Ended(String, PathBuf),
    /// {0} took too long; the logs are in {1}
    TimedOut(&'static str, PathBuf),
    /// the configuration was refused with {0}
    Refused(u16),
}

impl std::error::Error for LocalError {}
