//! Wire format of the rsync daemon protocol, version 27, in the subset that this front supports: lines, 32-bit
//! little-endian integers, multiplexed frames, the file list, block sums and literal tokens.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use md4::{Digest, Md4};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Protocol version in the greetings to clients and to servers.
pub const PROTOCOL_VERSION: u32 = 27;
/// Longest line of a handshake, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Longest multiplexed frame that is accepted, in bytes. Senders write far smaller ones.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Longest error or log message that is accepted in a frame, in bytes.
const MAX_MESSAGE_BYTES: usize = 4096;
/// Most literal bytes in one token.
pub const MAX_TOKEN_BYTES: usize = 128 << 10;
/// Longest path, in bytes.
pub const MAX_PATH_BYTES: usize = 4096;
/// Most entries in one file list.
const MAX_FILE_LIST_ENTRIES: usize = 50_000;
/// Most bytes of names in one file list.
const MAX_FILE_LIST_NAME_BYTES: usize = 4 << 20;
/// Most bytes of block sums that a client may send for one file.
const MAX_BLOCK_SUM_BYTES: u64 = 16 << 20;
/// Offset that the protocol adds to the tag of each multiplexed frame.
const MPLEX_BASE: u32 = 7;

/// Frame tag of file data.
pub const MSG_DATA: u8 = 0;
/// Frame tag of an error that leaves the transfer partial.
pub const MSG_ERROR_XFER: u8 = 1;

// Flags of an entry in the file list.
const XMIT_TOP_DIR: u8 = 0x01;
const XMIT_SAME_MODE: u8 = 0x02;
const XMIT_SAME_UID: u8 = 0x08;
const XMIT_SAME_GID: u8 = 0x10;
const XMIT_SAME_NAME: u8 = 0x20;
const XMIT_LONG_NAME: u8 = 0x40;
const XMIT_SAME_TIME: u8 = 0x80;

