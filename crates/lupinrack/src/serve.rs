//! Puts a front together from its parts and runs it: one core, the fronts that are on, the watch of the node list.

use crate::takeover::Takeover;
use lupinrack_admin::{call::Call, Answer};
use lupinrack_extent_map::{self as extents, Cache, Counters};
use lupinrack_extent_map_driver::Driver;
use lupinrack_fleet_driver::{Driver as FleetDriver, FleetHandle};
use lupinrack_fleet_membership::config::Section as FleetSection;
use lupinrack_flow_export::config::IpfixConfig;
use lupinrack_front_settings::FrontSettings;
use lupinrack_graceful_shutdown as lifecycle;
use lupinrack_graceful_shutdown::Phase;
use lupinrack_http::memory_budget::{MemoryBudget, MemoryPool};
use lupinrack_http::upstream::Upstream;
use lupinrack_http::{accept, probe};
use lupinrack_metrics::{Figures, Targets};
use lupinrack_operator_config::OperatorConfig;
use lupinrack_overload::Section as OverloadSection;
use lupinrack_peer_transport::Tag;
use lupinrack_platform::{
    clock::UnixClockOffset, config::Config, discovery::NodeListWatcher, inherited, reload,
};
use lupinrack_request_engine::{Clock, EngineHandle, EngineParts, ExtentMapChannels};
use lupinrack_rsync::{config::RsyncConfig, daemon};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// All that a front is started from, checked.
pub struct Plan {
    config: Config,
    rsync: Option<RsyncConfig>,
    ipfix: Option<IpfixConfig>,
    extents: Option<extents::config::Section>,
    fleet: Option<FleetSection>,
    overload: Option<OverloadSection>,
    inherited: Option<std::net::TcpListener>,
}

/// Why a front cannot be started from what it was given.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The platform's configuration.
    #[error("{0}")]
    Config(#[from] lupinrack_platform::config::ConfigError),
    /// The rsync front's section.
    #[error("{0}")]
    Rsync(#[from] lupinrack_rsync::config::ConfigError),
    /// The flow export's section.
    #[error("{0}")]
    Ipfix(#[from] lupinrack_flow_export::config::ConfigError),
    /// The inherited socket.
    #[error("{0}")]
    Inherited(#[from] inherited::InheritError),
}

impl Plan {
    /// Reads the platform's configuration and joins it with the operators' file. `LUPINRACK_RSYNC` and
    /// `LUPINRACK_IPFIX` name files of their own that stand in for the sections, as they always did.
    pub fn read(config: &Path, operator: OperatorConfig) -> Result<Plan, PlanError> {
        let mut plan = Plan::new(Config::load(config)?.with_environment()?, operator)?;
        plan.inherited = inherited::listener(plan.config.listen)?;
        let named = |variable: &str| std::env::var_os(variable).map(PathBuf::from);
        if let Some(file) = named("LUPINRACK_RSYNC") {
            plan.rsync = RsyncConfig::load(&file, &plan.config.settings)?;
        }
        if let Some(file) = named("LUPINRACK_IPFIX") {
            plan.ipfix = IpfixConfig::load(&file)?;
        }
        Ok(plan)
    }

    /// The same from what is in hand.
    pub fn new(config: Config, operator: OperatorConfig) -> Result<Plan, PlanError> {
        let rsync = match operator.rsync {
            Some(section) => RsyncConfig::new(section, &config.settings)?,
            None => None,
        };
        let extents = operator.extents.filter(|section| section.enabled);
        let ipfix = operator.ipfix.and_then(IpfixConfig::new);
        let fleet = operator.fleet.filter(|section| section.enabled);
        let overload = operator.overload.filter(|section| section.enabled);
        Ok(Plan {
            rsync,
            ipfix,
            extents,
            fleet,
            overload,
            config,
            inherited: None,
        })
    }
}

/// A front that serves.
pub struct Front {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Its core.
    pub core: EngineHandle,
    /// What it counts.
    pub figures: Figures,
    /// What its map of extents did so far.
    pub extents: watch::Receiver<Counters>,
    /// Ends with the front: well when it was told to end and all is answered.
    pub ended: JoinHandle<std::io::Result<()>>,
}

/// Runs a front until it is told to end by a signal and all that it took is answered.
pub fn until_told(path: PathBuf, plan: Plan) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let current = reload::ActiveConfig::new(&plan.config);
        let told = current.settings();
        let phase =
            lifecycle::watch(move || lifecycle::Plan::new(&told.borrow().policy_settings()))?;
        let hangups = reload::sighup_signals()?;
        let front = start_with(plan, phase, current.settings(), current.discovery()).await?;
        tokio::spawn(reload::reload_on_sighup(
            hangups,
            path,
            current,
            front.core.clone(),
            front.figures.clone(),
        ));
        front
            .ended
            .await
            .unwrap_or_else(|e| Err(std::io::Error::other(e)))
    })
}

