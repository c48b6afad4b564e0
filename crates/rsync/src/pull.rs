//! One attempt at an rsync server: pulls the file list or one file over a new connection.

use super::transfer::AttemptMeter;
use super::wire::{
    FileChecksum, FileEntry, Reader, WireError, Writer, MAX_TOKEN_BYTES, PROTOCOL_VERSION,
};
use lupinrack_policy::*;
use lupinrack_request_engine::{Attempt, Clock};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;

/// Receive buffer of a connection to a server. With the default size, a server had written a good part of a file before
/// the units after the initial ones were granted: the volume's limit was exceeded at the server, though not at the client.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

/// What to pull from a server.
#[derive(Clone, Debug)]
pub struct PullRequest {
    /// Module name on the server.
    pub module: String,
    /// Path in the module; empty for the whole module.
    pub path: String,
    /// Whether to list directories recursively.
    pub recursive: bool,
    /// Timeout of the TCP connect.
    pub connect_timeout: Duration,
}

/// Why a pull failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PullError {
    #[error("connect failed: {0}")]
    ConnectFailed(std::io::Error),
    #[error("not sent: no connection in time, the handshake broke off, or the node takes no new requests")]
    NotSent,
    #[error("not sent: the time by which the pull had to start has passed")]
    Expired,
    #[error("server is at its connection limit: {0}")]
    AtConnectionLimit(String),
    #[error("server: {0}")]
    Server(String),
    #[error("server connection: {0}")]
    Wire(#[from] WireError),
    #[error("client connection: {0}")]
    Client(WireError),
}

impl PullError {
    fn outcome(&self) -> Outcome {
        match self {
            PullError::ConnectFailed(_) | PullError::NotSent => Outcome::ConnectFailed,
            PullError::Expired => Outcome::Expired,
            PullError::AtConnectionLimit(_) => Outcome::Rejected,
            PullError::Server(_) => Outcome::Error,
            PullError::Wire(_) => Outcome::Reset,
            PullError::Client(_) => Outcome::Cancelled,
        }
    }
}

struct Session {
    reader: Reader<OwnedReadHalf>,
    writer: Writer<OwnedWriteHalf>,
    checksum_seed: i32,
}

/// Pulls the file list.
pub async fn pull_file_list(
    request: PullRequest,
    address: Option<SocketAddr>,
    attempt: Attempt,
    mut meter: AttemptMeter,
) -> (Outcome, Vec<FileEntry>) {
    let (deadline, clock) = (attempt.timeout_at, meter.clock);
    let pull = async {
        let mut session = open_session(&request, address, &attempt, clock).await?;
        let list = session.reader.read_file_list().await?;
        meter.acquire_units(session.reader.bytes_read).await;
        meter.bytes_forwarded(session.reader.bytes_read).await;
        end_session(&mut session).await;
        Ok(list)
    };
    run_until(deadline, clock, pull).await
}

/// Pulls one file and forwards it to the client as it arrives.
pub async fn pull_file(
    request: PullRequest,
    address: Option<SocketAddr>,
    attempt: Attempt,
    mut meter: AttemptMeter,
    mut client_file: ClientFile,
) -> (Outcome, ()) {
    let (deadline, clock) = (attempt.timeout_at, meter.clock);
    let pull = async {
        let mut session = open_session(&request, address, &attempt, meter.clock).await?;
        let list = session.reader.read_file_list().await?;
        if !matches!(&list[..], [entry] if entry.is_file() && entry.size == client_file.size) {
            return Err(PullError::Server(
                "the file has changed since it was listed".into(),
            ));
        }
        // Index 0 and an empty header of block sums (block length 700, strong sums of 2 bytes), so the server sends the
        // complete file.
        let mut file_request = [0; 5].map(i32::to_le_bytes).concat();
        file_request[8..16].copy_from_slice(&[700i32.to_le_bytes(), 2i32.to_le_bytes()].concat());
        session.writer.write_data(&file_request).await?;
        if session.reader.read_int().await? != 0 {
            let messages = session.reader.messages.join("; ");
            return Err(PullError::Server(format!(
                "the server does not send the file: {messages}"
            )));
        }
        session.reader.read_block_sums().await?;
        let (mut checksum, mut received_bytes) = (FileChecksum::new(session.checksum_seed), 0);
        loop {
            let token = session.reader.read_int().await?;
            match usize::try_from(token) {
                Ok(0) => break,
                Ok(length) if length <= MAX_TOKEN_BYTES => {
                    let data = session.reader.read_bytes(length).await?;
                    checksum.update(&data);
                    received_bytes += length as u64;
                    if received_bytes > client_file.size {
                        return Err(WireError::TooLong("file").into());
                    }
                    meter.acquire_units(received_bytes).await;
                    client_file
                        .forward(&mut meter, &data)
                        .await
                        .map_err(PullError::Client)?;
                }
                Ok(_) => return Err(WireError::TooLong("token").into()),
                Err(_) => {
                    return Err(WireError::Malformed(
                        "a block reference though no block sums were sent",
                    )
                    .into())
                }
            }
        }
        if session.reader.read_bytes(16).await?[..] != checksum.finalize()
            || received_bytes != client_file.size
        {
            return Err(WireError::Malformed("the checksum of the file does not match").into());
        }
        client_file
            .finish(&mut meter)
            .await
            .map_err(PullError::Client)?;
        end_session(&mut session).await;
        Ok(())
    };
    run_until(deadline, clock, pull).await
}

