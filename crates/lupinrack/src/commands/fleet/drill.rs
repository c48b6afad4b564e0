//! `lupinrack fleet drill`: several processes of this program, faults between them, and every promise checked.

use crate::ended::Ended;
use clap::Args;
use lupinrack_fault_injection::{Plan, Script};
use lupinrack_fleet_membership_drill::cases::{chance, named, CASES};
use lupinrack_fleet_membership_drill::{play, Figures};
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

/// Plays and checks.
pub fn run(drill: &Drill) -> Result<(), Ended> {
    if drill.faults.iter().any(|f| f == "list") {
        CASES
            .iter()
            .for_each(|c| println!("{:<10}{}", c.name, c.shows));
        return Ok(());
    }
    if drill.faults.is_empty() {
        let script = match &drill.replay {
            Some(file) => {
                let text = std::fs::read_to_string(file).map_err(Ended::wrong)?;
                serde_json::from_str(&text).map_err(Ended::wrong)?
            }
            None => {
                let seed = drill.seed.unwrap_or_else(|| fastrand::u64(..1 << 32));
                chance(seed, drill.fronts, drill.seconds)
            }
        };
        return one(drill, script);
    }
    let seed = drill.seed.unwrap_or_else(|| fastrand::u64(..1 << 32));
    let mut cases = Vec::new();
    for name in &drill.faults {
        match name.as_str() {
            "all" => cases.extend(CASES),
            name => cases
                .push(named(name).ok_or_else(|| Ended::wrong(format!("no such case: {name}")))?),
        }
    }
    let mut broken = Vec::new();
    for case in cases {
        if let Err(Ended::Failed(why)) = one(drill, (case.script)(seed)) {
            broken.push(format!("{}: {why}", case.name));
        }
    }
    match broken.is_empty() {
        true => Ok(()),
        false => Err(Ended::failed(broken.join("\n"))),
    }
}

fn one(drill: &Drill, mut script: Script) -> Result<(), Ended> {
    script.fleet = !drill.told_once;
    if let Some(file) = &drill.script {
        std::fs::write(
            file,
            serde_json::to_string_pretty(&script).map_err(Ended::failed)?,
        )
        .map_err(Ended::failed)?;
    }
    let folder = std::env::temp_dir().join(format!(
        "lupinrack-drill-{}-{}",
        std::process::id(),
        script.seed
    ));
    let program = std::env::current_exe().map_err(Ended::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Ended::failed)?;
    let plan = Plan {
        script: script.clone(),
        program,
        folder,
        fleet: String::new(),
    };
    let played = runtime
        .block_on(play(plan))
        .map_err(|e| Ended::failed(format!("seed {}: {e}", script.seed)))?;
    let figures = &played.figures;
    if let Some(file) = &drill.history {
        std::fs::write(file, played.history.tail(usize::MAX)).map_err(Ended::failed)?;
    }
    match drill.json {
        true => println!("{}", serde_json::to_string(figures).map_err(Ended::failed)?),
        false => print!("{}", table(figures, drill.told_once)),
    }
    match figures.verdict() {
        Ok(()) => Ok(()),
        Err(broken) => {
            let script = serde_json::to_string(&script).unwrap_or_default();
            eprintln!(
                "seed {}\nscript {script}\n{}",
                figures.seed,
                played.history.tail(60)
            );
            Err(Ended::failed(broken.join("\n")))
        }
    }
}

fn table(f: &Figures, told_once: bool) -> String {
    let mut text = format!(
        "{}, seed {}: {} processes, {} kills, {} pauses, {} cuts, parts {}\n\n",
        f.script,
        f.seed,
        f.processes,
        f.kills,
        f.pauses,
        f.partitions,
        if told_once {
            "told once"
        } else {
            "by the fleet"
        }
    );
    for (name, count) in [
        ("requests", f.requests),
        ("served", f.served),
        ("views", f.views),
        ("view_conflicts", f.view_conflicts),
        ("limit_broken", f.limit_broken),
        ("cold_over", f.cold_over),
        ("lost", f.lost),
        ("duplicates", f.duplicates),
        ("repeats dropped", f.repeats),
        ("false_deaths", f.false_deaths),
    ] {
        text += &format!("{name:<26}{count:>10}\n");
    }
    for (name, value) in [
        ("parts_sum_max", f.parts_sum_max),
        ("idle_limit_share", f.idle_limit_share),
        ("detect_ms_p50", f.detect_ms_p50),
        ("detect_ms_p99", f.detect_ms_p99),
        ("agree_ms_p99", f.agree_ms_p99),
        ("bytes_per_front_s", f.bytes_per_front_s),
        ("datagrams_per_front_s", f.datagrams_per_front_s),
        ("cpu_us_per_request", f.cpu_us_per_request),
    ] {
        text += &format!("{name:<26}{value:>10.3}\n");
    }
    text
}
