//! A stand-in rsync server and client for protocol 27, written apart from the front's own code so that one
//! mistake does not hide in both.

use md4::{Digest, Md4};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How a server misbehaves, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Server {
    Sound,
    /// Says nothing once it has the arguments.
    Silent,
    /// Has as many connections as it may.
    Full,
    /// Breaks off a file after its first half.
    Breaks,
    /// Sends a frame longer than allowed in place of the list.
    Oversize,
    /// Sends bytes that are no frame in place of the list.
    Garbage,
    /// Ends each file with a wrong sum.
    WrongSum,
}

/// What a server saw: when (on the test's clock) how many bytes of files went out, and the paths asked for.
#[derive(Default)]
pub struct Seen {
    pub sent: Vec<(tokio::time::Instant, u64)>,
    pub asked: Vec<(tokio::time::Instant, String)>,
}

pub struct RsyncServer {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
    /// While true, a file stops halfway.
    pub hold: watch::Sender<bool>,
}

pub type Files = BTreeMap<String, Vec<u8>>;

const PART: usize = 8 << 10;

pub async fn server(files: Files, kind: Server) -> RsyncServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (hold, held) = watch::channel(false);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (files, its) = (Arc::new(files), seen.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (files, seen, held) = (files.clone(), its.clone(), held.clone());
            tokio::spawn(async move {
                let _ = one(stream, &files, kind, &seen, held).await;
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
    for part in data.chunks(60_000) {
        out.extend((7u32 << 24 | part.len() as u32).to_le_bytes());
        out.extend(part);
    }
    out
}

async fn one(
    stream: TcpStream,
    files: &Files,
    kind: Server,
    seen: &Mutex<Seen>,
    mut held: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    to.write_all(b"@RSYNCD: 27\n").await?;
    let (mut hello, mut module) = (String::new(), String::new());
    from.read_line(&mut hello).await?;
    from.read_line(&mut module).await?;
    if kind == Server::Full {
        return to
            .write_all(b"@ERROR: max connections (1) reached -- try again later\n")
            .await;
    }
    to.write_all(b"@RSYNCD: OK\n").await?;
    let mut arguments = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).await?;
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
    to.write_all(&seed.to_le_bytes()).await?;
    match kind {
        Server::Silent => return std::future::pending().await,
        Server::Oversize => {
            to.write_all(&(7u32 << 24 | 0xff_ffff).to_le_bytes())
                .await?
        }
        Server::Garbage => to.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?,
        _ => {}
    }
    assert_eq!(from.read_i32_le().await?, 0, "no exclusions");
    // What lies below the path, or the one file that it names.
    let list: Vec<(String, &Vec<u8>)> = files
        .iter()
        .filter_map(|(name, data)| {
            if *name == path {
                return Some((name.rsplit('/').next().unwrap().to_string(), data));
            }
            let below = path.is_empty() || path.ends_with('/');
            name.strip_prefix(path.as_str())
                .filter(|_| below)
                .map(|n| (n.to_string(), data))
        })
        .collect();
    let mut out = Vec::new();
    for (name, data) in &list {
        out.push(0x40); // the long form of a name, all fields given
        out.extend((name.len() as i32).to_le_bytes());
        out.extend(name.as_bytes());
        out.extend((data.len() as i32).to_le_bytes());
        out.extend(1_700_000_000_i32.to_le_bytes());
        out.extend(0o100_644_i32.to_le_bytes());
    }
    out.push(0);
    out.extend(0_i32.to_le_bytes());
    to.write_all(&frame(&out)).await?;
    let mut phases = 0;
    while phases < 2 {
        let index = from.read_i32_le().await?;
        if index == -1 {
            phases += 1;
            to.write_all(&frame(&(-1_i32).to_le_bytes())).await?;
            continue;
        }
        let mut head = [0; 16];
        from.read_exact(&mut head).await?;
        let data = list[index as usize].1;
        to.write_all(&frame(&[&index.to_le_bytes()[..], &head].concat()))
            .await?;
        let mut sum = Md4::new();
        sum.update(seed.to_le_bytes());
        let mut moved = 0;
        for part in data.chunks(PART) {
            if moved * 2 >= data.len() {
                if kind == Server::Breaks {
                    return Ok(());
                }
                let _ = held.wait_for(|h| !h).await;
            }
            sum.update(part);
            seen.lock()
                .unwrap()
                .sent
                .push((tokio::time::Instant::now(), part.len() as u64));
            to.write_all(&frame(
                &[&(part.len() as i32).to_le_bytes()[..], part].concat(),
            ))
            .await?;
            moved += part.len();
        }
        let mut sum: [u8; 16] = sum.finalize().into();
        if kind == Server::WrongSum {
            sum[0] ^= 1;
        }
        to.write_all(&frame(&[&0_i32.to_le_bytes()[..], &sum].concat()))
            .await?;
    }
    to.write_all(&frame(&[1_i32, 2, 3].map(i32::to_le_bytes).concat()))
        .await?;
    from.read_i32_le().await.map(drop)
}

/// What a client got.
#[derive(Default)]
pub struct Got {
    /// Files that came whole, their sums checked.
    pub whole: Files,
    /// What the daemon said beside the data.
    pub errors: Vec<String>,
    /// The names listed.
    pub listed: Vec<String>,
    /// When the parts of files came, and their sizes.
    pub parts: Vec<(tokio::time::Instant, u64)>,
    /// The session went to its proper end.
    pub complete: bool,
}

impl std::fmt::Debug for Got {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let whole: Vec<_> = self.whole.iter().map(|(n, d)| (n, d.len())).collect();
        write!(
            f,
            "whole {whole:?}, errors {:?}, complete {}",
            self.errors, self.complete
        )
    }
}

