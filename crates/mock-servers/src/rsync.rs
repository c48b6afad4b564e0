//! A mock rsync server and client for protocol 27. They share no code with the front, so that a bug in one does not hide
//! the same bug in the other.

use md4::{Digest, Md4};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The fault that a mock server injects, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Injects no fault.
    Sound,
    /// Sends nothing after it has received the arguments.
    Silent,
    /// Reports that its connection limit is reached.
    Full,
    /// Closes the connection in the middle of a file.
    Breaks,
    /// Sends an oversized frame instead of the file list.
    Oversize,
    /// Sends bytes that are not a frame instead of the file list.
    Garbage,
    /// Ends each file with a wrong checksum.
    WrongSum,
}

/// What a server recorded: the file chunks that it sent, with their times on the test's clock and their sizes in bytes, and
/// the requested paths.
#[derive(Default)]
pub struct Seen {
    pub sent: Vec<(tokio::time::Instant, u64)>,
    pub asked: Vec<(tokio::time::Instant, String)>,
}

pub struct RsyncServer {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
    /// While true, each file transfer stops halfway.
    pub hold: watch::Sender<bool>,
}

pub type Files = BTreeMap<String, Vec<u8>>;

const CHUNK_BYTES: usize = 8 << 10;

pub async fn server(files: Files, behavior: ServerBehavior) -> RsyncServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (hold, hold_receiver) = watch::channel(false);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (files, recorded) = (Arc::new(files), seen.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (files, seen, hold_receiver) =
                (files.clone(), recorded.clone(), hold_receiver.clone());
            tokio::spawn(async move {
                let _ = serve_session(stream, &files, behavior, &seen, hold_receiver).await;
            });
        }
    });
    RsyncServer {
        address,
        seen,
        hold,
    }
}

fn frame(data: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in data.chunks(60_000) {
        out.extend((7u32 << 24 | chunk.len() as u32).to_le_bytes());
        out.extend(chunk);
    }
    out
}

async fn serve_session(
    stream: TcpStream,
    files: &Files,
    behavior: ServerBehavior,
    seen: &Mutex<Seen>,
    mut hold_receiver: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    writer.write_all(b"@RSYNCD: 27\n").await?;
    let (mut hello, mut module) = (String::new(), String::new());
    reader.read_line(&mut hello).await?;
    reader.read_line(&mut module).await?;
    if behavior == ServerBehavior::Full {
        return writer
            .write_all(b"@ERROR: max connections (1) reached -- try again later\n")
            .await;
    }
    writer.write_all(b"@RSYNCD: OK\n").await?;
    let mut arguments = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await?;
        match line.trim_end() {
            "" => break,
            a => arguments.push(a.to_string()),
        }
    }
    let module = module.trim_end();
    let path = arguments
        .last()
        .unwrap()
        .strip_prefix(module)
        .unwrap()
        .trim_start_matches('/')
        .to_string();
    seen.lock()
        .unwrap()
        .asked
        .push((tokio::time::Instant::now(), path.clone()));
    let seed = 77_i32;
    writer.write_all(&seed.to_le_bytes()).await?;
    match behavior {
        ServerBehavior::Silent => return std::future::pending().await,
        ServerBehavior::Oversize => {
            writer
                .write_all(&(7u32 << 24 | 0xff_ffff).to_le_bytes())
                .await?
        }
        ServerBehavior::Garbage => writer.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?,
        _ => {}
    }
    assert_eq!(reader.read_i32_le().await?, 0, "no exclusions");
    // The files below the path, or the one file that it names.
    let list: Vec<(String, &Vec<u8>)> = files
        .iter()
        .filter_map(|(name, data)| {
            if *name == path {
                return Some((name.rsplit('/').next().unwrap().to_string(), data));
            }
            let is_folder = path.is_empty() || path.ends_with('/');
            name.strip_prefix(path.as_str())
                .filter(|_| is_folder)
                .map(|n| (n.to_string(), data))
        })
        .collect();
    let mut out = Vec::new();
    for (name, data) in &list {
        out.push(0x40); // long name, all fields present
        out.extend((name.len() as i32).to_le_bytes());
        out.extend(name.as_bytes());
        out.extend((data.len() as i32).to_le_bytes());
        out.extend(1_700_000_000_i32.to_le_bytes());
        out.extend(0o100_644_i32.to_le_bytes());
    }
    out.push(0);
    out.extend(0_i32.to_le_bytes());
    writer.write_all(&frame(&out)).await?;
    let mut phases = 0;
    while phases < 2 {
        let index = reader.read_i32_le().await?;
        if index == -1 {
            phases += 1;
            writer.write_all(&frame(&(-1_i32).to_le_bytes())).await?;
            continue;
        }
        let mut header = [0; 16];
        reader.read_exact(&mut header).await?;
        let data = list[index as usize].1;
        writer
            .write_all(&frame(&[&index.to_le_bytes()[..], &header].concat()))
            .await?;
        let mut checksum = Md4::new();
        checksum.update(seed.to_le_bytes());
        let mut sent_bytes = 0;
        for chunk in data.chunks(CHUNK_BYTES) {
            if sent_bytes * 2 >= data.len() {
                if behavior == ServerBehavior::Breaks {
                    return Ok(());
                }
                let _ = hold_receiver.wait_for(|h| !h).await;
            }
            checksum.update(chunk);
            seen.lock()
                .unwrap()
                .sent
                .push((tokio::time::Instant::now(), chunk.len() as u64));
            writer
                .write_all(&frame(
                    &[&(chunk.len() as i32).to_le_bytes()[..], chunk].concat(),
                ))
                .await?;
            sent_bytes += chunk.len();
        }
        let mut checksum: [u8; 16] = checksum.finalize().into();
        if behavior == ServerBehavior::WrongSum {
            checksum[0] ^= 1;
        }
        writer
            .write_all(&frame(&[&0_i32.to_le_bytes()[..], &checksum].concat()))
            .await?;
    }
    writer
        .write_all(&frame(&[1_i32, 2, 3].map(i32::to_le_bytes).concat()))
        .await?;
    reader.read_i32_le().await.map(drop)
}

