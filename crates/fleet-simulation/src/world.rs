//! One run: fronts, a network with faults, a script, and what came of it.

use hdrhistogram::Histogram;
use lupinrack_fault_injection::relay::Fault;
use lupinrack_fault_injection::{Act, Script};
use lupinrack_fleet_membership::agreement::ViewNumber;
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::swim::MemberState;
use lupinrack_fleet_membership::{Event, Front, Output, Source};
use lupinrack_policy::{Micros, VolumeId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

/// The first moment; machines want a clock well above zero.
const BASE: Micros = 1_000_000_000;
/// A front was well if nothing was done to it for so long.
const WELL: Micros = 4_000_000;
/// Datagrams kept for being played again.
const KEPT_MOST: usize = 4096;
/// How often fronts hear what they served.
const SERVED: Micros = 250_000;

/// The network between fronts.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// The median of the way, in microseconds.
    pub median_us: f64,
    /// The spread of its logarithm.
    pub sigma: f64,
    /// Clocks run fast or slow by up to this, in millionths. Two of them differ by twice as much, which has to stay within what is
    /// stated to the machines.
    pub drift_ppm: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            median_us: 300.0,
            sigma: 0.4,
            drift_ppm: 900.0,
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Fronts.
    pub fronts: usize,
    /// Views that anybody accepted.
    pub views: u64,
    /// Two lists under one number. A promise: 0.
    pub view_conflicts: u64,
    /// The most in use of anything shared at one moment, over the whole. A promise: not above 1.
    pub parts_sum_max: f64,
    /// Times that a well front was held for dead by a well one; once in 5 s for each.
    pub false_deaths: u64,
    /// From a death to the first front that holds it for one, in milliseconds: median.
    pub detect_ms_p50: f64,
    /// The same, 99th percentile.
    pub detect_ms_p99: f64,
    /// From there to every well front's view without it, 99th percentile.
    pub agree_ms_p99: f64,
    /// Deaths that nobody noticed.
    pub unnoticed: u64,
    /// From the last act (or the start) until all who live hold a lease on a view of just them that lets each use its even part or
    /// more, in milliseconds; none: never.
    pub settled_ms: Option<f64>,
    /// Of the whole that is shared, the mean share that nobody may use.
    pub idle_share: f64,
    /// Datagrams that a front sent, a second.
    pub datagrams_per_front_s: f64,
    /// Bytes of datagrams that a front sent, a second.
    pub bytes_per_front_s: f64,
    /// The most datagrams that one front sent, a second in the mean.
    pub datagrams_most_s: f64,
    /// Parts in use over the whole, each half second.
    #[serde(skip)]
    pub line: Vec<(f64, f64)>,
}

/// A death or a stop, and who noticed it when.
struct Death {
    of: usize,
    at: Micros,
    /// When the first front held it for dead.
    noticed: Option<Micros>,
    /// Fronts that have a view without it since, and when each had.
    agreed: Vec<Micros>,
    agrees: FrontSet,
    /// It is back: nothing counts from here on.
    over: bool,
}

impl Death {
    fn new(of: usize, at: Micros) -> Death {
        Death {
            of,
            at,
            noticed: None,
            agreed: Vec::new(),
            agrees: FrontSet::default(),
            over: false,
        }
    }
}

enum What {
    Tick(usize, u64),
    Arrive {
        to: usize,
        from: Option<usize>,
        bytes: Vec<u8>,
    },
    Act(usize),
    Sample,
}

struct Slot {
    front: Option<Front>,
    life: u64,
    /// Ticks of an earlier life or of before a pause are dropped.
    turn: u64,
    stopped: bool,
    waiting: Vec<(Option<usize>, Vec<u8>)>,
    rate: f64,
    offset: Micros,
    keys: Vec<String>,
    lacks: Vec<u16>,
    served_at: Micros,
    held: Holds,
    sent: (u64, u64),
    /// Since when nothing was done to it.
    since: Micros,
    view: (ViewNumber, FrontSet),
    /// When it was last held for dead without being it.
    wronged: Micros,
}

