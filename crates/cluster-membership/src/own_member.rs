//! This process as a member: the update that it announces about itself.

use crate::live_table::LiveMember;
use crate::member_state::MemberState;
use crate::member_update::MemberUpdate;
use lupinrack_cluster_api::identity::PeerAddress;

/// Whether an update about this process was refuted by a higher incarnation number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refutation {
    /// It is correct, or too old to override the update that others have. A higher incarnation number of this process is
    /// adopted.
    NotNeeded,
    /// It was about an earlier process at the same address.
    OfEarlierProcess,
    /// It stated that this process is not alive.
    OfThisProcess,
}

/// This process as a member.
#[derive(Clone, Debug)]
pub(crate) struct OwnMember {
    update: MemberUpdate,
}

impl OwnMember {
    /// A process that starts, with the lowest incarnation number.
    pub(crate) fn new(member: LiveMember) -> OwnMember {
        let update = MemberUpdate {
            address: member.address,
            role: member.role,
            zone: member.zone,
            process_incarnation: member.process_incarnation,
            incarnation: 0,
            state: MemberState::Alive,
        };
        OwnMember { update }
    }

    /// The update that the process announces about itself.
    pub(crate) fn update(&self) -> &MemberUpdate {
        &self.update
    }

    pub(crate) fn address(&self) -> PeerAddress {
        self.update.address
    }

    pub(crate) fn zone(&self) -> &str {
        &self.update.zone
    }

    /// Makes the process announce that it has left.
    pub(crate) fn leave(&mut self) {
        self.update.state = MemberState::Left;
    }

    pub(crate) fn has_left(&self) -> bool {
        self.update.state == MemberState::Left
    }

    /// Processes an update from others about this process. A wrong update that overrides the own one at other members is
    /// refuted by a higher incarnation number (section 4.2 of the SWIM paper).
    pub(crate) fn refute(&mut self, update: &MemberUpdate) -> Refutation {
        let same_process = update.process_incarnation == self.update.process_incarnation;
        if same_process && update.state == MemberState::Alive {
            self.update.incarnation = self.update.incarnation.max(update.incarnation);
            return Refutation::NotNeeded;
        }
        if update.incarnation < self.update.incarnation {
            return Refutation::NotNeeded;
        }
        self.update.incarnation = update.incarnation.saturating_add(1);
        if same_process {
            Refutation::OfThisProcess
        } else {
            Refutation::OfEarlierProcess
        }
    }
}
