//! The exchange of changes between fronts: the changes to send to the peers, and the changes received from them that the
//! authority has not confirmed yet.

use crate::datagram::{self, MAX_CHANGES};
use crate::protocol::{Change, Version};
use crate::token_bucket::TokenBucket;
use lupinrack_policy::{Micros, VolumeId};
use std::collections::{BTreeMap, HashMap};

/// How long changes are collected before a datagram is sent.
const BATCH_DELAY_US: Micros = 50_000;
/// Changes waiting to be sent. Beyond this limit the one with the oldest epoch is dropped.
const MAX_PENDING_CHANGES: usize = 1_024;
/// Changes tracked until the stream confirms them. Further ones are applied without tracking; if they are wrong, the
/// stream corrects them.
const MAX_UNCONFIRMED_CHANGES: usize = 1_024;
/// Volumes whose last fetch is tracked. Beyond this limit all are forgotten.
const MAX_TRACKED_FETCHES: usize = 200_000;

/// Changes to send to the peers: moves found by a node's rejection that the stream has not brought yet. A change is
/// dropped once the stream has brought it, because the peers receive the same stream.
#[derive(Debug)]
pub(crate) struct Outbox {
    enabled: bool,
    budget: TokenBucket,
    /// By volume and first key.
    pending: BTreeMap<(VolumeId, u64), Change>,
    /// When the first pending change was added.
    pending_since: Option<Micros>,
}

impl Outbox {
    pub(crate) fn new(now: Micros, enabled: bool, datagrams_per_s: f64) -> Outbox {
        Outbox {
            enabled,
            budget: TokenBucket::new(now, datagrams_per_s, datagrams_per_s.max(1.0)),
            pending: BTreeMap::new(),
            pending_since: None,
        }
    }

    /// Adds a change. Of two changes with the same volume and first key, the one with the later epoch is kept.
    pub(crate) fn add(&mut self, now: Micros, change: Change) {
        if !self.enabled {
            return;
        }
        self.pending_since = self.pending_since.or(Some(now));
        let kept = self
            .pending
            .entry((change.volume, change.first))
            .or_insert(change);
        if kept.epoch < change.epoch {
            *kept = change;
        }
        if self.pending.len() > MAX_PENDING_CHANGES {
            let oldest = self
                .pending
                .iter()
                .min_by_key(|(_, change)| change.epoch)
                .map(|(key, _)| *key);
            oldest.map(|key| self.pending.remove(&key));
        }
    }

    /// Drops the changes up to the epoch that the stream has reached.
    pub(crate) fn discard_up_to(&mut self, epoch: u64) {
        self.pending.retain(|_, change| change.epoch > epoch);
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Returns a datagram with pending changes if one is due and within the budget.
    pub(crate) fn next_datagram(&mut self, now: Micros, incarnation: u64) -> Option<Vec<u8>> {
        if self.pending.is_empty() {
            self.pending_since = None;
            return None;
        }
        if self
            .pending_since
            .is_none_or(|since| now < since + BATCH_DELAY_US)
            || !self.budget.try_take(now)
        {
            return None;
        }
        let mut changes = Vec::with_capacity(MAX_CHANGES);
        while let Some((_, change)) = (changes.len() < MAX_CHANGES)
            .then(|| self.pending.pop_first())
            .flatten()
        {
            changes.push(change);
        }
        Some(datagram::encode(incarnation, &changes))
    }

    /// When the next datagram is due.
    pub(crate) fn next_send_at(&mut self, now: Micros) -> Option<Micros> {
        let since = self.pending_since.filter(|_| !self.pending.is_empty())?;
        Some((since + BATCH_DELAY_US).max(self.budget.next_token_at(now)))
    }
}

/// Tracks which changes from peers the stream has not confirmed yet, and the last fetch of each volume.
#[derive(Debug, Default)]
pub(crate) struct ConfirmationTracker {
    /// When the change expires, its volume, and its epoch.
    unconfirmed: Vec<(Micros, VolumeId, u64)>,
    /// The time and version of the last fetch.
    fetches: HashMap<VolumeId, (Micros, Version)>,
}

impl ConfirmationTracker {
    pub(crate) fn add_unconfirmed(&mut self, expires_at: Micros, change: &Change) {
        if self.unconfirmed.len() < MAX_UNCONFIRMED_CHANGES {
            self.unconfirmed
                .push((expires_at, change.volume, change.epoch));
        }
    }

    /// The stream has reached an epoch: changes up to it are confirmed or overwritten.
    pub(crate) fn confirm_up_to(&mut self, epoch: u64) {
        self.unconfirmed.retain(|change| change.2 > epoch);
    }

    pub(crate) fn clear(&mut self) {
        self.unconfirmed.clear();
        self.fetches.clear();
    }

    pub(crate) fn next_expiry(&self) -> Option<Micros> {
        self.unconfirmed.iter().map(|change| change.0).min()
    }

    /// Removes the expired changes and returns their volumes, which have to be fetched, each with the epoch from which
    /// on a fetch is accepted (any). While polls fail, the peers may know more than this front: nothing is returned, and
    /// the expiry is extended.
    pub(crate) fn take_expired(
        &mut self,
        now: Micros,
        polls_succeed: bool,
    ) -> Vec<(VolumeId, u64)> {
        let expired: Vec<_> = self
            .unconfirmed
            .iter()
            .filter(|change| change.0 <= now)
            .map(|change| (change.1, 0))
            .collect();
        match polls_succeed {
            true => self.unconfirmed.retain(|change| change.0 > now),
            false => self
                .unconfirmed
                .iter_mut()
                .filter(|change| change.0 <= now)
                .for_each(|change| change.0 = now + 1_000_000),
        }
        if polls_succeed {
            expired
        } else {
            Vec::new()
        }
    }

    pub(crate) fn record_fetch(&mut self, now: Micros, volume: VolumeId, version: Version) {
        if self.fetches.len() >= MAX_TRACKED_FETCHES {
            self.fetches.clear();
        }
        self.fetches.insert(volume, (now, version));
    }

    pub(crate) fn fetched_at(&self, volume: VolumeId) -> Option<Micros> {
        self.fetches.get(&volume).map(|fetch| fetch.0)
    }

    pub(crate) fn fetched_version(&self, volume: VolumeId) -> Option<Version> {
        self.fetches.get(&volume).map(|fetch| fetch.1)
    }
}
