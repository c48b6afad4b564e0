//! The record of configuration changes that were taken.
//!
//! At most one change is taken on each version, so the record is kept by the version that a change builds on. Whoever
//! sends an order again is acknowledged as long as it is remembered; of what is forgotten nobody is told anything
//! certain, since a refusal of an order that was taken would be false.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use std::collections::BTreeMap;

/// How many changes of the configuration are remembered as taken.
pub const CHANGES_REMEMBERED: usize = 2048;

/// Bytes of a digest: all that BLAKE3 gives by default.
pub const DIGEST_BYTES: usize = blake3::OUT_LEN;

/// The version before the first configuration. The change that builds on it is never forgotten, so whoever builds on
/// nothing always gets a clear answer.
const NO_VERSION: u64 = 0;

/// The digest of a change: of its kind, the version that it builds on, and the bytes of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ChangeDigest([u8; DIGEST_BYTES]);

impl ChangeDigest {
    /// Of this change. Kind and version have a fixed length, so no two changes are digested from the same bytes.
    pub fn of(change: &ConfigurationChange) -> ChangeDigest {
        let (kind, text) = match &change.body {
            ConfigurationBody::Replacement(text) => (0u8, text),
            ConfigurationBody::Patch(text) => (1u8, text),
        };
        let mut hasher = blake3::Hasher::new();
        hasher
            .update(&[kind])
            .update(&change.if_match.to_le_bytes())
            .update(text.as_bytes());
        ChangeDigest(hasher.finalize().into())
    }
}

/// What the record says of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recollection {
    /// It was taken.
    Taken,
    /// It was not taken.
    NotTaken,
    /// It builds on a version so old that the record does not go back to it.
    Forgotten,
}

/// The changes that were taken, the oldest of them forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TakenChanges {
    /// By the version that each builds on.
    by_base: BTreeMap<u64, ChangeDigest>,
    /// The newest version of which it is forgotten which change built on it; 0 for none.
    forgotten_up_to: u64,
}

impl TakenChanges {
    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.by_base.len()
    }

    /// Whether none was taken yet.
    pub fn is_empty(&self) -> bool {
        self.by_base.is_empty()
    }

    /// What is known of a change that builds on `base`.
    pub(crate) fn recall(&self, base: u64, digest: &ChangeDigest) -> Recollection {
        match self.by_base.get(&base) {
            Some(taken) if taken == digest => Recollection::Taken,
            Some(_) => Recollection::NotTaken,
            None if base != NO_VERSION && base <= self.forgotten_up_to => Recollection::Forgotten,
            None => Recollection::NotTaken,
        }
    }

    /// Notes that a change on `base` was taken.
    pub(crate) fn remember(&mut self, base: u64, digest: ChangeDigest) {
        self.by_base.insert(base, digest);
        while self.by_base.len() > CHANGES_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .by_base
            .range(NO_VERSION + 1..)
            .next()
            .map(|(base, _)| *base);
        if let Some(base) = oldest {
            self.by_base.remove(&base);
            self.forgotten_up_to = base;
        }
    }
}
