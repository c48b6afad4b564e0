//! `lupinrack node`: runs a process of the cluster scheduler, or checks its files.

use crate::command_error::CommandError;
use clap::{value_parser, Arg, ArgMatches, Command};
use lupinrack_cluster_log::{MalformedLevels, LEVEL_VARIABLE};
use lupinrack_node_settings::{settings_path, SettingsFile, PATH_VARIABLE};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The name of the command.
pub(super) const NAME: &str = "node";
/// The argument for the settings file to run with.
const SETTINGS: &str = "settings";
/// The argument for the log levels.
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
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    if let Some(files) = matches.get_many::<PathBuf>(CHECK) {
        return check(&files.collect::<Vec<_>>()).map(|()| ExitCode::SUCCESS);
    }
    let path = matches
        .get_one(SETTINGS)
        .cloned()
        .unwrap_or_else(settings_path);
    let settings = read_settings(&path).map_err(CommandError::InvalidInput)?;
    start_log(matches.get_one::<String>(LOG))?;
    Ok(lupinrack_cluster_node::run(settings))
}

fn start_log(levels: Option<&String>) -> Result<(), CommandError> {
    let Some(text) = levels else {
        return lupinrack_cluster_log::init_from_environment().map_err(CommandError::invalid_input);
    };
    let levels = text
        .parse()
        .map_err(|error: MalformedLevels| CommandError::InvalidInput(error.to_string()))?;
    lupinrack_cluster_log::init(levels).map_err(CommandError::invalid_input)
}

/// Checks a settings file and, if a second file is given, a configuration. Reports the errors of both.
fn check(files: &[&PathBuf]) -> Result<(), CommandError> {
    let settings = files.first().map(|file| read_settings(file).map(|_| *file));
    let configuration = files
        .get(1)
        .map(|file| check_configuration(file).map(|()| *file));
    let mut errors = Vec::new();
    for result in [settings, configuration].into_iter().flatten() {
        match result {
            Ok(file) => println!("{}: good", file.display()),
            Err(message) => errors.push(message),
        }
    }
    match errors.is_empty() {
        true => Ok(()),
        false => Err(CommandError::InvalidInput(errors.join("\n"))),
    }
}

fn read_settings(path: &Path) -> Result<SettingsFile, String> {
    SettingsFile::load(path).map_err(|error| error.message_for_file(path))
}

fn check_configuration(path: &Path) -> Result<(), String> {
    let with_path = |message: String| format!("{}: {message}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
    let checked = lupinrack_control_state::check_configuration(&text);
    checked
        .map(|_| ())
        .map_err(|error| with_path(error.to_string()))
}
