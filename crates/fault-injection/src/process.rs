//! Processes of the program: started with files of their own, stopped, continued and ended by their id.

use crate::history::{History, Note};
use crate::RigError;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::timeout;

/// Lines of a process's log that are kept for a failure.
const LOG_KEPT: usize = 200;
/// How long a process may take until it listens.
const COMES_UP: Duration = Duration::from_secs(20);

/// Ends what was started even where the rig itself is killed: a shell that waits for the rig's end of a pipe.
pub struct Guard {
    child: std::process::Child,
}

impl Guard {
    /// A guard that knows of nothing yet.
    pub fn new() -> std::io::Result<Guard> {
        // Lines "+ID" and "-ID"; at the end of its input it ends what is left.
        let script = "p=''; while read l; do case $l in +*) p=\"$p ${l#+}\";; \
                      -*) q=''; for i in $p; do [ $i = ${l#-} ] || q=\"$q $i\"; done; p=$q;; esac; done; \
                      [ -z \"$p\" ] || kill -9 $p 2>/dev/null";
        let child = std::process::Command::new("sh")
            .args(["-c", script])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Guard { child })
    }

    fn say(&mut self, line: String) {
        if let Some(input) = &mut self.child.stdin {
            let _ = input
                .write_all(line.as_bytes())
                .and_then(|()| input.flush());
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

/// Where a process listens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listens {
    /// Clients.
    pub clients: Option<SocketAddr>,
    /// Operators.
    pub door: Option<SocketAddr>,
    /// Other fronts.
    pub fleet: Option<SocketAddr>,
}

impl Listens {
    fn whole(&self, fleet: bool) -> bool {
        self.clients.is_some() && self.door.is_some() && (self.fleet.is_some() || !fleet)
    }
}

/// A process of the program.
pub struct Process {
    /// Its id.
    pub id: u32,
    /// Where it listens.
    pub listens: Listens,
    child: Child,
    guard: Arc<Mutex<Guard>>,
    log: Arc<Mutex<VecDeque<String>>>,
}

/// What a process is started from.
pub struct Start<'a> {
    /// The program.
    pub program: &'a Path,
    /// A folder of its own.
    pub folder: PathBuf,
    /// The platform's configuration.
    pub config: Value,
    /// The operators' file.
    pub operator: String,
    /// Whose process it is, for the history.
    pub front: u16,
    /// A second process under the name of another.
    pub twin: bool,
    /// A listening socket that it inherits, as its configuration names it.
    pub socket: Option<std::os::fd::OwnedFd>,
}

impl Process {
    /// Starts a process and waits until it listens everywhere; `fleet`: to other fronts too.
    pub async fn start(
        start: Start<'_>,
        guard: Arc<Mutex<Guard>>,
        history: Arc<History>,
        fleet: bool,
    ) -> Result<Process, RigError> {
        let tmp = start.folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        let (config, operator) = (
            start.folder.join("config.json"),
            start.folder.join("operator.toml"),
        );
        std::fs::write(&config, start.config.to_string())?;
        std::fs::write(&operator, &start.operator)?;
        // Whoever asks for a log of their own gets it, beside the lines that the rig lives by.
        let wanted = std::env::var("LUPINRACK_LOG").ok();
        let own = wanted
            .as_deref()
            .map(|w| format!("{w},"))
            .unwrap_or_default();
        let filter = format!("{own}info,lupinrack_fleet_driver=debug");
        let mut command = match start.socket {
            Some(socket) => {
                let mut shell = Command::new("/bin/sh");
                shell
                    .args(["-c", "exec \"$0\" \"$@\" 7<&0 </dev/null"])
                    .arg(start.program);
                shell.env("LB_INHERITED_FD", "7").stdin(Stdio::from(socket));
                shell
            }
            None => {
                let mut program = Command::new(start.program);
                program.env_remove("LB_INHERITED_FD").stdin(Stdio::null());
                program
            }
        };
        let mut child = command
            .args(["--log-format", "json", "serve"])
            .arg("--config")
            .arg(&config)
            .arg("--operator")
            .arg(&operator)
            .env("TMPDIR", &tmp)
            .env("LUPINRACK_LOG", &filter)
            .env_remove("LB_MANAGEMENT")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let id = child.id().unwrap_or(0);
        guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .say(format!("+{id}\n"));
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (tell, mut told) = watch::channel(Listens::default());
        if let Some(lines) = child.stderr.take() {
            let follows = Follows {
                log: log.clone(),
                tell,
                history,
                front: start.front,
                twin: start.twin,
            };
            tokio::spawn(follows.lines(lines, wanted.is_some()));
        }
        let came = timeout(COMES_UP, async {
            loop {
                if told.borrow_and_update().whole(fleet) {
                    return Ok(());
                }
                tokio::select! {
                    changed = told.changed() => if changed.is_err() { return Err("its log ended".to_string()) },
                    ended = child.wait() => return Err(format!("it ended: {ended:?}")),
                }
            }
        });
        let came = came
            .await
            .unwrap_or_else(|_| Err("it did not listen in time".into()));
        let listens = *told.borrow();
        let process = Process {
            id,
            listens,
            child,
            guard,
            log,
        };
        match came {
            Ok(()) => Ok(process),
            Err(why) => Err(RigError::Start {
                front: start.front,
                why,
                log: process.said(),
            }),
        }
    }

    /// Processor time so far, as the kernel counts it (in hundredths of a second).
    pub fn cpu_ms(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id)).ok()?;
        let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
        let (user, system): (f64, f64) =
            (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
        Some((user + system) * 10.0)
    }

    /// The last lines of its log.
    pub fn said(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().map(|l| format!("    {l}\n")).collect()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if self.id != 0 {
            let _ = kill(Pid::from_raw(self.id as i32), signal);
        }
    }

    /// Kills it outright and waits until it is gone.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits for its own end.
    pub async fn ended(&mut self, patience: Duration) -> Option<std::process::ExitStatus> {
        timeout(patience, self.child.wait()).await.ok()?.ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.start_kill();
        self.guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .say(format!("-{}\n", self.id));
    }
}

/// Reads a process's log: where it listens, and what it says of its fleet.
struct Follows {
    log: Arc<Mutex<VecDeque<String>>>,
    tell: watch::Sender<Listens>,
    history: Arc<History>,
    front: u16,
    twin: bool,
}

impl Follows {
    async fn lines(self, lines: tokio::process::ChildStderr, echo: bool) {
        let Follows {
            log,
            tell,
            history,
            front,
            twin,
        } = self;
        let mut lines = BufReader::new(lines).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if echo {
                eprintln!("{line}");
            }
            let value: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
            let fields = &value["fields"];
            let message = fields["message"].as_str().unwrap_or("");
            let address = |text: &str| {
                text.rsplit(' ')
                    .next()
                    .and_then(|a| a.trim_end_matches(',').parse().ok())
            };
            if let Some((_, at)) = message.split_once(" listens on ") {
                let at = at.split(',').next().and_then(|a| a.parse().ok());
                tell.send_modify(|l| l.clients = at);
            } else if message.starts_with("management on ") {
                tell.send_modify(|l| l.door = address(message));
            } else if message == "fleet: begins" {
                let at = fields["listen"].as_str().and_then(|a| a.parse().ok());
                tell.send_modify(|l| l.fleet = at);
            }
            if let Some(what) = message.strip_prefix("fleet: ") {
                history.note(Note {
                    front,
                    twin,
                    what: what.to_string(),
                    fields: fields.clone(),
                });
            }
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            if log.len() >= LOG_KEPT {
                log.pop_front();
            }
            log.push_back(line);
        }
    }
}
