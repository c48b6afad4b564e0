//! Every decision of the scheduler, event by event; settings, events and actions are in `src/interface.rs`.
//! The ordinary path is HYBRID-DSFQ: placed, tagged, sent in start-tag order while fewer than D are out.

mod attempts;
mod dispatch;
mod health;
mod limits;
mod placement;
mod state;

use crate::asking::Asking;
use crate::interface::*;
use state::{Anchor, Bucket, Flow, KeyQueue, Node, Open, Volume};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tags and counts of an idle volume are dropped after this.
const IDLE_AGE: Micros = 10_000_000;
/// D of a node not yet known, and the bounds it moves between.
const DEPTH_START: f64 = 4.0;
const DEPTH_MAX: f64 = 24.0;
/// Beyond this many hosts each takes a part: of the least D, and in trying a node that did badly.
const CROWD: f64 = 12.0;
/// D is set anew this often, moves this far toward its goal, and tries for this much more each time.
const DEPTH_EVERY: Micros = 150_000;
const DEPTH_GAIN: f64 = 0.25;
const DEPTH_PUSH: f64 = 0.5;
/// The latency D aims at, as a part of the shortest aim of all classes.
const DEPTH_TARGET: f64 = 0.25;
/// First and longest wait between trials of a node whose breaker is open.
const TRIAL_FIRST: Micros = 150_000;
const TRIAL_LAST: Micros = 1_200_000;
/// Blocked queues are looked at again this often.
const POLL: Micros = 10_000;

/// What the host is to do, in the order said.
type Actions = Vec<Action>;

/// One host's decisions: see [`Balancer::handle`].
#[derive(Default)]
pub struct Balancer {
    cfg: Settings,
    seed: u64,
    weight_sum: f64,
    least: f64,
    target: f64,
    crowd: f64,
    best: f64,
    fleet: f64,
    nodes: BTreeMap<NodeId, Node>,
    volumes: BTreeMap<VolumeId, Volume>,
    open: BTreeMap<RequestId, Open>,
    /// Attempts that are out, also after their requests have ended: node, and key where order counts.
    attempts: BTreeMap<(RequestId, u16), (NodeId, Option<Key>)>,
    key_queues: BTreeMap<Key, KeyQueue>,
    unplaced: BTreeSet<RequestId>,
    awaiting_grant: BTreeSet<RequestId>,
    ends: BTreeSet<(Micros, RequestId)>,
    longest_try: Vec<Micros>,
    taken: VecDeque<Micros>,
    extra: VecDeque<Micros>,
    begun: Option<Micros>,
    seq: u64,
    token: u32,
    wake_at: Option<Micros>,
    asking: Asking,
    part: f64,
    rights: QuotaShares,
    trials: Option<BTreeMap<NodeId, Micros>>,
    swept_at: Micros,
    served: f64,
    served_since: Micros,
    ready_nodes: f64,
}

