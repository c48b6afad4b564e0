//! The simulated world: machines, network, servers and oracle. It owns their state and does not know who acts on it
//! (clients, the operator, the fault schedule).

use crate::config::SimulationConfig;
use crate::configuration_body::service_of_queue;
use crate::faults::active::ActiveFaults;
use crate::injected_bugs::{BugState, InjectedBug};
use crate::machine::clock::{MachineClock, WALL_START_MS};
use crate::machine::{address_of, machine_at, Machine, Process};
use crate::network::{Endpoint, Network};
use crate::oracle::{Oracle, TimeBounds};
use crate::server::{HeartbeatReply, ModelServer};
use crate::workload::QUEUES;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_node::core::CoreMachine;
use lupinrack_worker_agent::ServerHeartbeat;
use std::collections::BTreeMap;
use std::ops::Range;

/// Maximum number of seeds that a process gets.
const SEEDS: usize = 3;

/// The slot of a server, which keeps it across incarnations.
#[derive(Debug)]
pub(crate) struct ServerSlot {
    /// The server; `None` while it is down.
    pub server: Option<ModelServer>,
    /// The incarnation of the current server, or of the last one.
    pub incarnation: u64,
    /// When the server restarts.
    pub back_at: Option<u64>,
}

/// A message in transit between a server and its agent.
#[derive(Debug)]
pub(crate) enum AgentLinkMessage {
    /// A heartbeat.
    Heartbeat(Box<ServerHeartbeat>, u64),
    /// The reply to a heartbeat.
    Answer(u64, HeartbeatReply),
    /// The server has shut down gracefully.
    Deregistered(ServerId),
}

/// The state of the simulated world.
#[derive(Debug)]
pub(crate) struct World {
    /// Milliseconds since the run began.
    pub now: u64,
    pub(crate) config: SimulationConfig,
    pub(crate) injected_bug: Option<InjectedBug>,
    pub(crate) bug_state: BugState,
    pub(crate) rng: fastrand::Rng,
    pub(crate) network: Network,
    pub(crate) machines: Vec<Machine>,
    pub(crate) endpoints: Vec<Endpoint>,
    /// The core machines on the operator's list.
    pub(crate) core_list: Vec<usize>,
    /// The seeds for processes that start now.
    pub(crate) seeds: Vec<PeerAddress>,
    pub(crate) server_slots: Vec<ServerSlot>,
    pub(crate) local: BTreeMap<(u64, u64), (usize, AgentLinkMessage)>,
    pub(crate) sequence: u64,
    pub(crate) gangs: BTreeMap<(TaskId, u32), bool>,
    pub(crate) active_faults: ActiveFaults,
    /// Number of snapshots that core processes wrote.
    pub(crate) snapshots_written: usize,
    /// Number of snapshots sent between core processes, counted by their first chunks.
    pub(crate) snapshots_sent: usize,
    /// Checks what servers and clients observe.
    pub oracle: Oracle,
    /// Whether the operator knows that a configuration was accepted.
    pub(crate) has_configuration: bool,
    /// Whether the final reads are in progress.
    pub(crate) final_reads_begun: bool,
}

impl World {
    /// The world at the beginning of a run.
    pub(crate) fn new(mut rng: fastrand::Rng, config: SimulationConfig) -> World {
        let roles = [
            (Role::Core, config.cores),
            (Role::Frontend, config.fronts),
            (Role::Agent, config.servers),
        ];
        let roles = roles
            .iter()
            .flat_map(|(role, count)| std::iter::repeat_n(*role, *count));
        let machines: Vec<Machine> = roles
            .map(|role| Machine::new(role, draw_clock(&mut rng)))
            .collect();
        let endpoint = |(machine, state): (usize, &Machine)| Endpoint {
            running: false,
            powered: true,
            hello: hello(machine, state.role),
        };
        let endpoints = machines.iter().enumerate().map(endpoint).collect();
        let slot = |number| ServerSlot {
            server: Some(ModelServer::new(facts(number, 0), 0)),
            incarnation: 0,
            back_at: None,
        };
        World {
            now: 0,
            injected_bug: config.injected_bug,
            bug_state: BugState::default(),
            network: Network::new(0),
            machines,
            endpoints,
            core_list: (0..config.cores).collect(),
            seeds: (0..config.cores.min(SEEDS)).map(address_of).collect(),
            server_slots: (0..config.servers).map(slot).collect(),
            local: BTreeMap::new(),
            sequence: 0,
            gangs: BTreeMap::new(),
            active_faults: ActiveFaults::default(),
            snapshots_written: 0,
            snapshots_sent: 0,
            oracle: Oracle::default(),
            has_configuration: false,
            final_reads_begun: false,
            config,
            rng,
        }
    }

    /// Seeds the network's own random generator.
    pub(crate) fn seed_network(&mut self) {
        self.network = Network::new(self.rng.u64(..));
    }

