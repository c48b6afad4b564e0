//! The daemon: accepts clients, handles their handshakes and arguments, and serves the files that they request.

use super::config::{Module, RsyncConfig};
use super::pull::{self, ClientFile, PullRequest};
use super::transfer::{self, TransferCost, TransferEnd};
use super::wire::{
    self, FileChecksum, FileEntry, Reader, WireError, Writer, MAX_PATH_BYTES, PROTOCOL_VERSION,
};
use lupinrack_graceful_shutdown::{reached, Phase};
use lupinrack_request_engine::EngineHandle;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex, Semaphore};
use tokio::task::JoinSet;

/// Timeout of the handshake with its arguments. Short, because a silent client occupies one of `max_clients` slots.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for the next file request of a client.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Most arguments of a client.
const MAX_ARGUMENTS: usize = 64;
/// Most bytes of further requests that are buffered while a file is transferred.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// How long to wait for the client to close its side after the session has ended.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// State shared by all sessions.
#[derive(Clone)]
pub struct Front {
    /// Request engine, shared with the HTTP front.
    pub engine: EngineHandle,
    /// Modules and servers.
    pub config: Arc<RsyncConfig>,
    /// Timeout of the TCP connect to a server.
    pub connect_timeout: Duration,
    /// Shutdown phase of the process.
    pub phase: watch::Receiver<Phase>,
}

/// Why a session ends early. The text is sent to the client.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("{0}")]
    Rejected(String),
}

fn reject(text: impl Into<String>) -> SessionError {
    SessionError::Rejected(text.into())
}

/// Accepts clients until the process reaches [`Phase::Draining`], then waits until every session has finished its current
/// file.
pub async fn run(listener: TcpListener, front: Front) {
    let mut phase = front.phase.clone();
    let permits = Arc::new(Semaphore::new(front.config.max_clients));
    let mut sessions = JoinSet::new();
    loop {
        let accept = async {
            let permit = permits.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, stream) = tokio::select! {
            biased;
            Some(_) = sessions.join_next() => continue,
            accepted = accept => accepted,
            () = reached(&mut phase, Phase::Draining) => break,
        };
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let front = front.clone();
        sessions.spawn(async move {
            session(stream, front).await;
            drop(permit);
        });
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}

/// Serves one client. An error is reported to the client before the connection is closed.
async fn session(stream: TcpStream, front: Front) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut reader = Reader::new(reader);
    let client = Arc::new(Mutex::new(Writer::new(writer)));
    let served = serve(&mut reader, &client, &front).await;
    let mut writer = client.lock().await;
    if let Err(error) = served {
        tracing::info!("rsync client session failed: {error}");
        let _ = tokio::time::timeout(
            ACCEPT_RETRY_DELAY * 10,
            writer.write_error(&error.to_string()),
        )
        .await;
    }
    writer.close().await;
    // Closing a socket with unread input resets the connection, and the client could lose the last bytes.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, reader.discard()).await;
}

type Client = Arc<Mutex<Writer<OwnedWriteHalf>>>;