/// Why a connection cannot be read or written any further. The texts are sent to clients.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// I/O error on the connection.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed the connection in the middle of a message.
    #[error("connection ended early")]
    Closed,
    /// The input violates the protocol.
    #[error("not the protocol: {0}")]
    Malformed(&'static str),
    /// The input exceeds a limit.
    #[error("too long: {0}")]
    TooLong(&'static str),
}

/// Read half of a connection. A read may be cancelled: received bytes that it has not consumed stay buffered.
pub struct Reader<R> {
    io: R,
    /// Received bytes that are still multiplexed.
    raw: BytesMut,
    /// Demultiplexed bytes.
    data: BytesMut,
    multiplexed: bool,
    /// Bytes of the current data frame that are still in `raw` or not received yet.
    frame_remaining: usize,
    /// Bytes read from the connection so far.
    pub bytes_read: u64,
    /// Error and log messages from the peer, 16 at most.
    pub messages: Vec<String>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reader of unframed bytes, until [`Reader::demultiplex`].
    pub fn new(io: R) -> Self {
        let (raw, data) = (BytesMut::new(), BytesMut::new());
        Reader {
            io,
            raw,
            data,
            multiplexed: false,
            frame_remaining: 0,
            bytes_read: 0,
            messages: Vec::new(),
        }
    }

    /// From now on, all input arrives in multiplexed frames.
    pub fn demultiplex(&mut self) {
        self.multiplexed = true;
        self.raw = std::mem::take(&mut self.data);
    }

    /// Waits until `length` bytes of data are buffered.
    async fn fill(&mut self, length: usize) -> Result<(), WireError> {
        loop {
            self.demultiplex_buffered(length)?;
            if self.data.len() >= length {
                return Ok(());
            }
            let buffer = if self.multiplexed {
                &mut self.raw
            } else {
                &mut self.data
            };
            match self.io.read_buf(buffer).await? {
                0 => return Err(WireError::Closed),
                count => self.bytes_read += count as u64,
            }
        }
    }

    /// Moves payloads of received frames to `data` until it has `length` bytes.
    fn demultiplex_buffered(&mut self, length: usize) -> Result<(), WireError> {
        while self.multiplexed && self.data.len() < length && !self.raw.is_empty() {
            if self.frame_remaining > 0 {
                let part = self.frame_remaining.min(self.raw.len());
                self.data.unsplit(self.raw.split_to(part));
                self.frame_remaining -= part;
                continue;
            }
            let Some(header) = self
                .raw
                .first_chunk::<4>()
                .map(|bytes| u32::from_le_bytes(*bytes))
            else {
                return Ok(());
            };
            let (tag, payload_bytes) = (header >> 24, (header & 0xff_ffff) as usize);
            let tag = tag
                .checked_sub(MPLEX_BASE)
                .ok_or(WireError::Malformed("frame tag"))?;
            if payload_bytes > MAX_FRAME_BYTES {
                return Err(WireError::TooLong("frame"));
            }
            match u8::try_from(tag) {
                Ok(MSG_DATA) => {
                    self.raw.advance(4);
                    self.frame_remaining = payload_bytes;
                }
                Ok(1..=4) if payload_bytes > MAX_MESSAGE_BYTES => {
                    return Err(WireError::TooLong("message"))
                }
                Ok(1..=4) if self.raw.len() < 4 + payload_bytes => return Ok(()),
                Ok(1..=4) => {
                    self.raw.advance(4);
                    let text = self.raw.split_to(payload_bytes);
                    if self.messages.len() < 16 {
                        self.messages
                            .push(String::from_utf8_lossy(&text).trim_end().to_string());
                    }
                }
                _ => return Err(WireError::Malformed("frame tag")),
            }
        }
        Ok(())
    }

    /// Returns once the peer closes the connection. Buffers up to `max_buffered` bytes meanwhile; beyond that, never
    /// returns.
    pub async fn closed(&mut self, max_buffered: usize) {
        loop {
            let buffer = if self.multiplexed {
                &mut self.raw
            } else {
                &mut self.data
            };
            if buffer.len() >= max_buffered {
                return std::future::pending().await;
            }
            if !matches!(self.io.read_buf(buffer).await, Ok(count) if count > 0) {
                return;
            }
        }
    }

    /// Discards all input until the peer closes the connection.
    pub async fn discard(&mut self) {
        self.raw.clear();
        self.data.clear();
        while matches!(self.io.read_buf(&mut self.raw).await, Ok(count) if count > 0) {
            self.raw.clear();
        }
    }

    /// Reads a 32-bit integer.
    pub async fn read_int(&mut self) -> Result<i32, WireError> {
        self.fill(4).await?;
        Ok(self.data.get_i32_le())
    }

    async fn read_byte(&mut self) -> Result<u8, WireError> {
        self.fill(1).await?;
        Ok(self.data.get_u8())
    }

    /// Reads exactly `length` bytes.
    pub async fn read_bytes(&mut self, length: usize) -> Result<Bytes, WireError> {
        self.fill(length).await?;
        Ok(self.data.split_to(length).freeze())
    }

    /// Reads a 32-bit length and that many bytes, `max_length` at most.
    pub async fn read_length_prefixed(&mut self, max_length: usize) -> Result<Bytes, WireError> {
        let length = usize::try_from(self.read_int().await?)
            .map_err(|_| WireError::Malformed("negative length"))?;
        if length > max_length {
            return Err(WireError::TooLong("text"));
        }
        self.read_bytes(length).await
    }

    /// Reads a line and strips its line feed and carriage return.
    pub async fn read_line(&mut self) -> Result<String, WireError> {
        let mut searched = 0;
        loop {
            if let Some(offset) = self.data[searched..].iter().position(|byte| *byte == b'\n') {
                let mut line = self.data.split_to(searched + offset + 1);
                line.truncate(searched + offset);
                let line = line.strip_suffix(b"\r").unwrap_or(&line);
                return String::from_utf8(line.to_vec()).map_err(|_| WireError::Malformed("line"));
            }
            searched = self.data.len();
            if searched > MAX_LINE_BYTES {
                return Err(WireError::TooLong("line"));
            }
            self.fill(searched + 1).await?;
        }
    }

    /// Reads a size: 32 bits, or 64 bits after the marker -1.
    async fn read_long(&mut self) -> Result<u64, WireError> {
        let short = self.read_int().await?;
        if short != -1 {
            return u64::try_from(short).map_err(|_| WireError::Malformed("negative size"));
        }
        self.fill(8).await?;
        u64::try_from(self.data.get_i64_le()).map_err(|_| WireError::Malformed("negative size"))
    }

    /// Reads the statistics at the end of a session: bytes read, bytes written and total size of the files.
    pub async fn read_stats(&mut self) -> Result<[u64; 3], WireError> {
        Ok([
            self.read_long().await?,
            self.read_long().await?,
            self.read_long().await?,
        ])
    }

    /// Reads the header of the block sums of a file and skips the sums: this front always sends complete files.
    /// Returns the header: block count, block length, length of a strong sum, length of the last block.
    pub async fn read_block_sums(&mut self) -> Result<[i32; 4], WireError> {
        let header = [
            self.read_int().await?,
            self.read_int().await?,
            self.read_int().await?,
            self.read_int().await?,
        ];
        if header.iter().any(|value| *value < 0) || header[2] > 16 {
            return Err(WireError::Malformed("block sums"));
        }
        let mut remaining = header[0] as u64 * (4 + header[2] as u64);
        if remaining > MAX_BLOCK_SUM_BYTES {
            return Err(WireError::TooLong("block sums"));
        }
        while remaining > 0 {
            let part = remaining.min(32 << 10);
            self.read_bytes(part as usize).await?;
            remaining -= part;
        }
        Ok(header)
    }

    /// Reads a complete file list and sorts it, as both peers do: indices refer to the sorted list.
    pub async fn read_file_list(&mut self) -> Result<Vec<FileEntry>, WireError> {
        let mut list: Vec<FileEntry> = Vec::new();
        let (mut previous, mut name_bytes) = (FileEntry::default(), 0);
        loop {
            let flags = self.read_byte().await?;
            if flags == 0 {
                break;
            }
            let shared_bytes = if flags & XMIT_SAME_NAME != 0 {
                usize::from(self.read_byte().await?)
            } else {
                0
            };
            let suffix_bytes = match flags & XMIT_LONG_NAME != 0 {
                true => usize::try_from(self.read_int().await?)
                    .map_err(|_| WireError::Malformed("name"))?,
                false => usize::from(self.read_byte().await?),
            };
            if shared_bytes + suffix_bytes > MAX_PATH_BYTES {
                return Err(WireError::TooLong("name"));
            }
            let mut name = previous
                .name
                .get(..shared_bytes)
                .ok_or(WireError::Malformed("name"))?
                .to_vec();
            name.extend_from_slice(&self.read_bytes(suffix_bytes).await?);
            name_bytes += name.len();
            if list.len() >= MAX_FILE_LIST_ENTRIES || name_bytes > MAX_FILE_LIST_NAME_BYTES {
                return Err(WireError::TooLong("file list"));
            }
            if !is_inside_base(&name) {
                return Err(WireError::Malformed("a name that leads out of the module"));
            }
            let size = self.read_long().await?;
            let mtime = if flags & XMIT_SAME_TIME != 0 {
                previous.mtime
            } else {
                self.read_int().await?
            };
            let mode = if flags & XMIT_SAME_MODE != 0 {
                previous.mode
            } else {
                self.read_int().await? as u32
            };
            previous = FileEntry {
                name,
                size,
                mtime,
                mode,
            };
            // Only directories and regular files are requested. Other kinds carry more fields.
            if previous.is_dir() || previous.is_file() {
                list.push(previous.clone());
            } else {
                return Err(WireError::Malformed("neither file nor directory"));
            }
        }
        // The I/O error flags of the sender.
        self.read_int().await?;
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list.dedup_by(|a, b| a.name == b.name);
        Ok(list)
    }
}

/// Whether a relative path stays below its base directory.
pub fn is_inside_base(path: &[u8]) -> bool {
    let is_plain = |part: &[u8]| {
        !part.is_empty() && part != b".." && !part.contains(&0) && !part.contains(&b'\n')
    };
    !path.is_empty() && path.split(|byte| *byte == b'/').all(is_plain)
}

/// An entry of a file list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileEntry {
    /// Path, relative to the requested one.
    pub name: Vec<u8>,
    /// Size in bytes.
    pub size: u64,
    /// Modification time, in seconds since the Unix epoch.
    pub mtime: i32,
    /// File type and permissions.
    pub mode: u32,
}

