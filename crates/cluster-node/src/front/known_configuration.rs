//! The configuration as a process without a disk knows it, and from when on it is certain.

use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::request::Target;
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
pub struct ConfigurationUpdate {
    /// When this process asked, by its own steady clock; 0 where the sender vouches for no moment.
    pub requested_at: Millis,
    /// How old the sender's own confirmation was, in milliseconds.
    pub age_ms: u64,
    /// The newest version.
    pub version: u64,
    /// The configuration, where this process did not have it.
    pub configuration: Option<Configuration>,
}

/// What came of news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// Another configuration is known now.
    pub newer: bool,
    /// It is certain for a later moment than before, or newer.
    pub fresher: bool,
}

impl ConfigurationUpdate {
    /// Whether the sender vouches for a moment at all.
    pub fn is_timestamped(&self) -> bool {
        self.requested_at > Millis(0)
    }

    /// A moment at which the news certainly held: the sender sent it after this process asked.
    pub fn valid_at(&self) -> Millis {
        Millis(self.requested_at.0.saturating_sub(self.age_ms))
    }
}

/// The most for which a confirmation is trusted where the settings allow more, in milliseconds.
const TRUSTED_MOST_MS: u64 = 900;

/// For how long after its confirmation a configuration says what does not exist, in milliseconds: for half of the time
/// that a change may take to be in force, since other times add to it.
pub fn negative_answer_validity_ms(config_apply_ms: u64) -> u64 {
    (config_apply_ms / 2).min(TRUSTED_MOST_MS)
}

impl KnownConfiguration {
    /// Whether it certainly was the newest one at a moment less than `bound_ms` ago. Before the first one nothing is.
    pub fn is_confirmed_within(&self, bound_ms: u64, now: Millis) -> bool {
        self.configuration.version > 0 && now.since(self.confirmed_at) < bound_ms
    }

    /// Whether there is no queue for a target, as far as a configuration that was confirmed within `bound_ms` says. Where
    /// it says nothing the head is to be asked.
    pub fn lacks_queue(&self, target: &Target, bound_ms: u64, now: Millis) -> bool {
        let is_known = self
            .configuration
            .route(&target.host, &target.path)
            .is_some();
        !is_known && self.is_confirmed_within(bound_ms, now)
    }

    /// Takes news over; never back to an older configuration in one life of the process.
    pub fn learn(&mut self, news: ConfigurationUpdate) -> UpdateOutcome {
        let valid_at = news.valid_at();
        let known = self.configuration.version;
        if news.version < known {
            return UpdateOutcome::default();
        }
        let newer = news.version > known;
        if newer {
            let Some(configuration) = news
                .configuration
                .filter(|given| given.version == news.version)
            else {
                return UpdateOutcome::default();
            };
            self.configuration = Arc::new(configuration);
        }
        let fresher = newer || valid_at > self.confirmed_at;
        self.confirmed_at = self.confirmed_at.max(valid_at);
        UpdateOutcome { newer, fresher }
    }
}
