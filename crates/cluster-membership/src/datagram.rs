//! Datagrams of the protocol and their encoding.
//!
//! A datagram is one byte with the format number, followed by the [`Datagram`] in `borsh`.

use crate::member_update::{MemberUpdate, MAX_ZONE_BYTES};
use crate::message::Message;
use borsh::{BorshDeserialize, BorshSerialize};

/// The largest datagram, in bytes: with its headers it fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The format number, which is the first byte of a datagram. Each new format needs another number.
const FORMAT: u8 = 1;
/// The encoded size of the number of updates, in bytes.
const COUNT_BYTES: usize = 4;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// A digest of the members that the sender considers present, to detect differing membership lists.
    pub list_digest: u64,
    /// The message that it carries.
    pub message: Message,
    /// Updates about members, piggybacked on the message.
    pub updates: Vec<MemberUpdate>,
}

/// An error of decoding a datagram.
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
    /// Encodes the datagram. Trailing updates that would make it larger than [`MAX_DATAGRAM_BYTES`] are omitted.
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

    /// Decodes a datagram from an untrusted sender.
    ///
    /// # Errors
    ///
    /// [`DatagramError::TooLarge`] above [`MAX_DATAGRAM_BYTES`], [`DatagramError::UnknownFormat`] if the first byte is
    /// another format number, and [`DatagramError::Malformed`] if the rest is not exactly one datagram or a zone name is
    /// longer than [`MAX_ZONE_BYTES`].
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

/// The space for updates in any datagram of this sender, in bytes.
pub(crate) fn capacity_for_updates(sender: &MemberUpdate) -> usize {
    /// An upper bound for the format, the digest, the message and the number of updates.
    const MAX_OTHER_BYTES: usize = 32;
    MAX_DATAGRAM_BYTES.saturating_sub(max_encoded_len(sender) + MAX_OTHER_BYTES)
}

/// An upper bound of the encoded size of an update, in bytes.
pub(crate) fn max_encoded_len(update: &MemberUpdate) -> usize {
    /// Address, role, length of the zone name, both incarnations, and the largest state.
    const MAX_FIXED_BYTES: usize = 6 + 1 + 4 + 8 + 4 + 7;
    MAX_FIXED_BYTES + update.zone.len()
}

/// Appends as many updates as fit, and returns their number.
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
