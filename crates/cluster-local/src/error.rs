//! Why a run of a local cluster fails before its end.

use std::io;
use std::path::PathBuf;

/// What a run waits for before jobs are submitted, or a process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Step {
    /// accepting the first configuration
    Configuration,
    /// becoming ready
    Readiness,
    /// reporting their status
    Status,
    /// finding the head
    FindHead,
}

/// Why a run of a local cluster fails before its end.
#[derive(Debug, displaydoc::Display)]
pub enum LocalError {
    /// no range of ports is free at all addresses
    NoFreePorts,
    /// {path} cannot be written: {source}
    Write {
        /// The folder of the run.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// {member} does not start: {source}
    Start {
        /// The name of the process.
        member: String,
        /// What the system reported.
        source: io::Error,
    },
    /// {member} has exited by itself; its log is {log}
    Exited {
        /// The name of the process.
        member: String,
        /// Its log.
        log: PathBuf,
    },
    /// {step} took too long; the logs are in {logs}
    TimedOut {
        /// What was waited for.
        step: Step,
        /// The folder of the run.
        logs: PathBuf,
    },
    /// the configuration was rejected with status {status}
    ConfigurationRejected {
        /// The status code of the answer.
        status: u16,
    },
}

impl std::error::Error for LocalError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LocalError::Write { source, .. } | LocalError::Start { source, .. } => Some(source),
            _ => None,
        }
    }
}
