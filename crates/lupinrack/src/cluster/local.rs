//! `lupinrack local`: runs a complete cluster on loopback.

use crate::command_error::CommandError;
use clap::builder::PossibleValuesParser;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use lupinrack_cluster_local::{KillTarget, LocalReport, LocalSettings, Progress};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// The name of the command.
pub(super) const NAME: &str = "local";
/// The argument for the duration of job submission.
const SECONDS: &str = "seconds";
/// The argument for the time allowed for the last job to end.
const END_WITHIN: &str = "end-within";
/// The argument for the kinds of processes to kill.
const KILL: &str = "kill";
/// The argument for printing the report as JSON.
const JSON: &str = "json";
/// The value that kills nothing.
const NONE: &str = "none";
/// Default of [`SECONDS`].
const DEFAULT_SECONDS: &str = "10";
/// Default of [`END_WITHIN`], in seconds.
const DEFAULT_END_WITHIN_SECONDS: &str = "60";

/// The command.
pub(super) fn command() -> Command {
    let seconds = |name: &'static str, default: &'static str| {
        let argument = Arg::new(name)
            .long(name)
            .value_name("SECONDS")
            .default_value(default);
        argument.value_parser(value_parser!(u64).range(1..=3_600))
    };
    let targets = KillTarget::ALL
        .map(KillTarget::as_str)
        .into_iter()
        .chain([NONE]);
    let kill = Arg::new(KILL)
        .long(KILL)
        .value_name("PART")
        .action(ArgAction::Append);
    Command::new(NAME)
        .about(
            "Run a complete cluster on loopback: processes, workers, jobs, and kills of processes",
        )
        .arg(seconds(SECONDS, DEFAULT_SECONDS).help("How long jobs are submitted"))
        .arg(
            seconds(END_WITHIN, DEFAULT_END_WITHIN_SECONDS)
                .help("How long after that the last job may end"),
        )
        .arg(
            kill.value_parser(PossibleValuesParser::new(targets))
                .default_value(KillTarget::Head.as_str())
                .help("What is killed and started again; may be given more than once"),
        )
        .arg(
            Arg::new(JSON)
                .long(JSON)
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}

/// Runs the cluster. The exit code is 0 if every job ended as expected.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let json = matches.get_flag(JSON);
    let settings = LocalSettings {
        program: std::env::current_exe().map_err(CommandError::failed)?,
        folder: create_folder()?,
        submit_for: duration_argument(matches, SECONDS),
        end_within: duration_argument(matches, END_WITHIN),
        kill: kill_targets(matches),
        progress: if json {
            Progress::Hidden
        } else {
            Progress::Printed
        },
    };
    let report = run_until_signalled(&settings)?;
    print_report(&report, json)?;
    if report.good {
        remove_folder(&settings.folder);
        return Ok(ExitCode::SUCCESS);
    }
    Err(CommandError::failed(format!(
        "not every job ended as expected; the logs are in {}",
        settings.folder.display()
    )))
}

fn duration_argument(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs(matches.get_one(name).copied().unwrap_or_default())
}

fn kill_targets(matches: &ArgMatches) -> Vec<KillTarget> {
    let names = matches.get_many::<String>(KILL).into_iter().flatten();
    names
        .filter_map(|name| {
            KillTarget::ALL
                .into_iter()
                .find(|target| target.as_str() == name)
        })
        .collect()
}

/// Creates a temporary folder for this run.
fn create_folder() -> Result<PathBuf, CommandError> {
    let name = format!(
        "lupinrack-local-{}-{:08x}",
        std::process::id(),
        fastrand::u32(..)
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir(&folder)
        .map_err(|error| CommandError::failed(format!("{}: {error}", folder.display())))?;
    Ok(folder)
}

/// Removes the folder of a successful run. A failure to remove it is harmless and ignored.
fn remove_folder(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}

/// Runs the cluster to its end. If SIGTERM or SIGINT arrives first, the child processes are killed and an error is returned.
fn run_until_signalled(settings: &LocalSettings) -> Result<LocalReport, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::failed)?;
        tokio::select! {
            report = lupinrack_cluster_local::run(settings) => report.map_err(CommandError::failed),
            _ = terminate.recv() => Err(CommandError::failed("interrupted by a signal")),
            _ = interrupt.recv() => Err(CommandError::failed("interrupted by a signal")),
        }
    })
}

fn print_report(report: &LocalReport, json: bool) -> Result<(), CommandError> {
    if json {
        println!(
            "{}",
            serde_json::to_string(report).map_err(CommandError::failed)?
        );
    } else {
        print!("{report}");
    }
    Ok(())
}
