//! The states that the protocol knows of a member.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::PeerAddress;

/// What a member is considered to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum MemberState {
    /// It answers pings.
    Alive,
    /// It did not answer a ping; it may still refute the suspicion.
    Suspect {
        /// The member that suspects it on its own evidence.
        by: PeerAddress,
    },
    /// Its suspicion timed out without a refutation (the SWIM paper's *confirm*).
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether a member in this state counts as present: a suspicion alone does not end a membership.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect { .. })
    }

    /// Of two states in the same incarnation the one of the higher precedence overrides the other.
    pub(crate) fn precedence(self) -> u8 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspect { .. } => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        }
    }
}
