//! The extents drill: front processes with a relay between them, and mock nodes, discovery and authority, all on loopback,
//! with all random choices from one seed. Checks the guarantees of the fronts against the requests that the nodes received.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use clap::{Args, ValueEnum};
use lupinrack_fault_injection::local_fleet::LocalFleet;
use lupinrack_fault_injection::process::Process;
use lupinrack_fault_injection::relay::Relay;
use lupinrack_fault_injection::HarnessError;
use mock_servers::authority::{Authority, AuthorityListener, Extent, GroundTruth, Traffic};
use mock_servers::load::{mix, ClientRequest, Clients, RequestCounts, RequestOutcome};
use mock_servers::node::{lock, AttemptOutcome, NodeConfig, PlacementLookup};
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
    pub strategy: Option<Strategy>,
    /// Print one JSON object in place of the table.
    #[arg(long)]
    pub json: bool,
}

/// How the map is kept fresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Strategy {
    /// Volumes are fetched on need, and refreshed by wrong turns only.
    None,
    /// Volumes are fetched anew once they are 5 s old.
    Ttl,
    /// The authority's stream of versions.
    Versioned,
}

impl Strategy {
    fn name(self) -> &'static str {
        match self {
            Strategy::None => "none",
            Strategy::Ttl => "ttl",
            Strategy::Versioned => "versioned",
        }
    }
}

/// The results of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The strategy by which the map was kept current.
    pub strategy: &'static str,
    /// The seed.
    pub seed: u64,
    /// Requests by result. Guaranteed: `lost` is 0.
    #[serde(flatten)]
    pub tally: RequestCounts,
    /// New writes that ran more than once. Guaranteed: 0.
    pub duplicates: u64,
    /// Requests received by a draining node more than 1.05 s after the last front was notified. Guaranteed: 0.
    pub drain_late: u64,
    /// Requests that a node rejected because their data was elsewhere.
    pub misdirected: u64,
    /// `misdirected` as a share of all requests.
    pub misdirected_share: f64,
    /// Requests that were rejected in this way more than once.
    pub second_misdirected: u64,
    /// Bytes per request of calls to the authority, in both directions, and of datagrams between fronts.
    pub message_bytes_per_request: f64,
    /// Polls and fetches of all fronts.
    pub refresh_calls: u64,
    /// Polls and fetches during the burst, of the front with the most.
    pub burst_calls_per_front: u64,
    /// Bytes of calls by which the fronts loaded the map before the run; not included in the other figures.
    pub first_load_bytes: u64,
    /// Moves, splits and merges of extents.
    pub moves: u64,
    /// Drains of nodes.
    pub drains: u64,
    /// Datagrams between fronts.
    pub datagrams: u64,
}

/// The results of all runs of a drill.
#[derive(Serialize)]
pub struct Report {
    #[serde(flatten)]
    figures: Figures,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    baselines: BTreeMap<&'static str, Figures>,
}

/// Extents of a volume at the start.
const EXTENTS_PER_VOLUME: u64 = 8;
/// Time between the starts of two drains.
const DRAIN_INTERVAL: Duration = Duration::from_secs(3);
/// Every other drained node gets its successor only after this time; until then no node serves the shard.
const LATE_SUCCESSOR_DELAY: Duration = Duration::from_millis(1_300);
/// A draining node is deleted after this time.
const DRAIN_DURATION: Duration = Duration::from_millis(1_800);
/// Extents of a draining node that are moved.
const MOVES_PER_DRAIN: u64 = 3;
/// How long after the notification of its drain a node may receive requests: 1 s, and 50 ms of delay by sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);

impl Drill {
    /// Checks the values that the argument parser cannot check.
    pub fn check(&self) -> Result<(), String> {
        match (0.0..=10_000.0).contains(&self.moves_per_s) {
            true => Ok(()),
            false => Err("--moves-per-s: from 0 to 10000".into()),
        }
    }

    /// Runs the drill with fronts of this program; without a given strategy, also the other two for comparison.
    pub async fn run(&self, program: &Path) -> Result<Report, HarnessError> {
        let seed = self.seed.unwrap_or_else(|| fastrand::u64(..));
        let figures = play(
            self,
            seed,
            self.strategy.unwrap_or(Strategy::Versioned),
            program,
        )
        .await?;
        let mut baselines = BTreeMap::new();
        if self.strategy.is_none() {
            for strategy in [Strategy::None, Strategy::Ttl] {
                baselines.insert(strategy.name(), play(self, seed, strategy, program).await?);
            }
        }
        Ok(Report { figures, baselines })
    }
}

