//! `lupinrack job`: shows a job's state or cancels it.

use super::call::{exchange, Call, CallResponse};
use super::{address, address_argument};
use crate::command_error::CommandError;
use clap::{Arg, ArgMatches, Command};
use http::{Method, StatusCode};
use lupinrack_cluster_json::{parse_job_state, JobTarget};

/// The name of the command.
pub(super) const NAME: &str = "job";
/// The command that shows a job.
const SHOW: &str = "show";
/// The command that cancels a job.
const CANCEL: &str = "cancel";
/// The argument for the host name of the job's queue.
const HOST: &str = "host";
/// The argument for the job's path.
const PATH: &str = "path";

/// The command.
pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Ask for a job, or cancel it")
        .subcommand_required(true)
        .subcommand(with_arguments(
            Command::new(SHOW).about("Print a job's state"),
        ))
        .subcommand(with_arguments(Command::new(CANCEL).about("Cancel a job")))
}

fn with_arguments(command: Command) -> Command {
    let host = Arg::new(HOST).long(HOST).value_name("HOST").required(true);
    let path = Arg::new(PATH).value_name("PATH").required(true);
    command.arg(address_argument()).arg(host.help("The host that the job's queue serves")).arg(
        path.help(
            "The path prefix of the queue and the job's sixteen digits, as in /orders/0123456789abcdef",
        ),
    )
}

/// Runs one of the commands.
pub(super) fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some((CANCEL, matches)) => cancel(matches),
        Some((_, matches)) => show(matches),
        None => Err(CommandError::invalid_input("no command for the job")),
    }
}

fn show(matches: &ArgMatches) -> Result<(), CommandError> {
    let response = call_job(matches, Method::GET)?;
    let state = parse_job_state(&response.body).map_err(CommandError::failed)?;
    println!("{}", state.as_str());
    Ok(())
}

fn cancel(matches: &ArgMatches) -> Result<(), CommandError> {
    call_job(matches, Method::DELETE)?;
    println!("cancelled");
    Ok(())
}

/// Sends the call and returns the response if its status is a success.
fn call_job(matches: &ArgMatches, method: Method) -> Result<CallResponse, CommandError> {
    let (host, path) = (required_text(matches, HOST)?, required_text(matches, PATH)?);
    if JobTarget::from_path(&path).job.is_none() {
        return Err(CommandError::invalid_input(format!(
            "{path}: does not end in the sixteen digits of a job"
        )));
    }
    let address = address(matches)?;
    let call = Call {
        address,
        method,
        path: path.clone(),
        host: Some(host),
    };
    let response =
        exchange(call).map_err(|error| CommandError::failed(format!("{address}: {error}")))?;
    match response.status {
        StatusCode::GONE => Err(CommandError::failed(format!(
            "{path}: there is no such job"
        ))),
        status if status.is_success() => Ok(response),
        status => Err(CommandError::failed(format!(
            "{address}: answered {status}"
        ))),
    }
}

fn required_text(matches: &ArgMatches, name: &str) -> Result<String, CommandError> {
    matches
        .get_one::<String>(name)
        .cloned()
        .ok_or_else(|| CommandError::invalid_input(format!("no {name}")))
}
