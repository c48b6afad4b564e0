//! The engine's part of fleet quotas: how long they are valid, and which volumes use them.

use crate::node_queries::ServedVolume;
use lupinrack_policy::{Micros, Request, Settings, VolumeId};
use std::collections::BTreeMap;

/// The largest number of volumes recorded between two queries. Further volumes are recorded after the next query.
const MAX_SERVED_VOLUMES: usize = 4096;

/// Until when attempts may draw on the fleet's quota, and which volumes were served.
#[derive(Default)]
pub(crate) struct FleetQuota {
    valid_until: Micros,
    /// The volumes with rate limits that were served since the last query, each with its number of fronts.
    served: BTreeMap<VolumeId, f64>,
}

impl FleetQuota {
    pub(crate) fn set_valid_until(&mut self, until: Micros) {
        self.valid_until = until;
    }

    /// The time by which an attempt that is sent now must start. An attempt on the quota must not start after the quota has expired;
    /// one that draws on the reserve has no such limit.
    pub(crate) fn begin_by(&self, now: Micros) -> Micros {
        if now < self.valid_until {
            self.valid_until
        } else {
            Micros::MAX
        }
    }

    pub(crate) fn record_served(&mut self, request: &Request) {
        let has_capacity = self.served.len() < MAX_SERVED_VOLUMES;
        if has_capacity || self.served.contains_key(&request.volume) {
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
