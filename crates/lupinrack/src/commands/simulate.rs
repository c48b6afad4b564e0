//! `lupinrack simulate`: runs a fleet's state machines in virtual time. `lab`, its earlier name, stays as a hidden alias.

use crate::command_error::CommandError;
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
/// If the experiment cannot be read or run, or one of its runs violates a guarantee.
pub fn run(simulate: &Simulate) -> Result<(), CommandError> {
    match simulate {
        Simulate::Run(run) => {
            let (experiment, points) = run_experiment(run)?;
            if run.json {
                println!(
                    "{}",
                    serde_json::to_string(&points).map_err(CommandError::failed)?
                );
            } else {
                print!("{}", table(&experiment, &points));
            }
            match points.iter().all(Point::guarantees_held) {
                true => Ok(()),
                false => Err(CommandError::failed(
                    "a promise was broken: view_conflicts must be 0, parts_sum_max at most 1",
                )),
            }
        }
        Simulate::Plot(plot) => {
            let (experiment, points) = run_experiment(&plot.run)?;
            let title = format!("{}: {}", experiment.name, plot.figure);
            let svg =
                plot::svg(&points, &plot.figure, &title).map_err(CommandError::invalid_input)?;
            std::fs::write(&plot.out, svg).map_err(CommandError::failed)
        }
    }
}

fn run_experiment(run: &Run) -> Result<(Experiment, Vec<Point>), CommandError> {
    let text = std::fs::read_to_string(&run.experiment)
        .map_err(|e| CommandError::invalid_input(format!("{}: {e}", run.experiment.display())))?;
    let mut overrides = run.set.clone();
    overrides.extend(run.seeds.map(|n| format!("seeds={n}")));
    let experiment = Experiment::parse(&text, &overrides).map_err(CommandError::invalid_input)?;
    let threads = run
        .threads
        .or_else(|| std::thread::available_parallelism().ok().map(usize::from))
        .unwrap_or(1);
    let points = experiment
        .run(threads, |done, all| eprint!("\r{done} of {all} runs"))
        .map_err(CommandError::invalid_input)?;
    eprintln!();
    Ok((experiment, points))
}

fn table(experiment: &Experiment, points: &[Point]) -> String {
    let mut text = format!(
        "{}: {} seeds; median (least to most)\n",
        experiment.name, experiment.seeds
    );
    for point in points {
        text += &format!("\n{} fronts, loss {}\n", point.fronts, point.loss);
        for (name, spread) in &point.spread {
            text += &format!(
                "  {name:<24}{:>12.3}  ({:.3} to {:.3})\n",
                spread.median, spread.least, spread.most
            );
        }
    }
    text
}