impl Balancer {
    /// A host at its start. The same settings, seed and events give the same actions.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let rights = QuotaShares {
            valid_until: Micros::MAX,
            slow_start: 1.0,
            default_volume_factor: 1.0,
            ..QuotaShares::default()
        };
        let mut balancer = Balancer {
            seed,
            part: 1.0,
            rights,
            ..Balancer::default()
        };
        balancer.apply_settings(cfg);
        balancer
    }

    /// Takes settings: at the start, and new ones later. What is open, tagged, spent and learnt stays.
    fn apply_settings(&mut self, cfg: Settings) {
        self.weight_sum = cfg
            .plans
            .iter()
            .map(|p| weight(p.weight))
            .sum::<f64>()
            .max(1e-9);
        self.longest_try.resize(cfg.classes.len(), 0);
        self.least = cfg
            .classes
            .iter()
            .map(|c| c.latency_target)
            .filter(|a| *a > 0)
            .min()
            .unwrap_or(500_000) as f64;
        (self.target, self.crowd) = (
            self.least * DEPTH_TARGET,
            (f64::from(cfg.hosts) / CROWD).max(1.0),
        );
        let value_multiplier = cfg
            .plans
            .iter()
            .map(|p| p.value_multiplier)
            .fold(0.0, f64::max);
        self.best = weight(
            cfg.classes
                .iter()
                .map(|c| c.value * value_multiplier)
                .fold(0.0, f64::max),
        );
        self.cfg = cfg;
    }

    /// How much is remembered of volumes, nodes, requests and attempts.
    pub fn remembers(&self) -> usize {
        let at = |n: &Node| 1 + n.flows.len() + n.queue.len() + n.out.len();
        let nodes: usize = self.nodes.values().map(at).sum();
        nodes + self.volumes.len() + self.open.len() + self.attempts.len() + self.ends.len()
    }

    /// The listed nodes, whether each is avoided now, and whether that is because it does not answer.
    pub fn targets(&self) -> impl Iterator<Item = (NodeId, bool, bool)> + '_ {
        let listed = self.nodes.iter().filter(|(_, n)| !n.gone);
        listed.map(|(id, n)| (*id, n.open || n.stopping_since.is_some(), n.open))
    }

    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(1);
        fastrand::Rng::with_seed(self.seed).f64()
    }

    /// Takes one event at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.begun.is_none() {
            (self.begun, self.swept_at, self.served_since) = (Some(now), now, now);
            self.asking.begin(now, self.cfg.discovery);
        }
        match event {
            Event::NodeList { kind, entries } => self.on_nodes(now, kind, entries),
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::ProcessShare(part) => {
                (self.part, self.begun) = (part.clamp(0.0, 1.0), Some(now));
                self.volumes.values_mut().for_each(|v| v.tokens.at = now);
            }
            Event::QuotaShares(rights) => {
                // What was due until now is due by the old ones; nothing, where they ended meanwhile.
                let held = if now < self.rights.valid_until {
                    1.0
                } else {
                    0.0
                };
                self.volumes
                    .values_mut()
                    .for_each(|v| v.tokens.fill(now, v.rate * held, v.most));
                self.begun = self.begun.filter(|_| held > 0.0).or(Some(now));
                self.rights = *rights;
            }
            Event::ProbationGrants(granted) => self.trials.get_or_insert_default().extend(granted),
            Event::NodeRecovered(node) => {
                self.nodes.entry(node).and_modify(|n| n.latency = 0.0);
                self.record_outcome(now, node, Outcome::WrongShard, 0, out);
            }
            Event::RequestArrived(req) => self.on_request(now, req, out),
            Event::ShardChanged { request, shard } => self.on_moved(now, request, shard, out),
            Event::ResponseStarted { request, attempt } => {
                self.on_began(now, request, attempt, out)
            }
            Event::UnitsRequested { request, units } => {
                self.open
                    .entry(request)
                    .and_modify(|o| o.more = Some(units.max(0.0)));
                self.awaiting_grant.insert(request);
            }
            Event::AttemptEnded(a) => self.on_answer(now, a, out),
            Event::ClientGone(id) => self.close(id),
            Event::Timer(token) if token == self.token => self.wake_at = None,
            Event::Timer(_) | Event::HealthChecked { .. } | Event::PeerMessage => {}
        }
        self.on_time(now, out);
        self.arm_timer(now, out);
    }

    fn on_time(&mut self, now: Micros, out: &mut Actions) {
        while let Some((due, id)) = self.ends.first().copied().filter(|e| e.0 <= now) {
            self.finish(id, None, out);
            self.ends.remove(&(due, id));
        }
        out.extend(self.asking.due(now).then_some(Action::Subscribe));
        if now - self.swept_at > IDLE_AGE {
            self.sweep(now);
        }
        self.awaiting_grant
            .clone()
            .into_iter()
            .for_each(|id| self.grant(now, id, out));
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.adapt_depth(now, id);
            self.release(now, id, out);
        }
    }

    /// Keeps one timer running to the next moment at which something may be due.
    fn arm_timer(&mut self, now: Micros, out: &mut Actions) {
        let mut next = self.ends.first().map(|e| e.0);
        let mut sooner = |t: Micros| next = Some(next.map_or(t, |n| n.min(t)));
        self.asking.next().into_iter().for_each(&mut sooner);
        if !self.awaiting_grant.is_empty() || self.nodes.values().any(|n| !n.queue.is_empty()) {
            sooner(now + POLL);
        } else if self.nodes.values().any(|n| !n.out.is_empty()) {
            sooner(now + DEPTH_EVERY);
        }
        let Some(at) = next.map(|t| t.max(now + self.cfg.timer_resolution.max(1))) else {
            return;
        };
        if self.wake_at.is_none_or(|w| at < w || w <= now) {
            self.token = self.token.wrapping_add(1);
            self.wake_at = Some(at);
            out.push(Action::SetTimer {
                at,
                token: self.token,
            });
        }
    }

    fn sweep(&mut self, now: Micros) {
        (self.swept_at, self.served_since, self.served) =
            (now, now - (now - self.served_since) / 2, self.served / 2.0);
        self.nodes
            .values_mut()
            .for_each(|n| n.flows.retain(|_, f| now - f.last < IDLE_AGE));
        // A volume with a limit stays until its bucket is full: forgotten sooner, it would be filled.
        let full = |v: &Volume| (v.most / v.rate.max(1e-9) * 1e6) as Micros;
        self.volumes
            .retain(|_, v| now - v.last < full(v).max(IDLE_AGE));
        let keys: Vec<Key> = self.key_queues.keys().copied().collect();
        keys.into_iter().for_each(|key| _ = self.drop_ended(key));
        self.key_queues
            .retain(|_, queue| !queue.ids.is_empty() || queue.rest_until > now);
        self.nodes
            .retain(|_, n| !n.gone || !n.out.is_empty() || !n.queue.is_empty());
    }
}

fn weight(w: f64) -> f64 {
    Some(w).filter(|w| *w > 0.0 && w.is_finite()).unwrap_or(1.0)
}

/// Does this node drop the repeat of what the anchor's node may have run?
fn same_group(effect: Idempotence, a: Anchor, n: &Node) -> bool {
    match effect {
        Idempotence::Deduplicated {
            scope: DeduplicationScope::Zone,
            ..
        } => a.zone == n.zone,
        Idempotence::Deduplicated {
            scope: DeduplicationScope::Shard,
            ..
        } => a.shard == n.shard,
        Idempotence::NotIdempotent => false,
        _ => true,
    }
}
