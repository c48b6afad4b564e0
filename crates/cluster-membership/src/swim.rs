//! The state machine of one member.
//!
//! In every period a member probes one other. Where no acknowledgement comes in time it asks a few helpers to probe in its
//! stead, and where that fails too it suspects the member. A suspicion that is not refuted for long enough is a death.
//! Local health makes a member that is slow itself wait longer: for direct answers within the period, and before its
//! suspicions end. News rides on probes and acknowledgements.
//!
//! Messages per period are bounded at every member whatever their number: one probe (repeated while it is not answered),
//! one request to each helper, one probe of a seed or dead member every few periods, one request for a page of the roster
//! every few periods while rosters differ; and answers to what others send, which is the same in the mean.

mod failure_detection;
mod synchronization;

use crate::datagram::{encoded_len, room_for_updates, Datagram, Message};
use crate::dissemination::Gossip;
use crate::live_table::{LiveMember, LiveTable};
use crate::member_update::{MemberState, MemberUpdate};
use crate::membership_list::{presence_digest, Applied, Roster};
use crate::ping_order::{Probe, ProbeOrder, Relay};
use crate::settings::SwimSettings;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_failure_detection::{retransmissions, size_factor, LocalHealth};
use std::cmp::Ordering;
use std::mem;

/// News is told this many times the common logarithm of the number of members, and so often at least.
const TRANSMISSIONS_FACTOR: f64 = 3.0;
const TRANSMISSIONS_LEAST: f64 = 4.0;
/// The most probes for others that are remembered at once; the oldest gives way.
const RELAYS_MOST: usize = 64;
/// However bad the local health is, helpers are asked before this part of the period is over, in hundredths.
const DIRECT_PERCENT_MOST: u64 = 60;
/// Every so many periods the probe goes to a suspect, if there is one, so that it hears of it and refutes it.
const SUSPECT_EVERY: u64 = 2;
/// A member that leaves tells this many others.
const FAREWELLS: usize = 4;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// To whom.
    pub to: PeerAddress,
    /// What.
    pub datagram: Datagram,
}

/// A walk through the rosters of others, page by page: the whole once after the start, and single pages later while
/// rosters differ.
#[derive(Clone, Debug)]
struct Paging {
    cursor: Option<PeerAddress>,
    /// Until a walk has reached the end for the first time.
    joining: bool,
    /// Whether the last page told of members that were not known.
    fruitful: bool,
    due: Millis,
}

/// One member's protocol state.
#[derive(Clone, Debug)]
pub struct Swim {
    own: MemberUpdate,
    seeds: Vec<PeerAddress>,
    settings: SwimSettings,
    roster: Roster,
    gossip: Gossip,
    order: ProbeOrder,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    paging: Paging,
    /// Somebody whose roster is another one.
    differs: Option<PeerAddress>,
    health: LocalHealth,
    random: fastrand::Rng,
    last_nonce: u32,
    periods: u64,
    next_period: Millis,
    last_tick: Millis,
    version: u64,
    outgoing: Vec<Outgoing>,
}

impl Swim {
    /// A member that begins now and knows nobody but its seeds, by their addresses.
    ///
    /// `life` has to be drawn at random for each process, and `seed` for its choices.
    pub fn new(
        own: LiveMember,
        seeds: Vec<PeerAddress>,
        settings: SwimSettings,
        seed: u64,
        now: Millis,
    ) -> Swim {
        let mut random = fastrand::Rng::with_seed(seed);
        // Members that start together do not probe in step.
        let next_period = now.plus(random.u64(0..settings.period_ms.max(1)));
        let LiveMember {
            address,
            role,
            zone,
            process_incarnation,
        } = own;
        let own = MemberUpdate {
            address,
            role,
            zone,
            process_incarnation,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let seeds = seeds.into_iter().filter(|seed| *seed != address).collect();
        Swim {
            own,
            seeds,
            settings,
            roster: Roster::default(),
            gossip: Gossip::default(),
            order: ProbeOrder::default(),
            probe: None,
            relays: Vec::new(),
            paging: Paging {
                cursor: None,
                joining: true,
                fruitful: false,
                due: now,
            },
            differs: None,
            health: LocalHealth::default(),
            random,
            last_nonce: 0,
            periods: 0,
            next_period,
            last_tick: now,
            version: 1,
            outgoing: Vec::new(),
        }
    }

    /// Rises whenever [`Swim::live_table`] changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The members that are held for there, suspects and this one included.
    pub fn live_table(&self) -> LiveTable {
        let present = self.roster.present().chain([&self.own]);
        LiveTable::new(present.map(live_member).collect())
    }

    /// Word of every other member that is not forgotten, by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.roster.iter()
    }

    /// The own incarnation.
    pub fn incarnation(&self) -> u32 {
        self.own.incarnation
    }

