//! `lupinrack cluster`: what a process knows of the system.

use super::call::{exchange, Call};
use super::{address, address_argument};
use crate::ended::Ended;
use clap::{ArgMatches, Command};
use http::Method;
use std::io::Write;

/// The name of the command.
pub(super) const NAME: &str = "cluster";
/// The command that prints what a process knows.
const STATUS: &str = "status";
/// The command that prints the newest configuration.
const CONFIGURATION: &str = "configuration";
/// Where a process answers what it knows, as text.
const STATUS_PATH: &str = "/lupinrack/status";
/// Where a process answers the newest configuration, as JSON.
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
pub(super) fn run(matches: &ArgMatches) -> Result<(), Ended> {
    match matches.subcommand() {
        Some((CONFIGURATION, matches)) => print(matches, CONFIGURATION_PATH),
        Some((_, matches)) => print(matches, STATUS_PATH),
        None => Err(Ended::wrong("no command for the cluster")),
    }
}

/// Prints the answer at a path.
fn print(matches: &ArgMatches, path: &str) -> Result<(), Ended> {
    let address = address(matches)?;
    let call = Call {
        address,
        method: Method::GET,
        path: path.to_string(),
        host: None,
    };
    let answer = exchange(call).map_err(|error| Ended::failed(format!("{address}: {error}")))?;
    if !answer.status.is_success() {
        return Err(Ended::failed(format!(
            "{address}: answered {}",
            answer.status
        )));
    }
    let end: &[u8] = if answer.body.ends_with(b"\n") {
        b""
    } else {
        b"\n"
    };
    let mut output = std::io::stdout().lock();
    output
        .write_all(&answer.body)
        .and_then(|()| output.write_all(end))
        .map_err(Ended::failed)
}
