//! Datagrams of the protocol and their form on the wire.

use crate::member_update::{MemberUpdate, ZONE_BYTES_MOST};
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::PeerAddress;

/// The largest datagram, in bytes.
pub const DATAGRAM_BYTES_MOST: usize = 1_200;
/// Before everything else in a datagram; another form of datagram takes another number.
const FORM: u8 = 1;
/// Bytes of the number of updates.
const COUNT_BYTES: usize = 4;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// Asks for an acknowledgement.
    Probe {
        /// The sender's number of the probe.
        nonce: u32,
    },
    /// Asks a helper to probe a member.
    ProbeRequest {
        /// The asker's number of the probe, which comes back.
        nonce: u32,
        /// The member.
        target: PeerAddress,
    },
    /// The answer to a probe, or to a request whose target has answered.
    Acknowledge {
        /// The number of the probe.
        nonce: u32,
    },
    /// The answer to a request whose target has not answered the helper in time.
    NotReached {
        /// The asker's number of the probe.
        nonce: u32,
    },
    /// Asks for a part of the roster.
    PageRequest {
        /// The members at higher addresses than this; none for the first.
        after: Option<PeerAddress>,
    },
    /// A part of the roster, in `updates`.
    Page {
        /// The highest address of the part; none where the roster ends with it.
        last: Option<PeerAddress>,
    },
    /// Brings updates only.
    News,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    /// The sender, as it holds itself.
    pub sender: MemberUpdate,
    /// A digest of the members that the sender holds for there, to find out that rosters differ.
    pub roster_digest: u64,
    /// What it is for.
    pub message: Message,
    /// Word of members.
    pub updates: Vec<MemberUpdate>,
}

/// Why bytes are no datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum DatagramError {
    /// the datagram is larger than allowed
    TooLarge,
    /// the datagram has another form
    UnknownForm,
    /// the datagram cannot be read
    Malformed,
}

impl std::error::Error for DatagramError {}

impl Datagram {
    /// The bytes. Updates at the end that would make it too large are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORM];
        append(&mut bytes, &self.sender);
        append(&mut bytes, &self.roster_digest);
        append(&mut bytes, &self.message);
        let count_at = bytes.len();
        append(&mut bytes, &0u32);
        let mut count = 0u32;
        for update in &self.updates {
            let before = bytes.len();
            append(&mut bytes, update);
            if bytes.len() > DATAGRAM_BYTES_MOST {
                bytes.truncate(before);
                break;
            }
            count += 1;
        }
        bytes[count_at..count_at + COUNT_BYTES].copy_from_slice(&count.to_le_bytes());
        bytes
    }

    /// Reads bytes that somebody sent.
    ///
    /// # Errors
    ///
    /// Where they are no datagram of this form, whole and within the bounds.
    pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > DATAGRAM_BYTES_MOST {
            return Err(DatagramError::TooLarge);
        }
        let (form, body) = bytes.split_first().ok_or(DatagramError::Malformed)?;
        if *form != FORM {
            return Err(DatagramError::UnknownForm);
        }
        let datagram = Datagram::try_from_slice(body).map_err(|_| DatagramError::Malformed)?;
        let is_bounded = |member: &MemberUpdate| member.zone.len() <= ZONE_BYTES_MOST;
        match is_bounded(&datagram.sender) && datagram.updates.iter().all(is_bounded) {
            true => Ok(datagram),
            false => Err(DatagramError::Malformed),
        }
    }
}

/// How many bytes of updates fit beside this sender in any datagram.
pub(crate) fn room_for_updates(sender: &MemberUpdate) -> usize {
    const OTHER_BYTES_MOST: usize = 32;
    DATAGRAM_BYTES_MOST.saturating_sub(encoded_len(sender) + OTHER_BYTES_MOST)
}

/// How many bytes an update takes.
pub(crate) fn encoded_len(update: &MemberUpdate) -> usize {
    const FIXED_BYTES_MOST: usize = 6 + 1 + 4 + 8 + 4 + 7;
    FIXED_BYTES_MOST + update.zone.len()
}

fn append(bytes: &mut Vec<u8>, value: &impl BorshSerialize) {
    // A vector takes everything.
    let _ = value.serialize(bytes);
}
