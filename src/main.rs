//! lupinrack: reads its configuration and starts the fronts.
#![forbid(unsafe_code)]

use lupinrack::net::{self, config::Config};
use lupinrack::rsync::config::RsyncConfig;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            tracing::error!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let path = std::env::var_os("LB_CONFIG").map(PathBuf::from).ok_or("LB_CONFIG names no configuration")?;
    let config = Config::load(&path)?;
    let rsync = std::env::var_os("LUPINRACK_RSYNC").unwrap_or_else(|| "deploy/rsync.toml".into());
    let rsync = RsyncConfig::load(&PathBuf::from(rsync), &config.told)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(net::run(config, rsync))?;
    Ok(())
}
