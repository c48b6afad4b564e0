//! One run: fronts, a network with faults, a script, and the outcome.

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

/// Virtual time at the start. The state machines need a clock well above 0.
const START_US: Micros = 1_000_000_000;
/// A front counts as healthy if no fault affected it for this long.
const UNDISTURBED_US: Micros = 4_000_000;
/// Most datagrams that are recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 4096;
/// How often a front is informed of the volumes that it served.
const SERVED_INTERVAL_US: Micros = 250_000;

/// The network between fronts, and their clocks.
#[derive(Clone, Copy, Debug)]
pub struct NetworkModel {
    /// Median delay, in microseconds. Delays are log-normally distributed.
    pub median_us: f64,
    /// Standard deviation of the delay's logarithm.
    pub sigma: f64,
    /// Clocks run fast or slow by up to this, in parts per million. Two clocks drift apart by up to twice as much, which has to
    /// stay within the bound that the state machines assume.
    pub drift_ppm: f64,
}

impl Default for NetworkModel {
    fn default() -> Self {
        NetworkModel {
            median_us: 300.0,
            sigma: 0.4,
            drift_ppm: 900.0,
        }
    }
}

/// The outcome of a run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Outcome {
    /// The seed of the run.
    pub seed: u64,
    /// Number of fronts.
    pub fronts: usize,
    /// Number of views that any front accepted.
    pub views: u64,
    /// Number of times that a front accepted other members under a view number than the first front did. Guaranteed to be 0.
    pub view_conflicts: u64,
    /// The largest sum of quota shares in use at one time, over all shared limits. Guaranteed not to exceed 1.
    pub parts_sum_max: f64,
    /// Number of times that a healthy front considered another healthy one dead, at most once in 5 s for each front.
    pub false_deaths: u64,
    /// Time from a death until the first front considers the front dead, in milliseconds: median.
    pub detect_ms_p50: f64,
    /// The same, 99th percentile.
    pub detect_ms_p99: f64,
    /// Time from there until each healthy front's view excludes it, in milliseconds: 99th percentile.
    pub agree_ms_p99: f64,
    /// Number of deaths that no front detected.
    pub unnoticed: u64,
    /// Time from the last act, or from the start, until all live fronts hold a lease on a view with exactly the live fronts in
    /// which each may use at least its equal share, in milliseconds. `None` if that never happened.
    pub settled_ms: Option<f64>,
    /// Mean share of the shared limits that no front may use.
    pub idle_share: f64,
    /// Mean number of datagrams that a front sent per second.
    pub datagrams_per_front_s: f64,
    /// Mean number of datagram bytes that a front sent per second.
    pub bytes_per_front_s: f64,
    /// Mean number of datagrams per second of the front that sent most.
    pub datagrams_most_s: f64,
    /// Time in seconds and sum of quota shares in use, sampled every 0.5 s.
    #[serde(skip)]
    pub line: Vec<(f64, f64)>,
}

/// A front that was killed or paused, and when the others detected it.
struct Death {
    front: usize,
    at: Micros,
    /// When the first front considered it dead.
    detected_at: Option<Micros>,
    /// When each healthy front accepted a view without it, after the detection.
    agreed_at: Vec<Micros>,
    agreed_fronts: FrontSet,
    /// Whether the front has returned. Nothing counts from then on.
    has_ended: bool,
}

impl Death {
    fn new(front: usize, at: Micros) -> Death {
        Death {
            front,
            at,
            detected_at: None,
            agreed_at: Vec::new(),
            agreed_fronts: FrontSet::default(),
            has_ended: false,
        }
    }
}

enum SimEvent {
    Tick(usize, u64),
    Arrive {
        to: usize,
        from: Option<usize>,
        bytes: Vec<u8>,
    },
    Act(usize),
    Sample,
}

