//! The frame of a datagram: a header, a payload and a digest, at most 256 bytes together. Integers are little-endian.
//!
//! The header of 30 bytes has the protocol that the payload belongs to, the sender, the datagram's sequence number within the
//! sender's process incarnation, and the process incarnations of both ends. The digest covers all bytes before it. It is keyed if
//! the operators configure a key.
//!
//! ```
//! use lupinrack_peer_transport::frame::{max_payload_bytes, open, seal, Header, Keys, Tag};
//!
//! let keys = Keys { sign: Some([7; 32]), also_accepted: None };
//! let header = Header {
//!     tag: Tag::OVERLOAD,
//!     roster_hash: 1,
//!     from: 0,
//!     sequence: 1,
//!     process_incarnation: 9,
//!     to_process_incarnation: 4,
//! };
//! let bytes = seal(&header, b"a payload", &keys);
//! assert_eq!(open(&bytes, 3, &keys).unwrap(), (header, &b"a payload"[..]));
//! assert!(open(&bytes, 3, &Keys::default()).is_err(), "another key");
//! assert_eq!(max_payload_bytes(&keys), 256 - 30 - 16);
//! ```

/// The size of the largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The size of the header.
pub const HEADER_BYTES: usize = 30;
const MAGIC: [u8; 2] = [0x6c, 0x03];
const KEYED_DIGEST_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;

/// The protocol that a payload belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u8);

impl Tag {
    /// The membership: failure detection, views and leases.
    pub const MEMBERSHIP: Tag = Tag(0);
    /// Segments and acknowledgements of the streams of all protocols.
    pub const STREAM: Tag = Tag(1);
    /// Overload control across the fleet.
    pub const OVERLOAD: Tag = Tag(2);
    /// Rule versions.
    pub const REGISTRY: Tag = Tag(3);
    /// Keys known to be missing.
    pub const MISSING: Tag = Tag(4);
    /// All tags, by descending priority.
    pub const ALL: [Tag; 5] = [
        Tag::MEMBERSHIP,
        Tag::REGISTRY,
        Tag::OVERLOAD,
        Tag::MISSING,
        Tag::STREAM,
    ];
}

/// A key, 32 bytes.
pub type Key = [u8; 32];

/// The keys of the digest. Without a key the digest is a checksum, which detects damage but authenticates nobody.
#[derive(Clone, Default)]
pub struct Keys {
    /// The key for datagrams that are sent; datagrams under it are accepted.
    pub sign: Option<Key>,
    /// A second key that is accepted, for the time of a key rotation.
    pub also_accepted: Option<Key>,
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The protocol of the payload.
    pub tag: Tag,
    /// A hash of the roster's names and terms.
    pub roster_hash: u32,
    /// The sender.
    pub from: u16,
    /// The datagram's position among those of this process incarnation of the sender.
    pub sequence: u32,
    /// The sender's process incarnation.
    pub process_incarnation: u64,
    /// The receiver's process incarnation as the sender knows it; 0 if unknown.
    pub to_process_incarnation: u64,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Its size is outside the limits, or it does not begin with the magic bytes.
    #[error("malformed datagram")]
    Malformed,
    /// Its digest is not valid under any accepted key.
    #[error("datagram digest does not match")]
    DigestMismatch,
    /// A field has a value that is not allowed.
    #[error("datagram has an invalid field")]
    InvalidContent,
}

fn digest(key: &Option<Key>, bytes: &[u8]) -> Vec<u8> {
    match key {
        Some(key) => blake3::keyed_hash(key, bytes).as_bytes()[..KEYED_DIGEST_BYTES].to_vec(),
        None => crc32fast::hash(bytes).to_le_bytes().to_vec(),
    }
}

fn digest_bytes(keys: &Keys) -> usize {
    if keys.sign.is_some() {
        KEYED_DIGEST_BYTES
    } else {
        CHECKSUM_BYTES
    }
}

