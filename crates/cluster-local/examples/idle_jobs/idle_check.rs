//! Which jobs have nothing running although there is room for them twice and less than half of their service is in use.

use crate::farm::Server;
use crate::workload::{Queue, Service};
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use mock_servers::worker::cluster_events::{ClusterEvents, Event, RunName};
use mock_servers::worker::messages::End;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A job may be idle for this long.
pub const MAX_IDLE: Duration = Duration::from_secs(3);
/// There is room for work if it fits this many times.
const ROOM_FACTOR: u64 = 2;

/// An accepted job.
pub struct Job {
    pub queue: Queue,
    spec: JobSpec,
    /// For each step, which tasks are done.
    done: Vec<Vec<bool>>,
    running: usize,
    /// Since when it has been idle, on the clock of the run.
    pub idle_since: Option<Duration>,
    /// The longest time for which it was idle.
    pub longest_idle: Duration,
}

/// A run that is alive.
struct AliveRun {
    job: JobId,
    step: usize,
    server: String,
    needs: Resources,
}

/// What runs, and which jobs are idle.
#[derive(Default)]
pub struct IdleCheck {
    pub jobs: BTreeMap<JobId, Job>,
    /// Specifications of submitted jobs, whether they were accepted or not.
    specs: HashMap<JobId, JobSpec>,
    runs: BTreeMap<RunName, AliveRun>,
    used: HashMap<String, Resources>,
    next_event: usize,
    /// Number of starts.
    pub starts: usize,
}

/// The job, step and index in a task's name.
fn parse_task(task: &str) -> Option<(JobId, usize, usize)> {
    let mut parts = task.split('.');
    let job = u64::from_str_radix(parts.next()?, 16).ok()?;
    let step = parts.nth(1)?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((JobId(job), step, index))
}

impl IdleCheck {
    /// Notes a job before it is submitted.
    pub fn submitted(&mut self, id: JobId, spec: JobSpec) {
        self.specs.insert(id, spec);
    }

    /// Notes that a job was accepted.
    pub fn accepted(&mut self, id: JobId, queue: Queue) {
        let Some(spec) = self.specs.get(&id).cloned() else {
            return;
        };
        let done = spec
            .steps
            .iter()
            .map(|step| vec![false; step.count as usize])
            .collect();
        let running = self.runs.values().filter(|run| run.job == id).count();
        let job = Job {
            queue,
            spec,
            done,
            running,
            idle_since: None,
            longest_idle: Duration::ZERO,
        };
        self.jobs.insert(id, job);
    }

    /// Reads the servers' new events.
    pub fn read(&mut self, events: &ClusterEvents) {
        let new = events.events_from(self.next_event);
        self.next_event += new.len();
        for event in new {
            match event {
                Event::Started { run, worker } => self.started(run, worker),
                Event::Ended { run, end } => self.ended(&run, end),
                Event::Observed { .. } => {}
            }
        }
    }

    fn started(&mut self, run: RunName, server: String) {
        let Some((job, step, _)) = parse_task(&run.task) else {
            return;
        };
        let Some(needs) = self.specs.get(&job).map(|spec| spec.steps[step].needs) else {
            return;
        };
        self.starts += 1;
        let used = self.used.entry(server.clone()).or_default();
        used.cpu += needs.cpu;
        used.memory_mb += needs.memory_mb;
        used.gpu += needs.gpu;
        if let Some(job) = self.jobs.get_mut(&job) {
            job.running += 1;
        }
        let alive = AliveRun {
            job,
            step,
            server,
            needs,
        };
        self.runs.insert(run, alive);
    }

    fn ended(&mut self, run: &RunName, end: End) {
        let Some(AliveRun {
            job,
            step,
            server,
            needs,
        }) = self.runs.remove(run)
        else {
            return;
        };
        if let Some(used) = self.used.get_mut(&server) {
            used.cpu -= needs.cpu;
            used.memory_mb -= needs.memory_mb;
            used.gpu -= needs.gpu;
        }
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        job.running -= 1;
        if end != End::Done {
            return;
        }
        if job.spec.steps[step].gang {
            job.done[step].fill(true);
        } else if let Some((_, _, index)) = parse_task(&run.task) {
            job.done[step][index] = true;
        }
    }

