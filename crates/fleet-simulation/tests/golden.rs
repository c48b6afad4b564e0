//! Golden files of the fleet simulation: an experiment's file, and the JSON output of its run.

use lupinrack_fleet_simulation::experiment::FIGURES;
use lupinrack_fleet_simulation::{Experiment, Outcome, Point, Spread};
use lupinrack_golden_files::{check_text, path, GoldenFile};
use std::fmt::Debug;

const EXPERIMENT: &str = include_str!("golden/experiment.toml");

fn outcome(settled_ms: Option<f64>) -> Outcome {
    Outcome {
        seed: 1,
        fronts: 2,
        views: 3,
        view_conflicts: 4,
        parts_sum_max: 0.5,
        false_deaths: 6,
        detect_ms_p50: 7.5,
        detect_ms_p99: 8.5,
        agree_ms_p99: 9.5,
        unnoticed: 10,
        settled_ms,
        idle_share: 0.12,
        datagrams_per_front_s: 13.5,
        bytes_per_front_s: 14.5,
        datagrams_most_s: 15.5,
        line: vec![(16.0, 17.0)],
    }
}

#[test]
fn points_keep_their_json_form() {
    let point = Point {
        fronts: 18,
        loss: 0.19,
        runs: vec![outcome(Some(11.5)), outcome(None)],
        spread: vec![(
            "views",
            Spread {
                median: 20.5,
                least: 21.5,
                most: 22.5,
            },
        )],
    };
    check_text(
        path!("points.json"),
        &(serde_json::to_string_pretty(&[point]).unwrap() + "\n"),
    );
}

/// The names of the figures that are aggregated over seeds, and the field of the outcome that each one is.
#[test]
fn aggregated_figures_keep_their_names() {
    let mut figures = GoldenFile::open(path!("figures.txt"));
    for (name, figure) in FIGURES {
        figures.add(*name, format!("{:?}", figure(&outcome(Some(11.5)))));
    }
    figures.add(
        "settled_ms where it never settled",
        FIGURES.iter().find(|f| f.0 == "settled_ms").unwrap().1(&outcome(None)),
    );
    figures.check();
}

fn read(file: &str, experiment: &Experiment) -> GoldenFile {
    let mut read = GoldenFile::open(file);
    let mut add = |key: &str, value: &dyn Debug| read.add(key, format!("{value:?}"));
    add("name", &experiment.name);
    add("case", &experiment.case);
    add("fronts", &experiment.fronts);
    add("loss", &experiment.loss);
    add("seconds", &experiment.seconds);
    add("kill", &experiment.kill);
    add("kill_within_ms", &experiment.kill_within_ms);
    add("kill_at", &experiment.kill_at);
    add("back_after", &experiment.back_after);
    add("stop", &experiment.stop);
    add("seeds", &experiment.seeds);
    add("fleet", &experiment.fleet.to_string());
    add("way_ms", &experiment.way_ms);
    add("drift_ppm", &experiment.drift_ppm);
    read
}

#[test]
fn experiments_are_read_as_before() {
    read(
        path!("experiment-read.txt"),
        &Experiment::parse(EXPERIMENT, &[]).unwrap(),
    )
    .check();
    read(
        path!("experiment-defaults-read.txt"),
        &Experiment::parse("", &[]).unwrap(),
    )
    .check();
}
