//! Experiments: a file says what is played at which sizes; seeds run side by side.

use crate::world::{Net, Outcome, World};
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

/// The most fronts of a world.
const FRONTS_MOST: u16 = 1024;

/// Why an experiment cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Its file.
    #[error("experiment: {0}")]
    Form(#[from] toml::de::Error),
    /// What it says.
    #[error("experiment: {0}")]
    Content(String),
}

/// An experiment as its file has it. Lists are swept: each value with each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// A case of the rig, played as it stands; `fronts`, `kill` and the like then count for nothing. Or `chance`: faults by chance,
    /// for `fronts` and `seconds`.
    pub case: Option<String>,
    /// Fronts.
    pub fronts: Vec<u16>,
    /// Shares of datagrams lost.
    pub loss: Vec<f64>,
    /// Seconds after the fleet came up.
    pub seconds: f64,
    /// The share of the fronts that is killed.
    pub kill: f64,
    /// Within how many milliseconds.
    pub kill_within_ms: u64,
    /// At which second.
    pub kill_at: f64,
    /// They are back after so many seconds; 0: never.
    pub back_after: f64,
    /// Another share is stopped at the same time, and goes on after 5 s.
    pub stop: f64,
    /// Seeds, from 1 on.
    pub seeds: u64,
    /// Settings of the section `[fleet]` that differ from its defaults.
    pub fleet: toml::Table,
    /// The median of a datagram's way, in milliseconds.
    pub way_ms: f64,
    /// By how much clocks run fast or slow, in millionths.
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

/// Of one figure over the seeds.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    /// Of these values.
    pub fn of(values: impl Iterator<Item = f64>) -> Spread {
        let mut all: Vec<f64> = values.collect();
        all.sort_by(f64::total_cmp);
        let at = |i: usize| all.get(i).copied().unwrap_or(0.0);
        Spread {
            median: at(all.len() / 2),
            least: at(0),
            most: at(all.len().saturating_sub(1)),
        }
    }
}

/// One point of an experiment: a size, a loss, all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Fronts.
    pub fronts: u16,
    /// The share lost.
    pub loss: f64,
    /// Each run.
    pub runs: Vec<Outcome>,
    /// Figures over the seeds, by name.
    pub spread: Vec<(&'static str, Spread)>,
}

impl Point {
    /// Whether every promise held in every run.
    pub fn kept(&self) -> bool {
        self.runs
            .iter()
            .all(|r| r.view_conflicts == 0 && r.parts_sum_max <= 1.0 + 1e-6)
    }
}

type Figure = (&'static str, fn(&Outcome) -> f64);

/// The figures that are put together over seeds.
pub const FIGURES: &[Figure] = &[
    ("detect_ms_p50", |o| o.detect_ms_p50),
    ("detect_ms_p99", |o| o.detect_ms_p99),
    ("agree_ms_p99", |o| o.agree_ms_p99),
    ("false_deaths", |o| o.false_deaths as f64),
    ("unnoticed", |o| o.unnoticed as f64),
    ("views", |o| o.views as f64),
    ("view_conflicts", |o| o.view_conflicts as f64),
    ("parts_sum_max", |o| o.parts_sum_max),
    ("idle_share", |o| o.idle_share),
    ("settled_ms", |o| o.settled_ms.unwrap_or(f64::INFINITY)),
    ("datagrams_per_front_s", |o| o.datagrams_per_front_s),
    ("datagrams_most_s", |o| o.datagrams_most_s),
    ("bytes_per_front_s", |o| o.bytes_per_front_s),
];

impl Experiment {
    /// Reads a file's text, with settings `key=value` put over it.
    pub fn parse(text: &str, set: &[String]) -> Result<Experiment, ExperimentError> {
        let mut table: toml::Table = toml::from_str(text)?;
        for pair in set {
            let wrong = || {
                ExperimentError::Content(format!("--set {pair}: KEY=VALUE, where VALUE is TOML"))
            };
            let (key, value) = pair.split_once('=').ok_or_else(wrong)?;
            let value: toml::Table =
                toml::from_str(&format!("v = {value}")).map_err(|_| wrong())?;
            let mut at = &mut table;
            let mut parts = key.split('.').peekable();
            while let Some(part) = parts.next() {
                if parts.peek().is_none() {
                    at.insert(part.into(), value.get("v").cloned().ok_or_else(wrong)?);
                    break;
                }
                let inner = at
                    .entry(part)
                    .or_insert_with(|| toml::Value::Table(toml::Table::new()));
                at = inner.as_table_mut().ok_or_else(wrong)?;
            }
        }
        let experiment: Experiment = toml::Value::Table(table).try_into()?;
        experiment.check().map_err(ExperimentError::Content)?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), String> {
        if self.fronts.is_empty() || self.fronts.iter().any(|n| !(2..=FRONTS_MOST).contains(n)) {
            return Err(format!("fronts: each from 2 to {FRONTS_MOST}"));
        }
        if self.loss.is_empty() || self.loss.iter().any(|l| !(0.0..1.0).contains(l)) {
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
            .is_some_and(|c| c != "chance" && find_case(c).is_none())
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
        // Runs of large worlds need no keys; a plain sum is cheaper.
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
        let share = |part: f64| (f64::from(fronts) * part).round() as usize;
        let at = (self.kill_at * 1000.0) as u64;
        let (kills, stops) = (share(self.kill), share(self.stop));
        for (i, front) in all.iter().take(kills).enumerate() {
            let when = at + self.kill_within_ms * i as u64 / kills.max(1) as u64;
            script = script.at(when, Act::Kill { front: *front });
            if self.back_after > 0.0 {
                script = script.at(
                    when + (self.back_after * 1000.0) as u64,
                    Act::Start { front: *front },
                );
            }
        }
        for front in all.iter().skip(kills).take(stops) {
            script = script
                .at(at, Act::Stop { front: *front })
                .at(at + 5_000, Act::Cont { front: *front });
        }
        script
    }

    /// Plays all of it, seeds side by side; tells after each run how many are done of how many.
    pub fn run(
        &self,
        threads: usize,
        tell: impl Fn(usize, usize) + Sync,
    ) -> Result<Vec<Point>, ExperimentError> {
        let section = self.section().map_err(ExperimentError::Content)?;
        let net = Net {
            median_us: self.way_ms * 1000.0,
            drift_ppm: self.drift_ppm,
            ..Net::default()
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
                    let at = next.fetch_add(1, Relaxed);
                    let Some((fronts, loss, seed)) = jobs.get(at).copied() else {
                        return;
                    };
                    let outcome =
                        World::new(self.script(fronts, loss, seed), section.clone(), net).run();
                    if let Ok(mut all) = results.lock() {
                        all[at] = Some(outcome);
                    }
                    tell(done.fetch_add(1, Relaxed) + 1, jobs.len());
                });
            }
        });
        let results = results.into_inner().unwrap_or_default();
        let mut points = Vec::new();
        for fronts in &self.fronts {
            for loss in &self.loss {
                let mine = jobs
                    .iter()
                    .zip(&results)
                    .filter(|((f, l, _), _)| f == fronts && l == loss);
                let runs: Vec<Outcome> = mine.filter_map(|(_, r)| r.clone()).collect();
                let spread = FIGURES
                    .iter()
                    .map(|(name, of)| (*name, Spread::of(runs.iter().map(of))))
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
