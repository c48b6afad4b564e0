//! Injected bugs of the control plane, one for each of five problems that operators meet repeatedly. The oracle finds each bug
//! in runs that violate no rule without it.

use lupinrack_cluster_simulation::{
    simulate, simulate_schedule, CoreFault, CoreSelector, Fault, FaultProfile, FaultScenario,
    FaultSchedule, InjectedBug, OperatorAction, PartitionDirection, ScheduledFault,
    SimulationConfig, SimulationReport,
};

/// Whether a violation in the reports contains one of the rules.
fn any_violation_contains(reports: &[SimulationReport], rules: &[&str]) -> bool {
    let mut lines = reports.iter().flat_map(|report| &report.violations);
    lines.any(|line| rules.iter().any(|rule| line.contains(rule)))
}

fn assert_sound(reports: &[SimulationReport]) {
    let violations: Vec<&String> = reports
        .iter()
        .flat_map(|report| &report.violations)
        .collect();
    assert!(violations.is_empty(), "without the bug: {violations:#?}");
}

/// Runs without the bug, which must violate no rule, and with it, which must violate one of these.
fn assert_caught(
    injected_bug: InjectedBug,
    rules: &[&str],
    simulate_all: impl Fn(Option<InjectedBug>) -> Vec<SimulationReport>,
) {
    assert_sound(&simulate_all(None));
    let reports = simulate_all(Some(injected_bug));
    assert!(
        any_violation_contains(&reports, rules),
        "{injected_bug:?} is not caught: {reports:#?}"
    );
}

fn scenario(
    scenario: FaultScenario,
    seeds: &[u64],
    traffic_ms: u64,
    injected_bug: Option<InjectedBug>,
) -> Vec<SimulationReport> {
    let config = SimulationConfig {
        profile: FaultProfile::Only(scenario),
        traffic_ms,
        jobs: traffic_ms / 1_000,
        injected_bug,
        ..SimulationConfig::default()
    };
    seeds.iter().map(|seed| simulate(*seed, config)).collect()
}

fn core(at: u64, duration_ms: u64, kind: CoreFault, selector: CoreSelector) -> ScheduledFault {
    ScheduledFault {
        at,
        duration_ms,
        fault: Fault::Core(kind, selector),
    }
}

fn operator_actions(
    action: OperatorAction,
    times: impl Iterator<Item = u64>,
) -> impl Iterator<Item = ScheduledFault> {
    times.map(move |at| ScheduledFault {
        at,
        duration_ms: 0,
        fault: Fault::Operator(action),
    })
}

/// Problem 1.
#[test]
fn a_barrier_without_a_quorum_is_caught() {
    let rules = ["CONFIG: version", "HISTORY"];
    assert_caught(InjectedBug::BarrierWithoutQuorum, &rules, |injected_bug| {
        scenario(
            FaultScenario::PartitionWithCallers,
            &[1, 2, 3, 4],
            60_000,
            injected_bug,
        )
    });
}

/// Problem 2.
#[test]
fn accepted_changes_missing_from_a_snapshot_are_caught() {
    let rules = ["acknowledged, is refused", "HISTORY"];
    assert_caught(
        InjectedBug::AcceptedChangesNotInSnapshot,
        &rules,
        |injected_bug| {
            scenario(
                FaultScenario::SimultaneousCrash,
                &[1, 2, 3, 4],
                60_000,
                injected_bug,
            )
        },
    );
}

/// Twice partitions the head off together with another machine, while the operator keeps sending changes to both sides.
fn minority_cut_off() -> FaultSchedule {
    let partition = CoreFault::MinorityPartitionWithCallers(PartitionDirection::Both);
    let mut entries = vec![
        core(8_000, 9_000, partition, CoreSelector::Head),
        core(24_000, 9_000, partition, CoreSelector::Head),
    ];
    entries.extend(operator_actions(
        OperatorAction::Change,
        (5..36).map(|second| 1_000 * second),
    ));
    FaultSchedule::of(entries)
}

/// Problem 3.
#[test]
fn voters_removed_without_an_overlap_of_majorities_are_caught() {
    let rules = [
        "CONFIG: version",
        "CONFIG: changes",
        "HISTORY",
        "LOST: accepted job",
    ];
    assert_caught(
        InjectedBug::VotersRemovedByMinority,
        &rules,
        |injected_bug| {
            let config = SimulationConfig {
                cores: 5,
                tolerance: 1,
                injected_bug,
                ..SimulationConfig::default()
            };
            (1..=3)
                .map(|seed| simulate_schedule(seed, config, minority_cut_off()))
                .collect()
        },
    );
}

/// Problem 4.
#[test]
fn a_stale_snapshot_is_caught() {
    let rules = ["CONFIG: version", "LOST: accepted job", "TWICE"];
    assert_caught(InjectedBug::StaleSnapshot, &rules, |injected_bug| {
        scenario(
            FaultScenario::SimultaneousCrash,
            &[1, 2, 3, 4],
            60_000,
            injected_bug,
        )
    });
}

/// Kills and restarts fronts repeatedly, while slow links of the head delay the replies.
fn fronts_come_back_at_once() -> FaultSchedule {
    let config = SimulationConfig::default();
    let kill = |number: usize| ScheduledFault {
        at: 6_000 + 800 * number as u64,
        duration_ms: 30,
        fault: Fault::FrontKill(config.cores + number % config.fronts),
    };
    let mut entries: Vec<ScheduledFault> = (0..38).map(kill).collect();
    entries.push(core(
        5_000,
        32_000,
        CoreFault::SlowLinks,
        CoreSelector::Head,
    ));
    FaultSchedule::of(entries)
}

/// Problem 5.
#[test]
fn a_reply_matched_by_number_alone_is_caught() {
    let rules = [
        "MIXED",
        "without cause",
        "is not known",
        "CONFIG: submission",
    ];
    assert_caught(InjectedBug::ReplyMatchedByNumber, &rules, |injected_bug| {
        let config = SimulationConfig {
            finish_ms: 60_000,
            injected_bug,
            ..SimulationConfig::default()
        };
        (1..=4)
            .map(|seed| simulate_schedule(seed, config, fronts_come_back_at_once()))
            .collect()
    });
}