/// Starts a front; it follows `phase` to its end, and the node list at `discovery`.
pub async fn start(
    plan: Plan,
    phase: watch::Receiver<Phase>,
    discovery: watch::Receiver<SocketAddr>,
) -> std::io::Result<Front> {
    let settings = watch::channel(Arc::new(plan.config.settings.clone())).1;
    start_with(plan, phase, settings, discovery).await
}

/// The same, with the settings in use followed too.
async fn start_with(
    plan: Plan,
    phase: watch::Receiver<Phase>,
    settings: watch::Receiver<Arc<FrontSettings>>,
    discovery: watch::Receiver<SocketAddr>,
) -> std::io::Result<Front> {
    let Plan {
        config,
        rsync,
        ipfix,
        extents,
        fleet,
        overload,
        inherited,
    } = plan;
    let clock = Clock::start();
    let clock_offset = UnixClockOffset::measure(&clock);
    let told = Arc::new(config.settings);
    let figures = Figures::default();
    figures.classes(told.classes.iter().map(String::as_str));
    let EngineParts {
        mut engine,
        handle,
        health_checks: targets,
    } = EngineParts::new(told.policy.clone(), config.seed, clock);
    if let Some(config) = ipfix {
        let (to, flows) = mpsc::channel(lupinrack_flow_export::MAX_QUEUED_FLOWS);
        engine = engine.export_flows(to);
        tracing::info!("flows go to {}", config.collector);
        tokio::spawn(async move {
            if let Err(why) =
                lupinrack_flow_export::run(config, clock_offset.unix_offset(), flows).await
            {
                tracing::error!("ipfix: {why}");
            }
        });
    }
    let mut counters = watch::channel(Counters::default()).1;
    let mut driver = None;
    if let Some(section) = extents {
        let cache = cache(&section, clock.now());
        let (with_map, channels) = engine.with_extent_map(cache);
        let ExtentMapChannels {
            actions,
            counters: seen,
        } = channels;
        (engine, counters) = (with_map, seen.clone());
        tracing::info!("extents from {}", section.authority);
        driver = Some(tokio::spawn(
            Driver::new(&section, handle.clone())
                .await?
                .run(actions, seen),
        ));
    }
    // A client of the rsync front holds two descriptors, its own and one to a server; the door its callers and the next.
    let callers = config
        .management
        .map_or(0, |_| lupinrack_admin::CALLERS_MOST + 1);
    let others = rsync.as_ref().map_or(0, |r| 2 * r.max_clients) + callers;
    let room = MemoryPool::new(MemoryBudget::of_memory_mb(config.limits.memory_mb));
    let upstream = Upstream::new(
        &told,
        clock,
        config.limits.max_node_connections(others),
        room.clone(),
        figures.clone(),
    );
    let core = tokio::spawn(engine.run());
    let (zones, mode_and_fronts, seed) = (
        told.zones.clone(),
        (told.policy.discovery, told.policy.hosts),
        config.seed,
    );
    let watch = NodeListWatcher {
        address: discovery,
        zones,
        clock_offset,
        mode_and_fronts,
        seed,
    };
    let watch = tokio::spawn(watch.run(handle.clone(), config.known));
    let prober = tokio::spawn(probe::run(handle.clone(), upstream.clone(), targets));

    let most = config.limits.max_client_connections(others);
    let connect = Duration::from_micros(told.connect_timeout.max(1) as u64);
    let second = second_front(rsync, &handle, connect, &phase).await?;
    let shared = inherited.is_some();
    // Another process may be this front too: what they use together is decided before this one takes anybody.
    let takeover = match shared {
        true => Takeover::begin(handle.clone())
            .await
            .map(|t| tokio::spawn(t.run(phase.clone()))),
        false => None,
    };
    let mut as_one = None;
    let (membership, fleet) = match fleet {
        Some(section) => {
            let (mut driver, fleet) =
                FleetDriver::new(section, handle.clone(), shared).map_err(std::io::Error::other)?;
            if let Some(section) = overload {
                let machine = driver.attach(Tag::OVERLOAD);
                as_one = Some(tokio::spawn(lupinrack_overload_driver::run(
                    section,
                    handle.clone(),
                    machine,
                )));
            }
            let socket = driver.bind().await.map_err(std::io::Error::other)?;
            (
                Some(tokio::spawn(driver.run(socket, phase.clone()))),
                Some(fleet),
            )
        }
        None => (None, None),
    };
    let listener = match inherited {
        Some(socket) => TcpListener::from_std(socket)?,
        None => TcpListener::bind(config.listen).await?,
    };
    let listen = listener.local_addr()?;
    let door = match config.management {
        Some(address) => Some(
            door(
                address,
                handle.clone(),
                figures.clone(),
                phase.clone(),
                fleet,
            )
            .await?,
        ),
        None => None,
    };
    tracing::info!(
        "{} listens on {listen}{}",
        config.name,
        if shared { ", inherited" } else { "" }
    );
    // Another process takes from an inherited socket: this one stops at once, not when it must.
    let last = if shared {
        Phase::NotReady
    } else {
        Phase::Draining
    };
    let front = accept::Front {
        engine: handle.clone(),
        upstream,
        settings,
        phase,
        ids: Default::default(),
        memory: room,
        figures: figures.clone(),
        close_phase: last,
    };
    let ended = tokio::spawn(async move {
        let fronts = async {
            tokio::join!(accept::run(listener, front, most), async {
                if let Some(second) = second {
                    second.await;
                }
            })
        };
        let ended = tokio::select! {
            _ = fronts => Ok(()),
            // Without the core nothing would ever be answered: better a crash that the platform sees.
            _ = core => Err(std::io::Error::other("the core ended")),
        };
        watch.abort();
        driver.inspect(JoinHandle::abort);
        prober.abort();
        door.inspect(JoinHandle::abort);
        takeover.inspect(JoinHandle::abort);
        membership.inspect(JoinHandle::abort);
        as_one.inspect(JoinHandle::abort);
        ended
    });
    Ok(Front {
        listen,
        core: handle,
        figures,
        extents: counters,
        ended,
    })
}

