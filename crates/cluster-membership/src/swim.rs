//! The state machine of one member.
//!
//! In every protocol period a member pings one other member. If no acknowledgement arrives in time, it sends ping requests to
//! a few others, which ping the target on its behalf. If that fails too, it suspects the target. A suspect that does not
//! refute the suspicion in time is considered dead. Local health (Lifeguard) lengthens the timeouts of a member that is slow
//! itself: for direct acknowledgements within the period, and for its suspicions. Updates are piggybacked on all messages.
//!
//! The number of messages that a member sends in a period is bounded, independent of the number of members: one ping (sent
//! again until it is acknowledged), a few ping requests, one ping to a seed, an absent or an earlier member every few
//! periods, and one request for a page of the membership list every few periods while lists differ. In addition it answers
//! the messages of others, of which it receives as many as it sends on average.
//!
//! [`Swim`] passes datagrams to the parts that own the state: the membership list, the dissemination queue, the pending
//! pings, and the synchronization of lists.

mod failure_detection;
mod synchronization;

use crate::datagram::{capacity_for_updates, max_encoded_len, Datagram};
use crate::dissemination::DisseminationQueue;
use crate::earlier_members::EarlierMembers;
use crate::list_sync::ListSync;
use crate::live_table::{LiveMember, LiveTable};
use crate::member_state::MemberState;
use crate::member_update::MemberUpdate;
use crate::membership_list::{presence_digest, ListChange, MembershipList};
use crate::message::Message;
use crate::own_member::{OwnMember, Refutation};
use crate::period_clock::PeriodClock;
use crate::pings::Pings;
use crate::settings::SwimSettings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_failure_detection::{size_factor, transmission_limit, LocalHealth};
use std::cmp::Ordering;

/// An update is sent this factor times the decimal logarithm of the number of members, and at least
/// [`MIN_TRANSMISSIONS`] times.
const TRANSMISSIONS_FACTOR: f64 = 3.0;
/// See [`TRANSMISSIONS_FACTOR`].
const MIN_TRANSMISSIONS: f64 = 4.0;
/// How many other members a leaving member notifies.
const LEAVE_FANOUT: usize = 4;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: PeerAddress,
    /// The datagram.
    pub datagram: Datagram,
}

/// One member's state of the protocol.
///
/// It has no I/O and no clock: the driver passes it the datagrams that arrive and the time, sends what each call
/// returns, and calls [`Swim::tick`] at [`Swim::next_wakeup`].
#[derive(Clone, Debug)]
pub struct Swim {
    own: OwnMember,
    seeds: Vec<PeerAddress>,
    settings: SwimSettings,
    members: MembershipList,
    /// Addresses of members that were removed from the list.
    earlier_members: EarlierMembers,
    dissemination: DisseminationQueue,
    pings: Pings,
    sync: ListSync,
    health: LocalHealth,
    clock: PeriodClock,
    random: fastrand::Rng,
    /// Counts changes of the live table.
    version: u64,
    /// The datagrams that the current call returns.
    outgoing: Vec<Outgoing>,
}

impl Swim {
    /// A member that starts at `now` and knows only the addresses of its seeds.
    ///
    /// `own.process_incarnation` has to be drawn at random for each process; `random_seed` determines the member's random
    /// choices.
    pub fn new(
        own: LiveMember,
        seeds: Vec<PeerAddress>,
        settings: SwimSettings,
        random_seed: u64,
        now: Millis,
    ) -> Swim {
        let mut random = fastrand::Rng::with_seed(random_seed);
        // A random first period keeps members that start together from pinging at the same times.
        let first_period_at = now.plus(random.u64(0..settings.protocol_period_ms.max(1)));
        let own = OwnMember::new(own);
        Swim {
            seeds: without(seeds, own.address()),
            own,
            settings,
            members: MembershipList::default(),
            earlier_members: EarlierMembers::default(),
            dissemination: DisseminationQueue::default(),
            pings: Pings::default(),
            sync: ListSync::new(now),
            health: LocalHealth::default(),
            clock: PeriodClock::new(first_period_at, now),
            random,
            version: 1,
            outgoing: Vec::new(),
        }
    }

    /// Replaces the seeds. Known members stay in the list.
    pub fn set_seeds(&mut self, seeds: Vec<PeerAddress>) {
        self.seeds = without(seeds, self.own.address());
    }

    /// A number that rises whenever [`Swim::live_table`] changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The members that are considered present, suspects and this one included.
    pub fn live_table(&self) -> LiveTable {
        let present = self.members.present().chain([self.own.update()]);
        LiveTable::new(present.map(LiveMember::from).collect())
    }

