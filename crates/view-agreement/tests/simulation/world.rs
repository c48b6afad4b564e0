//! Simulated machines, time, and a network that loses, delays, reorders and repeats messages.

use crate::checker::{Checker, Violation};
use crate::links::Links;
use crate::machine::{address, Machine, Write, POLICY};
use fastrand::Rng;
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_view_agreement::{Effect, PeerReport};
use std::collections::BTreeMap;

const TICK_MS: u64 = 25;
const HEARTBEAT_MS: u64 = POLICY.heartbeat_ms;
const MAX_SYNC_MS: u64 = 30;
/// The probability of a slow sync; the next constant is its maximum duration.
const SLOW_SYNC_PROBABILITY: f64 = 0.2;
const MAX_SLOW_SYNC_MS: u64 = 300;
/// Milliseconds in which a process outside the chain catches up.
const CATCH_UP_MS: u64 = 400;
/// Milliseconds after which a draining process ends at the latest.
const MAX_DRAIN_MS: u64 = 4500;

/// A fault that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// A machine whose disk was lost continues under the identity of the old disk.
    WipedDiskKeepsIdentity,
    /// A vote is sent before it is on disk.
    AnswersBeforeSync,
    /// A view counts as agreed once a majority of its own voters has accepted it.
    CountsNewVotersOnly,
}

#[derive(Clone, Debug)]
enum Message {
    Agreement(AgreementMessage),
    Heartbeat {
        voter: Voter,
        incarnation: u64,
        view: View,
        disk_healthy: bool,
        draining: bool,
        replica: ReplicaReport,
        sent_at: Millis,
        /// The receiver's incarnation, and when it sent the newest heartbeat that the sender has received from it.
        acknowledges: Option<(u64, Millis)>,
        linked: Vec<DiskId>,
    },
}

#[derive(Clone)]
enum Event {
    Deliver {
        from: PeerAddress,
        to: usize,
        message: Message,
    },
    Synced {
        machine: usize,
        incarnation: u64,
    },
    Tick {
        machine: usize,
        incarnation: u64,
    },
    Heartbeat {
        machine: usize,
        incarnation: u64,
    },
    Start {
        machine: usize,
    },
}

/// The faults of the network.
#[derive(Clone, Copy)]
pub struct Network {
    pub loss: f64,
    pub repeats: f64,
    pub delay_ms_most: u64,
}

pub const FAULT_FREE: Network = Network {
    loss: 0.0,
    repeats: 0.0,
    delay_ms_most: 3,
};
pub const ROUGH: Network = Network {
    loss: 0.15,
    repeats: 0.1,
    delay_ms_most: 80,
};

#[derive(Clone)]
pub struct World {
    pub rng: Rng,
    pub now: Millis,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub links: Links,
    pub checker: Checker,
    /// Whether processes propose by the policy.
    pub policy_proposes: bool,
    /// Whether to check that disks hold the agreed views; this cannot be checked once a disk was lost.
    pub check_disks: bool,
    /// The probability that the process that completes an agreement is partitioned at that time while another voter ends.
    pub targeted_faults: f64,
    /// How many disks may still be lost.
    pub wipes_left: usize,
    injected_fault: InjectedFault,
    asked: BTreeMap<ProposalNumber, View>,
    events: BTreeMap<(Millis, u64), Event>,
    sequence: u64,
    next_identity: u64,
}

impl World {
    /// Creates a world in which the first `founders` machines found the system; all start within 300 ms.
    pub fn new(
        seed: u64,
        founders: usize,
        machines: usize,
        injected_fault: InjectedFault,
    ) -> World {
        let mut world = World {
            rng: Rng::with_seed(seed),
            now: Millis(0),
            machines: Vec::new(),
            network: FAULT_FREE,
            checker: Checker::default(),
            policy_proposes: false,
            check_disks: true,
            targeted_faults: 0.0,
            wipes_left: 0,
            injected_fault,
            links: Links::whole(machines),
            asked: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            next_identity: 1,
        };
        for index in 0..machines {
            let disk = DiskId(world.draw_identity());
            world.machines.push(Machine::new(index, disk));
        }
        let addresses: Vec<PeerAddress> = (0..founders).map(address).collect();
        for index in 0..machines {
            let list = if index < founders {
                addresses.clone()
            } else {
                Vec::new()
            };
            world.start_with(index, list);
        }
        world
    }

