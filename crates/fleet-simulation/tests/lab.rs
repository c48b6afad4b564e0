//! The lab: the same seed gives the same run, and no run breaks a promise.

use lupinrack_fault_injection::relay::Fault;
use lupinrack_fault_injection::{Act, Script};
use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership_drill::cases::{random_script, CASES};
use lupinrack_fleet_simulation::world::Net;
use lupinrack_fleet_simulation::{plot, Experiment, Outcome, World};

fn run(script: &Script) -> Outcome {
    World::new(script.clone(), Section::default(), Net::default()).run()
}

fn kept(script: &Script) -> Outcome {
    let o = run(script);
    let text = || serde_json::to_string(script).unwrap();
    assert!(
        o.view_conflicts == 0 && o.parts_sum_max <= 1.0 + 1e-6,
        "{o:#?}\n{}",
        text()
    );
    o
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let script = random_script(5, 6, 25);
    assert_eq!(run(&script), run(&script));
    assert_ne!(run(&script), run(&random_script(6, 6, 25)));
}

#[test]
fn every_case_of_the_rig_keeps_its_promises() {
    for case in CASES {
        for seed in 1..=6 {
            let o = kept(&(case.script)(seed));
            assert!(o.views > 0, "{}, seed {seed}: {o:#?}", case.name);
        }
    }
}

/// Deaths, pauses, cuts and losses by chance, in fleets of three to nine.
#[test]
fn faults_by_chance_break_no_promise() {
    for seed in 0..300 {
        kept(&random_script(seed, 3 + (seed % 7) as u16, 25));
    }
}

/// The lab can fail: clocks that differ by far more than is stated break what rests on it.
#[test]
fn clocks_that_drift_more_than_is_stated_break_the_promise() {
    let net = Net {
        drift_ppm: 600_000.0,
        ..Net::default()
    };
    let past = |seed| {
        let script = random_script(seed, 4, 30);
        World::new(script, Section::default(), net)
            .run()
            .parts_sum_max
            > 1.0 + 1e-6
    };
    assert!((0..60).any(past));
}

/// Once the faults are over a fleet comes to rest on one view of all who live.
#[test]
fn a_fleet_comes_to_rest_once_the_faults_are_over() {
    for seed in 0..40 {
        let mut script = random_script(1000 + seed, 5, 20);
        script.seconds = 45.0;
        let o = kept(&script);
        assert!(
            o.settled_ms.is_some(),
            "seed {seed}: {o:#?}\n{}",
            serde_json::to_string(&script).unwrap()
        );
    }
}

#[test]
fn an_experiment_sweeps_its_lists_and_is_drawn() {
    let text =
        "name = \"x\"\nfronts = [3, 5]\nloss = [0.0, 0.2]\nkill = 0.34\nseconds = 8.0\nseeds = 2\n";
    let set = ["seeds=3".to_string(), "fleet.lease_ms=2000".to_string()];
    let points = Experiment::parse(text, &set)
        .unwrap()
        .run(2, |_, _| {})
        .unwrap();
    assert_eq!(points.len(), 4);
    assert!(points.iter().all(|p| p.runs.len() == 3 && p.kept()));
    assert!(plot::svg(&points, "detect_ms_p99", "x")
        .unwrap()
        .contains("<svg"));
    assert!(plot::svg(&points, "parts", "x").is_ok() && plot::svg(&points, "what", "x").is_err());
    assert!(Experiment::parse("fronts = [1]", &[]).is_err());
    assert!(Experiment::parse("fleet = { lease = 1 }", &[]).is_err());
    assert!(Experiment::parse("case = \"none\"", &[]).is_err());
}

/// A front that nobody heard stands for nothing: once it is heard again the leader goes on, and a death is agreed on soon, in
/// simulated time.
#[test]
fn a_front_that_was_not_heard_deposes_no_leader() {
    for seed in 1..=20 {
        let mut script = Script::new("unheard", seed, 5, 14.0).at(1_500, Act::Mute { front: 4 });
        script = script
            .at(5_700, Act::Kill { front: 3 })
            .at(6_000 + 40 * seed, Act::Heal);
        let o = kept(&script);
        assert!(
            o.agree_ms_p99 > 0.0 && o.agree_ms_p99 < 1_000.0,
            "seed {seed}: {o:#?}"
        );
    }
}

/// With three datagrams in ten lost, in a fleet that no datagram's room suffices for, living fronts stay alive.
#[test]
fn a_large_fleet_bears_loss() {
    let fault = Fault {
        loss: 0.3,
        ..Fault::default()
    };
    let mut script = Script::new("large", 1, 80, 8.0).at(0, Act::Net { fault });
    script.keys = Vec::new();
    let o = kept(&script);
    assert!(
        o.false_deaths == 0 && o.views <= 2 && o.settled_ms.is_some(),
        "{o:#?}"
    );
}
