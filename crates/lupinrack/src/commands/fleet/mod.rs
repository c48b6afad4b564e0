//! `lupinrack fleet`: prints what a front knows of its fleet, and runs the fleet's drill.

mod drill;
mod ls;

use crate::command_error::CommandError;
use clap::Subcommand;

/// The fronts among each other.
#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// Print what a front knows of its fleet, a member a line.
    Ls(ls::Ls),
    /// The same again and again, until it is ended.
    Watch(ls::Watch),
    /// Real processes with faults between them; every promise is checked.
    Drill(drill::Drill),
}

/// Runs the command.
pub fn run(fleet: &Fleet) -> Result<(), CommandError> {
    match fleet {
        Fleet::Ls(ls) => ls::run(ls),
        Fleet::Watch(watch) => ls::watch(watch),
        Fleet::Drill(drill) => drill::run(drill),
    }
}
