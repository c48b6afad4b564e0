//! Probes of unresponsive nodes, under one budget that all fronts share.
//!
//! A front that sees a node as unresponsive grants itself probes of it from its share of the fleet's budget ([`TokenBucket`]). So the
//! number of probes does not grow with the fleet, and the shares of dead fronts pass to the others by their leases. A front that
//! hears no other one has only its reserve of the budget.
//!
//! A front that sees the node respond announces the recovery to all others, and repeats that because datagrams may get lost. The
//! others use the node again, with the same caution as if they had seen it respond themselves.
//!
//! An announcement is accepted only if the node has been unresponsive here since before the recovery that it reports. After that,
//! further announcements of the same front about the same node are ignored for a time that doubles with each one. So a front that
//! sends wrong announcements, or is the only one to reach a node, costs the others a bounded number of attempts.

use crate::config::Section;
use lupinrack_fleet::FleetState;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::share::{FleetLimit, TokenBucket};
use lupinrack_peer_transport::frame::{Reader, Writer};
use lupinrack_policy::Micros;
use std::collections::{BTreeMap, VecDeque};

/// How long a grant waits for a request to use it.
const GRANT_VALIDITY: Micros = 400_000;
/// Unresponsive nodes that are tracked.
const MAX_UNRESPONSIVE_NODES: usize = 1024;
/// Recoveries in one datagram.
const MAX_RECOVERIES_PER_DATAGRAM: usize = 16;
/// Recoveries that are being announced.
const MAX_ANNOUNCEMENTS: usize = 256;
/// How often each recovery is announced to every front, and the time between two rounds.
const ANNOUNCEMENT_ROUNDS: u8 = 3;
const ROUND_INTERVAL: Micros = 60_000;
/// Datagrams with announcements in one step.
const MAX_DATAGRAMS_PER_STEP: usize = 32;
/// A recovery older than this is neither announced nor accepted.
const MAX_RECOVERY_AGE: Micros = 3_000_000;
/// The first and the longest time for which a front's announcements about a node are ignored after one was accepted.
const MIN_IGNORE_TIME: Micros = 2_000_000;
const MAX_IGNORE_TIME: Micros = 60_000_000;
/// Pairs of a front and a node whose announcements are ignored.
const MAX_IGNORED_PAIRS: usize = 4096;

/// A node: a hash of its name, the same at all fronts.
pub type NodeHash = u64;

/// What a call asks the driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Allow one probe of the node, until this time.
    GrantProbe(NodeHash, Micros),
    /// Use the node again: another front saw it respond.
    Recovered(NodeHash),
    /// Send a payload to the same protocol at a front.
    Send(u16, Vec<u8>),
}

/// Counters of one front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes granted.
    pub granted: u64,
    /// Recoveries seen and announced by this front.
    pub announced: u64,
    /// Announcements of other fronts that were accepted.
    pub accepted: u64,
    /// Announcements that were ignored: too old, repeated too soon, or about a node that is not unresponsive here.
    pub ignored: u64,
}

struct UnresponsiveNode {
    since: Micros,
    budget: TokenBucket,
}

/// A recovery that is being announced.
struct Announcement {
    node: NodeHash,
    recovered_at: Micros,
    /// The fronts that it is still to be sent to in this round.
    remaining: FrontSet,
    /// The rounds left, this one included.
    rounds_left: u8,
    round_started_at: Micros,
}

/// The probes of one front.
pub struct Prober {
    probes_per_s: f64,
    unresponsive: BTreeMap<NodeHash, UnresponsiveNode>,
    /// Recoveries accepted from other fronts, and when. This front does not announce them again.
    accepted: BTreeMap<NodeHash, Micros>,
    announcements: VecDeque<Announcement>,
    /// Until when the announcements of a front about a node are ignored, and how long that period is.
    ignored: BTreeMap<(u16, NodeHash), (Micros, Micros)>,
    counts: Counts,
}

