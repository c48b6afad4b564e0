//! The process: its parts, the events that reach it, and how effects are carried out.

use super::calls::{first_step, reply_to, second_step, Step};
use super::disk::{AfterWrite, Disk};
use super::replica::Replica;
use super::shards::{Shards, AUTHORITY_MS};
use super::subscribers::{Subscribers, VIEWS_ONLY};
use super::waiting::{Caller, Waiting, WaitingCall};
use crate::clock::{draw, Clock};
use crate::control_api::{self, ControlCall};
use crate::head_client::{HeadClient, Outgoing};
use crate::membership::Membership;
use crate::scheduling::scheduler_settings;
use crate::signals::Signals;
use crate::NodeError;
use borsh::BorshDeserialize;
use lupinrack_chain::{Chain, Effect as ChainEffect, Standing, Stored};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_api::wire::{AgreementMessage, ChainMessage, Frame, Hello, ReplicaReport, Role};
use lupinrack_cluster_membership::{LiveMember, SwimSettings};
use lupinrack_cluster_net::peers::{PeerEvent, PeerSettings, Peers};
use lupinrack_cluster_settings::NodeSettings;
use lupinrack_control_store::{Batch, ControlStore, StoreSettings, WriteOutcome, Writer};
use lupinrack_view_agreement::{Agreement, Effect as AgreementEffect, PolicySettings, ViewPolicy, VoteState};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How often the process looks at its clock, in milliseconds.
const TICK_MS: u64 = 25;
/// Between heartbeats to other core processes, in milliseconds.
const HEARTBEAT_MS: u64 = 150;
/// A core process that is not heard for this long is suspected, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 700;
/// Between two questions whether the own view rules, in milliseconds.
const CONFIRM_MS: u64 = 300;
/// Between two rounds of the schedulers, in milliseconds: at least, and at most.
const ROUND_LEAST_MS: u64 = 5;
const ROUND_MOST_MS: u64 = 100;
/// Between two lines on the services in the log, in milliseconds.
const SUMMARY_MS: u64 = 1_000;
/// How long a process that is told to end goes on, so that its place in the chain is taken over, in milliseconds.
const LEAVE_MS: u64 = 1_500;

struct Confirmation {
    asked_at: Millis,
    view: u64,
    reply: oneshot::Receiver<Reply>,
}

struct CoreProcess {
    clock: Clock,
    settings: NodeSettings,
    me: Voter,
    life: u64,
    peers: Peers,
    agreement: Agreement,
    policy: ViewPolicy,
    chain: Chain,
    replica: Replica,
    disk: Disk,
    client: HeadClient,
    waiting: Waiting,
    shards: Shards,
    subscribers: Subscribers,
    confirmation: Option<Confirmation>,
    last_confirmation: Millis,
    authority_until: Millis,
    last_heartbeat: Millis,
    last_round: Millis,
    last_summary: Millis,
    round_due: bool,
    leaving_since: Option<Millis>,
    /// Agreement messages to this process itself.
    own_messages: VecDeque<AgreementMessage>,
    /// Calls to this process itself.
    own_calls: VecDeque<WaitingCall>,
    other_cores: Vec<PeerAddress>,
    /// The disk of the process at the other end of each connection from a core process.
    connections: BTreeMap<u64, DiskId>,
    membership: Membership,
}

