//! `lupinrack job`: a job's state, and its cancellation.

use super::call::{exchange, Answer, Call};
use super::{address, address_argument};
use crate::ended::Ended;
use clap::{Arg, ArgMatches, Command};
use http::{Method, StatusCode};
use lupinrack_cluster_json::{parse_job_state, JobTarget};

/// The name of the command.
pub(super) const NAME: &str = "job";
/// The command that shows a job.
const SHOW: &str = "show";
/// The command that cancels a job.
const CANCEL: &str = "cancel";
/// The argument for the host of the job's queue.
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
pub(super) fn run(matches: &ArgMatches) -> Result<(), Ended> {
    match matches.subcommand() {
        Some((CANCEL, matches)) => cancel(matches),
        Some((_, matches)) => show(matches),
        None => Err(Ended::wrong("no command for the job")),
    }
}

fn show(matches: &ArgMatches) -> Result<(), Ended> {
    let answer = answered(matches, Method::GET)?;
    let state = parse_job_state(&answer.body).map_err(Ended::failed)?;
    println!("{}", state.as_str());
    Ok(())
}

fn cancel(matches: &ArgMatches) -> Result<(), Ended> {
    answered(matches, Method::DELETE)?;
    println!("cancelled");
    Ok(())
}

/// Makes the call and demands success.
fn answered(matches: &ArgMatches, method: Method) -> Result<Answer, Ended> {
    let (host, path) = (text(matches, HOST)?, text(matches, PATH)?);
    if JobTarget::from_path(&path).job.is_none() {
        return Err(Ended::wrong(format!(
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
    let answer = exchange(call).map_err(|error| Ended::failed(format!("{address}: {error}")))?;
    match answer.status {
        StatusCode::GONE => Err(Ended::failed(format!("{path}: there is no such job"))),
        status if status.is_success() => Ok(answer),
        status => Err(Ended::failed(format!("{address}: answered {status}"))),
    }
}

fn text(matches: &ArgMatches, name: &str) -> Result<String, Ended> {
    matches
        .get_one::<String>(name)
        .cloned()
        .ok_or_else(|| Ended::wrong(format!("no {name}")))
}
