//! One child process of the cluster.

use crate::cluster_shape::ClusterShape;
use crate::error::LocalError;
use crate::member::Member;
use crate::ports::Ports;
use crate::settings_file::{settings_text, StartKind};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The environment variable with the log levels.
const LOG_VARIABLE: &str = "LUPINRACK_LOG";
/// The log levels if the variable is not set.
const DEFAULT_LOG_LEVELS: &str = "info";

/// A process of the cluster; killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    member: Member,
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Writes the settings file and starts the process.
    ///
    /// # Errors
    ///
    /// [`LocalError::Write`] or [`LocalError::Start`].
    pub fn start(
        program: &Path,
        shape: &ClusterShape,
        member: Member,
        ports: Ports,
        folder: &Path,
        start: StartKind,
    ) -> Result<ChildProcess, LocalError> {
        let settings = folder.join(format!("{member}.conf"));
        write_files(shape, member, ports, folder, start, &settings).map_err(|source| {
            let path = folder.to_owned();
            LocalError::Write { path, source }
        })?;
        let log = folder.join(format!("{member}.log"));
        let child = spawn(program, &settings, &log).map_err(|source| {
            let member = member.to_string();
            LocalError::Start { member, source }
        })?;
        Ok(ChildProcess { member, child, log })
    }

    /// The member whose process this is.
    pub fn member(&self) -> Member {
        self.member
    }

    /// Checks that the process still runs.
    ///
    /// # Errors
    ///
    /// [`LocalError::Exited`] if it has exited by itself.
    pub fn check_running(&mut self) -> Result<(), LocalError> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            _ => Err(LocalError::Exited {
                member: self.member.to_string(),
                log: self.log.clone(),
            }),
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited already; then the kill fails and has no effect.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_files(
    shape: &ClusterShape,
    member: Member,
    ports: Ports,
    folder: &Path,
    start: StartKind,
    settings: &Path,
) -> io::Result<()> {
    fs::create_dir_all(folder.join(member.to_string()))?;
    fs::write(settings, settings_text(shape, member, ports, folder, start))
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log: File = OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command.arg("node").arg("--settings").arg(settings);
    if std::env::var_os(LOG_VARIABLE).is_none() {
        command.env(LOG_VARIABLE, DEFAULT_LOG_LEVELS);
    }
    command
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
