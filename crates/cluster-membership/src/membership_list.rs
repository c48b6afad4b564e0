//! What this process holds of the other members.

use crate::member_update::{MemberState, MemberUpdate};
use crate::settings::SwimSettings;
use crate::suspicion::Suspicion;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::rendezvous::{address_weight, mix};
use lupinrack_cluster_api::time::Millis;
use lupinrack_failure_detection::LocalHealth;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;

/// The most members that are remembered, so that nonsense cannot fill the memory.
const MEMBERS_MOST: usize = 16_384;

/// What is held of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) update: MemberUpdate,
    /// Since when it is in its state.
    since: Millis,
    /// While it is suspected.
    suspicion: Option<Suspicion>,
}

/// What came of word of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// It was known, or older than what is known.
    Nothing,
    /// It is worth telling others, and changes nothing in who is there.
    News,
    /// A member came, went, or was replaced by another life.
    Presence,
}

/// All other members, also those that have ended and are not forgotten yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    members: BTreeMap<PeerAddress, Member>,
    present: usize,
    digest: u64,
}

impl Roster {
    pub(crate) fn get(&self, address: PeerAddress) -> Option<&MemberUpdate> {
        self.members.get(&address).map(|member| &member.update)
    }

    pub(crate) fn is_present(&self, address: PeerAddress) -> bool {
        self.get(address)
            .is_some_and(|update| update.state.is_present())
    }

    /// How many are there.
    pub(crate) fn present_count(&self) -> usize {
        self.present
    }

    /// A digest of who is there, the same at all who hold the same, in whatever order they learned it.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update)
    }

    pub(crate) fn present(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.iter().filter(|update| update.state.is_present())
    }

    pub(crate) fn suspects(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.iter()
            .filter(|update| matches!(update.state, MemberState::Suspect { .. }))
    }

    /// Members at higher addresses than this, in their order.
    pub(crate) fn after(
        &self,
        address: Option<PeerAddress>,
    ) -> impl Iterator<Item = &MemberUpdate> {
        let start = address.map_or(Bound::Unbounded, Bound::Excluded);
        self.members
            .range((start, Bound::Unbounded))
            .map(|(_, member)| &member.update)
    }

    /// Takes word of another member over if it is newer. An end of a member that is not known is no news: it was
    /// forgotten, and would go round for ever.
    pub(crate) fn apply(
        &mut self,
        update: &MemberUpdate,
        confirmations: usize,
        now: Millis,
    ) -> Applied {
        let Some(member) = self.members.get_mut(&update.address) else {
            if !update.state.is_present() || self.members.len() >= MEMBERS_MOST {
                return Applied::Nothing;
            }
            self.put(update, now);
            return Applied::Presence;
        };
        match update.compare_age(&member.update) {
            Ordering::Less => Applied::Nothing,
            Ordering::Equal => {
                let (Some(suspicion), MemberState::Suspect { by }) =
                    (&mut member.suspicion, update.state)
                else {
                    return Applied::Nothing;
                };
                match suspicion.confirm(by, confirmations) {
                    true => Applied::News,
                    false => Applied::Nothing,
                }
            }
            Ordering::Greater => {
                let before = presence_digest(&member.update);
                self.put(update, now);
                match before == presence_digest(update) {
                    true => Applied::News,
                    false => Applied::Presence,
                }
            }
        }
    }

    /// Members whose suspicion is over, as word of their death.
    pub(crate) fn expired(
        &self,
        settings: &SwimSettings,
        health: LocalHealth,
        now: Millis,
    ) -> Vec<MemberUpdate> {
        let is_over =
            |suspicion: &Suspicion| suspicion.is_over(settings, self.present, health, now);
        let over = self
            .members
            .values()
            .filter(|member| member.suspicion.as_ref().is_some_and(is_over));
        over.map(|member| MemberUpdate {
            state: MemberState::Dead,
            ..member.update.clone()
        })
        .collect()
    }

    /// Forgets members that ended long ago.
    pub(crate) fn forget(&mut self, forget_ms: u64, now: Millis) {
        self.members.retain(|_, member| {
            member.update.state.is_present() || now.since(member.since) < forget_ms
        });
    }

    /// This process was frozen for so long.
    pub(crate) fn extend_suspicions(&mut self, milliseconds: u64) {
        let suspicions = self
            .members
            .values_mut()
            .filter_map(|member| member.suspicion.as_mut());
        suspicions.for_each(|suspicion| suspicion.extend(milliseconds));
    }

    fn put(&mut self, update: &MemberUpdate, now: Millis) {
        let suspicion = match update.state {
            MemberState::Suspect { by } => Some(Suspicion::new(by, now)),
            _ => None,
        };
        let member = Member {
            update: update.clone(),
            since: now,
            suspicion,
        };
        self.digest ^= presence_digest(update);
        self.present += usize::from(update.state.is_present());
        if let Some(replaced) = self.members.insert(update.address, member) {
            self.digest ^= presence_digest(&replaced.update);
            self.present -= usize::from(replaced.update.state.is_present());
        }
    }
}

/// What a member adds to the digest of those who are there: nothing where it is not.
pub(crate) fn presence_digest(update: &MemberUpdate) -> u64 {
    match update.state.is_present() {
        true => address_weight(&[], update.address) ^ mix(update.process_incarnation),
        false => 0,
    }
}
