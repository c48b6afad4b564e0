//! The commands of the cluster scheduler: `node`, `job`, `cluster` and `local`.

mod call;
mod job;
mod local;
mod node;
mod status;

use crate::command_error::CommandError;
use clap::{Arg, ArgMatches, Command};
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::process::ExitCode;

/// The name of the argument for a process's address.
const AT: &str = "at";

/// The cluster commands.
fn commands() -> [Command; 4] {
    [
        node::command(),
        job::command(),
        status::command(),
        local::command(),
    ]
}

/// Adds the cluster commands to the program's command.
pub fn add_to(program: Command) -> Command {
    program.subcommands(commands())
}

/// Runs the process's command if `name`, its first argument, is a cluster command. Returns `None` otherwise.
pub fn run_by_name(name: &OsStr) -> Option<ExitCode> {
    let known = [node::NAME, job::NAME, status::NAME, local::NAME]
        .iter()
        .any(|known| name == OsStr::new(known));
    known
        .then(|| run(&add_to(Command::new("lupinrack")).get_matches()))
        .flatten()
}

/// Runs the matched command. Returns `None` if it is not a cluster command.
pub fn run(matches: &ArgMatches) -> Option<ExitCode> {
    let result = match matches.subcommand()? {
        (node::NAME, matches) => node::run(matches),
        (job::NAME, matches) => job::run(matches).map(|()| ExitCode::SUCCESS),
        (status::NAME, matches) => status::run(matches).map(|()| ExitCode::SUCCESS),
        (local::NAME, matches) => local::run(matches),
        _ => return None,
    };
    Some(result.unwrap_or_else(CommandError::report))
}

/// The argument for the address of the process to call.
fn address_argument() -> Arg {
    let argument = Arg::new(AT).long(AT).value_name("ADDRESS").required(true);
    argument
        .value_parser(clap::value_parser!(SocketAddr))
        .help("Address and port of the process that is asked")
}

/// The address of the process to call.
fn address(matches: &ArgMatches) -> Result<SocketAddr, CommandError> {
    matches
        .get_one(AT)
        .copied()
        .ok_or_else(|| CommandError::invalid_input("no address: --at names it"))
}