impl Report {
    fn all_runs(&self) -> impl Iterator<Item = &Figures> {
        self.baselines.values().chain([&self.figures])
    }

    /// Number of violated guarantees, over all runs.
    pub fn broken(&self) -> u64 {
        self.all_runs()
            .map(|f| f.tally.lost + f.duplicates + f.drain_late)
            .sum()
    }

    /// The results as a table.
    pub fn table(&self) -> String {
        table(self.figures.seed, self.all_runs())
    }
}

fn table<'a>(seed: u64, runs: impl Iterator<Item = &'a Figures>) -> String {
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
    for run in runs {
        text += &format!(
            "{:<10}{:>9}{:>8}{:>8}{:>7}{:>6}{:>6}{:>6}{:>11}{:>9.3}{:>8}{:>10.2}\n",
            run.strategy,
            run.tally.requests,
            run.tally.served,
            run.tally.refused,
            run.tally.failed,
            run.tally.lost,
            run.duplicates,
            run.drain_late,
            run.misdirected,
            run.misdirected_share * 100.0,
            run.second_misdirected,
            run.message_bytes_per_request
        );
    }
    text
}

/// The mock servers: the authority, discovery and the nodes.
struct Cluster {
    authority: Arc<Authority>,
    local_fleet: LocalFleet,
    /// The version of the node list in which a node started to drain, by the node's index.
    drained: HashMap<usize, u64>,
    /// The index of the node that serves each shard.
    serving_nodes: Vec<usize>,
    resets: u32,
}

impl Cluster {
    async fn new(
        drill: &Drill,
        authority: Arc<Authority>,
        program: PathBuf,
        rng: &mut fastrand::Rng,
    ) -> Result<Cluster, HarnessError> {
        let (local_fleet, resets) = (LocalFleet::new(program).await?, drill.resets);
        let mut cluster = Cluster {
            authority,
            local_fleet,
            drained: HashMap::new(),
            serving_nodes: Vec::new(),
            resets,
        };
        for shard in 0..drill.nodes {
            let index = cluster.add_node(shard, rng).await?;
            cluster.serving_nodes.push(index);
        }
        Ok(cluster)
    }

    /// Starts a node for a shard and lists it as serving. Returns its index.
    async fn add_node(
        &mut self,
        shard: u32,
        rng: &mut fastrand::Rng,
    ) -> Result<usize, HarnessError> {
        let truth = self.authority.ground_truth.clone();
        let placement_lookup: PlacementLookup =
            Arc::new(move |volume, key| lock(&truth).placement(volume, key));
        let (seed, resets) = (rng.u64(..), self.resets);
        let node_config = NodeConfig {
            shard,
            seed,
            resets,
            placement_lookup: Some(placement_lookup),
            ..NodeConfig::default()
        };
        let index = self.local_fleet.node(node_config).await?;
        self.local_fleet.list(index, "SERVING");
        Ok(index)
    }

    /// Drains a node and moves some of its extents. Starts its successor, unless that is to come late. Returns the
    /// node's index.
    async fn drain(
        &mut self,
        late_successor: bool,
        rng: &mut fastrand::Rng,
    ) -> Result<usize, HarnessError> {
        let shard = rng.u32(0..self.serving_nodes.len() as u32);
        let node = self.serving_nodes[shard as usize];
        if !late_successor {
            self.serving_nodes[shard as usize] = self.add_node(shard, rng).await?;
        }
        self.drained
            .insert(node, self.local_fleet.list(node, "DRAINING"));
        let extents: Vec<Extent> = lock(&self.authority.ground_truth)
            .extents()
            .filter(|extent| extent.shard == shard)
            .copied()
            .collect();
        for _ in 0..MOVES_PER_DRAIN.min(extents.len() as u64) {
            let extent = extents[rng.usize(0..extents.len())];
            let to = rng.u32(0..self.serving_nodes.len() as u32);
            self.authority
                .change(|truth| truth.put(extent.volume, extent.first, extent.last, to));
        }
        Ok(node)
    }
}

/// A front process, with its own address of the authority so that its calls are counted separately.
struct Front {
    process: Process,
    clients: SocketAddr,
    authority_listener: AuthorityListener,
}

impl Front {
    /// Polls and fetches so far.
    fn calls(&self) -> u64 {
        calls(&self.authority_listener.traffic)
    }
}

/// Totals of all fronts so far: bytes of calls to the authority, and number and bytes of datagrams between fronts.
fn traffic(fronts: &[Front], relay: &Relay) -> (u64, u64, u64) {
    let call_bytes = fronts
        .iter()
        .map(|front| {
            front
                .authority_listener
                .traffic
                .bytes
                .load(Ordering::Relaxed)
        })
        .sum();
    let sent: Vec<(u64, u64)> = (0..fronts.len()).map(|i| relay.sent(i)).collect();
    (
        call_bytes,
        sent.iter().map(|s| s.0).sum(),
        sent.iter().map(|s| s.1).sum(),
    )
}

