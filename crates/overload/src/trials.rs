//! One budget for trials: how often a node that does not answer is tried, by all fronts together.
//!
//! Each front that holds a node for silent grants itself trials of it out of its part of the fleet's budget ([`TokenBucket`]), so their sum
//! does not grow with the fleet, and what dead fronts had goes to the living by their leases. A front that hears nobody has its reserve
//! of the budget: its own small pace. Whoever sees the node answer tells all others, once each and again for what may be lost;
//! they use it again, carefully, as if they had seen it themselves.
//!
//! A word that a node answers is believed for a node that was silent before it was seen to answer, and of one front about one
//! node not again for a while that doubles each time: a front that alone reaches a node, or that lies, costs the others a bounded
//! number of attempts.

use crate::config::Section;
use lupinrack_fleet::Standing;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::share::{FleetLimit, TokenBucket};
use lupinrack_peer_transport::frame::{Reader, Writer};
use lupinrack_policy::Micros;
use std::collections::{BTreeMap, VecDeque};

/// How long a grant may wait for a request to use it.
const GRANT: Micros = 400_000;
/// Silent nodes that are kept in mind.
const NODES_MOST: usize = 1024;
/// Nodes that answer in one datagram.
const TOLD_MOST: usize = 16;
/// Answers that are still to be told.
const TELLING_MOST: usize = 256;
/// How often each is told to everybody, and the wait between.
const ROUNDS: u8 = 3;
const ROUND: Micros = 60_000;
/// Fronts told in one step.
const FAN: usize = 32;
/// An answer that is older than this is not told any more.
const OLD: Micros = 3_000_000;
/// For how long one front is not believed about one node again, first and last.
const DOUBT_FIRST: Micros = 2_000_000;
const DOUBT_LAST: Micros = 60_000_000;
/// Pairs of a front and a node that are doubted.
const DOUBTS_MOST: usize = 4096;

/// A node: a hash of its name, the same at all fronts.
pub type NodeHash = u64;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// The node may be tried once, until this moment.
    Grant(NodeHash, Micros),
    /// It answers again, at another front.
    Back(NodeHash),
    /// To the same machine of a front.
    Say(u16, Vec<u8>),
}

/// What was counted, where it happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Trials granted.
    pub granted: u64,
    /// Answers seen here and told.
    pub told: u64,
    /// Answers that others told and that were believed.
    pub believed: u64,
    /// Those that were not: late, doubted, or of a node that is not silent here.
    pub passed_over: u64,
}

struct Silent {
    since: Micros,
    purse: TokenBucket,
}

/// An answer that is told: which node, when it was seen, who is still to hear of it in this round, and rounds to come.
struct Telling {
    node: NodeHash,
    seen: Micros,
    to: FrontSet,
    rounds: u8,
    at: Micros,
}

/// One front's part of it.
pub struct Trials {
    per_s: f64,
    silent: BTreeMap<NodeHash, Silent>,
    /// What others told, and this front has not seen yet: it is not told on.
    heard: BTreeMap<NodeHash, Micros>,
    telling: VecDeque<Telling>,
    /// Until when a front is not believed about a node, and for how long the next time.
    doubts: BTreeMap<(u16, NodeHash), (Micros, Micros)>,
    counts: Counts,
}

