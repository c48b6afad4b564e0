//! `lupinrack extents drill`: runs several processes of this program while extents move continuously.

use crate::command_error::CommandError;
pub use lupinrack_extent_map_drill::Drill;

/// Runs the drill and prints its report.
pub fn run(drill: &Drill) -> Result<(), CommandError> {
    drill.check().map_err(CommandError::invalid_input)?;
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    let report = runtime
        .block_on(drill.run(&program))
        .map_err(CommandError::failed)?;
    match drill.json {
        true => println!(
            "{}",
            serde_json::to_string(&report).map_err(CommandError::failed)?
        ),
        false => print!("{}", report.table()),
    }
    match report.broken() {
        0 => Ok(()),
        _ => Err(CommandError::failed(
            "a promise was broken: lost, duplicates and drain_late must be 0",
        )),
    }
}