/// What a client received.
#[derive(Default)]
pub struct Received {
    /// Complete files with a matching checksum.
    pub complete_files: Files,
    /// Error messages of the daemon.
    pub errors: Vec<String>,
    /// The names in the file list.
    pub listed: Vec<String>,
    /// Arrival time and size of each file chunk.
    pub chunks: Vec<(tokio::time::Instant, u64)>,
    /// Whether the session ended as the protocol requires.
    pub complete: bool,
}

impl std::fmt::Debug for Received {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let complete_files: Vec<_> = self
            .complete_files
            .iter()
            .map(|(name, data)| (name, data.len()))
            .collect();
        write!(
            f,
            "complete_files {complete_files:?}, errors {:?}, complete {}",
            self.errors, self.complete
        )
    }
}

pub struct RsyncClient {
    reader: BufReader<TcpStream>,
    demuxed: Vec<u8>,
    pub received: Received,
    seed: i32,
    sizes: Vec<u64>,
}

impl RsyncClient {
    /// Connects and requests a path with these options. The error is the daemon's last line.
    pub async fn open(daemon: SocketAddr, path: &str, options: &str) -> Result<Self, String> {
        let stream = TcpStream::connect(daemon)
            .await
            .map_err(|e| e.to_string())?;
        let reader = BufReader::with_capacity(4096, stream);
        let mut client = RsyncClient {
            reader,
            demuxed: Vec::new(),
            received: Received::default(),
            seed: 0,
            sizes: Vec::new(),
        };
        assert_eq!(client.line().await, "@RSYNCD: 27");
        let module = path.split('/').next().unwrap();
        client
            .write(format!("@RSYNCD: 27\n{module}\n").as_bytes())
            .await;
        let line = client.line().await;
        if line != "@RSYNCD: OK" {
            return Err(line);
        }
        client
            .write(format!("--server\n--sender\n{options}\n.\n{path}\n\n").as_bytes())
            .await;
        client.seed = client
            .reader
            .read_i32_le()
            .await
            .map_err(|e| e.to_string())?;
        client.write(&0_i32.to_le_bytes()).await;
        Ok(client)
    }

    /// Connects and pulls all listed files.
    pub async fn pull(daemon: SocketAddr, path: &str) -> Received {
        match Self::open(daemon, path, "-vlogDtpre.iLsfxCIvu").await {
            Ok(mut client) => {
                client.run().await;
                client.received
            }
            Err(line) => Received {
                errors: vec![line],
                ..Received::default()
            },
        }
    }