/// Runs the drill once.
async fn play(
    drill: &Drill,
    seed: u64,
    strategy: Strategy,
    program: &Path,
) -> Result<Figures, HarnessError> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut truth = GroundTruth::new(rng.u64(1..1 << 40));
    for volume in 0..drill.volumes {
        for extent in 0..EXTENTS_PER_VOLUME {
            truth.put(
                volume,
                extent * KEYS_PER_EXTENT,
                extent * KEYS_PER_EXTENT + (KEYS_PER_EXTENT - 1),
                rng.u32(0..drill.nodes),
            );
        }
    }
    let authority = Arc::new(Authority::start(truth).await?);
    let mut cluster =
        Cluster::new(drill, authority.clone(), program.to_path_buf(), &mut rng).await?;
    let relay = Relay::new(drill.fronts as usize, rng.u64(..)).await?;
    let fronts = start_fronts(drill, strategy, &cluster, &relay, &mut rng).await?;
    let clients = Clients::default();

    // A request to each volume through each front loads the map before the run.
    let mut warm_up = JoinSet::new();
    let last_number = std::cell::Cell::new(0);
    let next_request = |rng: &mut fastrand::Rng, volume: Option<u64>| {
        last_number.set(last_number.get() + 1);
        let volume = volume.unwrap_or_else(|| rng.u64(0..drill.volumes));
        request(rng, last_number.get(), volume, drill.fronts)
    };
    for front in &fronts {
        for volume in 0..drill.volumes {
            let (clients, request, address) = (
                clients.clone(),
                next_request(&mut rng, Some(volume)),
                front.clients,
            );
            warm_up.spawn(async move { clients.send(address, &request).await });
            while warm_up.len() > 32 {
                warm_up.join_next().await;
            }
        }
    }
    while warm_up.join_next().await.is_some() {}
    for (node, _) in &cluster.local_fleet.nodes {
        lock(&node.attempts).clear();
    }
    let count_calls = |fronts: &[Front]| fronts.iter().map(Front::calls).collect::<Vec<u64>>();
    let (calls_before, traffic_before) = (count_calls(&fronts), traffic(&fronts, &relay));
    let first_load_bytes = traffic_before.0;
    let mut figures = Figures {
        strategy: strategy.name(),
        seed,
        first_load_bytes,
        ..Figures::default()
    };

    let (started, duration) = (Instant::now(), Duration::from_secs(drill.seconds));
    let total = drill.rate * drill.seconds * u64::from(drill.fronts);
    let mut schedule = Schedule::new(drill, duration, &mut rng);
    let mut in_flight: JoinSet<(RequestOutcome, Duration)> = JoinSet::new();
    let mut follow_ups: Vec<(Duration, FollowUp)> = Vec::new();
    let (mut burst_end, mut calls_before_burst): (Option<Duration>, Vec<u64>) = (None, Vec::new());
    for n in 0..total {
        let due = duration.mul_f64((n as f64 + rng.f64()) / total as f64);
        while let Some((at, event)) = schedule.next(due) {
            sleep_until(started + at).await;
            match event {
                ScheduledEvent::Change => {
                    change_extent(&authority, drill, &mut schedule.undoable, &mut rng);
                    figures.moves += 1;
                }
                ScheduledEvent::Drain => {
                    figures.drains += 1;
                    figures.moves += MOVES_PER_DRAIN;
                    let late_successor = figures.drains.is_multiple_of(2);
                    let node = cluster.drain(late_successor, &mut rng).await?;
                    if late_successor {
                        follow_ups.push((
                            at + LATE_SUCCESSOR_DELAY,
                            FollowUp::StartSuccessor(cluster.local_fleet.nodes[node].1),
                        ));
                    }
                    follow_ups.push((at + DRAIN_DURATION, FollowUp::Delete(node)));
                }
                ScheduledEvent::BurstBegins => calls_before_burst = count_calls(&fronts),
                ScheduledEvent::BurstEnds => burst_end = Some(at),
            }
            if burst_end == Some(at) {
                let calls = count_calls(&fronts);
                let calls_in_burst = calls
                    .iter()
                    .zip(&calls_before_burst)
                    .map(|(after, before)| after - before);
                figures.burst_calls_per_front = calls_in_burst.max().unwrap_or(0);
            }
        }
        while let Some(i) = follow_ups.iter().position(|(at, _)| *at <= due) {
            match follow_ups.swap_remove(i).1 {
                FollowUp::StartSuccessor(shard) => {
                    cluster.serving_nodes[shard as usize] =
                        cluster.add_node(shard, &mut rng).await?
                }
                FollowUp::Delete(node) => {
                    cluster.local_fleet.list(node, "DELETED");
                }
            }
        }
        sleep_until(started + due).await;
        let address = fronts[rng.usize(0..fronts.len())].clients;
        let (clients, request) = (clients.clone(), next_request(&mut rng, None));
        in_flight.spawn(async move { clients.send(address, &request).await });
        while let Some(Ok(result)) = in_flight.try_join_next() {
            figures.tally.count(result.0);
        }
    }
    while let Some(result) = in_flight.join_next().await {
        figures
            .tally
            .count(result.map_err(std::io::Error::other)?.0);
    }
    let (calls_after, traffic_after) = (count_calls(&fronts), traffic(&fronts, &relay));
    figures.refresh_calls = calls_after.iter().sum::<u64>() - calls_before.iter().sum::<u64>();
    figures.datagrams = traffic_after.1 - traffic_before.1;
    let message_bytes = traffic_after.0 - traffic_before.0 + traffic_after.2 - traffic_before.2;
    figures.message_bytes_per_request = message_bytes as f64 / figures.tally.requests.max(1) as f64;
    for front in fronts {
        cluster.local_fleet.end(front.process).await?;
    }
    figures.count_node_observations(&cluster);
    Ok(figures)
}

