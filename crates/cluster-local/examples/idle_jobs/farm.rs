//! The mock servers: their incarnations, crashes, and times in which they fail all their runs.

use crate::options::Options;
use crate::workload::Service;
use lupinrack_cluster_local::{ClusterShape, Member, Ports, Role};
use mock_servers::worker::cluster_events::ClusterEvents;
use mock_servers::worker::failure_rate::FailureRate;
use mock_servers::worker::heartbeats::{self, HeartbeatSettings};
use mock_servers::worker::messages::Capacity;
use mock_servers::worker::state_machine::{Worker, WorkerSettings};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Servers in a rack, by service.
const ROSTER_RACK: u32 = 12;
const ROUTING_RACK: u32 = 4;
/// The percentage of runs that fail on a sound server.
const USUAL_FAILURE_PERCENT: u64 = 2;

/// What a server says of itself, but for its ID.
#[derive(Clone, Debug)]
pub struct ServerFacts {
    pub service: Service,
    pub labels: Vec<String>,
    pub capacity: Capacity,
}

/// One server, as it is now.
pub struct Server {
    pub facts: ServerFacts,
    /// Its ID; empty while it is down.
    pub id: String,
    incarnation: u32,
    failures: FailureRate,
    task: Option<JoinHandle<()>>,
}

/// All servers.
pub struct Farm {
    pub servers: Vec<Server>,
    pub events: ClusterEvents,
    shape: ClusterShape,
    ports: Ports,
    epoch: Instant,
}

fn facts(number: u32, agents: u32) -> ServerFacts {
    let roster = agents * Service::SHARE_OF_ROSTER / 100;
    if number < roster {
        let size = [100, 100, 50, 200][(number % 4) as usize];
        ServerFacts {
            service: Service::Roster,
            labels: vec![
                ["a", "a", "b"][(number % 3) as usize].to_owned(),
                format!("rack-{}", number / ROSTER_RACK),
            ],
            capacity: Capacity {
                cpu: 160 * size,
                mem_mb: 328 * size,
                gpu: 0,
            },
        }
    } else {
        ServerFacts {
            service: Service::Routing,
            labels: vec![
                ["a", "b"][(number % 2) as usize].to_owned(),
                format!("rack-r{}", (number - roster) / ROUTING_RACK),
            ],
            capacity: Capacity {
                cpu: 32_000,
                mem_mb: 65_536,
                gpu: 8,
            },
        }
    }
}

/// The number of racks of the larger service.
pub fn racks(options: &Options) -> u32 {
    (u32::from(options.agents) * Service::SHARE_OF_ROSTER / 100).div_ceil(ROSTER_RACK)
}

impl Farm {
    /// Starts a server beside each agent.
    pub fn start(shape: ClusterShape, ports: Ports) -> Farm {
        let agents = u32::from(shape.agents);
        let servers = (0..agents)
            .map(|number| Server {
                facts: facts(number, agents),
                id: String::new(),
                incarnation: 0,
                failures: FailureRate::default(),
                task: None,
            })
            .collect();
        let mut farm = Farm {
            servers,
            events: ClusterEvents::default(),
            shape,
            ports,
            epoch: Instant::now(),
        };
        (0..farm.servers.len()).for_each(|index| farm.start_server(index));
        farm
    }

    /// Starts the next incarnation of a server.
    pub fn start_server(&mut self, index: usize) {
        let agent = Member {
            role: Role::Agent,
            number: index as u16 + 1,
        };
        let heartbeats = HeartbeatSettings {
            agent: self.ports.control_address(agent),
            interval: Duration::from_millis(self.shape.heartbeat_interval_ms),
            epoch: self.epoch,
        };
        let server = &mut self.servers[index];
        server.incarnation += 1;
        server.id = format!("i-{index:04}-{}", server.incarnation);
        let settings = WorkerSettings {
            id: server.id.clone(),
            service: server.facts.service.as_str().to_owned(),
            zone: "loopback".to_owned(),
            labels: server.facts.labels.clone(),
            capacity: server.facts.capacity,
            max_lease_ms: self.shape.max_lease_ms,
            stop_duration_ms: self.shape.run_stop_ms / 2,
            gang_timeout_ms: self.shape.gang_wait_ms,
        };
        let worker = Worker::new(settings, self.events.clone());
        server.failures = worker.failure_rate();
        server.failures.set_percent(USUAL_FAILURE_PERCENT);
        server.task = Some(tokio::spawn(heartbeats::run(worker, heartbeats)));
    }

    /// Ends a server with all its runs. Returns the ID of the incarnation.
    pub fn crash(&mut self, index: usize) -> String {
        let server = &mut self.servers[index];
        if let Some(task) = server.task.take() {
            task.abort();
        }
        std::mem::take(&mut server.id)
    }

    /// Sets whether a server fails all its runs.
    pub fn set_failing(&self, index: usize, is_failing: bool) {
        let percent = if is_failing {
            100
        } else {
            USUAL_FAILURE_PERCENT
        };
        self.servers[index].failures.set_percent(percent);
    }
}
