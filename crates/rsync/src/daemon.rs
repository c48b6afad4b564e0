//! The daemon's side: clients, their handshakes and arguments, and the files they ask for.

use super::config::{Module, RsyncConfig};
use super::pull::{self, Passing, Want};
use super::unit::{self, End, Meter};
use super::wire::{self, Entry, Reader, Sum, WireError, Writer, PATH_MOST, VERSION};
use lupinrack_graceful_shutdown::{reached, Phase};
use lupinrack_request_engine::EngineHandle;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex, Semaphore};
use tokio::task::JoinSet;

/// How long a client may take for its handshake and arguments: one that connects and says nothing must not hold
/// its place for long.
const HANDSHAKE: Duration = Duration::from_secs(3);
/// How long it may take to ask for the next file.
const IDLE: Duration = Duration::from_secs(60);
/// The most arguments.
const ARGUMENTS_MOST: usize = 64;
/// What a client may have asked for ahead, in bytes, while a file is under way.
const AHEAD_MOST: usize = 64 << 10;
/// How long a client that has been told its ending may take to close its side.
const LINGER: Duration = Duration::from_millis(500);
/// The wait after an accept that failed.
const PAUSE: Duration = Duration::from_millis(20);

/// What every client needs.
#[derive(Clone)]
pub struct Front {
    /// The core, the same as the platform's front has.
    pub core: EngineHandle,
    /// Modules and servers.
    pub config: Arc<RsyncConfig>,
    /// The longest time for a connection to a server to come up.
    pub connect: Duration,
    /// Whether the program is ending.
    pub phase: watch::Receiver<Phase>,
}

/// Why a client is turned away.
#[derive(Debug, thiserror::Error)]
enum Turned {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("{0}")]
    Told(String),
}

fn told(text: impl Into<String>) -> Turned {
    Turned::Told(text.into())
}

