//! What processes tell each other of a member, and which of two tellings is the newer one.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::wire::Role;
use std::cmp::Ordering;

/// The longest name of a zone that a datagram may carry, in bytes.
pub const ZONE_BYTES_MOST: usize = 64;

/// What a member is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum MemberState {
    /// It is there.
    Alive,
    /// It did not answer; it may refute that.
    Suspect {
        /// Who found out.
        by: PeerAddress,
    },
    /// It was suspected for long enough and did not refute it.
    Dead,
    /// It said that it leaves.
    Left,
}

impl MemberState {
    /// Whether a member in this state counts as there: a suspicion alone is no end.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect { .. })
    }

    /// Of two states in the same incarnation the one of the higher rank holds.
    fn rank(self) -> u8 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspect { .. } => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        }
    }
}

/// Word of a member.
///
/// Incarnations are counted for each address, across the lives of its processes: a process that hears of another life
/// at its address, or that it is not alive, announces a higher incarnation. Only the process itself raises it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct MemberUpdate {
    /// Its internal address.
    pub address: PeerAddress,
    /// Its kind.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Drawn at random when its process began.
    pub process_incarnation: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// What it is held for.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Compares this with other word of the same member: greater is newer. Equal ones may differ in who suspects.
    pub fn compare_age(&self, other: &MemberUpdate) -> Ordering {
        let version = |update: &MemberUpdate| {
            (
                update.incarnation,
                update.process_incarnation,
                update.state.rank(),
            )
        };
        version(self).cmp(&version(other))
    }
}
