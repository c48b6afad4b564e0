//! `lupinrack node`: a process of the cluster scheduler, and the check of its files.

use crate::ended::Ended;
use clap::{value_parser, Arg, ArgMatches, Command};
use lupinrack_cluster_log::{MalformedLevels, LEVEL_VARIABLE};
use lupinrack_node_settings::{settings_path, SettingsFile, PATH_VARIABLE};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The name of the command.
pub(super) const NAME: &str = "node";
/// The argument for the settings file to run with.
const SETTINGS: &str = "settings";
/// The argument for the levels of the log.
const LOG: &str = "log";
/// The argument for the files to check.
const CHECK: &str = "check";

/// The command.
pub(super) fn command() -> Command {
    let file = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(PathBuf))
    };
    let settings = file(SETTINGS).value_name("FILE");
    let check = file(CHECK)
        .num_args(1..=2)
        .value_names(["SETTINGS", "CONFIGURATION"])
        .conflicts_with(SETTINGS);
    let log = Arg::new(LOG)
        .long(LOG)
        .value_name("LEVELS")
        .value_parser(value_parser!(String));
    Command::new(NAME)
        .about("Run a process of the cluster scheduler until SIGTERM")
        .arg(settings.help(format!(
            "The settings file; {PATH_VARIABLE} names it otherwise"
        )))
        .arg(log.help(format!(
            "Levels of the log, as info,chain=debug; {LEVEL_VARIABLE} holds them otherwise"
        )))
        .arg(check.help("Only check a settings file, and an operator's configuration (JSON)"))
}

/// Runs the process, or checks its files.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, Ended> {
    if let Some(files) = matches.get_many::<PathBuf>(CHECK) {
        return check(&files.collect::<Vec<_>>()).map(|()| ExitCode::SUCCESS);
    }
    let path = matches
        .get_one(SETTINGS)
        .cloned()
        .unwrap_or_else(settings_path);
    let settings = read_settings(&path).map_err(Ended::Wrong)?;
    begin_log(matches.get_one::<String>(LOG))?;
    Ok(lupinrack_cluster_node::run(settings))
}

fn begin_log(levels: Option<&String>) -> Result<(), Ended> {
    let Some(text) = levels else {
        return lupinrack_cluster_log::init_from_environment().map_err(Ended::wrong);
    };
    let levels = text
        .parse()
        .map_err(|fault: MalformedLevels| Ended::Wrong(fault.to_string()))?;
    lupinrack_cluster_log::init(levels).map_err(Ended::wrong)
}

/// Checks a settings file and, where there is a second file, a configuration; the faults of both are told.
fn check(files: &[&PathBuf]) -> Result<(), Ended> {
    let settings = files.first().map(|file| read_settings(file).map(|_| *file));
    let configuration = files
        .get(1)
        .map(|file| check_configuration(file).map(|()| *file));
    let mut faults = Vec::new();
    for result in [settings, configuration].into_iter().flatten() {
        match result {
            Ok(file) => println!("{}: good", file.display()),
            Err(why) => faults.push(why),
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(Ended::Wrong(faults.join("\n"))),
    }
}

fn read_settings(path: &Path) -> Result<SettingsFile, String> {
    SettingsFile::load(path).map_err(|error| error.message_for_file(path))
}

fn check_configuration(path: &Path) -> Result<(), String> {
    let at_fault = |why: String| format!("{}: {why}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| at_fault(error.to_string()))?;
    let checked = lupinrack_control_state::check_configuration(&text);
    checked
        .map(|_| ())
        .map_err(|fault| at_fault(fault.to_string()))
}
