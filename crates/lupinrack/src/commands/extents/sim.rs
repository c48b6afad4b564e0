//! `lupinrack extents sim`: runs the extent map's state machines without sockets, in simulated time, and measures the cost of
//! messages at sizes that real sockets do not reach. Runs are deterministic for a seed.

use crate::command_error::CommandError;
use clap::Args;
use lupinrack_extent_map::config::Section;
use lupinrack_extent_map::ranges::Ranges;
use lupinrack_extent_map::{
    datagram, Action, Cache, Change, FetchResponse, Input, Location, PollResponse, Reroute, Version,
};
use lupinrack_policy::{Key, Micros, Shard, VolumeId};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Instant;

/// What the model plays.
#[derive(Clone, Debug, Args)]
pub struct Sim {
    /// Numbers of fronts, each a run of its own.
    #[arg(long, value_delimiter = ',', default_value = "4,32,256")]
    pub fronts: Vec<usize>,
    /// Volumes.
    #[arg(long, default_value_t = 1_000)]
    pub volumes: u64,
    /// Extents of each volume.
    #[arg(long, default_value_t = 100)]
    pub extents: u64,
    /// Fronts that each volume works through.
    #[arg(long, default_value_t = 3)]
    pub hosts: usize,
    /// Shards.
    #[arg(long, default_value_t = 60)]
    pub shards: u32,
    /// Requests a second for each front.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Moves a second.
    #[arg(long, default_value_t = 0.5)]
    pub moves_per_s: f64,
    /// Simulated seconds, after the fronts have what they need.
    #[arg(long, default_value_t = 60)]
    pub seconds: i64,
    /// The authority is silent from a third to two thirds of the time.
    #[arg(long)]
    pub silence: bool,
    /// The seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print one JSON object a run in place of the table.
    #[arg(long)]
    pub json: bool,
}

/// The results of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Fronts.
    pub fronts: usize,
    /// Extents in the map.
    pub extents: u64,
    /// Requests.
    pub requests: u64,
    /// Requests that were sent to the wrong shard.
    pub misdirected: u64,
    /// Share of misdirected requests.
    pub misdirected_share: f64,
    /// Requests that were sent to a wrong shard twice.
    pub second_misdirected: u64,
    /// Polls and fetches per request.
    pub calls_per_request: f64,
    /// Bytes of calls, responses and datagrams per request.
    pub message_bytes_per_request: f64,
    /// Of these, bytes of datagrams between fronts.
    pub peer_bytes_per_request: f64,
    /// Mean memory of a front's tables, in bytes.
    pub table_bytes_per_front: f64,
    /// Wall-clock seconds that the run took.
    pub took_s: f64,
}

/// Bytes of HTTP headers of a call and its response, as the driver and a plain server send them.
const HEADER_BYTES: usize = 160;
/// One-way delay between a front and the authority, or between fronts.
const ONE_WAY_DELAY_US: std::ops::Range<Micros> = 500..20_000;
/// Share of datagrams that are dropped.
const DATAGRAM_LOSS: f64 = 0.05;
const SECOND_US: Micros = 1_000_000;
/// Time for the fronts to fetch the extents that they need, before the measurement starts.
const WARM_UP_US: Micros = 10 * SECOND_US;

enum Event {
    Request(usize),
    Move,
    Call(usize, Action),
    HoldExpired(u64),
    Input(usize, Input),
    Timer(usize),
}

/// A request that waits at a front until its extent's shard is known.
struct WaitingRequest {
    volume: VolumeId,
    key: Key,
    misdirections: u32,
}

struct Front {
    cache: Cache,
    volumes: Vec<u64>,
    waiting: Vec<WaitingRequest>,
}

struct Simulation<'a> {
    sim: &'a Sim,
    rng: fastrand::Rng,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event_number: u64,
    version: Version,
    ground_truth: Vec<Ranges<256>>,
    history: VecDeque<Change>,
    /// Held polls by event number: the front and the version it knows.
    held_polls: BTreeMap<u64, (usize, Version)>,
    fronts: Vec<Front>,
    figures: Figures,
    calls: u64,
    bytes: u64,
    peer_bytes: u64,
}

