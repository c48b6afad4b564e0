//! Runs the processes of the world: time, events, effects, and how processes end.

use crate::injected_bugs::InjectedBug;
use crate::machine::agent::HeartbeatCall;
use crate::machine::disk::DiskCompletion;
use crate::machine::{machine_at, ProcessEffect, ProcessEvent};
use crate::network::Delivery;
use crate::server::{HeartbeatReply, StartCommand};
use crate::world::{AgentLinkMessage, World};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::frame::{Frame, Role};
use lupinrack_cluster_node::core::CoreEffect;
use lupinrack_control_store::Batch;
use lupinrack_worker_agent::HeartbeatResponse;

/// Tick interval of processes, in milliseconds.
const CORE_TICK_MS: u64 = 25;
const OTHER_TICK_MS: u64 = 50;
/// Time until writes reach the disk under [`InjectedBug::MissingSync`], in milliseconds.
const UNSYNCED_MS: u64 = 400;

impl World {
    /// Advances machines, network and disks by one millisecond.
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

    /// Ends a process at once. After a power loss its machine answers nothing until it restarts.
    pub(crate) fn kill(&mut self, machine: usize, powered: bool, down_ms: u64) {
        let now = self.now;
        let state = &mut self.machines[machine];
        state.process = None;
        state.suspended = false;
        state.inbox.clear();
        state.starts_at = (!state.removed).then_some(now + down_ms);
        if self.injected_bug == Some(InjectedBug::MissingSync) {
            state.disk.crash_hard();
        } else {
            state.disk.crash(&mut self.rng);
        }
        self.endpoints[machine].running = false;
        self.endpoints[machine].powered = powered;
        self.network.process_ended(machine, powered);
    }

    /// Empties the disk of a machine that is down.
    pub(crate) fn wipe(&mut self, machine: usize) {
        let state = &mut self.machines[machine];
        let identity = state.disk.contents().disk;
        state.disk.wipe();
        state.disk_since = self.now;
        if self.injected_bug == Some(InjectedBug::VoteOfEmptyDisk) {
            state.disk.write(
                0,
                Batch {
                    disk: identity,
                    ..Batch::default()
                },
                0,
                0,
            );
            state.disk.advance(0);
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

    /// Delivers to a resumed process the events that arrived while it was suspended.
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
            let completion = self.machines[machine].disk.advance(self.now);
            match completion {
                Some(DiskCompletion::Synced(tickets)) => {
                    self.dispatch(machine, ProcessEvent::Synced(tickets));
                }
                Some(DiskCompletion::Refused) => self.dispatch(machine, ProcessEvent::WriteFailed),
                None => {}
            }
        }
    }

    /// Passes an event to a process and carries out the resulting effects.
    pub(crate) fn dispatch(&mut self, machine: usize, event: ProcessEvent) {
        let now = self.now;
        let state = &mut self.machines[machine];
        if state.process.is_none() {
            return;
        }
        if state.is_suspended(now) {
            state.inbox.push_back(event);
            return;
        }
        let effects = state.handle(event, now);
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
                    let answer = self.apply_bug_to_response(machine, *answer, highest_end);
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
        let slow_sync_ms = self.config.sync_ms;
        self.snapshots_written += usize::from(batch.snapshot.is_some());
        let batch = self.apply_bug_to_batch(machine, batch);
        let now = self.now;
        if self.injected_bug == Some(InjectedBug::MissingSync) {
            self.machines[machine]
                .disk
                .write(ticket, batch, now, UNSYNCED_MS);
            self.dispatch(machine, ProcessEvent::Synced(vec![ticket]));
        } else if let Some(sync_ms) = slow_sync_ms {
            let disk = &mut self.machines[machine].disk;
            disk.write_in_group(ticket, batch, now, sync_ms);
        } else {
            self.machines[machine]
                .disk
                .write(ticket, batch, now, sync_ms);
        }
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
