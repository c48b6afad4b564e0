//! `lupinrack overload drill`: runs several processes of this program against a node that hangs, and checks every guarantee.

use crate::command_error::CommandError;
use clap::{Args, Subcommand};
use lupinrack_fault_injection::Plan;
use lupinrack_overload_drill::{find_case, play, CASES, DEFAULT_SECONDS, MIN_SECONDS};

/// Overload handled by the fleet as one.
#[derive(Debug, Subcommand)]
pub enum Overload {
    /// Real processes and a node that hangs; every promise is checked.
    Drill(Drill),
}

/// What the drill plays.
#[derive(Clone, Debug, Args)]
pub struct Drill {
    /// Processes.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(3..=32))]
    fronts: u16,
    /// The seed of all chances; a fresh one where it is not given. It is printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Seconds of load; the node hangs from the second one to the sixth before the last.
    #[arg(long, default_value_t = DEFAULT_SECONDS, value_parser = clap::value_parser!(u64).range(MIN_SECONDS..=600))]
    seconds: u64,
    /// The script; `list` to see them.
    #[arg(long, default_value = "hung")]
    script: String,
    /// Each front for itself: the baseline.
    #[arg(long)]
    alone: bool,
    /// Print one JSON object in place of the table.
    #[arg(long)]
    json: bool,
}

/// Runs the drill.
pub fn run(Overload::Drill(drill): &Overload) -> Result<(), CommandError> {
    if drill.script == "list" {
        CASES
            .iter()
            .for_each(|c| println!("{:<12}{}", c.name, c.description));
        return Ok(());
    }
    let case = find_case(&drill.script)
        .ok_or_else(|| CommandError::invalid_input(format!("no such script: {}", drill.script)))?;
    let seed = drill.seed.unwrap_or_else(|| fastrand::u64(..1 << 32));
    let mut script = (case.script)(drill.fronts, seed, drill.seconds);
    if drill.alone {
        script.sections.clear();
    }
    let folder =
        std::env::temp_dir().join(format!("lupinrack-overload-{}-{seed}", std::process::id()));
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    let plan = Plan {
        script,
        program,
        folder,
        fleet: String::new(),
    };
    let played = runtime
        .block_on(play(plan))
        .map_err(|e| CommandError::failed(format!("seed {seed}: {e}")))?;
    let figures = &played.report;
    if drill.json {
        println!(
            "{}",
            serde_json::to_string(figures).map_err(CommandError::failed)?
        );
    } else {
        let coordination = if figures.alone {
            "each for itself"
        } else {
            "as one"
        };
        println!(
            "{}, seed {}: {} processes, {coordination}, {} requests\n",
            figures.script, figures.seed, figures.processes, figures.requests
        );
        println!(
            "{:<20}{:>10.3}\n{:<20}{:>10}",
            "served_share", figures.served_share, "attempts_at_hung", figures.attempts_at_hung
        );
        println!(
            "{:<20}{:>10.2}\n{:<20}{:>10}",
            "trials_per_s", figures.trials_per_s, "trials_over", figures.trials_over
        );
        let recovery = figures
            .recovery_ms
            .map_or("never".to_string(), |ms| format!("{ms:.0}"));
        println!(
            "{:<20}{recovery:>10}\n{:<20}{:>10}",
            "recovery_ms", "limit_broken", figures.limit_broken
        );
        println!(
            "{:<20}{:>10}\n{:<20}{:>10}",
            "lost", figures.lost, "duplicates", figures.duplicates
        );
    }
    figures.verdict().map_err(|violations| {
        eprintln!("seed {seed}\n{}", played.history.tail(60));
        CommandError::failed(violations.join("\n"))
    })
}
