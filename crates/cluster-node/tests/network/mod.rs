//! Simulated core processes on a network whose links can be partitioned in one direction, without sockets, disks or clocks.
//!
//! A partitioned link queues frames and delivers them in order after it heals, like a connection that survives the
//! partition. A frozen process queues its events and receives all of them when it thaws.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

pub mod disk;
pub mod operator;
pub mod service_owner;

use disk::Disk;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::request::{ProcessQuery, Reply, Request};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::Voter;
use lupinrack_cluster_node::control_api::{HeadCall, ProcessCall};
use lupinrack_cluster_node::core::{CoreEffect, CoreEvent, CoreMachine, CoreSettings, Moment};
use lupinrack_control_store::Recovered;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio::sync::oneshot;

/// Simulated time of one step, in milliseconds.
pub const STEP_MS: u64 = 1;
const TICK_MS: u64 = 25;
const LINK_MS: u64 = 1;
/// How long a sync takes unless a test sets another time, in milliseconds.
const SYNC_MS: u64 = 2;
const REMEMBER_MS: u64 = 60_000;

/// An event that reaches a process at a given time, in milliseconds.
struct ScheduledEvent {
    at: u64,
    to: usize,
    event: CoreEvent,
}

struct Process {
    machine: CoreMachine,
    /// Its disk, address and zone.
    voter: Voter,
    /// Changes with every restart.
    incarnation: u64,
    is_frozen: bool,
    has_ended: bool,
    disk: Disk,
    /// Events that arrived while it was frozen.
    pending: VecDeque<CoreEvent>,
}

impl Process {
    fn new(machine: CoreMachine, voter: Voter, incarnation: u64) -> Process {
        Process {
            machine,
            voter,
            incarnation,
            is_frozen: false,
            has_ended: false,
            disk: Disk::new(SYNC_MS),
            pending: VecDeque::new(),
        }
    }
}

/// A frame that a process sent to an address outside of the core.
pub struct OutsideFrame {
    /// The number of the sending process.
    pub from: usize,
    /// The frame.
    pub frame: Frame,
}

/// Core processes, numbered from 0. The number after the last one stands for everything outside of the core.
pub struct Network {
    /// Simulated time in milliseconds.
    pub now: u64,
    processes: Vec<Process>,
    scheduled: VecDeque<ScheduledEvent>,
    partitions: BTreeSet<(usize, usize)>,
    waiting: BTreeMap<(usize, usize), VecDeque<Frame>>,
    /// Frames sent to the outside that the test has not taken yet.
    pub sent_outside: Vec<OutsideFrame>,
    /// Links with limited bandwidth.
    limited_links: BTreeMap<(usize, usize), LimitedLink>,
}

/// A link with limited bandwidth; frames queue until `busy_until`, in milliseconds.
struct LimitedLink {
    bytes_per_ms: f64,
    busy_until: f64,
}

fn address(number: usize) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 0, 0, number as u8 + 1),
        7_000,
    ))
}

fn voter(number: usize, incarnation: u64) -> Voter {
    Voter {
        disk: DiskId(incarnation),
        address: address(number),
        zone: String::new(),
    }
}

/// The one connection between two processes.
fn connection(one: usize, other: usize) -> u64 {
    (one.min(other) * 100 + one.max(other)) as u64
}

impl Network {
    /// Starts `count` core processes, which found the first view together.
    pub fn new(count: usize) -> Network {
        Network::with_slow_disks(count, SYNC_MS)
    }

    /// Restarts core processes, each as the given voter and with the state recovered from its disk.
    pub fn restored(disks: Vec<(Voter, Recovered)>) -> Network {
        let seeds: Vec<PeerAddress> = disks.iter().map(|(voter, _)| voter.address).collect();
        let restored = |(number, (voter, recovered)): (usize, (Voter, Recovered))| {
            let incarnation = number as u64 + 1;
            let settings = CoreSettings {
                name: format!("core-{incarnation}"),
                seeds: seeds.clone(),
                tolerated_losses: (seeds.len() - 1) / 2,
                remember_ms: REMEMBER_MS,
                ..CoreSettings::with_defaults(voter.clone(), incarnation)
            };
            let machine = CoreMachine::new(settings, recovered, start_moment())
                .expect("the disk can be read");
            Process::new(machine, voter, incarnation)
        };
        Network::from_processes(disks.into_iter().enumerate().map(restored).collect())
    }

    /// Starts `count` core processes, which found the first view together, on disks whose every sync takes this long.
    pub fn with_slow_disks(count: usize, sync_ms: u64) -> Network {
        let processes = (0..count).map(|number| {
            let incarnation = number as u64 + 1;
            let machine = machine(number, count, incarnation, true, sync_ms);
            let mut process = Process::new(machine, voter(number, incarnation), incarnation);
            process.disk = Disk::new(sync_ms);
            process
        });
        Network::from_processes(processes.collect())
    }

    /// How many syncs the disk of a process has completed.
    pub fn syncs(&self, number: usize) -> u64 {
        self.processes[number].disk.completed()
    }

