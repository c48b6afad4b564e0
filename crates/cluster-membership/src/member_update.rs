//! Updates about a member, and the rule for which of two updates overrides the other.

use crate::member_state::MemberState;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use std::cmp::Ordering;

/// The largest length of a zone name in a datagram, in bytes.
pub const MAX_ZONE_BYTES: usize = 64;

/// An update about one member.
///
/// SWIM incarnation numbers are counted per address, across successive processes at that address. A process announces a
/// higher incarnation number when it receives an update about an earlier process at its address, or an update in which it
/// is not alive. Only the process itself raises the number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct MemberUpdate {
    /// The member's internal address.
    pub address: PeerAddress,
    /// The role of the machine that it runs on.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// A random number that the process drew when it started. It distinguishes successive processes at an address, and has
    /// no order in time.
    pub process_incarnation: u64,
    /// Its SWIM incarnation number.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Compares this with another update about the same member: the greater one overrides the other.
    ///
    /// Updates that compare as equal may still differ in the member that suspects.
    pub fn compare_version(&self, other: &MemberUpdate) -> Ordering {
        self.version().cmp(&other.version())
    }

    fn version(&self) -> (u32, u64, u8) {
        (
            self.incarnation,
            self.process_incarnation,
            self.state.precedence(),
        )
    }
}
