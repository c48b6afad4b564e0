//! The history of one seed: load, faults and views, then a period without faults.

use super::checker::{Checker, Violation};
use super::network::{Network, Packet};
use super::node::{Node, Requests};
use super::policy::Claims;
use super::InjectedFault;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const TICK_MS: u64 = 50;
const FAULTS_MS: u64 = 12_000;
const RECOVERY_MS: u64 = 8_000;

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// A packet arrives if the receiver's process is still the one that it was sent to.
    Arrive {
        packet: Packet,
        incarnation: u64,
    },
    /// A disk has synced its oldest writes.
    Synced {
        node: usize,
        incarnation: u64,
        writes: usize,
    },
    Tick {
        node: usize,
        incarnation: u64,
    },
    /// A process learns of a view.
    Learn {
        node: usize,
        view: View,
    },
    Start {
        node: usize,
        incarnation: u64,
    },
    /// The next operation, fault or proposal.
    Act,
}

/// The outcome of a history.
#[derive(Debug, Default)]
pub struct Summary {
    pub committed: u64,
    pub views: u64,
    pub barriers: u64,
    pub wipes: u64,
    pub snapshots: u64,
    pub violation: Option<Violation>,
}

/// The simulated world of one seed.
pub struct World {
    pub(super) random: fastrand::Rng,
    pub(super) fault: InjectedFault,
    pub(super) now: u64,
    pub(super) sequence: u64,
    pub(super) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    pub(super) nodes: Vec<Node>,
    pub(super) network: Network,
    pub(super) claims: Claims,
    pub(super) checker: Checker,
    /// All views that were agreed, by number from 1.
    pub(super) views: Vec<View>,
    pub(super) minimum_length: usize,
    pub(super) next_disk: u64,
    pub(super) next_operation: u64,
    pub(super) faults_ended: bool,
    pub(super) proposed_at: u64,
    pub(super) summary: Summary,
}

impl World {
    pub fn new(seed: u64, fault: InjectedFault) -> World {
        let mut random = fastrand::Rng::with_seed(seed);
        let count = random.usize(3..=9);
        let losses = random.usize(0..=(count - 1) / 2);
        let minimum_length = losses + 1;
        let disks: Vec<DiskId> = (1..=count as u64).map(DiskId).collect();
        let founding = View {
            number: 1,
            voters: Vec::new(),
            chain: disks[..count / 2 + 1].to_vec(),
        };
        let mut world = World {
            random,
            fault,
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            nodes: disks
                .iter()
                .map(|disk| Node::new(*disk, minimum_length, fault))
                .collect(),
            network: Network::default(),
            claims: Claims::default(),
            checker: Checker::new(),
            views: vec![founding],
            minimum_length,
            next_disk: count as u64 + 1,
            next_operation: 1,
            faults_ended: false,
            proposed_at: 0,
            summary: Summary::default(),
        };
        for node in 0..count {
            world.start(node);
        }
        world.schedule(20, Event::Act);
        world
    }

    /// Runs the history; ends early at the first violation.
    pub fn run(mut self) -> Summary {
        self.run_until(FAULTS_MS);
        self.end_faults();
        self.run_until(FAULTS_MS + RECOVERY_MS);
        self.check_end();
        self.summary.committed = self.checker.committed();
        self.summary.views = self.newest().number;
        self.summary.violation = self.checker.violation().cloned();
        self.summary
    }

    fn run_until(&mut self, end: u64) {
        while self.checker.violation().is_none() {
            let Some(Reverse((at, key))) = self.queue.peek().copied() else {
                return;
            };
            if at > end {
                self.now = end;
                return;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                let (view, committed) = (self.checker.newest_view(), self.checker.committed());
                self.happen(event);
                if self.checker.committed() > committed {
                    self.maybe_lose_disks(view < self.checker.newest_view());
                }
            }
        }
    }

    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(super) fn newest(&self) -> &View {
        &self.views[self.views.len() - 1]
    }

    pub(super) fn moment(&self) -> Millis {
        Millis(self.now)
    }

