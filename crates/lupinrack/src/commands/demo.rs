//! `lupinrack demo`: a process of this program among stand-ins on loopback, under a short mixed load.

use crate::ended::Ended;
use lupinrack_demo::play;
pub use lupinrack_demo::Demo;

/// Plays the demo and prints what came of it.
pub fn run(demo: &Demo) -> Result<(), Ended> {
    let program = std::env::current_exe().map_err(Ended::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Ended::failed)?;
    let figures = runtime
        .block_on(play(demo, program))
        .map_err(Ended::failed)?;
    if demo.json {
        println!(
            "{}",
            serde_json::to_string(&figures).map_err(Ended::failed)?
        );
    } else {
        print!("{}", figures.table());
    }
    match figures.tally.lost + figures.duplicates {
        0 => Ok(()),
        _ => Err(Ended::failed(format!(
            "{} lost, {} duplicated",
            figures.tally.lost, figures.duplicates
        ))),
    }
}
