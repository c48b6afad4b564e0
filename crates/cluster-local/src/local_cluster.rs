//! The running cluster: its child processes and the mock workers beside the agents.

use crate::child_process::ChildProcess;
use crate::cluster_shape::ClusterShape;
use crate::error::{LocalError, Step};
use crate::member::{Member, Role};
use crate::operator::SERVICE;
use crate::ports::Ports;
use crate::settings_file::StartKind;
use crate::shared_limits::ZONE;
use mock_servers::worker::cluster_events::ClusterEvents;
use mock_servers::worker::heartbeats::{self, HeartbeatSettings};
use mock_servers::worker::messages::Capacity;
use mock_servers::worker::state_machine::{Worker, WorkerSettings};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Resources of each worker: thousandths of a core, megabytes of memory, accelerators.
const WORKER_CAPACITY: Capacity = Capacity {
    cpu: 4_000,
    mem_mb: 4_096,
    gpu: 0,
};
/// Number of workers in a rack.
const WORKERS_PER_RACK: u16 = 2;
/// Interval between two checks whether all runs have ended.
const RUNS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A running cluster. All its processes and workers end when it is dropped.
#[derive(Debug)]
pub(crate) struct LocalCluster {
    program: PathBuf,
    folder: PathBuf,
    shape: ClusterShape,
    ports: Ports,
    processes: Vec<ChildProcess>,
    worker_events: ClusterEvents,
    // Dropping the set aborts the workers' tasks.
    _workers: JoinSet<()>,
}

impl LocalCluster {
    /// Starts all processes on empty disks in `folder`, and the workers.
    ///
    /// # Errors
    ///
    /// [`LocalError::NoFreePorts`], or an error if a process cannot be started.
    pub(crate) fn start(program: &Path, folder: &Path) -> Result<LocalCluster, LocalError> {
        let shape = ClusterShape::default();
        let ports = Ports::draw(&shape)?;
        let worker_events = ClusterEvents::default();
        let mut cluster = LocalCluster {
            program: program.to_owned(),
            folder: folder.to_owned(),
            shape,
            ports,
            processes: Vec::new(),
            _workers: start_workers(&shape, ports, &worker_events),
            worker_events,
        };
        for member in Member::all(&shape) {
            cluster.start_process(member, StartKind::Bootstrap)?;
        }
        Ok(cluster)
    }

    /// The number of its processes, and their settings.
    pub(crate) fn shape(&self) -> &ClusterShape {
        &self.shape
    }

    /// The ports that all processes use.
    pub(crate) fn ports(&self) -> Ports {
        self.ports
    }

    /// The events that the workers recorded of their runs.
    pub(crate) fn worker_events(&self) -> &ClusterEvents {
        &self.worker_events
    }

    /// Kills a process at once; its disk remains.
    pub(crate) fn kill(&mut self, member: Member) {
        self.processes.retain(|process| process.member() != member);
    }

    /// Restarts a killed process.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub(crate) fn restart(&mut self, member: Member) -> Result<(), LocalError> {
        self.start_process(member, StartKind::Restart)
    }

    /// Checks that no process has exited by itself.
    ///
    /// # Errors
    ///
    /// [`LocalError::Exited`] for the first process that has.
    pub(crate) fn check_running(&mut self) -> Result<(), LocalError> {
        self.processes
            .iter_mut()
            .try_for_each(ChildProcess::check_running)
    }

    /// Waits for `interval` until the next check of a condition.
    ///
    /// # Errors
    ///
    /// [`LocalError::TimedOut`] after `deadline`, or [`LocalError::Exited`] if a process has exited by itself.
    pub(crate) async fn wait_for_next_check(
        &mut self,
        step: Step,
        interval: Duration,
        deadline: Instant,
    ) -> Result<(), LocalError> {
        self.check_running()?;
        if Instant::now() >= deadline {
            let logs = self.folder.clone();
            return Err(LocalError::TimedOut { step, logs });
        }
        sleep(interval).await;
        Ok(())
    }

    /// Waits until no worker has a run, for at most `limit`.
    pub(crate) async fn wait_for_runs_to_end(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.worker_events.alive() > 0 && Instant::now() < deadline {
            sleep(RUNS_CHECK_INTERVAL).await;
        }
    }

    fn start_process(&mut self, member: Member, start: StartKind) -> Result<(), LocalError> {
        let process = ChildProcess::start(
            &self.program,
            &self.shape,
            member,
            self.ports,
            &self.folder,
            start,
        )?;
        self.processes.push(process);
        Ok(())
    }
}

/// Starts a worker beside each agent.
fn start_workers(shape: &ClusterShape, ports: Ports, events: &ClusterEvents) -> JoinSet<()> {
    let epoch = Instant::now();
    let mut workers = JoinSet::new();
    for agent in Member::with_role(Role::Agent, shape) {
        let heartbeats = HeartbeatSettings {
            agent: ports.control_address(agent),
            interval: Duration::from_millis(shape.heartbeat_interval_ms),
            epoch,
        };
        let worker = Worker::new(worker_settings(shape, agent.number), events.clone());
        workers.spawn(heartbeats::run(worker, heartbeats));
    }
    workers
}

fn worker_settings(shape: &ClusterShape, number: u16) -> WorkerSettings {
    let rack = format!("rack-{}", number / WORKERS_PER_RACK);
    WorkerSettings {
        id: format!("worker-{number}"),
        service: SERVICE.to_owned(),
        zone: ZONE.to_owned(),
        labels: vec!["plain".to_owned(), rack],
        capacity: WORKER_CAPACITY,
        max_lease_ms: shape.max_lease_ms,
        // Half the limit, so that the stop of a run is reported well within it.
        stop_duration_ms: shape.run_stop_ms / 2,
        gang_timeout_ms: shape.gang_wait_ms,
    }
}
