//! Events as they come in.

use super::*;

impl CoreMachine {
    pub(super) fn begin(&mut self, view: View, empty_disk: bool) {
        let now = self.moment.now;
        if empty_disk {
            let batch = Batch {
                disk: Some(self.me.disk),
                ..Batch::default()
            };
            self.write(batch, AfterWrite::Nothing, now);
        }
        let effects = self.agreement.learn(view);
        // The vote may have known the view of the last life, or a newer one, as agreed already: then it is no news to
        // the agreement, but to everything else of this life.
        let known_before = effects.is_empty();
        self.carry_out_agreement(effects, now);
        let newest = self.agreement.current().clone();
        if known_before && newest.number > 0 {
            self.on_view(newest, now);
        }
        spdlog::info!(
            "core process on disk {:016x}, view {}, applied {}",
            self.me.disk.0,
            self.agreement.current().number,
            self.replica.applied
        );
    }

    pub(super) fn on_closed(&mut self, from: PeerAddress, connection: u64, now: Millis) {
        self.subscribers.closed(connection);
        if let Some(disk) = self.connections.remove(&connection) {
            self.chain.peer_disconnected(disk, now);
        }
        self.shards.disconnected(from, connection);
        self.policy.connection_reset(from);
        let outgoing = self.client.closed(from, now);
        self.send_all(outgoing);
    }

    pub(super) fn on_frame(
        &mut self,
        from: PeerAddress,
        incarnation: u64,
        connection: u64,
        frame: Frame,
        now: Millis,
    ) {
        match frame {
            Frame::Heartbeat {
                voter,
                view,
                disk_healthy,
                draining,
                replica,
            } => {
                let report = PeerReport {
                    incarnation,
                    view_number: view.number,
                    disk_healthy,
                    draining,
                    replica,
                };
                if let Err(duplicate) = self.take_heartbeat(voter, report, now) {
                    self.refuse(from, duplicate);
                    return;
                }
                self.other_cores.insert(from, now);
                let effects = self.agreement.learn(view);
                self.carry_out_agreement(effects, now);
            }
            Frame::Agreement(message) => {
                let effects = self.agreement.receive(from, message, now);
                self.carry_out_agreement(effects, now);
            }
            Frame::Chain(ChainMessage::Outdated { view }) => {
                let effects = self.agreement.learn(view);
                self.carry_out_agreement(effects, now);
            }
            Frame::Chain(message) => {
                let Some(disk) = self.connections.get(&connection).copied() else {
                    return;
                };
                let effects = self.chain.receive(disk, message, now);
                self.carry_out_chain(effects, now);
            }
            Frame::Request {
                id,
                remaining_ms,
                request,
            } => {
                let caller = Caller {
                    from,
                    connection: Some(connection),
                    id,
                    until: now.plus(remaining_ms),
                };
                self.take_call(WaitingCall { caller, request }, now);
            }
            Frame::Reply { id, reply } => {
                let outgoing = self.client.answered(from, id, reply, now);
                self.send_all(outgoing);
            }
            Frame::Submit(operation) => self.submit(operation, now),
            Frame::Agent(message) => {
                self.shards.receive(from, connection, message, now);
                self.round_due = true;
            }
            Frame::Subscribe {
                interest,
                requested_at,
            } => self.on_subscribe(connection, interest, requested_at),
            Frame::ViewUpdate(view) => {
                let effects = self.agreement.learn(view);
                self.carry_out_agreement(effects, now);
            }
            Frame::Hello(hello) => {
                if let Some(disk) = hello.disk {
                    self.greet(connection, disk, hello.address, now);
                }
            }
            Frame::Owner(_) | Frame::ConfigurationUpdate { .. } => {}
        }
    }

    pub(super) fn address_of(&self, disk: DiskId) -> Option<PeerAddress> {
        self.agreement
            .current()
            .address(disk)
            .or_else(|| self.policy.address_of(disk))
    }

    pub(super) fn on_query(&mut self, call: ProcessCall) {
        let text = match call.query {
            ProcessQuery::Status => self.status(),
        };
        // An operator that has gone needs no answer.
        let _ = call.reply_to.send(text);
    }

    pub(super) fn on_control_call(&mut self, call: HeadCall) {
        let now = self.moment.now;
        let until = now.plus(call.remaining_ms);
        let outgoing = self.client.call(call.request, call.reply_to, until, now);
        self.send_all(outgoing);
    }

    pub(super) fn on_synced(&mut self, tickets: &[u64], now: Millis) {
        for then in self.disk.synced(tickets, now) {
            match then {
                AfterWrite::Nothing => {}
                AfterWrite::SendVotes(messages) => {
                    for (to, message) in messages {
                        self.send_agreement(to, message);
                    }
                }
                AfterWrite::EntriesWritten(index) => {
                    let effects = self.chain.entries_written(index, now);
                    self.carry_out_chain(effects, now);
                }
                AfterWrite::ViewStored(view) => self.adopt_view(view, now),
                AfterWrite::Truncated(index) => {
                    let effects = self.chain.log_truncated(index, now);
                    self.carry_out_chain(effects, now);
                }
                AfterWrite::ReplicaStatusStored => {
                    let effects = self.chain.replica_status_stored(now);
                    self.carry_out_chain(effects, now);
                }
                AfterWrite::StateInstalled(index) => {
                    let effects = self.chain.snapshot_installed(index, now);
                    self.carry_out_chain(effects, now);
                }
            }
        }
    }

    pub(super) fn on_tick(&mut self) {
        let now = self.moment.now;
        let effects = self.agreement.tick(now);
        self.carry_out_agreement(effects, now);
        let effects = self.chain.tick(now);
        self.carry_out_chain(effects, now);
        let outgoing = self.client.tick(now);
        self.send_all(outgoing);
        self.waiting.expire(now);
        if now.since(self.last_heartbeat) >= HEARTBEAT_MS {
            self.send_heartbeats(now);
        }
        self.propose_view(now);
        self.confirm_view(now);
        self.follow_view(now);
        self.forget_jobs(now);
    }

    /// Carries out what the last event left: messages to this process, calls that can go on, rounds that are due.
    pub(super) fn finish_events(&mut self) {
        let now = self.moment.now;
        while let Some(message) = self.own_messages.pop_front() {
            let effects = self.agreement.receive(self.me.address, message, now);
            self.carry_out_agreement(effects, now);
        }
        while let Some(call) = self.own_calls.pop_front() {
            self.take_call(call, now);
        }
        if self.chain.is_head() && self.chain.is_ready() {
            for call in self.waiting.take_deferred() {
                self.take_call(call, now);
            }
        }
        self.begin_barrier(now);
        self.read_confirmation();
        self.run_round(now);
        if self.wants_snapshot() {
            self.write_snapshot(now);
        }
    }
}
