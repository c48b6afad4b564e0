//! Experiments: a file describes the runs and their sizes. Seeds run in parallel.

use crate::simulation::{NetworkModel, Outcome, Simulation};
use lupinrack_fault_injection::relay::Fault;
use lupinrack_fault_injection::{Act, Script};
use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership_drill::cases::{find_case, random_script};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Mutex;

/// The most fronts of a run.
const MAX_FRONTS: u16 = 1024;

/// Why an experiment cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file is not a valid experiment in TOML.
    #[error("experiment: {0}")]
    Form(#[from] toml::de::Error),
    /// A value is out of range, or an override is malformed.
    #[error("experiment: {0}")]
    Content(String),
}

/// An experiment, as read from its file. It runs all combinations of the values in lists.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// The experiment's name.
    pub name: String,
    /// A case of the fleet drill to play unchanged, in which case `fronts`, `kill` and similar settings have no effect. Or
    /// `chance`: random faults, for `fronts` and `seconds`.
    pub case: Option<String>,
    /// Numbers of fronts.
    pub fronts: Vec<u16>,
    /// Shares of datagrams that are lost.
    pub loss: Vec<f64>,
    /// Duration in seconds, from when the fleet is up.
    pub seconds: f64,
    /// The share of fronts that are killed.
    pub kill: f64,
    /// Within how many milliseconds they are killed.
    pub kill_within_ms: u64,
    /// At which second the first is killed.
    pub kill_at: f64,
    /// After how many seconds killed fronts start again; 0 means never.
    pub back_after: f64,
    /// The share of fronts that are paused at the same time, for 5 s.
    pub stop: f64,
    /// Number of seeds, which count from 1.
    pub seeds: u64,
    /// Settings of the section `[fleet]` that override its defaults.
    pub fleet: toml::Table,
    /// Median network delay of a datagram, in milliseconds.
    pub way_ms: f64,
    /// Largest clock drift of a front, in parts per million.
    pub drift_ppm: f64,
}

impl Default for Experiment {
    fn default() -> Self {
        Experiment {
            name: "unnamed".into(),
            case: None,
            fronts: vec![5],
            loss: vec![0.0],
            seconds: 20.0,
            kill: 0.0,
            kill_within_ms: 10,
            kill_at: 2.0,
            back_after: 0.0,
            stop: 0.0,
            seeds: 5,
            fleet: toml::Table::new(),
            way_ms: 0.3,
            drift_ppm: 900.0,
        }
    }
}

/// Distribution of a figure over the seeds.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The smallest value.
    pub least: f64,
    /// The largest value.
    pub most: f64,
}

impl Spread {
    /// The distribution of these values; all 0 if there are none.
    pub fn of(values: impl Iterator<Item = f64>) -> Spread {
        let mut all: Vec<f64> = values.collect();
        all.sort_by(f64::total_cmp);
        let value_at = |i: usize| all.get(i).copied().unwrap_or(0.0);
        Spread {
            median: value_at(all.len() / 2),
            least: value_at(0),
            most: value_at(all.len().saturating_sub(1)),
        }
    }
}

/// One point of an experiment: a number of fronts and a loss rate, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Number of fronts.
    pub fronts: u16,
    /// The share of datagrams lost.
    pub loss: f64,
    /// The outcome of each run.
    pub runs: Vec<Outcome>,
    /// The distribution of each figure over the seeds, by name.
    pub spread: Vec<(&'static str, Spread)>,
}

impl Point {
    /// Whether every guarantee held in every run.
    pub fn guarantees_held(&self) -> bool {
        self.runs
            .iter()
            .all(|run| run.view_conflicts == 0 && run.parts_sum_max <= 1.0 + 1e-6)
    }
}

