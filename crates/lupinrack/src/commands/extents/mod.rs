//! `lupinrack extents`: the drill, the model without sockets, and the measurement of the table.

pub mod bench;
pub mod drill;
pub mod sim;

use crate::cli::Ended;
use clap::Subcommand;

/// What can be done with the map of extents.
#[derive(Debug, Subcommand)]
pub enum Extents {
    /// Fronts and stand-in nodes on loopback, extents moving all the time, drains in between; checks every promise.
    Drill(drill::Drill),
    /// The same state machines without sockets, in simulated time: bytes and calls against the number of fronts.
    Sim(sim::Sim),
    /// The table of extents against plainer ones: look-ups, updates, bytes.
    Bench(bench::Bench),
}

/// Runs one of them.
pub fn run(what: &Extents) -> Result<(), Ended> {
    match what {
        Extents::Drill(drill) => drill::run(drill),
        Extents::Sim(sim) => sim::run(sim),
        Extents::Bench(bench) => bench::run(bench),
    }
}