/// The size of the largest payload of one datagram.
pub fn max_payload_bytes(keys: &Keys) -> usize {
    MAX_DATAGRAM_BYTES - HEADER_BYTES - digest_bytes(keys)
}

/// Encodes and authenticates a datagram. A payload above [`max_payload_bytes`] is a bug of the caller and is truncated.
pub fn seal(header: &Header, payload: &[u8], keys: &Keys) -> Vec<u8> {
    let mut writer = Writer(Vec::with_capacity(MAX_DATAGRAM_BYTES));
    writer.put(MAGIC);
    writer.put([header.tag.0, 0]);
    writer.put(header.roster_hash.to_le_bytes());
    writer.put(header.from.to_le_bytes());
    writer.put(header.sequence.to_le_bytes());
    writer.put(header.process_incarnation.to_le_bytes());
    writer.put(header.to_process_incarnation.to_le_bytes());
    writer
        .0
        .extend_from_slice(&payload[..payload.len().min(max_payload_bytes(keys))]);
    let digest = digest(&keys.sign, &writer.0);
    writer.0.extend(digest);
    writer.0
}

/// Authenticates and decodes a datagram for a roster of `front_count` fronts; returns its header and payload.
pub fn open<'a>(
    bytes: &'a [u8],
    front_count: usize,
    keys: &Keys,
) -> Result<(Header, &'a [u8]), FrameError> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEADER_BYTES || bytes[..2] != MAGIC {
        return Err(FrameError::Malformed);
    }
    let (signed, received_digest) = bytes
        .split_at_checked(bytes.len() - digest_bytes(keys))
        .ok_or(FrameError::Malformed)?;
    let matches = |key: &Option<Key>| digest(key, signed) == received_digest;
    if !(matches(&keys.sign) || keys.also_accepted.is_some() && matches(&keys.also_accepted)) {
        return Err(FrameError::DigestMismatch);
    }
    let mut reader = Reader(&signed[2..]);
    let mut header = || -> Option<Header> {
        let (tag, zero) = (Tag(reader.u8()?), reader.u8()?);
        let (roster_hash, from, sequence) = (reader.u32()?, reader.u16()?, reader.u32()?);
        let (process_incarnation, to_process_incarnation) = (reader.u64()?, reader.u64()?);
        let valid = usize::from(from) < front_count && zero == 0 && process_incarnation != 0;
        valid.then_some(Header {
            tag,
            roster_hash,
            from,
            sequence,
            process_incarnation,
            to_process_incarnation,
        })
    };
    let header = header().ok_or(FrameError::InvalidContent)?;
    Ok((header, reader.0))
}

/// Encodes fields one after another.
#[derive(Default)]
pub struct Writer(pub Vec<u8>);

impl Writer {
    /// Appends bytes.
    pub fn put<const N: usize>(&mut self, bytes: [u8; N]) {
        self.0.extend(bytes);
    }
}

/// Decodes fields one after another. A field beyond the end is `None`.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    /// The next `count` bytes.
    pub fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    /// The next bytes as an array.
    pub fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    /// One byte.
    pub fn u8(&mut self) -> Option<u8> {
        self.array::<1>().map(|b| b[0])
    }

    /// Two bytes.
    pub fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    /// Four bytes.
    pub fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    /// Eight bytes.
    pub fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }
}

/// A replay window over the sequence numbers of one process incarnation of a sender. It rejects duplicates, and datagrams that
/// are 64 or more behind the newest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u32,
    /// Bit `i` is set if the number `newest - i` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Whether a sequence number is accepted; if so, it is recorded.
    pub fn accept(&mut self, sequence: u32) -> bool {
        if sequence > self.newest {
            let advance = sequence - self.newest;
            self.accepted = if advance >= 64 {
                0
            } else {
                self.accepted << advance
            };
            self.newest = sequence;
        }
        let behind = self.newest - sequence;
        let new = behind < 64 && self.accepted >> behind & 1 == 0;
        self.accepted |= if behind < 64 { 1 << behind } else { 0 };
        new
    }
}
