//! The configuration as a process without a disk knows it, and the time at which it was last confirmed.

use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::request::Target;
use lupinrack_cluster_api::time::Millis;
use std::sync::Arc;

/// The newest configuration that this process received.
#[derive(Clone, Debug, Default)]
pub struct KnownConfiguration {
    /// The configuration; version 0 before the first.
    pub configuration: Arc<Configuration>,
    /// A time on this process's monotonic clock at which this was certainly the newest configuration.
    pub confirmed_at: Millis,
}

/// An update of the configuration, as received in a frame.
#[derive(Clone, Debug)]
pub struct ConfigurationUpdate {
    /// When this process sent the request, on its own monotonic clock; 0 if the update has no timestamp.
    pub requested_at: Millis,
    /// Age of the sender's own confirmation, in milliseconds.
    pub age_ms: u64,
    /// The newest version.
    pub version: u64,
    /// The configuration, if this process did not have this version.
    pub configuration: Option<Configuration>,
}

/// The effect of a [`ConfigurationUpdate`] on the [`KnownConfiguration`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// The update contained a newer configuration.
    pub newer: bool,
    /// The configuration was confirmed for a later time, or is newer.
    pub fresher: bool,
}

impl ConfigurationUpdate {
    /// Whether the update says at what time it was valid.
    pub fn is_timestamped(&self) -> bool {
        self.requested_at > Millis(0)
    }

    /// A time at which the update was certainly valid: the request precedes the sender's answer, less the age of the
    /// sender's confirmation.
    pub fn valid_at(&self) -> Millis {
        Millis(self.requested_at.0.saturating_sub(self.age_ms))
    }
}

/// Limit on the validity of a confirmation, whatever the settings allow, in milliseconds.
const MAX_VALIDITY_MS: u64 = 900;

/// How long after its confirmation a configuration is proof that a queue does not exist, in milliseconds. This is half
/// of the time that a change may take to be in force, since other delays add to it.
pub fn negative_answer_validity_ms(config_apply_ms: u64) -> u64 {
    (config_apply_ms / 2).min(MAX_VALIDITY_MS)
}

impl KnownConfiguration {
    /// Whether this was certainly the newest configuration less than `bound_ms` ago. False before the first
    /// configuration.
    pub fn is_confirmed_within(&self, bound_ms: u64, now: Millis) -> bool {
        self.configuration.version > 0 && now.since(self.confirmed_at) < bound_ms
    }

    /// Whether a configuration that was confirmed within `bound_ms` has no queue for this target. If this is false,
    /// only the head can say whether there is one.
    pub fn lacks_queue(&self, target: &Target, bound_ms: u64, now: Millis) -> bool {
        let is_known = self
            .configuration
            .route(&target.host, &target.path)
            .is_some();
        !is_known && self.is_confirmed_within(bound_ms, now)
    }

    /// Applies an update. Within one incarnation of the process the version never decreases.
    pub fn learn(&mut self, update: ConfigurationUpdate) -> UpdateOutcome {
        let valid_at = update.valid_at();
        let known = self.configuration.version;
        if update.version < known {
            return UpdateOutcome::default();
        }
        let newer = update.version > known;
        if newer {
            let Some(configuration) = update
                .configuration
                .filter(|given| given.version == update.version)
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
