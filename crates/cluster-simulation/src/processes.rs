//! Processes of the world: starting, ending, and carrying events and effects.

use crate::faults::schedule::{CATCH_UP_MS, GRACE_MS};
use crate::injected_bugs::InjectedBug;
use crate::machine::agent::{AgentProcess, HeartbeatCall};
use crate::machine::disk::DiskCompletion;
use crate::machine::front::FrontProcess;
use crate::machine::{address_of, machine_at, Machine, Process, ProcessEffect, ProcessEvent};
use crate::network::Delivery;
use crate::server::{HeartbeatReply, StartCommand, LEASE_MOST_MS};
use crate::world::{AgentLinkMessage, World};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::Voter;
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::control_api::HeadCall;
use lupinrack_cluster_node::core::{CoreEffect, CoreMachine, CoreSettings};
use lupinrack_control_store::{Batch, Recovered};
use lupinrack_scheduler::SchedulerSettings;
use lupinrack_worker_agent::{AgentSettings, HeartbeatResponse};

/// How often processes look at their clocks, in milliseconds.
const CORE_TICK_MS: u64 = 25;
const OTHER_TICK_MS: u64 = 50;
/// How soon writes reach the disk under [`InjectedBug::MissingSync`], in milliseconds.
const UNSYNCED_MS: u64 = 400;

/// Ended jobs are kept for this much longer than the run lasts, since the final reads ask for all of them, in
/// milliseconds.
const REMEMBER_MARGIN_MS: u64 = 60_000;