impl FileEntry {
    /// Whether this is a directory.
    pub fn is_dir(&self) -> bool {
        self.mode & 0o170_000 == 0o040_000
    }

    /// Whether this is a regular file.
    pub fn is_file(&self) -> bool {
        self.mode & 0o170_000 == 0o100_000
    }
}

/// Writes a size: 32 bits if it fits, else 64 bits after the marker -1.
fn put_long(output: &mut BytesMut, value: u64) {
    match i32::try_from(value) {
        Ok(short) => output.put_i32_le(short),
        Err(_) => {
            output.put_i32_le(-1);
            output.put_u64_le(value);
        }
    }
}

/// Encodes a file list. Every entry is flagged as having the owner and group of the one before, so those fields are left
/// out.
pub fn encode_file_list(entries: &[FileEntry]) -> BytesMut {
    let mut output = BytesMut::new();
    let mut previous = FileEntry::default();
    for entry in entries {
        let shared_bytes = entry
            .name
            .iter()
            .zip(&previous.name)
            .take_while(|(a, b)| a == b)
            .count()
            .min(255);
        let suffix = &entry.name[shared_bytes..];
        let mut flags = XMIT_SAME_UID | XMIT_SAME_GID;
        for (applies, flag) in [
            (entry.mode == previous.mode, XMIT_SAME_MODE),
            (entry.mtime == previous.mtime, XMIT_SAME_TIME),
            (shared_bytes > 0, XMIT_SAME_NAME),
            (suffix.len() > 255, XMIT_LONG_NAME),
            (entry.is_dir() && entry.name == b".", XMIT_TOP_DIR),
        ] {
            flags |= if applies { flag } else { 0 };
        }
        output.put_u8(flags);
        if shared_bytes > 0 {
            output.put_u8(shared_bytes as u8);
        }
        match suffix.len() > 255 {
            true => output.put_i32_le(suffix.len() as i32),
            false => output.put_u8(suffix.len() as u8),
        }
        output.put_slice(suffix);
        put_long(&mut output, entry.size);
        if entry.mtime != previous.mtime {
            output.put_i32_le(entry.mtime);
        }
        if entry.mode != previous.mode {
            output.put_u32_le(entry.mode);
        }
        previous = entry.clone();
    }
    output.put_u8(0);
    output
}

