//! Reloads the configuration on `SIGHUP` while the front runs.
//!
//! The whole file is read and checked first. Then all of it is applied, or nothing. Only the address of the discovery service
//! and the settings can change: classes, attempts, the values of plans and rules. A request keeps the rules it was admitted
//! under. Addresses, limits, load reports and connection timeouts were applied to the sockets at the start and change only
//! with a restart.

use crate::config::{Config, ConfigError};
use crate::required_keys;
use lupinrack_front_settings::FrontSettings;
use lupinrack_metrics::Metrics;
use lupinrack_request_engine::EngineHandle;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// Why a new file is not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The file cannot be read, or is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A key of the current file is missing in the new one, or has another type there.
    #[error("configuration: {0} is missing or of another kind")]
    Missing(String),
    /// The new settings cannot replace the current ones while the program is running.
    #[error("configuration: {0}")]
    Settings(String),
}

/// The configuration that the front uses at present.
#[derive(Debug)]
pub struct ActiveConfig {
    file: Value,
    settings: watch::Sender<Arc<FrontSettings>>,
    discovery: watch::Sender<SocketAddr>,
}

/// A new configuration that was checked and can be applied.
#[derive(Debug)]
pub struct CheckedConfig {
    file: Value,
    /// The new settings, in which the current classes and plans keep their indices.
    pub settings: FrontSettings,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
}

impl ActiveConfig {
    /// The configuration that the program was started with.
    pub fn new(config: &Config) -> ActiveConfig {
        ActiveConfig {
            file: config.file.clone(),
            settings: watch::channel(Arc::new(config.settings.clone())).0,
            discovery: watch::channel(config.discovery).0,
        }
    }

    /// Follows the current settings.
    pub fn settings(&self) -> watch::Receiver<Arc<FrontSettings>> {
        self.settings.subscribe()
    }

    /// Follows the address of the discovery service.
    pub fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Reads and checks a new file, without applying it.
    pub fn check(&self, path: &Path) -> Result<CheckedConfig, ReloadError> {
        let config = Config::load(path)?;
        if let Some(key) = required_keys::first_missing(&self.file, &config.file) {
            return Err(ReloadError::Missing(key));
        }
        let settings = self
            .settings
            .borrow()
            .updated_with(config.settings)
            .map_err(ReloadError::Settings)?;
        Ok(CheckedConfig {
            file: config.file,
            settings,
            discovery: config.discovery,
        })
    }

    /// Applies a new configuration. The engine gets the new settings before any request is admitted under them.
    pub async fn apply(&mut self, new: CheckedConfig, engine: &EngineHandle, metrics: &Metrics) {
        metrics.add_classes(new.settings.active_class_names());
        engine.update_settings(new.settings.policy_settings()).await;
        self.settings.send_replace(Arc::new(new.settings));
        self.file = new.file;
        self.discovery
            .send_if_modified(|address| std::mem::replace(address, new.discovery) != new.discovery);
    }
}

/// Handles `SIGHUP` from here on. Before this call the signal would end the program.
pub fn sighup_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the file at each signal. An invalid file is logged and changes nothing, so that the front goes on serving.
pub async fn reload_on_sighup(
    mut signals: Signal,
    path: PathBuf,
    mut active: ActiveConfig,
    engine: EngineHandle,
    metrics: Metrics,
) {
    while signals.recv().await.is_some() {
        let checked = active.check(&path);
        metrics.record_reload(checked.is_ok());
        match checked {
            Ok(new) => {
                let names: Vec<&str> = new.settings.active_class_names().collect();
                tracing::info!(
                    "configuration read again: discovery at {}, classes {}, attempts {}",
                    new.discovery,
                    names.join(" "),
                    new.settings.policy.max_attempts
                );
                active.apply(new, &engine, &metrics).await;
            }
            Err(error) => tracing::error!("the configuration stays as it was: {error}"),
        }
    }
}
