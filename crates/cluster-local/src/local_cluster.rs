//! All child processes of a cluster, and its workers.

use crate::child_process::Process;
use crate::error::LocalError;
use crate::member::{Class, Member, GANG_MS, HEARTBEAT_MS, LEASE_MOST_MS, STOP_MS, ZONE};
use crate::operator::SERVICE;
use crate::ports::Ports;
use mock_servers::worker::beats::{self, BeatSettings};
use mock_servers::worker::floor::Floor;
use mock_servers::worker::machine::{Worker, WorkerSettings};
use mock_servers::worker::messages::Capacity;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// What each worker has.
const CAPACITY: Capacity = Capacity {
    cpu: 4_000,
    mem_mb: 4_096,
    gpu: 0,
};

/// A running cluster; everything ends when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The ports that all processes use.
    pub ports: Ports,
    /// What the workers share.
    pub floor: Floor,
    program: PathBuf,
    folder: PathBuf,
    processes: Vec<(Member, Process)>,
    // Aborts the workers when it is dropped.
    _workers: JoinSet<()>,
}

impl Cluster {
    /// Starts all processes on empty disks in a folder, and the workers.
    pub fn start(program: &Path, folder: &Path) -> Result<Cluster, LocalError> {
        let ports = Ports::draw()?;
        let floor = Floor::default();
        let mut cluster = Cluster {
            ports,
            _workers: workers(&ports, &floor),
            floor,
            program: program.to_owned(),
            folder: folder.to_owned(),
            processes: Vec::new(),
        };
        for member in Member::all() {
            cluster.start_one(member, true)?;
        }
        Ok(cluster)
    }

    /// Its folder, with settings, disks and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Kills a process at once; its disk stays.
    pub fn kill(&mut self, member: Member) {
        self.processes.retain(|(other, _)| *other != member);
    }

    /// Starts a process again that was killed.
    pub fn restart(&mut self, member: Member) -> Result<(), LocalError> {
        self.start_one(member, false)
    }

    /// An error where a process has ended by itself.
    pub fn check(&mut self) -> Result<(), LocalError> {
        self.processes
            .iter_mut()
            .try_for_each(|(_, process)| process.check())
    }

    fn start_one(&mut self, member: Member, first: bool) -> Result<(), LocalError> {
        let process = Process::start(&self.program, member, &self.ports, &self.folder, first)?;
        self.processes.push((member, process));
        Ok(())
    }
}

/// A worker beside each agent; two of them share a rack.
fn workers(ports: &Ports, floor: &Floor) -> JoinSet<()> {
    let epoch = Instant::now();
    let mut workers = JoinSet::new();
    for agent in Member::of(Class::Agent) {
        let settings = WorkerSettings {
            id: format!("worker-{}", agent.number),
            service: SERVICE.to_owned(),
            zone: ZONE.to_owned(),
            labels: vec!["plain".to_owned(), format!("rack-{}", agent.number / 2)],
            capacity: CAPACITY,
            lease_most_ms: LEASE_MOST_MS,
            stop_takes_ms: STOP_MS / 2,
            gang_waits_ms: GANG_MS,
        };
        let beats = BeatSettings {
            agent: agent.control(ports),
            every: Duration::from_millis(HEARTBEAT_MS),
            epoch,
        };
        workers.spawn(beats::run(Worker::new(settings, floor.clone()), beats));
    }
    workers
}
