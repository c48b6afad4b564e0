//! What processes disseminate about a member, and which of two updates overrides the other.

use crate::member_state::MemberState;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use std::cmp::Ordering;

/// The longest name of a zone that a datagram may carry, in bytes.
pub const MAX_ZONE_BYTES: usize = 64;

/// An update about one member.
///
/// SWIM incarnation numbers are counted for each address, across the processes that listen there one after the other: a
/// process that receives an update about an earlier process at its address, or one that does not call it alive,
/// announces a higher incarnation number. Only the process itself raises it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct MemberUpdate {
    /// The member's internal address.
    pub address: PeerAddress,
    /// The kind of machine that it runs on.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// A random number that its process drew when it started. It tells apart the processes that follow one another at
    /// an address, and has no order in time.
    pub process_incarnation: u64,
    /// Its SWIM incarnation number.
    pub incarnation: u32,
    /// What it is considered to be.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Compares this with another update about the same member: the greater one overrides the other.
    ///
    /// Updates that compare as equal may still differ in who suspects the member.
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
