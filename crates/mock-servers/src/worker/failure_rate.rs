//! How many of a worker's runs fail.

use super::cluster_events::RunName;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The percentage of a worker's runs that fail. Clones refer to the same value.
#[derive(Clone, Debug, Default)]
pub struct FailureRate(Arc<AtomicU64>);

impl FailureRate {
    /// Sets the percentage. With 100 every run fails soon after its start.
    pub fn set_percent(&self, percent: u64) {
        self.0.store(percent, Ordering::Relaxed);
    }

    /// The percentage.
    pub fn percent(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Whether this run fails at its end; the same for each call.
    pub(crate) fn fail(&self, run: &RunName) -> bool {
        let mut hasher = DefaultHasher::new();
        (&run.task, run.run).hash(&mut hasher);
        hasher.finish() % 100 < self.percent()
    }
}
