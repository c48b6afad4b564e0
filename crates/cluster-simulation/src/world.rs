//! The world of one day: machines, network and servers. It owns their state and knows nobody who acts on it.

use crate::checks::{Checks, Strictness};
use crate::clock::{MachineClock, WALL_BEGIN_MS};
use crate::configuration::service_of_queue;
use crate::machine::{address_of, Machine};
use crate::network::{Network, Presence};
use crate::planted::PlantedFault;
use crate::server::{BeatAnswer, ModelServer};
use crate::settings::DaySettings;
use crate::troubles::Troubles;
use crate::workload::QUEUES;
use lupinrack_cluster_api::identity::{PeerAddress, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::wire::{Frame, Hello, Role};
use lupinrack_worker_agent::ServerHeartbeat;
use std::collections::BTreeMap;
use std::ops::Range;

/// The place of a server.
#[derive(Debug)]
pub struct Place {
    /// The server; none while it is down.
    pub server: Option<ModelServer>,
    /// Its life, or that of the last one.
    pub life: u64,
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
    pub(crate) rng: fastrand::Rng,
    pub(crate) network: Network,
    pub(crate) machines: Vec<Machine>,
    pub(crate) presences: Vec<Presence>,
    pub(crate) places: Vec<Place>,
    pub(crate) local: BTreeMap<(u64, u64), (usize, LocalMessage)>,
    pub(crate) sequence: u64,
    pub(crate) gangs: BTreeMap<(TaskId, u32), bool>,
    pub(crate) troubles: Troubles,
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
        let roles = roles.iter().flat_map(|(role, count)| std::iter::repeat_n(*role, *count));
        let machines: Vec<Machine> = roles.map(|role| Machine::new(role, draw_clock(&mut rng))).collect();
        let hello = |machine: usize, role: Role| {
            Frame::Hello(Hello {
                address: address_of(machine),
                role,
                zone: String::new(),
                life: 0,
                disk: None,
            })
        };
        let presence = |(machine, one): (usize, &Machine)| Presence {
            running: false,
            powered: true,
            hello: hello(machine, one.role),
        };
        let presences = machines.iter().enumerate().map(presence).collect();
        let place =
            |number| Place { server: Some(ModelServer::new(facts(number, 0), 0)), life: 0, back_at: None };
        World {
            now: 0,
            planted: settings.planted,
            network: Network::new(0),
            machines,
            presences,
            places: (0..settings.servers).map(place).collect(),
            local: BTreeMap::new(),
            sequence: 0,
            gangs: BTreeMap::new(),
            troubles: Troubles::default(),
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
        self.local.insert((arrives, self.sequence), (place, message));
    }

    pub(crate) fn cores(&self) -> Range<usize> {
        0..self.settings.cores
    }

    pub(crate) fn fronts(&self) -> Range<usize> {
        self.settings.cores..self.settings.cores + self.settings.fronts
    }

    pub(crate) fn side_of(&self, place: usize) -> usize {
        self.settings.cores + self.settings.fronts + place
    }

    pub(crate) fn seeds(&self) -> Vec<PeerAddress> {
        self.cores().map(address_of).collect()
    }

    pub(crate) fn wall(&self) -> u64 {
        WALL_BEGIN_MS + self.now
    }

    pub(crate) fn is_calm(&self) -> bool {
        self.has_configuration && self.troubles.is_calm(self.now)
    }

    pub(crate) fn strictness(&self) -> Strictness {
        Strictness { calm: self.is_calm() }
    }

    pub(crate) fn restart_server(&mut self, place: usize) {
        let now = self.now;
        let one = &mut self.places[place];
        one.life += 1;
        one.back_at = None;
        one.server = Some(ModelServer::new(facts(place, one.life), now));
    }
}

fn draw_clock(rng: &mut fastrand::Rng) -> MachineClock {
    MachineClock { drift_ppm: rng.i64(-1_000..1_000), wall_offset_ms: rng.i64(-100..100), began: 0 }
}

fn facts(place: usize, life: u64) -> ServerFacts {
    let service = service_of_queue(place % QUEUES.len());
    ServerFacts {
        id: ServerId(format!("s{place}-{life}")),
        service: ServiceName(service.to_owned()),
        version: "v1".to_owned(),
        zone: String::new(),
        capacity: Resources { cpu: 16_000, memory_mb: 32_000, gpu: 8 },
        labels: vec![["a", "b"][place / 2 % 2].to_owned(), format!("r1-{}", place / 3 + 1)],
    }
}
