//! Core processes on a network whose links can be partitioned in one direction, without sockets, disks or clocks.
//!
//! What is sent on a partitioned link waits for the link and then arrives in order, as on a connection that outlives the
//! partition. A frozen process takes nothing until it thaws; then everything reaches it at once.

// Each test file uses some of it.
#![allow(dead_code)]

pub mod operator;

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

/// Milliseconds of one step.
pub const STEP_MS: u64 = 1;
const TICK_MS: u64 = 25;
const LINK_MS: u64 = 1;
const DISK_MS: u64 = 2;
const REMEMBER_MS: u64 = 60_000;

/// Something that reaches a process at a moment.
struct Due {
    at: u64,
    to: usize,
    event: CoreEvent,
}

struct Process {
    machine: CoreMachine,
    /// Its disk, its address and its zone.
    me: Voter,
    /// Its incarnation; a new one where it begins anew.
    incarnation: u64,
    is_frozen: bool,
    has_ended: bool,
    /// What came while it was frozen.
    pending: VecDeque<CoreEvent>,
}

impl Process {
    fn new(machine: CoreMachine, me: Voter, incarnation: u64) -> Process {
        Process {
            machine,
            me,
            incarnation,
            is_frozen: false,
            has_ended: false,
            pending: VecDeque::new(),
        }
    }
}

/// A frame that a process sent to the outside.
pub struct Outward {
    /// The process.
    pub from: usize,
    /// The frame.
    pub frame: Frame,
}

/// Core processes, numbered from 0; the number after them stands for the outside.
pub struct Network {
    /// Milliseconds since the beginning.
    pub now: u64,
    processes: Vec<Process>,
    due: VecDeque<Due>,
    partitions: BTreeSet<(usize, usize)>,
    waiting: BTreeMap<(usize, usize), VecDeque<Frame>>,
    /// What was sent to the outside and not taken yet.
    pub outward: Vec<Outward>,
    /// Links that carry so many bytes a second only, and until when what was sent on them keeps them busy.
    narrow: BTreeMap<(usize, usize), NarrowLink>,
}

/// A link that carries little.
struct NarrowLink {
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
    /// So many core processes, which found the first view together.
    pub fn new(count: usize) -> Network {
        let processes = (0..count).map(|number| {
            let incarnation = number as u64 + 1;
            let machine = machine(number, count, incarnation, true);
            Process::new(machine, voter(number, incarnation), incarnation)
        });
        Network::of(processes.collect())
    }

    /// Core processes that begin anew, each as this voter, with what was found on its disk.
    pub fn restored(disks: Vec<(Voter, Recovered)>) -> Network {
        let seeds: Vec<PeerAddress> = disks.iter().map(|(me, _)| me.address).collect();
        let restored = |(number, (me, recovered)): (usize, (Voter, Recovered))| {
            let incarnation = number as u64 + 1;
            let settings = CoreSettings {
                name: format!("core-{incarnation}"),
                seeds: seeds.clone(),
                tolerated_losses: (seeds.len() - 1) / 2,
                remember_ms: REMEMBER_MS,
                ..CoreSettings::with_defaults(me.clone(), incarnation)
            };
            let machine =
                CoreMachine::new(settings, recovered, beginning()).expect("the disk can be read");
            Process::new(machine, me, incarnation)
        };
        Network::of(disks.into_iter().enumerate().map(restored).collect())
    }

    fn of(processes: Vec<Process>) -> Network {
        let mut network = Network {
            now: 1,
            processes,
            due: VecDeque::new(),
            partitions: BTreeSet::new(),
            waiting: BTreeMap::new(),
            outward: Vec::new(),
            narrow: BTreeMap::new(),
        };
        for (from, to) in network.links() {
            network.greet(from, to);
        }
        network
    }

    /// How many processes there are.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// The number that stands for the outside.
    fn outside(&self) -> usize {
        self.processes.len()
    }