impl World {
    /// Moves machines, network and disks on by a millisecond.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        self.start_machines();
        for (machine, delivery) in self.network.advance(now, &self.endpoints) {
            self.deliver(machine, delivery);
        }
        self.advance_disks();
        self.tick_machines();
        self.deliver_agent_link();
        self.deliver_late_replies();
    }

    fn start_machines(&mut self) {
        for machine in 0..self.machines.len() {
            if self.machines[machine]
                .starts_at
                .is_some_and(|at| self.now >= at)
            {
                self.machines[machine].starts_at = None;
                self.start_process(machine);
            }
        }
    }

    fn start_process(&mut self, machine: usize) {
        let incarnation = self.rng.u64(1..);
        let now = self.now;
        let seeds = self.seeds.clone();
        let one = &mut self.machines[machine];
        one.incarnation = incarnation;
        one.clock.began = now;
        one.suspended = false;
        one.inbox.clear();
        let moment = one.clock.read(now);
        let mut disk = None;
        let process = match one.role {
            Role::Frontend => Some(Process::Front(Box::new(
                self.new_front(machine, seeds, moment.now),
            ))),
            Role::Agent => Some(Process::Agent(Box::new(
                self.new_side(machine, seeds, moment.now),
            ))),
            Role::Core => {
                let recovered = one.disk.contents();
                let id = recovered.disk.unwrap_or_else(|| DiskId(self.rng.u64(1..)));
                disk = Some(id);
                self.new_core(machine, id, recovered)
                    .map(|core| Process::Core(Box::new(core)))
            }
        };
        let role = self.machines[machine].role;
        let address = address_of(machine);
        let hello = Hello {
            address,
            role,
            zone: String::new(),
            incarnation,
            disk,
        };
        self.machines[machine].process = process;
        self.machines[machine].is_new = false;
        let endpoint = &mut self.endpoints[machine];
        endpoint.running = true;
        endpoint.powered = true;
        endpoint.hello = Frame::Hello(hello);
        self.dispatch(machine, ProcessEvent::Tick);
    }

    fn new_front(&self, machine: usize, seeds: Vec<PeerAddress>, now: Millis) -> FrontProcess {
        FrontProcess::new(self.member(machine), self.live_table(), seeds, now)
    }

    fn new_side(&self, machine: usize, seeds: Vec<PeerAddress>, now: Millis) -> AgentProcess {
        AgentProcess::new(
            self.member(machine),
            self.live_table(),
            seeds,
            agent_settings(),
            now,
        )
    }

    fn member(&self, machine: usize) -> LiveMember {
        let Machine {
            role, incarnation, ..
        } = self.machines[machine];
        LiveMember {
            address: address_of(machine),
            role,
            zone: String::new(),
            process_incarnation: incarnation,
        }
    }

    /// All fronts that were not removed. It may list processes that are down or partitioned off.
    fn live_table(&self) -> LiveTable {
        let there = self.fronts().filter(|front| !self.machines[*front].removed);
        LiveTable::new(there.map(|front| self.member(front)).collect())
    }

    fn new_core(
        &mut self,
        machine: usize,
        disk: DiskId,
        recovered: Recovered,
    ) -> Option<CoreMachine> {
        let seeds = self.seeds.clone();
        let founders = if self.founds(machine) {
            seeds.clone()
        } else {
            Vec::new()
        };
        let config = CoreSettings {
            name: format!("core-{machine}"),
            me: Voter {
                disk,
                address: address_of(machine),
                zone: String::new(),
            },
            incarnation: self.machines[machine].incarnation,
            founders,
            seeds,
            tolerated_losses: self.config.tolerance,
            catch_up_ms: CATCH_UP_MS,
            grace_ms: GRACE_MS,
            remember_ms: self.config.traffic_ms + self.config.finish_ms + REMEMBER_MARGIN_MS,
            scheduler: SchedulerSettings {
                lease_ms: LEASE_MOST_MS,
                ..SchedulerSettings::default()
            },
            log_bytes: self.config.log_bytes(),
        };
        let moment = self.machines[machine].clock.read(self.now);
        match CoreMachine::new(config, recovered, moment) {
            Ok(core) => Some(core),
            Err(error) => {
                self.oracle
                    .report_violation(self.now, &format!("core {machine} does not start: {error}"));
                None
            }
        }
    }

    /// Whether a core process may found the system: on its first start, if it is one of the first seeds.
    fn founds(&self, machine: usize) -> bool {
        let first = machine < self.config.cores && self.machines[machine].is_new;
        first && self.seeds.contains(&address_of(machine))
    }

    /// Ends a process at once; without power its machine answers nobody until it starts again.
    pub(crate) fn kill(&mut self, machine: usize, powered: bool, down_ms: u64) {
        let now = self.now;
        let one = &mut self.machines[machine];
        one.process = None;
        one.suspended = false;
        one.inbox.clear();
        one.starts_at = (!one.removed).then_some(now + down_ms);
        if self.injected_bug == Some(InjectedBug::MissingSync) {
            one.disk.crash_hard();
        } else {
            one.disk.crash(&mut self.rng);
        }
        self.endpoints[machine].running = false;
        self.endpoints[machine].powered = powered;
        self.network.process_ended(machine, powered);
    }

    /// Empties the disk of a machine that is down.
    pub(crate) fn wipe(&mut self, machine: usize) {
        let one = &mut self.machines[machine];
        let identity = one.disk.contents().disk;
        one.disk.wipe();
        one.disk_since = self.now;
        if self.injected_bug == Some(InjectedBug::VoteOfEmptyDisk) {
            one.disk.write(
                0,
                Batch {
                    disk: identity,
                    ..Batch::default()
                },
                0,
                0,
            );
            one.disk.advance(0);
        }
    }

    pub(crate) fn set_suspended(&mut self, machine: usize, suspended: bool) {
        self.machines[machine].suspended = suspended;
        self.drain_inbox(machine);
    }

    pub(crate) fn set_intermittent(&mut self, machine: usize, intermittent: bool) {
        self.machines[machine].intermittent = intermittent;
        self.drain_inbox(machine);
    }

    /// Hands a process that runs what reached it while it stood still.
    fn drain_inbox(&mut self, machine: usize) {
        if self.machines[machine].is_suspended(self.now) {
            return;
        }
        let inbox = std::mem::take(&mut self.machines[machine].inbox);
        for event in inbox {
            self.dispatch(machine, event);
        }
    }

    fn deliver(&mut self, machine: usize, delivery: Delivery) {
        let event = match delivery {
            Delivery::Frame {
                from,
                connection,
                frame,
            } => {
                let incarnation = match &self.endpoints[from].hello {
                    Frame::Hello(hello) => hello.incarnation,
                    _ => 0,
                };
                ProcessEvent::Frame {
                    from,
                    incarnation,
                    connection,
                    frame,
                }
            }
            Delivery::Closed { from, connection } => ProcessEvent::Closed { from, connection },
        };
        self.dispatch(machine, event);
    }

    fn tick_machines(&mut self) {
        for machine in 0..self.machines.len() {
            let is_core = self.machines[machine].role == Role::Core;
            let every = if is_core { CORE_TICK_MS } else { OTHER_TICK_MS };
            if self.machines[machine].intermittent {
                self.drain_inbox(machine);
            }
            let is_suspended = self.machines[machine].is_suspended(self.now);
            let due = (self.now + machine as u64 * 7).is_multiple_of(every);
            if !is_suspended && self.machines[machine].is_answer_due(self.now) {
                self.dispatch(machine, ProcessEvent::AnswerDue);
            }
            if due && !is_suspended {
                self.dispatch(machine, ProcessEvent::Tick);
                self.end_if_left(machine);
            }
        }
    }

    fn end_if_left(&mut self, machine: usize) {
        if self.machines[machine].has_ended(self.now) {
            self.kill(machine, true, 200);
        }
    }

    fn advance_disks(&mut self) {
        for machine in 0..self.machines.len() {
            if self.machines[machine].process.is_none() {
                continue;
            }
            let news = self.machines[machine].disk.advance(self.now);
            match news {
                Some(DiskCompletion::Synced(tickets)) => {
                    self.dispatch(machine, ProcessEvent::Synced(tickets));
                }
                Some(DiskCompletion::Refused) => self.dispatch(machine, ProcessEvent::WriteFailed),
                None => {}
            }
        }
    }

    /// Hands an event to a process, and carries out what comes of it.
    pub(crate) fn dispatch(&mut self, machine: usize, event: ProcessEvent) {
        let now = self.now;
        let one = &mut self.machines[machine];
        if one.process.is_none() {
            return;
        }
        if one.is_suspended(now) {
            one.inbox.push_back(event);
            return;
        }
        let effects = one.handle(event, now);
        for effect in effects {
            self.carry_out(machine, effect);
        }
    }

    fn carry_out_core(&mut self, machine: usize, effect: CoreEffect) {
        let now = self.now;
        match effect {
            CoreEffect::Send { to, frame } => {
                let frame = self.apply_bug_to_frame(frame);
                self.count_frame(&frame);
                let to = machine_at(to);
                self.acknowledge_for_successor(machine, to, &frame);
                self.network.send(machine, to, frame, now);
            }
            CoreEffect::SendOn { connection, frame } => {
                let frame = self.apply_bug_to_frame(frame);
                self.count_frame(&frame);
                self.duplicate_reply(machine, connection, &frame);
                self.network.send_on(machine, connection, frame, now);
            }
            CoreEffect::Write { number, batch } => self.write(machine, number, batch),
        }
    }

    fn carry_out(&mut self, machine: usize, effect: ProcessEffect) {
        match effect {
            ProcessEffect::Core(effect) => self.carry_out_core(machine, *effect),
            ProcessEffect::Answer { call, answer } => {
                let HeartbeatCall {
                    server,
                    sent_at,
                    highest_end,
                } = call;
                let slot = machine - self.agent_of(0);
                if self.server_slots[slot]
                    .server
                    .as_ref()
                    .is_some_and(|known| *known.id() == server)
                {
                    let answer = self.apply_bug_to_response(*answer, highest_end);
                    let incarnation = self.server_slots[slot].incarnation;
                    let answer =
                        AgentLinkMessage::Answer(incarnation, heartbeat_reply(answer, sent_at));
                    self.send_to_agent_link(slot, answer);
                }
            }
        }
    }

    fn count_frame(&mut self, frame: &Frame) {
        if matches!(frame, Frame::Chain(ChainMessage::Snapshot { chunk: 0, .. })) {
            self.snapshots_sent += 1;
        }
    }

    fn write(&mut self, machine: usize, ticket: u64, batch: Batch) {
        let sync_ms = self.rng.u64(1..8);
        self.snapshots_written += usize::from(batch.snapshot.is_some());
        let batch = self.apply_bug_to_batch(machine, batch);
        let now = self.now;
        if self.injected_bug == Some(InjectedBug::MissingSync) {
            self.machines[machine]
                .disk
                .write(ticket, batch, now, UNSYNCED_MS);
            self.dispatch(machine, ProcessEvent::Synced(vec![ticket]));
        } else {
            self.machines[machine]
                .disk
                .write(ticket, batch, now, sync_ms);
        }
    }

    /// The front that a client calls: one that the platform gives new connections to, or the one that callers insist on.
    pub(crate) fn choose_ready_front(&mut self) -> Option<usize> {
        if let Some(isolated_targets) = self
            .active_faults
            .isolated_targets
            .filter(|_| self.rng.bool())
        {
            return Some(isolated_targets.front);
        }
        let now = self.now;
        let ready = |machine: &Machine| match &machine.process {
            Some(Process::Front(front)) => front.is_ready(machine.clock.read(now).now),
            _ => false,
        };
        let fronts: Vec<usize> = self
            .fronts()
            .filter(|front| ready(&self.machines[*front]))
            .collect();
        self.rng.choice(fronts)
    }

    /// The core machine that the operator calls: one whose process runs, or the one that callers insist on.
    pub(crate) fn choose_core(&mut self) -> Option<usize> {
        if let Some(isolated_targets) = self
            .active_faults
            .isolated_targets
            .filter(|_| self.rng.u32(0..3) > 0)
        {
            return Some(isolated_targets.core);
        }
        let cores: Vec<usize> = self
            .cores()
            .into_iter()
            .filter(|core| self.machines[*core].process.is_some())
            .collect();
        self.rng.choice(cores)
    }

    pub(crate) fn call_front(&mut self, front: usize, call: HeadCall) {
        self.dispatch(front, ProcessEvent::Call(call));
    }

    pub(crate) fn call_core(&mut self, core: usize, call: HeadCall) {
        self.dispatch(core, ProcessEvent::Call(call));
    }
}

fn agent_settings() -> AgentSettings {
    AgentSettings {
        lease_max_ms: LEASE_MOST_MS,
        heartbeat_ms: 1_000,
        idle_heartbeat_ms: 400,
        busy_heartbeat_ms: 100,
    }
}

fn heartbeat_reply(answer: HeartbeatResponse, heartbeat_sent_at: u64) -> HeartbeatReply {
    let starts = answer.starts.into_iter().map(|start| StartCommand {
        task: start.task,
        attempt: start.attempt,
        spec: start.spec,
        checkpoint: start.checkpoint,
    });
    let stops = answer
        .stops
        .into_iter()
        .filter_map(|stop| Some((stop.task.parse().ok()?, stop.attempt)));
    HeartbeatReply {
        heartbeat_sent_at,
        token: answer.token,
        lease_ms: answer.lease_ms,
        observed: answer.observed,
        starts: starts.collect(),
        stops: stops.collect(),
        retry_after_ms: answer.heartbeat_after_ms,
    }
}
