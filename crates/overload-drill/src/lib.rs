//! The drill of overload handled as one: real processes, a node that hangs under one and the same load, and what reached it.
//!
//! The checkers know what the nodes saw and what the harness did, and nothing of the machines.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use lupinrack_fault_injection::checks::{duplicates, limits, lost, FaultTimeline, Verdict};
use lupinrack_fault_injection::run_record::{NodeAttempt, RunRecord};
use lupinrack_fault_injection::{harness, Act, HarnessError, History, Plan, Script};
use mock_servers::load::RequestOutcome;
use serde::Serialize;
use std::sync::Arc;

/// How often all fronts together may try a silent node, a second, as the scripts' files say.
pub const TRIALS_PER_S: f64 = 4.0;
/// From the hang on, until every front that asks the node has found out: time-outs count once a client's time of 2 s is over, and it takes three.
const FOUND_OUT_MS: u64 = 5_000;
/// For how long a grant may wait for its request, with the way to the node, in seconds.
const GRANT_S: f64 = 0.5;
/// Before the hang, and after it.
const BEFORE_MS: u64 = 2_000;
const AFTER_MS: u64 = 6_000;
/// The least seconds of load: the node has to hang for longer than it takes to find out.
pub const SECONDS_LEAST: u64 = 15;
/// The seconds of load where nothing else is said.
pub const SECONDS: u64 = 20;

/// A script by name.
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// What it shows.
    pub shows: &'static str,
    /// Its script, for so many fronts, a seed and seconds of load.
    pub script: fn(u16, u64, u64) -> Script,
}

/// All scripts.
pub const CASES: &[Case] = &[
    Case {
        name: "hung",
        shows:
            "a node hangs (of 20 s, for 12); how often it is tried, and how soon it is used again",
        script: hung,
    },
    Case {
        name: "hung-deaths",
        shows: "the same, and a third of the fronts is killed while it hangs",
        script: hung_deaths,
    },
    Case {
        name: "hung-cut",
        shows: "the same, and one front hears nobody meanwhile",
        script: hung_cut,
    },
];

/// The script of this name.
pub fn named(name: &str) -> Option<&'static Case> {
    CASES.iter().find(|c| c.name == name)
}

fn hung(fronts: u16, seed: u64, seconds: u64) -> Script {
    let seconds = seconds.max(SECONDS_LEAST);
    let mut script = Script::new("hung", seed, fronts, seconds as f64)
        .at(BEFORE_MS, Act::Hang { node: 0, on: true })
        .at(seconds * 1000 - AFTER_MS, Act::Hang { node: 0, on: false });
    script.apart = true;
    script.sections = format!("[overload]\nenabled = true\ntrials_per_s = {TRIALS_PER_S:.1}\n");
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
    let heals = (script.seconds * 1000.0) as u64 - AFTER_MS - 1_000;
    script
        .at(
            4_000,
            Act::Split {
                groups: vec![vec![0], (1..fronts).collect()],
            },
        )
        .at(heals, Act::Heal)
}

/// What came of a script.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The script's name.
    pub script: String,
    /// Its seed.
    pub seed: u64,
    /// Whether each front was on its own.
    pub alone: bool,
    /// Processes started.
    pub processes: u64,
    /// Requests.
    pub requests: u64,
    /// The share of them that was served.
    pub served_share: f64,
    /// Attempts that reached the hung node.
    pub attempts_at_hung: u64,
    /// The same a second, once all fronts had found out.
    pub trials_per_s: f64,
    /// Trials above the budget of the fleet and what may be saved up of it. A promise: 0, but on its own.
    pub trials_over: u64,
    /// From the hang's end until the node served half as many a second as before, in milliseconds; none: not before the end.
    pub recovery_ms: Option<f64>,
    /// Volumes of which more was sent than the limit and its slack allow. A promise: 0.
    pub limit_broken: u64,
    /// Requests without an answer at fronts to which nothing was done. A promise: 0.
    pub lost: u64,
    /// Writes that ran twice. A promise: 0.
    pub duplicates: u64,
    /// Every broken promise in words.
    pub broken: Vec<String>,
}

impl Figures {
    /// Whether all promises held.
    pub fn verdict(&self) -> Verdict {
        match self.broken.is_empty() {
            true => Ok(()),
            false => Err(self.broken.clone()),
        }
    }

