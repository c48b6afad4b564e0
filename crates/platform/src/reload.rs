//! A new configuration while the front runs: `SIGHUP` has the file read again.
//!
//! It is read and checked whole, then all of it is taken, or none. What can change in service is where discovery listens
//! and the settings: classes, attempts, the figures of plans and rules. A request keeps the rules it was taken under.
//! Addresses, limits, load reports and time-outs of connections were told to the sockets at the start and wait for a restart.

use crate::config::{Config, ConfigError};
use crate::shape;
use lupinrack_front_settings::Told;
use lupinrack_metrics::Figures;
use lupinrack_request_engine::Handle;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// Why a new file is not taken.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// It cannot be read or used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// Something that the file in use says is not in it.
    #[error("configuration: {0} is missing or of another kind")]
    Missing(String),
    /// Its settings do not follow those in use.
    #[error("configuration: {0}")]
    Settings(String),
}

/// What the front goes by now. It changes whole.
#[derive(Debug)]
pub struct Current {
    file: Value,
    told: watch::Sender<Arc<Told>>,
    discovery: watch::Sender<SocketAddr>,
}

/// What a new file changes.
#[derive(Debug)]
pub struct Change {
    file: Value,
    /// The settings, with the indices of classes and plans in use kept.
    pub told: Told,
    /// Where discovery listens.
    pub discovery: SocketAddr,
}

impl Current {
    /// As the program was started.
    pub fn new(config: &Config) -> Current {
        Current {
            file: config.file.clone(),
            told: watch::channel(Arc::new(config.told.clone())).0,
            discovery: watch::channel(config.discovery).0,
        }
    }

    /// The settings in use.
    pub fn told(&self) -> watch::Receiver<Arc<Told>> {
        self.told.subscribe()
    }

    /// Where discovery listens.
    pub fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Reads a new file whole; nothing changes yet.
    pub fn check(&self, path: &Path) -> Result<Change, ReloadError> {
        let config = Config::load(path)?;
        if let Some(key) = shape::missing(&self.file, &config.file) {
            return Err(ReloadError::Missing(key));
        }
        let told = self
            .told
            .borrow()
            .followed_by(config.told)
            .map_err(ReloadError::Settings)?;
        Ok(Change {
            file: config.file,
            told,
            discovery: config.discovery,
        })
    }

    /// Goes by the new file from here on. The core hears of it before any request taken under it.
    pub async fn take(&mut self, change: Change, core: &Handle, figures: &Figures) {
        figures.classes(change.told.named());
        core.settings(change.told.for_module()).await;
        self.told.send_replace(Arc::new(change.told));
        self.file = change.file;
        self.discovery
            .send_if_modified(|at| std::mem::replace(at, change.discovery) != change.discovery);
    }
}

/// Follows the signal from here on: before this, it would end the program.
pub fn hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Takes over what the file says at each signal. One that cannot be used changes nothing: a bad file must not cost a
/// front that serves.
pub async fn follow(
    mut hangups: Signal,
    path: PathBuf,
    mut current: Current,
    core: Handle,
    figures: Figures,
) {
    while hangups.recv().await.is_some() {
        let checked = current.check(&path);
        figures.reloaded(checked.is_ok());
        match checked {
            Ok(change) => {
                let names: Vec<&str> = change.told.named().collect();
                tracing::info!(
                    "configuration read again: discovery at {}, classes {}, attempts {}",
                    change.discovery,
                    names.join(" "),
                    change.told.module.max_attempts
                );
                current.take(change, &core, &figures).await;
            }
            Err(why) => tracing::error!("the configuration stays as it was: {why}"),
        }
    }
}