pub struct RsyncClient {
    from: BufReader<TcpStream>,
    plain: Vec<u8>,
    pub got: Got,
    seed: i32,
    sizes: Vec<u64>,
}

impl RsyncClient {
    /// Connects and asks for a path with these options; the error is the daemon's last line.
    pub async fn open(daemon: SocketAddr, path: &str, options: &str) -> Result<Self, String> {
        let stream = TcpStream::connect(daemon)
            .await
            .map_err(|e| e.to_string())?;
        let from = BufReader::with_capacity(4096, stream);
        let mut c = RsyncClient {
            from,
            plain: Vec::new(),
            got: Got::default(),
            seed: 0,
            sizes: Vec::new(),
        };
        assert_eq!(c.line().await, "@RSYNCD: 27");
        let module = path.split('/').next().unwrap();
        c.write(format!("@RSYNCD: 27\n{module}\n").as_bytes()).await;
        let line = c.line().await;
        if line != "@RSYNCD: OK" {
            return Err(line);
        }
        c.write(format!("--server\n--sender\n{options}\n.\n{path}\n\n").as_bytes())
            .await;
        c.seed = c.from.read_i32_le().await.map_err(|e| e.to_string())?;
        c.write(&0_i32.to_le_bytes()).await;
        Ok(c)
    }

    /// Connects, and pulls all that is listed.
    pub async fn pull(daemon: SocketAddr, path: &str) -> Got {
        match Self::open(daemon, path, "-vlogDtpre.iLsfxCIvu").await {
            Ok(mut c) => {
                c.run().await;
                c.got
            }
            Err(line) => Got {
                errors: vec![line],
                ..Got::default()
            },
        }
    }

    pub async fn run(&mut self) {
        if self.list().await.is_some() {
            self.got.complete = self.files().await.is_some();
        }
    }

    async fn line(&mut self) -> String {
        let mut line = String::new();
        let _ = self.from.read_line(&mut line).await;
        line.trim_end().to_string()
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        let _ = self.from.get_mut().write_all(bytes).await;
    }

    pub async fn take(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.plain.len() < n {
            let head = self.from.read_u32_le().await.ok()?;
            let mut data = vec![0; (head & 0xff_ffff) as usize];
            self.from.read_exact(&mut data).await.ok()?;
            match head >> 24 {
                7 => self.plain.extend(data),
                _ => self
                    .got
                    .errors
                    .push(String::from_utf8_lossy(&data).trim_end().to_string()),
            }
        }
        Some(self.plain.drain(..n).collect())
    }

    async fn int(&mut self) -> Option<i32> {
        Some(i32::from_le_bytes(self.take(4).await?.try_into().unwrap()))
    }

    pub async fn list(&mut self) -> Option<()> {
        let mut name = Vec::new();
        loop {
            let flags = self.take(1).await?[0];
            if flags == 0 {
                break;
            }
            let kept = if flags & 0x20 != 0 {
                self.take(1).await?[0] as usize
            } else {
                0
            };
            let more = match flags & 0x40 != 0 {
                true => self.int().await? as usize,
                false => self.take(1).await?[0] as usize,
            };
            name.truncate(kept);
            name.extend(self.take(more).await?);
            let size = self.int().await? as u64;
            self.sizes.push(size);
            if flags & 0x80 == 0 {
                self.int().await?;
            }
            if flags & 0x02 == 0 {
                self.int().await?;
            }
            self.got
                .listed
                .push(String::from_utf8(name.clone()).unwrap());
        }
        // Owners, groups, and the mark of errors.
        for _ in 0..3 {
            assert_eq!(self.int().await?, 0);
        }
        Some(())
    }

    /// Asks for all files at once, as a real client's generator does, then takes what comes.
    async fn files(&mut self) -> Option<()> {
        for i in 0..self.got.listed.len() {
            self.ask(i as i32).await;
        }
        self.write(&(-1_i32).to_le_bytes()).await;
        while let Some((name, data)) = self.file().await? {
            self.got.whole.insert(name, data);
        }
        self.write(&(-1_i32).to_le_bytes()).await;
        assert_eq!(self.int().await?, -1);
        self.take(12).await?;
        self.write(&(-1_i32).to_le_bytes()).await;
        Some(())
    }

    pub async fn ask(&mut self, index: i32) {
        self.write(&[index, 0, 700, 2, 0].map(i32::to_le_bytes).concat())
            .await;
    }

    /// The next file, or none at the end of the phase.
    pub async fn file(&mut self) -> Option<Option<(String, Vec<u8>)>> {
        let index = self.int().await?;
        if index == -1 {
            return Some(None);
        }
        assert_eq!(
            self.take(16).await?,
            [0, 700, 2, 0].map(i32::to_le_bytes).concat()
        );
        let mut data = Vec::new();
        loop {
            match self.int().await? {
                0 => break,
                n => {
                    data.extend(self.take(n as usize).await?);
                    self.got.parts.push((tokio::time::Instant::now(), n as u64));
                }
            }
        }
        let mut sum = Md4::new();
        sum.update(self.seed.to_le_bytes());
        sum.update(&data);
        let theirs = self.take(16).await?;
        assert_eq!(theirs, sum.finalize().to_vec(), "the file's sum");
        assert_eq!(data.len() as u64, self.sizes[index as usize]);
        Some(Some((self.got.listed[index as usize].clone(), data)))
    }
}

/// A file of this size whose bytes differ from place to place.
pub fn content(size: usize, salt: u8) -> Vec<u8> {
    (0..size)
        .map(|i| (i / 251) as u8 ^ (i as u8).wrapping_mul(31) ^ salt)
        .collect()
}

/// Waits for something to come true; the bound only ends a test that would never end.
pub async fn until(mut what: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if what() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("it never came true");
}