    pub fn run_for(&mut self, milliseconds: u64) {
        let until = self.now.plus(milliseconds);
        while self
            .events
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= until)
        {
            if let Some(((at, _), event)) = self.events.pop_first() {
                self.now = at;
                self.handle(event);
            }
        }
        self.now = until;
    }

    /// Ends a process and starts it again after `after_ms`. Unsynced writes may or may not have reached the disk.
    pub fn restart(&mut self, machine: usize, after_ms: u64) {
        self.kill(machine);
        self.schedule(after_ms, Event::Start { machine });
    }

    pub fn kill(&mut self, machine: usize) {
        let survivors = self.rng.usize(0..2) * self.rng.usize(0..3);
        self.machines[machine].kill(survivors);
    }

    /// Makes a process drain; it ends once it is no longer needed.
    pub fn terminate(&mut self, machine: usize) {
        let now = self.now;
        if let Some(process) = &mut self.machines[machine].process {
            process.leaving_since = Some(now);
        }
    }

    pub fn start(&mut self, machine: usize) {
        if self.machines[machine].process.is_none() {
            self.start_with(machine, Vec::new());
        }
    }

    /// Ends a process; it starts again on an empty disk.
    pub fn wipe(&mut self, machine: usize, after_ms: u64) {
        self.check_disks = false;
        self.wipes_left = self.wipes_left.saturating_sub(1);
        self.machines[machine].kill(0);
        self.machines[machine].stored = Default::default();
        if self.injected_fault != InjectedFault::WipedDiskKeepsIdentity {
            self.machines[machine].voter.disk = DiskId(self.draw_identity());
        }
        self.schedule(after_ms, Event::Start { machine });
    }

    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some()
    }

    /// The newest view that a running process knows.
    pub fn current(&self, machine: usize) -> View {
        let process = self.machines[machine].process.as_ref();
        process
            .map(|process| process.agreement.current().clone())
            .unwrap_or_default()
    }

    pub fn propose(&mut self, machine: usize, view: View) {
        let now = self.now;
        let Some(process) = &mut self.machines[machine].process else {
            return;
        };
        self.checker.on_proposed(view.clone());
        let effects = process.agreement.propose(view, now);
        self.perform(machine, effects);
    }

    fn start_with(&mut self, machine: usize, founders: Vec<PeerAddress>) {
        let incarnation = self.draw_identity() << 8;
        self.machines[machine].start(incarnation, founders, self.now);
        let first_tick = self.rng.u64(0..300);
        self.schedule(
            first_tick,
            Event::Tick {
                machine,
                incarnation,
            },
        );
        self.schedule(
            first_tick,
            Event::Heartbeat {
                machine,
                incarnation,
            },
        );
    }

    fn draw_identity(&mut self) -> u64 {
        self.next_identity += 1;
        self.next_identity
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now.plus(after_ms), self.sequence), event);
    }

    fn incarnations(&self, machine: usize, incarnation: u64) -> bool {
        self.machines[machine]
            .process
            .as_ref()
            .is_some_and(|process| process.incarnation == incarnation)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Synced {
                machine,
                incarnation,
            } if self.incarnations(machine, incarnation) => self.synced(machine),
            Event::Tick {
                machine,
                incarnation,
            } if self.incarnations(machine, incarnation) => self.tick(machine, incarnation),
            Event::Heartbeat {
                machine,
                incarnation,
            } if self.incarnations(machine, incarnation) => {
                self.send_heartbeats(machine, incarnation)
            }
            Event::Start { machine } => self.start(machine),
            Event::Synced { .. } | Event::Tick { .. } | Event::Heartbeat { .. } => {}
        }
    }

    fn deliver(&mut self, from: PeerAddress, to: usize, message: Message) {
        match message {
            Message::Agreement(message) => {
                self.forge_old_votes(to, &message);
                self.receive(from, to, message);
            }
            Message::Heartbeat {
                voter,
                incarnation,
                view,
                disk_healthy,
                draining,
                replica,
                sent_at,
                acknowledges,
                linked,
            } => {
                let now = self.now;
                let Some(process) = &mut self.machines[to].process else {
                    return;
                };
                process.received.insert(from, (incarnation, sent_at));
                let own = acknowledges.filter(|(own, _)| *own == process.incarnation);
                let view_number = view.number;
                let report = PeerReport {
                    incarnation,
                    view_number,
                    disk_healthy,
                    draining,
                    replica,
                    applied: 0,
                    acknowledged: own.map(|(_, sent_at)| sent_at),
                    linked,
                };
                process
                    .policy
                    .receive_heartbeat(voter, report, now)
                    .expect("every machine has its own disk");
                let effects = process.agreement.learn(view);
                self.perform(to, effects);
            }
        }
    }

    fn receive(&mut self, from: PeerAddress, to: usize, message: AgreementMessage) {
        let now = self.now;
        let Some(process) = &mut self.machines[to].process else {
            return;
        };
        let effects = process.agreement.receive(from, message, now);
        self.perform(to, effects);
    }

    /// Forges the votes of the old voters, so that only those of the new voters decide.
    fn forge_old_votes(&mut self, to: usize, message: &AgreementMessage) {
        let AgreementMessage::Accepted {
            proposal_number, ..
        } = message
        else {
            return;
        };
        let Some(view) = self.asked.get(proposal_number).cloned() else {
            return;
        };
        if self.injected_fault != InjectedFault::CountsNewVotersOnly {
            return;
        }
        let current = self.current(to);
        for old in current
            .voters
            .iter()
            .filter(|old| view.voter(old.disk).is_none())
        {
            self.receive(
                old.address,
                to,
                AgreementMessage::Accepted {
                    proposal_number: *proposal_number,
                    disk: old.disk,
                },
            );
        }
    }

    /// Completes a sync of the newest write and sends all messages that waited for it.
    fn synced(&mut self, machine: usize) {
        let Some(process) = &mut self.machines[machine].process else {
            return;
        };
        let writes = std::mem::take(&mut process.writes);
        if let Some(newest) = writes.last() {
            self.machines[machine].stored = newest.vote.clone();
        }
        for (to, message) in writes.into_iter().flat_map(|write| write.then) {
            self.send(machine, to, Message::Agreement(message));
        }
    }

    fn tick(&mut self, machine: usize, incarnation: u64) {
        self.schedule(
            TICK_MS,
            Event::Tick {
                machine,
                incarnation,
            },
        );
        let now = self.now;
        let voter = self.machines[machine].voter.clone();
        let Some(process) = &mut self.machines[machine].process else {
            return;
        };
        let effects = process.agreement.tick(now);
        let current = process.agreement.current().clone();
        let view_to_propose = process.policy.view_to_propose(&current, &voter, now);
        let leaving_since = process.leaving_since;
        let ends = leaving_since.is_some_and(|since| {
            let handed_over = process.policy.may_shut_down(&current, &voter, now);
            now.since(since) >= MAX_DRAIN_MS || handed_over
        });
        self.perform(machine, effects);
        if ends {
            return self.kill(machine);
        }
        let view_to_propose = view_to_propose.filter(|_| leaving_since.is_none());
        if let Some(view) = view_to_propose.filter(|_| self.policy_proposes) {
            self.propose(machine, view);
        }
    }

    fn send_heartbeats(&mut self, machine: usize, incarnation: u64) {
        self.schedule(
            HEARTBEAT_MS,
            Event::Heartbeat {
                machine,
                incarnation,
            },
        );
        let now = self.now;
        let Machine {
            voter,
            disk_healthy,
            process,
            ..
        } = &mut self.machines[machine];
        let Some(process) = process else { return };
        let linked = process.policy.linked_disks(voter, now);
        let received = process.received.clone();
        let view = process.agreement.current().clone();
        let in_chain = view.position(voter.disk).is_some();
        let caught_up = in_chain || self.now.since(process.started) >= CATCH_UP_MS;
        let replica = ReplicaReport {
            caught_up,
            complete: in_chain,
            needs_view: false,
        };
        let (voter, disk_healthy, draining) = (
            voter.clone(),
            *disk_healthy,
            process.leaving_since.is_some(),
        );
        for to in (0..self.machines.len()).map(address) {
            let (voter, view, linked) = (voter.clone(), view.clone(), linked.clone());
            let acknowledges = received.get(&to).copied();
            self.send(
                machine,
                to,
                Message::Heartbeat {
                    voter,
                    incarnation,
                    view,
                    disk_healthy,
                    draining,
                    replica,
                    sent_at: now,
                    acknowledges,
                    linked,
                },
            );
        }
    }

    fn perform(&mut self, machine: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(machine, to, Message::Agreement(message)),
                Effect::Persist { vote, then } => self.persist(machine, Write { vote, then }),
                Effect::Agreed(view) => self.agreed(machine, &view),
            }
        }
    }

    fn persist(&mut self, machine: usize, mut write: Write) {
        if self.injected_fault == InjectedFault::AnswersBeforeSync {
            for (to, message) in std::mem::take(&mut write.then) {
                self.send(machine, to, Message::Agreement(message));
            }
        }
        let Some(process) = &mut self.machines[machine].process else {
            return;
        };
        process.writes.push(write);
        let incarnation = process.incarnation;
        let slow = self.rng.f64() < SLOW_SYNC_PROBABILITY;
        let sync_ms = self
            .rng
            .u64(1..=if slow { MAX_SLOW_SYNC_MS } else { MAX_SYNC_MS });
        self.schedule(
            sync_ms,
            Event::Synced {
                machine,
                incarnation,
            },
        );
    }

    fn agreed(&mut self, machine: usize, view: &View) {
        if !self.checker.on_agreed(view) {
            return;
        }
        if self.policy_proposes {
            self.checker.check_chain(view);
        }
        if self.check_disks && !self.is_on_disks(view) {
            self.checker.violations.push(Violation::NotOnDisks {
                number: view.number,
            });
        }
        if self.rng.f64() < self.targeted_faults {
            self.inject_fault_around(machine);
        }
    }

    /// Partitions a machine before it can announce a view, and ends another, sometimes with its disk.
    fn inject_fault_around(&mut self, machine: usize) {
        self.links.isolate(machine);
        let voters = self.checker.newest().voters;
        let others = (0..self.machines.len()).filter(|index| {
            let is_voter = voters.iter().any(|voter| voter.address == address(*index));
            is_voter && *index != machine && self.is_running(*index)
        });
        let others: Vec<usize> = others.collect();
        let Some(victim) = self.rng.choice(others) else {
            return;
        };
        let down_ms = self.rng.u64(1..100);
        if self.wipes_left > 0 && self.rng.bool() {
            self.wipe(victim, down_ms);
        } else {
            self.restart(victim, down_ms);
        }
    }

    /// Whether majorities of the voters before it and of its own voters have the view on disk.
    fn is_on_disks(&self, view: &View) -> bool {
        let before = self.checker.agreed(view.number - 1);
        let mut electorates = vec![view];
        electorates.extend(before);
        electorates.into_iter().all(|electorate| {
            let holds = |voter: &Voter| {
                let machine = self
                    .machines
                    .iter()
                    .find(|machine| machine.voter.disk == voter.disk);
                machine.is_some_and(|machine| machine.stored.accepted == *view)
            };
            electorate
                .voters
                .iter()
                .filter(|voter| holds(voter))
                .count()
                * 2
                > electorate.voters.len()
        })
    }

    fn send(&mut self, from: usize, to: PeerAddress, message: Message) {
        if let Message::Agreement(AgreementMessage::Accept {
            proposal_number,
            view,
        }) = &message
        {
            self.asked.insert(*proposal_number, view.clone());
        }
        let Some(to) = (0..self.machines.len()).find(|index| address(*index) == to) else {
            return;
        };
        let from_address = address(from);
        if to == from {
            self.schedule(
                0,
                Event::Deliver {
                    from: from_address,
                    to,
                    message,
                },
            );
            return;
        }
        let lost = !self.links.connect(from, to) || self.rng.f64() < self.network.loss;
        if lost {
            return;
        }
        if self.rng.f64() < self.network.repeats {
            self.deliver_later(from_address, to, message.clone());
        }
        self.deliver_later(from_address, to, message);
    }

    fn deliver_later(&mut self, from: PeerAddress, to: usize, message: Message) {
        let delay_ms = self.rng.u64(1..=self.network.delay_ms_most);
        self.schedule(delay_ms, Event::Deliver { from, to, message });
    }
}