    fn from_processes(processes: Vec<Process>) -> Network {
        let mut network = Network {
            now: 1,
            processes,
            scheduled: VecDeque::new(),
            partitions: BTreeSet::new(),
            waiting: BTreeMap::new(),
            sent_outside: Vec::new(),
            limited_links: BTreeMap::new(),
        };
        for (from, to) in network.links() {
            network.send_hello(from, to);
        }
        network
    }

    /// The number of processes.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// The number that stands for the outside.
    fn outside(&self) -> usize {
        self.processes.len()
    }

    /// The listen address of a process or of the outside.
    fn address(&self, number: usize) -> PeerAddress {
        self.processes
            .get(number)
            .map_or_else(|| address(number), |process| process.voter.address)
    }

    fn links(&self) -> Vec<(usize, usize)> {
        let count = self.count();
        let all = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        all.filter(|(from, to)| from != to).collect()
    }

    fn moment(&self) -> Moment {
        Moment {
            now: Millis(self.now),
            wall: WallMillis(1_700_000_000_000 + self.now),
        }
    }

    /// Partitions a link in one direction.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    /// Limits the bandwidth of a link in one direction.
    pub fn limit_bandwidth(&mut self, from: usize, to: usize, bytes_per_s: u64) {
        let link = LimitedLink {
            bytes_per_ms: bytes_per_s as f64 / 1_000.0,
            busy_until: 0.0,
        };
        self.limited_links.insert((from, to), link);
    }

    /// When a frame that is sent now arrives, in milliseconds.
    fn arrival_ms(&mut self, from: usize, to: usize, frame: &Frame) -> u64 {
        let now = self.now + LINK_MS;
        let Some(link) = self.limited_links.get_mut(&(from, to)) else {
            return now;
        };
        let bytes = borsh::object_length(frame).expect("a frame is encoded") as f64;
        link.busy_until = link.busy_until.max(now as f64) + bytes / link.bytes_per_ms;
        link.busy_until as u64
    }

    /// Heals all links and delivers the frames queued on them.
    pub fn heal(&mut self) {
        self.partitions.clear();
        for ((from, to), frames) in std::mem::take(&mut self.waiting) {
            frames
                .into_iter()
                .for_each(|frame| self.deliver(from, to, frame));
        }
    }

    /// Freezes a process: it queues all events until it thaws.
    pub fn freeze(&mut self, number: usize) {
        self.processes[number].is_frozen = true;
    }

    /// Thaws a process: it receives the queued events first and then its overdue timer tick.
    pub fn thaw(&mut self, number: usize) {
        if !std::mem::replace(&mut self.processes[number].is_frozen, false) {
            return;
        }
        let queued = std::mem::take(&mut self.processes[number].pending);
        queued
            .into_iter()
            .for_each(|event| self.receive(number, event));
        self.receive(number, CoreEvent::Tick);
    }

    /// Requests a graceful shutdown; the process ends once it is complete.
    pub fn terminate(&mut self, number: usize) {
        self.receive(number, CoreEvent::Terminate);
    }

    /// Restarts a process at once with an empty disk. Frames in flight from or to it are lost.
    pub fn wipe(&mut self, number: usize) {
        self.end_process(number);
        let incarnation = self
            .processes
            .iter()
            .map(|process| process.incarnation)
            .max()
            .unwrap_or(0)
            + 1;
        let machine = machine(number, self.count(), incarnation, false, SYNC_MS);
        self.processes[number] = Process::new(machine, voter(number, incarnation), incarnation);
        for other in (0..self.count()).filter(|other| *other != number) {
            self.send_hello(number, other);
            self.send_hello(other, number);
        }
    }

    /// Ends a process and closes its connections.
    pub fn end_process(&mut self, number: usize) {
        self.processes[number].has_ended = true;
        let from = self.address(number);
        self.scheduled.retain(|event| {
            event.to != number
                && !matches!(&event.event, CoreEvent::Frame { from: sender, .. } if *sender == from)
        });
        for other in (0..self.count()).filter(|other| *other != number) {
            let event = CoreEvent::Closed {
                from,
                connection: connection(number, other),
            };
            self.scheduled.push_back(ScheduledEvent {
                at: self.now + LINK_MS,
                to: other,
                event,
            });
        }
    }

    fn send_hello(&mut self, from: usize, to: usize) {
        let Process {
            voter, incarnation, ..
        } = &self.processes[from];
        let hello = Hello {
            address: voter.address,
            role: Role::Core,
            zone: voter.zone.clone(),
            incarnation: *incarnation,
            disk: Some(voter.disk),
        };
        self.deliver(from, to, Frame::Hello(hello));
    }

    /// Makes an operator's call to a process.
    pub fn call(
        &mut self,
        number: usize,
        request: Request,
        wait_ms: u64,
    ) -> oneshot::Receiver<Reply> {
        let (reply_to, reply) = oneshot::channel();
        let call = HeadCall {
            request,
            reply_to,
            remaining_ms: wait_ms,
        };
        self.receive(number, CoreEvent::Call(call));
        reply
    }

