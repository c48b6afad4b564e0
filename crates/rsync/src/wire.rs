//! The bytes of the rsync daemon protocol, version 27, as far as this front speaks it: lines, 32-bit
//! little-endian integers, multiplexed frames, the file list, block sums and literal tokens.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use md4::{Digest, Md4};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The protocol version spoken, to clients and to servers.
pub const VERSION: u32 = 27;
/// The longest line of a handshake.
const LINE_MOST: usize = 1024;
/// The longest multiplexed frame taken; senders write far smaller ones.
pub const FRAME_MOST: usize = 256 << 10;
/// The longest message (an error or a remark) taken in a frame.
const SAID_MOST: usize = 4096;
/// The most literal bytes in one token.
pub const TOKEN_MOST: usize = 128 << 10;
/// The longest path.
pub const PATH_MOST: usize = 4096;
/// The most entries of one file list, and the most bytes of names in it.
const ENTRIES_MOST: usize = 50_000;
const NAMES_MOST: usize = 4 << 20;
/// The most bytes of block sums that a client may send for one file.
const SUMS_MOST: u64 = 16 << 20;
/// Base of the tags of multiplexed frames.
const MPLEX_BASE: u32 = 7;

/// Tag of file data.
pub const DATA: u8 = 0;
/// Tag of an error that leaves the transfer partial.
pub const ERROR_XFER: u8 = 1;

const TOP_DIR: u8 = 0x01;
const SAME_MODE: u8 = 0x02;
const SAME_UID: u8 = 0x08;
const SAME_GID: u8 = 0x10;
const SAME_NAME: u8 = 0x20;
const LONG_NAME: u8 = 0x40;
const SAME_TIME: u8 = 0x80;