/// Runs the simulation for each number of fronts and prints the results.
pub fn run(sim: &Sim) -> Result<(), CommandError> {
    if sim.fronts.contains(&0)
        || sim.volumes == 0
        || sim.extents == 0
        || sim.shards < 2
        || sim.rate <= 0.0
    {
        return Err(CommandError::invalid_input(
            "fronts, volumes, extents and rate must be above zero, shards above one",
        ));
    }
    if !sim.json {
        println!(
            "{:>7}{:>9}{:>10}{:>13}{:>9}{:>8}{:>11}{:>11}{:>12}{:>13}{:>7}",
            "fronts",
            "extents",
            "requests",
            "misdirected",
            "share %",
            "second",
            "calls/req",
            "bytes/req",
            "peer B/req",
            "KiB a front",
            "took s"
        );
    }
    for fronts in &sim.fronts {
        let figures = Simulation::new(sim, *fronts).run();
        if sim.json {
            println!(
                "{}",
                serde_json::to_string(&figures).map_err(CommandError::failed)?
            );
            continue;
        }
        println!(
            "{:>7}{:>9}{:>10}{:>13}{:>9.3}{:>8}{:>11.5}{:>11.2}{:>12.2}{:>13.0}{:>7.1}",
            figures.fronts,
            figures.extents,
            figures.requests,
            figures.misdirected,
            figures.misdirected_share * 100.0,
            figures.second_misdirected,
            figures.calls_per_request,
            figures.message_bytes_per_request,
            figures.peer_bytes_per_request,
            figures.table_bytes_per_front / 1024.0,
            figures.took_s
        );
    }
    Ok(())
}

