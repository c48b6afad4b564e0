//! This process as a member: what it announces of itself.

use crate::live_table::LiveMember;
use crate::member_state::MemberState;
use crate::member_update::MemberUpdate;
use lupinrack_cluster_api::identity::PeerAddress;

/// Whether an update about this process was refuted, by a higher incarnation number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refutation {
    /// It is right, or too old to override what others know. A higher incarnation number of this very process is adopted.
    NotNeeded,
    /// It concerned an earlier process at the same address.
    OfEarlierProcess,
    /// It said that this very process is not alive.
    OfThisProcess,
}

/// This process as a member.
#[derive(Clone, Debug)]
pub(crate) struct OwnMember {
    update: MemberUpdate,
}

impl OwnMember {
    /// A process that begins, with the lowest incarnation number.
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

    /// What it announces of itself.
    pub(crate) fn update(&self) -> &MemberUpdate {
        &self.update
    }

    pub(crate) fn address(&self) -> PeerAddress {
        self.update.address
    }

    pub(crate) fn zone(&self) -> &str {
        &self.update.zone
    }

    /// Announces from now on that it has left.
    pub(crate) fn leave(&mut self) {
        self.update.state = MemberState::Left;
    }

    pub(crate) fn has_left(&self) -> bool {
        self.update.state == MemberState::Left
    }

    /// Takes an update of others about this process. One that is wrong, and that others would believe, is refuted by a
    /// higher incarnation number (section 4.2 of the SWIM paper).
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
