//! The commands of the cluster scheduler: `node`, `job`, `cluster` and `local`.

mod call;
mod job;
mod local;
mod node;
mod status;

use crate::ended::Ended;
use clap::{Arg, ArgMatches, Command};
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::process::ExitCode;

/// The argument that names a process's address.
const AT: &str = "at";

/// The commands.
fn commands() -> [Command; 4] {
    [
        node::command(),
        job::command(),
        status::command(),
        local::command(),
    ]
}

/// Adds the commands to the program's.
pub fn add_to(program: Command) -> Command {
    program.subcommands(commands())
}

/// Runs the process's command, where its first argument is the name of one of these; none for another name.
pub fn run_by_name(name: &OsStr) -> Option<ExitCode> {
    let known = [node::NAME, job::NAME, status::NAME, local::NAME]
        .iter()
        .any(|known| name == OsStr::new(known));
    known
        .then(|| run(&add_to(Command::new("lupinrack")).get_matches()))
        .flatten()
}

/// Runs the command that was matched; none where it is not one of these.
pub fn run(matches: &ArgMatches) -> Option<ExitCode> {
    let ended = match matches.subcommand()? {
        (node::NAME, matches) => node::run(matches),
        (job::NAME, matches) => job::run(matches).map(|()| ExitCode::SUCCESS),
        (status::NAME, matches) => status::run(matches).map(|()| ExitCode::SUCCESS),
        (local::NAME, matches) => local::run(matches),
        _ => return None,
    };
    Some(ended.unwrap_or_else(Ended::report))
}

/// The argument for the address of the process that is asked.
fn address_argument() -> Arg {
    let argument = Arg::new(AT).long(AT).value_name("ADDRESS").required(true);
    argument
        .value_parser(clap::value_parser!(SocketAddr))
        .help("Address and port of the process that is asked")
}

/// The address of the process that is asked.
fn address(matches: &ArgMatches) -> Result<SocketAddr, Ended> {
    matches
        .get_one(AT)
        .copied()
        .ok_or_else(|| Ended::wrong("no address: --at names it"))
}
