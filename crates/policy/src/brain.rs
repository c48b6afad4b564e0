//! Every decision of the scheduler. Its words (settings, events, actions) are in `src/interface.rs`.
//!
//! The ordinary path is HYBRID-DSFQ: a request is placed on a node, tagged, held in that node's queue and
//! sent in start-tag order while fewer than D of this host's are out there. The rest: guards and exceptions.

use crate::asking::Asking;
use crate::interface::*;
use lupinrack_dispatch::hybrid_delay;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Minimum share of a volume on one node, as a part of its weight (the paper's phi-min over phi).
const PHI_MIN: f64 = 0.5;
/// Thousandths of a unit over the weight, in a tag.
const TAG_SCALE: f64 = 1000.0;
/// Tags and counts of an idle volume are dropped after this.
const IDLE_AGE: Micros = 10_000_000;
/// D of a node not yet known, and the bounds it moves between.
const DEPTH_START: f64 = 4.0;
const DEPTH_MAX: f64 = 24.0;
/// Beyond this many hosts each takes a part: of the least D, and in trying a node that did badly.
const CROWD: f64 = 12.0;
/// Below one D is a rate, D over the latency; that counts as this many targets at most, so that D is tried.
const GAP_MOST: f64 = 4.0;
/// D is set anew this often, moves this far toward its goal, and tries for this much more each time.
const DEPTH_EVERY: Micros = 150_000;
const DEPTH_GAIN: f64 = 0.25;
const DEPTH_PUSH: f64 = 0.5;
/// Nothing goes to a node slower than the shortest aim; what earns least a unit keeps to this part of it.
const GATE_LEAST: f64 = 0.3;
/// The latency D aims at, as a part of the shortest aim of all classes.
const DEPTH_TARGET: f64 = 0.25;
/// A queue is shed once it holds more than this many times what the node serves within the shortest aim.
const SHED_AT: f64 = 0.7;
/// Weight of a new answer in a node's smoothed latency and error share.
const SMOOTH: f64 = 0.15;
/// What is known of a latency halves in value and weight over this; in weight slower where hosts are few.
const KNOWN_HALF: Micros = 700_000;
const KNOWN_FEW: f64 = 4.0;
/// An attempt is overtaken once one sent this much later was answered.
const OVERTAKEN: Micros = 250_000;
/// All that is out may be lost after this, and this many usual latencies: one more goes, to find out.
const STUCK: Micros = 400_000;
const STUCK_USUAL: f64 = 8.0;
/// A full queue, or a time-out that counts, says: a wait of this many times the shortest aim.
const FULL_AS: f64 = 2.0;
/// Weight of an answer or a time-out of any node in the latency of the fleet.
const FLEET_GAIN: f64 = 0.1;
/// A single answer counts as this many usual latencies at most.
const CLIP: f64 = 2.0;
/// Failures in a row that open the breaker: broken or refused connections, and time-outs.
const BREAK_AT: u32 = 3;
/// First and longest wait between trials of a node whose breaker is open.
const TRIAL_FIRST: Micros = 150_000;
const TRIAL_LAST: Micros = 1_200_000;
/// Part of the drain grace that is used; the rest covers the way to the node.
const GRACE_USED: f64 = 0.7;
/// Blocked queues are looked at again this often.
const POLL: Micros = 10_000;
/// Ticks before the client's end at which an open request is ended.
const END_TICKS: Micros = 2;
/// One that was never sent is given up after this part of its time, or its aim if later: its client goes on.
const UNSENT_PART: f64 = 0.45;
/// Share of a keyed request's window in which it may be sent again; the rest covers the way.
const WINDOW_USED: f64 = 0.9;
/// Share of this host's part of a limit or cold budget that is used.
const PART_USED: f64 = 0.98;
/// How far this host's part of the cold budget may be overdrawn in the mean.
const COLD_LEAN: f64 = 2.0;
/// Where hosts are many, traffic is uneven: at one node up to this many times what it is in the mean.
const UNEVEN_MOST: f64 = 3.0;
/// How long a host looks before it trusts what it sees of the usual traffic.
const USUAL_LEAST: Micros = 2_000_000;
const HINT_LEAST: Micros = 100_000;

/// What one volume has at one node: its last finish tag, and counts for the delay.
struct Flow {
    finish: i64,
    elsewhere_seen: f64,
    sent_here: f64,
    last: Micros,
}

/// What may be spent: it fills with time.
#[derive(Clone, Copy, Default)]
struct Bucket {
    level: f64,
    at: Micros,
}

/// What one volume has at this host: units sent anywhere, and this host's part of its limit.
#[derive(Default)]
struct Volume {
    sent: f64,
    tokens: Bucket,
    rate: f64,
    most: f64,
    hosts: f64,
    waiting: f64,
    reserve: Bucket,
    last: Micros,
}

/// A node: queue, tags, depth and health.
#[derive(Default)]
struct Node {
    shard: Shard,
    zone: Zone,
    started: Option<Micros>,
    told_stop: Option<Micros>,
    gone: bool,
    queue: BTreeMap<(i64, u64), RequestId>,
    vtime: i64,
    flows: BTreeMap<VolumeId, Flow>,
    out: BTreeMap<(RequestId, u16), Micros>,
    answered: Micros,
    depth: f64,
    depth_at: Micros,
    sent_at: Micros,
    jitter: f64,
    pressed: bool,
    latency: f64,
    errors: f64,
    fails: u32,
    heard: Micros,
    open: bool,
    trial_at: Micros,
    backoff: Micros,
    cold: Bucket,
}

/// The first attempt of a request that ran or may have run.
#[derive(Clone, Copy)]
struct Anchor {
    sent: Micros,
    shard: Shard,
    zone: Zone,
}

/// An open request.
#[derive(Default)]
struct Open {
    req: Request,
    seq: u64,
    aim_at: Micros,
    end: Micros,
    value: f64,
    home: Option<NodeId>,
    slot: Option<(i64, u64)>,
    finish: i64,
    tries: u16,
    most: u32,
    live: u16,
    began: bool,
    more: Option<f64>,
    maybe_ran: bool,
    anchor: Option<Anchor>,
    drawn: bool,
}

/// Attempts that are out, also after their requests have ended: node, and key where order counts.
type Attempts = BTreeMap<(RequestId, u16), (NodeId, Option<Key>)>;

/// Requests of ordered classes with one key, in the order taken.
#[derive(Default)]
struct Line {
    ids: VecDeque<RequestId>,
    rest_until: Micros,
}

/// One host's decisions: see [`Brain::handle`].
#[derive(Default)]
pub struct Brain {
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
    attempts: Attempts,
    lines: BTreeMap<Key, Line>,
    homeless: BTreeSet<RequestId>,
    growing: BTreeSet<RequestId>,
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
    rights: Rights,
    trials: Option<BTreeMap<NodeId, Micros>>,
    swept: Micros,
    served: f64,
    since: Micros,
    alike: f64,
}

impl Brain {
    /// A host at its start. The same settings, seed and events give the same actions.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        let rights = Rights { until: Micros::MAX, cold: 1.0, rest: 1.0, ..Rights::default() };
        let mut brain = Brain { seed, part: 1.0, rights, ..Brain::default() };
        brain.go_by(cfg);
        brain
    }

    /// Takes settings: at the start, and new ones later. What is open, tagged, spent and learnt stays.
    fn go_by(&mut self, cfg: Settings) {
        self.weight_sum = cfg.plans.iter().map(|p| weight(p.weight)).sum::<f64>().max(1e-9);
        self.longest_try.resize(cfg.classes.len(), 0);
        self.least = cfg.classes.iter().map(|c| c.aim).filter(|a| *a > 0).min().unwrap_or(500_000) as f64;
        (self.target, self.crowd) = (self.least * DEPTH_TARGET, (f64::from(cfg.hosts) / CROWD).max(1.0));
        let price = cfg.plans.iter().map(|p| p.price).fold(0.0, f64::max);
        self.best = weight(cfg.classes.iter().map(|c| c.worth * price).fold(0.0, f64::max));
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
        listed.map(|(id, n)| (*id, n.open || n.told_stop.is_some(), n.open))
    }

    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(1);
        fastrand::Rng::with_seed(self.seed).f64()
    }

    /// Takes one event at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.begun.is_none() {
            (self.begun, self.swept, self.since) = (Some(now), now, now);
            self.asking.begin(now, self.cfg.discovery);
        }
        match event {
            Event::Nodes { kind, entries } => self.on_nodes(now, kind, entries),
            Event::Settings(settings) => self.go_by(*settings),
            Event::Part(part) => {
                (self.part, self.begun) = (part.clamp(0.0, 1.0), Some(now));
                self.volumes.values_mut().for_each(|v| v.tokens.at = now);
            }
            Event::Rights(rights) => {
                // What was due until now is due by the old ones; nothing, where they ended meanwhile.
                let held = if now < self.rights.until { 1.0 } else { 0.0 };
                self.volumes.values_mut().for_each(|v| v.tokens.fill(now, v.rate * held, v.most));
                self.begun = self.begun.filter(|_| held > 0.0).or(Some(now));
                self.rights = *rights;
            }
            Event::Trials(granted) => self.trials.get_or_insert_default().extend(granted),
            Event::Back(node) => {
                self.nodes.entry(node).and_modify(|n| n.latency = 0.0);
                self.learn(now, node, Outcome::Moved, 0, out);
            }
            Event::Request(req) => self.on_request(now, req, out),
            Event::Moved { request, shard } => self.on_moved(now, request, shard, out),
            Event::Began { request, attempt } => self.on_began(now, request, attempt, out),
            Event::More { request, units } => {
                self.open.entry(request).and_modify(|o| o.more = Some(units.max(0.0)));
                self.growing.insert(request);
            }
            Event::Answer(a) => self.on_answer(now, a, out),
            Event::ClientGone(id) => self.close(id),
            Event::Timer(token) if token == self.token => self.wake_at = None,
            Event::Timer(_) | Event::Probed { .. } | Event::PeerNote => {}
        }
        self.on_time(now, out);
        self.arm(now, out);
    }

    fn on_time(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some((due, id)) = self.ends.first().copied().filter(|e| e.0 <= now) {
            self.finish(id, None, out);
            self.ends.remove(&(due, id));
        }
        out.extend(self.asking.due(now).then_some(Action::Subscribe));
        if now - self.swept > IDLE_AGE {
            self.sweep(now);
        }
        self.growing.clone().into_iter().for_each(|id| self.grow(now, id, out));
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.adapt(now, id);
            self.release(now, id, out);
        }
    }

    /// Keeps one timer running to the next moment at which something may be due.
    fn arm(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut next = self.ends.first().map(|e| e.0);
        let mut sooner = |t: Micros| next = Some(next.map_or(t, |n| n.min(t)));
        self.asking.next().into_iter().for_each(&mut sooner);
        if !self.growing.is_empty() || self.nodes.values().any(|n| !n.queue.is_empty()) {
            sooner(now + POLL);
        } else if self.nodes.values().any(|n| !n.out.is_empty()) {
            sooner(now + DEPTH_EVERY);
        }
        let Some(at) = next.map(|t| t.max(now + self.cfg.tick.max(1))) else { return };
        if self.wake_at.is_none_or(|w| at < w || w <= now) {
            self.token = self.token.wrapping_add(1);
            self.wake_at = Some(at);
            out.push(Action::Wake { at, token: self.token });
        }
    }

    fn sweep(&mut self, now: Micros) {
        (self.swept, self.since, self.served) = (now, now - (now - self.since) / 2, self.served / 2.0);
        self.nodes.values_mut().for_each(|n| n.flows.retain(|_, f| now - f.last < IDLE_AGE));
        let (open, attempts) = (&self.open, &self.attempts);
        // A volume with a limit stays until its bucket is full: forgotten sooner, it would be filled.
        let full = |v: &Volume| (v.most / v.rate.max(1e-9) * 1e6) as Micros;
        self.volumes.retain(|_, v| now - v.last < full(v).max(IDLE_AGE));
        self.lines.retain(|_, l| {
            while l.ids.front().is_some_and(|id| !open.contains_key(id) && !still_out(attempts, *id)) {
                l.ids.pop_front();
            }
            !l.ids.is_empty() || l.rest_until > now
        });
        self.nodes.retain(|_, n| !n.gone || !n.out.is_empty() || !n.queue.is_empty());
    }

    // ---- tags and queues -------------------------------------------------------------------------------

    /// Weight of a plan over the sum of all plans' weights.
    fn phi(&self, plan: u32) -> f64 {
        (self.cfg.plans.get(plan as usize).map_or(1.0, |p| weight(p.weight)) / self.weight_sum)
            .clamp(1e-6, 1.0)
    }

    /// Tags a request at a node and holds it there. A request tagged there before keeps its place.
    fn hold(&mut self, now: Micros, id: RequestId, to: NodeId) {
        let Some(o) = self.open.get(&id) else { return };
        let (volume, units, phi) = (o.req.volume, o.req.units.max(0.0), self.phi(o.req.plan));
        let total = self.volumes.get(&volume).map_or(0.0, |v| v.sent);
        let Some(n) = self.nodes.get_mut(&to) else { return };
        let fresh = Flow { finish: n.vtime, elsewhere_seen: total, sent_here: 0.0, last: now };
        let f = n.flows.entry(volume).or_insert(fresh);
        f.last = now;
        let elsewhere = total - f.sent_here;
        let delay = hybrid_delay(elsewhere - f.elsewhere_seen, units, phi, PHI_MIN);
        f.elsewhere_seen = elsewhere;
        let start = n.vtime.max(f.finish + (delay / phi * TAG_SCALE).round() as i64);
        f.finish = start + (units / phi * TAG_SCALE).round() as i64;
        let (slot, finish) = ((start, o.seq), f.finish);
        n.queue.insert(slot, id);
        let o = self.open.get_mut(&id).expect("looked up above");
        (o.home, o.slot, o.finish) = (Some(to), Some(slot), finish);
    }

    /// Takes a request out of the queue that holds it, if any. Its volume gets the tag back when it was last.
    fn unhold(&mut self, id: RequestId, give_back: bool) {
        self.homeless.remove(&id);
        let Some(o) = self.open.get_mut(&id) else { return };
        let Some(slot) = o.slot.take() else { return };
        let (volume, finish) = (o.req.volume, o.finish);
        let Some(n) = o.home.and_then(|h| self.nodes.get_mut(&h)) else { return };
        n.queue.remove(&slot);
        let f = n.flows.get_mut(&volume).filter(|f| give_back && f.finish == finish);
        f.into_iter().for_each(|f| f.finish = slot.0);
    }

    // ---- depth -----------------------------------------------------------------------------------------

    /// Sets D anew: latency above the target shrinks it, below lets it grow where it was the bound (PARDA).
    fn adapt(&mut self, now: Micros, id: NodeId) {
        let (target, floor) = (self.target, 1.0 / self.crowd);
        let Some(n) = self.nodes.get_mut(&id) else { return };
        let eldest = n.abreast().min().map_or(0.0, |s| (now - s) as f64);
        let seen = n.latency.max(eldest * 0.5);
        if now - n.depth_at < DEPTH_EVERY || seen <= 0.0 || (n.depth < 1.0 && n.heard < n.depth_at) {
            return;
        }
        n.depth_at = now;
        let gain = if n.depth < 1.0 { DEPTH_GAIN * 2.0 } else { DEPTH_GAIN };
        let goal = n.depth * (target / seen).min(2.0) + DEPTH_PUSH * n.depth.min(1.0);
        if goal < n.depth || n.pressed {
            n.depth = (n.depth + gain * (goal - n.depth)).clamp(floor, DEPTH_MAX);
        }
        n.pressed = false;
    }

    /// What a unit of this request earns: in full within this host's part of the reserve, less beyond it.
    fn value(&mut self, now: Micros, req: &Request) -> f64 {
        let Some(plan) = self.cfg.plans.get(req.plan as usize) else { return self.best };
        let worth = self.cfg.classes.get(req.class as usize).map_or(1.0, |c| c.worth) * plan.price;
        let rate = plan.reserve / req.hosts.max(1.0);
        let v = self.volumes.entry(req.volume).or_default();
        v.reserve.fill(now, rate, rate + self.cfg.max_units);
        v.last = now;
        let due = rate > 0.0 && v.reserve.level >= req.units;
        v.reserve.level -= if due { req.units } else { 0.0 };
        worth * if due { 1.0 } else { self.cfg.fair_worth }
    }

    /// Sheds what earns least a unit (of equals, the furthest tag) while the queue holds more than is served
    /// in time. A longer aim counts less: it can wait. What is left keeps its order.
    fn shed(&mut self, now: Micros, id: NodeId, out: &mut Vec<Action>) {
        let (least, target) = (self.least, self.target);
        loop {
            let Some(n) = self.nodes.get(&id).filter(|n| !n.open) else { return };
            let room = match n.depth < 1.0 {
                true if now + least as Micros / 2 < n.next_at(target) => 0.0,
                true => self.cfg.max_units,
                false => n.depth * self.cfg.mean_units / n.latency.max(1.0) * least * SHED_AT,
            };
            let mut need = 0.0;
            let mut worst: Option<(f64, i64, RequestId)> = None;
            for (slot, r) in &n.queue {
                let Some(o) = self.open.get(r).filter(|o| o.aim_at > now) else { continue };
                need += o.req.units * (least / (o.aim_at - now) as f64).min(1.0);
                if o.tries == 0 && worst.is_none_or(|w| (o.value, -slot.0) <= (w.0, w.1)) {
                    worst = Some((o.value, -slot.0, *r));
                }
            }
            let Some((_, _, r)) = worst.filter(|_| need > room) else { return };
            self.finish(r, None, out);
        }
    }

    // ---- node health -----------------------------------------------------------------------------------

    /// Takes what an attempt tells of its node. Connections that break, and time-outs in a row, open the
    /// breaker; errors do not. Silence needs none: the eldest attempt out counts as latency.
    fn learn(&mut self, now: Micros, node: NodeId, outcome: Outcome, waited: Micros, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.fleet += FLEET_GAIN * (waited as f64 - self.fleet);
        }
        let (floor, least, wait) = (1.0 / self.crowd, self.least, 0.5 + self.random());
        let Some(n) = self.nodes.get_mut(&node) else { return };
        let half = KNOWN_HALF as f64 * (KNOWN_FEW / self.crowd).max(1.0);
        let known = if n.latency > 0.0 { 0.5_f64.powf((now - n.heard) as f64 / half) } else { 0.0 };
        let overtaken = now - waited + OVERTAKEN < n.answered;
        if outcome.heard() {
            n.heard = now;
            n.answered = n.answered.max(now - waited);
            n.fails = 0;
            if n.open {
                n.open = false;
                n.depth = n.depth.min(1.0);
                out.push(Action::Log(format!("node {} answers again", node.0)));
            }
        }
        match outcome {
            Outcome::Ok => {
                n.take_latency(waited as f64, known);
                n.errors -= SMOOTH * n.errors;
            }
            Outcome::Error => n.errors += SMOOTH * (1.0 - n.errors),
            Outcome::Full => {
                n.depth = (n.depth * 0.5).max(floor);
                n.take_latency(least * FULL_AS, known);
            }
            Outcome::ConnectFailed | Outcome::Reset => n.fails += 1,
            Outcome::Timeout => {
                n.fails += u32::from(!overtaken && waited as f64 > FULL_AS * least);
                let short = (waited as f64) < least;
                if !overtaken && (n.fails > 1 || short) {
                    n.take_latency(n.latency.max(waited as f64 * if short { 2.0 } else { 1.0 }), known);
                }
            }
            _ => {}
        }
        if n.fails < BREAK_AT || n.open {
            return;
        }
        (n.open, n.backoff, n.trial_at) = (true, TRIAL_FIRST, now + (TRIAL_FIRST as f64 * wait) as Micros);
        out.push(Action::Log(format!("node {} does not answer", node.0)));
        for r in n.queue.values().copied().collect::<Vec<_>>() {
            if self.open.get(&r).is_some_and(|o| o.req.shard.is_none() && o.anchor.is_none()) {
                self.place(now, r);
            }
        }
    }

    // ---- discovery -------------------------------------------------------------------------------------

    fn on_nodes(&mut self, now: Micros, kind: ListKind, entries: Vec<NodeEntry>) {
        let chance = self.random();
        self.asking.heard(now, kind, self.cfg.discovery, chance);
        if kind == ListKind::Failed {
            return;
        }
        let mut dice = fastrand::Rng::with_seed((chance * 1e15) as u64);
        let listed: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
        let depth = (DEPTH_START / self.crowd).max(1.0);
        for e in entries {
            let fresh = || Node { depth, depth_at: now, heard: now, ..Node::default() };
            let n = self.nodes.entry(e.node).or_insert_with(fresh);
            if n.started != e.started && e.started.is_some() {
                n.started = e.started;
                n.depth = n.depth.min(DEPTH_START);
                (n.latency, n.open) = (0.0, false);
                n.cold = Bucket { level: self.cfg.mean_units * (0.5 - 2.0 * dice.f64()), at: now };
            }
            (n.shard, n.zone) = (e.shard, e.zone);
            n.told_stop = n.told_stop.or(Some(now)).filter(|_| e.state != NodeState::Ready);
            n.gone = e.state == NodeState::Gone;
        }
        let whole = kind != ListKind::Delta;
        for (_, n) in self.nodes.iter_mut().filter(|(id, _)| whole && !listed.contains(id)) {
            (n.told_stop, n.gone) = (n.told_stop.or(Some(now)), true);
        }
        self.alike = self.nodes.values().filter(|n| n.told_stop.is_none()).count().max(1) as f64;
        self.rehome(now);
    }

    /// Moves what waits at nodes that take nothing more.
    fn rehome(&mut self, now: Micros) {
        let stopped = self.nodes.values().filter(|n| n.told_stop.is_some());
        let waiting = self.homeless.iter().chain(stopped.flat_map(|n| n.queue.values()));
        waiting.copied().collect::<Vec<_>>().into_iter().for_each(|id| self.place(now, id));
    }

    // ---- placement -------------------------------------------------------------------------------------

    /// Chooses the node: the holder of the shard, or for a new object the shortest expected wait.
    fn place(&mut self, now: Micros, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        let (shard, home, anchor, effect, astray) =
            (o.req.shard, o.home, o.anchor, self.effect(o), o.req.astray);
        let mut known: Vec<f64> = self.nodes.values().map(|n| n.latency).filter(|l| *l > 0.0).collect();
        known.sort_by(f64::total_cmp);
        let usual = known.get(known.len() / 2).copied().unwrap_or(50_000.0);
        let mut dice = fastrand::Rng::with_seed((self.random() * 1e15) as u64);
        let mut best: Option<(f64, NodeId)> = None;
        for (nid, n) in &self.nodes {
            let stops = n.told_stop.is_some() && (shard.is_none() || now >= self.drain_end(n));
            let elsewhere = astray || shard.is_some_and(|s| s != n.shard);
            if n.gone || stops || elsewhere || anchor.is_some_and(|a| !same_group(effect, a, n)) {
                continue;
            }
            let stale = ((now - n.heard) as f64 / 3_000_000.0).min(1.0);
            let latency = if n.latency > 0.0 { n.latency + (usual - n.latency) * stale } else { usual };
            let ahead = (n.queue.len() + n.out.len()) as f64;
            let mut score = latency * (1.0 + n.errors * 4.0) + ahead * usual * 0.5;
            score *= 0.9 + 0.2 * dice.f64();
            // Better a slow node than a cold one, a silent one, one that drains: in this order.
            let silent = n.open || n.abreast().next().is_some() && n.stuck(now);
            let bad = [self.cold_age(now, n).is_some(), silent, n.told_stop.is_some()];
            score += bad.iter().zip([1e7, 1e8, 1e9]).filter(|b| *b.0).map(|b| b.1).sum::<f64>();
            if best.is_none_or(|b| score < b.0) {
                best = Some((score, *nid));
            }
        }
        if best.is_some_and(|b| Some(b.1) == home) && self.open[&id].slot.is_some() {
            return;
        }
        self.unhold(id, true);
        match best {
            Some((_, to)) => self.hold(now, id, to),
            None => drop(self.homeless.insert(id)),
        }
    }

    /// Where the data of a request lies now. What waits is placed anew, its time and attempts kept.
    fn on_moved(&mut self, now: Micros, id: RequestId, shard: Option<Shard>, out: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&id) else { return };
        (o.req.shard, o.req.astray) = (shard, false);
        if o.live == 0 {
            self.place_or_fail(now, id, out);
        }
    }

    /// What may have run on the old shard goes to the new one only where both are of one group.
    fn place_or_fail(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        self.place(now, id);
        let Some(o) = self.open.get(&id).filter(|_| self.homeless.contains(&id)) else { return };
        let moved = o.anchor.zip(o.req.shard).is_some_and(|(a, shard)| a.shard != shard && !o.req.astray);
        if moved && self.effect(o) != Effect::Safe {
            self.finish(id, None, out);
        }
    }

    // ---- rule guards -----------------------------------------------------------------------------------

    fn effect(&self, o: &Open) -> Effect {
        self.cfg.classes.get(o.req.class as usize).map_or(Effect::Unsafe, |c| c.effect)
    }

    /// Rule 2, sending: may an attempt of this request go to this node now?
    fn effect_allows(&self, now: Micros, o: &Open, n: &Node) -> bool {
        let alone = o.live == 0 || self.cfg.parallel_tries;
        alone && o.anchor.is_none_or(|a| same_group(self.effect(o), a, n)) && now < self.covered_until(o)
    }

    /// Until when nodes drop a repeat for certain: from the first send that may have run, less the way there.
    fn covered_until(&self, o: &Open) -> Micros {
        match (o.anchor, self.effect(o)) {
            (Some(a), Effect::Keyed { window, .. }) => a.sent + (window as f64 * WINDOW_USED) as Micros,
            _ => Micros::MAX,
        }
    }

    /// Rule 2, answering: may the client be told that trying again is harmless?
    fn may_refuse(&self, o: &Open) -> bool {
        o.anchor.is_none() || matches!(self.effect(o), Effect::Safe | Effect::Keyed { group: Group::All, .. })
    }

    /// Rule 3: the moment from which a draining node gets nothing new.
    fn drain_end(&self, n: &Node) -> Micros {
        let used = (self.cfg.drain_grace as f64 * GRACE_USED) as Micros;
        n.told_stop.map_or(Micros::MAX, |t| t + used)
    }

    /// Rule 4: how long ago the node started, while it may still be cold.
    fn cold_age(&self, now: Micros, n: &Node) -> Option<Micros> {
        let (c, started) = (self.cfg.cold?, n.started?);
        let age = (now - started).max(0);
        (age < c.warm_up + c.window).then_some(age)
    }

    /// Rule 4: this host's part of what a cold node bears: what was stated, and the rule's multiple of the
    /// cold share of what warm ones are seen to do. The bucket grows as the slowest warm; with many hosts one
    /// request goes above zero and is repaid after, and most start in debt, so as not to come at once.
    fn cold_tokens(&self, now: Micros, n: &Node) -> Option<f64> {
        let (age, c) = (self.cold_age(now, n)?, self.cfg.cold?);
        let warmth = (age - c.window).max(0) as f64 / c.warm_up.max(1) as f64;
        let grown = (c.from + (1.0 - c.from) * warmth) / c.from.max(0.01);
        let usual = self.served / self.alike / (now - self.since).max(USUAL_LEAST) as f64 * c.window as f64;
        let seen = c.multiple * c.from * usual * self.crowd.sqrt().min(UNEVEN_MOST);
        let share = self.share(now, self.rights.cold);
        let told = c.bears / f64::from(self.cfg.hosts.max(1)) * share;
        let part = told.max(seen * share.min(1.0)) * grown * COLD_LEAN * PART_USED;
        let mut cold = n.cold;
        cold.fill(now, part / c.window.max(1) as f64 * 1e6, (part / COLD_LEAN).max(self.cfg.mean_units));
        Some(cold.level)
    }

    /// Rule 5: is it this request's turn among those with its key?
    fn order_allows(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(o) = self.open.get(&id) else { return false };
        let (Some(key), tries) = (self.ordered_key(&o.req), o.tries) else { return true };
        let (open, attempts) = (&self.open, &self.attempts);
        let Some(line) = self.lines.get_mut(&key) else { return true };
        while let Some(front) = line.ids.front().filter(|f| **f != id) {
            if open.contains_key(front) || still_out(attempts, *front) {
                return false;
            }
            line.ids.pop_front();
        }
        tries > 0 || line.rest_until <= now
    }

    fn ordered_key(&self, req: &Request) -> Option<Key> {
        req.key.filter(|_| self.cfg.classes.get(req.class as usize).is_some_and(|c| c.in_order))
    }

    /// Rule 6: room for one more attempt past a request's first?
    fn budget_allows(&mut self, now: Micros) -> bool {
        let Some(b) = self.cfg.budget else { return true };
        self.extra.retain(|t| now - t <= b.window + self.cfg.tick);
        self.taken.retain(|t| now - t < b.window - self.cfg.tick);
        (self.extra.len() + 1) as f64 <= b.spare + b.ratio * self.taken.len() as f64
    }

    /// Rule 7: fills this host's part of the volume's bucket. Empty at first: a restart forgets.
    fn tokens(&mut self, now: Micros, req: &Request) -> Option<(f64, f64)> {
        let limit = self.cfg.plans.get(req.plan as usize)?.limit?;
        let begun = self.begun.unwrap_or(now);
        let share = self.share(now, self.rights.of(req.volume)) * PART_USED;
        let v = self.volumes.entry(req.volume).or_default();
        if v.hosts <= 0.0 {
            v.tokens = Bucket { level: 0.0, at: begun };
        }
        let told = if req.hosts >= 1.0 { req.hosts } else { f64::from(self.cfg.hosts.max(1)) };
        v.hosts = v.hosts.max(told);
        (v.rate, v.most) = (limit.rate / v.hosts * share, (limit.burst + limit.slack) / v.hosts * share);
        v.tokens.fill(now, v.rate, v.most);
        Some((v.tokens.level, v.rate))
    }

    /// How much of this host's even part may be used now, by this process.
    fn share(&self, now: Micros, held: f64) -> f64 {
        self.part * if now < self.rights.until { held } else { self.rights.reserve }
    }

    /// Every guard that can hold a request back for now, on one path.
    fn may_send(&mut self, now: Micros, id: RequestId, to: NodeId) -> bool {
        let (Some(o), Some(n)) = (self.open.get(&id), self.nodes.get(&to)) else { return false };
        let (req, tries, drawn) = (o.req, o.tries, o.drawn);
        if u32::from(tries) >= o.most.max(1) || n.gone || now >= self.drain_end(n) {
            return false;
        }
        let cold = |t: f64| t >= req.units || (t > 0.0 && n.out.is_empty());
        if !self.effect_allows(now, o, n) || !self.cold_tokens(now, n).is_none_or(cold) || now >= req.give_up
        {
            return false;
        }
        if !drawn && self.tokens(now, &req).is_some_and(|(have, _)| have < req.units) {
            return false;
        }
        (tries == 0 || self.budget_allows(now)) && self.order_allows(now, id)
    }

    // ---- release ---------------------------------------------------------------------------------------

    /// Sends what may go, in start-tag order, while fewer than D are out. What a guard holds back keeps its
    /// place and blocks no other. Exception: what would miss its aim goes only where nothing is out.
    fn release(&mut self, now: Micros, id: NodeId, out: &mut Vec<Action>) {
        let (least, target, best) = (self.least, self.target, self.best);
        let crowd = self.crowd.sqrt() * (self.fleet / target).clamp(1.0, self.crowd.sqrt());
        loop {
            let trial = self.trials.as_ref().map(|t| t.get(&id).is_some_and(|until| now < *until));
            let Some(n) = self.nodes.get_mut(&id) else { return };
            if n.queue.is_empty() {
                return;
            }
            let room = match n.open {
                true => trial.unwrap_or(now >= n.trial_at),
                false if n.depth < 1.0 => now >= n.next_at(target),
                false => n.abreast().count() < (n.depth * self.part) as usize || n.stuck(now),
            };
            n.pressed |= !room;
            let usual = if n.open { 0.0 } else { n.latency_now(now, crowd) };
            let mut held: Vec<RequestId> = n.queue.values().copied().collect();
            let calm = room && n.out.is_empty() && usual < least * DEPTH_TARGET;
            let until = |b: &Self, r: &RequestId, late: bool| {
                let Some(o) = b.open.get(r) else { return false };
                let gate = GATE_LEAST + (1.0 - GATE_LEAST) * o.value / best;
                now + usual as Micros <= if late { o.req.give_up } else { o.aim_at } && usual <= least * gate
            };
            let mut pick = held.iter().find(|r| room && until(self, r, false) && self.may_send(now, **r, id));
            if calm && pick.is_none() {
                pick = held.iter().find(|r| until(self, r, true) && self.may_send(now, **r, id));
            }
            let Some(r) = pick.copied() else {
                // Late, at a slow node: given up, and answered at once.
                held.retain(|r| usual > least && self.open.get(r).is_some_and(|o| o.aim_at < now));
                return held.into_iter().for_each(|r| self.finish(r, Some(usual as Micros), out));
            };
            self.send(now, r, id, out);
        }
    }

    /// The only place that starts an attempt. `may_send` has been asked.
    fn send(&mut self, now: Micros, id: RequestId, to: NodeId, out: &mut Vec<Action>) {
        let (jitter, crowd) = (0.75 + 0.5 * self.random(), self.crowd);
        let start = self.open.get(&id).and_then(|o| o.slot).map_or(i64::MIN, |s| s.0);
        self.unhold(id, false);
        let ends = self.open.get(&id).map(|o| (self.last_end(&o.req), self.covered_until(o)));
        let Some((o, (last, begin_by))) = self.open.get_mut(&id).zip(ends) else { return };
        self.ends.remove(&(o.end, id));
        self.ends.insert((last, id));
        o.end = last;
        let Some(n) = self.nodes.get_mut(&to) else { return };
        let (number, units, volume) = (o.tries, o.req.units, o.req.volume);
        n.vtime = n.vtime.max(start);
        (o.tries, o.live, o.home) = (o.tries + 1, o.live + 1, Some(to));
        o.anchor = o.anchor.or(Some(Anchor { sent: now, shard: n.shard, zone: n.zone }));
        let first_draw = !std::mem::replace(&mut o.drawn, true);
        self.extra.extend(self.cfg.budget.filter(|_| number > 0).map(|_| now));
        n.out.insert((id, number), now);
        (n.sent_at, n.jitter) = (now, jitter);
        if n.open {
            n.trial_at = now + (n.backoff as f64 * jitter) as Micros;
            n.backoff = (n.backoff * 2).min((TRIAL_LAST as f64 * crowd) as Micros);
        }
        self.trials.iter_mut().for_each(|t| t.retain(|node, until| *node != to && *until > now));
        let drawn = if first_draw { units } else { 0.0 };
        let draw = |v: &mut Volume| (v.tokens.level - drawn, (v.waiting - drawn).max(0.0));
        self.volumes.entry(volume).and_modify(|v| (v.tokens.level, v.waiting) = draw(v));
        self.book(now, to, volume, units);
        self.attempts.insert((id, number), (to, self.ordered_key(&self.open[&id].req)));
        out.push(Action::Send { request: id, node: to, timeout: None, begin_by });
    }

    /// Counts units sent: in a cold node's budget, and in the volume's delay elsewhere.
    fn book(&mut self, now: Micros, to: NodeId, volume: VolumeId, units: f64) {
        let cold = self.nodes.get(&to).and_then(|n| self.cold_tokens(now, n)).unwrap_or(0.0);
        self.volumes.entry(volume).and_modify(|v| (v.sent, v.last) = (v.sent + units, now));
        let Some(n) = self.nodes.get_mut(&to) else { return };
        n.cold = Bucket { level: cold - units, at: now };
        n.flows.entry(volume).and_modify(|f| (f.sent_here, f.last) = (f.sent_here + units, now));
    }

    // ---- attempts --------------------------------------------------------------------------------------

    fn on_answer(&mut self, now: Micros, a: Answer, out: &mut Vec<Action>) {
        let Some((node, key)) = self.attempts.remove(&(a.request, a.attempt)) else { return };
        self.nodes.entry(node).and_modify(|n| n.out.retain(|k, _| *k != (a.request, a.attempt)));
        let doubt = |_: &Key| matches!(a.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        let line = key.filter(doubt).and_then(|k| self.lines.get_mut(&k));
        line.into_iter().for_each(|l| l.rest_until = l.rest_until.max(now + self.cfg.settle));
        // A transfer lasts as long as its bytes and its client's pace: only a break tells of the node.
        let begun = self.open.get(&a.request).is_some_and(|o| o.began);
        if !begun || !matches!(a.outcome, Outcome::Ok | Outcome::Timeout) {
            self.learn(now, a.node, a.outcome, a.waited, out);
        }
        let cold = self.nodes.get(&node).is_some_and(|n| self.cold_age(now, n).is_some());
        let Some(o) = self.open.get_mut(&a.request) else { return };
        self.served += if cold || a.outcome != Outcome::Ok { 0.0 } else { o.req.units };
        o.live = o.live.saturating_sub(1);
        match a.outcome {
            Outcome::Moved => o.req.astray = true,
            Outcome::Lapsed => o.drawn = o.maybe_ran,
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot => {}
            _ => o.maybe_ran = true,
        }
        if o.live == 0 && !o.maybe_ran {
            o.anchor = None;
        }
        if a.finished {
            self.close(a.request);
        } else if o.live == 0 && o.slot.is_none() {
            self.again(now, a.request, a.outcome, out);
        }
    }

    /// A transfer has begun: the time to its first bytes is the node's latency, and it holds no slot of D.
    fn on_began(&mut self, now: Micros, request: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&request) else { return };
        o.began = true;
        let Some((node, _)) = self.attempts.get(&(request, attempt)).copied() else { return };
        let sent = self.nodes.get_mut(&node).and_then(|n| n.out.remove(&(request, attempt)));
        sent.into_iter().for_each(|s| self.learn(now, node, Outcome::Ok, now - s, out));
    }

    /// Lets a transfer in hand move on once its volume's limit allows: that is no new work, and a drain does
    /// not stop it. It counts like what is sent: in the volume's tag, its delay elsewhere, a cold budget.
    fn grow(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let asked = self.open.get(&id).and_then(|o| Some((o.req, o.home, o.more?)));
        let Some((req, home, units)) = asked else { return self.growing.retain(|g| *g != id) };
        if self.tokens(now, &req).is_some_and(|(have, _)| have < units) {
            return;
        }
        let (phi, volume) = (self.phi(req.plan), req.volume);
        self.volumes.entry(volume).and_modify(|v| v.tokens.level -= units);
        if let Some(home) = home {
            self.book(now, home, volume, units);
            let f = self.nodes.get_mut(&home).and_then(|n| n.flows.get_mut(&volume));
            f.into_iter().for_each(|f| f.finish += (units / phi * TAG_SCALE).round() as i64);
        }
        self.open.entry(id).and_modify(|o| o.more = None);
        self.growing.remove(&id);
        out.push(Action::Grant { request: id });
    }

    /// After an attempt that did not serve the request: back to its place in the queue, or the end.
    fn again(&mut self, now: Micros, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        let spent = u32::from(o.tries) >= o.most || now >= o.req.give_up - 4 * self.cfg.tick;
        let (anchored, keyless) = (o.anchor.is_some(), o.req.shard.is_none());
        let at = o.home.and_then(|h| self.nodes.get(&h));
        let dead_end = anchored && at.is_none_or(|n| !self.effect_allows(now, o, n));
        if spent || dead_end || (outcome == Outcome::Moot && !keyless) || o.began {
            return self.finish(id, None, out);
        }
        let here = |n: &Node| !o.req.astray && o.req.shard.is_none_or(|s| s == n.shard);
        let keep = at.is_some_and(|n| !n.gone && n.told_stop.is_none() && here(n));
        let stay = keep && (anchored || !keyless) && outcome != Outcome::Moot;
        let (finish, seq, home) = (o.finish, o.seq, o.home);
        let Some(n) = home.filter(|_| stay).and_then(|h| self.nodes.get_mut(&h)) else {
            return self.place_or_fail(now, id, out);
        };
        let slot = (n.vtime.min(finish), seq);
        n.queue.insert(slot, id);
        self.open.entry(id).and_modify(|o| o.slot = Some(slot));
    }

    // ---- admission and expiry --------------------------------------------------------------------------

    fn on_request(&mut self, now: Micros, req: Request, out: &mut Vec<Action>) {
        let (id, units, volume) = (req.id, req.units, req.volume);
        self.taken.extend(self.cfg.budget.map(|_| now));
        if self.open.contains_key(&id) {
            return;
        }
        let line = self.ordered_key(&req).map(|key| self.lines.entry(key).or_default());
        line.into_iter().for_each(|l| l.ids.push_back(id));
        self.seq += 1;
        let aim_at = self.aim_at(now, &req);
        let value = self.value(now, &req);
        let half = now + ((req.give_up - now) as f64 * UNSENT_PART) as Micros;
        let end = half.max(aim_at).min(self.last_end(&req));
        let bucket = self.tokens(now, &req);
        let (seq, most) = (self.seq, self.cfg.most_tries);
        self.open.insert(id, Open { req, seq, most, aim_at, end, value, ..Open::default() });
        self.ends.insert((end, id));
        if let Some((have, rate)) = bucket {
            let v = self.volumes.entry(volume).or_default();
            let wait = ((v.waiting + units - have) / rate.max(1e-9) * 1e6).clamp(0.0, 1e12) as Micros;
            v.waiting += units;
            if now + wait > aim_at {
                return self.finish(id, Some(wait), out);
            }
        }
        self.place(now, id);
        let Some(home) = self.open.get(&id).and_then(|o| o.home) else { return };
        self.release(now, home, out);
        self.shed(now, home, out);
    }

    fn last_end(&self, req: &Request) -> Micros {
        req.give_up - END_TICKS * self.cfg.tick
    }

    /// When the aim ends. A client's repeat has less time left: its aim ran from the first try.
    fn aim_at(&mut self, now: Micros, req: &Request) -> Micros {
        let Some(class) = self.cfg.classes.get(req.class as usize) else { return req.give_up };
        let left = req.give_up - now;
        let longest = &mut self.longest_try[req.class as usize];
        *longest = left.max(*longest);
        // Much less time than that is an impatient client, not a repeat: its aim is to be answered at all.
        let gone = if left * 2 < *longest { 0 } else { *longest - left };
        (now + class.aim - gone).min(req.give_up)
    }

    /// The only place that gives a final answer: refused where the rules let it, else failed.
    fn finish(&mut self, id: RequestId, wait: Option<Micros>, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id).filter(|o| !o.began || o.live == 0) else { return };
        if self.may_refuse(o) {
            let hint = wait.unwrap_or(HINT_LEAST).clamp(HINT_LEAST, self.cfg.max_retry_after.max(HINT_LEAST));
            let retry_after = self.cfg.retry_after.then_some(hint);
            out.push(Action::Refuse { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.close(id);
    }

    /// Forgets a request that has its final answer. Attempts still out are kept until they end.
    fn close(&mut self, id: RequestId) {
        self.unhold(id, true);
        self.growing.remove(&id);
        let Some(o) = self.open.remove(&id) else { return };
        self.ends.remove(&(o.end, id));
        let undrawn = if o.drawn { 0.0 } else { o.req.units };
        self.volumes.entry(o.req.volume).and_modify(|v| v.waiting = (v.waiting - undrawn).max(0.0));
    }
}

impl Bucket {
    /// At so much a second, up to the most it holds.
    fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        self.level = (self.level + rate * (now - self.at).max(0) as f64 / 1e6).min(most);
        self.at = now;
    }
}

