//! lupinrack: reads its configuration and starts the fronts on one core.
#![forbid(unsafe_code)]

use lupinrack::core::{Clock, Core};
use lupinrack::ipfix::{self, config::IpfixConfig};
use lupinrack::net::upstream::Upstream;
use lupinrack::net::{accept, clock::Epoch, config::Config, discovery::Watch, probe, reload, shutdown};
use lupinrack::rsync::{config::RsyncConfig, daemon};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

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
    let named = |variable: &str| std::env::var_os(variable).map(PathBuf::from);
    let path = named("LB_CONFIG").ok_or("LB_CONFIG names no configuration")?;
    let config = Config::load(&path)?;
    let rsync = named("LUPINRACK_RSYNC").unwrap_or_else(|| "deploy/rsync.toml".into());
    let rsync = RsyncConfig::load(&rsync, &config.told)?;
    let ipfix = named("LUPINRACK_IPFIX").unwrap_or_else(|| "deploy/ipfix.toml".into());
    let ipfix = IpfixConfig::load(&ipfix)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(run(path, config, rsync, ipfix))?)
}

/// Runs the fronts until they are told to end and all that they took is answered.
async fn run(
    path: PathBuf,
    config: Config,
    rsync: Option<RsyncConfig>,
    ipfix: Option<IpfixConfig>,
) -> std::io::Result<()> {
    let clock = Clock::start();
    let epoch = Epoch::fix(&clock);
    let phase = shutdown::watch(shutdown::Plan::new(&config.told.module))?;
    let discovery = reload::watch(path, config.discovery)?;
    let told = Arc::new(config.told);
    let (mut core, handle, targets) = Core::new(told.module.clone(), config.seed, clock);
    if let Some(config) = ipfix {
        let (to, flows) = mpsc::channel(ipfix::WAITING_MOST);
        core = core.tell_flows(to);
        tracing::info!("flows go to {}", config.collector);
        tokio::spawn(async move {
            if let Err(why) = ipfix::run(config, epoch.unix_offset(), flows).await {
                tracing::error!("ipfix: {why}");
            }
        });
    }
    // A client of the rsync front holds two descriptors, its own and one to a server.
    let second = rsync.as_ref().map_or(0, |r| 2 * r.max_clients);
    let upstream = Upstream::new(&told, clock, config.limits.nodes(second));
    let core = tokio::spawn(core.run());
    let watch = Watch { address: discovery, zones: told.zones.clone(), epoch };
    tokio::spawn(watch.run(handle.clone(), config.known));
    tokio::spawn(probe::run(handle.clone(), upstream.clone(), targets));

    let most = config.limits.clients(second);
    let connect = Duration::from_micros(told.connect_timeout.max(1) as u64);
    let second = match rsync {
        Some(config) => {
            let listener = TcpListener::bind(config.listen).await?;
            tracing::info!("rsync on {}", listener.local_addr()?);
            let (core, config, phase) = (handle.clone(), Arc::new(config), phase.clone());
            Some(daemon::run(listener, daemon::Front { core, config, connect, phase }))
        }
        None => None,
    };
    let listener = TcpListener::bind(config.listen).await?;
    tracing::info!("{} listens on {}", config.name, listener.local_addr()?);
    let first = accept::run(
        listener,
        accept::Front { core: handle, upstream, told, phase, ids: Default::default() },
        most,
    );
    let fronts = async {
        tokio::join!(first, async {
            if let Some(second) = second {
                second.await;
            }
        })
    };
    tokio::select! {
        _ = fronts => Ok(()),
        // Without the core nothing would ever be answered: better a crash that the platform sees.
        _ = core => Err(std::io::Error::other("the core ended")),
    }
}
