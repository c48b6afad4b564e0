//! The record of accepted changes, by which retries are recognized.
//!
//! At most one change is accepted on each version, so changes are recorded under their base
//! version. A retry of a change is acknowledged as long as the change is in the record. A change on
//! a base version whose record was removed is answered with neither success nor refusal, since a
//! refusal would be false if the change was accepted.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use std::collections::BTreeMap;

/// The maximum number of recorded changes.
pub const MAX_ACCEPTED_CHANGES: usize = 2048;

/// Bytes of a digest, the default output length of BLAKE3.
pub const DIGEST_BYTES: usize = blake3::OUT_LEN;

/// The version before the first configuration. The record of the change on it is never removed, so
/// a first configuration always gets a definite answer.
const NO_VERSION: u64 = 0;

/// The byte before the body in the digest input of a `PUT`.
const REPLACEMENT_TAG: u8 = 0;

/// The byte before the body in the digest input of a `PATCH`.
const PATCH_TAG: u8 = 1;

/// Identifies a change: a digest of its kind, its base version and the bytes of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ChangeDigest([u8; DIGEST_BYTES]);

impl ChangeDigest {
    /// The digest of this change. Kind and version have a fixed length, so different changes are
    /// digested from different bytes.
    pub fn of(change: &ConfigurationChange) -> Self {
        let (tag, text) = match &change.body {
            ConfigurationBody::Replacement(text) => (REPLACEMENT_TAG, text),
            ConfigurationBody::Patch(text) => (PATCH_TAG, text),
        };
        let mut hasher = blake3::Hasher::new();
        hasher
            .update(&[tag])
            .update(&change.if_match.to_le_bytes())
            .update(text.as_bytes());
        Self(hasher.finalize().into())
    }
}

/// Whether a change was accepted in the past.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PastChange {
    /// It was accepted.
    Accepted,
    /// It was not accepted.
    NotAccepted,
    /// Its base version is so old that the record does not reach back to it.
    Forgotten,
}

/// The changes that were accepted, except for the oldest.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AcceptedChanges {
    /// By base version.
    by_base: BTreeMap<u64, ChangeDigest>,
    /// The highest base version whose record was removed; 0 for none.
    forgotten_up_to: u64,
}

impl AcceptedChanges {
    /// The number of recorded changes.
    pub fn len(&self) -> usize {
        self.by_base.len()
    }

    /// Whether no change was accepted yet.
    pub fn is_empty(&self) -> bool {
        self.by_base.is_empty()
    }

    /// What is known of a change on the version `base`.
    pub(crate) fn find(&self, base: u64, digest: &ChangeDigest) -> PastChange {
        match self.by_base.get(&base) {
            Some(accepted) if accepted == digest => PastChange::Accepted,
            None if base != NO_VERSION && base <= self.forgotten_up_to => PastChange::Forgotten,
            Some(_) | None => PastChange::NotAccepted,
        }
    }

    /// Records that a change on the version `base` was accepted.
    pub(crate) fn record(&mut self, base: u64, digest: ChangeDigest) {
        self.by_base.insert(base, digest);
        while self.by_base.len() > MAX_ACCEPTED_CHANGES {
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
