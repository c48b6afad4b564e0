//! Which fronts serve which volume, and what that gives a front while one of them is gone.
//!
//! The requests of a volume are spread over a set of fronts. A request tells how many they are, not which. A front may therefore
//! use more than its even share of a volume only on evidence: what the other fronts report that they serve. Where it has no
//! evidence, it takes nothing over.
//!
//! Two fronts of one volume have to know of each other before either uses more than the reserve of it while some front is
//! missing. Otherwise a front that is new to the volume would use its even share beside those that took over a dead front's.
//! So each front sends its volumes until every other one has acknowledged that it recorded them and acts on that. An
//! acknowledgement counts for at most two rounds, which is shorter than the time for which reports are kept.

use crate::front_set::FrontSet;
use crate::share::share_factor;
use lupinrack_policy::Micros;
use std::collections::BTreeMap;

/// Other fronts recorded for one volume. A volume with more is over its set in any case.
const MAX_FRONTS_PER_VOLUME: usize = 16;
/// For how long the report of a present front is kept. Reports of absent fronts stay.
const REPORT_RETENTION: Micros = 120_000_000;
/// The length of a round. An acknowledgement counts in its round and in the next one.
const ROUND_DURATION: Micros = 40_000_000;

#[derive(Clone, Debug, Default)]
struct Volume {
    /// Over how many fronts its requests are spread, if this front serves it.
    hosts: f64,
    /// When this front served it last.
    served_here_at: Option<Micros>,
    /// Which other fronts serve it, and when they reported it.
    others: Vec<(u16, Micros)>,
    /// When more fronts than can be recorded were last seen to serve it.
    overfull_at: Option<Micros>,
    /// The fronts that acknowledged it in this round, and in the previous one.
    acknowledged_by: (FrontSet, FrontSet),
}

/// The evidence of one front on who serves which volume.
#[derive(Clone, Debug)]
pub struct ServedVolumes {
    max_volumes: usize,
    volumes: BTreeMap<u64, Volume>,
    /// The number of the current round, and when it began.
    round: (u8, Option<Micros>),
    /// Increases with every change that may change the factors.
    version: u64,
}

impl ServedVolumes {
    /// No evidence yet; it will be kept for at most `max_volumes` volumes.
    pub fn new(max_volumes: usize) -> ServedVolumes {
        ServedVolumes {
            max_volumes,
            volumes: BTreeMap::new(),
            round: (0, None),
            version: 0,
        }
    }

    /// Records that this front served a volume whose requests are spread over `hosts` fronts.
    pub fn record_own(&mut self, now: Micros, volume: u64, hosts: f64) {
        let has_capacity = self.ensure_capacity(now, volume);
        if let Some(v) = has_capacity.then(|| self.volumes.entry(volume).or_default()) {
            let known = v.served_here_at.is_some() && v.hosts >= hosts;
            if v.served_here_at.is_none() {
                v.acknowledged_by = Default::default();
            }
            (v.hosts, v.served_here_at) = (v.hosts.max(hosts), Some(now));
            self.version += u64::from(!known);
        }
    }

    /// Records that another front reports to serve these volumes.
    pub fn record_others(&mut self, now: Micros, from: u16, volumes: &[u64]) {
        for volume in volumes {
            if !self.ensure_capacity(now, *volume) {
                continue;
            }
            let v = self.volumes.entry(*volume).or_default();
            match v.others.iter().position(|(i, _)| *i == from) {
                Some(i) => {
                    v.others[i].1 = now;
                    continue;
                }
                None if v.others.len() < MAX_FRONTS_PER_VOLUME => v.others.push((from, now)),
                None => v.overfull_at = Some(now),
            }
            self.version += 1;
        }
    }

    /// Whether a volume is recorded or may be; the volume with the oldest evidence is dropped for it if that evidence is
    /// outdated.
    fn ensure_capacity(&mut self, now: Micros, volume: u64) -> bool {
        if self.volumes.contains_key(&volume) || self.volumes.len() < self.max_volumes {
            return true;
        }
        let last_seen = |v: &Volume| {
            v.others
                .iter()
                .map(|(_, at)| *at)
                .chain(v.served_here_at)
                .max()
                .unwrap_or(0)
        };
        let oldest = self
            .volumes
            .iter()
            .min_by_key(|(_, v)| last_seen(v))
            .map(|(volume, v)| (*volume, last_seen(v)));
        match oldest {
            // Evidence that is not outdated stays, and the new volume is not recorded.
            Some((oldest_volume, at)) if now - at > REPORT_RETENTION => {
                self.volumes.remove(&oldest_volume).is_some()
            }
            _ => false,
        }
    }

