//! `lupinrack fleet drill`: runs several processes of this program, injects faults between them, and checks every guarantee.

use crate::command_error::CommandError;
use clap::Args;
use lupinrack_fault_injection::{Plan, Script};
use lupinrack_fleet_membership_drill::cases::{find_case, random_script, CASES};
use lupinrack_fleet_membership_drill::{play, DrillReport};
use std::path::PathBuf;

/// What the drill plays.
#[derive(Clone, Debug, Args)]
pub struct Drill {
    /// Processes.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(2..=32))]
    fronts: u16,
    /// The seed of all chances; a fresh one where it is not given. It is printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Seconds of load.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Parts are told once, at the start: the baseline.
    #[arg(long = "static")]
    told_once: bool,
    /// Play these cases, one after another, in place of a script by chance; `all`, or `list` to see them.
    #[arg(long, value_delimiter = ',', value_name = "CASE,...")]
    faults: Vec<String>,
    /// Play a script from this file in place of one by chance.
    #[arg(long, value_name = "FILE")]
    replay: Option<PathBuf>,
    /// Write the script here.
    #[arg(long, value_name = "FILE")]
    script: Option<PathBuf>,
    /// Write all that happened here, a line each.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Print one JSON object in place of the table.
    #[arg(long)]
    json: bool,
}

/// Runs the scripts and checks their results.
pub fn run(drill: &Drill) -> Result<(), CommandError> {
    if drill.faults.iter().any(|name| name == "list") {
        CASES
            .iter()
            .for_each(|c| println!("{:<10}{}", c.name, c.description));
        return Ok(());
    }
    if drill.faults.is_empty() {
        let script = match &drill.replay {
            Some(file) => {
                let text = std::fs::read_to_string(file).map_err(CommandError::invalid_input)?;
                serde_json::from_str(&text).map_err(CommandError::invalid_input)?
            }
            None => {
                let seed = drill.seed.unwrap_or_else(|| fastrand::u64(..1 << 32));
                random_script(seed, drill.fronts, drill.seconds)
            }
        };
        return run_script(drill, script);
    }
    let seed = drill.seed.unwrap_or_else(|| fastrand::u64(..1 << 32));
    let mut cases = Vec::new();
    for name in &drill.faults {
        match name.as_str() {
            "all" => cases.extend(CASES),
            name => cases.push(
                find_case(name)
                    .ok_or_else(|| CommandError::invalid_input(format!("no such case: {name}")))?,
            ),
        }
    }
    let mut violations = Vec::new();
    for case in cases {
        if let Err(CommandError::Failed(message)) = run_script(drill, (case.script)(seed)) {
            violations.push(format!("{}: {message}", case.name));
        }
    }
    match violations.is_empty() {
        true => Ok(()),
        false => Err(CommandError::failed(violations.join("\n"))),
    }
}

fn run_script(drill: &Drill, mut script: Script) -> Result<(), CommandError> {
    script.fleet = !drill.told_once;
    if let Some(file) = &drill.script {
        std::fs::write(
            file,
            serde_json::to_string_pretty(&script).map_err(CommandError::failed)?,
        )
        .map_err(CommandError::failed)?;
    }
    let folder = std::env::temp_dir().join(format!(
        "lupinrack-drill-{}-{}",
        std::process::id(),
        script.seed
    ));
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    let plan = Plan {
        script: script.clone(),
        program,
        folder,
        fleet: String::new(),
    };
    let outcome = runtime
        .block_on(play(plan))
        .map_err(|e| CommandError::failed(format!("seed {}: {e}", script.seed)))?;
    let figures = &outcome.report;
    if let Some(file) = &drill.history {
        std::fs::write(file, outcome.history.tail(usize::MAX)).map_err(CommandError::failed)?;
    }
    match drill.json {
        true => println!(
            "{}",
            serde_json::to_string(figures).map_err(CommandError::failed)?
        ),
        false => print!("{}", table(figures, drill.told_once)),
    }
    match figures.verdict() {
        Ok(()) => Ok(()),
        Err(violations) => {
            let script = serde_json::to_string(&script).unwrap_or_default();
            eprintln!(
                "seed {}\nscript {script}\n{}",
                figures.seed,
                outcome.history.tail(60)
            );
            Err(CommandError::failed(violations.join("\n")))
        }
    }
}

fn table(figures: &DrillReport, told_once: bool) -> String {
    let mut text = format!(
        "{}, seed {}: {} processes, {} kills, {} pauses, {} cuts, parts {}\n\n",
        figures.script,
        figures.seed,
        figures.processes,
        figures.kills,
        figures.pauses,
        figures.partitions,
        if told_once {
            "told once"
        } else {
            "by the fleet"
        }
    );
    for (name, count) in [
        ("requests", figures.requests),
        ("served", figures.served),
        ("views", figures.views),
        ("view_conflicts", figures.view_conflicts),
        ("limit_broken", figures.limit_broken),
        ("cold_over", figures.cold_over),
        ("lost", figures.lost),
        ("duplicates", figures.duplicates),
        ("repeats dropped", figures.repeats),
        ("false_deaths", figures.false_deaths),
    ] {
        text += &format!("{name:<26}{count:>10}\n");
    }
    for (name, value) in [
        ("parts_sum_max", figures.parts_sum_max),
        ("idle_limit_share", figures.idle_limit_share),
        ("detect_ms_p50", figures.detect_ms_p50),
        ("detect_ms_p99", figures.detect_ms_p99),
        ("agree_ms_p99", figures.agree_ms_p99),
        ("bytes_per_front_s", figures.bytes_per_front_s),
        ("datagrams_per_front_s", figures.datagrams_per_front_s),
        ("cpu_us_per_request", figures.cpu_us_per_request),
    ] {
        text += &format!("{name:<26}{value:>10.3}\n");
    }
    text
}
