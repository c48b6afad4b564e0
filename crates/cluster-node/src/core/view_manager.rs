//! Views: the agreement on them, the policy that selects the one to propose, and the one that this process has adopted.

use super::pending_writes::WriteContinuation;
use super::vote_writer::{VoteMessages, VoteWrite, VoteWriter};
use borsh::BorshSerialize;
use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_control_store::Batch;
use lupinrack_view_agreement::policy::{DuplicateDisk, Redundancy};
use lupinrack_view_agreement::{Agreement, Effect, PeerReport, ViewPolicy, VoteState};
use std::collections::VecDeque;

/// An effect of the agreement on views.
#[derive(Debug)]
pub(super) enum ViewEffect {
    /// A message to another process.
    Send(PeerAddress, AgreementMessage),
    /// A write, and its continuation once it is synced.
    Write(Batch, WriteContinuation),
}

/// This process's knowledge of views.
#[derive(Debug)]
pub(super) struct ViewManager {
    me: Voter,
    agreement: Agreement,
    policy: ViewPolicy,
    /// The number of the newest view that was adopted in this incarnation; 0 for none.
    adopted: u64,
    /// Messages of the agreement to this process itself.
    to_self: VecDeque<AgreementMessage>,
    votes: VoteWriter,
    /// The links that the last heartbeat reported.
    reported_links: Vec<DiskId>,
}

impl ViewManager {
    /// Starts as this voter, without an adopted view.
    pub(super) fn new(me: Voter, agreement: Agreement, policy: ViewPolicy) -> ViewManager {
        ViewManager {
            me,
            agreement,
            policy,
            adopted: 0,
            to_self: VecDeque::new(),
            votes: VoteWriter::default(),
            reported_links: Vec::new(),
        }
    }

    /// The newest agreed view.
    pub(super) fn current(&self) -> &View {
        self.agreement.current()
    }

    /// The address of a disk's process: from the view, or else from its last heartbeat.
    pub(super) fn address_of(&self, disk: DiskId) -> Option<PeerAddress> {
        let voter = self.current().address(disk);
        voter.or_else(|| self.policy.address_of(disk))
    }

    /// The address of the head of the chain.
    pub(super) fn head_address(&self) -> Option<PeerAddress> {
        let view = self.current();
        view.address(view.head()?)
    }

    /// Begins with the view that the last incarnation stored. The stored vote may contain this or a newer agreed view.
    /// The agreement then emits no effect for it, so this stores the view once more, upon which the other components
    /// adopt it.
    pub(super) fn begin(&mut self, stored: View) -> Vec<ViewEffect> {
        let effects = self.agreement.learn(stored);
        let was_known = effects.is_empty();
        let mut effects = self.effects(effects);
        if was_known && self.current().number > 0 {
            effects.push(store(self.current().clone()));
        }
        effects
    }

    /// Learns a view that another process knows.
    pub(super) fn learn(&mut self, view: View) -> Vec<ViewEffect> {
        let effects = self.agreement.learn(view);
        self.effects(effects)
    }

    /// Handles a message of the agreement.
    pub(super) fn receive(
        &mut self,
        from: PeerAddress,
        message: AgreementMessage,
        now: Millis,
    ) -> Vec<ViewEffect> {
        let effects = self.agreement.receive(from, message, now);
        self.effects(effects)
    }

    /// Handles the next message of this process to itself; none if there is no such message.
    pub(super) fn receive_from_self(&mut self, now: Millis) -> Option<Vec<ViewEffect>> {
        let message = self.to_self.pop_front()?;
        Some(self.receive(self.me.address, message, now))
    }

    /// Handles a tick of the timer. `vote_ms` is how long this disk lately took for a write.
    pub(super) fn tick(&mut self, vote_ms: u64, now: Millis) -> Vec<ViewEffect> {
        self.agreement.set_vote_ms(vote_ms);
        let effects = self.agreement.tick(now);
        self.effects(effects)
    }

    /// Proposes the next view if the policy selects one.
    pub(super) fn propose(&mut self, now: Millis) -> Vec<ViewEffect> {
        let current = self.current().clone();
        let Some(next) = self.policy.view_to_propose(&current, &self.me, now) else {
            return Vec::new();
        };
        let effects = self.agreement.propose(next, now);
        self.effects(effects)
    }

    /// Sends the messages of votes that are now on the disk.
    pub(super) fn votes_stored(&mut self, messages: VoteMessages) -> Vec<ViewEffect> {
        self.votes.synced();
        self.send_all(messages)
    }

    fn send_all(&mut self, messages: VoteMessages) -> Vec<ViewEffect> {
        let sent = messages
            .into_iter()
            .filter_map(|(to, message)| self.send(to, message));
        sent.collect()
    }

