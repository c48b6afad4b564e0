//! Plays the days of many seeds:
//! `hunt FIRST COUNT [CORES] [TOLERANCE] [KIND] [SECONDS] [PLANTED]`, where the kind is `usual`, `worst` or the name of a
//! scene such as `PartitionWithCallers`.

use lupinrack_cluster_simulation::{
    simulate, FaultProfile, FaultScenario, InjectedBug, SimulationConfig,
};

/// Days between two lines on how far it is.
const PROGRESS_EVERY: u64 = 100;
/// A job comes in each so many milliseconds.
const JOB_EVERY_MS: u64 = 1_000;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |slot: usize, otherwise: u64| {
        arguments
            .get(slot)
            .and_then(|text| text.parse().ok())
            .unwrap_or(otherwise)
    };
    let first = number(0, 1);
    let settings = settings(&arguments, number);
    hunt(first, number(1, 100), settings);
}

fn settings(arguments: &[String], number: impl Fn(usize, u64) -> u64) -> SimulationConfig {
    let usual = SimulationConfig::default();
    let kind = arguments.get(4).map_or("usual", String::as_str);
    let traffic_ms = number(5, usual.traffic_ms / 1_000) * 1_000;
    let injected_bug = arguments.get(6).and_then(|text| text.parse::<usize>().ok());
    let cores = number(2, 3) as usize;
    SimulationConfig {
        cores,
        tolerance: number(3, cores as u64 / 2) as usize,
        kind: day_kind(kind),
        traffic_ms,
        jobs: traffic_ms / JOB_EVERY_MS,
        injected_bug: injected_bug.and_then(|number| InjectedBug::ALL.get(number).copied()),
        ..usual
    }
}

fn day_kind(name: &str) -> FaultProfile {
    let scenario = FaultScenario::ALL
        .into_iter()
        .find(|scenario| format!("{scenario:?}") == name);
    match (name, scenario) {
        ("worst", _) => FaultProfile::Severe,
        (_, Some(scenario)) => FaultProfile::Only(scenario),
        _ => FaultProfile::Mixed,
    }
}

fn hunt(first: u64, count: u64, settings: SimulationConfig) {
    let (mut failed, mut tasks, mut changes, mut views) = (0, 0, 0, 0);
    let (mut written, mut sent) = (0, 0);
    for seed in first..first + count {
        let report = simulate(seed, settings);
        tasks += report.tasks_done;
        changes += report.changes;
        views += report.views;
        written += report.snapshots_written;
        sent += report.snapshots_sent;
        let played = seed + 1 - first;
        if played.is_multiple_of(PROGRESS_EVERY) {
            println!("{played} days played, {failed} failed before this one");
        }
        if report.violations.is_empty() {
            continue;
        }
        failed += 1;
        println!(
            "seed {seed}: {} broken, accepted {}",
            report.violations.len(),
            report.accepted
        );
        report
            .violations
            .iter()
            .take(4)
            .for_each(|line| println!("    {line}"));
    }
    println!(
        "{failed} of {count} days failed; {tasks} tasks done, {changes} changes, {views} views, {written} snapshots \
         written, {sent} sent"
    );
}