async fn run_until<T: Default>(
    deadline: Micros,
    clock: Clock,
    pull: impl std::future::Future<Output = Result<T, PullError>>,
) -> (Outcome, T) {
    match tokio::time::timeout_at(clock.instant(deadline), pull).await {
        Ok(Ok(value)) => (Outcome::Ok, value),
        Ok(Err(error)) => {
            tracing::info!("rsync pull failed: {error}");
            (error.outcome(), T::default())
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
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// Connects and completes the handshake, up to the start of the file list. The server does no work before the arguments
/// are written, so a pull that fails earlier counts as not sent.
async fn open_session(
    request: &PullRequest,
    address: Option<SocketAddr>,
    attempt: &Attempt,
    clock: Clock,
) -> Result<Session, PullError> {
    let address = address.ok_or(PullError::NotSent)?;
    let handshake = async {
        let connected = tokio::time::timeout(request.connect_timeout, connect(address)).await;
        let stream = connected
            .map_err(|_| PullError::NotSent)?
            .map_err(PullError::ConnectFailed)?;
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let (mut reader, mut writer) = (Reader::new(reader), Writer::new(writer));
        let not_sent = |_| PullError::NotSent;
        let greeting = reader.read_line().await.map_err(not_sent)?;
        let version = greeting
            .strip_prefix("@RSYNCD: ")
            .and_then(|text| text.split('.').next()?.trim().parse().ok());
        if version.is_none_or(|version: u32| version < PROTOCOL_VERSION) {
            return Err(PullError::Server(format!(
                "unsupported greeting '{greeting}'"
            )));
        }
        writer
            .write_data(format!("@RSYNCD: {PROTOCOL_VERSION}\n{}\n", request.module).as_bytes())
            .await
            .map_err(not_sent)?;
        loop {
            let line = reader.read_line().await.map_err(not_sent)?;
            match line.strip_prefix("@ERROR") {
                _ if line == "@RSYNCD: OK" => return Ok((reader, writer)),
                // Reply of a daemon that has reached its connection limit.
                Some(reason) if reason.contains("max connections") => {
                    return Err(PullError::AtConnectionLimit(line))
                }
                Some(_) => return Err(PullError::Server(line)),
                None if line.starts_with("@RSYNCD: ") => return Err(PullError::Server(line)),
                None => {}
            }
        }
    };
    let (mut reader, mut writer) = tokio::select! {
        biased;
        () = attempt.target.stopped(clock) => return Err(PullError::NotSent),
        connection = handshake => connection?,
    };
    if clock.now() >= attempt.begin_by {
        // The handshake took too long, for example because this process was suspended. The quota that the pull draws on
        // may belong to another front by now.
        return Err(PullError::Expired);
    }
    let recurse = if request.recursive { "-rt" } else { "-t" };
    let arguments = format!(
        "--server\n--sender\n{recurse}\n.\n{}/{}\n\n",
        request.module, request.path
    );
    writer.write_data(arguments.as_bytes()).await?;
    let checksum_seed = reader.read_int().await?;
    reader.demultiplex();
    // An empty list of filter rules.
    writer.write_data(&0i32.to_le_bytes()).await?;
    Ok(Session {
        reader,
        writer,
        checksum_seed,
    })
}

/// Ends a session in the order of the protocol. Errors are ignored: the requested data is already complete.
async fn end_session(session: &mut Session) {
    let goodbye = async {
        // The ends of both phases, their echoes, the statistics and the final goodbye.
        session
            .writer
            .write_data(&[-1i32, -1].map(i32::to_le_bytes).concat())
            .await?;
        let _ = (
            session.reader.read_int().await?,
            session.reader.read_int().await?,
        );
        session.reader.read_stats().await?;
        session.writer.write_data(&(-1i32).to_le_bytes()).await
    };
    let _ = tokio::time::timeout(Duration::from_millis(200), goodbye).await;
    session.writer.close().await;
}

/// Forwards one file to the client: the header before the first token, the checksum after the last one.
pub struct ClientFile {
    /// Write half of the client connection.
    pub client: Arc<Mutex<Writer<OwnedWriteHalf>>>,
    /// Index of the file in the client's file list, and the header of the block sums that the client sent.
    pub header: [i32; 5],
    /// Size in the file list, in bytes.
    pub size: u64,
    /// Checksum with the client's seed; taken when the file is finished.
    pub checksum: Option<FileChecksum>,
}

impl ClientFile {
    async fn forward(&mut self, meter: &mut AttemptMeter, data: &[u8]) -> Result<(), WireError> {
        let mut client = self.client.lock().await;
        if meter.start_response().await {
            client
                .write_data(&self.header.map(i32::to_le_bytes).concat())
                .await?;
        }
        if let Some(checksum) = &mut self.checksum {
            checksum.update(data);
        }
        client
            .write_data(&(data.len() as i32).to_le_bytes())
            .await?;
        client.write_data(data).await?;
        meter.bytes_forwarded(data.len() as u64).await;
        Ok(())
    }

    async fn finish(&mut self, meter: &mut AttemptMeter) -> Result<(), WireError> {
        let mut client = self.client.lock().await;
        if meter.start_response().await {
            client
                .write_data(&self.header.map(i32::to_le_bytes).concat())
                .await?;
        }
        client.write_data(&0i32.to_le_bytes()).await?;
        let checksum = self.checksum.take().ok_or(WireError::Closed)?;
        client.write_data(&checksum.finalize()).await
    }
}