struct FrontSlot {
    front: Option<Front>,
    incarnation: u64,
    /// Ticks of an earlier generation, from before a restart or a pause, are ignored.
    tick_generation: u64,
    stopped: bool,
    pending_datagrams: Vec<(Option<usize>, Vec<u8>)>,
    clock_rate: f64,
    clock_offset: Micros,
    keys: Vec<String>,
    omitted_members: Vec<u16>,
    last_served_at: Micros,
    quota: QuotaShares,
    sent: (u64, u64),
    /// When an act last affected it.
    undisturbed_since: Micros,
    view: (ViewNumber, FrontSet),
    /// When a healthy front last considered it dead while it was healthy.
    last_false_death_at: Micros,
}

#[derive(Clone, Default)]
struct QuotaShares {
    valid_until: Micros,
    reserve: f64,
    slow_start: f64,
    volume_factors: Vec<(u64, f64)>,
    default_volume_factor: f64,
}

impl QuotaShares {
    fn of(&self, at: Micros, volume: Option<u64>) -> f64 {
        match volume {
            _ if at >= self.valid_until => self.reserve,
            None => self.slow_start,
            Some(v) => self
                .volume_factors
                .iter()
                .find(|(of, _)| *of == v)
                .map_or(self.default_volume_factor, |(_, f)| *f),
        }
    }
}

/// The simulation of one run.
pub struct Simulation {
    script: Script,
    section: Section,
    net: NetworkModel,
    rng: StdRng,
    now: Micros,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: HashMap<usize, SimEvent>,
    slots: Vec<FrontSlot>,
    faults: Vec<Fault>,
    /// Number of fronts. The slot `n + i` holds the second process under the name of front `i`.
    n: usize,
    /// Volumes and the fronts that they were added to during the script.
    joined: Vec<(u16, u16)>,
    is_recording: bool,
    recorded: Vec<(usize, usize, Vec<u8>)>,
    members_by_view: HashMap<ViewNumber, FrontSet>,
    deaths: Vec<Death>,
    outcome: Outcome,
    shares_in_use: f64,
    idle_shares: (f64, u64),
    quiet_since: Micros,
    settled_after: Option<Micros>,
}

impl Simulation {
    /// A simulation of a script. `section` has the timings; its members and keys are replaced by those of the script.
    pub fn new(script: Script, mut section: Section, net: NetworkModel) -> Simulation {
        let n = usize::from(script.fronts);
        section.enabled = true;
        section.keys = script.keys.clone();
        section.member = (0..n)
            .map(|i| Peer {
                name: format!("n{i}"),
                address: SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
            })
            .collect();
        let mut rng = StdRng::seed_from_u64(script.seed);
        let slots = (0..2 * n)
            .map(|_| FrontSlot {
                front: None,
                incarnation: 0,
                tick_generation: 0,
                stopped: false,
                pending_datagrams: Vec::new(),
                clock_rate: 1.0 + rng.random_range(-1.0..1.0) * net.drift_ppm / 1e6,
                clock_offset: rng.random_range(0..1_000_000_000),
                keys: script.keys.clone(),
                omitted_members: Vec::new(),
                last_served_at: 0,
                quota: QuotaShares::default(),
                sent: (0, 0),
                undisturbed_since: START_US,
                view: Default::default(),
                last_false_death_at: 0,
            })
            .collect();
        let outcome = Outcome {
            seed: script.seed,
            fronts: n,
            ..Outcome::default()
        };
        Simulation {
            script,
            section,
            net,
            rng,
            now: START_US,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            slots,
            faults: vec![Fault::default(); n * n],
            n,
            joined: Vec::new(),
            is_recording: false,
            recorded: Vec::new(),
            members_by_view: HashMap::new(),
            deaths: Vec::new(),
            outcome,
            shares_in_use: 0.0,
            idle_shares: (0.0, 0),
            quiet_since: START_US,
            settled_after: None,
        }
    }

