//! `lupinrack demo`: a process of this program and mock servers on loopback, under a short mixed load.

use crate::command_error::CommandError;
pub use lupinrack_demo::Demo;

/// Runs the demo and prints its report.
pub fn run(demo: &Demo) -> Result<(), CommandError> {
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    let report = runtime
        .block_on(lupinrack_demo::run(demo, program))
        .map_err(CommandError::failed)?;
    if demo.json {
        println!(
            "{}",
            serde_json::to_string(&report).map_err(CommandError::failed)?
        );
    } else {
        print!("{}", report.table());
    }
    match report.tally.lost + report.duplicates {
        0 => Ok(()),
        _ => Err(CommandError::failed(format!(
            "{} lost, {} duplicated",
            report.tally.lost, report.duplicates
        ))),
    }
}
