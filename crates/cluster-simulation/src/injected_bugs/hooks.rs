//! Applies injected bugs to the frames and batches of processes. The processes themselves contain no bug code.

use crate::injected_bugs::{InjectedBug, LateReply};
use crate::machine::{address_of, ProcessEvent};
use crate::network::DirectedLink;
use crate::world::World;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::{DiskId, FencingToken};
use lupinrack_cluster_api::operation::Operation;
use lupinrack_cluster_api::request::CallId;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_control_state::{
    AcceptedChanges, AgentBindings, ConfigurationDocument, JobTable, ShardTable,
};
use lupinrack_control_store::Batch;
use lupinrack_worker_agent::HeartbeatResponse;

/// Excess of a lease over the granted time, in milliseconds.
const LEASE_EXCESS_MS: u64 = 1_000;
/// Delay of a reply's copy after the reply, in milliseconds.
const REPLY_COPY_DELAY_MS: std::ops::Range<u64> = 100..1_500;
/// First number of forged connections.
const FORGED_CONNECTIONS: u64 = 1 << 62;

impl World {
    /// Applies the injected bug to a frame that a process sends.
    pub(crate) fn apply_bug_to_frame(&self, frame: Frame) -> Frame {
        match frame {
            Frame::Submit(Operation::TakeShard {
                service,
                owner,
                incarnation,
                ..
            }) if self.injected_bug == Some(InjectedBug::TokenNotIncremented) => {
                Frame::Submit(Operation::TakeShard {
                    service,
                    token: FencingToken(1),
                    owner,
                    incarnation,
                })
            }
            frame => frame,
        }
    }

    /// Applies the injected bug to a batch that a core process writes: it may replace the snapshot.
    pub(crate) fn apply_bug_to_batch(&mut self, machine: usize, batch: Batch) -> Batch {
        let Some((index, bytes)) = batch.snapshot else {
            return batch;
        };
        let bytes = match self.injected_bug {
            Some(InjectedBug::AcceptedChangesNotInSnapshot) => without_accepted_changes(bytes),
            Some(InjectedBug::StaleSnapshot) => self
                .bug_state
                .first_snapshots
                .entry(machine)
                .or_insert(bytes)
                .clone(),
            _ => bytes,
        };
        Batch {
            snapshot: Some((index, bytes)),
            ..batch
        }
    }

    pub(crate) fn apply_bug_to_response(
        &mut self,
        machine: usize,
        mut answer: HeartbeatResponse,
        listed: u64,
    ) -> HeartbeatResponse {
        match self.injected_bug {
            Some(InjectedBug::LeaseTooLong) if answer.lease_ms > 0 => {
                answer.lease_ms += LEASE_EXCESS_MS;
            }
            Some(InjectedBug::DeposedOwnerKeepsOn) if answer.lease_ms > 0 => {
                let first = self.bug_state.first_tokens.entry(machine);
                answer.token = *first.or_insert(answer.token);
            }
            Some(InjectedBug::ObservedTooEarly) => answer.observed = answer.observed.max(listed),
            _ => {}
        }
        answer
    }

    /// Acknowledges a barrier on behalf of a successor that is partitioned off.
    pub(crate) fn acknowledge_for_successor(&mut self, machine: usize, to: usize, frame: &Frame) {
        let Frame::Chain(ChainMessage::Append {
            view,
            committed,
            barrier,
            ..
        }) = frame
        else {
            return;
        };
        let injected_bug = self.injected_bug == Some(InjectedBug::BarrierWithoutQuorum);
        if !injected_bug
            || !self
                .network
                .is_partitioned(DirectedLink { from: machine, to })
        {
            return;
        }
        let acknowledge = ChainMessage::Acknowledge {
            view: *view,
            synced: *committed,
            barrier: *barrier,
        };
        let hello = self.endpoints[to].hello.clone();
        self.forge_frame(machine, to, hello);
        self.forge_frame(machine, to, Frame::Chain(acknowledge));
    }

