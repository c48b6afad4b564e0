//! One child process.

use crate::error::LocalError;
use crate::member::Member;
use crate::ports::Ports;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The variable that holds the levels of the log.
const LOG_VARIABLE: &str = "LUPINRACK_LOG";

/// A process of the cluster; killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    member: Member,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Writes its settings and starts it. `first` is true for the first start on an empty disk.
    pub fn start(
        program: &Path,
        member: Member,
        ports: &Ports,
        folder: &Path,
        first: bool,
    ) -> Result<Process, LocalError> {
        let settings = folder.join(format!("{member}.conf"));
        let data = folder.join(member.to_string());
        let in_folder = |error| LocalError::Folder(folder.to_owned(), error);
        fs::create_dir_all(data).map_err(in_folder)?;
        fs::write(&settings, member.settings(ports, folder, first)).map_err(in_folder)?;
        let log = folder.join(format!("{member}.log"));
        let child = spawn(program, &settings, &log)
            .map_err(|error| LocalError::Start(member.to_string(), error))?;
        Ok(Process { member, child, log })
    }

    /// An error where it has ended by itself.
    pub fn check(&mut self) -> Result<(), LocalError> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            _ => Err(LocalError::Ended(self.member.to_string(), self.log.clone())),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already; then there is nothing to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log: File = OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command.arg("node").arg("--settings").arg(settings);
    if std::env::var_os(LOG_VARIABLE).is_none() {
        command.env(LOG_VARIABLE, "info");
    }
    command
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