#[derive(Clone, Default)]
struct Holds {
    until: Micros,
    reserve: f64,
    cold: f64,
    factors: Vec<(u64, f64)>,
    rest: f64,
}

impl Holds {
    fn of(&self, at: Micros, volume: Option<u64>) -> f64 {
        match volume {
            _ if at >= self.until => self.reserve,
            None => self.cold,
            Some(v) => self
                .factors
                .iter()
                .find(|(of, _)| *of == v)
                .map_or(self.rest, |(_, f)| *f),
        }
    }
}

/// The world of one run.
pub struct World {
    script: Script,
    section: Section,
    net: Net,
    dice: StdRng,
    now: Micros,
    number: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    whats: HashMap<usize, What>,
    slots: Vec<Slot>,
    faults: Vec<Fault>,
    /// A second process under a name sits behind all slots: `n + i`.
    n: usize,
    /// Fronts that volumes came to while the script ran.
    joined: Vec<(u16, u16)>,
    keeps: bool,
    kept: Vec<(usize, usize, Vec<u8>)>,
    lists: HashMap<ViewNumber, FrontSet>,
    deaths: Vec<Death>,
    out: Outcome,
    sum: f64,
    idle: (f64, u64),
    calm_since: Micros,
    settled: Option<Micros>,
}

impl World {
    /// A world for a script; `section` has the times, its members are made here.
    pub fn new(script: Script, mut section: Section, net: Net) -> World {
        let n = usize::from(script.fronts);
        section.enabled = true;
        section.keys = script.keys.clone();
        section.member = (0..n)
            .map(|i| Peer {
                name: format!("n{i}"),
                address: SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
            })
            .collect();
        let mut dice = StdRng::seed_from_u64(script.seed);
        let slots = (0..2 * n)
            .map(|_| Slot {
                front: None,
                life: 0,
                turn: 0,
                stopped: false,
                waiting: Vec::new(),
                rate: 1.0 + dice.random_range(-1.0..1.0) * net.drift_ppm / 1e6,
                offset: dice.random_range(0..1_000_000_000),
                keys: script.keys.clone(),
                lacks: Vec::new(),
                served_at: 0,
                held: Holds::default(),
                sent: (0, 0),
                since: BASE,
                view: Default::default(),
                wronged: 0,
            })
            .collect();
        let out = Outcome {
            seed: script.seed,
            fronts: n,
            ..Outcome::default()
        };
        World {
            script,
            section,
            net,
            dice,
            now: BASE,
            number: 0,
            queue: BinaryHeap::new(),
            whats: HashMap::new(),
            slots,
            faults: vec![Fault::default(); n * n],
            n,
            joined: Vec::new(),
            keeps: false,
            kept: Vec::new(),
            lists: HashMap::new(),
            deaths: Vec::new(),
            out,
            sum: 0.0,
            idle: (0.0, 0),
            calm_since: BASE,
            settled: None,
        }
    }

    /// Plays the script to its end.
    pub fn run(mut self) -> Outcome {
        if !self.script.late {
            (0..self.n).for_each(|i| self.start(i, i));
        }
        let lead = if self.script.late { 0 } else { self.lead() };
        for (i, (at, _)) in self.script.acts.clone().iter().enumerate() {
            self.put(BASE + lead + *at as Micros * 1000, What::Act(i));
        }
        let end = BASE + lead + (self.script.seconds * 1e6) as Micros;
        self.put(BASE + 500_000, What::Sample);
        while let Some(Reverse((at, _, key))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(what) = self.whats.remove(&key) {
                self.step(what);
            }
        }
        self.finish(end - BASE)
    }

    /// How long a fleet takes to come up before the script begins: as in the rig, which waits for it.
    fn lead(&self) -> Micros {
        Section::micros(self.section.lease_ms) * 4 + 2_000_000
    }

    fn put(&mut self, at: Micros, what: What) {
        self.number += 1;
        let key = self.number as usize;
        self.queue.push(Reverse((at, self.number, key)));
        self.whats.insert(key, what);
    }

