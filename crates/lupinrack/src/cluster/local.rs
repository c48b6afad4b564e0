//! `lupinrack local`: a complete cluster on loopback in one command.

use crate::ended::Ended;
use clap::builder::PossibleValuesParser;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use lupinrack_cluster_local::{KillTarget, LocalReport, LocalSettings, Progress};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// The name of the command.
pub(super) const NAME: &str = "local";
/// The argument for how long jobs are submitted.
const SECONDS: &str = "seconds";
/// The argument for how long the last job may take to end.
const END_WITHIN: &str = "end-within";
/// The argument for the processes that are killed.
const KILL: &str = "kill";
/// The argument for a report as JSON.
const JSON: &str = "json";
/// The value that kills nothing.
const NONE: &str = "none";
/// How long jobs are submitted, in seconds, where the command line does not say.
const SECONDS_DEFAULT: &str = "10";
/// How long the last job may take to end, in seconds, where the command line does not say.
const END_WITHIN_DEFAULT: &str = "60";

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
        .arg(seconds(SECONDS, SECONDS_DEFAULT).help("How long jobs are submitted"))
        .arg(
            seconds(END_WITHIN, END_WITHIN_DEFAULT)
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

/// Runs the cluster. Exit code 0 where every job ended as expected.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, Ended> {
    let json = matches.get_flag(JSON);
    let settings = LocalSettings {
        program: std::env::current_exe().map_err(Ended::failed)?,
        folder: new_folder()?,
        submit_for: duration(matches, SECONDS),
        end_within: duration(matches, END_WITHIN),
        kill: kill_targets(matches),
        progress: if json {
            Progress::Hidden
        } else {
            Progress::Printed
        },
    };
    let report = run_until_signalled(&settings)?;
    print(&report, json)?;
    if report.good {
        remove(&settings.folder);
        return Ok(ExitCode::SUCCESS);
    }
    Err(Ended::failed(format!(
        "not every job ended as expected; the logs are in {}",
        settings.folder.display()
    )))
}

fn duration(matches: &ArgMatches, name: &str) -> Duration {
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

/// A folder of this process's own.
fn new_folder() -> Result<PathBuf, Ended> {
    let name = format!(
        "lupinrack-local-{}-{:08x}",
        std::process::id(),
        fastrand::u32(..)
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir(&folder)
        .map_err(|error| Ended::failed(format!("{}: {error}", folder.display())))?;
    Ok(folder)
}

/// Removes what a good run leaves. What cannot be removed does no harm.
fn remove(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}

/// Runs to the end, or until a signal asks this process to end: then the child processes are killed.
fn run_until_signalled(settings: &LocalSettings) -> Result<LocalReport, Ended> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Ended::failed)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(Ended::failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Ended::failed)?;
        tokio::select! {
            report = lupinrack_cluster_local::run(settings) => report.map_err(Ended::failed),
            _ = terminate.recv() => Err(Ended::failed("interrupted by a signal")),
            _ = interrupt.recv() => Err(Ended::failed("interrupted by a signal")),
        }
    })
}

fn print(report: &LocalReport, json: bool) -> Result<(), Ended> {
    if json {
        println!("{}", serde_json::to_string(report).map_err(Ended::failed)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
