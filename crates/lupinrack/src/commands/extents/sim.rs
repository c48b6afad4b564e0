//! The same state machines without sockets, in simulated time: what the messages cost at sizes that sockets do not
//! reach. A run is the same for the same seed.

use crate::ended::Ended;
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

/// What came of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Fronts.
    pub fronts: usize,
    /// Extents of the whole map.
    pub extents: u64,
    /// Requests.
    pub requests: u64,
    /// Requests that met the wrong shard.
    pub misdirected: u64,
    /// Their share.
    pub misdirected_share: f64,
    /// Requests that met it twice.
    pub second_misdirected: u64,
    /// Polls and fetches for each request.
    pub calls_per_request: f64,
    /// Bytes of calls, answers and datagrams for each request.
    pub message_bytes_per_request: f64,
    /// Of these, the bytes of datagrams between fronts.
    pub peer_bytes_per_request: f64,
    /// Bytes of tables that one front holds, in the mean.
    pub table_bytes_per_front: f64,
    /// Real seconds that the run took.
    pub took_s: f64,
}

/// Head bytes of a call and its answer, as the driver and a plain server word them.
const HEADS: usize = 160;
/// One way between a front and the authority, or between fronts.
const WAY: std::ops::Range<Micros> = 500..20_000;
/// Share of datagrams that are lost.
const LOST: f64 = 0.05;
const S: Micros = 1_000_000;
/// Time for the fronts to learn what they need.
const WARM: Micros = 10 * S;

enum Happens {
    Request(usize),
    Move,
    Call(usize, Action),
    HoldOver(u64),
    Answer(usize, Input),
    Timer(usize),
}

/// What waits at a front until its place is known.
struct Waits {
    volume: VolumeId,
    key: Key,
    turned: u32,
}

struct Front {
    cache: Cache,
    volumes: Vec<u64>,
    waits: Vec<Waits>,
}

struct World<'a> {
    sim: &'a Sim,
    dice: fastrand::Rng,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Happens>,
    number: u64,
    version: Version,
    truth: Vec<Ranges<256>>,
    history: VecDeque<Change>,
    /// Polls that are held, by number: front and version.
    held: BTreeMap<u64, (usize, Version)>,
    fronts: Vec<Front>,
    figures: Figures,
    calls: u64,
    bytes: u64,
    peer_bytes: u64,
}

