//! lupinrack: the command line. `lupinrack serve`, or no command at all, runs a front.

use clap::Parser;
use lupinrack::cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    lupinrack::cli::run(Cli::parse())
}