/// Takes clients until the program is closing, then lets each finish the file in hand.
pub async fn run(listener: TcpListener, front: Front) {
    let mut phase = front.phase.clone();
    let room = Arc::new(Semaphore::new(front.config.max_clients));
    let mut sessions = JoinSet::new();
    loop {
        let next = async {
            let permit = room.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, stream) = tokio::select! {
            biased;
            Some(_) = sessions.join_next() => continue,
            next = next => next,
            () = reached(&mut phase, Phase::Draining) => break,
        };
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(PAUSE).await;
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

/// One client, from its first line to its one clear ending.
async fn session(stream: TcpStream, front: Front) {
    let _ = stream.set_nodelay(true);
    let (from, to) = stream.into_split();
    let mut from = Reader::new(from);
    let to = Arc::new(Mutex::new(Writer::new(to)));
    let served = serve(&mut from, &to, &front).await;
    let mut to = to.lock().await;
    if let Err(why) = served {
        tracing::info!("rsync client: {why}");
        let _ = tokio::time::timeout(PAUSE * 10, to.error(&why.to_string())).await;
    }
    to.close().await;
    // Closed with input unread, the connection would be reset, and the last words lost on their way.
    let _ = tokio::time::timeout(LINGER, from.discard()).await;
}

type Client = Arc<Mutex<Writer<OwnedWriteHalf>>>;

async fn serve(from: &mut Reader<OwnedReadHalf>, to: &Client, front: &Front) -> Result<(), Turned> {
    let late = |_| told("too slow");
    let hello = tokio::time::timeout(HANDSHAKE, handshake(from, to, front))
        .await
        .map_err(late)??;
    let Some((module, asked, seed)) = hello else {
        return Ok(());
    };

    // The file list is the first unit of work.
    let want = |path: String, recursive| Want {
        module: module.remote.clone(),
        path,
        recursive,
        connect: front.connect,
    };
    let servers = &front.config.servers;
    let request = || {
        let client_deadline = front.core.clock.now() + module.deadline.as_micros() as i64;
        lupinrack_policy::Request {
            client_deadline,
            ..module.request
        }
    };
    let meter = |bytes| Meter {
        bytes_per_unit: module.bytes_per_unit,
        most_units: module.most_units,
        bytes,
    };
    let listed = unit::run(
        &front.core,
        request(),
        meter(0),
        from.ended(AHEAD_MOST),
        |attempt, line| {
            let address = servers.get(&*attempt.target.name).copied();
            pull::list(
                want(asked.path.clone(), asked.recursive),
                address,
                attempt,
                line,
            )
        },
    );
    let list = match listed.await {
        End::Done(list) => list,
        other => return Err(told(ending("the file list", &other))),
    };
    let mut out = wire::list(&list);
    out.extend_from_slice(&[0; 4].repeat(asked.id_lists));
    out.extend_from_slice(&[0; 4]);
    tokio::time::timeout(module.deadline, async { to.lock().await.data(&out).await })
        .await
        .map_err(late)??;

    // Each file asked for is new work.
    let (mut phases, mut bytes) = (0, 0);
    let mut phase = front.phase.clone();
    while phases < 2 {
        let index = tokio::select! {
            biased;
            // Nothing is in hand here: a client that idles must not hold up the program's end.
            () = reached(&mut phase, Phase::Draining) => return Err(told("this front is ending; come back")),
            index = tokio::time::timeout(IDLE, from.int()) => index.map_err(late)??,
        };
        if index == -1 {
            phases += 1;
            to.lock().await.data(&(-1i32).to_le_bytes()).await?;
            continue;
        }
        let entry = usize::try_from(index)
            .ok()
            .and_then(|i| list.get(i))
            .filter(|e| e.is_file());
        let entry = entry.ok_or(WireError::Garbage("no such file in the list"))?;
        let sums = tokio::time::timeout(IDLE, from.sums())
            .await
            .map_err(late)??;
        let name = String::from_utf8_lossy(&entry.name).into_owned();
        let path = path_of(&asked, entry)?;
        let head = [index, sums[0], sums[1], sums[2], sums[3]];
        let gone = from.ended(AHEAD_MOST);
        let pulled = unit::run(
            &front.core,
            request(),
            meter(entry.size),
            gone,
            |attempt, line| {
                let address = servers.get(&*attempt.target.name).copied();
                let passing = Passing {
                    client: to.clone(),
                    head,
                    size: entry.size,
                    sum: Some(Sum::new(seed)),
                };
                pull::file(want(path.clone(), false), address, attempt, line, passing)
            },
        );
        match pulled.await {
            End::Done(()) => bytes += entry.size,
            // Not begun: this file is left out, and the client hears why and goes on.
            end @ (End::Refused(_) | End::Failed) => {
                to.lock().await.error(&ending(&name, &end)).await?
            }
            // Bytes have passed on: the connection ends where the file is not whole.
            end => return Err(told(ending(&name, &end))),
        }
    }
    let figures = wire::stats(from.read, to.lock().await.written, bytes);
    to.lock().await.data(&figures).await?;
    // The client's last word.
    let _ = tokio::time::timeout(HANDSHAKE, from.int()).await;
    Ok(())
}

/// Words an end for the client.
fn ending<T>(what: &str, end: &End<T>) -> String {
    match end {
        End::Done(_) => format!("{what}: done"),
        End::Refused(Some(after)) => {
            format!("{what}: refused; come back in {:.3} s", after.as_secs_f64())
        }
        End::Refused(None) => format!("{what}: refused; come back later"),
        End::Failed => format!("{what}: failed"),
        End::Broken => format!("{what}: broke off; what came is not whole"),
        End::ClientGone => format!("{what}: the client left"),
    }
}

/// What a client asks for.
struct Asked {
    path: String,
    recursive: bool,
    id_lists: usize,
}

/// Greeting, module and arguments. None where the client only wanted the list of modules.
async fn handshake<'a>(
    from: &mut Reader<OwnedReadHalf>,
    to: &Client,
    front: &'a Front,
) -> Result<Option<(&'a Module, Asked, i32)>, Turned> {
    let mut to = to.lock().await;
    to.data(format!("@RSYNCD: {VERSION}\n").as_bytes()).await?;
    let hello = from.line().await?;
    let version = hello
        .strip_prefix("@RSYNCD: ")
        .and_then(|v| v.split('.').next()?.trim().parse::<u32>().ok());
    let version = version.ok_or_else(|| told("this is an rsync daemon; a greeting is expected"))?;
    if version < VERSION {
        return Err(told(format!(
            "protocol version {version} is not served; {VERSION} is the oldest"
        )));
    }
    let name = from.line().await?;
    if name.is_empty() || name == "#list" {
        for m in &front.config.modules {
            to.data(format!("{:<15}\t{}\n", m.name, m.comment.replace('\n', " ")).as_bytes())
                .await?;
        }
        to.data(b"@RSYNCD: EXIT\n").await?;
        return Ok(None);
    }
    let module = front.config.modules.iter().find(|m| m.name == name);
    let module =
        module.ok_or_else(|| told(format!("Unknown module '{}'", name.escape_default())))?;
    to.data(b"@RSYNCD: OK\n").await?;
    let mut arguments = Vec::new();
    loop {
        let line = from.line().await?;
        if line.is_empty() {
            break;
        }
        if arguments.len() == ARGUMENTS_MOST {
            return Err(told("too many arguments"));
        }
        arguments.push(line);
    }
    // From here on the client reads frames, so what is wrong with its arguments is said in one.
    let seed = fastrand::i32(1..);
    to.data(&seed.to_le_bytes()).await?;
    to.multiplex();
    let asked = parse(&arguments, &module.name)?;
    if from.int().await? != 0 {
        return Err(told("filter rules are not served"));
    }
    Ok(Some((module, asked, seed)))
}

/// Reads the arguments of a pull; all that would change the bytes to come in ways not served is named.
fn parse(arguments: &[String], module: &str) -> Result<Asked, Turned> {
    let (mut server, mut sender, mut recursive, mut numeric) = (false, false, false, false);
    let (mut owners, mut groups) = (false, false);
    let mut rest = arguments.iter();
    for a in rest.by_ref() {
        match a.as_str() {
            "--server" => server = true,
            "--sender" => sender = true,
            "--numeric-ids" => numeric = true,
            "." => break,
            long if long.starts_with("--") => {
                return Err(told(format!("option {long} is not served")))
            }
            short if short.starts_with('-') => {
                for letter in short[1..].chars() {
                    match letter {
                        'r' => recursive = true,
                        'o' => owners = true,
                        'g' => groups = true,
                        // Times and modes always go along; links and devices are never listed.
                        't' | 'p' | 'l' | 'D' | 'v' | 'q' | 'W' => {}
                        // The rest tells of later versions' abilities.
                        'e' => break,
                        other => return Err(told(format!("option -{other} is not served"))),
                    }
                }
            }
            other => {
                return Err(told(format!(
                    "argument '{}' is not expected",
                    other.escape_default()
                )))
            }
        }
    }
    if !server || !sender {
        return Err(told("only pulls are served"));
    }
    let (Some(path), None) = (rest.next(), rest.next()) else {
        return Err(told("exactly one path is served"));
    };
    let path = path
        .strip_prefix(module)
        .filter(|p| p.is_empty() || p.starts_with('/'));
    let path = path.ok_or_else(|| told("the path is not in the module"))?;
    let path = match path.trim_start_matches('/') {
        "." => "",
        path => path,
    };
    let plain = path.strip_suffix('/').unwrap_or(path);
    if path.len() > PATH_MOST || !(plain.is_empty() || wire::inside(plain.as_bytes())) {
        return Err(told("the path leads out of the module"));
    }
    let id_lists = if numeric {
        0
    } else {
        usize::from(owners) + usize::from(groups)
    };
    Ok(Asked {
        path: path.to_string(),
        recursive,
        id_lists,
    })
}

/// Where an entry lies in the module: below the path asked for, or beside it where that has no slash at its end.
fn path_of(asked: &Asked, entry: &Entry) -> Result<String, Turned> {
    let name = std::str::from_utf8(&entry.name)
        .map_err(|_| told("a name that is not UTF-8 is not served"))?;
    let base = asked.path.rfind('/').map_or("", |at| &asked.path[..=at]);
    Ok(format!("{base}{name}"))
}