async fn serve(
    reader: &mut Reader<OwnedReadHalf>,
    client: &Client,
    front: &Front,
) -> Result<(), SessionError> {
    let timed_out = |_| reject("too slow");
    let pull = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake(reader, client, front))
        .await
        .map_err(timed_out)??;
    let Some((module, arguments, checksum_seed)) = pull else {
        return Ok(());
    };

    // The file list is the first transfer.
    let pull_request = |path: String, recursive| PullRequest {
        module: module.remote.clone(),
        path,
        recursive,
        connect_timeout: front.connect_timeout,
    };
    let servers = &front.config.servers;
    let request = || {
        let client_deadline = front.engine.clock.now() + module.deadline.as_micros() as i64;
        lupinrack_policy::Request {
            client_deadline,
            ..module.request
        }
    };
    let cost = |expected_bytes| TransferCost {
        bytes_per_unit: module.bytes_per_unit,
        max_units: module.max_units,
        expected_bytes,
    };
    let pulled_list = transfer::run(
        &front.engine,
        request(),
        cost(0),
        reader.closed(MAX_PIPELINED_BYTES),
        |attempt, meter| {
            let address = servers.get(&*attempt.target.name).copied();
            pull::pull_file_list(
                pull_request(arguments.path.clone(), arguments.recursive),
                address,
                attempt,
                meter,
            )
        },
    );
    let list = match pulled_list.await {
        TransferEnd::Completed(list) => list,
        end => return Err(reject(describe_end("the file list", &end))),
    };
    let mut reply = wire::encode_file_list(&list);
    // One empty list per kind of owner identifier, then the I/O error flags: none.
    reply.extend_from_slice(&[0; 4].repeat(arguments.id_lists));
    reply.extend_from_slice(&[0; 4]);
    tokio::time::timeout(module.deadline, async {
        client.lock().await.write_data(&reply).await
    })
    .await
    .map_err(timed_out)??;

    // Each requested file is a transfer of its own.
    let (mut phases, mut total_size) = (0, 0);
    let mut phase = front.phase.clone();
    while phases < 2 {
        let index = tokio::select! {
            biased;
            // No file is being transferred: an idle client must not delay the shutdown.
            () = reached(&mut phase, Phase::Draining) => return Err(reject("this front is ending; come back")),
            index = tokio::time::timeout(IDLE_TIMEOUT, reader.read_int()) => index.map_err(timed_out)??,
        };
        if index == -1 {
            phases += 1;
            client
                .lock()
                .await
                .write_data(&(-1i32).to_le_bytes())
                .await?;
            continue;
        }
        let entry = usize::try_from(index)
            .ok()
            .and_then(|index| list.get(index))
            .filter(|entry| entry.is_file());
        let entry = entry.ok_or(WireError::Malformed("no such file in the list"))?;
        let sums = tokio::time::timeout(IDLE_TIMEOUT, reader.read_block_sums())
            .await
            .map_err(timed_out)??;
        let name = String::from_utf8_lossy(&entry.name).into_owned();
        let path = module_path(&arguments, entry)?;
        let header = [index, sums[0], sums[1], sums[2], sums[3]];
        let client_gone = reader.closed(MAX_PIPELINED_BYTES);
        let pulled_file = transfer::run(
            &front.engine,
            request(),
            cost(entry.size),
            client_gone,
            |attempt, meter| {
                let address = servers.get(&*attempt.target.name).copied();
                let client_file = ClientFile {
                    client: client.clone(),
                    header,
                    size: entry.size,
                    checksum: Some(FileChecksum::new(checksum_seed)),
                };
                pull::pull_file(
                    pull_request(path.clone(), false),
                    address,
                    attempt,
                    meter,
                    client_file,
                )
            },
        );
        match pulled_file.await {
            TransferEnd::Completed(()) => total_size += entry.size,
            // Nothing of this file was sent: the client gets an error for it, and the session continues.
            end @ (TransferEnd::Rejected(_) | TransferEnd::Failed) => {
                client
                    .lock()
                    .await
                    .write_error(&describe_end(&name, &end))
                    .await?
            }
            // A part of the file was sent: the protocol cannot take it back, so the connection is closed.
            end => return Err(reject(describe_end(&name, &end))),
        }
    }
    let stats = wire::encode_stats(
        reader.bytes_read,
        client.lock().await.bytes_written,
        total_size,
    );
    client.lock().await.write_data(&stats).await?;
    // The final goodbye of the client.
    let _ = tokio::time::timeout(HANDSHAKE_TIMEOUT, reader.read_int()).await;
    Ok(())
}

/// Text for the client about how a transfer ended.
fn describe_end<T>(name: &str, end: &TransferEnd<T>) -> String {
    match end {
        TransferEnd::Completed(_) => format!("{name}: done"),
        TransferEnd::Rejected(Some(retry_after)) => {
            format!(
                "{name}: refused; come back in {:.3} s",
                retry_after.as_secs_f64()
            )
        }
        TransferEnd::Rejected(None) => format!("{name}: refused; come back later"),
        TransferEnd::Failed => format!("{name}: failed"),
        TransferEnd::Interrupted => format!("{name}: broke off; what came is not whole"),
        TransferEnd::ClientGone => format!("{name}: the client left"),
    }
}

/// The arguments of a pull.
struct PullArguments {
    /// Path in the module; empty for the whole module.
    path: String,
    recursive: bool,
    /// Number of lists of user and group names that the client expects after the file list.
    id_lists: usize,
}