    /// Plays the script to its end.
    pub fn run(mut self) -> Outcome {
        if !self.script.late {
            (0..self.n).for_each(|i| self.start(i, i));
        }
        let startup_time = if self.script.late {
            0
        } else {
            self.startup_time()
        };
        for (i, (at, _)) in self.script.acts.clone().iter().enumerate() {
            self.schedule(
                START_US + startup_time + *at as Micros * 1000,
                SimEvent::Act(i),
            );
        }
        let end = START_US + startup_time + (self.script.seconds * 1e6) as Micros;
        self.schedule(START_US + 500_000, SimEvent::Sample);
        while let Some(Reverse((at, _, key))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.step(event);
            }
        }
        self.finish(end - START_US)
    }

    /// How long the fleet has to start before the script begins. The harness with real processes waits likewise.
    fn startup_time(&self) -> Micros {
        Section::micros(self.section.lease_ms) * 4 + 2_000_000
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        let key = self.sequence as usize;
        self.queue.push(Reverse((at, self.sequence, key)));
        self.events.insert(key, event);
    }

    fn to_local_time(&self, slot: usize, at: Micros) -> Micros {
        let state = &self.slots[slot];
        START_US + state.clock_offset + ((at - START_US) as f64 * state.clock_rate) as Micros
    }

    fn to_global_time(&self, slot: usize, local: Micros) -> Micros {
        let state = &self.slots[slot];
        START_US + ((local - START_US - state.clock_offset) as f64 / state.clock_rate) as Micros
    }

    fn start(&mut self, slot: usize, name: usize) {
        let mut section = self.section.clone();
        let state = &self.slots[slot];
        (section.keys, section.name) = (state.keys.clone(), format!("n{name}"));
        // A front that omits a member has a different list, and thus numbers the members after it differently.
        section.member.retain(|m| {
            !state
                .omitted_members
                .iter()
                .any(|l| m.name == format!("n{l}"))
        });
        let Some(me) = section.own_index() else {
            return;
        };
        let now = self.to_local_time(slot, self.now);
        let (incarnation, seed) = (
            (self.now as u64) << 8 | self.rng.random_range(1..256),
            self.rng.random(),
        );
        let state = &mut self.slots[slot];
        (
            state.incarnation,
            state.front,
            state.stopped,
            state.undisturbed_since,
        ) = (
            incarnation,
            Some(Front::new(&section, me, incarnation, seed, now)),
            false,
            self.now,
        );
        state.tick_generation += 1;
        let tick_generation = state.tick_generation;
        self.update_quota(slot);
        let after = self.rng.random_range(0..5_000);
        self.schedule(self.now + after, SimEvent::Tick(slot, tick_generation));
    }

    fn kill(&mut self, slot: usize) {
        let state = &mut self.slots[slot];
        (state.front, state.quota, state.undisturbed_since) =
            (None, QuotaShares::default(), self.now);
        state.pending_datagrams.clear();
        state.tick_generation += 1;
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(slot, tick_generation) => self.tick(slot, tick_generation),
            SimEvent::Arrive { to, from, bytes } => self.arrive(to, from, bytes),
            SimEvent::Act(i) => {
                let act = self.script.acts[i].1.clone();
                self.act(&act);
            }
            SimEvent::Sample => {
                self.sample();
                self.schedule(self.now + 500_000, SimEvent::Sample);
            }
        }
    }

    fn tick(&mut self, slot: usize, tick_generation: u64) {
        let now = self.to_local_time(slot, self.now);
        let served_volumes: Vec<u64> =
            match slot < self.n && now - self.slots[slot].last_served_at > SERVED_INTERVAL_US {
                true => {
                    let me = slot as u16;
                    (0..self.script.volumes)
                        .filter(|v| self.fronts_of(*v).contains(&me))
                        .map(|v| u64::from(v) + 1)
                        .collect()
                }
                false => Vec::new(),
            };
        let hosts = f64::from(self.script.hosts.clamp(1, self.script.fronts));
        let state = &mut self.slots[slot];
        if state.tick_generation != tick_generation || state.stopped {
            return;
        }
        let Some(front) = &mut state.front else {
            return;
        };
        let mut outputs = Vec::new();
        if !served_volumes.is_empty() {
            state.last_served_at = now;
            served_volumes
                .iter()
                .for_each(|v| front.record_served(now, VolumeId(*v), hosts));
        }
        front.tick(now, &mut outputs);
        let step = front.tick_interval();
        self.process_outputs(slot, None, outputs);
        self.schedule(self.now + step, SimEvent::Tick(slot, tick_generation));
    }

    fn arrive(&mut self, to: usize, from: Option<usize>, bytes: Vec<u8>) {
        let now = self.to_local_time(to, self.now);
        let state = &mut self.slots[to];
        if state.stopped {
            // A paused process's socket buffer holds some datagrams.
            if state.pending_datagrams.len() < 128 {
                state.pending_datagrams.push((from, bytes));
            }
            return;
        }
        let Some(front) = &mut state.front else {
            return;
        };
        let source = match from {
            Some(from) if from < self.n => Source::Peer(from as u16),
            _ => Source::Unknown,
        };
        let mut outputs = Vec::new();
        front.receive(now, source, &bytes, &mut outputs);
        self.process_outputs(to, from, outputs);
    }

    fn process_outputs(&mut self, slot: usize, reply_to: Option<usize>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(slot, usize::from(to), bytes),
                Output::Answer(bytes) => {
                    if let Some(reply_to) = reply_to {
                        self.schedule(
                            self.now + 300,
                            SimEvent::Arrive {
                                to: reply_to,
                                from: Some(slot),
                                bytes,
                            },
                        );
                    }
                }
                Output::Event(event) => self.record_event(slot, &event),
                // No other protocol runs over the transport in this simulation.
                Output::Deliver(..) | Output::Restarted(_) => {}
            }
        }
        self.update_quota(slot);
    }

    fn send(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let state = &mut self.slots[from];
        state.sent = (state.sent.0 + 1, state.sent.1 + bytes.len() as u64);
        let delay_distribution = LogNormal::new(self.net.median_us.ln(), self.net.sigma);
        let delay = |rng: &mut StdRng| {
            delay_distribution
                .as_ref()
                .map_or(300.0, |distribution| distribution.sample(rng)) as Micros
        };
        if from >= self.n {
            // A second process under a name: its address is in no member list, but its datagrams arrive.
            let after = delay(&mut self.rng);
            return self.schedule(
                self.now + after,
                SimEvent::Arrive {
                    to,
                    from: Some(from),
                    bytes,
                },
            );
        }
        let fault = self.faults[from * self.n + to];
        if self.rng.random_bool(fault.damage.clamp(0.0, 1.0)) && !bytes.is_empty() {
            let i = self.rng.random_range(0..bytes.len());
            bytes[i] ^= 1 << self.rng.random_range(0..8);
        }
        if self.is_recording && self.recorded.len() < MAX_RECORDED_DATAGRAMS {
            self.recorded.push((from, to, bytes.clone()));
        }
        if fault.cut || self.rng.random_bool(fault.loss.clamp(0.0, 1.0)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(fault.twice.clamp(0.0, 1.0)));
        for _ in 0..copies {
            let spread = self.rng.random_range(0..=fault.spread_ms * 1000) as Micros;
            let after = delay(&mut self.rng) + fault.delay_ms as Micros * 1000 + spread;
            self.schedule(
                self.now + after,
                SimEvent::Arrive {
                    to,
                    from: Some(from),
                    bytes: bytes.clone(),
                },
            );
        }
    }

    fn record_event(&mut self, slot: usize, event: &Event) {
        match event {
            Event::View(view) => {
                let members = *self
                    .members_by_view
                    .entry(view.number)
                    .or_insert(view.members);
                self.outcome.view_conflicts += u64::from(members != view.members);
                self.outcome.views = self.members_by_view.len() as u64;
                self.slots[slot].view = (view.number, view.members);
                let now = self.now;
                let is_healthy =
                    slot < self.n && now - self.slots[slot].undisturbed_since > UNDISTURBED_US;
                let excluded = |death: &&mut Death| {
                    !death.has_ended && !view.members.contains(death.front as u16)
                };
                for death in self.deaths.iter_mut().filter(excluded) {
                    if is_healthy
                        && death.detected_at.is_some()
                        && !death.agreed_fronts.contains(slot as u16)
                    {
                        death.agreed_fronts.insert(slot as u16);
                        death.agreed_at.push(now);
                    }
                }
            }
            Event::Member(change) if change.to == MemberState::Dead && slot < self.n => {
                let member = usize::from(change.front);
                let now = self.now;
                let is_healthy = |state: &FrontSlot| {
                    state.front.is_some()
                        && !state.stopped
                        && now - state.undisturbed_since > UNDISTURBED_US
                };
                let reaches_majority = self.reaches_majority(member)
                    && self.reaches_majority(slot)
                    && now - self.quiet_since > UNDISTURBED_US;
                if is_healthy(&self.slots[member])
                    && is_healthy(&self.slots[slot])
                    && reaches_majority
                    && now - self.slots[member].last_false_death_at > 5_000_000
                {
                    self.slots[member].last_false_death_at = now;
                    self.outcome.false_deaths += 1;
                }
                let death = self.deaths.iter_mut().find(|death| {
                    death.front == member && !death.has_ended && death.detected_at.is_none()
                });
                if let Some(death) = death {
                    death.detected_at = Some(now);
                }
            }
            _ => {}
        }
    }

    /// Whether a front reaches a majority in both directions.
    fn reaches_majority(&self, front: usize) -> bool {
        let n = self.n;
        let open = |a: usize, b: usize| {
            a == b || !(self.faults[a * n + b].cut || self.faults[a * n + b].loss > 0.5)
        };
        (0..n)
            .filter(|other| open(front, *other) && open(*other, front))
            .count()
            * 2
            > n
    }

    /// Updates the quota shares of a front, and the sum over all fronts if they grew.
    fn update_quota(&mut self, slot: usize) {
        let now = self.to_local_time(slot, self.now);
        let Some(front) = &self.slots[slot].front else {
            return;
        };
        let shares = front.quota_shares(now);
        let valid_until = if shares.valid_until > now {
            self.to_global_time(slot, shares.valid_until)
        } else {
            0
        };
        let volume_factors = shares
            .volume_factors
            .iter()
            .map(|(v, f)| (v.0, *f))
            .collect();
        let quota = QuotaShares {
            valid_until,
            reserve: shares.reserve,
            slow_start: shares.slow_start,
            volume_factors,
            default_volume_factor: shares.default_volume_factor,
        };
        let old = &self.slots[slot].quota;
        let rises = quota.valid_until > old.valid_until
            || quota.slow_start > old.slow_start
            || quota.reserve > old.reserve
            || quota.default_volume_factor > old.default_volume_factor
            || quota.volume_factors != old.volume_factors;
        self.slots[slot].quota = quota;
        if rises {
            self.sum_shares();
        }
    }

    /// The fronts that a volume's clients use at this time.
    fn fronts_of(&self, volume: u16) -> Vec<u16> {
        let joined = self
            .joined
            .iter()
            .filter(|(v, _)| *v == volume)
            .map(|(_, f)| *f);
        self.script
            .fronts_of(volume)
            .into_iter()
            .chain(joined)
            .collect()
    }

    fn sum_shares(&mut self) {
        let (now, n) = (self.now, self.n as f64);
        let slow_start: f64 = self
            .slots
            .iter()
            .map(|state| state.quota.of(now, None))
            .sum::<f64>()
            / n;
        self.shares_in_use = slow_start;
        let mut max_share = slow_start;
        // For each volume over its own fronts. Large simulations have few volumes.
        for volume in 0..self.script.volumes {
            let fronts = self.fronts_of(volume);
            let of = |slot: usize| self.slots[slot].quota.of(now, Some(u64::from(volume) + 1));
            let with_twin = |f: &u16| of(usize::from(*f)) + of(usize::from(*f) + self.n);
            max_share = max_share.max(
                fronts.iter().map(with_twin).sum::<f64>()
                    / f64::from(self.script.hosts.clamp(1, self.script.fronts)),
            );
        }
        self.outcome.parts_sum_max = self.outcome.parts_sum_max.max(max_share);
    }

    fn sample(&mut self) {
        self.sum_shares();
        let at = (self.now - START_US) as f64 / 1e6;
        self.outcome.line.push((at, self.shares_in_use));
        self.idle_shares = (
            self.idle_shares.0 + (1.0 - self.shares_in_use).max(0.0),
            self.idle_shares.1 + 1,
        );
        let now = self.now;
        let is_running = |state: &&FrontSlot| state.front.is_some() && !state.stopped;
        let running: FrontSet = (0..self.n as u16)
            .filter(|i| is_running(&&self.slots[usize::from(*i)]))
            .collect();
        let settled = |state: &FrontSlot| {
            state.view.1 == running
                && state.quota.valid_until > now
                && state.quota.slow_start >= 1.0
        };
        let all_settled = self.slots[..self.n].iter().filter(is_running).all(settled);
        if all_settled && self.settled_after.is_none() {
            self.settled_after = Some(now - self.quiet_since);
        }
    }

    fn act(&mut self, act: &Act) {
        let n = self.n;
        self.quiet_since = self.now;
        self.settled_after = None;
        if let Act::Start { front } | Act::Cont { front } = act {
            self.deaths
                .iter_mut()
                .filter(|death| death.front == usize::from(*front))
                .for_each(|death| death.has_ended = true);
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
                let state = &mut self.slots[usize::from(*front)];
                (state.stopped, state.undisturbed_since) = (true, self.now);
                state.tick_generation += 1;
            }
            Act::Cont { front } => {
                let slot = usize::from(*front);
                let state = &mut self.slots[slot];
                if std::mem::take(&mut state.stopped) {
                    state.undisturbed_since = self.now;
                    let (tick_generation, pending_datagrams) = (
                        state.tick_generation,
                        std::mem::take(&mut state.pending_datagrams),
                    );
                    for (from, bytes) in pending_datagrams {
                        self.schedule(
                            self.now,
                            SimEvent::Arrive {
                                to: slot,
                                from,
                                bytes,
                            },
                        );
                    }
                    self.schedule(self.now, SimEvent::Tick(slot, tick_generation));
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
            Act::Keep { on } => self.is_recording = *on,
            Act::Again => {
                for (from, to, bytes) in std::mem::take(&mut self.recorded) {
                    self.schedule(
                        self.now,
                        SimEvent::Arrive {
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
            Act::Forgets { front, member } => self.slots[usize::from(*front)]
                .omitted_members
                .push(*member),
            // Nodes and discovery are not simulated.
            Act::Nodes { .. } | Act::Discovery { .. } | Act::Cold | Act::Hang { .. } => {}
            // The new incarnation starts after the old one has ended. Only the harness with real processes runs both at once.
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
        for death in &self.deaths {
            let Some(detected_at) = death.detected_at else {
                // A front that returned at once could not be detected.
                self.outcome.unnoticed += u64::from(!death.has_ended);
                continue;
            };
            detect
                .iter_mut()
                .for_each(|histogram| histogram.saturating_record((detected_at - death.at) as u64));
            for agreed_at in &death.agreed_at {
                agree.iter_mut().for_each(|histogram| {
                    histogram.saturating_record((agreed_at - detected_at) as u64)
                });
            }
        }
        let ms = |histogram: &Option<Histogram<u64>>, quantile: f64| {
            histogram.as_ref().map_or(0.0, |histogram| {
                histogram.value_at_quantile(quantile) as f64 / 1000.0
            })
        };
        self.outcome.detect_ms_p50 = ms(&detect, 0.5);
        self.outcome.detect_ms_p99 = ms(&detect, 0.99);
        self.outcome.agree_ms_p99 = ms(&agree, 0.99);
        self.outcome.settled_ms = self.settled_after.map(|micros| micros as f64 / 1000.0);
        self.outcome.idle_share = self.idle_shares.0 / self.idle_shares.1.max(1) as f64;
        let sent: Vec<(u64, u64)> = self.slots[..self.n].iter().map(|slot| slot.sent).collect();
        let mean = |of: f64| of / self.n as f64 / seconds;
        self.outcome.datagrams_per_front_s = mean(sent.iter().map(|sent| sent.0 as f64).sum());
        self.outcome.bytes_per_front_s = mean(sent.iter().map(|sent| sent.1 as f64).sum());
        self.outcome.datagrams_most_s =
            sent.iter().map(|sent| sent.0).max().unwrap_or(0) as f64 / seconds;
        self.outcome
    }
}
