//! The core process as one state machine without I/O: events come in, effects go out.
//!
//! [`CoreMachine`] owns one component per concern and routes events and effects between them. Each file of this folder
//! contains the routing of one concern. Only a component's own methods change its state.

mod frames;
mod ownership;
mod replication;
mod requests;
mod subscriptions;
mod views;

use super::admission::Admission;
use super::commit_history::CommitHistory;
use super::core_peers::{CorePeers, HEARTBEAT_INTERVAL_MS};
use super::effect::CoreEffect;
use super::event::CoreEvent;
use super::fault::CoreFault;
use super::job_retention::JobRetention;
use super::moment::Moment;
use super::outbox::Outbox;
use super::own_calls::OwnCalls;
use super::pending_requests::PendingRequests;
use super::pending_writes::{PendingWrites, WriteContinuation};
use super::replica::Replica;
use super::round_schedule::RoundSchedule;
use super::settings::CoreSettings;
use super::shard_authority::ShardAuthority;
use super::shards::Shards;
use super::shutdown::Shutdown;
use super::stall_watch::StallWatch;
use super::view_manager::ViewManager;
use crate::control_api::{HeadCall, ProcessCall};
use crate::error::NodeError;
use crate::status::CoreStatus;
use crate::subscribers::Subscribers;
use borsh::BorshDeserialize;
use lupinrack_chain::{Chain, ReplicaStatus, StoredState};
use lupinrack_cluster_api::identity::ServiceName;
use lupinrack_cluster_api::request::ProcessQuery;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_control_state::ControlState;
use lupinrack_control_store::{Batch, Recovered};
use lupinrack_view_agreement::{Agreement, PolicySettings, ViewPolicy, VoteState};

/// A core process becomes suspect after this time without a message from it, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 700;
/// Suspicion timeout for a process whose recent heartbeats were on time, in milliseconds: 3.5 heartbeat intervals.
const MIN_SUSPECT_AFTER_MS: u64 = 350;

/// The core process.
#[derive(Debug)]
pub struct CoreMachine {
    /// The name of its machine.
    name: String,
    me: Voter,
    incarnation: u64,
    /// The latest clock reading from the driver.
    moment: Moment,
    /// Set once memory and disk no longer agree. No effect leaves the machine after that.
    fault: Option<CoreFault>,
    outbox: Outbox,
    stalls: StallWatch,
    writes: PendingWrites,
    views: ViewManager,
    peers: CorePeers,
    chain: Chain,
    replica: Replica,
    /// Requests that this process handles as the head.
    requests: PendingRequests,
    admission: Admission,
    commit_history: CommitHistory,
    own_calls: OwnCalls,
    shards: Shards,
    authority: ShardAuthority,
    rounds: RoundSchedule,
    subscribers: Subscribers,
    retention: JobRetention,
    shutdown: Shutdown,
}

impl CoreMachine {
    /// Starts a process from the contents of its disk.
    ///
    /// # Errors
    ///
    /// If the contents cannot be decoded.
    pub fn new(
        settings: CoreSettings,
        recovered: Recovered,
        moment: Moment,
    ) -> Result<CoreMachine, NodeError> {
        let vote = decode_or_default::<VoteState>(&recovered.vote)?;
        let view = decode_or_default::<View>(&recovered.view)?;
        let replica_status = decode_or_default::<ReplicaStatus>(&recovered.replica_status)?;
        let replica = Replica::load(recovered.snapshot_index, &recovered.snapshot)
            .map_err(NodeError::DecodeSnapshot)?;
        let is_empty_disk = recovered.disk.is_none();
        let stored = StoredState {
            snapshot_index: recovered.snapshot_index,
            entries: recovered.entries,
            view: view.clone(),
            replica_status,
        };
        let state_bytes = recovered.snapshot.len();
        let mut machine = CoreMachine::assemble(settings, vote, replica, stored, moment);
        machine.measure_state(state_bytes);
        machine.begin(view, is_empty_disk);
        Ok(machine)
    }

