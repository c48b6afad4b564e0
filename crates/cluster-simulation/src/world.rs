//! The world of one day: machines, network, servers, clients and the operator, moved on by steps of a millisecond.

use crate::checks::{Checks, Strictness};
use crate::clients::Client;
use crate::clock::{MachineClock, WALL_BEGIN_MS};
use crate::faults::Troubles;
use crate::machine::{address_of, Machine, ProcessEvent};
use crate::network::{Network, Presence};
use crate::operator::Operator;
use crate::plan::Plan;
use crate::planted::PlantedFault;
use crate::server::{BeatAnswer, ModelServer};
use crate::workload::{draw, QUEUES};
use lupinrack_cluster_api::identity::{JobId, PeerAddress, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::ServerFacts;
use lupinrack_cluster_api::wire::{Frame, Hello, Role};
use lupinrack_worker_agent::ServerHeartbeat;
use std::collections::BTreeMap;
use std::ops::Range;

/// Servers are moved on by this, in milliseconds.
pub const WORK_STEP_MS: u64 = 5;
/// After trouble, machines are in touch again after this long, in milliseconds.
pub const CONTACT_MS: u64 = 4_000;

/// How large a day is.
#[derive(Clone, Copy, Debug)]
pub struct DaySettings {
    /// Core machines, an odd number.
    pub cores: usize,
    /// Machines that clients reach.
    pub fronts: usize,
    /// Servers, each beside an agent.
    pub servers: usize,
    /// Jobs.
    pub jobs: u64,
    /// When the traffic and the faults end, in milliseconds.
    pub traffic_ms: u64,
    /// How long after that everything has to be done, in milliseconds.
    pub finish_ms: u64,
    /// Whether there are faults.
    pub faults: bool,
    /// A fault of the system itself.
    pub planted: Option<PlantedFault>,
}

impl Default for DaySettings {
    fn default() -> DaySettings {
        DaySettings {
            cores: 3,
            fronts: 2,
            servers: 6,
            jobs: 40,
            traffic_ms: 40_000,
            finish_ms: 30_000,
            faults: true,
            planted: None,
        }
    }
}

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
    pub(crate) clients: Vec<Client>,
    pub(crate) operator: Operator,
    pub(crate) plan: Plan,
    pub(crate) troubles: Troubles,
    /// What was seen.
    pub checks: Checks,
    pub(crate) closing: bool,
}

impl World {
    /// The world at the beginning of the day of this seed.
    pub fn new(seed: u64, settings: DaySettings) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
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
        let plan = if settings.faults { Plan::draw(&mut rng, &settings) } else { Plan::default() };
        let mut world = World {
            now: 0,
            planted: settings.planted,
            network: Network::new(rng.u64(..)),
            machines,
            presences,
            places: (0..settings.servers).map(place).collect(),
            local: BTreeMap::new(),
            sequence: 0,
            gangs: BTreeMap::new(),
            clients: Vec::new(),
            operator: Operator::default(),
            plan,
            troubles: Troubles::default(),
            checks: Checks::default(),
            closing: false,
            settings,
            rng,
        };
        world.draw_clients();
        world.begin_change();
        world
    }

    fn draw_clients(&mut self) {
        for number in 1..=self.settings.jobs {
            let begins_at = 2_500 + self.rng.u64(0..self.settings.traffic_ms - 10_000);
            let drawn = draw(&mut self.rng, number, WALL_BEGIN_MS + begins_at);
            let cancelled = drawn.truth.is_lasting() || self.rng.u32(0..15) == 0;
            let cancel_at = cancelled.then(|| begins_at + self.rng.u64(500..9_000));
            let job = JobId(number);
            self.checks.jobs.insert(job, drawn.truth);
            self.clients.push(Client::new(job, drawn.queue, begins_at, cancel_at));
        }
    }

    /// Moves on by a millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        self.start_machines();
        for (machine, arrival) in self.network.advance(now, &self.presences) {
            self.arrive(machine, arrival);
        }
        self.advance_disks();
        self.tick_machines();
        self.deliver_local();
        if now.is_multiple_of(WORK_STEP_MS) {
            self.work();
            self.send_heartbeats();
            self.serve_clients();
            self.serve_operator();
            self.follow_plan();
        }
    }

    fn deliver_local(&mut self) {
        while let Some(entry) = self.local.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (place, message) = entry.remove();
            let side = self.side_of(place);
            match message {
                LocalMessage::Heartbeat(beat, sent_at) => {
                    self.dispatch(side, ProcessEvent::Heartbeat { beat, sent_at });
                }
                LocalMessage::Answer(life, answer) => self.answer(place, life, &answer),
                LocalMessage::Left(server) => self.dispatch(side, ProcessEvent::Left(server)),
            }
        }
    }

    pub(crate) fn send_local(&mut self, place: usize, message: LocalMessage) {
        self.sequence += 1;
        let arrives = self.now + self.rng.u64(1..4);
        self.local.insert((arrives, self.sequence), (place, message));
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        for place in 0..self.places.len() {
            let Some(server) = &mut self.places[place].server else { continue };
            if !server.wants_to_beat(now) {
                continue;
            }
            let heartbeat = server.beat(now);
            let beat = ServerHeartbeat {
                ends_listed: heartbeat.finished.len(),
                facts: server.facts.clone(),
                heartbeat,
                unknown_runs: Vec::new(),
                address: String::new(),
                slots: 8,
                cold_remaining_ms: 0,
                clock_ms: now,
            };
            self.send_local(place, LocalMessage::Heartbeat(Box::new(beat), now));
        }
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
        self.operator.has_begun() && self.troubles.is_calm(self.now)
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing
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
    let service = crate::configuration::service_of_queue(place % QUEUES.len());
    ServerFacts {
        id: ServerId(format!("s{place}-{life}")),
        service: ServiceName(service.to_owned()),
        version: "v1".to_owned(),
        zone: String::new(),
        capacity: Resources { cpu: 16_000, memory_mb: 32_000, gpu: 8 },
        labels: vec![["a", "b"][place / 2 % 2].to_owned(), format!("r1-{}", place / 3 + 1)],
    }
}
