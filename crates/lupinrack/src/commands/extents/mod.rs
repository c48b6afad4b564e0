//! `lupinrack extents`: the drill of the extent map, and its simulation.

pub mod drill;
pub mod sim;

use crate::command_error::CommandError;
use clap::Subcommand;

/// What can be done with the map of extents.
#[derive(Debug, Subcommand)]
pub enum Extents {
    /// Fronts and stand-in nodes on loopback, extents moving all the time, drains in between; checks every promise.
    Drill(drill::Drill),
    /// The same state machines without sockets, in simulated time: bytes and calls against the number of fronts.
    Sim(sim::Sim),
}

/// Runs the command.
pub fn run(command: &Extents) -> Result<(), CommandError> {
    match command {
        Extents::Drill(drill) => drill::run(drill),
        Extents::Sim(sim) => sim::run(sim),
    }
}