/// Keys of one extent at the start.
const KEYS_PER_EXTENT: u64 = u64::MAX / EXTENTS_PER_VOLUME;

async fn start_fronts(
    drill: &Drill,
    strategy: Strategy,
    cluster: &Cluster,
    relay: &Relay,
    rng: &mut fastrand::Rng,
) -> Result<Vec<Front>, HarnessError> {
    // Finds free ports, which the fronts bind shortly afterwards.
    let reserved: Vec<std::net::UdpSocket> = (0..drill.fronts)
        .map(|_| std::net::UdpSocket::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let peer_addresses: Vec<SocketAddr> = reserved
        .iter()
        .map(|socket| socket.local_addr())
        .collect::<Result<_, _>>()?;
    drop(reserved);
    let mut fronts = Vec::new();
    for (i, own_address) in peer_addresses.iter().enumerate() {
        let authority_listener = cluster.authority.open_listener().await?;
        let discovery = cluster.local_fleet.discovery.address;
        let module_config = configuration(&format!("n{i}"), discovery, rng.u64(..), drill.fronts);
        let others = (0..drill.fronts as usize).filter(|j| *j != i);
        let peers: Vec<SocketAddr> = others
            .map(|j| relay.address(i, j))
            .collect::<Result<_, _>>()?;
        let operator_config = format!(
            "[extents]\nenabled = true\nauthority = \"{}\"\nstrategy = \"{}\"\npeer_listen = \"{own_address}\"\npeers = {}\n",
            authority_listener.address,
            strategy.name(),
            json!(peers)
        );
        relay.set_target(i, Some(*own_address));
        let process = cluster
            .local_fleet
            .front(i as u16, module_config, operator_config)
            .await?;
        let Some(clients) = process.addresses.clients else {
            return Err(HarnessError::Script(
                "a front has no address for clients".into(),
            ));
        };
        fronts.push(Front {
            process,
            clients,
            authority_listener,
        });
    }
    Ok(fronts)
}

fn request(rng: &mut fastrand::Rng, number: u64, volume: u64, fronts: u32) -> ClientRequest {
    let (class, writes, units) = mix(rng);
    ClientRequest {
        id: format!("{number:016x}"),
        class,
        writes,
        plan: "priority",
        volume,
        key: rng.u64(1..u64::MAX),
        units,
        // The client names no shard, so the map decides.
        shard: -1,
        hosts: fronts,
        deadline: Duration::from_secs(if class == "read" { 2 } else { 4 }),
    }
}

/// An event that happens during the load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ScheduledEvent {
    Change,
    Drain,
    BurstBegins,
    BurstEnds,
}

/// A later step of a drain.
#[derive(Clone, Copy, Debug)]
enum FollowUp {
    /// The late successor for this shard starts.
    StartSuccessor(u32),
    /// The drained node is deleted.
    Delete(usize),
}

/// The events of a run, and the moves that may be undone.
struct Schedule {
    /// The last one is the next to happen.
    events: Vec<(Duration, ScheduledEvent)>,
    undoable: Vec<Extent>,
}

