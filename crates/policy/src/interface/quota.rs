//! What a host may use of the limits that all hosts share.

use super::ids::{Micros, VolumeId};
use std::collections::BTreeMap;

/// The quota of this host as its fleet agreed on it. Each factor multiplies the even part, one over the number of hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    /// Until this moment, exclusive, the factors below hold; from then on `reserve` does in their place.
    pub valid_until: Micros,
    /// The factor that no other host ever takes over.
    pub reserve: f64,
    /// The factor for the slow-start budgets of nodes.
    pub slow_start: f64,
    /// The factors for the rate limits of single volumes.
    pub volume_factors: BTreeMap<VolumeId, f64>,
    /// The factor for the rate limits of all other volumes: 1, or less where hosts that do not know that this host serves
    /// them may use more.
    pub default_volume_factor: f64,
}

impl QuotaShares {
    /// The factor for a volume's rate limit, while the factors hold.
    pub fn volume_factor(&self, volume: VolumeId) -> f64 {
        self.volume_factors
            .get(&volume)
            .copied()
            .unwrap_or(self.default_volume_factor)
    }
}