    /// Ends the runs of a server that has crashed.
    pub fn crashed(&mut self, server: &str, events: &ClusterEvents) {
        let lost: Vec<RunName> = self
            .runs
            .iter()
            .filter(|(_, run)| run.server == server)
            .map(|(name, _)| name.clone())
            .collect();
        for run in lost {
            events.break_up(&run);
            self.ended(&run, End::Lapsed);
        }
    }

    /// The used part of a service's processors, in percent.
    pub fn used_percent(&self, service: Service, servers: &[Server]) -> u64 {
        let of_service = || up(servers).filter(|server| server.facts.service == service);
        let capacity: u64 = of_service().map(|server| server.facts.capacity.cpu).sum();
        let used: u64 = of_service().map(|server| self.used_of(server).cpu).sum();
        used * 100 / capacity.max(1)
    }

    /// Updates for how long each job has been idle.
    pub fn check(&mut self, servers: &[Server], now: Duration) {
        let is_free = |service| self.used_percent(service, servers) < 50;
        let (roster, routing) = (is_free(Service::Roster), is_free(Service::Routing));
        let idle: Vec<(JobId, bool)> = self
            .jobs
            .iter()
            .map(|(id, job)| {
                let is_free = match job.queue.service() {
                    Service::Roster => roster,
                    Service::Routing => routing,
                };
                (*id, is_free && self.is_idle(job, servers))
            })
            .collect();
        for (id, is_idle) in idle {
            if let Some(job) = self.jobs.get_mut(&id) {
                let since = *job.idle_since.get_or_insert(now);
                if is_idle {
                    job.longest_idle = job.longest_idle.max(now - since);
                } else {
                    job.idle_since = None;
                }
            }
        }
    }

    /// Text about one idle job.
    pub fn describe(&self, id: JobId) -> String {
        let Some(job) = self.jobs.get(&id) else {
            return String::new();
        };
        let steps: Vec<String> = job
            .spec
            .steps
            .iter()
            .zip(&job.done)
            .map(|(step, done)| {
                let done = done.iter().filter(|done| **done).count();
                format!(
                    "{done}/{} done, needs {:?}, gang {}, requires '{}', affinity '{}', anti-affinity {}",
                    step.count, step.needs, step.gang, step.requires, step.affinity, step.anti_affinity
                )
            })
            .collect();
        format!("{id} {}: {}", job.queue.name(), steps.join("; "))
    }

    fn is_idle(&self, job: &Job, servers: &[Server]) -> bool {
        job.running == 0
            && job.spec.steps.iter().zip(&job.done).any(|(step, done)| {
                let is_due = step
                    .depends_on
                    .iter()
                    .all(|other| job.done[*other as usize].iter().all(|done| *done));
                let waiting = done.iter().filter(|done| !**done).count() as u64;
                is_due && waiting > 0 && self.has_room(job.queue.service(), step, waiting, servers)
            })
    }

    fn has_room(&self, service: Service, step: &Step, waiting: u64, servers: &[Server]) -> bool {
        let needed = if step.gang { waiting } else { 1 };
        let fitting: u64 = up(servers)
            .filter(|server| server.facts.service == service)
            .filter(|server| {
                step.requires.is_empty() || server.facts.labels.contains(&step.requires)
            })
            .map(|server| self.fitting(server, step))
            .sum();
        fitting >= ROOM_FACTOR * needed
    }

    fn fitting(&self, server: &Server, step: &Step) -> u64 {
        let (used, capacity) = (self.used_of(server), server.facts.capacity);
        let times = |used: u64, capacity: u64, need: u64| {
            let free = capacity.saturating_sub(used);
            free.checked_div(need).unwrap_or(u64::MAX)
        };
        let fitting = times(used.cpu, capacity.cpu, step.needs.cpu)
            .min(times(used.memory_mb, capacity.mem_mb, step.needs.memory_mb))
            .min(times(used.gpu, capacity.gpu, step.needs.gpu));
        match step.anti_affinity {
            0 => fitting,
            limit => fitting.min(u64::from(limit)),
        }
    }

    fn used_of(&self, server: &Server) -> Resources {
        self.used.get(&server.id).copied().unwrap_or_default()
    }
}

fn up(servers: &[Server]) -> impl Iterator<Item = &Server> {
    servers.iter().filter(|server| !server.id.is_empty())
}
