//! Fault tests of overload control across the fleet with real processes: a node hangs under constant load, and the requests that reach
//! it are counted.
//!
//! The checks use the requests that reached the nodes and the faults that were injected. They share no code with the state machines.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use lupinrack_fault_injection::checks::{duplicates, limits, lost, FaultTimeline, Verdict};
use lupinrack_fault_injection::run_record::{NodeAttempt, RunRecord};
use lupinrack_fault_injection::{harness, Act, HarnessError, History, Plan, Script};
use mock_servers::load::RequestOutcome;
use serde::Serialize;
use std::sync::Arc;

/// How often all fronts together may probe an unresponsive node per second, as the scripts configure it.
pub const PROBES_PER_S: f64 = 4.0;
/// From the start of the hang until every front that uses the node sees it as unresponsive: that takes three timeouts, which count only
/// when the client's time of 2 s is over.
const DETECTION_MS: u64 = 5_000;
/// How long a grant waits for a request, and the request takes to reach the node, in seconds.
const GRANT_VALIDITY_S: f64 = 0.5;
/// The load before the hang, and after it.
const BEFORE_HANG_MS: u64 = 2_000;
const AFTER_HANG_MS: u64 = 6_000;
/// The minimum seconds of load: the node has to hang for longer than its detection takes.
pub const MIN_SECONDS: u64 = 15;
/// The default seconds of load.
pub const DEFAULT_SECONDS: u64 = 20;

/// A named case.
pub struct Case {
    /// The name on the command line.
    pub name: &'static str,
    /// What it covers, for the list on the command line.
    pub description: &'static str,
    /// Its script for a number of fronts, a seed and seconds of load.
    pub script: fn(u16, u64, u64) -> Script,
}

/// All cases.
pub const CASES: &[Case] = &[
    Case {
        name: "hung",
        description:
            "a node hangs (of 20 s, for 12); how often it is tried, and how soon it is used again",
        script: hung,
    },
    Case {
        name: "hung-deaths",
        description: "the same, and a third of the fronts is killed while it hangs",
        script: hung_deaths,
    },
    Case {
        name: "hung-cut",
        description: "the same, and one front hears nobody meanwhile",
        script: hung_cut,
    },
];

/// The case with this name.
pub fn find_case(name: &str) -> Option<&'static Case> {
    CASES.iter().find(|c| c.name == name)
}

fn hung(fronts: u16, seed: u64, seconds: u64) -> Script {
    let seconds = seconds.max(MIN_SECONDS);
    let mut script = Script::new("hung", seed, fronts, seconds as f64)
        .at(BEFORE_HANG_MS, Act::Hang { node: 0, on: true })
        .at(
            seconds * 1000 - AFTER_HANG_MS,
            Act::Hang { node: 0, on: false },
        );
    script.apart = true;
    script.sections = format!("[overload]\nenabled = true\ntrials_per_s = {PROBES_PER_S:.1}\n");
    script
}

fn hung_deaths(fronts: u16, seed: u64, seconds: u64) -> Script {
    let mut script = hung(fronts, seed, seconds);
    script.name = "hung-deaths".into();
    for front in 0..fronts / 3 {
        script = script.at(6_000, Act::Kill { front });
    }
    script
}

fn hung_cut(fronts: u16, seed: u64, seconds: u64) -> Script {
    let mut script = hung(fronts, seed, seconds);
    script.name = "hung-cut".into();
    let heal_at_ms = (script.seconds * 1000.0) as u64 - AFTER_HANG_MS - 1_000;
    script
        .at(
            4_000,
            Act::Split {
                groups: vec![vec![0], (1..fronts).collect()],
            },
        )
        .at(heal_at_ms, Act::Heal)
}

/// The report of a script.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DrillReport {
    /// The script's name.
    pub script: String,
    /// Its seed.
    pub seed: u64,
    /// Whether each front probed nodes by itself: the baseline.
    pub alone: bool,
    /// Processes started.
    pub processes: u64,
    /// Requests.
    pub requests: u64,
    /// The fraction of them that was served.
    pub served_share: f64,
    /// Attempts that reached the hung node.
    pub attempts_at_hung: u64,
    /// Attempts per second at that node, once all fronts saw it as unresponsive.
    pub trials_per_s: f64,
    /// Probes above the fleet's budget and its burst. Must be 0, except in the baseline.
    pub trials_over: u64,
    /// Time from the end of the hang until the node served half as many requests per second as before, in milliseconds; none if it did not.
    pub recovery_ms: Option<f64>,
    /// Volumes whose limit, with its tolerance, was exceeded. Must be 0.
    pub limit_broken: u64,
    /// Requests without a response at fronts without a fault. Must be 0.
    pub lost: u64,
    /// Writes that ran twice. Must be 0.
    pub duplicates: u64,
    /// A message for each violated guarantee.
    pub broken: Vec<String>,
}

impl DrillReport {
    /// An error with all messages if a guarantee was violated.
    pub fn verdict(&self) -> Verdict {
        match self.broken.is_empty() {
            true => Ok(()),
            false => Err(self.broken.clone()),
        }
    }