    /// Puts what was seen against what was promised.
    pub fn of(script: &Script, run_record: &RunRecord) -> Figures {
        let alone = script.sections.is_empty();
        let mut broken = Vec::new();
        let at = |on: bool| {
            let hang = |(_, act): &&(u64, Act)| *act == Act::Hang { node: 0, on };
            run_record
                .injected_acts
                .iter()
                .find(hang)
                .map_or(run_record.span.end, |(at, _)| *at)
        };
        let (from, to) = (at(true), at(false));
        let node = |s: &&NodeAttempt| s.node == 0;
        let hung: Vec<u64> = run_record
            .seen
            .iter()
            .filter(node)
            .map(|s| s.at)
            .filter(|t| (from..to).contains(t))
            .collect();
        let known = from + FOUND_OUT_MS * 1000;
        let trials: Vec<u64> = hung.iter().copied().filter(|t| *t >= known).collect();
        let seconds = to.saturating_sub(known).max(1) as f64 / 1e6;
        let trials_over = if alone {
            0
        } else {
            over(&trials, f64::from(script.fronts))
        };
        if trials_over > 0 {
            broken.push(format!("{trials_over} trials above the fleet's budget"));
        }
        let well = FaultTimeline::new(script, &run_record.injected_acts);
        let served = run_record
            .done
            .iter()
            .filter(|(_, c)| *c == RequestOutcome::Served)
            .count();
        Figures {
            script: script.name.clone(),
            seed: script.seed,
            alone,
            processes: run_record.processes,
            requests: run_record.done.len() as u64,
            served_share: served as f64 / run_record.done.len().max(1) as f64,
            attempts_at_hung: hung.len() as u64,
            trials_per_s: trials.len() as f64 / seconds,
            trials_over,
            recovery_ms: recovery(run_record, from, to),
            limit_broken: limits(&run_record.seen, &mut broken),
            lost: lost(&run_record.done, &well, &mut broken),
            duplicates: duplicates(&run_record.seen, &mut broken),
            broken,
        }
    }
}

/// Attempts above a bucket that fills with the fleet's budget. It holds one for each front, and what comes due while a grant waits for
/// its request.
pub fn over(trials: &[u64], fronts: f64) -> u64 {
    let most = fronts + TRIALS_PER_S * GRANT_S;
    let (mut level, mut last, mut over) = (most, trials.first().copied().unwrap_or(0), 0);
    for at in trials {
        level = (level + TRIALS_PER_S * (at - last) as f64 / 1e6).min(most) - 1.0;
        last = *at;
        if level < -1e-6 {
            over += 1;
            level = 0.0;
        }
    }
    over
}

fn recovery(run_record: &RunRecord, from: u64, to: u64) -> Option<f64> {
    let ran: Vec<u64> = run_record
        .seen
        .iter()
        .filter(|s| s.node == 0 && s.ran)
        .map(|s| s.at)
        .collect();
    let before = ran
        .iter()
        .filter(|t| (run_record.span.start..from).contains(t))
        .count() as f64;
    let per_s = before / (from.saturating_sub(run_record.span.start).max(1) as f64 / 1e6);
    // A second in which at least half of that many came.
    let after: Vec<u64> = ran.into_iter().filter(|t| *t >= to).collect();
    let need = (per_s / 2.0).ceil().max(1.0) as usize;
    let back = after
        .iter()
        .enumerate()
        .find(|(i, t)| after.get(i + need - 1).is_some_and(|l| l - *t <= 1_000_000));
    back.map(|(_, t)| (t - to) as f64 / 1000.0)
}

/// What came of a script.
pub struct Played {
    /// The figures, with every broken promise.
    pub figures: Figures,
    /// All that happened.
    pub history: Arc<History>,
}

/// Plays a script and checks it.
pub async fn play(plan: Plan) -> Result<Played, HarnessError> {
    let script = plan.script.clone();
    let played = harness::play(plan).await?;
    Ok(Played {
        figures: Figures::of(&script, &played.run_record),
        history: played.history,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn more_trials_than_the_budget_are_found() {
        let every = |us: u64| (0..60).map(|k| 1_000_000 + k * us).collect::<Vec<u64>>();
        assert_eq!(over(&every(250_000), 3.0), 0);
        assert!(over(&every(100_000), 3.0) > 20);
    }
}