/// Why the other side cannot be understood any further.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection broke.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// It ended in the middle.
    #[error("connection ended early")]
    Closed,
    /// What came is not the protocol.
    #[error("not the protocol: {0}")]
    Garbage(&'static str),
    /// What came is longer than allowed.
    #[error("too long: {0}")]
    Oversize(&'static str),
}

/// The reading end of a connection. All of its waits may be dropped and taken up again: what has come stays.
pub struct Reader<R> {
    io: R,
    raw: BytesMut,
    plain: BytesMut,
    muxed: bool,
    left: usize,
    /// Bytes read so far.
    pub read: u64,
    /// What the other side said beside the data.
    pub said: Vec<String>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Reads plainly, until [`Reader::demultiplex`].
    pub fn new(io: R) -> Self {
        let (raw, plain) = (BytesMut::new(), BytesMut::new());
        Reader {
            io,
            raw,
            plain,
            muxed: false,
            left: 0,
            read: 0,
            said: Vec::new(),
        }
    }

    /// From here on all comes in multiplexed frames.
    pub fn demultiplex(&mut self) {
        self.muxed = true;
        self.raw = std::mem::take(&mut self.plain);
    }

    /// Waits until `n` bytes of data are there.
    async fn need(&mut self, n: usize) -> Result<(), WireError> {
        loop {
            self.unwrap_frames(n)?;
            if self.plain.len() >= n {
                return Ok(());
            }
            let to = if self.muxed {
                &mut self.raw
            } else {
                &mut self.plain
            };
            match self.io.read_buf(to).await? {
                0 => return Err(WireError::Closed),
                n => self.read += n as u64,
            }
        }
    }

    /// Moves frames' content over, as much as is wanted now.
    fn unwrap_frames(&mut self, wanted: usize) -> Result<(), WireError> {
        while self.muxed && self.plain.len() < wanted && !self.raw.is_empty() {
            if self.left > 0 {
                let n = self.left.min(self.raw.len());
                self.plain.unsplit(self.raw.split_to(n));
                self.left -= n;
                continue;
            }
            let Some(head) = self.raw.first_chunk::<4>().map(|h| u32::from_le_bytes(*h)) else {
                return Ok(());
            };
            let (tag, length) = (head >> 24, (head & 0xff_ffff) as usize);
            let tag = tag
                .checked_sub(MPLEX_BASE)
                .ok_or(WireError::Garbage("frame tag"))?;
            if length > FRAME_MOST {
                return Err(WireError::Oversize("frame"));
            }
            match u8::try_from(tag) {
                Ok(DATA) => {
                    self.raw.advance(4);
                    self.left = length;
                }
                Ok(1..=4) if length > SAID_MOST => return Err(WireError::Oversize("message")),
                Ok(1..=4) if self.raw.len() < 4 + length => return Ok(()),
                Ok(1..=4) => {
                    self.raw.advance(4);
                    let text = self.raw.split_to(length);
                    if self.said.len() < 16 {
                        self.said
                            .push(String::from_utf8_lossy(&text).trim_end().to_string());
                    }
                }
                _ => return Err(WireError::Garbage("frame tag")),
            }
        }
        Ok(())
    }

    /// Reads ahead, up to `most` bytes, until the other side ends: returns then, and waits else.
    pub async fn ended(&mut self, most: usize) {
        loop {
            let to = if self.muxed {
                &mut self.raw
            } else {
                &mut self.plain
            };
            if to.len() >= most {
                return std::future::pending().await;
            }
            if !matches!(self.io.read_buf(to).await, Ok(n) if n > 0) {
                return;
            }
        }
    }

    /// Reads and forgets all that comes, until the other side ends.
    pub async fn discard(&mut self) {
        self.raw.clear();
        self.plain.clear();
        while matches!(self.io.read_buf(&mut self.raw).await, Ok(n) if n > 0) {
            self.raw.clear();
        }
    }

    /// A 32-bit integer.
    pub async fn int(&mut self) -> Result<i32, WireError> {
        self.need(4).await?;
        Ok(self.plain.get_i32_le())
    }

    async fn byte(&mut self) -> Result<u8, WireError> {
        self.need(1).await?;
        Ok(self.plain.get_u8())
    }

    /// This many bytes.
    pub async fn bytes(&mut self, n: usize) -> Result<Bytes, WireError> {
        self.need(n).await?;
        Ok(self.plain.split_to(n).freeze())
    }

    /// A length, then that many bytes; none where the length is zero.
    pub async fn counted(&mut self, most: usize) -> Result<Bytes, WireError> {
        let n = usize::try_from(self.int().await?)
            .map_err(|_| WireError::Garbage("negative length"))?;
        if n > most {
            return Err(WireError::Oversize("text"));
        }
        self.bytes(n).await
    }

    /// A line, without its end.
    pub async fn line(&mut self) -> Result<String, WireError> {
        let mut seen = 0;
        loop {
            if let Some(at) = self.plain[seen..].iter().position(|b| *b == b'\n') {
                let mut line = self.plain.split_to(seen + at + 1);
                line.truncate(seen + at);
                let line = line.strip_suffix(b"\r").unwrap_or(&line);
                return String::from_utf8(line.to_vec()).map_err(|_| WireError::Garbage("line"));
            }
            seen = self.plain.len();
            if seen > LINE_MOST {
                return Err(WireError::Oversize("line"));
            }
            self.need(seen + 1).await?;
        }
    }

    /// A size: 32 bits, or 64 behind a mark.
    async fn long(&mut self) -> Result<u64, WireError> {
        let short = self.int().await?;
        if short != -1 {
            return u64::try_from(short).map_err(|_| WireError::Garbage("negative size"));
        }
        self.need(8).await?;
        u64::try_from(self.plain.get_i64_le()).map_err(|_| WireError::Garbage("negative size"))
    }

    /// The three figures that end a transfer.
    pub async fn stats(&mut self) -> Result<[u64; 3], WireError> {
        Ok([self.long().await?, self.long().await?, self.long().await?])
    }

    /// The head of a file's block sums, and the sums themselves, which a whole-file sender has no use for.
    pub async fn sums(&mut self) -> Result<[i32; 4], WireError> {
        let head = [
            self.int().await?,
            self.int().await?,
            self.int().await?,
            self.int().await?,
        ];
        if head.iter().any(|n| *n < 0) || head[2] > 16 {
            return Err(WireError::Garbage("block sums"));
        }
        let mut left = head[0] as u64 * (4 + head[2] as u64);
        if left > SUMS_MOST {
            return Err(WireError::Oversize("block sums"));
        }
        while left > 0 {
            let n = left.min(32 << 10);
            self.bytes(n as usize).await?;
            left -= n;
        }
        Ok(head)
    }

    /// A file list to its end, sorted as both sides sort it.
    pub async fn list(&mut self) -> Result<Vec<Entry>, WireError> {
        let mut list: Vec<Entry> = Vec::new();
        let (mut last, mut names) = (Entry::default(), 0);
        loop {
            let flags = self.byte().await?;
            if flags == 0 {
                break;
            }
            let kept = if flags & SAME_NAME != 0 {
                usize::from(self.byte().await?)
            } else {
                0
            };
            let more = match flags & LONG_NAME != 0 {
                true => {
                    usize::try_from(self.int().await?).map_err(|_| WireError::Garbage("name"))?
                }
                false => usize::from(self.byte().await?),
            };
            if kept + more > PATH_MOST {
                return Err(WireError::Oversize("name"));
            }
            let mut name = last
                .name
                .get(..kept)
                .ok_or(WireError::Garbage("name"))?
                .to_vec();
            name.extend_from_slice(&self.bytes(more).await?);
            names += name.len();
            if list.len() >= ENTRIES_MOST || names > NAMES_MOST {
                return Err(WireError::Oversize("file list"));
            }
            if !inside(&name) {
                return Err(WireError::Garbage("a name that leads out of the module"));
            }
            let size = self.long().await?;
            let mtime = if flags & SAME_TIME != 0 {
                last.mtime
            } else {
                self.int().await?
            };
            let mode = if flags & SAME_MODE != 0 {
                last.mode
            } else {
                self.int().await? as u32
            };
            last = Entry {
                name,
                size,
                mtime,
                mode,
            };
            // Only directories and whole files are pulled: the rest carries fields that were not asked for.
            if last.is_dir() || last.is_file() {
                list.push(last.clone());
            } else {
                return Err(WireError::Garbage("neither file nor directory"));
            }
        }
        // The sender's mark of errors while it made the list.
        self.int().await?;
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list.dedup_by(|a, b| a.name == b.name);
        Ok(list)
    }
}

/// Does a relative path stay below where it starts?
pub fn inside(path: &[u8]) -> bool {
    let plain = |part: &[u8]| {
        !part.is_empty() && part != b".." && !part.contains(&0) && !part.contains(&b'\n')
    };
    !path.is_empty() && path.split(|b| *b == b'/').all(plain)
}

/// An entry of a file list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Its path, relative to what was asked for.
    pub name: Vec<u8>,
    /// Its size.
    pub size: u64,
    /// When it was last changed, Unix time.
    pub mtime: i32,
    /// Kind and permissions.
    pub mode: u32,
}