    /// The local health score; 0 is well.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// When [`Swim::tick`] has something to do. It may be called earlier and more often.
    pub fn next_wakeup(&self) -> Millis {
        let probe = self.probe.as_ref().map(Probe::due);
        let relays = self.relays.iter().map(Relay::due);
        let page = self.wants_page().then_some(self.paging.due);
        relays
            .chain(probe)
            .chain(page)
            .fold(self.next_period, Millis::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        if self.has_left() {
            return Vec::new();
        }
        let frozen_ms = now.since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if frozen_ms > self.settings.frozen_ms {
            self.resume(frozen_ms, now);
        }
        self.continue_relays(now);
        self.continue_probe(now);
        if now >= self.next_period {
            self.begin_period(now);
        }
        if self.wants_page() && now >= self.paging.due {
            self.request_page(now);
        }
        mem::take(&mut self.outgoing)
    }

    /// Takes a datagram that came from this address.
    pub fn receive(&mut self, from: PeerAddress, datagram: Datagram, now: Millis) -> Vec<Outgoing> {
        let genuine = datagram.sender.address == from && from != self.own.address;
        let speaks = matches!(
            datagram.sender.state,
            MemberState::Alive | MemberState::Left
        );
        if self.has_left() || !genuine || !speaks {
            return Vec::new();
        }
        self.learn(&datagram.sender, now);
        let version = self.version;
        for update in &datagram.updates {
            self.learn(update, now);
        }
        let fruitful = self.version != version;
        match datagram.message {
            Message::Probe { nonce } => {
                self.compare_rosters(from, datagram.roster_digest);
                self.reply(&datagram.sender, Message::Acknowledge { nonce });
            }
            Message::ProbeRequest { nonce, target } => self.relay(from, nonce, target, now),
            Message::Acknowledge { nonce } => {
                self.compare_rosters(from, datagram.roster_digest);
                self.acknowledged(from, nonce);
            }
            Message::NotReached { nonce } => self.not_reached(from, nonce),
            Message::PageRequest { after } => self.send_page(&datagram.sender, after),
            Message::Page { last } => self.take_page(last, fruitful, now),
            Message::News => {}
        }
        mem::take(&mut self.outgoing)
    }

    /// Says to some others that this member leaves. It does nothing more afterwards.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        if self.has_left() {
            return Vec::new();
        }
        self.own.state = MemberState::Left;
        let mut others: Vec<PeerAddress> =
            self.roster.present().map(|update| update.address).collect();
        self.random.shuffle(&mut others);
        for to in others.into_iter().take(FAREWELLS) {
            self.send(to, Message::News);
        }
        mem::take(&mut self.outgoing)
    }

    fn has_left(&self) -> bool {
        self.own.state == MemberState::Left
    }

    fn learn(&mut self, update: &MemberUpdate, now: Millis) {
        if update.address == self.own.address {
            self.refute(update);
            return;
        }
        let applied = self.roster.apply(update, self.settings.confirmations, now);
        if applied == Applied::Nothing {
            return;
        }
        if applied == Applied::Presence {
            self.version += 1;
        }
        let size = size_factor(self.roster.present_count());
        let transmissions = retransmissions(size, TRANSMISSIONS_FACTOR, TRANSMISSIONS_LEAST);
        self.gossip.put(update.address, transmissions);
    }

    /// Word of this member itself: where it is wrong and would be believed, a higher incarnation puts it right.
    fn refute(&mut self, update: &MemberUpdate) {
        let same_process = update.process_incarnation == self.own.process_incarnation;
        if same_process && update.state == MemberState::Alive {
            self.own.incarnation = self.own.incarnation.max(update.incarnation);
            return;
        }
        if update.incarnation < self.own.incarnation {
            return;
        }
        self.own.incarnation = update.incarnation.saturating_add(1);
        if same_process {
            self.health.worsen();
        }
    }

    fn compare_rosters(&mut self, other: PeerAddress, digest: u64) {
        if digest != self.roster_digest() {
            self.differs = Some(other);
        } else if self.differs == Some(other) {
            self.differs = None;
        }
    }

    fn roster_digest(&self) -> u64 {
        self.roster.digest() ^ presence_digest(&self.own)
    }

    fn send(&mut self, to: PeerAddress, message: Message) {
        self.send_with(to, message, Vec::new());
    }

    /// Answers a member; where it is held for something else than it says, it is told so.
    fn reply(&mut self, sender: &MemberUpdate, message: Message) {
        let first = self.contradiction(sender);
        self.send_with(sender.address, message, first);
    }

    /// What a member should hear of itself, if it is held for something newer than it says.
    fn contradiction(&self, sender: &MemberUpdate) -> Vec<MemberUpdate> {
        let held = self.roster.get(sender.address);
        let newer = held.filter(|held| held.compare_age(sender) == Ordering::Greater);
        newer.cloned().into_iter().collect()
    }

    fn send_with(&mut self, to: PeerAddress, message: Message, first: Vec<MemberUpdate>) {
        let used: usize = first.iter().map(encoded_len).sum();
        let room = room_for_updates(&self.own).saturating_sub(used);
        let mut updates = first;
        updates.extend(self.gossip.take(&self.roster, room));
        self.push(to, message, updates);
    }

    fn push(&mut self, to: PeerAddress, message: Message, updates: Vec<MemberUpdate>) {
        let sender = self.own.clone();
        let datagram = Datagram {
            sender,
            roster_digest: self.roster_digest(),
            message,
            updates,
        };
        self.outgoing.push(Outgoing { to, datagram });
    }
}

fn live_member(update: &MemberUpdate) -> LiveMember {
    let MemberUpdate {
        address,
        role,
        zone,
        process_incarnation,
        ..
    } = update.clone();
    LiveMember {
        address,
        role,
        zone,
        process_incarnation,
    }
}
