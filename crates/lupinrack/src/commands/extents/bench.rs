use crate::cli::Ended;
use clap::Args;
#[derive(Clone, Debug, Args)]
pub struct Bench {}
pub fn run(_: &Bench) -> Result<(), Ended> {
    Ok(())
}
