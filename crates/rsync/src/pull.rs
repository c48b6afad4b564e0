//! One attempt at a server: the file list, or one whole file, on a connection of its own.

use super::unit::Line;
use super::wire::{Entry, Reader, Sum, WireError, Writer, TOKEN_MOST, VERSION};
use lupinrack_policy::*;
use lupinrack_request_engine::{Attempt, Clock};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;

/// What the machine may take in from a server before it is read. Seen with the default: a server had written a
/// good part of a file before the first units past its start were granted, and the volume's limit was passed
/// at the server though not at the client.
const READ_AHEAD: u32 = 64 << 10;

/// What is asked of a server.
#[derive(Clone, Debug)]
pub struct Want {
    /// The module there.
    pub module: String,
    /// The path in it; empty for all.
    pub path: String,
    /// With all that lies below it?
    pub recursive: bool,
    /// The longest time for a connection to come up.
    pub connect: Duration,
}

/// Why a pull ended, and what that proves.
#[derive(Debug, thiserror::Error)]
pub(super) enum PullError {
    #[error("no connection: {0}")]
    Unreached(std::io::Error),
    #[error("no connection in time, or the node stops")]
    Unsent,
    #[error("the right that it drew on had ended")]
    Lapsed,
    #[error("turned away: {0}")]
    Full(String),
    #[error("server: {0}")]
    Server(String),
    #[error("server: {0}")]
    Wire(#[from] WireError),
    #[error("client: {0}")]
    Client(WireError),
}

impl PullError {
    fn outcome(&self) -> Outcome {
        match self {
            PullError::Unreached(_) | PullError::Unsent => Outcome::ConnectFailed,
            PullError::Lapsed => Outcome::Expired,
            PullError::Full(_) => Outcome::Rejected,
            PullError::Server(_) => Outcome::Error,
            PullError::Wire(_) => Outcome::Reset,
            PullError::Client(_) => Outcome::Cancelled,
        }
    }
}

struct Session {
    from: Reader<OwnedReadHalf>,
    to: Writer<OwnedWriteHalf>,
    seed: i32,
}

/// Pulls the file list.
pub async fn list(
    want: Want,
    address: Option<SocketAddr>,
    attempt: Attempt,
    mut line: Line,
) -> (Outcome, Vec<Entry>) {
    let (until, clock) = (attempt.until, line.clock);
    let pull = async {
        let mut s = open(&want, address, &attempt, clock).await?;
        let list = s.from.list().await?;
        line.pay(s.from.read).await;
        line.moved(s.from.read).await;
        goodbye(&mut s).await;
        Ok(list)
    };
    finish(until, clock, pull).await
}

/// Pulls one whole file and passes it on to the client as it comes.
pub async fn file(
    want: Want,
    address: Option<SocketAddr>,
    attempt: Attempt,
    mut line: Line,
    mut passing: Passing,
) -> (Outcome, ()) {
    let (until, clock) = (attempt.until, line.clock);
    let pull = async {
        let mut s = open(&want, address, &attempt, line.clock).await?;
        let list = s.from.list().await?;
        if !matches!(&list[..], [e] if e.is_file() && e.size == passing.size) {
            return Err(PullError::Server(
                "the file is no longer what was listed".into(),
            ));
        }
        // Entry 0, with no blocks of an older copy: the whole file is wanted.
        let mut ask = [0; 5].map(i32::to_le_bytes).concat();
        ask[8..16].copy_from_slice(&[700i32.to_le_bytes(), 2i32.to_le_bytes()].concat());
        s.to.data(&ask).await?;
        if s.from.int().await? != 0 {
            let said = s.from.said.join("; ");
            return Err(PullError::Server(format!("the file is not sent: {said}")));
        }
        s.from.sums().await?;
        let (mut theirs, mut moved) = (Sum::new(s.seed), 0);
        loop {
            let n = s.from.int().await?;
            match usize::try_from(n) {
                Ok(0) => break,
                Ok(n) if n <= TOKEN_MOST => {
                    let part = s.from.bytes(n).await?;
                    theirs.add(&part);
                    moved += n as u64;
                    if moved > passing.size {
                        return Err(WireError::Oversize("file").into());
                    }
                    line.pay(moved).await;
                    passing
                        .part(&mut line, &part)
                        .await
                        .map_err(PullError::Client)?;
                }
                Ok(_) => return Err(WireError::Oversize("token").into()),
                Err(_) => {
                    return Err(WireError::Garbage("a block of a copy that is not there").into())
                }
            }
        }
        if s.from.bytes(16).await?[..] != theirs.end() || moved != passing.size {
            return Err(WireError::Garbage("the file's sum does not match").into());
        }
        passing.end(&mut line).await.map_err(PullError::Client)?;
        goodbye(&mut s).await;
        Ok(())
    };
    finish(until, clock, pull).await
}

async fn finish<T: Default>(
    until: Micros,
    clock: Clock,
    pull: impl std::future::Future<Output = Result<T, PullError>>,
) -> (Outcome, T) {
    match tokio::time::timeout_at(clock.instant(until), pull).await {
        Ok(Ok(value)) => (Outcome::Ok, value),
        Ok(Err(why)) => {
            tracing::info!("rsync: {why}");
            (why.outcome(), T::default())
        }
        Err(_) => (Outcome::Timeout, T::default()),
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_recv_buffer_size(READ_AHEAD)?;
    socket.connect(address).await
}

/// Connects and goes through the handshake, up to where the file list begins. Before the arguments are written
/// nothing has run; a node that must get nothing new by then gets nothing.
async fn open(
    want: &Want,
    address: Option<SocketAddr>,
    attempt: &Attempt,
    clock: Clock,
) -> Result<Session, PullError> {
    let address = address.ok_or(PullError::Unsent)?;
    let greet = async {
        let connected = tokio::time::timeout(want.connect, connect(address)).await;
        let stream = connected
            .map_err(|_| PullError::Unsent)?
            .map_err(PullError::Unreached)?;
        let _ = stream.set_nodelay(true);
        let (from, to) = stream.into_split();
        let (mut from, mut to) = (Reader::new(from), Writer::new(to));
        let unrun = |_| PullError::Unsent;
        let hello = from.line().await.map_err(unrun)?;
        let version = hello
            .strip_prefix("@RSYNCD: ")
            .and_then(|v| v.split('.').next()?.trim().parse().ok());
        if version.is_none_or(|v: u32| v < VERSION) {
            return Err(PullError::Server(format!("greeting '{hello}'")));
        }
        to.data(format!("@RSYNCD: {VERSION}\n{}\n", want.module).as_bytes())
            .await
            .map_err(unrun)?;
        loop {
            let line = from.line().await.map_err(unrun)?;
            match line.strip_prefix("@ERROR") {
                _ if line == "@RSYNCD: OK" => return Ok((from, to)),
                // What a daemon says when it holds as many connections as it may.
                Some(why) if why.contains("max connections") => return Err(PullError::Full(line)),
                Some(_) => return Err(PullError::Server(line)),
                None if line.starts_with("@RSYNCD: ") => return Err(PullError::Server(line)),
                None => {}
            }
        }
    };
    let (mut from, mut to) = tokio::select! {
        biased;
        () = attempt.to.stopped(clock) => return Err(PullError::Unsent),
        greeted = greet => greeted?,
    };
    if clock.now() >= attempt.begin_by {
        // This process was stopped meanwhile: others may use by now what this pull drew on.
        return Err(PullError::Lapsed);
    }
    let recurse = if want.recursive { "-rt" } else { "-t" };
    let arguments = format!(
        "--server\n--sender\n{recurse}\n.\n{}/{}\n\n",
        want.module, want.path
    );
    to.data(arguments.as_bytes()).await?;
    let seed = from.int().await?;
    from.demultiplex();
    // An empty list of exclusions.
    to.data(&0i32.to_le_bytes()).await?;
    Ok(Session { from, to, seed })
}

/// Ends a session as the protocol wants it. All that was wanted has come; what goes wrong here harms nobody.
async fn goodbye(s: &mut Session) {
    let farewell = async {
        // The ends of both phases, their echoes, the figures, and the last word.
        s.to.data(&[-1i32, -1].map(i32::to_le_bytes).concat())
            .await?;
        let _ = (s.from.int().await?, s.from.int().await?);
        s.from.stats().await?;
        s.to.data(&(-1i32).to_le_bytes()).await
    };
    let _ = tokio::time::timeout(Duration::from_millis(200), farewell).await;
    s.to.close().await;
}

/// The client's end of one file: its head goes out with the first bytes, its sum with the last.
pub struct Passing {
    /// The client.
    pub client: Arc<Mutex<Writer<OwnedWriteHalf>>>,
    /// The entry's number at the client, and the head of the block sums that came with it.
    pub head: [i32; 5],
    /// The size listed.
    pub size: u64,
    /// The client's running sum.
    pub sum: Option<Sum>,
}

impl Passing {
    async fn part(&mut self, line: &mut Line, part: &[u8]) -> Result<(), WireError> {
        let mut client = self.client.lock().await;
        if line.begin().await {
            client
                .data(&self.head.map(i32::to_le_bytes).concat())
                .await?;
        }
        if let Some(sum) = &mut self.sum {
            sum.add(part);
        }
        client.data(&(part.len() as i32).to_le_bytes()).await?;
        client.data(part).await?;
        line.moved(part.len() as u64).await;
        Ok(())
    }

    async fn end(&mut self, line: &mut Line) -> Result<(), WireError> {
        let mut client = self.client.lock().await;
        if line.begin().await {
            client
                .data(&self.head.map(i32::to_le_bytes).concat())
                .await?;
        }
        client.data(&0i32.to_le_bytes()).await?;
        let sum = self.sum.take().ok_or(WireError::Closed)?;
        client.data(&sum.end()).await
    }
}
