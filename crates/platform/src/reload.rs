//! A new configuration while the front runs: `SIGHUP` has the file read again.
//!
//! What can change in service is where discovery listens. Everything else (settings, limits, addresses of its own)
//! was told to the module and the sockets at the start and waits for a restart.

use crate::config::Config;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// Follows the signal from here on: before this, it would end the program. Brings the address of discovery.
pub fn watch(path: PathBuf, discovery: SocketAddr) -> std::io::Result<watch::Receiver<SocketAddr>> {
    let hangups = signal(SignalKind::hangup())?;
    let (tell, address) = watch::channel(discovery);
    tokio::spawn(follow(hangups, path, tell));
    Ok(address)
}

async fn follow(mut hangups: Signal, path: PathBuf, tell: watch::Sender<SocketAddr>) {
    while hangups.recv().await.is_some() {
        reread(&path, &tell);
    }
}

/// Takes over what the file says now. One that cannot be used changes nothing: a bad file must not cost a front
/// that serves.
pub fn reread(path: &Path, tell: &watch::Sender<SocketAddr>) {
    match Config::load(path) {
        Ok(config) => {
            let moved =
                tell.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            tracing::info!("configuration read again: discovery at {}, new: {moved}", config.discovery);
        }
        Err(why) => tracing::error!("the configuration stays as it was: {why}"),
    }
}
