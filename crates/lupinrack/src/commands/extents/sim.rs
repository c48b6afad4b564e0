use crate::cli::Ended;
use clap::Args;
#[derive(Clone, Debug, Args)]
pub struct Sim {}
pub fn run(_: &Sim) -> Result<(), Ended> {
    Ok(())
}
