//! The demo: one front process, mock nodes and a mock discovery service on loopback, and a short mixed load: reads, new
//! writes, bulk reads, one volume over its limit, and one node that drains half-way.
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

/// The report of a demo run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Numbers of requests by result.
    #[serde(flatten)]
    pub tally: RequestCounts,
    /// New writes that were executed more than once.
    pub duplicates: u64,
    /// Median latency of the served requests in milliseconds, from the first byte sent to the last byte of the response.
    pub p50_ms: f64,
    /// The 99th percentile of the same latency.
    pub p99_ms: f64,
}

/// Number of nodes, one shard each. The first drains half-way and its successor takes over its shard.
const NODE_COUNT: u32 = 4;
/// Request rate.
const REQUESTS_PER_SECOND: u64 = 150;
/// The volume whose load is many times its limit.
const GREEDY_VOLUME: u64 = 3;

impl Report {
    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let report = self;
        let mut text = format!(
            "seed {}: {} requests through one front to {NODE_COUNT} nodes\n\n",
            report.seed, report.tally.requests
        );
        for (name, count) in [
            ("served", report.tally.served),
            ("refused", report.tally.refused),
            ("failed", report.tally.failed),
            ("lost", report.tally.lost),
            ("duplicated new writes", report.duplicates),
        ] {
            text += &format!("{name:<24}{count:>8}\n");
        }
        for (name, ms) in [
            ("median latency", report.p50_ms),
            ("99th percentile", report.p99_ms),
        ] {
            text += &format!("{name:<24}{ms:>8.1} ms\n");
        }
        text
    }
}

/// Runs the demo with this program as the front.
pub async fn run(demo: &Demo, program: PathBuf) -> Result<Report, HarnessError> {
    let seed = demo.seed.unwrap_or_else(|| fastrand::u64(..));
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut local_fleet = LocalFleet::new(program).await?;
    // One node per shard, and the successor of the first, which is not listed yet.
    for i in 0..=NODE_COUNT {
        local_fleet
            .node(NodeConfig {
                shard: i % NODE_COUNT,
                seed: rng.u64(..),
                ..NodeConfig::default()
            })
            .await?;
    }
    for i in 0..NODE_COUNT as usize {
        local_fleet.list(i, "SERVING");
    }
    let config = configuration("demo", local_fleet.discovery.address, rng.u64(..), 1);
    let front = local_fleet.front(0, config, String::new()).await?;
    let Some(client_address) = front.addresses.clients else {
        return Err(HarnessError::Script(
            "the front reported no client address".into(),
        ));
    };

    let started = Instant::now();
    let duration = Duration::from_secs(demo.seconds);
    let (clients, mut requests) = (Clients::default(), JoinSet::new());
    let (mut report, mut latency) = (
        Report {
            seed,
            ..Report::default()
        },
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(std::io::Error::other)?,
    );
    let mut drained = false;
    let total = REQUESTS_PER_SECOND * demo.seconds;
    // Evenly spread with random jitter, so that requests come in small bursts as in production.
    for number in 0..total {
        let send_at = duration.mul_f64((number as f64 + rng.f64()) / total as f64);
        sleep_until(started + send_at).await;
        if !drained && send_at * 2 >= duration {
            drained = true;
            local_fleet.list(NODE_COUNT as usize, "SERVING");
            local_fleet.list(0, "DRAINING");
        }
        let (clients, ask) = (clients.clone(), ask(&mut rng, number));
        requests.spawn(async move { clients.send(client_address, &ask).await });
        while let Some(Ok((result, elapsed))) = requests.try_join_next() {
            if report.tally.count(result) {
                latency.saturating_record(elapsed.as_micros() as u64);
            }
        }
    }
    while let Some(joined) = requests.join_next().await {
        let (result, elapsed) = joined.map_err(std::io::Error::other)?;
        if report.tally.count(result) {
            latency.saturating_record(elapsed.as_micros() as u64);
        }
    }
    local_fleet.end(front).await?;
    report.duplicates = local_fleet.duplicates();
    report.p50_ms = latency.value_at_quantile(0.5) as f64 / 1000.0;
    report.p99_ms = latency.value_at_quantile(0.99) as f64 / 1000.0;
    Ok(report)
}

fn ask(rng: &mut fastrand::Rng, number: u64) -> ClientRequest {
    let greedy = rng.u32(0..3) == 0;
    let volume = if greedy {
        GREEDY_VOLUME
    } else {
        10 + rng.u64(0..12)
    };
    let mixed = mix(rng);
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
        key: 1 + rng.u64(0..1 << 40),
        units,
        shard: if writes {
            -1
        } else {
            i64::from(rng.u32(0..NODE_COUNT))
        },
        hosts: 1,
        deadline: Duration::from_secs(if class == "read" { 2 } else { 4 }),
    }
}
