//! Checks that no accepted job has nothing running while the servers of the service to which its queue is directed have
//! room for it.

use crate::configuration_body::{HOST, SERVICES};
use crate::oracle::{ExpectedJob, Oracle};
use crate::server::ModelServer;
use crate::world::World;
use lupinrack_cluster_api::identity::{JobId, ServiceName, TaskId};
use lupinrack_scheduler_testkit::{idle_jobs, IdleJobs, OpenJob, OpenServer, TaskStates};
use std::collections::{BTreeMap, BTreeSet};

/// Interval of the check, in milliseconds.
pub(crate) const CHECK_INTERVAL_MS: u64 = 50;

/// The check, with the times for which jobs have been idle.
#[derive(Debug, Default)]
pub(crate) struct IdleCheck {
    idle_jobs: IdleJobs,
}

impl IdleCheck {
    /// Observes these accepted jobs, unless a fault is in effect or ended recently.
    pub(crate) fn observe(&mut self, accepted: &[JobId], world: &mut World) {
        if !world.has_settled() {
            self.idle_jobs.reset();
            return;
        }
        let services = current_services(accepted, world);
        let idle = SERVICES
            .iter()
            .flat_map(|service| idle_jobs_of(service, &services, world));
        let idle: BTreeSet<JobId> = idle.collect();
        for job in self.idle_jobs.observe(&idle, world.now) {
            let text = format!(
                "LOST: {} has had nothing running since {} ms",
                job.id, job.since
            );
            world.oracle.report_violation(world.now, &text);
        }
    }
}

/// The service to which the queue of each job is directed now, by the newest replica's configuration.
fn current_services(accepted: &[JobId], world: &World) -> BTreeMap<JobId, ServiceName> {
    let Some(newest) = world.newest_core() else {
        return BTreeMap::new();
    };
    let configuration = newest.control_state().configuration();
    let service_of = |job: &JobId| {
        let expected = world.oracle.jobs.get(job)?;
        let path = format!("/{}/{job}", expected.queue);
        let route = configuration.route(HOST, &path)?;
        Some((*job, route.service.clone()))
    };
    accepted.iter().filter_map(service_of).collect()
}

fn idle_jobs_of(
    service: &str,
    services: &BTreeMap<JobId, ServiceName>,
    world: &World,
) -> BTreeSet<JobId> {
    let servers: Vec<OpenServer<'_>> = world
        .server_slots
        .iter()
        .filter_map(|slot| slot.server.as_ref())
        .filter(|server| server.facts.service.0 == service && server.draining_since.is_none())
        .map(ModelServer::open_server)
        .collect();
    let oracle = &world.oracle;
    let jobs = services.iter().filter_map(|(id, current)| {
        let expected = oracle.jobs.get(id)?;
        let is_checked = current.0 == service && oracle.must_progress(*id, expected);
        is_checked.then_some(OpenJob {
            id: *id,
            spec: &expected.spec,
        })
    });
    idle_jobs(jobs, &servers, oracle, world.wall())
}

impl Oracle {
    fn must_progress(&self, id: JobId, expected: &ExpectedJob) -> bool {
        !expected.cancel_sent && !self.has_cause_to_fail(id)
    }
}

impl ModelServer {
    fn open_server(&self) -> OpenServer<'_> {
        OpenServer {
            capacity: self.facts.capacity,
            used: self.used(),
            labels: &self.facts.labels,
        }
    }
}

impl TaskStates for Oracle {
    fn is_running(&self, task: TaskId) -> bool {
        let history = self.tasks.get(&task);
        history.is_some_and(|history| !history.running_on.is_empty())
    }

    fn is_done(&self, task: TaskId) -> bool {
        let history = self.tasks.get(&task);
        history.is_some_and(|history| history.done_at.is_some())
    }
}
