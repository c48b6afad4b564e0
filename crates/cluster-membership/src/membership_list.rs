//! The membership list: the latest update about every other member.
//!
//! The list decides whether an update overrides the known one, and owns the suspicions. The state machine reads the list and
//! disseminates its changes.

use crate::member_state::MemberState;
use crate::member_update::MemberUpdate;
use crate::suspicion::{Suspicion, SuspicionRule};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::rendezvous::{address_weight, mix};
use lupinrack_cluster_api::time::Millis;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;

/// The largest number of members in the list, so that forged updates cannot exhaust memory.
const MAX_MEMBERS: usize = 16_384;

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Member {
    update: MemberUpdate,
    state_entered_at: Millis,
    /// `Some` while the member's state is [`MemberState::Suspect`].
    suspicion: Option<Suspicion>,
}

/// The change that an update made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListChange {
    /// No change: the update was known, or older than the known one.
    Unchanged,
    /// The update has to be disseminated, but the set of present members is the same.
    Details,
    /// A member became present or absent, or was replaced by another process at its address.
    Presence,
}

/// All other members. Members that are dead or have left are removed after some time.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipList {
    members: BTreeMap<PeerAddress, Member>,
    present_count: usize,
    digest: u64,
}

impl MembershipList {
    pub(crate) fn get(&self, address: PeerAddress) -> Option<&MemberUpdate> {
        self.members.get(&address).map(|member| &member.update)
    }

    /// Whether a member is present: alive or suspected.
    pub(crate) fn is_present(&self, address: PeerAddress) -> bool {
        self.get(address)
            .is_some_and(|update| update.state.is_present())
    }

    /// How many members are present.
    pub(crate) fn present_count(&self) -> usize {
        self.present_count
    }

    /// A digest of the members that are present. It does not depend on the order of the updates, so processes with the same
    /// present members have the same digest.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// All members, by address.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update)
    }

    pub(crate) fn present(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.iter().filter(|update| update.state.is_present())
    }

    pub(crate) fn alive(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.iter()
            .filter(|update| update.state == MemberState::Alive)
    }

    pub(crate) fn suspects(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.iter()
            .filter(|update| matches!(update.state, MemberState::Suspect { .. }))
    }

    pub(crate) fn absent(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.iter().filter(|update| !update.state.is_present())
    }

    /// Members with higher addresses than this one, by address; all members for `None`.
    pub(crate) fn after(
        &self,
        address: Option<PeerAddress>,
    ) -> impl Iterator<Item = &MemberUpdate> {
        let start = address.map_or(Bound::Unbounded, Bound::Excluded);
        self.members
            .range((start, Bound::Unbounded))
            .map(|(_, member)| &member.update)
    }

    /// Applies an update about another member if it overrides the known one.
    ///
    /// An update that an unknown member is dead or has left changes nothing: this list has already removed the member.
    /// Otherwise, members that remove it at different times would disseminate the update to each other forever.
    pub(crate) fn apply(
        &mut self,
        update: &MemberUpdate,
        max_confirmations: usize,
        now: Millis,
    ) -> ListChange {
        let Some(member) = self.members.get_mut(&update.address) else {
            return self.apply_to_unknown(update, now);
        };
        match update.compare_version(&member.update) {
            Ordering::Less => ListChange::Unchanged,
            Ordering::Equal => member.confirm(update, max_confirmations),
            Ordering::Greater => {
                let before = presence_digest(&member.update);
                self.put(update, now);
                if before == presence_digest(update) {
                    ListChange::Details
                } else {
                    ListChange::Presence
                }
            }
        }
    }

    /// Updates that declare the members dead whose suspicion has timed out.
    pub(crate) fn expired_suspects(&self, rule: SuspicionRule, now: Millis) -> Vec<MemberUpdate> {
        let has_expired = |suspicion: &Suspicion| suspicion.has_expired(rule, now);
        self.members
            .values()
            .filter(|member| member.suspicion.as_ref().is_some_and(has_expired))
            .map(|member| MemberUpdate {
                state: MemberState::Dead,
                ..member.update.clone()
            })
            .collect()
    }

    /// Removes members that have been absent for `forget_after_ms`, and returns their addresses.
    pub(crate) fn forget_absent(&mut self, forget_after_ms: u64, now: Millis) -> Vec<PeerAddress> {
        let mut forgotten = Vec::new();
        self.members.retain(|address, member| {
            let is_kept = member.update.state.is_present()
                || now.since(member.state_entered_at) < forget_after_ms;
            if !is_kept {
                forgotten.push(*address);
            }
            is_kept
        });
        forgotten
    }

    /// Extends all suspicions by the time for which this process was suspended: no refutation could reach it meanwhile.
    pub(crate) fn extend_suspicions(&mut self, milliseconds: u64) {
        for member in self.members.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.extend(milliseconds);
            }
        }
    }

    fn apply_to_unknown(&mut self, update: &MemberUpdate, now: Millis) -> ListChange {
        if !update.state.is_present() || self.members.len() >= MAX_MEMBERS {
            return ListChange::Unchanged;
        }
        self.put(update, now);
        ListChange::Presence
    }

    fn put(&mut self, update: &MemberUpdate, now: Millis) {
        let suspicion = match update.state {
            MemberState::Suspect { by } => Some(Suspicion::new(by, now)),
            _ => None,
        };
        let member = Member {
            update: update.clone(),
            state_entered_at: now,
            suspicion,
        };
        self.digest ^= presence_digest(update);
        self.present_count += usize::from(update.state.is_present());
        if let Some(replaced) = self.members.insert(update.address, member) {
            self.digest ^= presence_digest(&replaced.update);
            self.present_count -= usize::from(replaced.update.state.is_present());
        }
    }
}

impl Member {
    /// Applies an update of the same version, which may confirm a suspicion.
    fn confirm(&mut self, update: &MemberUpdate, max_confirmations: usize) -> ListChange {
        let (Some(suspicion), MemberState::Suspect { by }) = (&mut self.suspicion, update.state)
        else {
            return ListChange::Unchanged;
        };
        if suspicion.confirm(by, max_confirmations) {
            ListChange::Details
        } else {
            ListChange::Unchanged
        }
    }
}

/// The member's contribution to the digest of present members; 0 if it is absent.
pub(crate) fn presence_digest(update: &MemberUpdate) -> u64 {
    if update.state.is_present() {
        address_weight(&[], update.address) ^ mix(update.process_incarnation)
    } else {
        0
    }
}
