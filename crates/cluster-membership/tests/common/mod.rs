//! A simulated network of members with delays, loss, partitions, suspensions and restarts, all determined by one seed.
#![allow(dead_code, reason = "every test file uses a different part")]

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::{Datagram, LiveMember, Outgoing, Swim, SwimSettings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const ZONES: [&str; 3] = ["east", "north", "west"];
const SEEDS: usize = 3;
const PORT: u16 = 7_000;
const MIN_DELAY_MS: u64 = 1;
const MAX_DELAY_MS: u64 = 12;
/// The size of the UDP and IP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

pub fn address(index: usize) -> PeerAddress {
    let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
    PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), PORT))
}

pub fn zone_of(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// The traffic that one member sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub datagrams: u64,
    pub bytes: u64,
    pub bytes_between_zones: u64,
}

struct SimulatedMember {
    swim: Option<Swim>,
    suspended: bool,
    socket_buffer: Vec<(usize, Vec<u8>)>,
    partition: usize,
    /// Members whose datagrams do not reach this member.
    unreachable_from: Vec<usize>,
    sent: Sent,
}

pub struct Network {
    pub now: Millis,
    pub settings: SwimSettings,
    pub loss_percent: u64,
    nodes: Vec<SimulatedMember>,
    in_flight: BinaryHeap<Reverse<(u64, u64, usize, usize)>>,
    bytes_in_flight: BTreeMap<u64, Vec<u8>>,
    last_sequence_number: u64,
    random: fastrand::Rng,
}

impl Network {
    /// Starts `count` members at the same time, with the first three of them as seeds.
    pub fn start(count: usize, loss_percent: u64, seed: u64) -> Network {
        let mut network = Network::empty(loss_percent, seed);
        for _ in 0..count {
            network.add();
        }
        network
    }