/// Runs until the process is told to end.
pub async fn run(settings: NodeSettings, clock: Clock) -> Result<(), NodeError> {
    let data_dir = settings.data_dir.clone().ok_or(NodeError::NoDisk)?;
    let (store, recovered) = ControlStore::open(&data_dir, StoreSettings::default())?;
    let disk_id = recovered.disk.unwrap_or_else(|| DiskId(draw()));
    let vote = read_or_default::<VoteState>(&recovered.vote)?;
    let view = read_or_default::<View>(&recovered.view)?;
    let standing = read_or_default::<Standing>(&recovered.standing)?;
    let life = draw();
    let address = PeerAddress(settings.internal_address);
    let me = Voter { disk: disk_id, address, zone: settings.zone.clone() };
    let hello = Hello { address, role: Role::Core, zone: settings.zone.clone(), life, disk: Some(disk_id) };
    let (peers, mut peer_events) = Peers::start(address.0, hello, PeerSettings::default())?;
    let (outcomes_in, mut outcomes) = mpsc::unbounded_channel::<WriteOutcome>();
    let writer = Writer::spawn(store, move |outcome| {
        // The process ends with its receiver; nobody is left to tell then.
        let _ = outcomes_in.send(outcome);
    })?;
    let founders = if settings.is_founder() { settings.seed_internal() } else { Vec::new() };
    let minimum_length = settings.tolerance.machines as usize + 1;
    let replica = Replica::load(recovered.snapshot_index, &recovered.snapshot)?;
    let agreement = Agreement::new(me.clone(), life, vote, founders);
    let founders = agreement.founders().to_vec();
    let mut process = CoreProcess {
        agreement,
        policy: ViewPolicy::new(
            PolicySettings {
                heartbeat_ms: HEARTBEAT_MS,
                suspect_after_ms: SUSPECT_AFTER_MS,
                tolerated_losses: settings.tolerance.machines as usize,
            },
            founders,
        ),
        chain: Chain::new(
            disk_id,
            minimum_length,
            Stored {
                snapshot_index: recovered.snapshot_index,
                entries: recovered.entries,
                view: view.clone(),
                standing,
            },
        ),
        replica,
        disk: Disk::new(writer),
        client: HeadClient::default(),
        waiting: Waiting::default(),
        shards: Shards::new(disk_id, scheduler_settings(&settings)),
        subscribers: Subscribers::default(),
        confirmation: None,
        last_confirmation: Millis(0),
        authority_until: Millis(0),
        last_heartbeat: Millis(0),
        last_round: Millis(0),
        last_summary: Millis(0),
        round_due: false,
        leaving_since: None,
        own_messages: VecDeque::new(),
        own_calls: VecDeque::new(),
        other_cores: Vec::new(),
        connections: BTreeMap::new(),
        membership: Membership::start(
            LiveMember { address, role: Role::Core, zone: settings.zone.clone(), life },
            settings.seed_internal(),
            SwimSettings::default(),
            clock,
        ),
        clock,
        settings,
        me,
        life,
        peers,
    };
    process.begin(view, recovered.disk.is_none());
    let (calls_in, mut calls) = mpsc::channel::<ControlCall>(256);
    let http = control_api::serve(&process.settings, calls_in)?;
    let mut signals = Signals::listen()?;
    let mut timer = tokio::time::interval(Duration::from_millis(TICK_MS));
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(event) = peer_events.recv() => {
                process.on_peer_event(event);
                while let Ok(event) = peer_events.try_recv() {
                    process.on_peer_event(event);
                }
            }
            Some(outcome) = outcomes.recv() => process.on_write_outcome(outcome),
            Some(call) = calls.recv() => process.on_control_call(call),
            _ = timer.tick() => process.on_tick(),
            () = process.round_is_due() => {}
            () = signals.terminated() => process.leave(),
        }
        process.settle();
        if process.has_left() {
            drop(http);
            return Ok(());
        }
    }
}

fn read_or_default<T: BorshDeserialize + Default>(bytes: &[u8]) -> Result<T, NodeError> {
    if bytes.is_empty() {
        return Ok(T::default());
    }
    T::try_from_slice(bytes).map_err(NodeError::Damaged)
}

impl CoreProcess {
    fn begin(&mut self, view: View, empty_disk: bool) {
        let now = self.clock.now();
        if empty_disk {
            let batch = Batch { disk: Some(self.me.disk), ..Batch::default() };
            self.disk.write(batch, AfterWrite::Nothing, now);
        }
        if view.number > 0 {
            let effects = self.agreement.learn(view);
            self.carry_out_agreement(effects, now);
        }
        spdlog::info!(
            "core process on disk {:016x}, view {}, applied {}",
            self.me.disk.0,
            self.agreement.current().number,
            self.replica.applied
        );
    }

