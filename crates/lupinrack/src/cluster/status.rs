//! `lupinrack cluster`: prints what a process knows of the cluster.

use super::call::{exchange, Call};
use super::{address, address_argument};
use crate::command_error::CommandError;
use clap::{ArgMatches, Command};
use http::Method;
use std::io::Write;

/// The name of the command.
pub(super) const NAME: &str = "cluster";
/// The command that prints what a process knows.
const STATUS: &str = "status";
/// The command that prints the newest configuration.
const CONFIGURATION: &str = "configuration";
/// Path of a process's status, as text.
const STATUS_PATH: &str = "/lupinrack/status";
/// Path of the newest configuration, as JSON.
const CONFIGURATION_PATH: &str = "/lupinrack/config";

/// The command.
pub(super) fn command() -> Command {
    let status = Command::new(STATUS)
        .about("Print what a process knows: the view, the chain, and what belongs to its class")
        .after_help(
            "Core processes and agents answer at their control address, fronts at their readiness address.",
        );
    let configuration = Command::new(CONFIGURATION)
        .about("Print the newest configuration, as a core process answers it");
    Command::new(NAME)
        .about("Ask a process for the state of the system")
        .subcommand_required(true)
        .subcommand(status.arg(address_argument()))
        .subcommand(configuration.arg(address_argument()))
}

/// Runs one of the commands.
pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some((CONFIGURATION, matches)) => print_response(matches, CONFIGURATION_PATH),
        Some((_, matches)) => print_response(matches, STATUS_PATH),
        None => Err(CommandError::invalid_input("no command for the cluster")),
    }
}

/// Prints the response at a path.
fn print_response(matches: &ArgMatches, path: &str) -> Result<(), CommandError> {
    let address = address(matches)?;
    let call = Call {
        address,
        method: Method::GET,
        path: path.to_string(),
        host: None,
    };
    let response =
        exchange(call).map_err(|error| CommandError::failed(format!("{address}: {error}")))?;
    if !response.status.is_success() {
        return Err(CommandError::failed(format!(
            "{address}: answered {}",
            response.status
        )));
    }
    let line_end: &[u8] = if response.body.ends_with(b"\n") {
        b""
    } else {
        b"\n"
    };
    let mut output = std::io::stdout().lock();
    output
        .write_all(&response.body)
        .and_then(|()| output.write_all(line_end))
        .map_err(CommandError::failed)
}