/// Encodes the statistics at the end of a session: bytes read, bytes written and total size of the files.
pub fn encode_stats(bytes_read: u64, bytes_written: u64, total_size: u64) -> BytesMut {
    let mut output = BytesMut::new();
    [bytes_read, bytes_written, total_size]
        .into_iter()
        .for_each(|value| put_long(&mut output, value));
    output
}

/// MD4 checksum of a file, seeded with the checksum seed of the connection.
pub struct FileChecksum(Md4);

impl FileChecksum {
    /// The checksum of no bytes.
    pub fn new(checksum_seed: i32) -> Self {
        let mut checksum = FileChecksum(Md4::new());
        checksum.update(&checksum_seed.to_le_bytes());
        checksum
    }

    /// Adds the next bytes of the file.
    pub fn update(&mut self, part: &[u8]) {
        self.0.update(part);
    }

    /// Returns the digest.
    pub fn finalize(self) -> [u8; 16] {
        self.0.finalize().into()
    }
}

/// Write half of a connection.
pub struct Writer<W> {
    io: W,
    multiplexed: bool,
    /// Whether a write was cancelled halfway or failed.
    torn: bool,
    /// Bytes of data written, without frame headers.
    pub bytes_written: u64,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    /// A writer of unframed bytes, until [`Writer::multiplex`].
    pub fn new(io: W) -> Self {
        Writer {
            io,
            multiplexed: false,
            torn: false,
            bytes_written: 0,
        }
    }

    /// From now on, all output is written in multiplexed frames.
    pub fn multiplex(&mut self) {
        self.multiplexed = true;
    }

    /// Writes data: as it is before multiplexing, in frames afterwards.
    pub async fn write_data(&mut self, data: &[u8]) -> Result<(), WireError> {
        self.bytes_written += data.len() as u64;
        if !self.multiplexed {
            return self.write(data).await;
        }
        for part in data.chunks(32 << 10) {
            self.write_frame(MSG_DATA, part).await?;
        }
        Ok(())
    }

    /// Writes an error: a line before multiplexing, a frame afterwards.
    pub async fn write_error(&mut self, text: &str) -> Result<(), WireError> {
        let line = format!("@ERROR: {text}\n");
        match self.multiplexed {
            true => {
                self.write_frame(
                    MSG_ERROR_XFER,
                    &line.as_bytes()[..line.len().min(MAX_MESSAGE_BYTES)],
                )
                .await
            }
            false => self.write(line.as_bytes()).await,
        }
    }

    async fn write_frame(&mut self, tag: u8, payload: &[u8]) -> Result<(), WireError> {
        let mut frame = BytesMut::with_capacity(4 + payload.len());
        frame.put_u32_le((MPLEX_BASE + u32::from(tag)) << 24 | payload.len() as u32);
        frame.put_slice(payload);
        self.write(&frame).await
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        // After a write that was cancelled halfway, the peer would read further bytes as the rest of the torn frame.
        if std::mem::replace(&mut self.torn, true) {
            return Err(WireError::Closed);
        }
        self.io.write_all(bytes).await?;
        self.torn = false;
        Ok(())
    }

    /// Shuts down the write half.
    pub async fn close(&mut self) {
        let _ = self.io.shutdown().await;
    }
}
