//! Who is seen to serve which volume, and what that gives each front where one of them is gone.
//!
//! A volume works through a set of fronts; its requests tell how many, not which. So a front's right to more is per volume,
//! from what the others said they serve. What it does not know of, it takes nothing of.

use crate::bits::Bits;
use lupinrack_policy::Micros;
use std::collections::BTreeMap;

/// The most fronts that are remembered for one volume; with more it is crowded in any case.
const FRONTS_MOST: usize = 16;
/// What a living front said is forgotten after this; what one that is gone said stays.
const SAID: Micros = 120_000_000;

/// How many times its even part a front may use of a volume that works through `hosts` fronts, `gone` of which surely use
/// nothing but their reserve: those that are left share out evenly what is free.
pub fn factor(hosts: f64, gone: f64, reserve: f64) -> f64 {
    if gone <= 0.0 || gone >= hosts {
        return 1.0;
    }
    1.0 + gone * (1.0 - reserve.clamp(0.0, 1.0)) / (hosts - gone)
}

#[derive(Clone, Debug, Default)]
struct Volume {
    /// Through how many fronts it works, where this front serves it.
    hosts: f64,
    /// When this front served it last.
    own: Option<Micros>,
    /// Which others serve it, and when they said so.
    others: Vec<(u16, Micros)>,
    /// More fronts than it works through were seen with it, at this moment.
    crowded: Option<Micros>,
}

/// What one front knows of who serves what.
#[derive(Clone, Debug)]
pub struct Serving {
    most: usize,
    volumes: BTreeMap<u64, Volume>,
    /// Where the next telling begins.
    cursor: u64,
}

impl Serving {
    /// Knows of nothing, and of this many volumes at the most.
    pub fn new(most: usize) -> Serving {
        Serving { most, volumes: BTreeMap::new(), cursor: 0 }
    }

    /// This front served a volume that works through this many fronts.
    pub fn own(&mut self, now: Micros, volume: u64, hosts: f64) {
        let room = self.room(now, volume);
        if let Some(v) = room.then(|| self.volumes.entry(volume).or_default()) {
            (v.hosts, v.own) = (v.hosts.max(hosts), Some(now));
        }
    }

    /// Another front says that it serves these.
    pub fn heard(&mut self, now: Micros, from: u16, volumes: &[u64]) {
        for volume in volumes {
            if !self.room(now, *volume) {
                continue;
            }
            let v = self.volumes.entry(*volume).or_default();
            match v.others.iter().position(|(i, _)| *i == from) {
                Some(i) => v.others[i].1 = now,
                None if v.others.len() < FRONTS_MOST => v.others.push((from, now)),
                None => v.crowded = Some(now),
            }
        }
    }

    /// Whether there is room for a volume; one that was not heard of for the longest makes way.
    fn room(&mut self, now: Micros, volume: u64) -> bool {
        if self.volumes.contains_key(&volume) || self.volumes.len() < self.most {
            return true;
        }
        let last = |v: &Volume| v.others.iter().map(|(_, at)| *at).chain(v.own).max().unwrap_or(0);
        let eldest = self.volumes.iter().min_by_key(|(_, v)| last(v)).map(|(k, v)| (*k, last(v)));
        match eldest {
            // One that is fresh stays: there is no room at all.
            Some((key, at)) if now - at > SAID => self.volumes.remove(&key).is_some(),
            _ => false,
        }
    }

    /// Forgets what living fronts have not said for long; what those that are gone said stays.
    pub fn forget(&mut self, now: Micros, present: &Bits) {
        self.volumes.retain(|_, v| {
            v.others.retain(|(i, at)| now - at <= SAID || !present.has(*i));
            v.own = v.own.filter(|at| now - at <= SAID);
            v.crowded = v.crowded.filter(|at| now - at <= SAID);
            v.own.is_some() || !v.others.is_empty()
        });
    }

    /// The next volumes to tell of, at most this many, round and round.
    pub fn tell(&mut self, most: usize) -> Vec<u64> {
        let own = |(k, v): (&u64, &Volume)| v.own.map(|_| *k);
        let mut told: Vec<u64> = self.volumes.range(self.cursor..).filter_map(own).take(most).collect();
        if told.len() < most {
            let before = self.volumes.range(..self.cursor).filter_map(own);
            let left = most - told.len();
            told.extend(before.take(left));
        }
        self.cursor = told.last().map_or(0, |v| v.wrapping_add(1));
        told
    }

    /// How many volumes this front serves.
    pub fn count(&self) -> usize {
        self.volumes.values().filter(|v| v.own.is_some()).count()
    }

    /// For each volume of this front that lost fronts: how many times its even part it may use.
    pub fn factors(&self, absent: &Bits, reserve: f64) -> Vec<(u64, f64)> {
        let mut factors = Vec::new();
        for (volume, v) in self.volumes.iter().filter(|(_, v)| v.own.is_some() && v.crowded.is_none()) {
            // More than it works through: its set is not what this front takes it for.
            if v.others.len() as f64 + 1.0 > v.hosts {
                continue;
            }
            let gone = v.others.iter().filter(|(i, _)| absent.has(*i)).count();
            if gone > 0 {
                factors.push((*volume, factor(v.hosts, gone as f64, reserve)));
            }
        }
        factors
    }
}
