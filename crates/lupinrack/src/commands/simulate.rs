//! `lupinrack simulate`: a fleet's state machines in virtual time. `lab`, its earlier name, stays as a hidden alias.

use crate::ended::Ended;
use clap::{Args, Subcommand};
use lupinrack_fleet_simulation::{plot, Experiment, Point};
use std::path::PathBuf;

/// What to do with an experiment.
#[derive(Debug, Subcommand)]
pub enum Simulate {
    /// Run an experiment and print its metrics: median, least and most over the seeds.
    Run(Run),
    /// Run it and draw one metric as SVG.
    Plot(Plot),
}

/// The experiment and how it is run.
#[derive(Debug, Args)]
pub struct Run {
    /// The experiment (TOML).
    experiment: PathBuf,
    /// Put a setting over the file's, as `fronts=[5,50]` or `fleet.lease_ms=4000`; may be given again.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Seeds, from 1 on.
    #[arg(long)]
    seeds: Option<u64>,
    /// Runs side by side; as many as there are cores where it is not given.
    #[arg(long)]
    threads: Option<usize>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
}

/// The metric that is drawn, and the file.
#[derive(Debug, Args)]
pub struct Plot {
    #[command(flatten)]
    run: Run,
    /// The metric, or `parts`: what is in use over time in the first seed.
    #[arg(long, default_value = "detect_ms_p99")]
    figure: String,
    /// The SVG file.
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// If the experiment cannot be read or run, or a promise was broken in it.
pub fn run(simulate: &Simulate) -> Result<(), Ended> {
    match simulate {
        Simulate::Run(run) => {
            let (experiment, points) = play(run)?;
            if run.json {
                println!("{}", serde_json::to_string(&points).map_err(Ended::failed)?);
            } else {
                print!("{}", table(&experiment, &points));
            }
            match points.iter().all(Point::guarantees_held) {
                true => Ok(()),
                false => Err(Ended::failed(
                    "a promise was broken: view_conflicts must be 0, parts_sum_max at most 1",
                )),
            }
        }
        Simulate::Plot(p) => {
            let (experiment, points) = play(&p.run)?;
            let title = format!("{}: {}", experiment.name, p.figure);
            let svg = plot::svg(&points, &p.figure, &title).map_err(Ended::wrong)?;
            std::fs::write(&p.out, svg).map_err(Ended::failed)
        }
    }
}

fn play(run: &Run) -> Result<(Experiment, Vec<Point>), Ended> {
    let text = std::fs::read_to_string(&run.experiment)
        .map_err(|e| Ended::wrong(format!("{}: {e}", run.experiment.display())))?;
    let mut set = run.set.clone();
    set.extend(run.seeds.map(|n| format!("seeds={n}")));
    let experiment = Experiment::parse(&text, &set).map_err(Ended::wrong)?;
    let threads = run
        .threads
        .or_else(|| std::thread::available_parallelism().ok().map(usize::from))
        .unwrap_or(1);
    let points = experiment
        .run(threads, |done, all| eprint!("\r{done} of {all} runs"))
        .map_err(Ended::wrong)?;
    eprintln!();
    Ok((experiment, points))
}

fn table(experiment: &Experiment, points: &[Point]) -> String {
    let mut text = format!(
        "{}: {} seeds; median (least to most)\n",
        experiment.name, experiment.seeds
    );
    for p in points {
        text += &format!("\n{} fronts, loss {}\n", p.fronts, p.loss);
        for (name, s) in &p.spread {
            text += &format!(
                "  {name:<24}{:>12.3}  ({:.3} to {:.3})\n",
                s.median, s.least, s.most
            );
        }
    }
    text
}
