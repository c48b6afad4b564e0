//! A datagram's head and sum: at most 256 bytes, little-endian. The head of 30 bytes names the machine that the rest is for, the
//! sender, its number among what this life of the sender sent, and both lives; the sum over all of it is keyed where the
//! operators set a key. Whatever a machine says comes between the two.
//!
//! ```
//! use lupinrack_peer_transport::frame::{open, room, seal, Head, Keys, Tag};
//!
//! let keys = Keys { sign: Some([7; 32]), also: None };
//! let head = Head { tag: Tag::OVERLOAD, roster: 1, from: 0, seq: 1, life: 9, to_life: 4 };
//! let bytes = seal(&head, b"what a machine says", &keys);
//! assert_eq!(open(&bytes, 3, &keys).unwrap(), (head, &b"what a machine says"[..]));
//! assert!(open(&bytes, 3, &Keys::default()).is_err(), "another key");
//! assert_eq!(room(&keys), 256 - 30 - 16);
//! ```

/// The longest datagram.
pub const LONGEST: usize = 256;
/// The head's length.
pub const HEAD: usize = 30;
const MAGIC: [u8; 2] = [0x6c, 0x03];
const KEYED: usize = 16;
const PLAIN: usize = 4;

/// Which machine a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u8);

impl Tag {
    /// Who is there, which view holds, what may be used.
    pub const MEMBERSHIP: Tag = Tag(0);
    /// Pieces of streams, for whichever machine.
    pub const STREAM: Tag = Tag(1);
    /// Overload handled as one.
    pub const OVERLOAD: Tag = Tag(2);
    /// Rule versions.
    pub const REGISTRY: Tag = Tag(3);
    /// Keys known to be missing.
    pub const MISSING: Tag = Tag(4);
    /// All there are, the most urgent first.
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

/// The sums in force. Without a key it is a checksum, which tells damage and nothing else.
#[derive(Clone, Default)]
pub struct Keys {
    /// The one that is signed with.
    pub sign: Option<Key>,
    /// Another that is valid too, while keys are changed.
    pub also: Option<Key>,
}

/// Who says something to whom, and for which machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The machine.
    pub tag: Tag,
    /// A hash of the roster's names and terms.
    pub roster: u32,
    /// The sender.
    pub from: u16,
    /// Its number among what this life of the sender sent.
    pub seq: u32,
    /// The sender's life.
    pub life: u64,
    /// The receiver's life as the sender knows it; 0: not known.
    pub to_life: u64,
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Void {
    /// Not of this form.
    #[error("not a datagram of this form")]
    Form,
    /// Its sum is not right under any key in force.
    #[error("its sum is wrong")]
    Sum,
    /// Its content contradicts its form.
    #[error("its content is spoilt")]
    Content,
}

fn sum(key: &Option<Key>, bytes: &[u8]) -> Vec<u8> {
    match key {
        Some(key) => blake3::keyed_hash(key, bytes).as_bytes()[..KEYED].to_vec(),
        None => crc32fast::hash(bytes).to_le_bytes().to_vec(),
    }
}

fn tail(keys: &Keys) -> usize {
    if keys.sign.is_some() {
        KEYED
    } else {
        PLAIN
    }
}

/// How many bytes a machine may say in one datagram.
pub fn room(keys: &Keys) -> usize {
    LONGEST - HEAD - tail(keys)
}

/// A datagram of what a machine says. What does not fit is its writer's mistake, and is left out.
pub fn seal(head: &Head, said: &[u8], keys: &Keys) -> Vec<u8> {
    let mut w = Writer(Vec::with_capacity(LONGEST));
    w.put(MAGIC);
    w.put([head.tag.0, 0]);
    w.put(head.roster.to_le_bytes());
    w.put(head.from.to_le_bytes());
    w.put(head.seq.to_le_bytes());
    w.put(head.life.to_le_bytes());
    w.put(head.to_life.to_le_bytes());
    w.0.extend_from_slice(&said[..said.len().min(room(keys))]);
    let sum = sum(&keys.sign, &w.0);
    w.0.extend(sum);
    w.0
}

/// Reads a datagram for a roster of `n` fronts: its head, and what a machine says.
pub fn open<'a>(bytes: &'a [u8], n: usize, keys: &Keys) -> Result<(Head, &'a [u8]), Void> {
    if bytes.len() > LONGEST || bytes.len() < HEAD || bytes[..2] != MAGIC {
        return Err(Void::Form);
    }
    let (all, theirs) = bytes
        .split_at_checked(bytes.len() - tail(keys))
        .ok_or(Void::Form)?;
    let right = |key: &Option<Key>| sum(key, all) == theirs;
    if !(right(&keys.sign) || keys.also.is_some() && right(&keys.also)) {
        return Err(Void::Sum);
    }
    let mut r = Reader(&all[2..]);
    let mut head = || -> Option<Head> {
        let (tag, zero) = (Tag(r.u8()?), r.u8()?);
        let (roster, from, seq) = (r.u32()?, r.u16()?, r.u32()?);
        let (life, to_life) = (r.u64()?, r.u64()?);
        let sound = usize::from(from) < n && zero == 0 && life != 0;
        sound.then_some(Head {
            tag,
            roster,
            from,
            seq,
            life,
            to_life,
        })
    };
    let head = head().ok_or(Void::Content)?;
    Ok((head, r.0))
}

/// Bytes that are put one after another.
#[derive(Default)]
pub struct Writer(pub Vec<u8>);

impl Writer {
    /// Puts these.
    pub fn put<const N: usize>(&mut self, bytes: [u8; N]) {
        self.0.extend(bytes);
    }
}

/// Bytes that are taken one after another; none once they are over.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    /// The next `n`.
    pub fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    /// The next, as many as wanted.
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

/// What has been taken of one life of a sender: nothing is taken twice, nor what is older than a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    last: u32,
    seen: u64,
}

impl Window {
    /// Whether this number is new; it is noted.
    pub fn take(&mut self, seq: u32) -> bool {
        if seq > self.last {
            let by = seq - self.last;
            self.seen = if by >= 64 { 0 } else { self.seen << by };
            self.last = seq;
        }
        let back = self.last - seq;
        let new = back < 64 && self.seen >> back & 1 == 0;
        self.seen |= if back < 64 { 1 << back } else { 0 };
        new
    }
}
