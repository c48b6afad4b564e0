//! The links between machines.

use fastrand::Rng;
use std::collections::BTreeSet;

/// Two groups of machines without links between them, and broken links within the groups.
#[derive(Clone)]
pub struct Links {
    groups: Vec<bool>,
    broken: Option<(usize, usize)>,
    /// Links that lose every message, each from one machine to another.
    lost: BTreeSet<(usize, usize)>,
}

impl Links {
    pub fn whole(machines: usize) -> Links {
        Links {
            groups: vec![true; machines],
            broken: None,
            lost: BTreeSet::new(),
        }
    }

    /// Splits the machines into two groups at random.
    pub fn cut(&mut self, rng: &mut Rng) {
        for group in &mut self.groups {
            *group = rng.bool();
        }
    }

    /// Partitions one machine from all others.
    pub fn isolate(&mut self, machine: usize) {
        self.heal();
        self.groups[machine] = false;
    }

    /// Breaks the link between two machines; both reach all others.
    pub fn break_one(&mut self, one: usize, other: usize) {
        self.broken = Some((one, other));
    }

    /// Loses all messages from one machine to another.
    pub fn lose(&mut self, from: usize, to: usize) {
        self.lost.insert((from, to));
    }

    pub fn heal(&mut self) {
        *self = Links::whole(self.groups.len());
    }

    pub fn connect(&self, from: usize, to: usize) -> bool {
        let broken = [Some((from, to)), Some((to, from))].contains(&self.broken);
        self.groups[from] == self.groups[to] && !broken && !self.lost.contains(&(from, to))
    }
}
