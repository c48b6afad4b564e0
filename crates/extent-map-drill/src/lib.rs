//! The extents drill: processes of the program with a relay between them, nodes, discovery and the authority on loopback, all
//! chances from one seed. What was promised is compared with what the stand-ins saw.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use clap::{Args, ValueEnum};
use lupinrack_fault_injection::process::Process;
use lupinrack_fault_injection::relay::Relay;
use lupinrack_fault_injection::stage::Stage;
use lupinrack_fault_injection::RigError;
use mock_servers::authority::{Authority, Entrance, Lot, Traffic, Truth};
use mock_servers::load::{mix, Ask, Came, Clients, Tally};
use mock_servers::node::{lock, Fate, Manner, Whereabouts};
use mock_servers::settings::configuration;
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// What the drill plays.
#[derive(Clone, Debug, Args)]
pub struct Drill {
    /// Fronts.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub fronts: u32,
    /// Nodes, a shard each.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(2..=256))]
    pub nodes: u32,
    /// Volumes, eight extents each at first.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    pub volumes: u64,
    /// Moves, splits and merges a second.
    #[arg(long, default_value_t = 0.5)]
    pub moves_per_s: f64,
    /// Seconds of load.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub seconds: u64,
    /// The seed of all chances; a fresh one where it is not given. It is printed.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Requests a second for each front.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=2000))]
    pub rate: u64,
    /// This many further moves within 5 s (or the middle half of a shorter run), from the middle on.
    #[arg(long, default_value_t = 0)]
    pub burst: u64,
    /// One attempt in this many breaks its connection at the node; 0: none.
    #[arg(long, default_value_t = 200)]
    pub resets: u32,
    /// Play only this one. Otherwise `versioned` is played, and the other two after it for comparison.
    #[arg(long, value_enum)]
    pub strategy: Option<Which>,
    /// Print one JSON object in place of the table.
    #[arg(long)]
    pub json: bool,
}

/// How the map is kept fresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Which {
    /// Volumes are fetched on need, and refreshed by wrong turns only.
    None,
    /// Volumes are fetched anew once they are 5 s old.
    Ttl,
    /// The authority's stream of versions.
    Versioned,
}

impl Which {
    fn name(self) -> &'static str {
        match self {
            Which::None => "none",
            Which::Ttl => "ttl",
            Which::Versioned => "versioned",
        }
    }
}

/// What came of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// How the map was kept fresh.
    pub strategy: &'static str,
    /// The seed.
    pub seed: u64,
    /// What came of the requests. A promise: none is lost.
    #[serde(flatten)]
    pub tally: Tally,
    /// New writes that ran more than once. A promise: 0.
    pub duplicates: u64,
    /// What reached a node more than 1 s (and 50 ms) after the last front was told that it drains. A promise: 0.
    pub drain_late: u64,
    /// Requests that a node turned away because their data lay elsewhere.
    pub misdirected: u64,
    /// Their share of all requests.
    pub misdirected_share: f64,
    /// Requests that were turned away so more than once.
    pub second_misdirected: u64,
    /// Bytes of calls to the authority, both ways, and of datagrams between fronts, for each request.
    pub message_bytes_per_request: f64,
    /// Polls and fetches, all fronts together.
    pub refresh_calls: u64,
    /// During the burst, the most polls and fetches of one front.
    pub burst_calls_per_front: u64,
    /// Bytes by which the fronts learned the map at first; not counted above.
    pub first_load_bytes: u64,
    /// Moves, splits and merges made.
    pub moves: u64,
    /// Drains made.
    pub drains: u64,
    /// Datagrams sent from front to front.
    pub datagrams: u64,
}

/// All runs of a drill.
#[derive(Serialize)]
pub struct Report {
    #[serde(flatten)]
    figures: Figures,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    baselines: BTreeMap<&'static str, Figures>,
}

/// Extents of a volume at first.
const LOTS: u64 = 8;
/// A drain begins this often, while the run lasts.
const DRAIN_EVERY: Duration = Duration::from_secs(3);
/// The successor of every other drained node comes only after this: in between nobody holds the shard.
const SUCCESSOR_LATE: Duration = Duration::from_millis(1_300);
/// A drained node is gone after this.
const DRAIN_LASTS: Duration = Duration::from_millis(1_800);
/// Extents of a drained node that move elsewhere while it drains.
const DRAIN_MOVES: u64 = 3;
/// What a node may get after the front was told that it drains, and what sockets add.
const GRACE: Duration = Duration::from_millis(1_050);