    pub fn empty(loss_percent: u64, seed: u64) -> Network {
        Network {
            now: Millis(1_000),
            settings: SwimSettings::default(),
            loss_percent,
            nodes: Vec::new(),
            in_flight: BinaryHeap::new(),
            bytes_in_flight: BTreeMap::new(),
            last_sequence_number: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adds a member, and returns its index.
    pub fn add(&mut self) -> usize {
        let index = self.nodes.len();
        self.nodes.push(SimulatedMember {
            swim: None,
            suspended: false,
            socket_buffer: Vec::new(),
            partition: 0,
            unreachable_from: Vec::new(),
            sent: Sent::default(),
        });
        self.restart(index);
        index
    }

    /// Starts a new process at a member's address.
    pub fn restart(&mut self, index: usize) {
        let role = match index % 4 {
            0 => Role::Core,
            1 => Role::Frontend,
            _ => Role::Agent,
        };
        let zone = zone_of(index).to_string();
        let own = LiveMember {
            address: address(index),
            role,
            zone,
            process_incarnation: self.random.u64(..),
        };
        let seeds = (0..SEEDS).map(address).collect();
        let swim = Swim::new(own, seeds, self.settings, self.random.u64(..), self.now);
        self.nodes[index].swim = Some(swim);
        self.nodes[index].suspended = false;
        self.nodes[index].socket_buffer.clear();
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].swim = None;
    }

    pub fn leave(&mut self, index: usize) {
        let outgoing = self.swim_mut(index).leave();
        self.send_all(index, outgoing);
        self.kill(index);
    }

    pub fn suspend(&mut self, index: usize) {
        self.nodes[index].suspended = true;
    }

    /// Ends a suspension: the member receives all datagrams that arrived meanwhile, as from a socket's buffer.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].suspended = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[index].socket_buffer) {
            self.receive(from, index, &bytes);
        }
    }

    /// Moves a member to a partition: datagrams are delivered only within a partition.
    pub fn move_to_partition(&mut self, index: usize, partition: usize) {
        self.nodes[index].partition = partition;
    }

    /// Breaks the link between two members in both directions.
    pub fn break_link(&mut self, one: usize, other: usize) {
        self.nodes[one].unreachable_from.push(other);
        self.nodes[other].unreachable_from.push(one);
    }

    pub fn swim(&self, index: usize) -> &Swim {
        self.nodes[index].swim.as_ref().expect("the member runs")
    }

    fn swim_mut(&mut self, index: usize) -> &mut Swim {
        self.nodes[index].swim.as_mut().expect("the member runs")
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].swim.is_some())
            .collect()
    }

    /// Whether the live table of each of these members holds exactly these members.
    pub fn agree_on(&self, members: &[usize]) -> bool {
        let mut expected: Vec<PeerAddress> = members.iter().map(|index| address(*index)).collect();
        expected.sort();
        members
            .iter()
            .all(|index| self.table_of(*index) == expected)
    }

    pub fn table_of(&self, index: usize) -> Vec<PeerAddress> {
        self.swim(index)
            .live_table()
            .members()
            .iter()
            .map(|member| member.address)
            .collect()
    }

    /// How many of the observers consider the member `of` present.
    pub fn observer_count(&self, observers: &[usize], of: usize) -> usize {
        let considers_present =
            |index: &&usize| self.swim(**index).live_table().get(address(of)).is_some();
        observers.iter().filter(considers_present).count()
    }

    pub fn sent(&self, index: usize) -> Sent {
        self.nodes[index].sent
    }

    pub fn clear_sent(&mut self) {
        self.nodes
            .iter_mut()
            .for_each(|node| node.sent = Sent::default());
    }

    /// Runs the network for this many milliseconds.
    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now.plus(milliseconds);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds, which is checked every 100 ms. Returns the elapsed milliseconds, or `None` if it took
    /// longer than `max_ms`.
    pub fn run_until(&mut self, max_ms: u64, condition: impl Fn(&Network) -> bool) -> Option<u64> {
        let started_at = self.now;
        while self.now.since(started_at) <= max_ms {
            if condition(self) {
                return Some(self.now.since(started_at));
            }
            self.run(100);
        }
        None
    }

    /// Runs the network for one millisecond.
    fn step(&mut self) {
        self.now = self.now.plus(1);
        while let Some(Reverse((arrives_at, number, from, to))) = self.in_flight.peek().copied() {
            if arrives_at > self.now.0 {
                break;
            }
            self.in_flight.pop();
            if let Some(bytes) = self.bytes_in_flight.remove(&number) {
                self.arrive(from, to, bytes);
            }
        }
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(swim) = node.swim.as_mut().filter(|_| !node.suspended) else {
            return;
        };
        if swim.next_wakeup() <= now {
            let outgoing = swim.tick(now);
            self.send_all(index, outgoing);
        }
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let same_partition = self.nodes[from].partition == self.nodes[to].partition;
        if !same_partition || self.nodes[to].unreachable_from.contains(&from) {
            return;
        }
        match self.nodes[to].suspended {
            true => self.nodes[to].socket_buffer.push((from, bytes)),
            false => self.receive(from, to, &bytes),
        }
    }

    fn receive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.now;
        let datagram = Datagram::decode(bytes).expect("members send valid datagrams");
        let Some(swim) = self.nodes[to].swim.as_mut() else {
            return;
        };
        let outgoing = swim.receive(address(from), datagram, now);
        self.send_all(to, outgoing);
    }

    fn send_all(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, datagram } in outgoing {
            let bytes = datagram.encode();
            assert_eq!(
                Datagram::decode(&bytes).as_ref(),
                Ok(&datagram),
                "the encoding omits no update"
            );
            let to = index_of(to);
            let between_zones = to.is_none_or(|to| zone_of(from) != zone_of(to));
            let sent = &mut self.nodes[from].sent;
            sent.datagrams += 1;
            sent.bytes += bytes.len() as u64 + HEADER_BYTES;
            sent.bytes_between_zones += if between_zones {
                bytes.len() as u64 + HEADER_BYTES
            } else {
                0
            };
            let lost = self.random.u64(0..100) < self.loss_percent;
            let Some(to) = to.filter(|to| !lost && *to < self.nodes.len()) else {
                continue;
            };
            self.last_sequence_number += 1;
            let arrives_at = self.now.0 + self.random.u64(MIN_DELAY_MS..=MAX_DELAY_MS);
            self.in_flight
                .push(Reverse((arrives_at, self.last_sequence_number, from, to)));
            self.bytes_in_flight
                .insert(self.last_sequence_number, bytes);
        }
    }
}

fn index_of(peer: PeerAddress) -> Option<usize> {
    (u32::from(*peer.0.ip()) & 0xffff)
        .checked_sub(1)
        .map(|index| index as usize)
}