impl Entry {
    /// A directory?
    pub fn is_dir(&self) -> bool {
        self.mode & 0o170_000 == 0o040_000
    }

    /// A regular file?
    pub fn is_file(&self) -> bool {
        self.mode & 0o170_000 == 0o100_000
    }
}

/// Writes a size: 32 bits where they do, else 64 behind a mark.
fn put_long(to: &mut BytesMut, n: u64) {
    match i32::try_from(n) {
        Ok(n) => to.put_i32_le(n),
        Err(_) => {
            to.put_i32_le(-1);
            to.put_u64_le(n);
        }
    }
}

/// A file list as it goes out. Owners are named as the same throughout, so no field for them follows.
pub fn list(entries: &[Entry]) -> BytesMut {
    let mut to = BytesMut::new();
    let mut last = Entry::default();
    for e in entries {
        let same = e
            .name
            .iter()
            .zip(&last.name)
            .take_while(|(a, b)| a == b)
            .count()
            .min(255);
        let more = &e.name[same..];
        let mut flags = SAME_UID | SAME_GID;
        for (set, bit) in [
            (e.mode == last.mode, SAME_MODE),
            (e.mtime == last.mtime, SAME_TIME),
            (same > 0, SAME_NAME),
            (more.len() > 255, LONG_NAME),
            (e.is_dir() && e.name == b".", TOP_DIR),
        ] {
            flags |= if set { bit } else { 0 };
        }
        to.put_u8(flags);
        if same > 0 {
            to.put_u8(same as u8);
        }
        match more.len() > 255 {
            true => to.put_i32_le(more.len() as i32),
            false => to.put_u8(more.len() as u8),
        }
        to.put_slice(more);
        put_long(&mut to, e.size);
        if e.mtime != last.mtime {
            to.put_i32_le(e.mtime);
        }
        if e.mode != last.mode {
            to.put_u32_le(e.mode);
        }
        last = e.clone();
    }
    to.put_u8(0);
    to
}

