//! Runs many seeds and prints those that violate a rule:
//! `hunt FIRST COUNT [CORES] [TOLERANCE] [KIND] [SECONDS] [BUG]`, where the kind is `usual` (mixed faults), `worst` (severe
//! faults), `routes` or `worst-routes` (the same with changes of the queues' routes), `services` or `worst-services` (the
//! same with queues directed to other services and services removed) or the name of a scenario such as
//! `PartitionWithCallers`, and the bug is its number in `InjectedBug::ALL`.
//! The earlier names of scenarios are accepted too, so that recorded command lines can be repeated.

use lupinrack_cluster_simulation::{
    simulate, FaultProfile, FaultScenario, InjectedBug, RouteChanges, SimulationConfig,
};
use std::process::ExitCode;

/// Number of runs between two progress lines.
const RUNS_PER_PROGRESS_LINE: u64 = 100;
/// Average interval between two job submissions, in milliseconds.
const JOB_INTERVAL_MS: u64 = 1_000;

/// Servers of a run in which services get the jobs of other services.
const SERVERS_OF_CHANGING_SERVICES: usize = 12;

/// The kinds of runs in which the operator also changes the routes of the queues.
const KINDS_OF_CHANGING_ROUTES: [&str; 4] =
    ["routes", "worst-routes", "services", "worst-services"];

/// Earlier names of scenarios, which recorded command lines use.
const EARLIER_NAMES: [(&str, FaultScenario); 10] = [
    ("ReplacedAgainAndAgain", FaultScenario::RepeatedReplacement),
    ("ReplacedInOrder", FaultScenario::GracefulReplacement),
    ("ReplacedThenWiped", FaultScenario::ReplacementThenDiskLoss),
    ("WipedWhileCatchingUp", FaultScenario::DiskLossDuringCatchUp),
    ("WipedThenAnother", FaultScenario::ConsecutiveDiskLosses),
    ("CutWithCallers", FaultScenario::PartitionWithCallers),
    ("AllAtOnce", FaultScenario::SimultaneousCrash),
    ("LossesAtOnce", FaultScenario::SimultaneousLosses),
    ("SlowOrSick", FaultScenario::DegradedMachine),
    ("EndedInTurn", FaultScenario::RollingRestart),
];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |position: usize, default: u64| {
        arguments
            .get(position)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let first = number(0, 1);
    let kind = kind(&arguments);
    let Some(profile) = profile(kind) else {
        eprintln!("hunt: unknown kind {kind:?}; known are: {}", known_kinds());
        return ExitCode::FAILURE;
    };
    let config = config(&arguments, profile, number);
    hunt(first, number(1, 100), config);
    ExitCode::SUCCESS
}

/// The kind of the runs.
fn kind(arguments: &[String]) -> &str {
    arguments.get(4).map_or("usual", String::as_str)
}

fn config(
    arguments: &[String],
    profile: FaultProfile,
    number: impl Fn(usize, u64) -> u64,
) -> SimulationConfig {
    let defaults = SimulationConfig::default();
    let traffic_ms = number(5, defaults.traffic_ms / 1_000) * 1_000;
    let injected_bug = arguments.get(6).and_then(|text| text.parse::<usize>().ok());
    let cores = number(2, 3) as usize;
    let route_changes = route_changes(kind(arguments));
    SimulationConfig {
        cores,
        tolerance: number(3, cores as u64 / 2) as usize,
        profile,
        servers: servers(route_changes, defaults.servers),
        route_changes,
        traffic_ms,
        jobs: traffic_ms / JOB_INTERVAL_MS,
        injected_bug: injected_bug.and_then(|number| InjectedBug::ALL.get(number).copied()),
        ..defaults
    }
}

fn route_changes(kind: &str) -> RouteChanges {
    match kind {
        "routes" | "worst-routes" => RouteChanges::Names,
        "services" | "worst-services" => RouteChanges::NamesAndServices,
        _ => RouteChanges::None,
    }
}

fn servers(route_changes: RouteChanges, usual: usize) -> usize {
    match route_changes {
        RouteChanges::NamesAndServices => SERVERS_OF_CHANGING_SERVICES,
        RouteChanges::None | RouteChanges::Names => usual,
    }
}

/// The profile for a kind; `None` if no profile or scenario has this name.
fn profile(kind: &str) -> Option<FaultProfile> {
    match kind {
        "usual" | "routes" | "services" => Some(FaultProfile::Mixed),
        "worst" | "worst-routes" | "worst-services" => Some(FaultProfile::Severe),
        name => scenario(name).map(FaultProfile::Only),
    }
}

fn scenario(name: &str) -> Option<FaultScenario> {
    let current = FaultScenario::ALL.map(|scenario| (scenario.name(), scenario));
    current
        .into_iter()
        .chain(EARLIER_NAMES)
        .find(|(known, _)| *known == name)
        .map(|(_, scenario)| scenario)
}

fn known_kinds() -> String {
    let scenarios = FaultScenario::ALL.map(FaultScenario::name);
    format!(
        "usual, worst, {}, {}",
        KINDS_OF_CHANGING_ROUTES.join(", "),
        scenarios.join(", ")
    )
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
        if runs.is_multiple_of(RUNS_PER_PROGRESS_LINE) {
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