/// Handles greeting, module and arguments. Returns `None` if the client only requested the list of modules.
async fn handshake<'a>(
    reader: &mut Reader<OwnedReadHalf>,
    client: &Client,
    front: &'a Front,
) -> Result<Option<(&'a Module, PullArguments, i32)>, SessionError> {
    let mut writer = client.lock().await;
    writer
        .write_data(format!("@RSYNCD: {PROTOCOL_VERSION}\n").as_bytes())
        .await?;
    let greeting = reader.read_line().await?;
    let version = greeting
        .strip_prefix("@RSYNCD: ")
        .and_then(|text| text.split('.').next()?.trim().parse::<u32>().ok());
    let version =
        version.ok_or_else(|| reject("this is an rsync daemon; a greeting is expected"))?;
    if version < PROTOCOL_VERSION {
        return Err(reject(format!(
            "protocol version {version} is not served; {PROTOCOL_VERSION} is the oldest"
        )));
    }
    let name = reader.read_line().await?;
    if name.is_empty() || name == "#list" {
        for module in &front.config.modules {
            writer
                .write_data(
                    format!(
                        "{:<15}\t{}\n",
                        module.name,
                        module.comment.replace('\n', " ")
                    )
                    .as_bytes(),
                )
                .await?;
        }
        writer.write_data(b"@RSYNCD: EXIT\n").await?;
        return Ok(None);
    }
    let module = front
        .config
        .modules
        .iter()
        .find(|module| module.name == name);
    let module =
        module.ok_or_else(|| reject(format!("Unknown module '{}'", name.escape_default())))?;
    writer.write_data(b"@RSYNCD: OK\n").await?;
    let mut arguments = Vec::new();
    loop {
        let line = reader.read_line().await?;
        if line.is_empty() {
            break;
        }
        if arguments.len() == MAX_ARGUMENTS {
            return Err(reject("too many arguments"));
        }
        arguments.push(line);
    }
    // After the checksum seed the client reads frames, so errors in its arguments are sent in a frame.
    let checksum_seed = fastrand::i32(1..);
    writer.write_data(&checksum_seed.to_le_bytes()).await?;
    writer.multiplex();
    let arguments = parse_arguments(&arguments, &module.name)?;
    if reader.read_int().await? != 0 {
        return Err(reject("filter rules are not served"));
    }
    Ok(Some((module, arguments, checksum_seed)))
}

/// Parses the arguments of a pull. An option that would change the protocol in an unsupported way is an error that names
/// it.
fn parse_arguments(arguments: &[String], module: &str) -> Result<PullArguments, SessionError> {
    let (mut server, mut sender, mut recursive, mut numeric_ids) = (false, false, false, false);
    let (mut owners, mut groups) = (false, false);
    let mut remaining = arguments.iter();
    for argument in remaining.by_ref() {
        match argument.as_str() {
            "--server" => server = true,
            "--sender" => sender = true,
            "--numeric-ids" => numeric_ids = true,
            "." => break,
            long if long.starts_with("--") => {
                return Err(reject(format!("option {long} is not served")))
            }
            short if short.starts_with('-') => {
                for letter in short[1..].chars() {
                    match letter {
                        'r' => recursive = true,
                        'o' => owners = true,
                        'g' => groups = true,
                        // Times and modes are always sent; links and devices are never listed.
                        't' | 'p' | 'l' | 'D' | 'v' | 'q' | 'W' => {}
                        // The letters after `e` are the capabilities of later protocol versions.
                        'e' => break,
                        other => return Err(reject(format!("option -{other} is not served"))),
                    }
                }
            }
            other => {
                return Err(reject(format!(
                    "argument '{}' is not expected",
                    other.escape_default()
                )))
            }
        }
    }
    if !server || !sender {
        return Err(reject("only pulls are served"));
    }
    let (Some(path), None) = (remaining.next(), remaining.next()) else {
        return Err(reject("exactly one path is served"));
    };
    let path = path
        .strip_prefix(module)
        .filter(|path| path.is_empty() || path.starts_with('/'));
    let path = path.ok_or_else(|| reject("the path is not in the module"))?;
    let path = match path.trim_start_matches('/') {
        "." => "",
        path => path,
    };
    let relative = path.strip_suffix('/').unwrap_or(path);
    if path.len() > MAX_PATH_BYTES
        || !(relative.is_empty() || wire::is_inside_base(relative.as_bytes()))
    {
        return Err(reject("the path leads out of the module"));
    }
    let id_lists = if numeric_ids {
        0
    } else {
        usize::from(owners) + usize::from(groups)
    };
    Ok(PullArguments {
        path: path.to_string(),
        recursive,
        id_lists,
    })
}

/// Path of an entry in the module. Entries are relative to the requested path if it ends in a slash, and else to its parent
/// folder.
fn module_path(arguments: &PullArguments, entry: &FileEntry) -> Result<String, SessionError> {
    let name = std::str::from_utf8(&entry.name)
        .map_err(|_| reject("a name that is not UTF-8 is not served"))?;
    let base = arguments
        .path
        .rfind('/')
        .map_or("", |slash| &arguments.path[..=slash]);
    Ok(format!("{base}{name}"))
}
