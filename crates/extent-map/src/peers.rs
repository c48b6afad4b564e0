//! What fronts tell each other: moves that a wrong turn showed and the stream has not brought yet, and what is to be
//! thought of those that were heard.

use crate::budget::Budget;
use crate::datagram::{self, MOST};
use crate::words::{Change, Version};
use lupinrack_policy::{Micros, VolumeId};
use std::collections::{BTreeMap, HashMap};

/// How long moves are gathered before they are told.
const GATHER: Micros = 50_000;
/// Moves that wait; beyond it the oldest epoch makes way.
const WAITING_MOST: usize = 1_024;
/// Moves that were heard and wait for the stream; further ones are applied all the same, and the stream corrects them.
const UNCONFIRMED_MOST: usize = 1_024;
/// Volumes of which the last fetch is remembered.
const FETCHED_MOST: usize = 200_000;

/// Moves to be told. What the stream has brought meanwhile is dropped: it has told the peers, too.
#[derive(Debug)]
pub(crate) struct Outbox {
    on: bool,
    budget: Budget,
    waiting: BTreeMap<(VolumeId, u64), Change>,
    since: Option<Micros>,
}

impl Outbox {
    pub(crate) fn new(now: Micros, on: bool, rate: f64) -> Outbox {
        Outbox {
            on,
            budget: Budget::new(now, rate, rate.max(1.0)),
            waiting: BTreeMap::new(),
            since: None,
        }
    }

    /// Takes a move in; of two on one range the later counts.
    pub(crate) fn add(&mut self, now: Micros, change: Change) {
        if !self.on {
            return;
        }
        self.since = self.since.or(Some(now));
        let waits = self
            .waiting
            .entry((change.volume, change.first))
            .or_insert(change);
        if waits.epoch < change.epoch {
            *waits = change;
        }
        if self.waiting.len() > WAITING_MOST {
            let oldest = self
                .waiting
                .iter()
                .min_by_key(|(_, c)| c.epoch)
                .map(|(at, _)| *at);
            oldest.map(|at| self.waiting.remove(&at));
        }
    }

    pub(crate) fn reached(&mut self, epoch: u64) {
        self.waiting.retain(|_, c| c.epoch > epoch);
    }

    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// The next datagram, where one is due and within the budget.
    pub(crate) fn next(&mut self, now: Micros, incarnation: u64) -> Option<Vec<u8>> {
        if self.waiting.is_empty() {
            self.since = None;
            return None;
        }
        if self.since.is_none_or(|s| now < s + GATHER) || !self.budget.take(now) {
            return None;
        }
        let mut changes = Vec::with_capacity(MOST);
        while let Some((_, c)) = (changes.len() < MOST)
            .then(|| self.waiting.pop_first())
            .flatten()
        {
            changes.push(c);
        }
        Some(datagram::encode(incarnation, &changes))
    }

    pub(crate) fn due(&mut self, now: Micros) -> Option<Micros> {
        let since = self.since.filter(|_| !self.waiting.is_empty())?;
        Some((since + GATHER).max(self.budget.next(now)))
    }
}

/// What was heard from peers and the stream has not reached yet, and what was fetched when.
#[derive(Debug, Default)]
pub(crate) struct Provisional {
    heard: Vec<(Micros, VolumeId, u64)>,
    fetched: HashMap<VolumeId, (Micros, Version)>,
}

impl Provisional {
    pub(crate) fn add(&mut self, until: Micros, c: &Change) {
        if self.heard.len() < UNCONFIRMED_MOST {
            self.heard.push((until, c.volume, c.epoch));
        }
    }

    /// The stream has come to this epoch: what was heard of it or before is superseded.
    pub(crate) fn reached(&mut self, epoch: u64) {
        self.heard.retain(|h| h.2 > epoch);
    }

    pub(crate) fn clear(&mut self) {
        self.heard.clear();
        self.fetched.clear();
    }

    pub(crate) fn due(&self) -> Option<Micros> {
        self.heard.iter().map(|h| h.0).min()
    }

    /// Volumes with something that was never confirmed, where the stream is well: they are to be fetched anew.
    pub(crate) fn expired(&mut self, now: Micros, well: bool) -> Vec<(VolumeId, u64)> {
        let late: Vec<_> = self
            .heard
            .iter()
            .filter(|h| h.0 <= now)
            .map(|h| (h.1, 0))
            .collect();
        match well {
            true => self.heard.retain(|h| h.0 > now),
            // While the authority is silent peers may well be right: they are asked about again later.
            false => self
                .heard
                .iter_mut()
                .filter(|h| h.0 <= now)
                .for_each(|h| h.0 = now + 1_000_000),
        }
        if well {
            late
        } else {
            Vec::new()
        }
    }

    pub(crate) fn confirmed(&mut self, now: Micros, volume: VolumeId, version: Version) {
        if self.fetched.len() >= FETCHED_MOST {
            self.fetched.clear();
        }
        self.fetched.insert(volume, (now, version));
    }

    pub(crate) fn fetched(&self, volume: VolumeId) -> Option<Micros> {
        self.fetched.get(&volume).map(|f| f.0)
    }

    pub(crate) fn version(&self, volume: VolumeId) -> Option<Version> {
        self.fetched.get(&volume).map(|f| f.1)
    }
}