/// Opens the operators' door. An address that cannot be had stops the start.
async fn door(
    address: SocketAddr,
    core: EngineHandle,
    figures: Figures,
    phase: watch::Receiver<Phase>,
    fleet: Option<FleetHandle>,
) -> std::io::Result<JoinHandle<()>> {
    let why =
        |e: std::io::Error| std::io::Error::new(e.kind(), format!("management on {address}: {e}"));
    let listener = TcpListener::bind(address).await.map_err(why)?;
    tracing::info!("management on {}", listener.local_addr()?);
    Ok(tokio::spawn(lupinrack_admin::run(listener, move |call| {
        let (core, figures, fleet, phase) = (
            core.clone(),
            figures.clone(),
            fleet.clone(),
            *phase.borrow(),
        );
        async move {
            match (call, phase) {
                (Call::Status, Phase::Ready) => Answer::Yes("ready"),
                (Call::Status, _) => Answer::No("ending".into()),
                (Call::Stats, _) => match core.count_nodes().await {
                    Some(nodes) => {
                        let mut text = figures.text(Targets {
                            listed: nodes.listed,
                            disabled: nodes.avoided,
                        });
                        if let Some(report) = fleet_report(&fleet).await {
                            text += &report.metrics();
                        }
                        Answer::Lines(text)
                    }
                    None => Answer::No("the core has ended".into()),
                },
                (Call::Fleet, _) => match fleet_report(&fleet)
                    .await
                    .map(|r| serde_json::to_string(&r))
                {
                    Some(Ok(line)) => Answer::Lines(line + "\n"),
                    Some(Err(why)) => Answer::No(why.to_string()),
                    None if fleet.is_none() => Answer::No("[fleet] is off".into()),
                    None => Answer::No("no place in the fleet yet".into()),
                },
            }
        }
    })))
}

/// What the fleet's driver tells, where there is one; it may wait for its address, and the door may not wait for it.
async fn fleet_report(fleet: &Option<FleetHandle>) -> Option<lupinrack_fleet_driver::Report> {
    let report = fleet.as_ref()?.report();
    tokio::time::timeout(Duration::from_millis(300), report)
        .await
        .ok()?
}

/// The map as its file has it; one that cannot be used costs a fetch of what is needed, nothing more.
fn cache(section: &extents::config::Section, now: lupinrack_policy::Micros) -> Cache {
    let mut cache = Cache::new(section.clone(), now);
    if let Some(file) = &section.snapshot {
        let restored = match lupinrack_extent_map_driver::load(file) {
            Ok(Some(bytes)) => cache.restore(now, &bytes).map_err(|e| e.to_string()),
            Ok(None) => Ok(()),
            Err(e) => Err(e.to_string()),
        };
        match restored {
            Ok(()) => tracing::info!(
                "extents: {} volumes from {}",
                cache.map().volumes(),
                file.display()
            ),
            Err(why) => tracing::warn!("extents: {} is left aside: {why}", file.display()),
        }
    }
    cache
}

async fn second_front(
    config: Option<RsyncConfig>,
    core: &EngineHandle,
    connect: Duration,
    phase: &watch::Receiver<Phase>,
) -> std::io::Result<Option<impl Future<Output = ()>>> {
    let Some(config) = config else {
        return Ok(None);
    };
    let listener = TcpListener::bind(config.listen).await?;
    tracing::info!("rsync on {}", listener.local_addr()?);
    let (core, config, phase) = (core.clone(), Arc::new(config), phase.clone());
    Ok(Some(daemon::run(
        listener,
        daemon::Front {
            engine: core,
            config,
            connect_timeout: connect,
            phase,
        },
    )))
}
