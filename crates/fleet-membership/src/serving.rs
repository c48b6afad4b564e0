//! Who is seen to serve which volume, and what that gives each front where one of them is gone.
//!
//! A volume works through a set of fronts; its requests tell how many, not which. So a front's right to more is per volume,
//! from what the others said they serve. What it does not know of, it takes nothing of.
//!
//! Two fronts of one volume have to know of each other before either uses more than the reserve of it while some front is missing:
//! else one that is new to the volume would use its even part beside those who share out a dead one's. So each front tells what it
//! serves until every other has answered that it noted it, and acted on it. An answer counts for two rounds of telling at the
//! most, which is less than what was told is remembered for.

use crate::bits::Bits;
use crate::part::factor;
use lupinrack_policy::Micros;
use std::collections::BTreeMap;

/// The most fronts that are remembered for one volume; with more it is crowded in any case.
const FRONTS_MOST: usize = 16;
/// What a living front said is forgotten after this; what one that is gone said stays.
const SAID: Micros = 120_000_000;
/// A round of telling; answers count in it and in the next one.
const ROUND: Micros = 40_000_000;

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
    /// Who answered in this round, and in the last one.
    heard: (Bits, Bits),
}

/// What one front knows of who serves what.
#[derive(Clone, Debug)]
pub struct Serving {
    most: usize,
    volumes: BTreeMap<u64, Volume>,
    /// The round of telling, and when it began.
    round: (u8, Option<Micros>),
    /// Steps up with whatever changes the factors.
    version: u64,
}

impl Serving {
    /// Knows of nothing, and of this many volumes at the most.
    pub fn new(most: usize) -> Serving {
        Serving {
            most,
            volumes: BTreeMap::new(),
            round: (0, None),
            version: 0,
        }
    }

    /// This front served a volume that works through this many fronts.
    pub fn own(&mut self, now: Micros, volume: u64, hosts: f64) {
        let room = self.room(now, volume);
        if let Some(v) = room.then(|| self.volumes.entry(volume).or_default()) {
            let known = v.own.is_some() && v.hosts >= hosts;
            if v.own.is_none() {
                v.heard = Default::default();
            }
            (v.hosts, v.own) = (v.hosts.max(hosts), Some(now));
            self.version += u64::from(!known);
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
                Some(i) => {
                    v.others[i].1 = now;
                    continue;
                }
                None if v.others.len() < FRONTS_MOST => v.others.push((from, now)),
                None => v.crowded = Some(now),
            }
            self.version += 1;
        }
    }

    /// Whether there is room for a volume; one that was not heard of for the longest makes way.
    fn room(&mut self, now: Micros, volume: u64) -> bool {
        if self.volumes.contains_key(&volume) || self.volumes.len() < self.most {
            return true;
        }
        let last = |v: &Volume| {
            v.others
                .iter()
                .map(|(_, at)| *at)
                .chain(v.own)
                .max()
                .unwrap_or(0)
        };
        let eldest = self
            .volumes
            .iter()
            .min_by_key(|(_, v)| last(v))
            .map(|(k, v)| (*k, last(v)));
        match eldest {
            // One that is fresh stays: there is no room at all.
            Some((key, at)) if now - at > SAID => self.volumes.remove(&key).is_some(),
            _ => false,
        }
    }

    /// Which of these this front serves too, the first in the lowest bit.
    pub fn too(&self, volumes: &[u64]) -> u32 {
        let own = |v: &u64| self.volumes.get(v).is_some_and(|v| v.own.is_some());
        volumes
            .iter()
            .take(32)
            .enumerate()
            .fold(0, |all, (i, v)| all | u32::from(own(v)) << i)
    }

    /// Another front answers to what was told in a round: it noted it, and serves some of it too.
    pub fn answered(&mut self, now: Micros, from: u16, round: u8, volumes: &[u64], too: u32) {
        if round != self.round.0 {
            return;
        }
        for volume in volumes {
            if let Some(v) = self
                .volumes
                .get_mut(volume)
                .filter(|v| v.own.is_some() && !v.heard.0.has(from))
            {
                v.heard.0.insert(from);
                self.version += 1;
            }
        }
        let both: Vec<u64> = volumes
            .iter()
            .enumerate()
            .filter(|(i, _)| too >> i & 1 == 1)
            .map(|(_, v)| *v)
            .collect();
        self.heard(now, from, &both);
    }

    /// A front begins a new life: it remembers nothing of what it answered.
    pub fn reborn(&mut self, front: u16) {
        for v in self.volumes.values_mut() {
            v.heard.0.remove(front);
            v.heard.1.remove(front);
        }
        self.version += 1;
    }

    /// Forgets what living fronts have not said for long; what those that are gone said stays.
    pub fn forget(&mut self, now: Micros, present: &Bits) {
        let (round, began) = self.round;
        if began.is_none_or(|at| now - at >= ROUND) {
            self.round = (round.wrapping_add(1), Some(now));
            self.volumes
                .values_mut()
                .for_each(|v| v.heard = (Bits::default(), v.heard.0));
            self.version += 1;
        }
        let mut changed = false;
        self.volumes.retain(|_, v| {
            let before = (v.others.len(), v.own, v.crowded);
            v.others
                .retain(|(i, at)| now - at <= SAID || !present.has(*i));
            v.own = v.own.filter(|at| now - at <= SAID);
            v.crowded = v.crowded.filter(|at| now - at <= SAID);
            changed |= before != (v.others.len(), v.own, v.crowded);
            v.own.is_some() || !v.others.is_empty()
        });
        self.version += u64::from(changed);
    }

    /// Steps up with whatever changes the factors.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Volumes that a front has not answered to in this round, at most this many; and the round.
    pub fn tell(&self, to: u16, most: usize) -> (u8, Vec<u64>) {
        let untold =
            |(k, v): (&u64, &Volume)| (v.own.is_some() && !v.heard.0.has(to)).then_some(*k);
        (
            self.round.0,
            self.volumes.iter().filter_map(untold).take(most).collect(),
        )
    }

    /// How many volumes this front serves.
    pub fn count(&self) -> usize {
        self.volumes.values().filter(|v| v.own.is_some()).count()
    }

    /// For each volume of this front that all `present` others know it to serve: how many times its even part it may use.
    pub fn factors(&self, absent: &Bits, present: &Bits, reserve: f64) -> Vec<(u64, f64)> {
        let known = |v: &Volume| present.without(&v.heard.0.or(&v.heard.1)).is_empty();
        let own = self
            .volumes
            .iter()
            .filter(|(_, v)| v.own.is_some() && known(v));
        own.map(|(volume, v)| {
            // More than it works through: its set is not what this front takes it for.
            if v.crowded.is_some() || v.others.len() as f64 + 1.0 > v.hosts {
                return (*volume, 1.0);
            }
            let gone = v.others.iter().filter(|(i, _)| absent.has(*i)).count();
            (*volume, factor(v.hosts, gone as f64, reserve))
        })
        .collect()
    }
}
