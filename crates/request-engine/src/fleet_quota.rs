//! This front's part in its fleet, as far as the engine needs it.

use crate::node_queries::ServedVolume;
use lupinrack_policy::{Micros, Request, Settings, VolumeId};
use std::collections::BTreeMap;

/// Volumes that are remembered between two questions; further ones are remembered after the next.
const SERVED_VOLUMES_MOST: usize = 4096;

/// How long attempts may draw on the fleet's quota, and which volumes were served.
#[derive(Default)]
pub(crate) struct FleetQuota {
    valid_until: Micros,
    /// The volumes with rate limits that were served since the last question, and their numbers of fronts.
    served: BTreeMap<VolumeId, f64>,
}

impl FleetQuota {
    pub(crate) fn set_valid_until(&mut self, until: Micros) {
        self.valid_until = until;
    }

    /// The moment by which an attempt that is sent now must have begun. Quota that expires while it is on its way ends it; what draws
    /// on the reserve does not expire.
    pub(crate) fn begin_by(&self, now: Micros) -> Micros {
        if now < self.valid_until {
            self.valid_until
        } else {
            Micros::MAX
        }
    }

    pub(crate) fn record_served(&mut self, request: &Request) {
        let has_room = self.served.len() < SERVED_VOLUMES_MOST;
        if has_room || self.served.contains_key(&request.volume) {
            self.served.insert(request.volume, request.hosts);
        }
    }

    pub(crate) fn take_served(&mut self) -> Vec<ServedVolume> {
        std::mem::take(&mut self.served)
            .into_iter()
            .map(|(volume, hosts)| ServedVolume { volume, hosts })
            .collect()
    }
}

/// Which plans have a rate limit, by index.
pub(crate) fn limited_plans(settings: &Settings) -> Vec<bool> {
    settings
        .plans
        .iter()
        .map(|plan| plan.limit.is_some())
        .collect()
}