    /// The status text that a process reports to operators.
    pub fn status(&mut self, number: usize) -> String {
        let (reply_to, mut text) = oneshot::channel();
        self.receive(
            number,
            CoreEvent::Query(ProcessCall {
                query: ProcessQuery::Status,
                reply_to,
            }),
        );
        text.try_recv()
            .expect("a process answers a status query at once")
    }

    /// The number of the newest view that a process knows.
    pub fn view_number(&mut self, number: usize) -> u64 {
        let status = self.status(number);
        let view = status.lines().find_map(|line| line.strip_prefix("view "));
        view.and_then(|view| view.parse().ok())
            .expect("a status names the view")
    }

    /// Advances until every process knows a view; after how many milliseconds, if that is within `wait_ms`.
    pub fn advance_until_founded(&mut self, wait_ms: u64) -> Option<u64> {
        let began = self.now;
        while self.now < began + wait_ms {
            self.step();
            if (0..self.count()).all(|number| self.view_number(number) > 0) {
                return Some(self.now - began);
            }
        }
        None
    }

    /// Sends a frame from the outside to a process.
    pub fn send_from_outside(&mut self, to: usize, frame: Frame) {
        self.deliver(self.outside(), to, frame);
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        for _ in 0..self.scheduled.len() {
            let Some(event) = self.scheduled.pop_front() else {
                break;
            };
            if event.at > self.now {
                self.scheduled.push_back(event);
            } else {
                self.receive(event.to, event.event);
            }
        }
        for number in 0..self.count() {
            let synced = self.processes[number].disk.advance(self.now);
            if !synced.is_empty() {
                self.receive(number, CoreEvent::Synced(synced));
            }
            if self.now % TICK_MS == number as u64 && !self.processes[number].is_frozen {
                self.receive(number, CoreEvent::Tick);
            }
            let process = &self.processes[number];
            if !process.has_ended && process.machine.is_shutdown_complete(Millis(self.now)) {
                self.end_process(number);
            }
        }
    }

    /// Advances the time by this many milliseconds.
    pub fn advance_ms(&mut self, milliseconds: u64) {
        let until = self.now + milliseconds;
        while self.now < until {
            self.step();
        }
    }

    fn receive(&mut self, number: usize, event: CoreEvent) {
        let moment = self.moment();
        let process = &mut self.processes[number];
        if process.has_ended {
            return;
        }
        if process.is_frozen {
            process.pending.push_back(event);
            return;
        }
        process.machine.receive(event, moment);
        let effects = process.machine.take_effects(moment);
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(number, effect));
    }

    fn carry_out(&mut self, from: usize, effect: CoreEffect) {
        match effect {
            CoreEffect::Send { to, frame } => {
                let to = (0..self.count()).find(|number| self.address(*number) == to);
                if let Some(to) = to {
                    self.send(from, to, frame);
                }
            }
            CoreEffect::SendOn {
                connection: on_connection,
                frame,
            } => {
                let to = (0..=self.outside())
                    .find(|to| *to != from && connection(from, *to) == on_connection);
                if let Some(to) = to {
                    self.send(from, to, frame);
                }
            }
            CoreEffect::Write { number, .. } => self.processes[from].disk.write(number),
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if to == self.outside() {
            self.sent_outside.push(OutsideFrame { from, frame });
        } else if self.partitions.contains(&(from, to)) {
            self.waiting.entry((from, to)).or_default().push_back(frame);
        } else {
            self.deliver(from, to, frame);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, frame: Frame) {
        let incarnation = self
            .processes
            .get(from)
            .map_or(0, |process| process.incarnation);
        let address = self.address(from);
        let at = self.arrival_ms(from, to, &frame);
        let event = CoreEvent::Frame {
            from: address,
            incarnation,
            connection: connection(from, to),
            frame,
        };
        self.scheduled.push_back(ScheduledEvent { at, to, event });
    }
}

fn machine(
    number: usize,
    count: usize,
    incarnation: u64,
    founds: bool,
    sync_ms: u64,
) -> CoreMachine {
    let seeds: Vec<PeerAddress> = (0..count).map(address).collect();
    let settings = CoreSettings {
        name: format!("core-{number}"),
        founders: if founds { seeds.clone() } else { Vec::new() },
        seeds,
        sync_ms,
        tolerated_losses: (count - 1) / 2,
        remember_ms: REMEMBER_MS,
        ..CoreSettings::with_defaults(voter(number, incarnation), incarnation)
    };
    let recovered = Recovered {
        disk: Some(DiskId(incarnation)),
        ..Recovered::default()
    };
    CoreMachine::new(settings, recovered, start_moment()).expect("an empty disk can be read")
}

fn start_moment() -> Moment {
    Moment {
        now: Millis(1),
        wall: WallMillis(1_700_000_000_000),
    }
}