impl Drill {
    /// What of it cannot be played.
    pub fn check(&self) -> Result<(), String> {
        match (0.0..=10_000.0).contains(&self.moves_per_s) {
            true => Ok(()),
            false => Err("--moves-per-s: from 0 to 10000".into()),
        }
    }

    /// Plays it with this program, and for comparison the other strategies.
    pub async fn run(&self, program: &Path) -> Result<Report, RigError> {
        let seed = self.seed.unwrap_or_else(|| fastrand::u64(..));
        let figures = play(
            self,
            seed,
            self.strategy.unwrap_or(Which::Versioned),
            program,
        )
        .await?;
        let mut baselines = BTreeMap::new();
        if self.strategy.is_none() {
            for which in [Which::None, Which::Ttl] {
                baselines.insert(which.name(), play(self, seed, which, program).await?);
            }
        }
        Ok(Report { figures, baselines })
    }
}

impl Report {
    fn all(&self) -> impl Iterator<Item = &Figures> {
        self.baselines.values().chain([&self.figures])
    }

    /// How often a promise was broken.
    pub fn broken(&self) -> u64 {
        self.all()
            .map(|f| f.tally.lost + f.duplicates + f.drain_late)
            .sum()
    }

    /// As a table.
    pub fn table(&self) -> String {
        table(self.figures.seed, self.all())
    }
}

fn table<'a>(seed: u64, all: impl Iterator<Item = &'a Figures>) -> String {
    let mut text = format!(
        "seed {seed}\n{:<10}{:>9}{:>8}{:>8}{:>7}{:>6}{:>6}{:>6}{:>11}{:>9}{:>8}{:>10}\n",
        "strategy",
        "requests",
        "served",
        "refused",
        "failed",
        "lost",
        "dupl",
        "late",
        "misdirected",
        "share %",
        "second",
        "bytes/req"
    );
    for f in all {
        text += &format!(
            "{:<10}{:>9}{:>8}{:>8}{:>7}{:>6}{:>6}{:>6}{:>11}{:>9.3}{:>8}{:>10.2}\n",
            f.strategy,
            f.tally.requests,
            f.tally.served,
            f.tally.refused,
            f.tally.failed,
            f.tally.lost,
            f.duplicates,
            f.drain_late,
            f.misdirected,
            f.misdirected_share * 100.0,
            f.second_misdirected,
            f.message_bytes_per_request
        );
    }
    text
}

/// The room: nodes by shard, the list, and who drains.
struct Room {
    authority: Arc<Authority>,
    stage: Stage,
    /// The version of the list that told of a node's drain.
    drained: HashMap<usize, u64>,
    /// The node that holds each shard.
    holders: Vec<usize>,
    resets: u32,
}

impl Room {
    async fn new(
        drill: &Drill,
        authority: Arc<Authority>,
        program: PathBuf,
        dice: &mut fastrand::Rng,
    ) -> Result<Room, RigError> {
        let (stage, resets) = (Stage::new(program).await?, drill.resets);
        let mut room = Room {
            authority,
            stage,
            drained: HashMap::new(),
            holders: Vec::new(),
            resets,
        };
        for shard in 0..drill.nodes {
            let at = room.add(shard, dice).await?;
            room.holders.push(at);
        }
        Ok(room)
    }

    async fn add(&mut self, shard: u32, dice: &mut fastrand::Rng) -> Result<usize, RigError> {
        let truth = self.authority.truth.clone();
        let whereabouts: Whereabouts = Arc::new(move |volume, key| lock(&truth).lies(volume, key));
        let (seed, resets) = (dice.u64(..), self.resets);
        let manner = Manner {
            shard,
            seed,
            resets,
            whereabouts: Some(whereabouts),
            ..Manner::default()
        };
        let at = self.stage.node(manner).await?;
        self.stage.list(at, "SERVING");
        Ok(at)
    }