/// Plays all runs and prints what came of them.
pub fn run(sim: &Sim) -> Result<(), Ended> {
    if sim.fronts.contains(&0)
        || sim.volumes == 0
        || sim.extents == 0
        || sim.shards < 2
        || sim.rate <= 0.0
    {
        return Err(Ended::wrong(
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
        let f = World::new(sim, *fronts).play();
        if sim.json {
            println!("{}", serde_json::to_string(&f).map_err(Ended::failed)?);
            continue;
        }
        println!(
            "{:>7}{:>9}{:>10}{:>13}{:>9.3}{:>8}{:>11.5}{:>11.2}{:>12.2}{:>13.0}{:>7.1}",
            f.fronts,
            f.extents,
            f.requests,
            f.misdirected,
            f.misdirected_share * 100.0,
            f.second_misdirected,
            f.calls_per_request,
            f.message_bytes_per_request,
            f.peer_bytes_per_request,
            f.table_bytes_per_front / 1024.0,
            f.took_s
        );
    }
    Ok(())
}

impl<'a> World<'a> {
    fn new(sim: &'a Sim, count: usize) -> World<'a> {
        let mut dice = fastrand::Rng::with_seed(sim.seed);
        let span = u64::MAX / sim.extents;
        let mut epoch = 0;
        let truth = (0..sim.volumes)
            .map(|_| {
                let mut ranges = Ranges::new(0);
                for lot in 0..sim.extents {
                    epoch += 1;
                    let last = if lot + 1 == sim.extents {
                        u64::MAX
                    } else {
                        (lot + 1) * span - 1
                    };
                    ranges.set(
                        lot * span,
                        last,
                        Some(dice.u32(0..sim.shards)),
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
                    peers: peers.iter().copied().filter(|p| *p != peers[i]).collect(),
                    ..Section::default()
                };
                Front {
                    cache: Cache::new(section, 0),
                    volumes: Vec::new(),
                    waits: Vec::new(),
                }
            })
            .collect();
        let mut world = World {
            sim,
            dice,
            now: 0,
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            number: 0,
            version: Version {
                incarnation: 1,
                epoch,
            },
            truth,
            history: VecDeque::new(),
            held: BTreeMap::new(),
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
            let first = world.dice.usize(0..count);
            for host in 0..sim.hosts.min(count) {
                world.fronts[(first + host) % count].volumes.push(volume);
            }
        }
        world
    }

    fn play(mut self) -> Figures {
        let began = Instant::now();
        // The fronts learn what they need; that is not counted.
        for front in 0..self.fronts.len() {
            self.tell(front, Input::Timer);
        }
        self.until(S);
        for front in 0..self.fronts.len() {
            for volume in self.fronts[front].volumes.clone() {
                let mut out = Vec::new();
                self.fronts[front]
                    .cache
                    .locate(self.now, VolumeId(volume), Key(0), &mut out);
                self.carry(front, out);
            }
        }
        self.until(WARM);
        (self.calls, self.bytes, self.peer_bytes) = (0, 0, 0);
        for front in 0..self.fronts.len() {
            self.later(0, Happens::Request(front));
        }
        self.later(0, Happens::Move);
        self.until(WARM + self.sim.seconds * S);
        let f = &mut self.figures;
        let requests = f.requests.max(1) as f64;
        f.misdirected_share = f.misdirected as f64 / requests;
        f.calls_per_request = self.calls as f64 / requests;
        f.message_bytes_per_request = (self.bytes + self.peer_bytes) as f64 / requests;
        f.peer_bytes_per_request = self.peer_bytes as f64 / requests;
        let held: usize = self
            .fronts
            .iter()
            .map(|f| f.cache.map().memory_bytes())
            .sum();
        f.table_bytes_per_front = held as f64 / self.fronts.len() as f64;
        f.took_s = began.elapsed().as_secs_f64();
        self.figures
    }

    fn later(&mut self, after: Micros, what: Happens) -> u64 {
        self.number += 1;
        self.queue.push(Reverse((self.now + after, self.number)));
        self.what.insert(self.number, what);
        self.number
    }

    fn until(&mut self, end: Micros) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied().filter(|q| q.0 .0 <= end)
        {
            self.queue.pop();
            self.now = at;
            match self.what.remove(&number) {
                Some(Happens::Request(front)) => {
                    let gap = -(1.0 - self.dice.f64()).ln() / self.sim.rate * S as f64;
                    self.later(gap as Micros, Happens::Request(front));
                    self.request(front);
                }
                Some(Happens::Move) => self.change(),
                Some(Happens::Call(front, action)) => self.call(front, action),
                Some(Happens::HoldOver(poll)) => {
                    if let Some((front, version)) = self.held.remove(&poll) {
                        self.answer_poll(front, Some(version));
                    }
                }
                Some(Happens::Answer(front, input)) => self.tell(front, input),
                Some(Happens::Timer(front)) => self.tell(front, Input::Timer),
                None => {}
            }
        }
        self.now = end;
    }

    fn silent(&self) -> bool {
        let third = self.sim.seconds * S / 3;
        self.sim.silence && (WARM + third..WARM + 2 * third).contains(&self.now)
    }

    fn tell(&mut self, front: usize, input: Input) {
        let mut out = Vec::new();
        self.fronts[front].cache.handle(self.now, input, &mut out);
        self.carry(front, out);
    }

    fn carry(&mut self, front: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Wake(at) => {
                    self.later((at - self.now).max(0), Happens::Timer(front));
                }
                Action::Changed { .. } | Action::ChangedAll => {
                    for w in std::mem::take(&mut self.fronts[front].waits) {
                        self.resolve(front, w);
                    }
                }
                Action::SendToPeers(bytes) => {
                    for peer in (0..self.fronts.len()).filter(|p| *p != front) {
                        self.peer_bytes += datagram::MAX_DATAGRAM_BYTES.min(bytes.len()) as u64;
                        if self.dice.f64() >= LOST {
                            let way = self.dice.i64(WAY);
                            let input = Input::PeerUpdate(front as u16, bytes.clone());
                            self.later(way, Happens::Answer(peer, input));
                        }
                    }
                }
                call @ (Action::Poll { .. } | Action::Fetch { .. }) => {
                    self.calls += 1;
                    let way = self.dice.i64(WAY);
                    self.later(way, Happens::Call(front, call));
                }
                Action::Save(_) | Action::Warn { .. } => {}
            }
        }
    }

    fn request(&mut self, front: usize) {
        let Some(volume) = self.dice.choice(&self.fronts[front].volumes).copied() else {
            return;
        };
        self.figures.requests += 1;
        let waits = Waits {
            volume: VolumeId(volume),
            key: Key(self.dice.u64(..)),
            turned: 0,
        };
        self.resolve(front, waits);
    }

    /// Sends a request where its front believes its data to lie, as often as it takes.
    fn resolve(&mut self, front: usize, mut w: Waits) {
        let mut out = Vec::new();
        let f = &mut self.fronts[front];
        let mut place = f.cache.locate(self.now, w.volume, w.key, &mut out);
        let truth = self.truth[w.volume.0 as usize]
            .get(w.key.0)
            .shard
            .map(Shard);
        while let Location::OnShard(shard) = place {
            if Some(shard) == truth {
                break;
            }
            w.turned += 1;
            self.figures.misdirected += u64::from(w.turned == 1);
            self.figures.second_misdirected += u64::from(w.turned == 2);
            match f.cache.on_wrong_shard(
                self.now,
                (w.volume, w.key),
                shard,
                Some(self.version),
                &mut out,
            ) {
                Reroute::To(shard) if w.turned < 3 => place = Location::OnShard(shard),
                Reroute::Pending => place = Location::Unknown,
                _ => break,
            }
        }
        if place == Location::Unknown {
            f.waits.push(w);
        }
        self.carry(front, out);
    }

    /// An extent moves; polls that are held hear of it.
    fn change(&mut self) {
        if self.sim.moves_per_s > 0.0 {
            let gap = -(1.0 - self.dice.f64()).ln() / self.sim.moves_per_s * S as f64;
            self.later(gap as Micros, Happens::Move);
        }
        let volume = self.dice.u64(0..self.sim.volumes);
        let piece = self.truth[volume as usize].get(self.dice.u64(..));
        self.version.epoch += 1;
        let (epoch, shard) = (self.version.epoch, Some(self.dice.u32(0..self.sim.shards)));
        self.truth[volume as usize].set(piece.first, piece.last, shard, epoch, epoch);
        let change = Change {
            volume: VolumeId(volume),
            first: piece.first,
            last: piece.last,
            shard,
            epoch,
        };
        self.history.push_back(change);
        if self.silent() {
            return;
        }
        for (front, version) in std::mem::take(&mut self.held).into_values() {
            self.answer_poll(front, Some(version));
        }
    }

    fn call(&mut self, front: usize, action: Action) {
        if self.silent() {
            // Given up by the driver.
            let input = match action {
                Action::Fetch { volume, .. } => Input::Fetched {
                    volume,
                    answer: Err("silent".into()),
                },
                _ => Input::Polled(Err("silent".into())),
            };
            self.later(S, Happens::Answer(front, input));
            return;
        }
        match action {
            Action::Poll {
                from: Some(from),
                hold,
            } if from == self.version => {
                let poll = self.later(hold, Happens::HoldOver(self.number + 1));
                self.held.insert(poll, (front, from));
            }
            Action::Poll { from, .. } => self.answer_poll(front, from),
            Action::Fetch { volume, key } => {
                let ranges = &self.truth[volume.0 as usize];
                let piece = key.map(|k| ranges.get(k.0));
                let within = piece.map_or((0, u64::MAX), |p| (p.first, p.last));
                let pieces = ranges
                    .iter()
                    .filter(|p| p.shard.is_some() && p.first >= within.0 && p.last <= within.1);
                let extent = |p: lupinrack_extent_map::KeyRange| Change {
                    volume,
                    first: p.first,
                    last: p.last,
                    shard: p.shard,
                    epoch: p.epoch,
                };
                let extents = pieces.map(extent).collect();
                let cover = FetchResponse {
                    version: self.version,
                    volume,
                    first: within.0,
                    last: within.1,
                    extents,
                };
                let size = serde_json::to_vec(&cover).map_or(0, |b| b.len());
                self.answer(
                    front,
                    size,
                    Input::Fetched {
                        volume,
                        answer: Ok(cover),
                    },
                );
            }
            _ => {}
        }
    }

    fn answer_poll(&mut self, front: usize, from: Option<Version>) {
        let news = match from {
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
            // Too large to be told whole: volumes are fetched on need.
            None => PollResponse {
                version: self.version,
                reset: true,
                full_map: false,
                changes: Vec::new(),
            },
        };
        let size = serde_json::to_vec(&news).map_or(0, |b| b.len());
        self.answer(front, size, Input::Polled(Ok(news)));
    }

    fn answer(&mut self, front: usize, size: usize, input: Input) {
        self.bytes += (size + HEADS) as u64;
        let way = self.dice.i64(WAY);
        self.later(way, Happens::Answer(front, input));
    }
}