impl Schedule {
    fn new(drill: &Drill, duration: Duration, rng: &mut fastrand::Rng) -> Schedule {
        let mut events = Vec::new();
        let moves = (drill.moves_per_s * duration.as_secs_f64()).round() as u64;
        events.extend((0..moves).map(|n| {
            (
                duration.mul_f64((n as f64 + rng.f64()) / moves as f64),
                ScheduledEvent::Change,
            )
        }));
        let drains = (duration.as_secs_f64() / DRAIN_INTERVAL.as_secs_f64()) as u32;
        events.extend((0..drains).map(|n| {
            (
                DRAIN_INTERVAL * n + DRAIN_INTERVAL.mul_f64(rng.f64() * 0.3),
                ScheduledEvent::Drain,
            )
        }));
        if drill.burst > 0 {
            let (from, burst_duration) = (duration / 2, Duration::from_secs(5).min(duration / 4));
            events.push((from, ScheduledEvent::BurstBegins));
            events.extend((0..drill.burst).map(|_| {
                (
                    from + burst_duration.mul_f64(rng.f64()),
                    ScheduledEvent::Change,
                )
            }));
            events.push((from + burst_duration, ScheduledEvent::BurstEnds));
        }
        // At the same time, the start of the burst comes before its moves, and the end after them.
        events.sort_by_key(|(at, event)| {
            (
                *at,
                *event == ScheduledEvent::BurstEnds,
                *event != ScheduledEvent::BurstBegins,
            )
        });
        events.reverse();
        Schedule {
            events,
            undoable: Vec::new(),
        }
    }

    /// Removes the next event that is due.
    fn next(&mut self, due: Duration) -> Option<(Duration, ScheduledEvent)> {
        self.events.pop_if(|(at, _)| *at <= due)
    }
}

/// Makes a random change: a move, the reversal of a move, two moves of one extent, a split, or a merge.
fn change_extent(
    authority: &Authority,
    drill: &Drill,
    undoable: &mut Vec<Extent>,
    rng: &mut fastrand::Rng,
) {
    let (volume, key, to) = (
        rng.u64(0..drill.volumes),
        rng.u64(..),
        rng.u32(0..drill.nodes),
    );
    authority.change(|truth| {
        let Some(extent) = truth.extent_at(volume, key) else {
            return;
        };
        match rng.u32(0..10) {
            0..=4 => {
                undoable.push(extent);
                truth.put(volume, extent.first, extent.last, to);
            }
            5 => {
                truth.put(volume, extent.first, extent.last, to);
                truth.put(volume, extent.first, extent.last, rng.u32(0..drill.nodes));
            }
            6 | 7 => match undoable.pop() {
                Some(previous) => truth.put(
                    previous.volume,
                    previous.first,
                    previous.last,
                    previous.shard,
                ),
                None => truth.put(volume, extent.first, extent.last, to),
            },
            8 => truth.put(
                volume,
                extent.first,
                extent.first + (extent.last - extent.first) / 2,
                to,
            ),
            _ => {
                let next = extent
                    .last
                    .checked_add(1)
                    .and_then(|n| truth.extent_at(volume, n))
                    .unwrap_or(extent);
                truth.put(volume, extent.first, next.last, extent.shard);
            }
        }
    });
    if undoable.len() > 16 {
        undoable.remove(0);
    }
}

fn calls(traffic: &Traffic) -> u64 {
    traffic.polls.load(Ordering::Relaxed) + traffic.fetches.load(Ordering::Relaxed)
}

impl Figures {
    /// Counts rejections and violated guarantees in the requests that the nodes received.
    fn count_node_observations(&mut self, cluster: &Cluster) {
        let mut rejections: HashMap<String, u64> = HashMap::new();
        for (index, (node, _)) in cluster.local_fleet.nodes.iter().enumerate() {
            let notified_at = cluster
                .drained
                .get(&index)
                .and_then(|version| cluster.local_fleet.discovery.last_sent_at(*version));
            for seen in lock(&node.attempts).iter() {
                if seen.outcome == AttemptOutcome::WrongShard {
                    *rejections.entry(seen.id.clone()).or_default() += 1;
                }
                self.drain_late += u64::from(
                    notified_at.is_some_and(|notified_at| seen.at > notified_at + DRAIN_GRACE),
                );
            }
        }
        self.duplicates = cluster.local_fleet.duplicates();
        self.misdirected = rejections.len() as u64;
        self.second_misdirected = rejections.values().filter(|n| **n > 1).count() as u64;
        self.misdirected_share = self.misdirected as f64 / self.tally.requests.max(1) as f64;
    }
}
