//! Injected bugs: the oracle finds each in runs of a few seeds, which violate no rule without it.

use lupinrack_cluster_simulation::{
    simulate, simulate_schedule, CoreFault, CoreSelector, Fault, FaultSchedule, InjectedBug,
    PartitionDirection, ScheduledFault, SimulationConfig, SimulationReport,
};

/// Asserts that one of the runs violates one of the rules with the bug, and that none does without it.
fn assert_caught(injected_bug: InjectedBug, seeds: &[u64], rules: &[&str]) {
    let mut violations = Vec::new();
    for seed in seeds {
        let sound = simulate(*seed, SimulationConfig::default());
        assert!(
            sound.violations.is_empty(),
            "seed {seed} without the fault: {:#?}",
            sound.violations
        );
        violations.extend(
            simulate(
                *seed,
                SimulationConfig {
                    injected_bug: Some(injected_bug),
                    ..SimulationConfig::default()
                },
            )
            .violations,
        );
    }
    let caught = violations
        .iter()
        .any(|line| rules.iter().any(|rule| line.contains(rule)));
    assert!(caught, "{injected_bug:?}: {violations:#?}");
}

#[test]
fn commands_under_a_refused_token_are_caught() {
    assert_caught(InjectedBug::DeposedOwnerKeepsOn, &[4, 8, 13], &["DUTY: "]);
}

#[test]
fn a_missing_sync_is_caught() {
    assert_caught(
        InjectedBug::MissingSync,
        &[4, 8, 13],
        &["LOST: accepted job"],
    );
}

/// Like [`assert_caught`], with a fixed fault schedule in place of those that the seeds draw.
fn assert_caught_in(schedule: &FaultSchedule, injected_bug: InjectedBug, rule: &str) {
    let mut caught = false;
    for seed in 1..=4 {
        let sound = simulate_schedule(seed, SimulationConfig::default(), schedule.clone());
        assert!(
            sound.violations.is_empty(),
            "seed {seed} without the fault: {:#?}",
            sound.violations
        );
        let config = SimulationConfig {
            injected_bug: Some(injected_bug),
            ..SimulationConfig::default()
        };
        let violations = simulate_schedule(seed, config, schedule.clone()).violations;
        caught |= violations.iter().any(|line| line.contains(rule));
    }
    assert!(caught, "{injected_bug:?} is not caught by {rule}");
}

/// Partitions agents from the core repeatedly, for longer than a lease.
fn agents_cut_off() -> FaultSchedule {
    let config = SimulationConfig::default();
    let first = config.cores + config.fronts;
    let partition = |number: usize| ScheduledFault {
        at: 5_000 + 1_500 * number as u64,
        duration_ms: 4_500,
        fault: Fault::AgentPartition(first + number % config.servers, PartitionDirection::Both),
    };
    FaultSchedule::of((0..16).map(partition).collect())
}

#[test]
fn an_overlong_lease_is_caught() {
    assert_caught_in(&agents_cut_off(), InjectedBug::LeaseTooLong, "TWICE");
}

/// Partitions fronts from the core repeatedly, for longer than clients wait.
fn fronts_cut_off() -> FaultSchedule {
    let config = SimulationConfig::default();
    let partition = |number: usize| ScheduledFault {
        at: 5_000 + 3_500 * number as u64,
        duration_ms: 2_900,
        fault: Fault::FrontPartition(config.cores + number % config.fronts),
    };
    FaultSchedule::of((0..9).map(partition).collect())
}

#[test]
fn a_refusal_of_a_call_with_unknown_effect_is_caught() {
    assert_caught_in(&fronts_cut_off(), InjectedBug::RejectedInDoubt, "REFUSED");
}

#[test]
fn an_end_reported_as_observed_too_early_is_caught() {
    assert_caught(InjectedBug::ObservedTooEarly, &[2, 4, 5], &["TWICE"]);
}

#[test]
fn a_token_that_is_not_incremented_is_caught() {
    assert_caught(
        InjectedBug::TokenNotIncremented,
        &[37, 38],
        &["LOST: not finished"],
    );
}

/// Partitions one machine off while the others proceed. Then the second is isolated and the third restarts with an empty
/// disk, connected to the first. Without its former identity the empty one is no voter, and both wait for the second.
fn empty_disk_beside_an_old_one(old: usize, newest: usize, empty: usize) -> FaultSchedule {
    let core = |at, duration_ms, kind, machine| ScheduledFault {
        at,
        duration_ms,
        fault: Fault::Core(kind, CoreSelector::Index(machine)),
    };
    FaultSchedule::of(vec![
        core(
            8_000,
            9_000,
            CoreFault::Partition(PartitionDirection::Both),
            old,
        ),
        core(16_000, 8_000, CoreFault::Isolation, newest),
        core(16_500, 300, CoreFault::DiskLoss, empty),
    ])
}

fn simulate_empty_disk(seed: u64, injected_bug: Option<InjectedBug>) -> Vec<SimulationReport> {
    let roles = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    let config = SimulationConfig {
        injected_bug,
        ..SimulationConfig::default()
    };
    let run = |[old, newest, empty]: [usize; 3]| {
        simulate_schedule(
            seed,
            config,
            empty_disk_beside_an_old_one(old, newest, empty),
        )
    };
    roles.into_iter().map(run).collect()
}

#[test]
fn the_vote_of_an_empty_disk_is_caught() {
    let sound = simulate_empty_disk(1, None);
    assert!(
        sound.iter().all(|report| report.violations.is_empty()),
        "{sound:#?}"
    );
    let injected_bug = simulate_empty_disk(1, Some(InjectedBug::VoteOfEmptyDisk));
    let lost = |report: &SimulationReport| {
        report
            .violations
            .iter()
            .any(|line| line.contains("LOST: accepted job"))
    };
    assert!(injected_bug.iter().any(lost), "{injected_bug:#?}");
}