    /// Records that a stored view is adopted. Returns false if it or a newer one was adopted before.
    pub(super) fn adopt(&mut self, number: u64) -> bool {
        // The view of `OwnCalls` is no substitute for `adopted`: a reply of another process may have set it earlier.
        let is_new = number > self.adopted;
        self.adopted = self.adopted.max(number);
        is_new
    }

    /// Handles a heartbeat from another process.
    ///
    /// # Errors
    ///
    /// If the process claims a disk that is known at another address.
    pub(super) fn receive_heartbeat(
        &mut self,
        voter: Voter,
        report: PeerReport,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.check_voter(voter.disk, voter.address)?;
        self.policy.receive_heartbeat(voter, report, now)
    }

    /// The disks whose processes this one exchanges messages with in both directions, in ascending order.
    fn links(&mut self, now: Millis) -> Vec<DiskId> {
        let mut links = self.policy.linked_disks(&self.me, now);
        links.sort_unstable();
        links
    }

    /// The links that the next heartbeat reports.
    pub(super) fn links_to_report(&mut self, now: Millis) -> Vec<DiskId> {
        self.reported_links = self.links(now);
        self.reported_links.clone()
    }

    /// Whether the working links differ from those that the last heartbeat reported.
    pub(super) fn have_links_changed(&mut self, now: Millis) -> bool {
        self.links(now) != self.reported_links
    }

    /// Records a heartbeat of this process. If a process with a copy of this disk sent a heartbeat first, that process
    /// is rejected from the next tick on.
    pub(super) fn record_own_heartbeat(&mut self, report: PeerReport, now: Millis) {
        let _ = self.policy.receive_heartbeat(self.me.clone(), report, now);
    }

    /// Checks that the disk is not known at another address.
    ///
    /// # Errors
    ///
    /// If it is known at another address.
    pub(super) fn check_disk(
        &self,
        disk: DiskId,
        address: PeerAddress,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.check_voter(disk, address)?;
        self.policy.check_disk(disk, address, now)
    }

    /// Checks a voter's address against the view.
    fn check_voter(&self, disk: DiskId, address: PeerAddress) -> Result<(), DuplicateDisk> {
        match self.current().address(disk) {
            Some(known_at) if known_at != address => Err(DuplicateDisk { disk, known_at }),
            _ => Ok(()),
        }
    }

    /// Handles the end of a connection.
    pub(super) fn disconnected(&mut self, from: PeerAddress) {
        self.policy.connection_reset(from);
    }

    /// The replicas that have all committed entries, and the spares that are catching up.
    pub(super) fn redundancy(&self, now: Millis) -> Redundancy {
        self.policy.redundancy(self.current(), now)
    }

    /// Whether this process may exit: other replicas, if there are any, are complete and vote in its place.
    pub(super) fn may_shut_down(&self, now: Millis) -> bool {
        self.policy.may_shut_down(self.current(), &self.me, now)
    }

    fn effects(&mut self, effects: Vec<Effect>) -> Vec<ViewEffect> {
        let effects = effects.into_iter();
        effects.flat_map(|effect| self.effect(effect)).collect()
    }

    fn effect(&mut self, effect: Effect) -> Vec<ViewEffect> {
        match effect {
            Effect::Persist { vote, then } => self.persist(vote, then),
            Effect::Send(to, message) => self.send(to, message).into_iter().collect(),
            Effect::Agreed(view) => vec![store(view)],
        }
    }

    fn persist(&mut self, vote: VoteState, then: VoteMessages) -> Vec<ViewEffect> {
        match self.votes.persist(vote, then) {
            VoteWrite::Write(vote, then) => {
                let batch = Batch {
                    vote: Some(encode(&vote)),
                    ..Batch::default()
                };
                vec![ViewEffect::Write(batch, WriteContinuation::SendVotes(then))]
            }
            VoteWrite::Send(messages) => self.send_all(messages),
            VoteWrite::InProgress => Vec::new(),
        }
    }

    fn send(&mut self, to: PeerAddress, message: AgreementMessage) -> Option<ViewEffect> {
        if to == self.me.address {
            self.to_self.push_back(message);
            return None;
        }
        Some(ViewEffect::Send(to, message))
    }
}

/// Stores an agreed view. It is adopted only once it is on the disk: a head that lost its view in a crash could assign
/// the same indexes to different entries in that view.
fn store(view: View) -> ViewEffect {
    let batch = Batch {
        view: Some(encode(&view)),
        ..Batch::default()
    };
    ViewEffect::Write(batch, WriteContinuation::ViewStored(view))
}

/// Encodes a value for the disk.
pub(super) fn encode<T: BorshSerialize>(value: &T) -> Vec<u8> {
    // Writing into memory does not fail.
    borsh::to_vec(value).unwrap_or_default()
}