impl Trials {
    /// Knows of nothing.
    pub fn new(section: &Section) -> Trials {
        Trials {
            per_s: section.trials_per_s,
            silent: BTreeMap::new(),
            heard: BTreeMap::new(),
            telling: VecDeque::new(),
            doubts: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The whole of one node's trials. A trial is one unit, and a front that has its reserve alone is to gather one in time.
    fn whole(&self, standing: &Standing) -> FleetLimit {
        let least = standing.share.reserve.max(0.01);
        FleetLimit {
            per_s: self.per_s,
            burst: f64::from(standing.fronts) / least,
            fronts: standing.fronts,
        }
    }

    /// Takes the nodes that do not answer here now, and those that said something since the last step, and carries on: grants what is
    /// due, tells who answers again.
    pub fn step(
        &mut self,
        now: Micros,
        silent: &[NodeHash],
        answered: &[NodeHash],
        standing: &Standing,
        out: &mut Vec<Act>,
    ) {
        let over: Vec<NodeHash> = self
            .silent
            .keys()
            .filter(|n| !silent.contains(n))
            .copied()
            .collect();
        for node in over {
            self.silent.remove(&node);
            // What was heard from another is not news, nor that a node has left the list or starts anew.
            let news = self.heard.remove(&node).is_none() && answered.contains(&node);
            if news && self.telling.len() < TELLING_MOST {
                self.counts.told += 1;
                let to = others(standing);
                self.telling.push_back(Telling {
                    node,
                    seen: now,
                    to,
                    rounds: ROUNDS,
                    at: now,
                });
            }
        }
        let whole = self.whole(standing);
        for node in silent {
            if !self.silent.contains_key(node) && self.silent.len() < NODES_MOST {
                let purse = TokenBucket::new(now, whole, standing.share);
                self.silent.insert(*node, Silent { since: now, purse });
            }
        }
        for (node, s) in &mut self.silent {
            s.purse.resize(now, whole);
            // Checked in the moment of the grant, by the share as it is then; the grant itself is short.
            if s.purse.try_take(now, &standing.share, 1.0) {
                self.counts.granted += 1;
                // What a lease gave is used while it lasts, or not at all.
                let until = if now < standing.share.valid_until {
                    standing.share.valid_until
                } else {
                    Micros::MAX
                };
                out.push(Act::Grant(*node, until.min(now + GRANT)));
            }
        }
        self.heard.retain(|_, at| now - *at < OLD);
        self.doubts.retain(|_, (until, wait)| now < *until + *wait);
        self.tell(now, standing, out);
    }

    fn tell(&mut self, now: Micros, standing: &Standing, out: &mut Vec<Act>) {
        self.telling
            .retain(|t| now - t.seen < OLD && (t.rounds > 1 || !t.to.is_empty()));
        for t in self
            .telling
            .iter_mut()
            .filter(|t| t.to.is_empty() && now - t.at >= ROUND)
        {
            (t.to, t.rounds, t.at) = (others(standing), t.rounds - 1, now);
        }
        for _ in 0..FAN {
            let Some(to) = self.telling.iter().find_map(|t| t.to.iter().next()) else {
                return;
            };
            let mut w = Writer(vec![1, 0]);
            for t in self
                .telling
                .iter_mut()
                .filter(|t| t.to.contains(to))
                .take(TOLD_MOST)
            {
                t.to.remove(to);
                w.put(t.node.to_le_bytes());
                w.put(
                    u32::try_from((now - t.seen) / 1000)
                        .unwrap_or(u32::MAX)
                        .to_le_bytes(),
                );
                w.0[1] += 1;
            }
            out.push(Act::Say(to, w.0));
        }
    }

    /// Takes what another front's machine says.
    pub fn hear(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Vec<Act>) {
        let mut r = Reader(bytes);
        let (Some(1), Some(count)) = (r.u8(), r.u8()) else {
            return;
        };
        for _ in 0..usize::from(count).min(TOLD_MOST) {
            let (Some(node), Some(age)) = (r.u64(), r.u32()) else {
                return;
            };
            self.answers(now, from, node, now - Micros::from(age) * 1000, out);
        }
    }

    fn answers(
        &mut self,
        now: Micros,
        from: u16,
        node: NodeHash,
        seen: Micros,
        out: &mut Vec<Act>,
    ) {
        let silent = self
            .silent
            .get(&node)
            .is_some_and(|s| s.since <= seen && now - seen < OLD);
        let doubted = self
            .doubts
            .get(&(from, node))
            .is_some_and(|(until, _)| now < *until);
        if !silent || doubted || self.heard.contains_key(&node) || self.doubts.len() >= DOUBTS_MOST
        {
            return self.counts.passed_over += 1;
        }
        let wait = self
            .doubts
            .get(&(from, node))
            .map_or(DOUBT_FIRST, |(_, wait)| (wait * 2).min(DOUBT_LAST));
        self.doubts.insert((from, node), (now + wait, wait));
        self.heard.insert(node, now);
        self.counts.believed += 1;
        out.push(Act::Back(node));
    }
}

/// Everybody else who is there.
fn others(standing: &Standing) -> FrontSet {
    let mut to = standing.there;
    to.remove(standing.me);
    to
}
