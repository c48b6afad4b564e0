//! The core process as one state machine without I/O: events come in, effects go out.
//!
//! It puts the agreement on views, the chain, the replica and the schedulers together. Its driver reads the clocks,
//! carries frames, writes batches to the disk, and hands what comes of it back as events. The simulation of the whole
//! control plane runs the same machine.

mod frames;
mod identity;
mod ownership;
mod replication;
mod requests;
mod shutdown;
mod subscriptions;
mod views;

pub use super::effect::{CoreEffect, CoreEvent, CoreFault, Moment};
pub use super::settings::CoreSettings;

use super::effect::Outbox;
use super::pending_requests::{Caller, NewsRequest, Waiting, WaitingCall};
use super::pending_writes::{AfterWrite, Disk};
use super::replica::Replica;
use super::request_steps::{first_step, reply_for, second_step, Step};
use super::shards::{Shards, AUTHORITY_MS};
use crate::control_api::{HeadCall, ProcessCall};
use crate::head_client::{HeadClient, OutgoingFrame};
use crate::subscribers::Subscribers;
use crate::NodeError;
use borsh::BorshDeserialize;
use lupinrack_chain::{Chain, Effect as ChainEffect, ReplicaStatus, StoredState, SubmitError};
use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::chain::{ChainMessage, ReplicaReport};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::{Frame, Interest};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::request::{ProcessQuery, Reply, Request};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_control_state::JobRecord;
use lupinrack_control_store::{Batch, Recovered};
use lupinrack_view_agreement::{
    policy::DuplicateDisk, Agreement, Effect as AgreementEffect, PeerReport, PolicySettings,
    ViewPolicy, VoteState,
};
use std::collections::{BTreeMap, VecDeque};
use tokio::sync::oneshot;

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
/// Between two looks for ended jobs that need not be remembered any longer, in milliseconds.
const FORGET_EVERY_MS: u64 = 5_000;
/// A process that is no voter and is silent for so many times the time to catch up is called no more.
const FORGOTTEN_CATCH_UPS: u64 = 3;
/// How long a process that is told to end goes on at least, so that those who call it learn of the next view, in
/// milliseconds.
const LEAVE_LEAST_MS: u64 = 500;
/// Of its time between the signal to end and being killed, how many percent a process waits for its places to be taken.
const LEAVE_PERCENT: u64 = 75;

#[derive(Debug)]
struct Confirmation {
    requested_at: Millis,
    view: u64,
    reply: oneshot::Receiver<Reply>,
}

/// The core process.
#[derive(Debug)]
pub struct CoreMachine {
    /// The newest moment that the driver told.
    moment: Moment,
    name: String,
    seeds: Vec<PeerAddress>,
    me: Voter,
    incarnation: u64,
    outbox: Outbox,
    agreement: Agreement,
    policy: ViewPolicy,
    chain: Chain,
    /// The number of the newest view that was adopted in this life; 0 for none.
    adopted_view: u64,
    replica: Replica,
    disk: Disk,
    /// Set once memory and disk no longer agree; nothing goes out from then on.
    fault: Option<CoreFault>,
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
    remember_ms: u64,
    last_forgetting: Millis,
    leaving_since: Option<Millis>,
    /// How long this process has between the signal to end and being killed, in milliseconds.
    grace_ms: u64,
    /// Agreement messages to this process itself.
    own_messages: VecDeque<AgreementMessage>,
    /// Calls to this process itself.
    own_calls: VecDeque<WaitingCall>,
    /// Core processes that were heard, and when last.
    other_cores: BTreeMap<PeerAddress, Millis>,
    catch_up_ms: u64,
    /// How often a process claimed a disk that another has.
    rejected_identity_claims: u64,
    /// The disk of the process at the other end of each connection from a core process.
    connections: BTreeMap<u64, DiskId>,
}