    /// The latest update about every other member in the membership list, by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.iter()
    }

    /// This member's SWIM incarnation number.
    pub fn incarnation(&self) -> u32 {
        self.own.update().incarnation
    }

    /// Lifeguard's local health score; 0 is the best health.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// When the driver has to call [`Swim::tick`]. Earlier and additional calls are allowed.
    pub fn next_wakeup(&self) -> Millis {
        let pings = self.pings.next_step_at();
        let page = self.sync.next_request_at();
        pings
            .into_iter()
            .chain(page)
            .fold(self.clock.next_at(), Millis::min)
    }

    /// Runs the steps that are due at `now`.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        if self.own.has_left() {
            return Vec::new();
        }
        let elapsed_ms = self.clock.tick(now);
        if elapsed_ms > self.settings.suspended_after_ms {
            self.resume(elapsed_ms, now);
        }
        self.advance_relayed_pings(now);
        self.advance_ping(now);
        if now >= self.clock.next_at() {
            self.begin_period(now);
        }
        if self.sync.next_request_at().is_some_and(|at| now >= at) {
            self.request_page(now);
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Processes a datagram that arrived from this address. It ignores a datagram that claims another sender address, or
    /// whose sender describes itself as a suspect or dead.
    pub fn receive(&mut self, from: PeerAddress, datagram: Datagram, now: Millis) -> Vec<Outgoing> {
        let Datagram {
            sender,
            list_digest,
            message,
            updates,
        } = datagram;
        let is_genuine = sender.address == from && from != self.own.address();
        let may_send = matches!(sender.state, MemberState::Alive | MemberState::Left);
        if self.own.has_left() || !is_genuine || !may_send {
            return Vec::new();
        }
        self.apply(&sender, now);
        let version = self.version;
        for update in &updates {
            self.apply(update, now);
        }
        let updates_were_new = self.version != version;
        match message {
            Message::Ping { sequence_number } => {
                self.compare_lists(from, list_digest);
                self.reply(&sender, Message::Ack { sequence_number });
            }
            Message::PingRequest {
                sequence_number,
                target,
            } => self.relay_ping(from, sequence_number, target, now),
            Message::Ack { sequence_number } => {
                self.compare_lists(from, list_digest);
                self.ack_received(from, sequence_number);
            }
            Message::Nack { sequence_number } => self.pings.nack_received(from, sequence_number),
            Message::PageRequest { after } => self.send_page(&sender, after),
            Message::Page { last } => {
                self.sync
                    .page_arrived(last, updates_were_new, &self.settings, now);
            }
            Message::UpdatesOnly => {}
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Notifies some other members that this member leaves. All later calls do nothing.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        if self.own.has_left() {
            return Vec::new();
        }
        self.own.leave();
        let mut others: Vec<PeerAddress> = self
            .members
            .present()
            .map(|update| update.address)
            .collect();
        self.random.shuffle(&mut others);
        for to in others.into_iter().take(LEAVE_FANOUT) {
            self.send(to, Message::UpdatesOnly);
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Applies an update, and queues it for dissemination if it changed something.
    fn apply(&mut self, update: &MemberUpdate, now: Millis) {
        if update.address == self.own.address() {
            if self.own.refute(update) == Refutation::OfThisProcess {
                self.health.worsen();
            }
            return;
        }
        let max_confirmations = self.settings.suspicion_confirmations;
        match self.members.apply(update, max_confirmations, now) {
            ListChange::Unchanged => return,
            ListChange::Details => {}
            ListChange::Presence => self.version += 1,
        }
        let transmissions = transmission_limit(
            size_factor(self.members.present_count()),
            TRANSMISSIONS_FACTOR,
            MIN_TRANSMISSIONS,
        );
        self.dissemination.enqueue(update.address, transmissions);
    }

    fn compare_lists(&mut self, peer: PeerAddress, digest: u64) {
        let agrees = digest == self.list_digest();
        self.sync.compare(peer, agrees);
    }

    fn list_digest(&self) -> u64 {
        self.members.digest() ^ presence_digest(self.own.update())
    }

    fn send(&mut self, to: PeerAddress, message: Message) {
        self.send_with(to, message, Vec::new());
    }

    /// Replies to a member. The reply carries the update that overrides the sender's own one, if this member knows one.
    fn reply(&mut self, sender: &MemberUpdate, message: Message) {
        let correction = self.correction_for(sender);
        self.send_with(sender.address, message, correction);
    }

    /// The update that overrides the sender's update about itself, so that the sender can refute it.
    fn correction_for(&self, sender: &MemberUpdate) -> Vec<MemberUpdate> {
        self.members
            .get(sender.address)
            .filter(|known| known.compare_version(sender) == Ordering::Greater)
            .cloned()
            .into_iter()
            .collect()
    }

    /// Sends a message with these updates, followed by those that are due for dissemination.
    fn send_with(&mut self, to: PeerAddress, message: Message, mut updates: Vec<MemberUpdate>) {
        let free_bytes = self.free_bytes_beside(&updates);
        updates.extend(self.dissemination.take(&self.members, free_bytes));
        self.push(to, message, updates);
    }

    fn free_bytes_beside(&self, updates: &[MemberUpdate]) -> usize {
        let used: usize = updates.iter().map(max_encoded_len).sum();
        capacity_for_updates(self.own.update()).saturating_sub(used)
    }

    fn push(&mut self, to: PeerAddress, message: Message, updates: Vec<MemberUpdate>) {
        let datagram = Datagram {
            sender: self.own.update().clone(),
            list_digest: self.list_digest(),
            message,
            updates,
        };
        self.outgoing.push(Outgoing { to, datagram });
    }
}

/// The addresses except `excluded`.
fn without(addresses: Vec<PeerAddress>, excluded: PeerAddress) -> Vec<PeerAddress> {
    let others = addresses.into_iter().filter(|address| *address != excluded);
    others.collect()
}