    /// A node drains, and some of its extents move elsewhere meanwhile; its successor takes the shard over now, or is
    /// still to come.
    async fn drain(&mut self, late: bool, dice: &mut fastrand::Rng) -> Result<usize, RigError> {
        let shard = dice.u32(0..self.holders.len() as u32);
        let old = self.holders[shard as usize];
        if !late {
            self.holders[shard as usize] = self.add(shard, dice).await?;
        }
        self.drained.insert(old, self.stage.list(old, "DRAINING"));
        let mine: Vec<Lot> = lock(&self.authority.truth)
            .lots()
            .filter(|l| l.shard == shard)
            .copied()
            .collect();
        for _ in 0..DRAIN_MOVES.min(mine.len() as u64) {
            let lot = mine[dice.usize(0..mine.len())];
            let to = dice.u32(0..self.holders.len() as u32);
            self.authority
                .change(|t| t.put(lot.volume, lot.first, lot.last, to));
        }
        Ok(old)
    }
}

/// A front: its process, its own entrance to the authority.
struct Front {
    process: Process,
    clients: SocketAddr,
    entrance: Entrance,
}

impl Front {
    /// Polls and fetches so far.
    fn calls(&self) -> u64 {
        calls(&self.entrance.traffic)
    }
}

/// Bytes and datagrams over all fronts so far: of calls to the authority, and between fronts.
fn traffic(fronts: &[Front], relay: &Relay) -> (u64, u64, u64) {
    let asked = fronts
        .iter()
        .map(|f| f.entrance.traffic.bytes.load(Ordering::Relaxed))
        .sum();
    let sent: Vec<(u64, u64)> = (0..fronts.len()).map(|i| relay.sent(i)).collect();
    (
        asked,
        sent.iter().map(|s| s.0).sum(),
        sent.iter().map(|s| s.1).sum(),
    )
}

async fn play(drill: &Drill, seed: u64, which: Which, program: &Path) -> Result<Figures, RigError> {
    let mut dice = fastrand::Rng::with_seed(seed);
    let mut truth = Truth::new(dice.u64(1..1 << 40));
    for volume in 0..drill.volumes {
        for lot in 0..LOTS {
            truth.put(
                volume,
                lot * SPAN,
                lot * SPAN + (SPAN - 1),
                dice.u32(0..drill.nodes),
            );
        }
    }
    let authority = Arc::new(Authority::start(truth).await?);
    let mut room = Room::new(drill, authority.clone(), program.to_path_buf(), &mut dice).await?;
    let relay = Relay::new(drill.fronts as usize, dice.u64(..)).await?;
    let fronts = fronts(drill, which, &room, &relay, &mut dice).await?;
    let clients = Clients::default();

    // The fronts learn where everything lies before the load begins.
    let mut first = JoinSet::new();
    let number = std::cell::Cell::new(0);
    let next = |dice: &mut fastrand::Rng, volume: Option<u64>| {
        number.set(number.get() + 1);
        let volume = volume.unwrap_or_else(|| dice.u64(0..drill.volumes));
        ask(dice, number.get(), volume, drill.fronts)
    };
    for front in &fronts {
        for volume in 0..drill.volumes {
            let (clients, ask, at) = (
                clients.clone(),
                next(&mut dice, Some(volume)),
                front.clients,
            );
            first.spawn(async move { clients.ask(at, &ask).await });
            while first.len() > 32 {
                first.join_next().await;
            }
        }
    }
    while first.join_next().await.is_some() {}
    for (node, _) in &room.stage.nodes {
        lock(&node.seen).clear();
    }
    let told = |f: &[Front]| f.iter().map(Front::calls).collect::<Vec<u64>>();
    let (before, first_load) = (told(&fronts), traffic(&fronts, &relay));
    let first_load_bytes = first_load.0;
    let mut figures = Figures {
        strategy: which.name(),
        seed,
        first_load_bytes,
        ..Figures::default()
    };

    let (began, span) = (Instant::now(), Duration::from_secs(drill.seconds));
    let total = drill.rate * drill.seconds * u64::from(drill.fronts);
    let mut script = Script::new(drill, span, &mut dice);
    let mut asked: JoinSet<(Came, Duration)> = JoinSet::new();
    let mut gone: Vec<(Duration, Later)> = Vec::new();
    let (mut burst, mut burst_from): (Option<Duration>, Vec<u64>) = (None, Vec::new());
    for n in 0..total {
        let due = span.mul_f64((n as f64 + dice.f64()) / total as f64);
        while let Some((at, what)) = script.next(due) {
            sleep_until(began + at).await;
            match what {
                Scene::Change => {
                    change(&authority, drill, &mut script.undo, &mut dice);
                    figures.moves += 1;
                }
                Scene::Drain => {
                    figures.drains += 1;
                    figures.moves += DRAIN_MOVES;
                    let late = figures.drains.is_multiple_of(2);
                    let old = room.drain(late, &mut dice).await?;
                    if late {
                        gone.push((
                            at + SUCCESSOR_LATE,
                            Later::Successor(room.stage.nodes[old].1),
                        ));
                    }
                    gone.push((at + DRAIN_LASTS, Later::Gone(old)));
                }
                Scene::BurstBegins => burst_from = told(&fronts),
                Scene::BurstEnds => burst = Some(at),
            }
            if burst == Some(at) {
                let since = told(&fronts);
                let each = since.iter().zip(&burst_from).map(|(a, b)| a - b);
                figures.burst_calls_per_front = each.max().unwrap_or(0);
            }
        }
        while let Some(i) = gone.iter().position(|(at, _)| *at <= due) {
            match gone.swap_remove(i).1 {
                Later::Successor(shard) => {
                    room.holders[shard as usize] = room.add(shard, &mut dice).await?
                }
                Later::Gone(node) => {
                    room.stage.list(node, "DELETED");
                }
            }
        }
        sleep_until(began + due).await;
        let at = fronts[dice.usize(0..fronts.len())].clients;
        let (clients, ask) = (clients.clone(), next(&mut dice, None));
        asked.spawn(async move { clients.ask(at, &ask).await });
        while let Some(Ok(came)) = asked.try_join_next() {
            figures.tally.count(came.0);
        }
    }
    while let Some(came) = asked.join_next().await {
        figures.tally.count(came.map_err(std::io::Error::other)?.0);
    }
    let (after, all) = (told(&fronts), traffic(&fronts, &relay));
    figures.refresh_calls = after.iter().sum::<u64>() - before.iter().sum::<u64>();
    figures.datagrams = all.1 - first_load.1;
    let messages = all.0 - first_load.0 + all.2 - first_load.2;
    figures.message_bytes_per_request = messages as f64 / figures.tally.requests.max(1) as f64;
    for front in fronts {
        room.stage.end(front.process).await?;
    }
    figures.compare(&room);
    Ok(figures)
}

