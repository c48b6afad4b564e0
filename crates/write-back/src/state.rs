//! What the records say of each write: what may be done with it now.
//!
//! The repeat window is judged by time that also passes while the program is down, within one boot of the machine. Over
//! a boot only the wall clock is left, and that may have been set: then every window counts as over, which costs a
//! question to the node and never a second run.

use crate::record::{End, Moment, Record, Taken, WriteId};
use lupinrack_policy::Micros;
use std::collections::BTreeMap;

/// Part of the window (in tenths) in which a repeat is sent; the rest covers the way.
const WINDOW_TENTHS: Micros = 9;

/// An attempt at a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tried {
    /// Its number.
    pub attempt: u16,
    /// The node's name.
    pub node: String,
    /// The shard it held.
    pub shard: u32,
    /// When it was about to be sent.
    pub at: Moment,
    /// How it ended, where that is known.
    pub end: Option<End>,
}

/// A write that is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// What it is.
    pub taken: Taken,
    /// The sequence of its record: the log is needed from there on.
    pub sequence: u64,
    /// Its attempts, in order.
    pub tried: Vec<Tried>,
}

/// What may be done with a write after a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It provably never ran: it may be sent at any time, anywhere.
    NeverSent,
    /// A node has it: it only remains to be settled.
    Answered,
    /// It may have run, and the nodes of this shard still drop its repeat: it may be sent again, to them only.
    InWindow {
        /// The shard.
        shard: u32,
        /// For how long, in microseconds.
        left: Micros,
    },
    /// It may have run and its repeat is dropped no more: these nodes are asked first, by a read of the object, and it
    /// is sent only where it is absent from all of them.
    PastWindow {
        /// The names of the nodes that may have run it.
        nodes: Vec<String>,
    },
}

/// All writes that are not settled.
#[derive(Clone, Debug, Default)]
pub struct Book {
    writes: BTreeMap<WriteId, Pending>,
    /// The highest number that was ever given, so that none is given twice.
    last: WriteId,
}

impl Book {
    /// Takes a record in, in the order of the log.
    pub fn apply(&mut self, sequence: u64, record: &Record) {
        match record {
            Record::Taken(taken) => {
                self.last = self.last.max(taken.write);
                let pending = Pending {
                    taken: taken.clone(),
                    sequence,
                    tried: Vec::new(),
                };
                self.writes.insert(taken.write, pending);
            }
            Record::Attempt {
                write,
                attempt,
                node,
                shard,
                at,
            } => {
                if let Some(w) = self.writes.get_mut(write) {
                    let (node, shard) = (node.clone(), *shard);
                    w.tried.push(Tried {
                        attempt: *attempt,
                        node,
                        shard,
                        at: *at,
                        end: None,
                    });
                }
            }
            Record::Ended {
                write,
                attempt,
                end,
            } => {
                let tried = self.writes.get_mut(write).map(|w| &mut w.tried);
                let tried = tried.and_then(|t| t.iter_mut().find(|t| t.attempt == *attempt));
                // The first word on an attempt stands, but that a node has it is always believed.
                if let Some(t) = tried.filter(|t| t.end.is_none() || *end == End::Held) {
                    t.end = Some(*end);
                }
            }
            Record::Settled(write) => drop(self.writes.remove(write)),
            Record::Barrier { .. } | Record::Flush { .. } => {}
        }
    }

    /// Every node that may have run a write was asked, and none has it: none of its attempts ran.
    pub fn absent(&mut self, write: WriteId) {
        if let Some(w) = self.writes.get_mut(&write) {
            w.tried.iter_mut().for_each(|t| t.end = Some(End::NeverRan));
        }
    }

    /// The writes that are not settled, in the order taken.
    pub fn pending(&self) -> impl Iterator<Item = &Pending> {
        self.writes.values()
    }

    /// A number that was never given.
    pub fn next(&self) -> WriteId {
        WriteId(self.last.0 + 1)
    }

    /// The sequence from which on the log is needed; none: nothing is pending.
    pub fn needed(&self) -> Option<u64> {
        self.writes.values().map(|w| w.sequence).min()
    }
}

impl Pending {
    /// What may be done with it at `now`, with the repeat window of its class.
    pub fn standing(&self, now: Moment, window: Micros) -> Standing {
        if self.tried.iter().any(|t| t.end == Some(End::Held)) {
            return Standing::Answered;
        }
        let may: Vec<&Tried> = self
            .tried
            .iter()
            .filter(|t| t.end != Some(End::NeverRan))
            .collect();
        let Some(first) = may.first() else {
            return Standing::NeverSent;
        };
        let ago = now.since_boot - first.at.since_boot;
        let left = window * WINDOW_TENTHS / 10 - ago;
        let one_shard = may.iter().all(|t| t.shard == first.shard);
        if now.boot == first.at.boot && ago >= 0 && left > 0 && one_shard {
            return Standing::InWindow {
                shard: first.shard,
                left,
            };
        }
        let mut nodes: Vec<String> = may.iter().map(|t| t.node.clone()).collect();
        nodes.sort_unstable();
        nodes.dedup();
        Standing::PastWindow { nodes }
    }
}