    fn on_peer_event(&mut self, event: PeerEvent) {
        let now = self.clock.now();
        match event {
            PeerEvent::Frame { from, life, connection, frame, .. } => {
                self.on_frame(from, life, connection, frame, now);
            }
            PeerEvent::Closed { from, connection, .. } => {
                self.subscribers.closed(connection);
                self.connections.remove(&connection);
                self.shards.disconnected(from, connection, now);
                self.policy.closed(from);
                let outgoing = self.client.closed(from, now);
                self.send_all(outgoing);
            }
        }
    }

    fn on_frame(&mut self, from: PeerAddress, life: u64, connection: u64, frame: Frame, now: Millis) {
        match frame {
            Frame::Heartbeat { voter, view, disk_healthy, replica } => {
                self.note_core(from);
                let effects = self.agreement.learn(view.clone());
                self.carry_out_agreement(effects, now);
                self.policy.heard(voter, life, view.number, disk_healthy, replica, now);
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
            Frame::Request { id, remaining_ms, request } => {
                let caller = Caller { from, connection: Some(connection), id, until: now.plus(remaining_ms) };
                self.take_call(WaitingCall { caller, request }, now);
            }
            Frame::Reply { id, reply } => {
                let outgoing = self.client.answered(id, reply, now);
                self.send_all(outgoing);
            }
            Frame::Submit(operation) => self.submit(operation, now),
            Frame::Agent(message) => {
                self.shards.receive(from, connection, message, now);
                self.round_due = true;
            }
            Frame::Subscribe { have, asked_at } => {
                let subscriber = self.subscribers.heard(connection, from, have);
                subscriber.asked_at = asked_at;
                self.answer_subscriber(connection, now);
            }
            Frame::ViewNews(view) => {
                let effects = self.agreement.learn(view);
                self.carry_out_agreement(effects, now);
            }
            Frame::Hello(hello) => {
                if let Some(disk) = hello.disk {
                    self.connections.insert(connection, disk);
                }
            }
            Frame::Owner(_) | Frame::ConfigurationNews { .. } => {}
        }
    }

    fn note_core(&mut self, address: PeerAddress) {
        if !self.other_cores.contains(&address) {
            self.other_cores.push(address);
        }
    }

    fn address_of(&self, disk: DiskId) -> Option<PeerAddress> {
        self.agreement.current().address(disk).or_else(|| self.policy.address_of(disk))
    }

    fn on_control_call(&mut self, call: ControlCall) {
        let now = self.clock.now();
        let until = now.plus(call.remaining_ms);
        if call.request == Request::Status {
            let _ = call.answerer.send(Reply::Status(self.status()));
            return;
        }
        let outgoing = self.client.call(call.request, call.answerer, until, now);
        self.send_all(outgoing);
    }

    fn on_write_outcome(&mut self, outcome: WriteOutcome) {
        let now = self.clock.now();
        if let Err(error) = &outcome.result {
            spdlog::warn!("the disk refused a write: {error}");
            self.disk.failed(now);
        }
        for then in self.disk.synced(&outcome.tickets_done, now) {
            match then {
                AfterWrite::Nothing => {}
                AfterWrite::SendVotes(messages) => {
                    for (to, message) in messages {
                        self.send_agreement(to, message);
                    }
                }
                AfterWrite::EntriesWritten(index) => {
                    let effects = self.chain.written(index, now);
                    self.carry_out_chain(effects, now);
                }
                AfterWrite::ViewStored(view) => self.adopt_view(view, now),
                AfterWrite::Truncated(index) => {
                    let effects = self.chain.truncated(index, now);
                    self.carry_out_chain(effects, now);
                }
                AfterWrite::StandingStored => {
                    let effects = self.chain.standing_stored(now);
                    self.carry_out_chain(effects, now);
                }
                AfterWrite::StateInstalled(index) => {
                    let effects = self.chain.installed(index, now);
                    self.carry_out_chain(effects, now);
                }
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
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
    }

    /// Carries out what the last event left: messages to this process, calls that can go on, rounds that are due.
    fn settle(&mut self) {
        let now = self.clock.now();
        while let Some(message) = self.own_messages.pop_front() {
            let effects = self.agreement.receive(self.me.address, message, now);
            self.carry_out_agreement(effects, now);
        }
        while let Some(call) = self.own_calls.pop_front() {
            self.take_call(call, now);
        }
        if self.chain.is_head() && self.chain.ready() {
            for call in self.waiting.take_deferred() {
                self.take_call(call, now);
            }
        }
        self.begin_barrier(now);
        self.read_confirmation();
        self.run_round(now);
        if self.replica.wants_snapshot() {
            self.write_snapshot(now);
        }
    }

    // Views.

    fn carry_out_agreement(&mut self, effects: Vec<AgreementEffect>, now: Millis) {
        for effect in effects {
            match effect {
                AgreementEffect::Persist { vote, then } => {
                    let bytes = to_bytes(&vote);
                    let batch = Batch { vote: Some(bytes), ..Batch::default() };
                    self.disk.write(batch, AfterWrite::SendVotes(then), now);
                }
                AgreementEffect::Send(to, message) => self.send_agreement(to, message),
                AgreementEffect::Agreed(view) => self.on_view(view, now),
            }
        }
    }

    fn send_agreement(&mut self, to: PeerAddress, message: AgreementMessage) {
        if to == self.me.address {
            self.own_messages.push_back(message);
        } else {
            self.peers.send(to, Frame::Agreement(message));
        }
    }

    /// A view is agreed. The replica adopts it once it is on the disk: a head that forgot its view in a crash could
    /// number entries in it twice.
    fn on_view(&mut self, view: View, now: Millis) {
        let bytes = to_bytes(&view);
        let batch = Batch { view: Some(bytes), ..Batch::default() };
        self.disk.write(batch, AfterWrite::ViewStored(view), now);
    }

    fn adopt_view(&mut self, view: View, now: Millis) {
        if view.number <= self.client.view().number || view.number < self.chain.view().number {
            return;
        }
        let chain: Vec<String> = view.chain.iter().map(|disk| format!("{:08x}", disk.0 >> 32)).collect();
        spdlog::info!("view {}: {} voters, chain {}", view.number, view.voters.len(), chain.join(" "));
        let effects = self.chain.new_view(view.clone(), now);
        self.carry_out_chain(effects, now);
        let outgoing = self.client.learn(&view, now);
        self.send_all(outgoing);
        for call in self.waiting.view_changed() {
            self.take_call(call, now);
        }
        self.authority_until = Millis(0);
        self.confirmation = None;
        self.last_confirmation = Millis(0);
        for (connection, subscriber) in self.subscribers.iter_mut() {
            subscriber.told_view = view.number;
            self.peers.send_on(*connection, Frame::ViewNews(view.clone()));
        }
        self.send_heartbeats(now);
        self.confirm_view(now);
        self.follow_view(now);
    }

    fn send_heartbeats(&mut self, now: Millis) {
        self.last_heartbeat = now;
        let view = self.agreement.current().clone();
        let disk_healthy = self.leaving_since.is_none() && self.disk.is_healthy(now);
        let replica = self.replica_report(now);
        self.policy.heard(self.me.clone(), self.life, view.number, disk_healthy, replica, now);
        let frame = Frame::Heartbeat { voter: self.me.clone(), view: view.clone(), disk_healthy, replica };
        for address in self.core_addresses(&view) {
            self.peers.send(address, frame.clone());
        }
    }

    /// What the replica is good for in the view that the heartbeat names; nothing while it has not adopted that view.
    fn replica_report(&self, now: Millis) -> ReplicaReport {
        if self.chain.view().number != self.agreement.current().number {
            return ReplicaReport::default();
        }
        ReplicaReport {
            caught_up: self.chain.caught_up(now),
            complete: self.chain.is_complete(),
            needs_view: self.chain.needs_view(),
        }
    }

    fn core_addresses(&self, view: &View) -> Vec<PeerAddress> {
        let mut addresses: Vec<PeerAddress> = view.voters.iter().map(|voter| voter.address).collect();
        if view.voter(self.me.disk).is_none() {
            addresses.extend(self.settings.seed_internal());
        }
        addresses.extend(self.other_cores.iter().copied());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.me.address);
        addresses
    }

    fn propose_view(&mut self, now: Millis) {
        if self.leaving_since.is_some() {
            return;
        }
        let current = self.agreement.current().clone();
        if let Some(next) = self.policy.desired(&current, &self.me, now) {
            let effects = self.agreement.propose(next, now);
            self.carry_out_agreement(effects, now);
        }
    }

    // The chain.

    fn carry_out_chain(&mut self, effects: Vec<ChainEffect>, now: Millis) {
        let mut work: VecDeque<ChainEffect> = effects.into();
        while let Some(effect) = work.pop_front() {
            match effect {
                ChainEffect::Send(disk, message) => {
                    if let Some(address) = self.address_of(disk) {
                        self.peers.send(address, Frame::Chain(message));
                    }
                }
                ChainEffect::Append(entries) => {
                    let last = entries.last().map_or(0, |entry| entry.index);
                    let committed = Some(self.chain.committed());
                    let batch = Batch { append: entries, committed, ..Batch::default() };
                    self.disk.write(batch, AfterWrite::EntriesWritten(last), now);
                }
                ChainEffect::TruncateAfter(index) => {
                    let batch = Batch { truncate_after: Some(index), ..Batch::default() };
                    self.disk.write(batch, AfterWrite::Truncated(index), now);
                }
                ChainEffect::StoreStanding(standing) => {
                    let batch = Batch { standing: Some(to_bytes(&standing)), ..Batch::default() };
                    self.disk.write(batch, AfterWrite::StandingStored, now);
                }
                ChainEffect::Install { index, bytes } => self.install(index, bytes, now),
                ChainEffect::Commit(index) => self.apply_up_to(index, now),
                ChainEffect::Barrier(number) => self.barrier_passed(number, now),
                ChainEffect::NeedSnapshot => {
                    let (index, bytes) = (self.replica.applied, self.replica.bytes());
                    work.extend(self.chain.provide_snapshot(index, bytes, now));
                }
            }
        }
    }

    fn install(&mut self, index: u64, bytes: Vec<u8>, now: Millis) {
        match Replica::load(index, &bytes) {
            Ok(replica) => self.replica = replica,
            Err(error) => {
                spdlog::error!("a snapshot of another member cannot be read: {error}");
                return;
            }
        }
        let batch = Batch {
            truncate_after: Some(index),
            snapshot: Some((index, bytes)),
            committed: Some(index),
            ..Batch::default()
        };
        self.disk.write(batch, AfterWrite::StateInstalled(index), now);
    }

    fn write_snapshot(&mut self, now: Millis) {
        let (index, bytes) = self.replica.snapshot();
        let batch = Batch { snapshot: Some((index, bytes)), committed: Some(index), ..Batch::default() };
        self.disk.write(batch, AfterWrite::Nothing, now);
        self.chain.compacted(index);
    }

    fn apply_up_to(&mut self, index: u64, now: Millis) {
        let version_before = self.replica.state.configuration.version;
        while self.replica.applied < index {
            let Some(entry) = self.chain.entry(self.replica.applied + 1).cloned() else {
                break;
            };
            let result = self.replica.apply(&entry);
            self.shards.applied(&entry.operation, &result, self.agreement.current(), now);
            self.answer_applied(entry.index, &result, now);
        }
        self.round_due = true;
        if self.replica.state.configuration.version != version_before {
            spdlog::info!("configuration {}", self.replica.state.configuration.version);
            self.tell_configuration(now);
            self.follow_view(now);
        }
    }

    fn answer_applied(&mut self, index: u64, result: &OperationResult, now: Millis) {
        let Some(call) = self.waiting.applied(index) else {
            return;
        };
        self.answer(call.caller, reply_to(result), now);
    }

    // Calls.

    fn take_call(&mut self, call: WaitingCall, now: Millis) {
        if !self.chain.is_head() {
            let view = self.agreement.current().clone();
            self.answer(call.caller, Reply::NotHead(view), now);
            return;
        }
        if !self.chain.ready() {
            self.waiting.defer(call);
            return;
        }
        let step = first_step(&self.replica.state, &call.request, self.clock.wall());
        self.follow_step(step, call, now);
    }

    fn follow_step(&mut self, step: Step, call: WaitingCall, now: Millis) {
        match step {
            Step::Barrier => self.waiting.for_barrier(call),
            Step::Answer(reply) => self.answer(call.caller, reply, now),
            Step::Submit(operation) => {
                let Some((index, effects)) = self.chain.submit(operation, now) else {
                    self.waiting.defer(call);
                    return;
                };
                self.waiting.for_operation(index, call);
                self.carry_out_chain(effects, now);
            }
        }
    }

    fn answer(&mut self, caller: Caller, reply: Reply, now: Millis) {
        match caller.connection {
            Some(connection) => {
                self.peers.send_on(connection, Frame::Reply { id: caller.id, reply });
            }
            None => {
                let outgoing = self.client.answered(caller.id, reply, now);
                self.send_all(outgoing);
            }
        }
    }

    fn send_all(&mut self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, frame } in outgoing {
            if to != self.me.address {
                self.peers.send(to, frame);
                continue;
            }
            if let Frame::Request { id, remaining_ms, request } = frame {
                let until = self.clock.now().plus(remaining_ms);
                let caller = Caller { from: to, connection: None, id, until };
                self.own_calls.push_back(WaitingCall { caller, request });
            }
        }
    }

    fn begin_barrier(&mut self, now: Millis) {
        if !self.waiting.wants_barrier() {
            return;
        }
        if let Some((number, effects)) = self.chain.start_barrier(now) {
            self.waiting.barrier_began(number);
            self.carry_out_chain(effects, now);
        }
    }

    fn barrier_passed(&mut self, number: u64, now: Millis) {
        let view = self.agreement.current().number;
        let wall = self.clock.wall();
        for call in self.waiting.barrier_passed(number) {
            let step = second_step(&self.replica.state, view, &call.request, wall);
            self.follow_step(step, call, now);
        }
        self.begin_barrier(now);
    }

    fn submit(&mut self, operation: Operation, now: Millis) {
        if let Some((_, effects)) = self.chain.submit(operation, now) {
            self.carry_out_chain(effects, now);
        }
    }

    fn submit_anywhere(&mut self, operation: Operation, now: Millis) {
        if self.chain.is_head() {
            self.submit(operation, now);
            return;
        }
        let view = self.agreement.current();
        if let Some(head) = view.head().and_then(|disk| view.address(disk)) {
            self.peers.send(head, Frame::Submit(operation));
        }
    }

    // Shards.

    fn follow_view(&mut self, now: Millis) {
        let view = self.agreement.current().clone();
        let operations = self.shards.follow_view(&view, &self.replica.state, now);
        for operation in operations {
            self.submit_anywhere(operation, now);
        }
    }

    /// Ends when a round that something has asked for may be run.
    async fn round_is_due(&self) {
        if !self.round_due || self.shards.is_empty() {
            return std::future::pending().await;
        }
        let since = self.clock.now().since(self.last_round);
        tokio::time::sleep(Duration::from_millis(ROUND_LEAST_MS.saturating_sub(since))).await;
    }

    fn run_round(&mut self, now: Millis) {
        if self.shards.is_empty() {
            return;
        }
        let since = now.since(self.last_round);
        let due = since >= ROUND_MOST_MS || (self.round_due && since >= ROUND_LEAST_MS);
        if !due {
            return;
        }
        self.last_round = now;
        self.log_services(now);
        self.round_due = false;
        let wall = self.clock.wall();
        let rounds = self.shards.round(&self.replica.state, now, wall, self.authority_until);
        for round in rounds {
            for operation in round.operations {
                self.submit_anywhere(operation, now);
            }
            for order in round.messages {
                self.peers.send_on(order.connection, Frame::Owner(order.message));
            }
        }
    }

    /// A line a second and service, for whoever looks for the reason of a wait.
    fn log_services(&mut self, now: Millis) {
        let due = now.since(self.last_summary) >= SUMMARY_MS;
        if !due || !spdlog::default_logger().should_log(spdlog::Level::Debug) {
            return;
        }
        self.last_summary = now;
        for (service, summary) in self.shards.summaries(now) {
            spdlog::debug!("service {}: {summary}", service.0);
        }
    }

    /// Asks the head now and then whether this process's view still rules; its authority is counted from the question.
    fn confirm_view(&mut self, now: Millis) {
        let acts = !self.shards.is_empty() || self.chain.is_head();
        if !acts || now.since(self.last_confirmation) < CONFIRM_MS {
            return;
        }
        self.last_confirmation = now;
        let number = self.agreement.current().number;
        let (answerer, reply) = oneshot::channel();
        self.confirmation = Some(Confirmation { asked_at: now, view: number, reply });
        let until = now.plus(AUTHORITY_MS);
        let outgoing = self.client.call(Request::ConfirmView { number }, answerer, until, now);
        self.send_all(outgoing);
    }

    fn read_confirmation(&mut self) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        let Ok(reply) = confirmation.reply.try_recv() else {
            return;
        };
        if reply == Reply::Done && confirmation.view == self.agreement.current().number {
            self.authority_until = confirmation.asked_at.plus(AUTHORITY_MS);
            self.round_due = true;
        }
        self.confirmation = None;
    }