    fn assemble(
        settings: CoreSettings,
        vote: VoteState,
        replica: Replica,
        stored: StoredState,
        moment: Moment,
    ) -> CoreMachine {
        let (me, incarnation) = (settings.me, settings.incarnation);
        let agreement = Agreement::new(me.clone(), incarnation, vote, settings.founders);
        let policy_settings = PolicySettings {
            heartbeat_ms: HEARTBEAT_INTERVAL_MS,
            suspect_after_ms: SUSPECT_AFTER_MS,
            min_suspect_after_ms: MIN_SUSPECT_AFTER_MS,
            tolerated_losses: settings.tolerated_losses,
            catch_up_ms: settings.catch_up_ms,
        };
        let policy = ViewPolicy::new(policy_settings, agreement.founders().to_vec());
        let chain = Chain::new(me.disk, settings.tolerated_losses + 1, stored)
            .with_byte_limits(settings.log_bytes);
        CoreMachine {
            name: settings.name,
            incarnation,
            moment,
            fault: None,
            outbox: Outbox::default(),
            stalls: StallWatch::new(moment.now),
            writes: PendingWrites::on_disk(settings.sync_ms),
            views: ViewManager::new(me.clone(), agreement, policy),
            peers: CorePeers::new(settings.seeds, settings.catch_up_ms),
            chain,
            replica,
            requests: PendingRequests::default(),
            admission: Admission::new(settings.admitted_state_bytes, settings.catch_up_ms),
            commit_history: CommitHistory::default(),
            own_calls: OwnCalls::new(me.address, incarnation),
            shards: Shards::new(me.disk, incarnation, settings.scheduler),
            authority: ShardAuthority::default(),
            rounds: RoundSchedule::default(),
            subscribers: Subscribers::default(),
            retention: JobRetention::new(settings.remember_ms),
            shutdown: Shutdown::new(settings.grace_ms),
            me,
        }
    }

    fn begin(&mut self, stored_view: View, is_empty_disk: bool) {
        if is_empty_disk {
            let batch = Batch {
                disk: Some(self.me.disk),
                ..Batch::default()
            };
            self.write(batch, WriteContinuation::Nothing);
        }
        let effects = self.views.begin(stored_view);
        self.carry_out_views(effects);
        spdlog::info!(
            "core process on disk {:016x}, view {}, applied {}",
            self.me.disk.0,
            self.views.current().number,
            self.replica.applied()
        );
    }

    /// Handles an event. [`CoreMachine::take_effects`] returns its effects.
    pub fn receive(&mut self, event: CoreEvent, moment: Moment) {
        self.advance(moment);
        match event {
            CoreEvent::Frame {
                from,
                incarnation,
                connection,
                frame,
            } => self.on_frame(from, incarnation, connection, frame),
            CoreEvent::Closed { from, connection } => self.on_closed(from, connection),
            CoreEvent::Synced(numbers) => self.on_synced(&numbers),
            CoreEvent::WriteFailed => self.writes.failed(moment.now),
            CoreEvent::WriteRejected => self.fail(CoreFault::WriteRejected),
            CoreEvent::Call(call) => self.on_call(call),
            CoreEvent::Query(call) => self.on_query(call),
            CoreEvent::LiveCoreProcesses(addresses) => self.peers.set_live(addresses),
            CoreEvent::SeedsReplaced(seeds) => self.peers.set_seeds(seeds),
            CoreEvent::Tick => self.on_tick(),
            CoreEvent::Terminate => self.on_terminate(),
        }
    }

    /// Completes the work that the last events made due, and returns all effects. The driver carries them out in this
    /// order.
    pub fn take_effects(&mut self, moment: Moment) -> Vec<CoreEffect> {
        self.advance(moment);
        self.finish_events();
        let effects = self.outbox.take();
        if self.fault.is_some() {
            return Vec::new();
        }
        effects
    }

    /// The fault for which the process must exit at once, if any.
    pub fn fault(&self) -> Option<CoreFault> {
        self.fault
    }

    /// This process's replica of the control state.
    pub fn control_state(&self) -> &ControlState {
        self.replica.state()
    }

    /// Index of the last operation that the replica has applied.
    pub fn applied(&self) -> u64 {
        self.replica.applied()
    }

    /// Whether this process schedules a service as the owner of its shard.
    pub fn schedules(&self, service: &ServiceName) -> bool {
        self.shards.owns(service)
    }

    /// Number of times a process claimed a disk that another process has. One of the two runs on a copy of the other's
    /// data. Messages of the claiming process are rejected.
    pub fn rejected_identity_claims(&self) -> u64 {
        self.peers.rejected_claims()
    }

    /// Whether the graceful shutdown that [`CoreEvent::Terminate`] began is complete, so that the process may exit.
    pub fn is_shutdown_complete(&self, now: Millis) -> bool {
        let is_needed = !(self.own_calls.is_idle() && self.views.may_shut_down(now));
        self.shutdown.is_complete(is_needed, now)
    }

