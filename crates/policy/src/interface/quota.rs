//! What a host may use of the limits that all hosts share.

use super::ids::{Micros, VolumeId};
use std::collections::BTreeMap;

/// The quota of this host as its fleet agreed on it. Each factor multiplies the even share, which is
/// one over the number of hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    /// Before this time the factors below apply; from then on `reserve` applies in their place.
    pub valid_until: Micros,
    /// The factor that always belongs to this host: no other host takes it over.
    pub reserve: f64,
    /// The factor for the slow-start budgets of nodes.
    pub slow_start: f64,
    /// The factors for the rate limits of single volumes.
    pub volume_factors: BTreeMap<VolumeId, f64>,
    /// The factor for the rate limits of all other volumes: 1, or less if other hosts may use more
    /// because they do not know that this host serves these volumes.
    pub default_volume_factor: f64,
}

impl QuotaShares {
    /// The factor for a volume's rate limit before `valid_until`.
    pub fn volume_factor(&self, volume: VolumeId) -> f64 {
        self.volume_factors
            .get(&volume)
            .copied()
            .unwrap_or(self.default_volume_factor)
    }
}