    // Subscribers.

    fn answer_subscriber(&mut self, connection: u64, now: Millis) {
        let view = self.agreement.current();
        let Some(subscriber) = self.subscribers.get_mut(connection) else {
            return;
        };
        let (have, asked_at) = (subscriber.have, subscriber.asked_at);
        if subscriber.told_view < view.number {
            subscriber.told_view = view.number;
            self.peers.send_on(connection, Frame::ViewNews(view.clone()));
        }
        if have != VIEWS_ONLY && self.knows_configuration(now) {
            let frame = self.configuration_news(have, asked_at);
            self.peers.send_on(connection, frame);
        }
    }

    fn knows_configuration(&self, now: Millis) -> bool {
        let version = self.replica.state.configuration.version;
        version > 0 && self.chain.is_head() && self.chain.ready() && now < self.authority_until
    }

    fn configuration_news(&self, have: u64, asked_at: Millis) -> Frame {
        let newest = &self.replica.state.configuration;
        let configuration = (have != newest.version).then(|| newest.clone());
        Frame::ConfigurationNews { asked_at, age_ms: 0, version: newest.version, configuration }
    }

    fn tell_configuration(&mut self, now: Millis) {
        if !self.knows_configuration(now) {
            return;
        }
        let newest = self.replica.state.configuration.clone();
        for (connection, subscriber) in self.subscribers.iter_mut() {
            if subscriber.have == VIEWS_ONLY {
                continue;
            }
            subscriber.have = newest.version;
            let news = Frame::ConfigurationNews {
                asked_at: subscriber.asked_at,
                age_ms: 0,
                version: newest.version,
                configuration: Some(newest.clone()),
            };
            self.peers.send_on(*connection, news);
        }
    }