impl Prober {
    /// A prober without unresponsive nodes.
    pub fn new(section: &Section) -> Prober {
        Prober {
            probes_per_s: section.trials_per_s,
            unresponsive: BTreeMap::new(),
            accepted: BTreeMap::new(),
            announcements: VecDeque::new(),
            ignored: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The fleet's limit on probes of one node. A probe is one token. The burst is large enough for a front that only has its reserve
    /// to collect one.
    fn fleet_limit(&self, fleet: &FleetState) -> FleetLimit {
        let reserve = fleet.share.reserve.max(0.01);
        FleetLimit {
            per_s: self.probes_per_s,
            burst: f64::from(fleet.front_count) / reserve,
            fronts: fleet.front_count,
        }
    }

    /// Takes the nodes that are unresponsive here now and those that responded since the last step. Grants the probes that are due,
    /// and announces recoveries.
    pub fn step(
        &mut self,
        now: Micros,
        unresponsive: &[NodeHash],
        responded: &[NodeHash],
        fleet: &FleetState,
        out: &mut Vec<Action>,
    ) {
        let removed: Vec<NodeHash> = self
            .unresponsive
            .keys()
            .filter(|node| !unresponsive.contains(node))
            .copied()
            .collect();
        for node in removed {
            self.unresponsive.remove(&node);
            // Not announced: a recovery that another front announced, or a node that left the list or was restarted.
            let is_news = self.accepted.remove(&node).is_none() && responded.contains(&node);
            if is_news && self.announcements.len() < MAX_ANNOUNCEMENTS {
                self.counts.announced += 1;
                let remaining = other_fronts(fleet);
                self.announcements.push_back(Announcement {
                    node,
                    recovered_at: now,
                    remaining,
                    rounds_left: ANNOUNCEMENT_ROUNDS,
                    round_started_at: now,
                });
            }
        }
        let limit = self.fleet_limit(fleet);
        for node in unresponsive {
            if !self.unresponsive.contains_key(node)
                && self.unresponsive.len() < MAX_UNRESPONSIVE_NODES
            {
                let budget = TokenBucket::new(now, limit, fleet.share);
                self.unresponsive
                    .insert(*node, UnresponsiveNode { since: now, budget });
            }
        }
        for (node, state) in &mut self.unresponsive {
            state.budget.resize(now, limit);
            // The share is checked at the time of the grant, which is valid for a short time only.
            if state.budget.try_take(now, &fleet.share, 1.0) {
                self.counts.granted += 1;
                // A grant under a lease ends with the lease at the latest.
                let until = if now < fleet.share.valid_until {
                    fleet.share.valid_until
                } else {
                    Micros::MAX
                };
                out.push(Action::GrantProbe(*node, until.min(now + GRANT_VALIDITY)));
            }
        }
        self.accepted
            .retain(|_, accepted_at| now - *accepted_at < MAX_RECOVERY_AGE);
        self.ignored
            .retain(|_, (until, period)| now < *until + *period);
        self.announce(now, fleet, out);
    }

    fn announce(&mut self, now: Micros, fleet: &FleetState, out: &mut Vec<Action>) {
        self.announcements.retain(|a| {
            now - a.recovered_at < MAX_RECOVERY_AGE
                && (a.rounds_left > 1 || !a.remaining.is_empty())
        });
        for announcement in self
            .announcements
            .iter_mut()
            .filter(|a| a.remaining.is_empty() && now - a.round_started_at >= ROUND_INTERVAL)
        {
            (
                announcement.remaining,
                announcement.rounds_left,
                announcement.round_started_at,
            ) = (other_fronts(fleet), announcement.rounds_left - 1, now);
        }
        for _ in 0..MAX_DATAGRAMS_PER_STEP {
            let Some(to) = self
                .announcements
                .iter()
                .find_map(|a| a.remaining.iter().next())
            else {
                return;
            };
            let mut writer = Writer(vec![1, 0]);
            for announcement in self
                .announcements
                .iter_mut()
                .filter(|a| a.remaining.contains(to))
                .take(MAX_RECOVERIES_PER_DATAGRAM)
            {
                announcement.remaining.remove(to);
                writer.put(announcement.node.to_le_bytes());
                writer.put(
                    u32::try_from((now - announcement.recovered_at) / 1000)
                        .unwrap_or(u32::MAX)
                        .to_le_bytes(),
                );
                writer.0[1] += 1;
            }
            out.push(Action::Send(to, writer.0));
        }
    }

    /// Receives a payload from the same protocol at another front.
    pub fn receive(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Vec<Action>) {
        let mut reader = Reader(bytes);
        let (Some(1), Some(count)) = (reader.u8(), reader.u8()) else {
            return;
        };
        for _ in 0..usize::from(count).min(MAX_RECOVERIES_PER_DATAGRAM) {
            let (Some(node), Some(age_ms)) = (reader.u64(), reader.u32()) else {
                return;
            };
            self.on_recovery(now, from, node, now - Micros::from(age_ms) * 1000, out);
        }
    }

    fn on_recovery(
        &mut self,
        now: Micros,
        from: u16,
        node: NodeHash,
        recovered_at: Micros,
        out: &mut Vec<Action>,
    ) {
        let applies = self
            .unresponsive
            .get(&node)
            .is_some_and(|n| n.since <= recovered_at && now - recovered_at < MAX_RECOVERY_AGE);
        let ignored = self
            .ignored
            .get(&(from, node))
            .is_some_and(|(until, _)| now < *until);
        if !applies
            || ignored
            || self.accepted.contains_key(&node)
            || self.ignored.len() >= MAX_IGNORED_PAIRS
        {
            return self.counts.ignored += 1;
        }
        let period = self
            .ignored
            .get(&(from, node))
            .map_or(MIN_IGNORE_TIME, |(_, period)| {
                (period * 2).min(MAX_IGNORE_TIME)
            });
        self.ignored.insert((from, node), (now + period, period));
        self.accepted.insert(node, now);
        self.counts.accepted += 1;
        out.push(Action::Recovered(node));
    }
}

/// All other fronts that are present.
fn other_fronts(fleet: &FleetState) -> FrontSet {
    let mut others = fleet.present;
    others.remove(fleet.me);
    others
}
