//! The world of one day: machines, network and servers. It owns their state and knows nobody who acts on it.

use crate::checks::{Checks, Strictness};
use crate::clock::{MachineClock, WALL_BEGIN_MS};
use crate::configuration::service_of_queue;
use crate::machine::{address_of, machine_at, Machine, Process};
use crate::network::{Network, Presence};
use crate::planted::{PlantedFault, Planting};
use crate::server::{BeatAnswer, ModelServer};
use crate::settings::DaySettings;
use crate::troubles::Troubles;
use crate::workload::QUEUES;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::view::View;
use lupinrack_worker_agent::ServerHeartbeat;
use std::collections::BTreeMap;
use std::ops::Range;

/// How many seeds a process is given at most.
const SEEDS: usize = 3;

/// The place of a server.
#[derive(Debug)]
pub struct Place {
    /// The server; none while it is down.
    pub server: Option<ModelServer>,
    /// Its life, or that of the last one.
    pub incarnation: u64,
    /// When it comes back.
    pub back_at: Option<u64>,
}

/// What is on its way between a server and its agent.
#[derive(Debug)]
pub enum LocalMessage {
    /// A heartbeat.
    Heartbeat(Box<ServerHeartbeat>, u64),
    /// The answer to one.
    Answer(u64, BeatAnswer),
    /// The server has left in order.
    Left(ServerId),
}

/// Everything.
#[derive(Debug)]
pub struct World {
    /// Milliseconds since the day began.
    pub now: u64,
    pub(crate) settings: DaySettings,
    pub(crate) planted: Option<PlantedFault>,
    pub(crate) planting: Planting,
    pub(crate) rng: fastrand::Rng,
    pub(crate) network: Network,
    pub(crate) machines: Vec<Machine>,
    pub(crate) presences: Vec<Presence>,
    /// The core machines of the operator's list.
    pub(crate) core_list: Vec<usize>,
    /// The seeds that a process is given that starts now.
    pub(crate) seeds: Vec<PeerAddress>,
    pub(crate) places: Vec<Place>,
    pub(crate) local: BTreeMap<(u64, u64), (usize, LocalMessage)>,
    pub(crate) sequence: u64,
    pub(crate) gangs: BTreeMap<(TaskId, u32), bool>,
    pub(crate) troubles: Troubles,
    /// How many snapshots were written.
    pub(crate) snapshots_written: usize,
    /// How many snapshots disks were sent, by their first pieces.
    pub(crate) snapshots_sent: usize,
    /// What was seen.
    pub checks: Checks,
    /// Whether the operator knows that a configuration was taken.
    pub(crate) has_configuration: bool,
    /// Whether the last questions are being asked.
    pub(crate) closing: bool,
}

impl World {
    /// The world at the beginning of a day.
    pub fn new(mut rng: fastrand::Rng, settings: DaySettings) -> World {
        let roles = [
            (Role::Core, settings.cores),
            (Role::Frontend, settings.fronts),
            (Role::Agent, settings.servers),
        ];
        let roles = roles
            .iter()
            .flat_map(|(role, count)| std::iter::repeat_n(*role, *count));
        let machines: Vec<Machine> = roles
            .map(|role| Machine::new(role, draw_clock(&mut rng)))
            .collect();
        let presence = |(machine, one): (usize, &Machine)| Presence {
            running: false,
            powered: true,
            hello: hello(machine, one.role),
        };
        let presences = machines.iter().enumerate().map(presence).collect();
        let place = |number| Place {
            server: Some(ModelServer::new(facts(number, 0), 0)),
            incarnation: 0,
            back_at: None,
        };
        World {
            now: 0,
            planted: settings.planted,
            planting: Planting::default(),
            network: Network::new(0),
            machines,
            presences,
            core_list: (0..settings.cores).collect(),
            seeds: (0..settings.cores.min(SEEDS)).map(address_of).collect(),
            places: (0..settings.servers).map(place).collect(),
            local: BTreeMap::new(),
            sequence: 0,
            gangs: BTreeMap::new(),
            troubles: Troubles::default(),
            snapshots_written: 0,
            snapshots_sent: 0,
            checks: Checks::default(),
            has_configuration: false,
            closing: false,
            settings,
            rng,
        }
    }

    /// Gives the network its own seed.
    pub(crate) fn seed_network(&mut self) {
        self.network = Network::new(self.rng.u64(..));
    }

    pub(crate) fn send_local(&mut self, place: usize, message: LocalMessage) {
        self.sequence += 1;
        let arrives = self.now + self.rng.u64(1..4);
        self.local
            .insert((arrives, self.sequence), (place, message));
    }

    /// The core machines of the operator's list.
    pub(crate) fn cores(&self) -> Vec<usize> {
        self.core_list.clone()
    }

    pub(crate) fn fronts(&self) -> Range<usize> {
        self.settings.fronts()
    }

    pub(crate) fn side_of(&self, place: usize) -> usize {
        self.settings.sides().start + place
    }

    /// Draws other seeds from the operator's list, for processes that start from now on.
    pub(crate) fn draw_seeds(&mut self) {
        let chosen = self
            .rng
            .choose_multiple(self.core_list.iter().copied(), SEEDS);
        self.seeds = chosen.into_iter().map(address_of).collect();
    }

    /// Adds a machine, which nothing starts yet.
    pub(crate) fn add_machine(&mut self, role: Role) -> usize {
        let clock = draw_clock(&mut self.rng);
        let machine = self.machines.len();
        self.machines.push(Machine {
            starts_at: None,
            ..Machine::new(role, clock)
        });
        self.machines[machine].disk_since = self.now;
        self.presences.push(Presence {
            running: false,
            powered: true,
            hello: hello(machine, role),
        });
        machine
    }

    /// Lets a core machine take the place of another in the operator's list.
    pub(crate) fn replace_in_list(&mut self, old: usize, new: usize) {
        self.core_list
            .iter_mut()
            .filter(|machine| **machine == old)
            .for_each(|machine| *machine = new);
    }

    /// The newest view that a front knows.
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

    pub(crate) fn wall(&self) -> u64 {
        WALL_BEGIN_MS + self.now
    }

    pub(crate) fn is_calm(&self) -> bool {
        self.has_configuration && self.troubles.is_calm(self.now)
    }

    pub(crate) fn strictness(&self) -> Strictness {
        Strictness {
            calm: self.is_calm(),
        }
    }

    pub(crate) fn restart_server(&mut self, place: usize) {
        let now = self.now;
        let one = &mut self.places[place];
        one.incarnation += 1;
        one.back_at = None;
        one.server = Some(ModelServer::new(facts(place, one.incarnation), now));
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

fn facts(place: usize, incarnation: u64) -> ServerFacts {
    let service = service_of_queue(place % QUEUES.len());
    ServerFacts {
        id: ServerId(format!("s{place}-{incarnation}")),
        service: ServiceName(service.to_owned()),
        version: "v1".to_owned(),
        zone: String::new(),
        capacity: Resources {
            cpu: 16_000,
            memory_mb: 32_000,
            gpu: 8,
        },
        labels: vec![
            ["a", "b"][place / 2 % 2].to_owned(),
            format!("r1-{}", place / 3 + 1),
        ],
    }
}
