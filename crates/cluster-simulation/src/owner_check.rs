//! Checks that each service with work has an owner: a running core process that schedules it.

use crate::world::World;
use lupinrack_cluster_api::identity::ServiceName;
use lupinrack_control_state::{ControlState, Occurrence};
use std::collections::{BTreeMap, BTreeSet};

/// A service with work may be without an owner for this long, in milliseconds: the time of a takeover.
const MAX_UNOWNED_MS: u64 = 3_000;

/// The check, with the times since when services have been without an owner.
#[derive(Debug, Default)]
pub(crate) struct OwnerCheck {
    unowned_since: BTreeMap<ServiceName, u64>,
    /// The services among them that were reported.
    reported: BTreeSet<ServiceName>,
}

impl OwnerCheck {
    /// Observes the services with work, unless a fault is in effect or ended recently.
    pub(crate) fn observe(&mut self, world: &mut World) {
        if !world.has_settled() {
            self.unowned_since.clear();
            self.reported.clear();
            return;
        }
        let unowned = unowned_services(world);
        self.unowned_since
            .retain(|service, _| unowned.contains(service));
        self.reported.retain(|service| unowned.contains(service));
        for service in unowned {
            let since = *self
                .unowned_since
                .entry(service.clone())
                .or_insert(world.now);
            if world.now - since > MAX_UNOWNED_MS && self.reported.insert(service.clone()) {
                let text = format!("LOST: no owner of service {} since {since} ms", service.0);
                world.oracle.report_violation(world.now, &text);
            }
        }
    }
}

/// The services with work, by the newest replica, that no running core process schedules.
fn unowned_services(world: &World) -> BTreeSet<ServiceName> {
    let Some(newest) = world.newest_core() else {
        return BTreeSet::new();
    };
    let is_owned =
        |service: &ServiceName| world.running_cores().any(|core| core.schedules(service));
    let mut services = services_with_work(newest.control_state());
    services.retain(|service| !is_owned(service));
    services
}

/// The services with a job that has not ended or a run whose end is not recorded, from the records of the jobs alone.
fn services_with_work(state: &ControlState) -> BTreeSet<ServiceName> {
    let mut services = BTreeSet::new();
    for (_, job) in state.jobs().iter() {
        services.extend(job.is_open().then(|| job.service.clone()));
        let occurrences = job.occurrences.open().values();
        let tasks = occurrences.flat_map(Occurrence::tasks);
        let runs = tasks.filter_map(|task| job.run_service(task));
        services.extend(runs.cloned());
    }
    services
}
