//! lupinrack: the command line. `lupinrack serve`, or no command at all, runs a front; `lupinrack node` runs a process of
//! the cluster scheduler.

use std::process::ExitCode;

fn main() -> ExitCode {
    lupinrack::cli::run_from_arguments()
}
