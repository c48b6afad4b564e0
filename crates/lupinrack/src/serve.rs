//! Assembles a front from its parts and runs it: the request engine, the enabled protocol fronts, and the watcher of the
//! node list.

use crate::hot_restart::HotRestart;
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
use lupinrack_metrics::{Metrics, NodeCounts};
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

/// The checked configuration that a front is started from.
pub struct Plan {
    config: Config,
    rsync: Option<RsyncConfig>,
    ipfix: Option<IpfixConfig>,
    extents: Option<extents::config::Section>,
    fleet: Option<FleetSection>,
    overload: Option<OverloadSection>,
    inherited: Option<std::net::TcpListener>,
}

/// Why a front cannot be started from its configuration.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The platform's configuration is invalid.
    #[error("{0}")]
    Config(#[from] lupinrack_platform::config::ConfigError),
    /// The rsync front's section is invalid.
    #[error("{0}")]
    Rsync(#[from] lupinrack_rsync::config::ConfigError),
    /// The flow export's section is invalid.
    #[error("{0}")]
    Ipfix(#[from] lupinrack_flow_export::config::ConfigError),
    /// The inherited socket cannot be used.
    #[error("{0}")]
    Inherited(#[from] inherited::InheritError),
}

impl Plan {
    /// Reads the platform's configuration and combines it with the operators' file. The files that `LUPINRACK_RSYNC` and
    /// `LUPINRACK_IPFIX` name replace the sections of the operators' file.
    pub fn read(config: &Path, operator: OperatorConfig) -> Result<Plan, PlanError> {
        let mut plan = Plan::new(Config::load(config)?.with_environment()?, operator)?;
        plan.inherited = inherited::listener(plan.config.listen)?;
        let path_from = |variable: &str| std::env::var_os(variable).map(PathBuf::from);
        if let Some(file) = path_from("LUPINRACK_RSYNC") {
            plan.rsync = RsyncConfig::load(&file, &plan.config.settings)?;
        }
        if let Some(file) = path_from("LUPINRACK_IPFIX") {
            plan.ipfix = IpfixConfig::load(&file)?;
        }
        Ok(plan)
    }

    /// Builds the plan from configurations that are already loaded, without environment variables or an inherited socket.
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

/// A running front.
pub struct Front {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Its request engine.
    pub engine: EngineHandle,
    /// Its request metrics.
    pub metrics: Metrics,
    /// The counters of its extent map.
    pub extent_counters: watch::Receiver<Counters>,
    /// Completes when the front ends: with `Ok` after a graceful shutdown in which all requests were answered.
    pub task: JoinHandle<std::io::Result<()>>,
}

/// Runs a front until a signal asks it to stop and all accepted requests are answered.
pub fn run_until_signal(path: PathBuf, plan: Plan) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let active_config = reload::ActiveConfig::new(&plan.config);
        let settings = active_config.settings();
        let phase =
            lifecycle::watch(move || lifecycle::Plan::new(&settings.borrow().policy_settings()))?;
        let hangups = reload::sighup_signals()?;
        let front = start_with(
            plan,
            phase,
            active_config.settings(),
            active_config.discovery(),
        )
        .await?;
        tokio::spawn(reload::reload_on_sighup(
            hangups,
            path,
            active_config,
            front.engine.clone(),
            front.metrics.clone(),
        ));
        front
            .task
            .await
            .unwrap_or_else(|e| Err(std::io::Error::other(e)))
    })
}

/// Starts a front that follows `phase` until shutdown and polls the node list at `discovery`.
pub async fn start(
    plan: Plan,
    phase: watch::Receiver<Phase>,
    discovery: watch::Receiver<SocketAddr>,
) -> std::io::Result<Front> {
    let settings = watch::channel(Arc::new(plan.config.settings.clone())).1;
    start_with(plan, phase, settings, discovery).await
}

/// Like [`start`], and applies changes of `settings`.
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
    let initial_settings = Arc::new(config.settings);
    let metrics = Metrics::default();
    metrics.add_classes(initial_settings.classes.iter().map(String::as_str));
    let EngineParts {
        mut engine,
        handle,
        health_checks,
    } = EngineParts::new(initial_settings.policy.clone(), config.seed, clock);
    if let Some(config) = ipfix {
        let (flow_sender, flows) = mpsc::channel(lupinrack_flow_export::MAX_QUEUED_FLOWS);
        engine = engine.export_flows(flow_sender);
        tracing::info!("exporting flows to {}", config.collector);
        tokio::spawn(async move {
            if let Err(error) =
                lupinrack_flow_export::run(config, clock_offset.unix_offset(), flows).await
            {
                tracing::error!("flow export failed: {error}");
            }
        });
    }
    let mut counters = watch::channel(Counters::default()).1;
    let mut extent_driver = None;
    if let Some(section) = extents {
        let cache = load_extent_map(&section, clock.now());
        let (with_map, channels) = engine.with_extent_map(cache);
        let ExtentMapChannels {
            actions,
            counters: counters_receiver,
        } = channels;
        (engine, counters) = (with_map, counters_receiver.clone());
        tracing::info!("extent map from the authority at {}", section.authority);
        extent_driver = Some(tokio::spawn(
            Driver::new(&section, handle.clone())
                .await?
                .run(actions, counters_receiver),
        ));
    }
    // File descriptors: an rsync client uses two, its own and one to a server. The admin interface uses one per connection
    // and one for the connection that is accepted next.
    let admin_descriptors = config
        .management
        .map_or(0, |_| lupinrack_admin::MAX_CONNECTIONS + 1);
    let other_descriptors = rsync.as_ref().map_or(0, |r| 2 * r.max_clients) + admin_descriptors;
    let memory_pool = MemoryPool::new(MemoryBudget::of_memory_mb(config.limits.memory_mb));
    let upstream = Upstream::new(
        &initial_settings,
        clock,
        config.limits.max_node_connections(other_descriptors),
        memory_pool.clone(),
        metrics.clone(),
    );
    let engine_task = tokio::spawn(engine.run());
    let (zones, mode_and_fronts, seed) = (
        initial_settings.zones.clone(),
        (
            initial_settings.policy.discovery,
            initial_settings.policy.hosts,
        ),
        config.seed,
    );
    let node_list_watcher = NodeListWatcher {
        address: discovery,
        zones,
        clock_offset,
        mode_and_fronts,
        seed,
    };
    let node_list_watcher = tokio::spawn(node_list_watcher.run(handle.clone(), config.known));
    let health_prober = tokio::spawn(probe::run(handle.clone(), upstream.clone(), health_checks));

    let max_client_connections = config.limits.max_client_connections(other_descriptors);
    let connect_timeout = Duration::from_micros(initial_settings.connect_timeout.max(1) as u64);
    let rsync_front = start_rsync_front(rsync, &handle, connect_timeout, &phase).await?;
    let listener_inherited = inherited.is_some();
    // During an upgrade another process serves the same front: agree on shares of the limits before accepting clients.
    let hot_restart = match listener_inherited {
        true => HotRestart::start(handle.clone())
            .await
            .map(|t| tokio::spawn(t.run(phase.clone()))),
        false => None,
    };
    let mut overload_driver = None;
    let (membership, fleet) = match fleet {
        Some(section) => {
            let (mut fleet_driver, fleet) =
                FleetDriver::new(section, handle.clone(), listener_inherited)
                    .map_err(std::io::Error::other)?;
            if let Some(section) = overload {
                let overload_protocol = fleet_driver.attach(Tag::OVERLOAD);
                overload_driver = Some(tokio::spawn(lupinrack_overload_driver::run(
                    section,
                    handle.clone(),
                    overload_protocol,
                )));
            }
            let socket = fleet_driver.bind().await.map_err(std::io::Error::other)?;
            (
                Some(tokio::spawn(fleet_driver.run(socket, phase.clone()))),
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
    let admin = match config.management {
        Some(address) => Some(
            start_admin(
                address,
                handle.clone(),
                metrics.clone(),
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
        if listener_inherited {
            ", inherited"
        } else {
            ""
        }
    );
    // The successor accepts from the inherited socket too, so this process stops accepting as soon as its shutdown starts,
    // not only when the listener has to close.
    let close_phase = if listener_inherited {
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
        memory: memory_pool,
        metrics: metrics.clone(),
        close_phase,
    };
    let task = tokio::spawn(async move {
        let fronts = async {
            tokio::join!(
                accept::run(listener, front, max_client_connections),
                async {
                    if let Some(rsync_front) = rsync_front {
                        rsync_front.await;
                    }
                }
            )
        };
        let result = tokio::select! {
            _ = fronts => Ok(()),
            // Without the engine no request would be answered: exit with an error that the platform sees.
            _ = engine_task => Err(std::io::Error::other("the request engine ended unexpectedly")),
        };
        node_list_watcher.abort();
        extent_driver.inspect(JoinHandle::abort);
        health_prober.abort();
        admin.inspect(JoinHandle::abort);
        hot_restart.inspect(JoinHandle::abort);
        membership.inspect(JoinHandle::abort);
        overload_driver.inspect(JoinHandle::abort);
        result
    });
    Ok(Front {
        listen,
        engine: handle,
        metrics,
        extent_counters: counters,
        task,
    })
}

/// Starts the admin interface. If its address cannot be bound, the front does not start.
async fn start_admin(
    address: SocketAddr,
    engine: EngineHandle,
    metrics: Metrics,
    phase: watch::Receiver<Phase>,
    fleet: Option<FleetHandle>,
) -> std::io::Result<JoinHandle<()>> {
    let with_address =
        |e: std::io::Error| std::io::Error::new(e.kind(), format!("management on {address}: {e}"));
    let listener = TcpListener::bind(address).await.map_err(with_address)?;
    tracing::info!("management on {}", listener.local_addr()?);
    Ok(tokio::spawn(lupinrack_admin::run(listener, move |call| {
        let (engine, metrics, fleet, phase) = (
            engine.clone(),
            metrics.clone(),
            fleet.clone(),
            *phase.borrow(),
        );
        async move {
            match (call, phase) {
                (Call::Status, Phase::Ready) => Answer::Ok("ready"),
                (Call::Status, _) => Answer::Error("ending".into()),
                (Call::Stats, _) => match engine.count_nodes().await {
                    Some(nodes) => {
                        let mut text = metrics.text(NodeCounts {
                            listed: nodes.listed,
                            disabled: nodes.avoided,
                        });
                        if let Some(report) = fleet_report(&fleet).await {
                            text += &report.metrics();
                        }
                        Answer::Lines(text)
                    }
                    None => Answer::Error("the core has ended".into()),
                },
                (Call::Fleet, _) => match fleet_report(&fleet)
                    .await
                    .map(|r| serde_json::to_string(&r))
                {
                    Some(Ok(line)) => Answer::Lines(line + "\n"),
                    Some(Err(error)) => Answer::Error(error.to_string()),
                    None if fleet.is_none() => Answer::Error("[fleet] is off".into()),
                    None => Answer::Error("no place in the fleet yet".into()),
                },
            }
        }
    })))
}

/// The report of the fleet's driver, if there is one. The driver may still be waiting for its own address; the timeout keeps
/// the admin interface from waiting for it.
async fn fleet_report(fleet: &Option<FleetHandle>) -> Option<lupinrack_fleet_driver::Report> {
    let report = fleet.as_ref()?.report();
    tokio::time::timeout(Duration::from_millis(300), report)
        .await
        .ok()?
}

/// The extent map, restored from its snapshot file. With an unusable snapshot the map starts empty and fetches what it needs.
fn load_extent_map(section: &extents::config::Section, now: lupinrack_policy::Micros) -> Cache {
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
            Err(error) => tracing::warn!("extents: {} is left aside: {error}", file.display()),
        }
    }
    cache
}

async fn start_rsync_front(
    config: Option<RsyncConfig>,
    engine: &EngineHandle,
    connect_timeout: Duration,
    phase: &watch::Receiver<Phase>,
) -> std::io::Result<Option<impl Future<Output = ()>>> {
    let Some(config) = config else {
        return Ok(None);
    };
    let listener = TcpListener::bind(config.listen).await?;
    tracing::info!("rsync on {}", listener.local_addr()?);
    let (engine, config, phase) = (engine.clone(), Arc::new(config), phase.clone());
    Ok(Some(daemon::run(
        listener,
        daemon::Front {
            engine,
            config,
            connect_timeout,
            phase,
        },
    )))
}
