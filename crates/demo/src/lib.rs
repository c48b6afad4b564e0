//! The demo: a process of the program, stand-in nodes and a stand-in discovery on loopback, and a short mixed load: reads, new
//! writes, bulk reads, one volume over its limit, one node that drains half-way.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use clap::Args;
use hdrhistogram::Histogram;
use lupinrack_fault_injection::local_fleet::LocalFleet;
use lupinrack_fault_injection::HarnessError;
use mock_servers::load::{mix, ClientRequest, Clients, RequestCounts};
use mock_servers::node::NodeConfig;
use mock_servers::settings::configuration;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// What the demo plays.
#[derive(Clone, Debug, Args)]
pub struct Demo {
    /// How long the load lasts.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub seconds: u64,
    /// The seed of the load and of all chances; a fresh one where it is not given. It is printed.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Print one JSON object in place of the table.
    #[arg(long)]
    pub json: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// The seed.
    pub seed: u64,
    /// What came of the requests.
    #[serde(flatten)]
    pub tally: RequestCounts,
    /// New writes that ran more than once.
    pub duplicates: u64,
    /// Of all served: the median from the first byte sent to the last byte of the answer, in milliseconds.
    pub p50_ms: f64,
    /// The same, 99th percentile.
    pub p99_ms: f64,
}

/// Nodes of the demo, a shard each; the first drains half-way and its successor takes over the shard.
const NODES: u32 = 4;
/// Requests a second.
const RATE: u64 = 150;
/// The volume that asks for many times its limit.
const GREEDY: u64 = 3;

impl Figures {
    /// As a table.
    pub fn table(&self) -> String {
        let f = self;
        let mut text = format!(
            "seed {}: {} requests through one front to {NODES} nodes\n\n",
            f.seed, f.tally.requests
        );
        for (name, count) in [
            ("served", f.tally.served),
            ("refused", f.tally.refused),
            ("failed", f.tally.failed),
            ("lost", f.tally.lost),
            ("duplicated new writes", f.duplicates),
        ] {
            text += &format!("{name:<24}{count:>8}\n");
        }
        for (name, ms) in [("median latency", f.p50_ms), ("99th percentile", f.p99_ms)] {
            text += &format!("{name:<24}{ms:>8.1} ms\n");
        }
        text
    }
}

/// Plays it with this program.
pub async fn play(demo: &Demo, program: PathBuf) -> Result<Figures, HarnessError> {
    let seed = demo.seed.unwrap_or_else(|| fastrand::u64(..));
    let mut dice = fastrand::Rng::with_seed(seed);
    let mut local_fleet = LocalFleet::new(program).await?;
    // One node for each shard, and the successor of the first, which is not listed yet.
    for i in 0..=NODES {
        local_fleet
            .node(NodeConfig {
                shard: i % NODES,
                seed: dice.u64(..),
                ..NodeConfig::default()
            })
            .await?;
    }
    for i in 0..NODES as usize {
        local_fleet.list(i, "SERVING");
    }
    let config = configuration("demo", local_fleet.discovery.address, dice.u64(..), 1);
    let front = local_fleet.front(0, config, String::new()).await?;
    let Some(at) = front.addresses.clients else {
        return Err(HarnessError::Script("nothing listens".into()));
    };

    let began = Instant::now();
    let span = Duration::from_secs(demo.seconds);
    let (clients, mut asked) = (Clients::default(), JoinSet::new());
    let (mut figures, mut latency) = (
        Figures {
            seed,
            ..Figures::default()
        },
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(std::io::Error::other)?,
    );
    let mut drained = false;
    let total = RATE * demo.seconds;
    // Evenly spread with some chance, so that requests bunch as they do in service.
    for number in 0..total {
        let due = span.mul_f64((number as f64 + dice.f64()) / total as f64);
        sleep_until(began + due).await;
        if !drained && due * 2 >= span {
            drained = true;
            local_fleet.list(NODES as usize, "SERVING");
            local_fleet.list(0, "DRAINING");
        }
        let (clients, ask) = (clients.clone(), ask(&mut dice, number));
        asked.spawn(async move { clients.send(at, &ask).await });
        while let Some(Ok((came, after))) = asked.try_join_next() {
            if figures.tally.count(came) {
                latency.saturating_record(after.as_micros() as u64);
            }
        }
    }
    while let Some(came) = asked.join_next().await {
        let (came, after) = came.map_err(std::io::Error::other)?;
        if figures.tally.count(came) {
            latency.saturating_record(after.as_micros() as u64);
        }
    }
    local_fleet.end(front).await?;
    figures.duplicates = local_fleet.duplicates();
    figures.p50_ms = latency.value_at_quantile(0.5) as f64 / 1000.0;
    figures.p99_ms = latency.value_at_quantile(0.99) as f64 / 1000.0;
    Ok(figures)
}

fn ask(dice: &mut fastrand::Rng, number: u64) -> ClientRequest {
    let greedy = dice.u32(0..3) == 0;
    let volume = if greedy { GREEDY } else { 10 + dice.u64(0..12) };
    let mixed = mix(dice);
    let (class, writes, units) = if greedy { ("read", false, 4) } else { mixed };
    ClientRequest {
        id: format!("{number:016x}"),
        class,
        writes,
        plan: if greedy || volume % 2 == 0 {
            "basic"
        } else {
            "priority"
        },
        volume,
        key: 1 + dice.u64(0..1 << 40),
        units,
        shard: if writes {
            -1
        } else {
            i64::from(dice.u32(0..NODES))
        },
        hosts: 1,
        deadline: Duration::from_secs(if class == "read" { 2 } else { 4 }),
    }
}
