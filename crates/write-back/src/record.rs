//! Records and their form in the log.
//!
//! A frame is length (4 bytes), CRC-32 of the rest (4), sequence (8), body (postcard); numbers little-endian. The
//! sequence rises by one from frame to frame, over segments too, so that a frame left over from an earlier life of the
//! same file never passes for one of this.

use lupinrack_policy::{Micros, VolumeId};
use serde::{Deserialize, Serialize};

/// Frames with a longer body are damage: a body of a write is 64 KiB at most.
pub const LONGEST: usize = 128 << 10;
/// Bytes ahead of a frame's body.
pub const HEAD: usize = 16;

/// A write, as the log numbers it; never reused within a log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WriteId(pub u64);

/// What a write is, from its taking to its settling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Its number.
    pub write: WriteId,
    /// Its volume.
    pub volume: u64,
    /// Its plan, by the name in the settings: their order may change over a restart.
    pub plan: String,
    /// Its size in thousandths of a unit.
    pub milliunits: u32,
    /// The idempotency key, as it came.
    pub key: Vec<u8>,
    /// The request's target: path and query.
    pub target: Vec<u8>,
    /// Its body.
    pub body: Vec<u8>,
    /// When its client gives up, in wall-clock microseconds since 1970.
    pub give_up: i64,
}

impl Taken {
    /// The volume, in the module's words.
    pub fn volume(&self) -> VolumeId {
        VolumeId(self.volume)
    }
}

/// A moment on both clocks. Monotonic readings compare within one boot only; the wall clock may step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Microseconds since the boot that `boot` names, time asleep included.
    pub since_boot: Micros,
    /// Which boot.
    pub boot: u64,
    /// Microseconds since 1970.
    pub wall: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A node has it.
    Held,
    /// It provably never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A write is taken; synced before it is acknowledged as buffered.
    Taken(Taken),
    /// An attempt is about to be sent; synced before its first byte leaves.
    Attempt {
        /// The write.
        write: WriteId,
        /// The attempt's number.
        attempt: u16,
        /// The node's name.
        node: String,
        /// The shard it holds.
        shard: u32,
        /// When.
        at: Moment,
    },
    /// An attempt ended.
    Ended {
        /// The write.
        write: WriteId,
        /// The attempt's number.
        attempt: u16,
        /// How.
        end: End,
    },
    /// A write is over: a node has it, or its client was told that it failed.
    Settled(WriteId),
    /// What comes after waits for all of the volume's writes before.
    Barrier {
        /// The volume.
        volume: u64,
    },
    /// A flush of the volume was asked for.
    Flush {
        /// The volume.
        volume: u64,
    },
}

/// Why a frame cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// The bytes end inside it: it was torn, if nothing follows.
    #[error("it ends inside a record")]
    Short,
    /// Its length cannot be.
    #[error("a record of a length that cannot be")]
    Length,
    /// Its checksum does not match.
    #[error("a record with a wrong checksum")]
    Checksum,
    /// Its sequence is not the next.
    #[error("a record out of sequence")]
    Sequence,
    /// Its body says nothing that this version knows.
    #[error("a record of an unknown form")]
    Form,
}

/// Words a record as a frame.
pub fn encode(sequence: u64, record: &Record) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_allocvec(record)?;
    let mut frame = Vec::with_capacity(HEAD + body.len());
    frame.extend((body.len() as u32).to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&sequence.to_le_bytes());
    sum.update(&body);
    frame.extend(sum.finalize().to_le_bytes());
    frame.extend(sequence.to_le_bytes());
    frame.extend(body);
    Ok(frame)
}

/// Reads the frame at the head of `bytes`, which must be the next in sequence; tells its length, too.
pub fn decode(bytes: &[u8], sequence: u64) -> Result<(Record, usize), Unreadable> {
    let word = |at: usize| -> Result<[u8; 4], Unreadable> {
        bytes
            .get(at..at + 4)
            .and_then(|b| b.try_into().ok())
            .ok_or(Unreadable::Short)
    };
    let length = u32::from_le_bytes(word(0)?) as usize;
    let sum = u32::from_le_bytes(word(4)?);
    if length == 0 || length > LONGEST {
        return Err(Unreadable::Length);
    }
    let rest = bytes.get(8..HEAD + length).ok_or(Unreadable::Short)?;
    if crc32fast::hash(rest) != sum {
        return Err(Unreadable::Checksum);
    }
    if rest[..8] != sequence.to_le_bytes() {
        return Err(Unreadable::Sequence);
    }
    let record = postcard::from_bytes(&rest[8..]).map_err(|_| Unreadable::Form)?;
    Ok((record, HEAD + length))
}
