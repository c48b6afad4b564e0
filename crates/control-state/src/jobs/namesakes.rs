//! Jobs of different queues with the same identity.
//!
//! Clients of each queue choose the identities of their jobs, so jobs of different queues may have
//! the same. The job table has one key for each job: the first job of an identity has the identity
//! itself as its key, and further ones get keys that no job has. Only clients and servers use the
//! identity.
//!
//! The name of a task on servers contains the identity, so tasks of such jobs may have the same name.
//! Their runs are told apart by the number of the start, which increases over all jobs of the
//! identity, and two tasks of the same name are never assigned to one server at a time.

use crate::jobs::record::JobRecord;
use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::{Attempt, JobId};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Increment and multipliers of `SplitMix64`, a permutation of the 64-bit numbers.
const MIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
const MIX_MULTIPLIERS: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// The jobs of one identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
struct Group {
    /// Their keys.
    keys: BTreeSet<JobId>,
    /// No start whose record was dropped has a higher number.
    attempt_floor: Attempt,
}

/// The identities that jobs of several queues have, or had.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Namesakes {
    groups: BTreeMap<JobId, Group>,
    /// The identities of jobs with another key.
    identities: BTreeMap<JobId, JobId>,
}

impl BorshSerialize for Namesakes {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        self.groups.serialize(writer)
    }
}

impl BorshDeserialize for Namesakes {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        let groups = BTreeMap::<JobId, Group>::deserialize_reader(reader)?;
        let mut identities = BTreeMap::new();
        for (identity, group) in &groups {
            let others = group.keys.iter().filter(|key| *key != identity);
            identities.extend(others.map(|key| (*key, *identity)));
        }
        Ok(Self { groups, identities })
    }
}

impl Namesakes {
    /// Whether no job has or had a namesake.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// The identity that the client of the job with this key chose.
    pub(crate) fn identity(&self, key: JobId) -> JobId {
        self.identities.get(&key).copied().unwrap_or(key)
    }

    /// Whether the key is that of a job with another identity.
    pub(crate) fn is_other_key(&self, key: JobId) -> bool {
        self.identities.contains_key(&key)
    }

    /// The keys that jobs of this identity may have; the last one is the identity itself.
    pub(crate) fn keys(&self, identity: JobId) -> impl Iterator<Item = JobId> + '_ {
        let group = self.groups.get(&identity).into_iter();
        let others = group.flat_map(|group| group.keys.iter().copied());
        let own = (!self.is_other_key(identity)).then_some(identity);
        others.filter(move |key| *key != identity).chain(own)
    }

    /// The keys of the other jobs with the identity of this job.
    pub(crate) fn others(&self, key: JobId) -> impl Iterator<Item = JobId> + '_ {
        let group = self.groups.get(&self.identity(key)).into_iter();
        let keys = group.flat_map(|group| group.keys.iter().copied());
        keys.filter(move |other| *other != key)
    }

    /// Whether a job has or had namesakes, so that the numbers of its starts are shared.
    pub(crate) fn has_shared_attempts(&self, key: JobId) -> bool {
        !self.is_empty() && self.groups.contains_key(&self.identity(key))
    }

    /// No start under the name of a task of this job whose record was dropped has a higher number.
    pub(crate) fn attempt_floor(&self, key: JobId) -> Attempt {
        let group = self.groups.get(&self.identity(key));
        group.map_or(0, |group| group.attempt_floor)
    }

    /// Notes the number of a start under the identity of this job whose record is dropped.
    pub(crate) fn raise_attempt_floor(&mut self, key: JobId, attempt: Attempt) {
        if let Some(group) = self.groups.get_mut(&self.identity(key)) {
            group.attempt_floor = group.attempt_floor.max(attempt);
        }
    }

    /// The key of a further job of an identity.
    pub(crate) fn add(&mut self, identity: JobId, records: &BTreeMap<JobId, JobRecord>) -> JobId {
        let first = records.get(&identity);
        let group = self.groups.entry(identity).or_insert_with(|| Group {
            keys: first.map(|_| identity).into_iter().collect(),
            attempt_floor: first.map_or(0, JobRecord::highest_attempt),
        });
        let mut key = identity;
        while records.contains_key(&key) {
            key = mixed(key);
        }
        group.keys.insert(key);
        if key != identity {
            self.identities.insert(key, identity);
        }
        key
    }

    /// Drops the keys of jobs that are not recorded any more.
    pub(crate) fn retain_recorded(&mut self, records: &BTreeMap<JobId, JobRecord>) {
        self.groups.retain(|_, group| {
            group.keys.retain(|key| records.contains_key(key));
            !group.keys.is_empty()
        });
        self.identities.retain(|key, _| records.contains_key(key));
    }
}

/// Another key, by `SplitMix64`. It is not secret: a client that asks for it is refused.
fn mixed(key: JobId) -> JobId {
    let mut bits = key.0.wrapping_add(MIX_INCREMENT);
    bits = (bits ^ (bits >> 30)).wrapping_mul(MIX_MULTIPLIERS[0]);
    bits = (bits ^ (bits >> 27)).wrapping_mul(MIX_MULTIPLIERS[1]);
    JobId(bits ^ (bits >> 31))
}