    /// Where a process listens, or the outside.
    fn address(&self, number: usize) -> PeerAddress {
        self.processes
            .get(number)
            .map_or_else(|| address(number), |process| process.me.address)
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

    /// Has a link carry so many bytes a second only, in one direction.
    pub fn narrow(&mut self, from: usize, to: usize, bytes_per_s: u64) {
        let link = NarrowLink {
            bytes_per_ms: bytes_per_s as f64 / 1_000.0,
            busy_until: 0.0,
        };
        self.narrow.insert((from, to), link);
    }

    /// When a frame arrives that is sent now.
    fn arrival(&mut self, from: usize, to: usize, frame: &Frame) -> u64 {
        let now = self.now + LINK_MS;
        let Some(link) = self.narrow.get_mut(&(from, to)) else {
            return now;
        };
        let bytes = borsh::object_length(frame).expect("a frame is encoded") as f64;
        link.busy_until = link.busy_until.max(now as f64) + bytes / link.bytes_per_ms;
        link.busy_until as u64
    }

    /// Heals all links; what waited for them arrives.
    pub fn heal(&mut self) {
        self.partitions.clear();
        for ((from, to), frames) in std::mem::take(&mut self.waiting) {
            frames
                .into_iter()
                .for_each(|frame| self.deliver(from, to, frame));
        }
    }

    /// Stops a process where it stands.
    pub fn freeze(&mut self, number: usize) {
        self.processes[number].is_frozen = true;
    }

    /// Lets it go on. What came meanwhile reaches it at once, and then its timer, which is overdue.
    pub fn thaw(&mut self, number: usize) {
        if !std::mem::replace(&mut self.processes[number].is_frozen, false) {
            return;
        }
        let held = std::mem::take(&mut self.processes[number].pending);
        held.into_iter()
            .for_each(|event| self.receive(number, event));
        self.receive(number, CoreEvent::Tick);
    }

    /// Asks a process to shut down; it does so in its own time.
    pub fn terminate(&mut self, number: usize) {
        self.receive(number, CoreEvent::Terminate);
    }

    /// Begins a process anew at once, on an empty disk. What was on its way from or to it is lost.
    pub fn wipe(&mut self, number: usize) {
        self.end(number);
        let incarnation = self
            .processes
            .iter()
            .map(|process| process.incarnation)
            .max()
            .unwrap_or(0)
            + 1;
        let machine = machine(number, self.count(), incarnation, false);
        self.processes[number] = Process::new(machine, voter(number, incarnation), incarnation);
        for other in (0..self.count()).filter(|other| *other != number) {
            self.greet(number, other);
            self.greet(other, number);
        }
    }

    /// Ends a process with all its connections.
    fn end(&mut self, number: usize) {
        self.processes[number].has_ended = true;
        let from = self.address(number);
        self.due.retain(|due| {
            due.to != number
                && !matches!(&due.event, CoreEvent::Frame { from: by, .. } if *by == from)
        });
        for other in (0..self.count()).filter(|other| *other != number) {
            let event = CoreEvent::Closed {
                from,
                connection: connection(number, other),
            };
            self.due.push_back(Due {
                at: self.now + LINK_MS,
                to: other,
                event,
            });
        }
    }

    fn greet(&mut self, from: usize, to: usize) {
        let Process {
            me, incarnation, ..
        } = &self.processes[from];
        let hello = Hello {
            address: me.address,
            role: Role::Core,
            zone: me.zone.clone(),
            incarnation: *incarnation,
            disk: Some(me.disk),
        };
        self.deliver(from, to, Frame::Hello(hello));
    }

    /// The operator's call at a process.
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

    /// What a process reports of itself to operators.
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
            .expect("a question to a process is answered at once")
    }

    /// A frame of the outside to a process.
    pub fn send_from_outside(&mut self, to: usize, frame: Frame) {
        self.deliver(self.outside(), to, frame);
    }

    /// Lets time pass by one step.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        for _ in 0..self.due.len() {
            let Some(due) = self.due.pop_front() else {
                break;
            };
            if due.at > self.now {
                self.due.push_back(due);
            } else {
                self.receive(due.to, due.event);
            }
        }
        for number in 0..self.count() {
            if self.now % TICK_MS == number as u64 && !self.processes[number].is_frozen {
                self.receive(number, CoreEvent::Tick);
            }
            let process = &self.processes[number];
            if !process.has_ended && process.machine.is_shutdown_complete(Millis(self.now)) {
                self.end(number);
            }
        }
    }

    /// Lets so many milliseconds pass.
    pub fn pass(&mut self, milliseconds: u64) {
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
                connection: on,
                frame,
            } => {
                let to = (0..=self.outside()).find(|to| *to != from && connection(from, *to) == on);
                if let Some(to) = to {
                    self.send(from, to, frame);
                }
            }
            CoreEffect::Write { number, .. } => {
                let event = CoreEvent::Synced(vec![number]);
                self.due.push_back(Due {
                    at: self.now + DISK_MS,
                    to: from,
                    event,
                });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if to == self.outside() {
            self.outward.push(Outward { from, frame });
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
        let at = self.arrival(from, to, &frame);
        let event = CoreEvent::Frame {
            from: address,
            incarnation,
            connection: connection(from, to),
            frame,
        };
        self.due.push_back(Due { at, to, event });
    }
}

fn machine(number: usize, count: usize, incarnation: u64, founds: bool) -> CoreMachine {
    let seeds: Vec<PeerAddress> = (0..count).map(address).collect();
    let settings = CoreSettings {
        name: format!("core-{number}"),
        founders: if founds { seeds.clone() } else { Vec::new() },
        seeds,
        tolerated_losses: (count - 1) / 2,
        remember_ms: REMEMBER_MS,
        ..CoreSettings::with_defaults(voter(number, incarnation), incarnation)
    };
    let recovered = Recovered {
        disk: Some(DiskId(incarnation)),
        ..Recovered::default()
    };
    CoreMachine::new(settings, recovered, beginning()).expect("an empty disk can be read")
}

fn beginning() -> Moment {
    Moment {
        now: Millis(1),
        wall: WallMillis(1_700_000_000_000),
    }
}