    fn local(&self, slot: usize, at: Micros) -> Micros {
        let s = &self.slots[slot];
        BASE + s.offset + ((at - BASE) as f64 * s.rate) as Micros
    }

    fn global(&self, slot: usize, local: Micros) -> Micros {
        let s = &self.slots[slot];
        BASE + ((local - BASE - s.offset) as f64 / s.rate) as Micros
    }

    fn start(&mut self, slot: usize, name: usize) {
        let mut section = self.section.clone();
        let s = &self.slots[slot];
        (section.keys, section.name) = (s.keys.clone(), format!("n{name}"));
        // One who lacks a member counts on with the others under other numbers: its list differs.
        section
            .member
            .retain(|m| !s.lacks.iter().any(|l| m.name == format!("n{l}")));
        let Some(me) = section.own_index() else {
            return;
        };
        let now = self.local(slot, self.now);
        let (life, seed) = (
            (self.now as u64) << 8 | self.dice.random_range(1..256),
            self.dice.random(),
        );
        let s = &mut self.slots[slot];
        (s.life, s.front, s.stopped, s.since) = (
            life,
            Some(Front::new(&section, me, life, seed, now)),
            false,
            self.now,
        );
        s.turn += 1;
        let turn = s.turn;
        self.hold(slot);
        let after = self.dice.random_range(0..5_000);
        self.put(self.now + after, What::Tick(slot, turn));
    }

    fn kill(&mut self, slot: usize) {
        let s = &mut self.slots[slot];
        (s.front, s.held, s.since) = (None, Holds::default(), self.now);
        s.waiting.clear();
        s.turn += 1;
    }

    fn step(&mut self, what: What) {
        match what {
            What::Tick(slot, turn) => self.tick(slot, turn),
            What::Arrive { to, from, bytes } => self.arrive(to, from, bytes),
            What::Act(i) => {
                let act = self.script.acts[i].1.clone();
                self.act(&act);
            }
            What::Sample => {
                self.sample();
                self.put(self.now + 500_000, What::Sample);
            }
        }
    }

    fn tick(&mut self, slot: usize, turn: u64) {
        let now = self.local(slot, self.now);
        let serves: Vec<u64> = match slot < self.n && now - self.slots[slot].served_at > SERVED {
            true => {
                let me = slot as u16;
                (0..self.script.volumes)
                    .filter(|v| self.set(*v).contains(&me))
                    .map(|v| u64::from(v) + 1)
                    .collect()
            }
            false => Vec::new(),
        };
        let hosts = f64::from(self.script.hosts.clamp(1, self.script.fronts));
        let s = &mut self.slots[slot];
        if s.turn != turn || s.stopped {
            return;
        }
        let Some(front) = &mut s.front else { return };
        let mut out = Vec::new();
        if !serves.is_empty() {
            s.served_at = now;
            serves
                .iter()
                .for_each(|v| front.record_served(now, VolumeId(*v), hosts));
        }
        front.tick(now, &mut out);
        let step = front.tick_interval();
        self.carry(slot, None, out);
        self.put(self.now + step, What::Tick(slot, turn));
    }

    fn arrive(&mut self, to: usize, from: Option<usize>, bytes: Vec<u8>) {
        let now = self.local(to, self.now);
        let s = &mut self.slots[to];
        if s.stopped {
            // The system keeps some of what comes meanwhile.
            if s.waiting.len() < 128 {
                s.waiting.push((from, bytes));
            }
            return;
        }
        let Some(front) = &mut s.front else { return };
        let source = match from {
            Some(from) if from < self.n => Source::Peer(from as u16),
            _ => Source::Unknown,
        };
        let mut out = Vec::new();
        front.receive(now, source, &bytes, &mut out);
        self.carry(to, from, out);
    }