impl CoreMachine {
    /// A process that begins with what was found on its disk.
    ///
    /// # Errors
    ///
    /// Where what was found cannot be read.
    pub fn new(
        settings: CoreSettings,
        recovered: Recovered,
        moment: Moment,
    ) -> Result<CoreMachine, NodeError> {
        let vote = read_or_default::<VoteState>(&recovered.vote)?;
        let view = read_or_default::<View>(&recovered.view)?;
        let replica_status = read_or_default::<ReplicaStatus>(&recovered.replica_status)?;
        let replica = Replica::load(recovered.snapshot_index, &recovered.snapshot)?;
        let empty_disk = recovered.disk.is_none();
        let CoreSettings {
            name,
            me,
            incarnation,
            seeds,
            founders,
            ..
        } = settings;
        let CoreSettings {
            tolerated_losses,
            catch_up_ms,
            grace_ms,
            remember_ms,
            scheduler,
            log_bytes,
            ..
        } = settings;
        let agreement = Agreement::new(me.clone(), incarnation, vote, founders);
        let policy_settings = PolicySettings {
            heartbeat_ms: HEARTBEAT_MS,
            suspect_after_ms: SUSPECT_AFTER_MS,
            tolerated_losses,
            catch_up_ms,
        };
        let policy = ViewPolicy::new(policy_settings, agreement.founders().to_vec());
        let stored = StoredState {
            snapshot_index: recovered.snapshot_index,
            entries: recovered.entries,
            view: view.clone(),
            replica_status,
        };
        let mut machine = CoreMachine {
            moment,
            name,
            seeds,
            incarnation,
            outbox: Outbox::default(),
            agreement,
            policy,
            chain: Chain::new(me.disk, tolerated_losses + 1, stored).with_byte_limits(log_bytes),
            adopted_view: 0,
            replica,
            disk: Disk::default(),
            fault: None,
            client: HeadClient::new(incarnation),
            waiting: Waiting::default(),
            shards: Shards::new(me.disk, incarnation, scheduler),
            subscribers: Subscribers::default(),
            confirmation: None,
            last_confirmation: Millis(0),
            authority_until: Millis(0),
            last_heartbeat: Millis(0),
            last_round: Millis(0),
            last_summary: Millis(0),
            round_due: false,
            remember_ms,
            grace_ms,
            last_forgetting: Millis(0),
            leaving_since: None,
            own_messages: VecDeque::new(),
            own_calls: VecDeque::new(),
            other_cores: BTreeMap::new(),
            catch_up_ms,
            rejected_identity_claims: 0,
            connections: BTreeMap::new(),
            me,
        };
        machine.begin(view, empty_disk);
        Ok(machine)
    }

    /// Takes an event. What follows from it waits for [`CoreMachine::settle`].
    pub fn receive(&mut self, event: CoreEvent, moment: Moment) {
        self.moment = moment;
        let now = moment.now;
        match event {
            CoreEvent::Frame {
                from,
                incarnation,
                connection,
                frame,
            } => {
                self.on_frame(from, incarnation, connection, frame, now);
            }
            CoreEvent::Closed { from, connection } => self.on_closed(from, connection, now),
            CoreEvent::Synced(tickets) => self.on_synced(&tickets, now),
            CoreEvent::WriteFailed => self.disk.failed(now),
            CoreEvent::WriteRefused => self.fail(CoreFault::WriteRefused),
            CoreEvent::Call(call) => self.on_control_call(call),
            CoreEvent::Query(call) => self.on_query(call),
            CoreEvent::Tick => self.on_tick(),
            CoreEvent::Terminate => self.leave(),
        }
    }

    /// Finishes what the last events left, and hands out all effects, in the order in which they are to be carried out.
    pub fn take_effects(&mut self, moment: Moment) -> Vec<CoreEffect> {
        self.moment = moment;
        self.finish_events();
        let effects = self.outbox.take();
        if self.fault.is_some() {
            return Vec::new();
        }
        effects
    }

    /// Why the process has to end at once; none while it may go on.
    pub fn fault(&self) -> Option<CoreFault> {
        self.fault
    }

    fn fail(&mut self, fault: CoreFault) {
        spdlog::error!("{fault}");
        self.fault.get_or_insert(fault);
    }

    /// Hands a batch to the disk.
    fn write(&mut self, batch: Batch, then: AfterWrite, now: Millis) {
        let ticket = self.disk.begin_write(then, now);
        self.outbox.write(ticket, batch);
    }
}

fn read_or_default<T: BorshDeserialize + Default>(bytes: &[u8]) -> Result<T, NodeError> {
    if bytes.is_empty() {
        return Ok(T::default());
    }
    T::try_from_slice(bytes).map_err(NodeError::Damaged)
}

fn to_bytes<T: borsh::BorshSerialize>(value: &T) -> Vec<u8> {
    // Writing into memory does not fail.
    borsh::to_vec(value).unwrap_or_default()
}