impl Node {
    /// Attempts out that were not overtaken. One that was is lost or long in work, and holds no slot of D.
    fn abreast(&self) -> impl Iterator<Item = Micros> + '_ {
        self.out.values().copied().filter(|sent| sent + OVERTAKEN >= self.answered)
    }

    /// A new reading of the latency, clipped: a pause or a flush tells little of the next ones.
    fn take_latency(&mut self, waited: f64, known: f64) {
        let most = if known > 0.0 { self.latency * CLIP / known } else { f64::MAX };
        self.latency += (1.0 - (1.0 - SMOOTH) * known) * (waited.min(most) - self.latency);
    }

    /// When D below one lets the next request go: D is a rate there.
    fn next_at(&self, target: f64) -> Micros {
        let latency = self.latency.clamp(target, target * GAP_MOST);
        self.sent_at + (latency / self.depth * self.jitter) as Micros
    }

    /// The usual latency, forgotten by halves while nothing is out, and what missing answers tell of it.
    fn latency_now(&self, now: Micros, crowd: f64) -> f64 {
        let halves = (now - self.heard).max(0) as f64 / (KNOWN_HALF as f64 * crowd);
        match self.abreast().next() {
            None => self.latency * 0.5_f64.powf(halves),
            _ if self.stuck(now) => self.latency,
            _ => self.held_up(now).map_or(self.latency, |w| self.latency.max(w)),
        }
    }

    /// Whether all that is out is late: then one more may go, where D and the wait would let nothing.
    fn stuck(&self, now: Micros) -> bool {
        let late = STUCK.max((self.latency * STUCK_USUAL) as Micros);
        self.abreast().all(|sent| now - sent >= late)
    }

    /// The longest wait of what is out that tells of the node: one that is not answered may be lost, and it
    /// takes two in a row.
    fn held_up(&self, now: Micros) -> Option<f64> {
        let mut waits: Vec<Micros> = self.abreast().map(|sent| now - sent).collect();
        waits.sort_unstable();
        waits.iter().rev().nth(usize::from(self.fails == 0)).map(|w| *w as f64)
    }
}

fn weight(w: f64) -> f64 {
    Some(w).filter(|w| *w > 0.0 && w.is_finite()).unwrap_or(1.0)
}

fn still_out(attempts: &Attempts, id: RequestId) -> bool {
    attempts.range((id, 0)..=(id, u16::MAX)).next().is_some()
}

/// Does this node drop the repeat of what the anchor's node may have run?
fn same_group(effect: Effect, a: Anchor, n: &Node) -> bool {
    match effect {
        Effect::Keyed { group: Group::Zone, .. } => a.zone == n.zone,
        Effect::Keyed { group: Group::Cell, .. } => a.shard == n.shard,
        Effect::Unsafe => false,
        _ => true,
    }
}