/// The figures that end a transfer: bytes read, written, and in the files.
pub fn stats(read: u64, written: u64, size: u64) -> BytesMut {
    let mut to = BytesMut::new();
    [read, written, size]
        .into_iter()
        .for_each(|n| put_long(&mut to, n));
    to
}

/// The running sum of a whole file, begun with the seed of its connection.
pub struct Sum(Md4);

impl Sum {
    /// A sum of nothing yet.
    pub fn new(seed: i32) -> Self {
        let mut sum = Sum(Md4::new());
        sum.add(&seed.to_le_bytes());
        sum
    }

    /// Adds a part of the file.
    pub fn add(&mut self, part: &[u8]) {
        self.0.update(part);
    }

    /// The sum.
    pub fn end(self) -> [u8; 16] {
        self.0.finalize().into()
    }
}

/// The writing end towards a client.
pub struct Writer<W> {
    io: W,
    muxed: bool,
    torn: bool,
    /// Bytes of data written.
    pub written: u64,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    /// Writes plainly, until [`Writer::multiplex`].
    pub fn new(io: W) -> Self {
        Writer {
            io,
            muxed: false,
            torn: false,
            written: 0,
        }
    }

    /// From here on all goes out in multiplexed frames.
    pub fn multiplex(&mut self) {
        self.muxed = true;
    }

    /// Writes data.
    pub async fn data(&mut self, data: &[u8]) -> Result<(), WireError> {
        self.written += data.len() as u64;
        if !self.muxed {
            return self.put(data).await;
        }
        for part in data.chunks(32 << 10) {
            self.frame(DATA, part).await?;
        }
        Ok(())
    }

    /// Writes an error: a line before multiplexing, a frame after.
    pub async fn error(&mut self, text: &str) -> Result<(), WireError> {
        let line = format!("@ERROR: {text}\n");
        match self.muxed {
            true => {
                self.frame(ERROR_XFER, &line.as_bytes()[..line.len().min(SAID_MOST)])
                    .await
            }
            false => self.put(line.as_bytes()).await,
        }
    }

    async fn frame(&mut self, tag: u8, part: &[u8]) -> Result<(), WireError> {
        let mut frame = BytesMut::with_capacity(4 + part.len());
        frame.put_u32_le((MPLEX_BASE + u32::from(tag)) << 24 | part.len() as u32);
        frame.put_slice(part);
        self.put(&frame).await
    }

    async fn put(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        // A write that was dropped halfway has torn a frame: whatever followed it would be read as its rest.
        if std::mem::replace(&mut self.torn, true) {
            return Err(WireError::Closed);
        }
        self.io.write_all(bytes).await?;
        self.torn = false;
        Ok(())
    }

    /// Ends the writing side.
    pub async fn close(&mut self) {
        let _ = self.io.shutdown().await;
    }
}
