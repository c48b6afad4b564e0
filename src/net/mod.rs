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
use crate::rsync::{self, config::RsyncConfig};
use config::Config;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Descriptors for everything but clients: idle and busy connections to nodes, discovery, the runtime's own.
const KEPT_BACK: usize = 544;

/// Runs the fronts until they are told to end and all that they took is answered.
pub async fn run(config: Config, rsync: Option<RsyncConfig>) -> std::io::Result<()> {
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
    let mut most = config.limits.sockets.saturating_sub(KEPT_BACK).max(config.limits.sockets / 4).max(1);
    let second = match rsync {
        Some(config) => {
            // A client there holds two descriptors, its own and one to a server.
            most = most.saturating_sub(2 * config.max_clients).max(1);
            let listener = TcpListener::bind(config.listen).await?;
            tracing::info!("rsync on {}", config.listen);
            let connect = Duration::from_micros(told.connect_timeout.max(1) as u64);
            let (core, phase) = (handle.clone(), phase.clone());
            let front = rsync::daemon::Front { core, config: Arc::new(config), connect, phase };
            Some(rsync::daemon::run(listener, front))
        }
        None => None,
    };
    let first = accept::run(listener, accept::Front { core: handle, upstream, told, phase }, most);
    tokio::join!(first, async {
        if let Some(second) = second {
            second.await;
        }
    });
    Ok(())
}