    pub(crate) fn send_to_agent_link(&mut self, slot: usize, message: AgentLinkMessage) {
        self.sequence += 1;
        let arrives = self.now + self.rng.u64(1..4);
        self.local.insert((arrives, self.sequence), (slot, message));
    }

    /// The core machines on the operator's list.
    pub(crate) fn cores(&self) -> Vec<usize> {
        self.core_list.clone()
    }

    pub(crate) fn fronts(&self) -> Range<usize> {
        self.config.fronts()
    }

    pub(crate) fn agent_of(&self, slot: usize) -> usize {
        self.config.agents().start + slot
    }

    /// Draws new seeds from the operator's list for processes that start from now on.
    pub(crate) fn choose_seeds(&mut self) {
        let chosen = self
            .rng
            .choose_multiple(self.core_list.iter().copied(), SEEDS);
        self.seeds = chosen.into_iter().map(address_of).collect();
    }

    /// Adds a machine without starting its process.
    pub(crate) fn add_machine(&mut self, role: Role) -> usize {
        let clock = draw_clock(&mut self.rng);
        let machine = self.machines.len();
        self.machines.push(Machine {
            starts_at: None,
            ..Machine::new(role, clock)
        });
        self.machines[machine].disk_since = self.now;
        self.endpoints.push(Endpoint {
            running: false,
            powered: true,
            hello: hello(machine, role),
        });
        machine
    }

    /// Replaces a core machine by another on the operator's list.
    pub(crate) fn replace_in_list(&mut self, old: usize, new: usize) {
        self.core_list
            .iter_mut()
            .filter(|machine| **machine == old)
            .for_each(|machine| *machine = new);
    }

    /// The newest view known to a front.
    pub(crate) fn newest_view(&self) -> Option<View> {
        let views = self
            .fronts()
            .filter_map(|front| match &self.machines[front].process {
                Some(Process::Front(front)) => Some(front.view()),
                _ => None,
            });
        views.max_by_key(|view| view.number).cloned()
    }

    /// The machines of the chain in that view, head first.
    pub(crate) fn chain(&self) -> Vec<usize> {
        let view = self.newest_view().unwrap_or_default();
        view.chain
            .iter()
            .filter_map(|disk| view.address(*disk))
            .map(machine_at)
            .collect()
    }

    /// The machine of the head in that view.
    pub(crate) fn head(&self) -> Option<usize> {
        self.chain().first().copied()
    }

    /// The running core processes.
    pub(crate) fn running_cores(&self) -> impl Iterator<Item = &CoreMachine> {
        let processes = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        processes.filter_map(|process| match process {
            Process::Core(core) => Some(core.as_ref()),
            Process::Front(_) | Process::Agent(_) => None,
        })
    }

    /// The running core process whose replica has applied the most operations.
    pub(crate) fn newest_core(&self) -> Option<&CoreMachine> {
        self.running_cores().max_by_key(|core| core.applied())
    }

    pub(crate) fn wall(&self) -> u64 {
        WALL_START_MS + self.now
    }

    pub(crate) fn is_stable(&self) -> bool {
        self.has_configuration && self.active_faults.is_stable(self.now)
    }

    /// Whether the effects of all faults have to be over.
    pub(crate) fn has_settled(&self) -> bool {
        self.has_configuration
            && self
                .active_faults
                .have_settled(self.now, self.config.settle_ms)
    }

    pub(crate) fn time_bounds(&self) -> TimeBounds {
        if self.is_stable() {
            TimeBounds::Checked
        } else {
            TimeBounds::Suspended
        }
    }

    pub(crate) fn restart_server(&mut self, slot: usize) {
        let now = self.now;
        let state = &mut self.server_slots[slot];
        state.incarnation += 1;
        state.back_at = None;
        state.server = Some(ModelServer::new(facts(slot, state.incarnation), now));
    }
}

fn hello(machine: usize, role: Role) -> Frame {
    Frame::Hello(Hello {
        address: address_of(machine),
        role,
        zone: String::new(),
        incarnation: 0,
        disk: None,
    })
}

fn draw_clock(rng: &mut fastrand::Rng) -> MachineClock {
    MachineClock {
        drift_ppm: rng.i64(-1_000..1_000),
        wall_offset_ms: rng.i64(-100..100),
        began: 0,
    }
}

fn facts(slot: usize, incarnation: u64) -> ServerFacts {
    let service = service_of_queue(slot % QUEUES.len());
    ServerFacts {
        id: ServerId(format!("s{slot}-{incarnation}")),
        service: ServiceName(service.to_owned()),
        version: "v1".to_owned(),
        zone: String::new(),
        capacity: Resources {
            cpu: 16_000,
            memory_mb: 32_000,
            gpu: 8,
        },
        labels: vec![
            ["a", "b"][slot / 2 % 2].to_owned(),
            format!("r1-{}", slot / 3 + 1),
        ],
    }
}
