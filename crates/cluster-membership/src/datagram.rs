//! Datagrams of the protocol and their form on the wire.
//!
//! A datagram is one byte with the number of the format, then the [`Datagram`] in `borsh`.

use crate::member_update::{MemberUpdate, MAX_ZONE_BYTES};
use crate::message::Message;
use borsh::{BorshDeserialize, BorshSerialize};

/// The largest datagram, in bytes: it fits into one Ethernet frame with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The first byte of a datagram; another format takes another number.
const FORMAT: u8 = 1;
/// Bytes of the number of updates.
const COUNT_BYTES: usize = 4;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// A digest of the members that the sender considers present, to detect that membership lists differ.
    pub list_digest: u64,
    /// What it is sent for.
    pub message: Message,
    /// Updates about members, piggybacked on the message.
    pub updates: Vec<MemberUpdate>,
}

/// Why bytes are no datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum DatagramError {
    /// the datagram is larger than allowed
    TooLarge,
    /// the datagram has another form
    UnknownFormat,
    /// the datagram cannot be read
    Malformed,
}

impl std::error::Error for DatagramError {}

impl Datagram {
    /// Encodes the datagram. Updates at the end that would make it larger than [`MAX_DATAGRAM_BYTES`] are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        append(&mut bytes, &self.sender);
        append(&mut bytes, &self.list_digest);
        append(&mut bytes, &self.message);
        let count_at = bytes.len();
        append(&mut bytes, &0u32);
        let count = append_updates(&mut bytes, &self.updates);
        bytes[count_at..count_at + COUNT_BYTES].copy_from_slice(&count.to_le_bytes());
        bytes
    }

    /// Decodes bytes that any sender may have made.
    ///
    /// # Errors
    ///
    /// [`DatagramError::TooLarge`] above [`MAX_DATAGRAM_BYTES`], [`DatagramError::UnknownFormat`] where the first byte is
    /// that of another format, and [`DatagramError::Malformed`] where the rest is not exactly one datagram or the name
    /// of a zone is longer than [`MAX_ZONE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge);
        }
        let (format, body) = bytes.split_first().ok_or(DatagramError::Malformed)?;
        if *format != FORMAT {
            return Err(DatagramError::UnknownFormat);
        }
        let datagram = Datagram::try_from_slice(body).map_err(|_| DatagramError::Malformed)?;
        let is_bounded = |member: &MemberUpdate| member.zone.len() <= MAX_ZONE_BYTES;
        if is_bounded(&datagram.sender) && datagram.updates.iter().all(is_bounded) {
            Ok(datagram)
        } else {
            Err(DatagramError::Malformed)
        }
    }
}

/// How many bytes of updates fit into any datagram of this sender.
pub(crate) fn capacity_for_updates(sender: &MemberUpdate) -> usize {
    /// Bounds the format, the digest, the message and the number of updates.
    const MAX_OTHER_BYTES: usize = 32;
    MAX_DATAGRAM_BYTES.saturating_sub(max_encoded_len(sender) + MAX_OTHER_BYTES)
}

/// Bounds the bytes that an update takes.
pub(crate) fn max_encoded_len(update: &MemberUpdate) -> usize {
    /// Address, role, length of the zone, both incarnations, and the largest state.
    const MAX_FIXED_BYTES: usize = 6 + 1 + 4 + 8 + 4 + 7;
    MAX_FIXED_BYTES + update.zone.len()
}

/// Appends as many updates as fit; their number.
fn append_updates(bytes: &mut Vec<u8>, updates: &[MemberUpdate]) -> u32 {
    let mut count = 0;
    for update in updates {
        let end = bytes.len();
        append(bytes, update);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            bytes.truncate(end);
            break;
        }
        count += 1;
    }
    count
}

fn append(bytes: &mut Vec<u8>, value: &impl BorshSerialize) {
    // Writing to a vector cannot fail.
    let _ = value.serialize(bytes);
}