    fn carry(&mut self, slot: usize, back: Option<usize>, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Send(to, bytes) => self.send(slot, usize::from(to), bytes),
                Output::Answer(bytes) => {
                    if let Some(back) = back {
                        self.put(
                            self.now + 300,
                            What::Arrive {
                                to: back,
                                from: Some(slot),
                                bytes,
                            },
                        );
                    }
                }
                Output::Event(event) => self.event(slot, &event),
                // No other machine speaks in this world.
                Output::Deliver(..) | Output::Restarted(_) => {}
            }
        }
        self.hold(slot);
    }

    fn send(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let s = &mut self.slots[from];
        s.sent = (s.sent.0 + 1, s.sent.1 + bytes.len() as u64);
        let way = LogNormal::new(self.net.median_us.ln(), self.net.sigma);
        let delay = |dice: &mut StdRng| way.as_ref().map_or(300.0, |w| w.sample(dice)) as Micros;
        if from >= self.n {
            // A second process under a name: known by no address, heard all the same.
            let after = delay(&mut self.dice);
            return self.put(
                self.now + after,
                What::Arrive {
                    to,
                    from: Some(from),
                    bytes,
                },
            );
        }
        let fault = self.faults[from * self.n + to];
        if self.dice.random_bool(fault.damage.clamp(0.0, 1.0)) && !bytes.is_empty() {
            let i = self.dice.random_range(0..bytes.len());
            bytes[i] ^= 1 << self.dice.random_range(0..8);
        }
        if self.keeps && self.kept.len() < KEPT_MOST {
            self.kept.push((from, to, bytes.clone()));
        }
        if fault.cut || self.dice.random_bool(fault.loss.clamp(0.0, 1.0)) {
            return;
        }
        let copies = 1 + usize::from(self.dice.random_bool(fault.twice.clamp(0.0, 1.0)));
        for _ in 0..copies {
            let spread = self.dice.random_range(0..=fault.spread_ms * 1000) as Micros;
            let after = delay(&mut self.dice) + fault.delay_ms as Micros * 1000 + spread;
            self.put(
                self.now + after,
                What::Arrive {
                    to,
                    from: Some(from),
                    bytes: bytes.clone(),
                },
            );
        }
    }

    fn event(&mut self, slot: usize, event: &Event) {
        match event {
            Event::View(view) => {
                let list = *self.lists.entry(view.number).or_insert(view.members);
                self.out.view_conflicts += u64::from(list != view.members);
                self.out.views = self.lists.len() as u64;
                self.slots[slot].view = (view.number, view.members);
                let now = self.now;
                let well = slot < self.n && now - self.slots[slot].since > WELL;
                let without = |d: &&mut Death| !d.over && !view.members.contains(d.of as u16);
                for d in self.deaths.iter_mut().filter(without) {
                    if well && d.noticed.is_some() && !d.agrees.contains(slot as u16) {
                        d.agrees.insert(slot as u16);
                        d.agreed.push(now);
                    }
                }
            }
            Event::Member(c) if c.to == MemberState::Dead && slot < self.n => {
                let of = usize::from(c.front);
                let now = self.now;
                let well = |s: &Slot| s.front.is_some() && !s.stopped && now - s.since > WELL;
                let reached =
                    self.reached(of) && self.reached(slot) && now - self.calm_since > WELL;
                if well(&self.slots[of])
                    && well(&self.slots[slot])
                    && reached
                    && now - self.slots[of].wronged > 5_000_000
                {
                    self.slots[of].wronged = now;
                    self.out.false_deaths += 1;
                }
                let death = self
                    .deaths
                    .iter_mut()
                    .find(|d| d.of == of && !d.over && d.noticed.is_none());
                if let Some(death) = death {
                    death.noticed = Some(now);
                }
            }
            _ => {}
        }
    }

    /// Whether a front reaches a majority, both ways.
    fn reached(&self, of: usize) -> bool {
        let n = self.n;
        let open = |a: usize, b: usize| {
            a == b || !(self.faults[a * n + b].cut || self.faults[a * n + b].loss > 0.5)
        };
        (0..n).filter(|o| open(of, *o) && open(*o, of)).count() * 2 > n
    }

    /// Notes what a front may use from now on, and what all use together.
    fn hold(&mut self, slot: usize) {
        let now = self.local(slot, self.now);
        let Some(front) = &self.slots[slot].front else {
            return;
        };
        let r = front.quota_shares(now);
        let until = if r.valid_until > now {
            self.global(slot, r.valid_until)
        } else {
            0
        };
        let factors = r.volume_factors.iter().map(|(v, f)| (v.0, *f)).collect();
        let held = Holds {
            until,
            reserve: r.reserve,
            cold: r.slow_start,
            factors,
            rest: r.default_volume_factor,
        };
        let old = &self.slots[slot].held;
        let rises = held.until > old.until
            || held.cold > old.cold
            || held.reserve > old.reserve
            || held.rest > old.rest
            || held.factors != old.factors;
        self.slots[slot].held = held;
        if rises {
            self.add_up();
        }
    }

    /// Through which fronts a volume works by now.
    fn set(&self, volume: u16) -> Vec<u16> {
        let joined = self
            .joined
            .iter()
            .filter(|(v, _)| *v == volume)
            .map(|(_, f)| *f);
        self.script.set(volume).into_iter().chain(joined).collect()
    }

    fn add_up(&mut self) {
        let (now, n) = (self.now, self.n as f64);
        let cold: f64 = self.slots.iter().map(|s| s.held.of(now, None)).sum::<f64>() / n;
        self.sum = cold;
        let mut most = cold;
        // Of each volume by its set; in large worlds volumes are few.
        for volume in 0..self.script.volumes {
            let set = self.set(volume);
            let of = |slot: usize| self.slots[slot].held.of(now, Some(u64::from(volume) + 1));
            let both = |f: &u16| of(usize::from(*f)) + of(usize::from(*f) + self.n);
            most = most.max(
                set.iter().map(both).sum::<f64>()
                    / f64::from(self.script.hosts.clamp(1, self.script.fronts)),
            );
        }
        self.out.parts_sum_max = self.out.parts_sum_max.max(most);
    }

    fn sample(&mut self) {
        self.add_up();
        let at = (self.now - BASE) as f64 / 1e6;
        self.out.line.push((at, self.sum));
        self.idle = (self.idle.0 + (1.0 - self.sum).max(0.0), self.idle.1 + 1);
        let now = self.now;
        let lives = |s: &&Slot| s.front.is_some() && !s.stopped;
        let living: FrontSet = (0..self.n as u16)
            .filter(|i| lives(&&self.slots[usize::from(*i)]))
            .collect();
        let settled = |s: &Slot| s.view.1 == living && s.held.until > now && s.held.cold >= 1.0;
        let whole = self.slots[..self.n].iter().filter(lives).all(settled);
        if whole && self.settled.is_none() {
            self.settled = Some(now - self.calm_since);
        }
    }

    fn act(&mut self, act: &Act) {
        let n = self.n;
        self.calm_since = self.now;
        self.settled = None;
        if let Act::Start { front } | Act::Cont { front } = act {
            self.deaths
                .iter_mut()
                .filter(|d| d.of == usize::from(*front))
                .for_each(|d| d.over = true);
        }
        match act {
            Act::Kill { front } => {
                self.deaths.push(Death::new(usize::from(*front), self.now));
                self.kill(usize::from(*front));
            }
            Act::Term { front } => self.kill(usize::from(*front)),
            Act::Start { front } if self.slots[usize::from(*front)].front.is_none() => {
                self.start(usize::from(*front), usize::from(*front));
            }
            Act::Start { .. } => {}
            Act::Stop { front } => {
                self.deaths.push(Death::new(usize::from(*front), self.now));
                let s = &mut self.slots[usize::from(*front)];
                (s.stopped, s.since) = (true, self.now);
                s.turn += 1;
            }
            Act::Cont { front } => {
                let slot = usize::from(*front);
                let s = &mut self.slots[slot];
                if std::mem::take(&mut s.stopped) {
                    s.since = self.now;
                    let (turn, waiting) = (s.turn, std::mem::take(&mut s.waiting));
                    for (from, bytes) in waiting {
                        self.put(
                            self.now,
                            What::Arrive {
                                to: slot,
                                from,
                                bytes,
                            },
                        );
                    }
                    self.put(self.now, What::Tick(slot, turn));
                }
            }
            Act::Twin { front } => self.start(n + usize::from(*front), usize::from(*front)),
            Act::NoTwin { front } => self.kill(n + usize::from(*front)),
            Act::Path { from, to, fault } => {
                self.faults[usize::from(*from) * n + usize::from(*to)] = *fault
            }
            Act::Net { fault } => {
                self.faults.iter_mut().for_each(|f| {
                    *f = Fault {
                        cut: f.cut,
                        ..*fault
                    }
                });
            }
            Act::Split { groups } => {
                let mut of = vec![None; n];
                for (g, group) in groups.iter().enumerate() {
                    group.iter().for_each(|f| of[usize::from(*f)] = Some(g));
                }
                for at in 0..n * n {
                    self.faults[at].cut = of[at / n].is_none() || of[at / n] != of[at % n];
                }
            }
            Act::Mute { front } => {
                (0..n).for_each(|to| self.faults[usize::from(*front) * n + to].cut = true);
            }
            Act::Heal => self.faults.iter_mut().for_each(|f| f.cut = false),
            Act::Joins { volume, front } => self.joined.push((*volume, *front)),
            Act::Keep { on } => self.keeps = *on,
            Act::Again => {
                for (from, to, bytes) in std::mem::take(&mut self.kept) {
                    self.put(
                        self.now,
                        What::Arrive {
                            to,
                            from: Some(from),
                            bytes,
                        },
                    );
                }
            }
            Act::Keys { front, keys } => {
                for i in (0..n).filter(|i| front.is_none_or(|f| usize::from(f) == *i)) {
                    self.slots[i].keys = keys.clone();
                }
            }
            Act::Forgets { front, member } => self.slots[usize::from(*front)].lacks.push(*member),
            // Nodes are not part of this world.
            Act::Nodes { .. } | Act::Discovery { .. } | Act::Cold | Act::Hang { .. } => {}
            // One process after the other, with a new life: the time that both live is the rig's.
            Act::Upgrade { front } => {
                self.kill(usize::from(*front));
                self.start(usize::from(*front), usize::from(*front));
            }
        }
    }

    fn finish(mut self, span: Micros) -> Outcome {
        let seconds = span as f64 / 1e6;
        let times = || Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).ok();
        let mut detect = times();
        let mut agree = times();
        for d in &self.deaths {
            let Some(first) = d.noticed else {
                // One that was back at once was not there to be noticed.
                self.out.unnoticed += u64::from(!d.over);
                continue;
            };
            detect
                .iter_mut()
                .for_each(|h| h.saturating_record((first - d.at) as u64));
            for a in &d.agreed {
                agree
                    .iter_mut()
                    .for_each(|h| h.saturating_record((a - first) as u64));
            }
        }
        let ms = |h: &Option<Histogram<u64>>, q: f64| {
            h.as_ref()
                .map_or(0.0, |h| h.value_at_quantile(q) as f64 / 1000.0)
        };
        self.out.detect_ms_p50 = ms(&detect, 0.5);
        self.out.detect_ms_p99 = ms(&detect, 0.99);
        self.out.agree_ms_p99 = ms(&agree, 0.99);
        self.out.settled_ms = self.settled.map(|s| s as f64 / 1000.0);
        self.out.idle_share = self.idle.0 / self.idle.1.max(1) as f64;
        let sent: Vec<(u64, u64)> = self.slots[..self.n].iter().map(|s| s.sent).collect();
        let mean = |of: f64| of / self.n as f64 / seconds;
        self.out.datagrams_per_front_s = mean(sent.iter().map(|s| s.0 as f64).sum());
        self.out.bytes_per_front_s = mean(sent.iter().map(|s| s.1 as f64).sum());
        self.out.datagrams_most_s = sent.iter().map(|s| s.0).max().unwrap_or(0) as f64 / seconds;
        self.out
    }
}
