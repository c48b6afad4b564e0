//! Runs many seeds and prints those that violate a rule:
//! `hunt FIRST COUNT [CORES] [TOLERANCE] [KIND] [SECONDS] [BUG]`, where the kind is `usual` (mixed faults), `worst` (severe
//! faults) or the name of a scenario such as `PartitionWithCallers`, and the bug is its number in `InjectedBug::ALL`.

use lupinrack_cluster_simulation::{
    simulate, FaultProfile, FaultScenario, InjectedBug, SimulationConfig,
};

/// Runs between two lines on progress.
const PROGRESS_EVERY: u64 = 100;
/// Between two submissions of jobs, on average, in milliseconds.
const JOB_EVERY_MS: u64 = 1_000;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |position: usize, default: u64| {
        arguments
            .get(position)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let first = number(0, 1);
    let config = config(&arguments, number);
    hunt(first, number(1, 100), config);
}

fn config(arguments: &[String], number: impl Fn(usize, u64) -> u64) -> SimulationConfig {
    let defaults = SimulationConfig::default();
    let kind = arguments.get(4).map_or("usual", String::as_str);
    let traffic_ms = number(5, defaults.traffic_ms / 1_000) * 1_000;
    let injected_bug = arguments.get(6).and_then(|text| text.parse::<usize>().ok());
    let cores = number(2, 3) as usize;
    SimulationConfig {
        cores,
        tolerance: number(3, cores as u64 / 2) as usize,
        profile: profile(kind),
        traffic_ms,
        jobs: traffic_ms / JOB_EVERY_MS,
        injected_bug: injected_bug.and_then(|number| InjectedBug::ALL.get(number).copied()),
        ..defaults
    }
}

fn profile(name: &str) -> FaultProfile {
    let scenario = FaultScenario::ALL
        .into_iter()
        .find(|scenario| scenario.name() == name);
    match (name, scenario) {
        ("worst", _) => FaultProfile::Severe,
        (_, Some(scenario)) => FaultProfile::Only(scenario),
        _ => FaultProfile::Mixed,
    }
}

fn hunt(first: u64, count: u64, config: SimulationConfig) {
    let (mut failed, mut tasks, mut changes, mut views) = (0, 0, 0, 0);
    let (mut written, mut sent) = (0, 0);
    for seed in first..first + count {
        let report = simulate(seed, config);
        tasks += report.tasks_done;
        changes += report.changes;
        views += report.views;
        written += report.snapshots_written;
        sent += report.snapshots_sent;
        let runs = seed + 1 - first;
        if runs.is_multiple_of(PROGRESS_EVERY) {
            println!("{runs} runs, {failed} failed before this one");
        }
        if report.violations.is_empty() {
            continue;
        }
        failed += 1;
        println!(
            "seed {seed}: {} violations, accepted {}",
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
        "{failed} of {count} runs failed; {tasks} tasks done, {changes} changes, {views} views, {written} snapshots \
         written, {sent} sent"
    );
}