    /// Advances the clock. A stall of this process does not count as write latency of its disk.
    fn advance(&mut self, moment: Moment) {
        self.moment = moment;
        if let Some(stalled_ms) = self.stalls.advance(moment.now) {
            self.writes.exclude_stall(stalled_ms, moment.now);
        }
    }

    fn now(&self) -> Millis {
        self.moment.now
    }

    fn fail(&mut self, fault: CoreFault) {
        spdlog::error!("{fault}");
        self.fault.get_or_insert(fault);
    }

    /// Queues a write of the batch to the disk. The continuation runs once the write is synced.
    fn write(&mut self, batch: Batch, continuation: WriteContinuation) {
        let number = self.writes.begin(continuation, self.now());
        self.outbox.write(number, batch);
    }

    fn on_synced(&mut self, numbers: &[u64]) {
        let now = self.now();
        for continuation in self.writes.synced(numbers, now) {
            match continuation {
                WriteContinuation::Nothing => {}
                WriteContinuation::SendVotes(messages) => {
                    let effects = self.views.votes_stored(messages);
                    self.carry_out_views(effects);
                }
                WriteContinuation::ViewStored(view) => self.adopt_view(&view),
                WriteContinuation::EntriesWritten(index) => {
                    let effects = self.chain.entries_written(index, now);
                    self.carry_out_chain(effects);
                }
                WriteContinuation::Truncated(index) => {
                    let effects = self.chain.log_truncated(index, now);
                    self.carry_out_chain(effects);
                }
                WriteContinuation::ReplicaStatusStored => {
                    let effects = self.chain.replica_status_stored(now);
                    self.carry_out_chain(effects);
                }
                WriteContinuation::SnapshotInstalled(index) => {
                    let effects = self.chain.snapshot_installed(index, now);
                    self.carry_out_chain(effects);
                }
            }
        }
    }

    fn on_call(&mut self, call: HeadCall) {
        let now = self.now();
        let deadline = now.plus(call.remaining_ms);
        let outbox = &mut self.outbox;
        self.own_calls
            .begin(call.request, call.reply_to, deadline, now, outbox);
    }

    fn on_query(&mut self, call: ProcessCall) {
        let text = match call.query {
            ProcessQuery::Status => self.status(),
        };
        // Sending fails if the operator has disconnected. The answer is then dropped.
        let _ = call.reply_to.send(text);
    }

    fn status(&self) -> String {
        let summaries = self.shards.summaries(self.now());
        let services: Vec<_> = summaries
            .map(|(service, summary)| (service.clone(), summary))
            .collect();
        let status = CoreStatus {
            node: &self.name,
            me: &self.me,
            view: self.views.current(),
            state: self.replica.state(),
            applied: self.replica.applied(),
            committed: self.chain.committed(),
            unmatched_replies: self.own_calls.unmatched_replies(),
            services: &services,
        };
        status.to_string()
    }

    fn on_terminate(&mut self) {
        if self.shutdown.begin(self.now()) {
            spdlog::info!("shutting down");
            self.send_heartbeats();
        }
    }

    fn on_tick(&mut self) {
        let now = self.now();
        let effects = self.views.tick(self.writes.latency_ms(now), now);
        self.carry_out_views(effects);
        let effects = self.chain.tick(now);
        self.carry_out_chain(effects);
        self.own_calls.tick(now, &mut self.outbox);
        self.requests.expire(now);
        self.send_due_heartbeats();
        self.propose_view();
        self.update_joiner_throttle();
        self.confirm_view();
        self.take_over_shards();
        self.forget_jobs();
    }

    /// Completes the work that the last events made due: messages of this process to itself, deferred requests, a
    /// barrier, and a scheduling round.
    fn finish_events(&mut self) {
        let now = self.now();
        while let Some(effects) = self.views.receive_from_self(now) {
            self.carry_out_views(effects);
        }
        while let Some(request) = self.own_calls.next_to_self() {
            self.take_request(request);
        }
        if self.chain.is_head() && self.chain.is_ready() {
            for request in self.requests.take_deferred() {
                self.take_request(request);
            }
            for operation in self.requests.take_deferred_operations() {
                self.append(operation);
            }
        }
        self.begin_barrier();
        self.poll_confirmation();
        self.run_round();
        self.write_snapshot_if_due();
    }
}

fn decode_or_default<T: BorshDeserialize + Default>(bytes: &[u8]) -> Result<T, NodeError> {
    if bytes.is_empty() {
        return Ok(T::default());
    }
    T::try_from_slice(bytes).map_err(NodeError::DecodeDisk)
}
