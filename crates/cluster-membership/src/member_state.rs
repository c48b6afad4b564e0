//! The states of a member in the protocol.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::PeerAddress;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum MemberState {
    /// It answers pings.
    Alive,
    /// It did not acknowledge a ping; it may still refute the suspicion.
    Suspect {
        /// The member that suspects it on its own evidence.
        by: PeerAddress,
    },
    /// Its suspicion timed out without a refutation (the SWIM paper's *confirm*).
    Dead,
    /// It announced that it has left.
    Left,
}

impl MemberState {
    /// Whether a member in this state is present. A suspect is present until its suspicion times out.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect { .. })
    }

    /// The precedence of the state: of two states in the same incarnation, the one with the higher precedence overrides.
    pub(crate) fn precedence(self) -> u8 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspect { .. } => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        }
    }
}