    // The end.

    fn leave(&mut self) {
        if self.leaving_since.is_none() {
            let now = self.clock.now();
            spdlog::info!("told to end");
            self.leaving_since = Some(now);
            self.membership.leave();
            self.send_heartbeats(now);
        }
    }

    fn has_left(&self) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let waited = self.clock.now().since(since);
        let replaced = self.agreement.current().position(self.me.disk).is_none() && self.client.is_idle();
        waited >= LEAVE_MS || (replaced && waited >= LEAVE_MS / 3)
    }

    fn status(&self) -> String {
        let view = self.agreement.current();
        let services: Vec<&str> = self.shards.services().map(|service| service.0.as_str()).collect();
        format!(
            "node {}\ndisk {:016x}\nview {}\nvoters {}\nchain position {:?}\napplied {}\ncommitted {}\nconfiguration {}\njobs {}\nowns {}\n",
            self.settings.node,
            self.me.disk.0,
            view.number,
            view.voters.len(),
            view.position(self.me.disk),
            self.replica.applied,
            self.chain.committed(),
            self.replica.state.configuration.version,
            self.replica.state.jobs.len(),
            services.join(" ")
        )
    }
}

fn to_bytes<T: borsh::BorshSerialize>(value: &T) -> Vec<u8> {
    // Writing into memory does not fail.
    borsh::to_vec(value).unwrap_or_default()
}