impl<'a> Simulation<'a> {
    fn new(sim: &'a Sim, count: usize) -> Simulation<'a> {
        let mut rng = fastrand::Rng::with_seed(sim.seed);
        let span = u64::MAX / sim.extents;
        let mut epoch = 0;
        let ground_truth = (0..sim.volumes)
            .map(|_| {
                let mut ranges = Ranges::new(0);
                for extent in 0..sim.extents {
                    epoch += 1;
                    let last = if extent + 1 == sim.extents {
                        u64::MAX
                    } else {
                        (extent + 1) * span - 1
                    };
                    ranges.set(
                        extent * span,
                        last,
                        Some(rng.u32(0..sim.shards)),
                        epoch,
                        epoch,
                    );
                }
                ranges
            })
            .collect();
        let peers: Vec<_> = (0..count)
            .map(|i| std::net::SocketAddr::from(([127, 0, 0, 1], i as u16 + 1)))
            .collect();
        let fronts = (0..count)
            .map(|i| {
                let section = Section {
                    enabled: true,
                    peer_listen: Some(peers[i]),
                    peers: peers
                        .iter()
                        .copied()
                        .filter(|peer| *peer != peers[i])
                        .collect(),
                    ..Section::default()
                };
                Front {
                    cache: Cache::new(section, 0),
                    volumes: Vec::new(),
                    waiting: Vec::new(),
                }
            })
            .collect();
        let mut simulation = Simulation {
            sim,
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            version: Version {
                incarnation: 1,
                epoch,
            },
            ground_truth,
            history: VecDeque::new(),
            held_polls: BTreeMap::new(),
            fronts,
            figures: Figures {
                fronts: count,
                extents: epoch,
                ..Figures::default()
            },
            calls: 0,
            bytes: 0,
            peer_bytes: 0,
        };
        for volume in 0..sim.volumes {
            let first = simulation.rng.usize(0..count);
            for host in 0..sim.hosts.min(count) {
                simulation.fronts[(first + host) % count]
                    .volumes
                    .push(volume);
            }
        }
        simulation
    }

    fn run(mut self) -> Figures {
        let started = Instant::now();
        // Warm-up, which is not counted: the fronts fetch the extents that they need.
        for front in 0..self.fronts.len() {
            self.handle_input(front, Input::Timer);
        }
        self.run_until(SECOND_US);
        for front in 0..self.fronts.len() {
            for volume in self.fronts[front].volumes.clone() {
                let mut actions = Vec::new();
                self.fronts[front]
                    .cache
                    .locate(self.now, VolumeId(volume), Key(0), &mut actions);
                self.perform(front, actions);
            }
        }
        self.run_until(WARM_UP_US);
        (self.calls, self.bytes, self.peer_bytes) = (0, 0, 0);
        for front in 0..self.fronts.len() {
            self.schedule(0, Event::Request(front));
        }
        self.schedule(0, Event::Move);
        self.run_until(WARM_UP_US + self.sim.seconds * SECOND_US);
        let figures = &mut self.figures;
        let requests = figures.requests.max(1) as f64;
        figures.misdirected_share = figures.misdirected as f64 / requests;
        figures.calls_per_request = self.calls as f64 / requests;
        figures.message_bytes_per_request = (self.bytes + self.peer_bytes) as f64 / requests;
        figures.peer_bytes_per_request = self.peer_bytes as f64 / requests;
        let table_bytes: usize = self
            .fronts
            .iter()
            .map(|front| front.cache.map().memory_bytes())
            .sum();
        figures.table_bytes_per_front = table_bytes as f64 / self.fronts.len() as f64;
        figures.took_s = started.elapsed().as_secs_f64();
        self.figures
    }

    fn schedule(&mut self, delay: Micros, event: Event) -> u64 {
        self.last_event_number += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_event_number)));
        self.events.insert(self.last_event_number, event);
        self.last_event_number
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied().filter(|q| q.0 .0 <= end)
        {
            self.queue.pop();
            self.now = at;
            match self.events.remove(&number) {
                Some(Event::Request(front)) => {
                    let interval = -(1.0 - self.rng.f64()).ln() / self.sim.rate * SECOND_US as f64;
                    self.schedule(interval as Micros, Event::Request(front));
                    self.request(front);
                }
                Some(Event::Move) => self.move_extent(),
                Some(Event::Call(front, action)) => self.receive_call(front, action),
                Some(Event::HoldExpired(poll)) => {
                    if let Some((front, version)) = self.held_polls.remove(&poll) {
                        self.respond_to_poll(front, Some(version));
                    }
                }
                Some(Event::Input(front, input)) => self.handle_input(front, input),
                Some(Event::Timer(front)) => self.handle_input(front, Input::Timer),
                None => {}
            }
        }
        self.now = end;
    }

    fn authority_is_silent(&self) -> bool {
        let third = self.sim.seconds * SECOND_US / 3;
        self.sim.silence && (WARM_UP_US + third..WARM_UP_US + 2 * third).contains(&self.now)
    }

    fn handle_input(&mut self, front: usize, input: Input) {
        let mut actions = Vec::new();
        self.fronts[front]
            .cache
            .handle(self.now, input, &mut actions);
        self.perform(front, actions);
    }

    fn perform(&mut self, front: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Wake(at) => {
                    self.schedule((at - self.now).max(0), Event::Timer(front));
                }
                Action::Changed { .. } | Action::ChangedAll => {
                    for request in std::mem::take(&mut self.fronts[front].waiting) {
                        self.resolve(front, request);
                    }
                }
                Action::SendToPeers(bytes) => {
                    for peer in (0..self.fronts.len()).filter(|peer| *peer != front) {
                        self.peer_bytes += datagram::MAX_DATAGRAM_BYTES.min(bytes.len()) as u64;
                        if self.rng.f64() >= DATAGRAM_LOSS {
                            let delay = self.rng.i64(ONE_WAY_DELAY_US);
                            let input = Input::PeerUpdate(front as u16, bytes.clone());
                            self.schedule(delay, Event::Input(peer, input));
                        }
                    }
                }
                call @ (Action::Poll { .. } | Action::Fetch { .. }) => {
                    self.calls += 1;
                    let delay = self.rng.i64(ONE_WAY_DELAY_US);
                    self.schedule(delay, Event::Call(front, call));
                }
                Action::Save(_) | Action::Warn { .. } => {}
            }
        }
    }

    fn request(&mut self, front: usize) {
        let Some(volume) = self.rng.choice(&self.fronts[front].volumes).copied() else {
            return;
        };
        self.figures.requests += 1;
        let request = WaitingRequest {
            volume: VolumeId(volume),
            key: Key(self.rng.u64(..)),
            misdirections: 0,
        };
        self.resolve(front, request);
    }

    /// Sends a request to the shard in its front's map, and follows redirects until it reaches the right shard or has to wait.
    fn resolve(&mut self, front: usize, mut request: WaitingRequest) {
        let mut actions = Vec::new();
        let front_state = &mut self.fronts[front];
        let mut location =
            front_state
                .cache
                .locate(self.now, request.volume, request.key, &mut actions);
        let ground_truth = self.ground_truth[request.volume.0 as usize]
            .get(request.key.0)
            .shard
            .map(Shard);
        while let Location::OnShard(shard) = location {
            if Some(shard) == ground_truth {
                break;
            }
            request.misdirections += 1;
            self.figures.misdirected += u64::from(request.misdirections == 1);
            self.figures.second_misdirected += u64::from(request.misdirections == 2);
            match front_state.cache.on_wrong_shard(
                self.now,
                (request.volume, request.key),
                shard,
                Some(self.version),
                &mut actions,
            ) {
                Reroute::To(shard) if request.misdirections < 3 => {
                    location = Location::OnShard(shard)
                }
                Reroute::Pending => location = Location::Unknown,
                _ => break,
            }
        }
        if location == Location::Unknown {
            front_state.waiting.push(request);
        }
        self.perform(front, actions);
    }

    /// Moves an extent to another shard and answers the held polls.
    fn move_extent(&mut self) {
        if self.sim.moves_per_s > 0.0 {
            let interval = -(1.0 - self.rng.f64()).ln() / self.sim.moves_per_s * SECOND_US as f64;
            self.schedule(interval as Micros, Event::Move);
        }
        let volume = self.rng.u64(0..self.sim.volumes);
        let range_at_key = self.ground_truth[volume as usize].get(self.rng.u64(..));
        self.version.epoch += 1;
        let (epoch, shard) = (self.version.epoch, Some(self.rng.u32(0..self.sim.shards)));
        self.ground_truth[volume as usize].set(
            range_at_key.first,
            range_at_key.last,
            shard,
            epoch,
            epoch,
        );
        let change = Change {
            volume: VolumeId(volume),
            first: range_at_key.first,
            last: range_at_key.last,
            shard,
            epoch,
        };
        self.history.push_back(change);
        if self.authority_is_silent() {
            return;
        }
        for (front, version) in std::mem::take(&mut self.held_polls).into_values() {
            self.respond_to_poll(front, Some(version));
        }
    }

    fn receive_call(&mut self, front: usize, action: Action) {
        if self.authority_is_silent() {
            // The driver's call times out.
            let input = match action {
                Action::Fetch { volume, .. } => Input::Fetched {
                    volume,
                    answer: Err("silent".into()),
                },
                _ => Input::Polled(Err("silent".into())),
            };
            self.schedule(SECOND_US, Event::Input(front, input));
            return;
        }
        match action {
            Action::Poll {
                from: Some(from),
                hold,
            } if from == self.version => {
                let poll = self.schedule(hold, Event::HoldExpired(self.last_event_number + 1));
                self.held_polls.insert(poll, (front, from));
            }
            Action::Poll { from, .. } => self.respond_to_poll(front, from),
            Action::Fetch { volume, key } => {
                let ranges = &self.ground_truth[volume.0 as usize];
                let range_at_key = key.map(|k| ranges.get(k.0));
                let bounds = range_at_key.map_or((0, u64::MAX), |range| (range.first, range.last));
                let ranges_in_scope = ranges.iter().filter(|range| {
                    range.shard.is_some() && range.first >= bounds.0 && range.last <= bounds.1
                });
                let extent = |range: lupinrack_extent_map::KeyRange| Change {
                    volume,
                    first: range.first,
                    last: range.last,
                    shard: range.shard,
                    epoch: range.epoch,
                };
                let extents = ranges_in_scope.map(extent).collect();
                let response = FetchResponse {
                    version: self.version,
                    volume,
                    first: bounds.0,
                    last: bounds.1,
                    extents,
                };
                let body_bytes = serde_json::to_vec(&response).map_or(0, |b| b.len());
                self.send_response(
                    front,
                    body_bytes,
                    Input::Fetched {
                        volume,
                        answer: Ok(response),
                    },
                );
            }
            _ => {}
        }
    }

    fn respond_to_poll(&mut self, front: usize, from: Option<Version>) {
        let response = match from {
            Some(from) => {
                let known = self.history.partition_point(|c| c.epoch <= from.epoch);
                let changes = self.history.range(known..).copied().collect();
                PollResponse {
                    version: self.version,
                    reset: false,
                    full_map: false,
                    changes,
                }
            }
            // The map is too large for a full snapshot: fronts fetch volumes on demand.
            None => PollResponse {
                version: self.version,
                reset: true,
                full_map: false,
                changes: Vec::new(),
            },
        };
        let body_bytes = serde_json::to_vec(&response).map_or(0, |b| b.len());
        self.send_response(front, body_bytes, Input::Polled(Ok(response)));
    }

    fn send_response(&mut self, front: usize, body_bytes: usize, input: Input) {
        self.bytes += (body_bytes + HEADER_BYTES) as u64;
        let delay = self.rng.i64(ONE_WAY_DELAY_US);
        self.schedule(delay, Event::Input(front, input));
    }
}
