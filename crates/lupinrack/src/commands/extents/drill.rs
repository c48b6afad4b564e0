//! `lupinrack extents drill`: several processes of this program, and extents that move all the time.

use crate::ended::Ended;
pub use lupinrack_extent_map_drill::Drill;

/// Plays the drill and prints what came of it.
pub fn run(drill: &Drill) -> Result<(), Ended> {
    drill.check().map_err(Ended::wrong)?;
    let program = std::env::current_exe().map_err(Ended::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Ended::failed)?;
    let report = runtime
        .block_on(drill.run(&program))
        .map_err(Ended::failed)?;
    match drill.json {
        true => println!("{}", serde_json::to_string(&report).map_err(Ended::failed)?),
        false => print!("{}", report.table()),
    }
    match report.broken() {
        0 => Ok(()),
        _ => Err(Ended::failed(
            "a promise was broken: lost, duplicates and drain_late must be 0",
        )),
    }
}