    pub(super) fn position(&self, disk: DiskId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == disk)
    }

    fn happen(&mut self, event: Event) {
        let now = self.moment();
        match event {
            Event::Arrive {
                packet,
                incarnation,
            } => self.arrive(packet, incarnation),
            Event::Synced {
                node,
                incarnation,
                writes,
            } if self.nodes[node].incarnation == incarnation => self.synced(node, writes),
            Event::Tick { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.tick(node)
            }
            Event::Learn { node, view } => {
                let requests = self.nodes[node].learn(view, now, &mut self.checker);
                self.serve(node, requests);
            }
            Event::Start { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                self.start(node)
            }
            Event::Act => self.act(),
            Event::Synced { .. } | Event::Tick { .. } | Event::Start { .. } => {}
        }
    }

    fn start(&mut self, node: usize) {
        self.nodes[node].start();
        let (disk, loaded) = (self.nodes[node].id, self.nodes[node].applied);
        self.checker.loaded(disk, loaded.index, loaded.state);
        let incarnation = self.nodes[node].incarnation;
        self.schedule(self.now + 1, Event::Tick { node, incarnation });
        self.announce(node);
    }

    /// Schedules the time at which a process learns of the newest view.
    pub(super) fn announce(&mut self, node: usize) {
        let view = self.newest().clone();
        let delay = if self.random.u8(..) < 40 {
            self.random.u64(0..2000)
        } else {
            self.random.u64(0..30)
        };
        self.schedule(self.now + delay, Event::Learn { node, view });
    }

    fn arrive(&mut self, packet: Packet, incarnation: u64) {
        let Some(node) = self.position(packet.to) else {
            return;
        };
        if self.nodes[node].incarnation != incarnation || !self.network.arrives(&packet) {
            return;
        }
        if let ChainMessage::Outdated { view } = &packet.message {
            self.schedule(
                self.now + 1,
                Event::Learn {
                    node,
                    view: view.clone(),
                },
            );
        }
        let now = self.moment();
        let requests =
            self.nodes[node].receive(packet.from, packet.message, now, &mut self.checker);
        self.serve(node, requests);
    }

    fn tick(&mut self, node: usize) {
        let now = self.moment();
        let requests = self.nodes[node].tick(now, &mut self.checker);
        self.serve(node, requests);
        self.note_claims(node);
        let incarnation = self.nodes[node].incarnation;
        self.schedule(self.now + TICK_MS, Event::Tick { node, incarnation });
    }

    fn note_claims(&mut self, node: usize) {
        let newest = self.newest().number;
        let Some(chain) = self.nodes[node]
            .chain
            .as_ref()
            .filter(|chain| chain.view().number == newest)
        else {
            return;
        };
        if chain.is_complete() {
            self.claims.complete(newest, self.nodes[node].id);
        }
        if chain.is_caught_up(Millis(self.now)) {
            self.claims.is_caught_up(newest, self.nodes[node].id);
        }
    }

    /// Sends the messages of a node and starts a sync of its disk.
    fn serve(&mut self, node: usize, requests: Requests) {
        let from = self.nodes[node].id;
        self.start_sync(node);
        for outgoing in requests.outgoing {
            self.summary.snapshots +=
                u64::from(matches!(outgoing.message, ChainMessage::Snapshot { .. }));
            let Some(to) = self
                .position(outgoing.to)
                .filter(|to| self.nodes[*to].chain.is_some())
            else {
                continue;
            };
            let incarnation = self.nodes[to].incarnation;
            let arrivals = self.network.send(
                from,
                outgoing.to,
                outgoing.message,
                self.now,
                &mut self.random,
            );
            for arrival in arrivals {
                self.schedule(
                    arrival.at,
                    Event::Arrive {
                        packet: arrival.packet,
                        incarnation,
                    },
                );
            }
        }
    }

    /// Starts a sync if none is in progress; it covers all pending writes.
    fn start_sync(&mut self, node: usize) {
        let writes = self.nodes[node].disk.start_sync();
        if writes == 0 {
            return;
        }
        let slow = self.nodes[node].disk_slow_until > self.now;
        let span = if slow {
            self.random.u64(100..900)
        } else {
            self.random.u64(1..12)
        };
        let incarnation = self.nodes[node].incarnation;
        self.schedule(
            self.now + span,
            Event::Synced {
                node,
                incarnation,
                writes,
            },
        );
    }

    fn synced(&mut self, node: usize, writes: usize) {
        for _ in 0..writes {
            let now = self.moment();
            let requests = self.nodes[node].synced(now, &mut self.checker);
            self.serve(node, requests);
        }
        self.nodes[node].disk.end_sync();
        self.start_sync(node);
    }

    fn act(&mut self) {
        let next = self.now + self.random.u64(1..20);
        self.schedule(next, Event::Act);
        match self.random.u32(0..1000) {
            0..400 => self.submit(),
            400..600 => self.start_barriers(),
            600..680 => self.compact(),
            680..760 if !self.faults_ended => self.reconnect(),
            760..785 if !self.faults_ended => self.partition(),
            785..800 if !self.faults_ended => self.slow_disk(),
            800..815 if !self.faults_ended => self.crash_one(),
            815..830 if !self.faults_ended => self.crash_head(),
            830..834 if !self.faults_ended => self.crash_all(),
            834..842 if !self.faults_ended => self.lose_disks(),
            842..900 if !self.faults_ended => self.propose_any(),
            900..1000 if self.faults_ended => self.propose_after_faults(),
            _ => {}
        }
    }

    pub(super) fn submit(&mut self) {
        let now = self.moment();
        for node in 0..self.nodes.len() {
            for _ in 0..self.random.u64(1..6) {
                self.next_operation += 1;
                let requests = self.nodes[node].submit(self.next_operation, now, &mut self.checker);
                self.serve(node, requests);
            }
        }
    }

    fn start_barriers(&mut self) {
        let now = self.moment();
        for node in 0..self.nodes.len() {
            let requests = self.nodes[node].start_barrier(now, &mut self.checker);
            self.summary.barriers += u64::from(!requests.outgoing.is_empty());
            self.serve(node, requests);
        }
    }

    /// Ends all faults.
    fn end_faults(&mut self) {
        self.faults_ended = true;
        self.network.faults_ended = true;
        for node in 0..self.nodes.len() {
            self.nodes[node].disk_slow_until = 0;
            if self.nodes[node].chain.is_none() {
                self.nodes[node].incarnation += 1;
                self.start(node);
            } else {
                self.announce(node);
            }
        }
    }

    fn check_end(&mut self) {
        let view = self.newest().number;
        let head = self.newest().head().and_then(|disk| self.position(disk));
        let chain = head.and_then(|node| self.nodes[node].chain.as_ref());
        let Some(chain) = chain.filter(|chain| chain.is_ready()) else {
            self.checker.report(Violation::Stuck { view });
            return;
        };
        let (committed, expected) = (chain.committed(), self.checker.committed());
        if committed < expected {
            self.checker.report(Violation::Lost {
                committed,
                expected,
            });
        }
        // Every replica, member or spare, is at most 1000 entries behind.
        let behind = self
            .nodes
            .iter()
            .any(|node| node.applied.index + 1000 < expected);
        if behind {
            self.checker.report(Violation::Stuck { view });
        }
    }
}
