//! The platform's front: HTTP/1.1 clients in front, storage nodes behind. Modules follow the stages of a request.

pub mod accept;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod intake;
pub mod probe;
pub mod request;
pub mod shutdown;
pub mod upstream;

use crate::core::{Clock, Core};
use config::Config;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Descriptors for everything but clients: idle and busy connections to nodes, discovery, the runtime's own.
const KEPT_BACK: usize = 544;

/// Runs the front until it is told to end and all that it took is answered.
pub async fn run(config: Config) -> std::io::Result<()> {
    let clock = Clock::start();
    let epoch = clock::Epoch::fix(&clock);
    let phase = shutdown::watch()?;
    let listener = TcpListener::bind(config.listen).await?;
    let told = Arc::new(config.told);
    let (core, handle, targets) = Core::new(told.module.clone(), config.seed, clock);
    let upstream = upstream::Upstream::new(&told, clock);
    let watch = discovery::Watch { address: config.discovery, zones: told.zones.clone(), epoch };
    tokio::spawn(core.run());
    tokio::spawn(watch.run(handle.clone(), config.known));
    tokio::spawn(probe::run(handle.clone(), upstream.clone(), targets));
    tracing::info!("{} listens on {}", config.name, config.listen);
    let most = config.limits.sockets.saturating_sub(KEPT_BACK).max(config.limits.sockets / 4).max(1);
    accept::run(listener, accept::Front { core: handle, upstream, told, phase }, most).await;
    Ok(())
}
