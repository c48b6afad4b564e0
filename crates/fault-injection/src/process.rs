//! Processes of the program. Each is started with configuration files of its own and is signalled by its process ID.

use crate::history::{History, LogRecord};
use crate::HarnessError;
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

/// Log lines of a process that are kept for the error message.
const MAX_LOG_LINES: usize = 200;
/// How long a process may take until it listens on all its addresses.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

/// Kills the processes that the harness started even if the harness itself is killed. It is a shell that reads process IDs
/// from a pipe and kills the remaining ones when the pipe closes.
pub struct Guard {
    child: std::process::Child,
}

impl Guard {
    /// Starts the shell, with no process to guard yet.
    pub fn new() -> std::io::Result<Guard> {
        // Lines "+ID" and "-ID" add and remove a process. At the end of its input the shell kills the remaining ones.
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

    fn send_line(&mut self, line: String) {
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

/// The addresses on which a process listens.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListenAddresses {
    /// For clients.
    pub clients: Option<SocketAddr>,
    /// For operators: the management address.
    pub management: Option<SocketAddr>,
    /// For other fronts.
    pub fleet: Option<SocketAddr>,
}

impl ListenAddresses {
    fn complete(&self, fleet: bool) -> bool {
        self.clients.is_some() && self.management.is_some() && (self.fleet.is_some() || !fleet)
    }
}

/// A process of the program.
pub struct Process {
    /// The process ID.
    pub id: u32,
    /// The addresses on which it listens.
    pub addresses: ListenAddresses,
    child: Child,
    guard: Arc<Mutex<Guard>>,
    log: Arc<Mutex<VecDeque<String>>>,
}

/// How a process is started.
pub struct StartOptions<'a> {
    /// The program's path.
    pub program: &'a Path,
    /// The process's own folder.
    pub folder: PathBuf,
    /// The platform's configuration file.
    pub config: Value,
    /// The text of the operators' file.
    pub operator: String,
    /// The front that it belongs to, for the history.
    pub front: u16,
    /// Whether it is a second process under the front's name, for the history.
    pub twin: bool,
    /// A listening socket that it inherits. Its configuration has the socket's address.
    pub socket: Option<std::os::fd::OwnedFd>,
}

impl Process {
    /// Starts a process and waits until it listens for clients and operators, and for other fronts if `fleet` is true.
    pub async fn start(
        options: StartOptions<'_>,
        guard: Arc<Mutex<Guard>>,
        history: Arc<History>,
        fleet: bool,
    ) -> Result<Process, HarnessError> {
        let tmp = options.folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        let (config, operator) = (
            options.folder.join("config.json"),
            options.folder.join("operator.toml"),
        );
        std::fs::write(&config, options.config.to_string())?;
        std::fs::write(&operator, &options.operator)?;
        // A log filter from the environment comes before the lines that the harness needs.
        let requested_filter = std::env::var("LUPINRACK_LOG").ok();
        let filter_prefix = requested_filter
            .as_deref()
            .map(|filter| format!("{filter},"))
            .unwrap_or_default();
        let filter = format!("{filter_prefix}info,lupinrack_fleet_driver=debug");
        let mut command = match options.socket {
            Some(socket) => {
                let mut shell = Command::new("/bin/sh");
                shell
                    .args(["-c", "exec \"$0\" \"$@\" 7<&0 </dev/null"])
                    .arg(options.program);
                shell.env("LB_INHERITED_FD", "7").stdin(Stdio::from(socket));
                shell
            }
            None => {
                let mut program = Command::new(options.program);
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
            .send_line(format!("+{id}\n"));
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (address_sender, mut address_receiver) = watch::channel(ListenAddresses::default());
        if let Some(lines) = child.stderr.take() {
            let log_reader = LogReader {
                log: log.clone(),
                address_sender,
                history,
                front: options.front,
                twin: options.twin,
            };
            tokio::spawn(log_reader.read_lines(lines, requested_filter.is_some()));
        }
        let started = timeout(STARTUP_TIMEOUT, async {
            loop {
                if address_receiver.borrow_and_update().complete(fleet) {
                    return Ok(());
                }
                tokio::select! {
                    changed = address_receiver.changed() => if changed.is_err() { return Err("its log ended".to_string()) },
                    ended = child.wait() => return Err(format!("it exited: {ended:?}")),
                }
            }
        });
        let started = started
            .await
            .unwrap_or_else(|_| Err("it did not listen in time".into()));
        let addresses = *address_receiver.borrow();
        let process = Process {
            id,
            addresses,
            child,
            guard,
            log,
        };
        match started {
            Ok(()) => Ok(process),
            Err(why) => Err(HarnessError::Start {
                front: options.front,
                why,
                log: process.log_tail(),
            }),
        }
    }

    /// CPU time used so far, in milliseconds. The kernel counts it in hundredths of a second.
    pub fn cpu_ms(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id)).ok()?;
        let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
        let (user, system): (f64, f64) =
            (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
        Some((user + system) * 10.0)
    }

    /// The last lines of the process's log.
    pub fn log_tail(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().map(|line| format!("    {line}\n")).collect()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if self.id != 0 {
            let _ = kill(Pid::from_raw(self.id as i32), signal);
        }
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits until the process exits by itself. Returns `None` after `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<std::process::ExitStatus> {
        timeout(limit, self.child.wait()).await.ok()?.ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.start_kill();
        self.guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .send_line(format!("-{}\n", self.id));
    }
}

/// Reads a process's log for its listen addresses and its fleet events.
struct LogReader {
    log: Arc<Mutex<VecDeque<String>>>,
    address_sender: watch::Sender<ListenAddresses>,
    history: Arc<History>,
    front: u16,
    twin: bool,
}

impl LogReader {
    async fn read_lines(self, lines: tokio::process::ChildStderr, echo: bool) {
        let LogReader {
            log,
            address_sender,
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
                address_sender.send_modify(|addresses| addresses.clients = at);
            } else if message.starts_with("management on ") {
                address_sender.send_modify(|addresses| addresses.management = address(message));
            } else if message == "fleet: begins" {
                let at = fields["listen"].as_str().and_then(|a| a.parse().ok());
                address_sender.send_modify(|addresses| addresses.fleet = at);
            }
            if let Some(event) = message.strip_prefix("fleet: ") {
                history.record_log(LogRecord {
                    front,
                    twin,
                    event: event.to_string(),
                    fields: fields.clone(),
                });
            }
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            if log.len() >= MAX_LOG_LINES {
                log.pop_front();
            }
            log.push_back(line);
        }
    }
}