/// Keys of one extent at first.
const SPAN: u64 = u64::MAX / LOTS;

async fn fronts(
    drill: &Drill,
    which: Which,
    room: &Room,
    relay: &Relay,
    dice: &mut fastrand::Rng,
) -> Result<Vec<Front>, RigError> {
    // Ports that are free now; the fronts bind them in a moment.
    let held: Vec<std::net::UdpSocket> = (0..drill.fronts)
        .map(|_| std::net::UdpSocket::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let own: Vec<SocketAddr> = held
        .iter()
        .map(|s| s.local_addr())
        .collect::<Result<_, _>>()?;
    drop(held);
    let mut fronts = Vec::new();
    for (i, own) in own.iter().enumerate() {
        let entrance = room.authority.entrance().await?;
        let discovery = room.stage.discovery.address;
        let config = configuration(&format!("n{i}"), discovery, dice.u64(..), drill.fronts);
        let others = (0..drill.fronts as usize).filter(|j| *j != i);
        let peers: Vec<SocketAddr> = others
            .map(|j| relay.address(i, j))
            .collect::<Result<_, _>>()?;
        let operator = format!(
            "[extents]\nenabled = true\nauthority = \"{}\"\nstrategy = \"{}\"\npeer_listen = \"{own}\"\npeers = {}\n",
            entrance.address,
            which.name(),
            json!(peers)
        );
        relay.target(i, Some(*own));
        let process = room.stage.front(i as u16, config, operator).await?;
        let Some(clients) = process.listens.clients else {
            return Err(RigError::Script("a front listens for no clients".into()));
        };
        fronts.push(Front {
            process,
            clients,
            entrance,
        });
    }
    Ok(fronts)
}

fn ask(dice: &mut fastrand::Rng, number: u64, volume: u64, fronts: u32) -> Ask {
    let (class, writes, units) = mix(dice);
    Ask {
        id: format!("{number:016x}"),
        class,
        writes,
        plan: "priority",
        volume,
        key: dice.u64(1..u64::MAX),
        units,
        // The client's own idea is as good as none: the map says.
        shard: -1,
        hosts: fronts,
        deadline: Duration::from_secs(if class == "read" { 2 } else { 4 }),
    }
}

/// One thing that happens beside the load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scene {
    Change,
    Drain,
    BurstBegins,
    BurstEnds,
}

