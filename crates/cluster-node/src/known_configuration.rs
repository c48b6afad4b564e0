//! The configuration as a process without a disk knows it, and from when on it is certain.

use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::time::Millis;
use std::sync::Arc;

/// The newest configuration that this process was told of.
#[derive(Clone, Debug, Default)]
pub struct KnownConfiguration {
    /// The configuration; version 0 before the first.
    pub configuration: Arc<Configuration>,
    /// A moment of this process's steady clock at which it certainly was the newest one.
    pub confirmed_at: Millis,
}

/// News of the configuration, as the frame brings it.
#[derive(Clone, Debug)]
pub struct ConfigurationNews {
    /// When this process asked, by its own steady clock; 0 where the sender vouches for no moment.
    pub asked_at: Millis,
    /// How old the sender's own confirmation was, in milliseconds.
    pub age_ms: u64,
    /// The newest version.
    pub version: u64,
    /// The configuration, where this process did not have it.
    pub configuration: Option<Configuration>,
}

/// What came of news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Learned {
    /// Another configuration is known now.
    pub newer: bool,
    /// It is certain for a later moment than before, or newer.
    pub fresher: bool,
}

impl ConfigurationNews {
    /// Whether the sender vouches for a moment at all.
    pub fn is_vouched_for(&self) -> bool {
        self.asked_at > Millis(0)
    }

    /// A moment at which the news certainly held: the sender sent it after this process asked.
    pub fn held_at(&self) -> Millis {
        Millis(self.asked_at.0.saturating_sub(self.age_ms))
    }
}

impl KnownConfiguration {
    /// Takes news over; never back to an older configuration in one life of the process.
    pub fn learn(&mut self, news: ConfigurationNews) -> Learned {
        let held_at = news.held_at();
        let known = self.configuration.version;
        if news.version < known {
            return Learned::default();
        }
        let newer = news.version > known;
        if newer {
            let Some(configuration) = news.configuration.filter(|given| given.version == news.version) else {
                return Learned::default();
            };
            self.configuration = Arc::new(configuration);
        }
        let fresher = newer || held_at > self.confirmed_at;
        self.confirmed_at = self.confirmed_at.max(held_at);
        Learned { newer, fresher }
    }
}