type Figure = (&'static str, fn(&Outcome) -> f64);

/// The figures that are aggregated over the seeds, by name.
pub const FIGURES: &[Figure] = &[
    ("detect_ms_p50", |outcome| outcome.detect_ms_p50),
    ("detect_ms_p99", |outcome| outcome.detect_ms_p99),
    ("agree_ms_p99", |outcome| outcome.agree_ms_p99),
    ("false_deaths", |outcome| outcome.false_deaths as f64),
    ("unnoticed", |outcome| outcome.unnoticed as f64),
    ("views", |outcome| outcome.views as f64),
    ("view_conflicts", |outcome| outcome.view_conflicts as f64),
    ("parts_sum_max", |outcome| outcome.parts_sum_max),
    ("idle_share", |outcome| outcome.idle_share),
    ("settled_ms", |outcome| {
        outcome.settled_ms.unwrap_or(f64::INFINITY)
    }),
    ("datagrams_per_front_s", |outcome| {
        outcome.datagrams_per_front_s
    }),
    ("datagrams_most_s", |outcome| outcome.datagrams_most_s),
    ("bytes_per_front_s", |outcome| outcome.bytes_per_front_s),
];

impl Experiment {
    /// Parses the text of an experiment's file and applies overrides of the form `key=value`.
    pub fn parse(text: &str, set: &[String]) -> Result<Experiment, ExperimentError> {
        let mut table: toml::Table = toml::from_str(text)?;
        for pair in set {
            let invalid = || {
                ExperimentError::Content(format!("--set {pair}: KEY=VALUE, where VALUE is TOML"))
            };
            let (key, value) = pair.split_once('=').ok_or_else(invalid)?;
            let value: toml::Table =
                toml::from_str(&format!("v = {value}")).map_err(|_| invalid())?;
            let mut inner_table = &mut table;
            let mut parts = key.split('.').peekable();
            while let Some(part) = parts.next() {
                if parts.peek().is_none() {
                    inner_table.insert(part.into(), value.get("v").cloned().ok_or_else(invalid)?);
                    break;
                }
                let inner = inner_table
                    .entry(part)
                    .or_insert_with(|| toml::Value::Table(toml::Table::new()));
                inner_table = inner.as_table_mut().ok_or_else(invalid)?;
            }
        }
        let experiment: Experiment = toml::Value::Table(table).try_into()?;
        experiment.check().map_err(ExperimentError::Content)?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), String> {
        if self.fronts.is_empty()
            || self
                .fronts
                .iter()
                .any(|count| !(2..=MAX_FRONTS).contains(count))
        {
            return Err(format!("fronts: each from 2 to {MAX_FRONTS}"));
        }
        if self.loss.is_empty() || self.loss.iter().any(|loss| !(0.0..1.0).contains(loss)) {
            return Err("loss: each from 0 to less than 1".into());
        }
        if !(0.0..=3600.0).contains(&self.seconds) || !(1..=10_000).contains(&self.seeds) {
            return Err("seconds: at most 3600; seeds: 1 to 10000".into());
        }
        if !(0.0..=900_000.0).contains(&self.drift_ppm) {
            return Err("drift_ppm: at most 900000".into());
        }
        if !(0.0..=1.0).contains(&self.kill) || !(0.0..=1.0).contains(&self.stop) {
            return Err("kill and stop are shares".into());
        }
        if self
            .case
            .as_ref()
            .is_some_and(|case| case != "chance" && find_case(case).is_none())
        {
            return Err(format!(
                "no such case: {}",
                self.case.as_deref().unwrap_or("")
            ));
        }
        self.section().map(|_| ())
    }

    fn section(&self) -> Result<Section, String> {
        let mut table = self.fleet.clone();
        // Large simulated fleets need no keys; an unkeyed checksum is cheaper.
        table.remove("keys");
        toml::Value::Table(table)
            .try_into()
            .map_err(|e| format!("fleet: {e}"))
    }

    /// The script of one run.
    pub fn script(&self, fronts: u16, loss: f64, seed: u64) -> Script {
        if self.case.as_deref() == Some("chance") {
            return random_script(seed, fronts, self.seconds as u64);
        }
        if let Some(case) = self.case.as_deref().and_then(find_case) {
            return (case.script)(seed);
        }
        let mut script = Script::new(&self.name, seed, fronts, self.seconds);
        script.keys = Vec::new();
        script.volumes = 8;
        let fault = Fault {
            loss,
            ..Fault::default()
        };
        script = script.at(0, Act::Net { fault });
        let mut all: Vec<u16> = (0..fronts).collect();
        all.shuffle(&mut StdRng::seed_from_u64(seed ^ 0x5eed));
        let count = |share: f64| (f64::from(fronts) * share).round() as usize;
        let kill_at_ms = (self.kill_at * 1000.0) as u64;
        let (kills, stops) = (count(self.kill), count(self.stop));
        for (i, front) in all.iter().take(kills).enumerate() {
            let when_ms = kill_at_ms + self.kill_within_ms * i as u64 / kills.max(1) as u64;
            script = script.at(when_ms, Act::Kill { front: *front });
            if self.back_after > 0.0 {
                script = script.at(
                    when_ms + (self.back_after * 1000.0) as u64,
                    Act::Start { front: *front },
                );
            }
        }
        for front in all.iter().skip(kills).take(stops) {
            script = script
                .at(kill_at_ms, Act::Stop { front: *front })
                .at(kill_at_ms + 5_000, Act::Cont { front: *front });
        }
        script
    }

    /// Runs the experiment with seeds in parallel. Calls `progress` after each run with the number of completed and of all
    /// runs.
    pub fn run(
        &self,
        threads: usize,
        progress: impl Fn(usize, usize) + Sync,
    ) -> Result<Vec<Point>, ExperimentError> {
        let section = self.section().map_err(ExperimentError::Content)?;
        let net = NetworkModel {
            median_us: self.way_ms * 1000.0,
            drift_ppm: self.drift_ppm,
            ..NetworkModel::default()
        };
        let mut jobs = Vec::new();
        for fronts in &self.fronts {
            for loss in &self.loss {
                jobs.extend((1..=self.seeds).map(|seed| (*fronts, *loss, seed)));
            }
        }
        let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let results: Mutex<Vec<Option<Outcome>>> = Mutex::new(vec![None; jobs.len()]);
        std::thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(|| loop {
                    let index = next.fetch_add(1, Relaxed);
                    let Some((fronts, loss, seed)) = jobs.get(index).copied() else {
                        return;
                    };
                    let outcome =
                        Simulation::new(self.script(fronts, loss, seed), section.clone(), net)
                            .run();
                    if let Ok(mut all) = results.lock() {
                        all[index] = Some(outcome);
                    }
                    progress(done.fetch_add(1, Relaxed) + 1, jobs.len());
                });
            }
        });
        let results = results.into_inner().unwrap_or_default();
        let mut points = Vec::new();
        for fronts in &self.fronts {
            for loss in &self.loss {
                let of_point =
                    jobs.iter()
                        .zip(&results)
                        .filter(|((job_fronts, job_loss, _), _)| {
                            job_fronts == fronts && job_loss == loss
                        });
                let runs: Vec<Outcome> =
                    of_point.filter_map(|(_, result)| result.clone()).collect();
                let spread = FIGURES
                    .iter()
                    .map(|(name, figure)| (*name, Spread::of(runs.iter().map(figure))))
                    .collect();
                points.push(Point {
                    fronts: *fronts,
                    loss: *loss,
                    runs,
                    spread,
                });
            }
        }
        Ok(points)
    }
}