    /// Checks what was observed while a script ran.
    pub fn new(script: &Script, run_record: &RunRecord) -> DrillReport {
        let alone = script.sections.is_empty();
        let mut broken = Vec::new();
        let hang_changed_at = |on: bool| {
            let is_change = |(_, act): &&(u64, Act)| *act == Act::Hang { node: 0, on };
            run_record
                .injected_acts
                .iter()
                .find(is_change)
                .map_or(run_record.span.end, |(at, _)| *at)
        };
        let (hang_start, hang_end) = (hang_changed_at(true), hang_changed_at(false));
        let at_hung_node = |s: &&NodeAttempt| s.node == 0;
        let attempts: Vec<u64> = run_record
            .seen
            .iter()
            .filter(at_hung_node)
            .map(|s| s.at)
            .filter(|t| (hang_start..hang_end).contains(t))
            .collect();
        let detected_at = hang_start + DETECTION_MS * 1000;
        let probes: Vec<u64> = attempts
            .iter()
            .copied()
            .filter(|t| *t >= detected_at)
            .collect();
        let probing_s = hang_end.saturating_sub(detected_at).max(1) as f64 / 1e6;
        let trials_over = if alone {
            0
        } else {
            excess_probes(&probes, f64::from(script.fronts))
        };
        if trials_over > 0 {
            broken.push(format!("{trials_over} probes above the fleet's budget"));
        }
        let well = FaultTimeline::new(script, &run_record.injected_acts);
        let served = run_record
            .done
            .iter()
            .filter(|(_, c)| *c == RequestOutcome::Served)
            .count();
        DrillReport {
            script: script.name.clone(),
            seed: script.seed,
            alone,
            processes: run_record.processes,
            requests: run_record.done.len() as u64,
            served_share: served as f64 / run_record.done.len().max(1) as f64,
            attempts_at_hung: attempts.len() as u64,
            trials_per_s: probes.len() as f64 / probing_s,
            trials_over,
            recovery_ms: recovery_ms(run_record, hang_start, hang_end),
            limit_broken: limits(&run_record.seen, &mut broken),
            lost: lost(&run_record.done, &well, &mut broken),
            duplicates: duplicates(&run_record.seen, &mut broken),
            broken,
        }
    }
}

/// Probes above a token bucket that fills at the rate of the fleet's budget. Its burst is one token for each front, and what the rate gives
/// while a grant waits for a request.
pub fn excess_probes(probes: &[u64], front_count: f64) -> u64 {
    let burst = front_count + PROBES_PER_S * GRANT_VALIDITY_S;
    let (mut level, mut filled_at, mut excess) = (burst, probes.first().copied().unwrap_or(0), 0);
    for at in probes {
        level = (level + PROBES_PER_S * (at - filled_at) as f64 / 1e6).min(burst) - 1.0;
        filled_at = *at;
        if level < -1e-6 {
            excess += 1;
            level = 0.0;
        }
    }
    excess
}

fn recovery_ms(run_record: &RunRecord, hang_start: u64, hang_end: u64) -> Option<f64> {
    let served: Vec<u64> = run_record
        .seen
        .iter()
        .filter(|s| s.node == 0 && s.ran)
        .map(|s| s.at)
        .collect();
    let served_before = served
        .iter()
        .filter(|t| (run_record.span.start..hang_start).contains(t))
        .count() as f64;
    let rate_before =
        served_before / (hang_start.saturating_sub(run_record.span.start).max(1) as f64 / 1e6);
    // The first second in which the node served at least half of the rate before the hang.
    let served_after: Vec<u64> = served.into_iter().filter(|t| *t >= hang_end).collect();
    let required = (rate_before / 2.0).ceil().max(1.0) as usize;
    let recovered = served_after.iter().enumerate().find(|(i, t)| {
        served_after
            .get(i + required - 1)
            .is_some_and(|last| last - *t <= 1_000_000)
    });
    recovered.map(|(_, t)| (t - hang_end) as f64 / 1000.0)
}

/// The outcome of a script.
pub struct DrillOutcome {
    /// The report, with every violated guarantee.
    pub report: DrillReport,
    /// All that happened.
    pub history: Arc<History>,
}

/// Runs a script and checks its outcome.
pub async fn play(plan: Plan) -> Result<DrillOutcome, HarnessError> {
    let script = plan.script.clone();
    let played = harness::play(plan).await?;
    Ok(DrillOutcome {
        report: DrillReport::new(&script, &played.run_record),
        history: played.history,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn probes_above_the_budget_are_counted() {
        let probes_every = |interval_us: u64| {
            (0..60)
                .map(|i| 1_000_000 + i * interval_us)
                .collect::<Vec<u64>>()
        };
        assert_eq!(excess_probes(&probes_every(250_000), 3.0), 0);
        assert!(excess_probes(&probes_every(100_000), 3.0) > 20);
    }
}
