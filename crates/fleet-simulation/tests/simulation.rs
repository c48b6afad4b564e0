//! The fleet simulation is deterministic, and no run violates a guarantee.

use lupinrack_fault_injection::relay::Fault;
use lupinrack_fault_injection::{Act, Script};
use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership_drill::cases::{random_script, CASES};
use lupinrack_fleet_simulation::simulation::NetworkModel;
use lupinrack_fleet_simulation::{plot, Experiment, Outcome, Simulation};

fn run(script: &Script) -> Outcome {
    Simulation::new(script.clone(), Section::default(), NetworkModel::default()).run()
}

fn run_checked(script: &Script) -> Outcome {
    let outcome = run(script);
    let text = || serde_json::to_string(script).unwrap();
    assert!(
        outcome.view_conflicts == 0 && outcome.parts_sum_max <= 1.0 + 1e-6,
        "{outcome:#?}\n{}",
        text()
    );
    outcome
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let script = random_script(5, 6, 25);
    assert_eq!(run(&script), run(&script));
    assert_ne!(run(&script), run(&random_script(6, 6, 25)));
}

#[test]
fn every_case_of_the_fleet_drill_holds_the_guarantees() {
    for case in CASES {
        for seed in 1..=6 {
            let outcome = run_checked(&(case.script)(seed));
            assert!(
                outcome.views > 0,
                "{}, seed {seed}: {outcome:#?}",
                case.name
            );
        }
    }
}

/// Random deaths, pauses, cuts and losses in fleets of three to nine fronts.
#[test]
fn random_faults_violate_no_guarantee() {
    for seed in 0..300 {
        run_checked(&random_script(seed, 3 + (seed % 7) as u16, 25));
    }
}

/// Shows that the checks can fail: clocks that drift far beyond the stated bound let quota shares overlap.
#[test]
fn clocks_that_drift_beyond_the_stated_bound_violate_the_guarantee() {
    let net = NetworkModel {
        drift_ppm: 600_000.0,
        ..NetworkModel::default()
    };
    let violates_sum = |seed| {
        let script = random_script(seed, 4, 30);
        Simulation::new(script, Section::default(), net)
            .run()
            .parts_sum_max
            > 1.0 + 1e-6
    };
    assert!((0..60).any(violates_sum));
}

/// After the last fault a fleet agrees on one view with all live fronts.
#[test]
fn a_fleet_settles_after_the_last_fault() {
    for seed in 0..40 {
        let mut script = random_script(1000 + seed, 5, 20);
        script.seconds = 45.0;
        let outcome = run_checked(&script);
        assert!(
            outcome.settled_ms.is_some(),
            "seed {seed}: {outcome:#?}\n{}",
            serde_json::to_string(&script).unwrap()
        );
    }
}

#[test]
fn an_experiment_runs_all_combinations_and_is_plotted() {
    let text =
        "name = \"x\"\nfronts = [3, 5]\nloss = [0.0, 0.2]\nkill = 0.34\nseconds = 8.0\nseeds = 2\n";
    let set = ["seeds=3".to_string(), "fleet.lease_ms=2000".to_string()];
    let points = Experiment::parse(text, &set)
        .unwrap()
        .run(2, |_, _| {})
        .unwrap();
    assert_eq!(points.len(), 4);
    assert!(points
        .iter()
        .all(|p| p.runs.len() == 3 && p.guarantees_held()));
    assert!(plot::svg(&points, "detect_ms_p99", "x")
        .unwrap()
        .contains("<svg"));
    assert!(plot::svg(&points, "parts", "x").is_ok() && plot::svg(&points, "what", "x").is_err());
    assert!(Experiment::parse("fronts = [1]", &[]).is_err());
    assert!(Experiment::parse("fleet = { lease = 1 }", &[]).is_err());
    assert!(Experiment::parse("case = \"none\"", &[]).is_err());
}

/// A front that no other front received from does not depose the leader once it is received again. The next death is
/// agreed on within 1 s of virtual time.
#[test]
fn a_muted_front_deposes_no_leader() {
    for seed in 1..=20 {
        let mut script = Script::new("unheard", seed, 5, 14.0).at(1_500, Act::Mute { front: 4 });
        script = script
            .at(5_700, Act::Kill { front: 3 })
            .at(6_000 + 40 * seed, Act::Heal);
        let outcome = run_checked(&script);
        assert!(
            outcome.agree_ms_p99 > 0.0 && outcome.agree_ms_p99 < 1_000.0,
            "seed {seed}: {outcome:#?}"
        );
    }
}

/// With 30 % of datagrams lost, in a fleet whose member list exceeds a datagram, no live front is declared dead.
#[test]
fn a_large_fleet_survives_datagram_loss() {
    let fault = Fault {
        loss: 0.3,
        ..Fault::default()
    };
    let mut script = Script::new("large", 1, 80, 8.0).at(0, Act::Net { fault });
    script.keys = Vec::new();
    let outcome = run_checked(&script);
    assert!(
        outcome.false_deaths == 0 && outcome.views <= 2 && outcome.settled_ms.is_some(),
        "{outcome:#?}"
    );
}
