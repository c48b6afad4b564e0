//! Injected bugs: each is caught by the runs of a few seeds, which violate no rule without it.

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
fn orders_under_a_token_that_servers_refuse_are_caught() {
    assert_caught(InjectedBug::DeposedOwnerKeepsOn, &[4, 8, 13], &["DUTY: "]);
}

#[test]
fn a_sync_left_out_is_caught() {
    assert_caught(
        InjectedBug::MissingSync,
        &[4, 8, 13],
        &["LOST: accepted job"],
    );
}

/// The same for a fault schedule in place of the seeds' own.
fn assert_caught_in(plan: &FaultSchedule, injected_bug: InjectedBug, rule: &str) {
    let mut caught = false;
    for seed in 1..=4 {
        let sound = simulate_schedule(seed, SimulationConfig::default(), plan.clone());
        assert!(
            sound.violations.is_empty(),
            "seed {seed} without the fault: {:#?}",
            sound.violations
        );
        let config = SimulationConfig {
            injected_bug: Some(injected_bug),
            ..SimulationConfig::default()
        };
        let violations = simulate_schedule(seed, config, plan.clone()).violations;
        caught |= violations.iter().any(|line| line.contains(rule));
    }
    assert!(caught, "{injected_bug:?} is not caught by {rule}");
}

/// Agents are cut off from the core for longer than a hold lasts, again and again.
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
fn a_lease_too_long_is_caught() {
    assert_caught_in(&agents_cut_off(), InjectedBug::LeaseTooLong, "TWICE");
}

/// Fronts are cut off from the core for longer than clients wait, again and again.
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
fn a_refusal_in_doubt_is_caught() {
    assert_caught_in(&fronts_cut_off(), InjectedBug::RejectedInDoubt, "REFUSED");
}

#[test]
fn an_end_observed_too_soon_is_caught() {
    assert_caught(InjectedBug::ObservedTooEarly, &[2, 4, 5], &["TWICE"]);
}

#[test]
fn a_token_that_is_not_raised_is_caught() {
    assert_caught(
        InjectedBug::TokenNotIncremented,
        &[37, 38],
        &["LOST: not finished"],
    );
}

/// One machine is cut off while the others go on; then the second is cut off and the third comes back empty, next to the
/// first. Without the identity that it had, the empty one is no voter, and the two wait for the second.
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

fn play_empty_disk(seed: u64, injected_bug: Option<InjectedBug>) -> Vec<SimulationReport> {
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
    let day = |[old, newest, empty]: [usize; 3]| {
        simulate_schedule(
            seed,
            config,
            empty_disk_beside_an_old_one(old, newest, empty),
        )
    };
    roles.into_iter().map(day).collect()
}

#[test]
fn the_vote_of_an_empty_disk_is_caught() {
    let sound = play_empty_disk(1, None);
    assert!(
        sound.iter().all(|report| report.violations.is_empty()),
        "{sound:#?}"
    );
    let injected_bug = play_empty_disk(1, Some(InjectedBug::VoteOfEmptyDisk));
    let lost = |report: &SimulationReport| {
        report
            .violations
            .iter()
            .any(|line| line.contains("LOST: accepted job"))
    };
    assert!(injected_bug.iter().any(lost), "{injected_bug:#?}");
}