    /// Delivers a frame to a process as if another process had sent it.
    fn forge_frame(&mut self, machine: usize, from: usize, frame: Frame) {
        let (incarnation, connection) = (
            self.machines[from].incarnation,
            FORGED_CONNECTIONS + from as u64,
        );
        self.dispatch(
            machine,
            ProcessEvent::Frame {
                from,
                incarnation,
                connection,
                frame,
            },
        );
    }

    /// Schedules a late copy of each reply, to be delivered on the connection that the caller's machine has by then.
    pub(crate) fn duplicate_reply(&mut self, machine: usize, connection: u64, frame: &Frame) {
        if self.injected_bug != Some(InjectedBug::ReplyMatchedByNumber) {
            return;
        }
        let Frame::Reply { id, reply } = frame else {
            return;
        };
        let Some(to) = self.network.other_end(machine, connection) else {
            return;
        };
        let due = self.now + self.rng.u64(REPLY_COPY_DELAY_MS);
        self.bug_state.late_replies.push(LateReply {
            due,
            from: machine,
            to,
            number: id.number,
            reply: reply.clone(),
        });
    }

    /// Delivers the reply copies that are due.
    pub(crate) fn deliver_late_replies(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.bug_state.late_replies)
            .into_iter()
            .partition(|late| late.due <= now);
        self.bug_state.late_replies = later;
        let due: Vec<LateReply> = due;
        for late in due {
            self.deliver_late_reply(late);
        }
    }

    /// Delivers a copy under the current incarnation of the caller's process, as if incarnations were not compared.
    fn deliver_late_reply(&mut self, late: LateReply) {
        let LateReply {
            from,
            to,
            number,
            reply,
            ..
        } = late;
        let Some(connection) = self.network.newest(to, from) else {
            return;
        };
        let id = CallId {
            incarnation: self.machines[to].incarnation,
            number,
        };
        let (incarnation, frame) = (self.machines[from].incarnation, Frame::Reply { id, reply });
        self.dispatch(
            to,
            ProcessEvent::Frame {
                from,
                incarnation,
                connection,
                frame,
            },
        );
    }

    /// Notifies machines on the minority side of a view that they alone agreed on.
    pub(crate) fn remove_voters_by_minority(&mut self, machines: &[usize]) {
        if self.injected_bug != Some(InjectedBug::VotersRemovedByMinority) {
            return;
        }
        let Some(view) = self.newest_view().map(|view| view_of(&view, machines)) else {
            return;
        };
        let from = machines[0];
        for machine in machines {
            self.forge_frame(*machine, from, Frame::ViewUpdate(view.clone()));
        }
    }
}

/// The next view, with only the voters on these machines.
fn view_of(view: &View, machines: &[usize]) -> View {
    let is_here = |voter: &Voter| {
        machines
            .iter()
            .any(|machine| voter.address == address_of(*machine))
    };
    let voters: Vec<Voter> = view
        .voters
        .iter()
        .filter(|voter| is_here(voter))
        .cloned()
        .collect();
    let mut chain: Vec<DiskId> = voters.iter().map(|voter| voter.disk).collect();
    chain.sort_by_key(|disk| view.position(*disk).unwrap_or(usize::MAX));
    View {
        number: view.number + 1,
        voters,
        chain,
    }
}

/// The parts of an encoded state, in encoding order.
type StateParts = (
    Configuration,
    ConfigurationDocument,
    AcceptedChanges,
    JobTable,
    ShardTable,
    AgentBindings,
);

/// Encodes a state without its record of accepted changes.
fn without_accepted_changes(bytes: Vec<u8>) -> Vec<u8> {
    let Ok(parts) = borsh::from_slice::<StateParts>(&bytes) else {
        return bytes;
    };
    let (configuration, document, _, jobs, shards, bindings) = parts;
    let accepted_changes = AcceptedChanges::default();
    let parts: StateParts = (
        configuration,
        document,
        accepted_changes,
        jobs,
        shards,
        bindings,
    );
    borsh::to_vec(&parts).unwrap_or(bytes)
}