/// What comes of a drain a little later.
#[derive(Clone, Copy, Debug)]
enum Later {
    /// The shard's new node is there.
    Successor(u32),
    /// The drained node is gone.
    Gone(usize),
}

/// What happens when, and the moves that may be undone.
struct Script {
    scenes: Vec<(Duration, Scene)>,
    undo: Vec<Lot>,
}

impl Script {
    fn new(drill: &Drill, span: Duration, dice: &mut fastrand::Rng) -> Script {
        let mut scenes = Vec::new();
        let moves = (drill.moves_per_s * span.as_secs_f64()).round() as u64;
        scenes.extend((0..moves).map(|n| {
            (
                span.mul_f64((n as f64 + dice.f64()) / moves as f64),
                Scene::Change,
            )
        }));
        let drains = (span.as_secs_f64() / DRAIN_EVERY.as_secs_f64()) as u32;
        scenes.extend((0..drains).map(|n| {
            (
                DRAIN_EVERY * n + DRAIN_EVERY.mul_f64(dice.f64() * 0.3),
                Scene::Drain,
            )
        }));
        if drill.burst > 0 {
            let (from, lasts) = (span / 2, Duration::from_secs(5).min(span / 4));
            scenes.push((from, Scene::BurstBegins));
            scenes.extend(
                (0..drill.burst).map(|_| (from + lasts.mul_f64(dice.f64()), Scene::Change)),
            );
            scenes.push((from + lasts, Scene::BurstEnds));
        }
        // Where two fall on one moment the burst's marks stay outside of its moves.
        scenes.sort_by_key(|(at, scene)| {
            (
                *at,
                *scene == Scene::BurstEnds,
                *scene != Scene::BurstBegins,
            )
        });
        scenes.reverse();
        Script {
            scenes,
            undo: Vec::new(),
        }
    }

    fn next(&mut self, due: Duration) -> Option<(Duration, Scene)> {
        self.scenes.pop_if(|(at, _)| *at <= due)
    }
}

/// A move, a move undone, two moves of one extent at once, a split, or a merge.
fn change(authority: &Authority, drill: &Drill, undo: &mut Vec<Lot>, dice: &mut fastrand::Rng) {
    let (volume, key, to) = (
        dice.u64(0..drill.volumes),
        dice.u64(..),
        dice.u32(0..drill.nodes),
    );
    authority.change(|truth| {
        let Some(lot) = truth.lot(volume, key) else {
            return;
        };
        match dice.u32(0..10) {
            0..=4 => {
                undo.push(lot);
                truth.put(volume, lot.first, lot.last, to);
            }
            5 => {
                truth.put(volume, lot.first, lot.last, to);
                truth.put(volume, lot.first, lot.last, dice.u32(0..drill.nodes));
            }
            6 | 7 => match undo.pop() {
                Some(was) => truth.put(was.volume, was.first, was.last, was.shard),
                None => truth.put(volume, lot.first, lot.last, to),
            },
            8 => truth.put(
                volume,
                lot.first,
                lot.first + (lot.last - lot.first) / 2,
                to,
            ),
            _ => {
                let next = lot
                    .last
                    .checked_add(1)
                    .and_then(|n| truth.lot(volume, n))
                    .unwrap_or(lot);
                truth.put(volume, lot.first, next.last, lot.shard);
            }
        }
    });
    if undo.len() > 16 {
        undo.remove(0);
    }
}

fn calls(traffic: &Traffic) -> u64 {
    traffic.polls.load(Ordering::Relaxed) + traffic.fetches.load(Ordering::Relaxed)
}

impl Figures {
    /// What the nodes saw against what was promised.
    fn compare(&mut self, room: &Room) {
        let mut turned: HashMap<String, u64> = HashMap::new();
        for (at, (node, _)) in room.stage.nodes.iter().enumerate() {
            let told = room
                .drained
                .get(&at)
                .and_then(|version| room.stage.discovery.told(*version));
            for seen in lock(&node.seen).iter() {
                if seen.fate == Fate::Elsewhere {
                    *turned.entry(seen.id.clone()).or_default() += 1;
                }
                self.drain_late += u64::from(told.is_some_and(|told| seen.at > told + GRACE));
            }
        }
        self.duplicates = room.stage.duplicates();
        self.misdirected = turned.len() as u64;
        self.second_misdirected = turned.values().filter(|n| **n > 1).count() as u64;
        self.misdirected_share = self.misdirected as f64 / self.tally.requests.max(1) as f64;
    }
}