    /// Which of these volumes this front serves as well, as a bit mask; the first volume is the lowest bit.
    pub fn also_served(&self, volumes: &[u64]) -> u32 {
        let served_here = |volume: &u64| {
            self.volumes
                .get(volume)
                .is_some_and(|v| v.served_here_at.is_some())
        };
        volumes
            .iter()
            .take(32)
            .enumerate()
            .fold(0, |mask, (i, volume)| {
                mask | u32::from(served_here(volume)) << i
            })
    }

    /// Another front acknowledged that it recorded these volumes; `also_served` is the mask of those that it serves as well.
    /// An acknowledgement of an earlier round is ignored.
    pub fn on_ack(&mut self, now: Micros, from: u16, round: u8, volumes: &[u64], also_served: u32) {
        if round != self.round.0 {
            return;
        }
        for volume in volumes {
            if let Some(v) = self
                .volumes
                .get_mut(volume)
                .filter(|v| v.served_here_at.is_some() && !v.acknowledged_by.0.contains(from))
            {
                v.acknowledged_by.0.insert(from);
                self.version += 1;
            }
        }
        let served_by_both: Vec<u64> = volumes
            .iter()
            .enumerate()
            .filter(|(i, _)| also_served >> i & 1 == 1)
            .map(|(_, volume)| *volume)
            .collect();
        self.record_others(now, from, &served_by_both);
    }

    /// A front restarted: it has lost what it acknowledged.
    pub fn on_restart(&mut self, front: u16) {
        for v in self.volumes.values_mut() {
            v.acknowledged_by.0.remove(front);
            v.acknowledged_by.1.remove(front);
        }
        self.version += 1;
    }

    /// Begins a new round if one is due, and removes outdated reports. Reports of fronts that are not present stay.
    pub fn expire(&mut self, now: Micros, present: &FrontSet) {
        let (round, began_at) = self.round;
        if began_at.is_none_or(|at| now - at >= ROUND_DURATION) {
            self.round = (round.wrapping_add(1), Some(now));
            self.volumes
                .values_mut()
                .for_each(|v| v.acknowledged_by = (FrontSet::default(), v.acknowledged_by.0));
            self.version += 1;
        }
        let mut changed = false;
        self.volumes.retain(|_, v| {
            let before = (v.others.len(), v.served_here_at, v.overfull_at);
            v.others
                .retain(|(i, at)| now - at <= REPORT_RETENTION || !present.contains(*i));
            v.served_here_at = v.served_here_at.filter(|at| now - at <= REPORT_RETENTION);
            v.overfull_at = v.overfull_at.filter(|at| now - at <= REPORT_RETENTION);
            changed |= before != (v.others.len(), v.served_here_at, v.overfull_at);
            v.served_here_at.is_some() || !v.others.is_empty()
        });
        self.version += u64::from(changed);
    }

    /// A counter that increases with every change that may change the factors.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The current round, and at most `max_count` own volumes that a front has not acknowledged in it.
    pub fn unacknowledged(&self, by: u16, max_count: usize) -> (u8, Vec<u64>) {
        let unacknowledged = |(volume, v): (&u64, &Volume)| {
            (v.served_here_at.is_some() && !v.acknowledged_by.0.contains(by)).then_some(*volume)
        };
        (
            self.round.0,
            self.volumes
                .iter()
                .filter_map(unacknowledged)
                .take(max_count)
                .collect(),
        )
    }

    /// The number of volumes that this front serves.
    pub fn own_count(&self) -> usize {
        self.volumes
            .values()
            .filter(|v| v.served_here_at.is_some())
            .count()
    }

    /// For each own volume that all `present` other fronts acknowledged: how many times its even share this front may use.
    pub fn factors(&self, absent: &FrontSet, present: &FrontSet, reserve: f64) -> Vec<(u64, f64)> {
        let acknowledged = |v: &Volume| {
            present
                .difference(&v.acknowledged_by.0.union(&v.acknowledged_by.1))
                .is_empty()
        };
        let own = self
            .volumes
            .iter()
            .filter(|(_, v)| v.served_here_at.is_some() && acknowledged(v));
        own.map(|(volume, v)| {
            // More fronts serve it than its requests are spread over, so the recorded set is wrong: nothing is taken over.
            if v.overfull_at.is_some() || v.others.len() as f64 + 1.0 > v.hosts {
                return (*volume, 1.0);
            }
            let gone = v.others.iter().filter(|(i, _)| absent.contains(*i)).count();
            (*volume, share_factor(v.hosts, gone as f64, reserve))
        })
        .collect()
    }
}