    pub async fn run(&mut self) {
        if self.read_list().await.is_some() {
            self.received.complete = self.pull_files().await.is_some();
        }
    }

    async fn line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.reader.read_line(&mut line).await;
        line.trim_end().to_string()
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        let _ = self.reader.get_mut().write_all(bytes).await;
    }

    pub async fn take(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.demuxed.len() < n {
            let header = self.reader.read_u32_le().await.ok()?;
            let mut data = vec![0; (header & 0xff_ffff) as usize];
            self.reader.read_exact(&mut data).await.ok()?;
            match header >> 24 {
                7 => self.demuxed.extend(data),
                _ => self
                    .received
                    .errors
                    .push(String::from_utf8_lossy(&data).trim_end().to_string()),
            }
        }
        Some(self.demuxed.drain(..n).collect())
    }

    async fn read_i32(&mut self) -> Option<i32> {
        Some(i32::from_le_bytes(self.take(4).await?.try_into().unwrap()))
    }

    pub async fn read_list(&mut self) -> Option<()> {
        let mut name = Vec::new();
        loop {
            let flags = self.take(1).await?[0];
            if flags == 0 {
                break;
            }
            let shared_prefix = if flags & 0x20 != 0 {
                self.take(1).await?[0] as usize
            } else {
                0
            };
            let suffix_length = match flags & 0x40 != 0 {
                true => self.read_i32().await? as usize,
                false => self.take(1).await?[0] as usize,
            };
            name.truncate(shared_prefix);
            name.extend(self.take(suffix_length).await?);
            let size = self.read_i32().await? as u64;
            self.sizes.push(size);
            if flags & 0x80 == 0 {
                self.read_i32().await?;
            }
            if flags & 0x02 == 0 {
                self.read_i32().await?;
            }
            self.received
                .listed
                .push(String::from_utf8(name.clone()).unwrap());
        }
        // Owners, groups, and the I/O error flag.
        for _ in 0..3 {
            assert_eq!(self.read_i32().await?, 0);
        }
        Some(())
    }

    /// Requests all files at once, as the generator of a real client does, then reads them.
    async fn pull_files(&mut self) -> Option<()> {
        for i in 0..self.received.listed.len() {
            self.request_file(i as i32).await;
        }
        self.write(&(-1_i32).to_le_bytes()).await;
        while let Some((name, data)) = self.next_file().await? {
            self.received.complete_files.insert(name, data);
        }
        self.write(&(-1_i32).to_le_bytes()).await;
        assert_eq!(self.read_i32().await?, -1);
        self.take(12).await?;
        self.write(&(-1_i32).to_le_bytes()).await;
        Some(())
    }

    pub async fn request_file(&mut self, index: i32) {
        self.write(&[index, 0, 700, 2, 0].map(i32::to_le_bytes).concat())
            .await;
    }

    /// The next file, or `Some(None)` at the end of the phase.
    pub async fn next_file(&mut self) -> Option<Option<(String, Vec<u8>)>> {
        let index = self.read_i32().await?;
        if index == -1 {
            return Some(None);
        }
        assert_eq!(
            self.take(16).await?,
            [0, 700, 2, 0].map(i32::to_le_bytes).concat()
        );
        let mut data = Vec::new();
        loop {
            match self.read_i32().await? {
                0 => break,
                n => {
                    data.extend(self.take(n as usize).await?);
                    self.received
                        .chunks
                        .push((tokio::time::Instant::now(), n as u64));
                }
            }
        }
        let mut checksum = Md4::new();
        checksum.update(self.seed.to_le_bytes());
        checksum.update(&data);
        let server_checksum = self.take(16).await?;
        assert_eq!(
            server_checksum,
            checksum.finalize().to_vec(),
            "checksum of the file"
        );
        assert_eq!(data.len() as u64, self.sizes[index as usize]);
        Some(Some((self.received.listed[index as usize].clone(), data)))
    }
}

/// File content of this size whose bytes vary with their offset.
pub fn content(size: usize, salt: u8) -> Vec<u8> {
    (0..size)
        .map(|i| (i / 251) as u8 ^ (i as u8).wrapping_mul(31) ^ salt)
        .collect()
}

/// Polls a condition until it holds. The bound of 20 s only ends a test that would otherwise hang.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition did not hold within 20 s");
}
