//! Failure detection: SWIM with the local health multiplier of Lifeguard, suspicions that shorten as other fronts confirm them,
//! and refutation by incarnation.
//!
//! The roster is fixed. A front that was never heard of is *unknown*, which is not dead: nothing is concluded from it.
//!
//! A *process incarnation* numbers the runs of a front's process. Within one, the *incarnation* of SWIM is what a front raises
//! to refute a wrong report about itself.

use crate::front_set::FrontSet;
use lupinrack_failure_detection as arithmetic;
use lupinrack_failure_detection::LocalHealth;
use lupinrack_policy::Micros;
use std::collections::VecDeque;

/// Fronts that are sent a ping request for one target.
const PING_REQ_FANOUT: usize = 3;
/// Independent confirmations after which a suspicion lasts its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Without confirmations a suspicion lasts this many times its minimum.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Direct pings of a suspect before it is declared dead. With 30 % of datagrams lost, 98 of 100 live suspects acknowledge one of
/// them. Once the suspicion has run out they follow each other at half the ping timeout.
const PINGS_BEFORE_DEATH: u32 = 6;
/// Pings relayed for others that may be pending.
const MAX_RELAYED_PINGS: usize = 64;
/// A front that is not present is pinged every so many periods.
const ABSENT_PING_PERIODS: u32 = 2;
/// An update is sent this many times the common logarithm of the roster's size.
const TRANSMISSIONS_FACTOR: f64 = 3.0;
/// An update is sent at least this many times.
const MIN_TRANSMISSIONS: f64 = 5.0;
/// The factor for updates that only report a front as alive, which nothing has to refute.
const PRESENCE_TRANSMISSIONS_FACTOR: f64 = 2.0;

/// The state of a front as another one sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Never heard of.
    #[default]
    Unknown,
    /// Present.
    Alive,
    /// Does not answer; it may refute the suspicion.
    Suspect,
    /// Its suspicion ran out without a refutation.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the front counts as present: a suspect does until it is dead.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// The name of the state in metrics, reports and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Unknown => "unknown",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// A report about one front, disseminated by all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Update {
    /// The front that it is about.
    pub front: u16,
    /// The reported state; never unknown.
    pub state: MemberState,
    /// The process incarnation that it is about.
    pub process_incarnation: u64,
    /// The incarnation within that process incarnation; the front raises it to refute.
    pub incarnation: u16,
    /// The front that reports it first-hand.
    pub reported_by: u16,
}

/// What is known of one front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its state.
    pub state: MemberState,
    /// Its process incarnation.
    pub process_incarnation: u64,
    /// Its incarnation.
    pub incarnation: u16,
    /// Since when it is in this state.
    pub since: Micros,
    /// The front that reported this state first-hand.
    pub reported_by: u16,
    /// The fronts that suspect it first-hand.
    suspected_by: Vec<u16>,
    /// How many more times its state is sent.
    transmissions_left: u32,
    /// While it is suspected: when this front pings it next.
    next_ping_at: Micros,
    /// How many pings it was sent since it is suspected.
    pings: u32,
}

/// The times of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProbeTiming {
    /// One front is probed in each protocol period.
    pub period: Micros,
    /// How long a direct acknowledgement may take before other fronts are sent ping requests.
    pub ping_timeout: Micros,
    /// The shortest suspicion in a roster of ten; it grows with the common logarithm of a larger roster.
    pub min_suspicion: Micros,
}

/// A message to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outgoing {
    /// A ping: its receiver and nonce.
    Ping(u16, u32),
    /// A ping request: its receiver, the target, and the nonce that comes back with the result.
    PingReq(u16, u16, u32),
    /// The result of a ping request: its receiver, the nonce, and whether the target acknowledged.
    PingReqResult(u16, u32, bool),
}

/// A change of state or process incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The front whose state changed.
    pub front: u16,
    /// The state before.
    pub from: MemberState,
    /// The state now.
    pub to: MemberState,
    /// The front that reported it first-hand.
    pub reported_by: u16,
    /// Whether the process incarnation changed.
    pub restarted: bool,
}

/// The probe of the current protocol period.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Probe {
    target: u16,
    nonce: u32,
    process_incarnation: u64,
    /// The fronts that were sent ping requests.
    helpers: Vec<u16>,
    /// When ping requests go out if the target has not acknowledged.
    direct_deadline: Micros,
    /// When the ping is repeated, since a datagram may be lost.
    resend_at: Micros,
    deadline: Micros,
    /// Negative results of ping requests.
    nacks: usize,
}

/// A ping that another front requested.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RelayedPing {
    target: u16,
    requester: u16,
    requester_nonce: u32,
    nonce: u32,
    resend_at: Micros,
    deadline: Micros,
}

/// The failure detector of one front.
#[derive(Clone, Debug)]
pub struct Swim {
    me: u16,
    timing: ProbeTiming,
    members: Vec<Member>,
    /// Alive and suspected fronts. This set and the next two repeat what `members` holds.
    present: FrontSet,
    suspected: FrontSet,
    /// Fronts about which an update has transmissions left.
    pending_updates: FrontSet,
    /// The rest of the current round of probes, shuffled.
    probe_order: Vec<u16>,
    probe: Option<Probe>,
    relayed_pings: VecDeque<RelayedPing>,
    next_period_at: Micros,
    periods: u32,
    health: LocalHealth,
    last_nonce: u32,
    rng: fastrand::Rng,
}

impl Swim {
    /// The detector of a front that starts at `now` and knows of no other.
    pub fn new(
        me: u16,
        process_incarnation: u64,
        configured: usize,
        timing: ProbeTiming,
        seed: u64,
        now: Micros,
    ) -> Swim {
        let mut members = vec![Member::default(); configured];
        if let Some(own) = members.get_mut(usize::from(me)) {
            *own = Member {
                state: MemberState::Alive,
                process_incarnation,
                since: now,
                reported_by: me,
                transmissions_left: 1,
                ..Member::default()
            };
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        // Fronts that start together must not probe in step.
        let next_period_at = now + rng.i64(0..timing.period.max(1));
        let probe_order = Vec::new();
        Swim {
            me,
            timing,
            members,
            present: [me].into_iter().collect(),
            suspected: FrontSet::default(),
            pending_updates: [me].into_iter().collect(),
            probe_order,
            probe: None,
            relayed_pings: VecDeque::new(),
            next_period_at,
            periods: 0,
            health: LocalHealth::default(),
            last_nonce: 0,
            rng,
        }
    }

    /// What is known of each front, by its index.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The local health score of Lifeguard: 0 is healthy; a higher score makes this front wait longer for others.
    pub fn health(&self) -> u32 {
        self.health.score()
    }

    /// The fronts that are present, suspects included.
    pub fn present(&self) -> FrontSet {
        self.present
    }

    /// The number of fronts about which an update is still to be sent.
    pub fn pending_update_count(&self) -> usize {
        self.pending_updates.len()
    }

    /// At most `max_count` other fronts that are present, chosen at random.
    pub fn random_present(&mut self, max_count: usize) -> Vec<u16> {
        let mut others = self.present;
        others.remove(self.me);
        let mut left = others.len();
        let mut chosen = Vec::with_capacity(max_count.min(left));
        while left > 0 && chosen.len() < max_count {
            let Some(front) = others.nth(self.rng.usize(0..left)) else {
                break;
            };
            others.remove(front);
            chosen.push(front);
            left -= 1;
        }
        chosen
    }

    /// A time multiplied by the local health multiplier.
    fn scaled_by_health(&self, span: Micros) -> Micros {
        span * Micros::from(self.health.multiplier())
    }

    /// The factor by which dissemination takes longer in a large roster: the common logarithm of its size, at least 1.
    pub fn size_factor(&self) -> f64 {
        arithmetic::size_factor(self.members.len())
    }

    /// How many times an update is sent.
    fn transmission_limit(&self, update: &Update) -> u32 {
        let only_presence = update.state == MemberState::Alive && update.incarnation == 0;
        match only_presence {
            true => arithmetic::transmission_limit(
                self.size_factor(),
                PRESENCE_TRANSMISSIONS_FACTOR,
                0.0,
            ),
            false => arithmetic::transmission_limit(
                self.size_factor(),
                TRANSMISSIONS_FACTOR,
                MIN_TRANSMISSIONS,
            ),
        }
    }

    /// Replaces what is known of a front and has it disseminated.
    fn apply(&mut self, now: Micros, update: Update, changes: &mut Vec<Change>) {
        let transmissions = self.transmission_limit(&update);
        let Some(member) = self.members.get_mut(usize::from(update.front)) else {
            return;
        };
        let from = member.state;
        let restarted = member.process_incarnation != 0
            && update.process_incarnation != member.process_incarnation;
        if from != update.state || restarted {
            member.since = now;
        }
        member.suspected_by = if update.state == MemberState::Suspect {
            vec![update.reported_by]
        } else {
            Vec::new()
        };
        (member.next_ping_at, member.pings) = (now, 0);
        (
            member.state,
            member.process_incarnation,
            member.incarnation,
            member.reported_by,
            member.transmissions_left,
        ) = (
            update.state,
            update.process_incarnation,
            update.incarnation,
            update.reported_by,
            transmissions,
        );
        self.pending_updates.insert(update.front);
        for (set, contains) in [
            (
                &mut self.present,
                matches!(update.state, MemberState::Alive | MemberState::Suspect),
            ),
            (&mut self.suspected, update.state == MemberState::Suspect),
        ] {
            if contains {
                set.insert(update.front)
            } else {
                set.remove(update.front)
            }
        }
        if from != update.state || restarted {
            changes.push(Change {
                front: update.front,
                from,
                to: update.state,
                reported_by: update.reported_by,
                restarted,
            });
        }
    }

    /// Receives an update. A wrong one about this front is refuted; one about another front is applied if it is newer, and
    /// counts as a confirmation if it reports the same suspicion.
    pub fn on_update(&mut self, now: Micros, update: Update, changes: &mut Vec<Change>) {
        let Some(member) = self.members.get(usize::from(update.front)) else {
            return;
        };
        if update.front == self.me {
            let wrong = update.process_incarnation == member.process_incarnation
                && update.state != MemberState::Alive
                && update.incarnation >= member.incarnation;
            if wrong && member.state == MemberState::Alive {
                self.health.worsen();
                let incarnation = update.incarnation.saturating_add(1);
                self.apply(
                    now,
                    Update {
                        incarnation,
                        state: MemberState::Alive,
                        reported_by: self.me,
                        ..update
                    },
                    changes,
                );
            }
            return;
        }
        let newer = match (
            update.process_incarnation.cmp(&member.process_incarnation),
            update.state,
        ) {
            (std::cmp::Ordering::Less, _) => false,
            (std::cmp::Ordering::Greater, _) => true,
            (_, MemberState::Alive) => {
                update.incarnation > member.incarnation || member.state == MemberState::Unknown
            }
            (_, MemberState::Suspect) => match member.state {
                MemberState::Alive | MemberState::Unknown => {
                    update.incarnation >= member.incarnation
                }
                // A front that is suspected in a later incarnation was alive in it.
                _ => update.incarnation > member.incarnation,
            },
            (_, MemberState::Dead | MemberState::Left) => {
                update.incarnation >= member.incarnation
                    && !matches!(member.state, MemberState::Dead | MemberState::Left)
                    || update.incarnation > member.incarnation
            }
            (_, MemberState::Unknown) => false,
        };
        if newer {
            return self.apply(now, update, changes);
        }
        let same_suspicion = update.process_incarnation == member.process_incarnation
            && update.incarnation == member.incarnation
            && member.state == MemberState::Suspect;
        if same_suspicion && update.state == MemberState::Suspect {
            let transmissions = self.transmission_limit(&update);
            let member = &mut self.members[usize::from(update.front)];
            if member.suspected_by.len() < MAX_CONFIRMATIONS + 1
                && !member.suspected_by.contains(&update.reported_by)
            {
                member.suspected_by.push(update.reported_by);
                member.transmissions_left = transmissions;
                self.pending_updates.insert(update.front);
            }
        }
    }

    /// A datagram of `front` arrived, which proves that it is alive in this process incarnation and incarnation.
    pub fn on_first_hand(
        &mut self,
        now: Micros,
        front: u16,
        process_incarnation: u64,
        incarnation: u16,
        changes: &mut Vec<Change>,
    ) {
        let Some(member) = self
            .members
            .get(usize::from(front))
            .filter(|_| front != self.me)
        else {
            return;
        };
        if process_incarnation > member.process_incarnation
            || (process_incarnation == member.process_incarnation
                && (incarnation > member.incarnation || member.state == MemberState::Unknown))
        {
            self.apply(
                now,
                Update {
                    front,
                    state: MemberState::Alive,
                    process_incarnation,
                    incarnation,
                    reported_by: self.me,
                },
                changes,
            );
        }
    }

    /// The updates to piggyback on a datagram to `to`: first what it may have to refute about itself, then the updates with the
    /// most transmissions left.
    pub fn updates_for(&mut self, to: u16, max_count: usize) -> Vec<Update> {
        let update_about = |front: u16, m: &Member| Update {
            front,
            state: m.state,
            process_incarnation: m.process_incarnation,
            incarnation: m.incarnation,
            reported_by: m.reported_by,
        };
        let mut updates = Vec::new();
        let receiver = self
            .members
            .get(usize::from(to))
            .filter(|m| !matches!(m.state, MemberState::Alive | MemberState::Unknown));
        updates.extend(receiver.map(|m| update_about(to, m)));
        // Suspicions, deaths and refutations go before updates that only report presence.
        let only_presence = |m: &Member| m.state == MemberState::Alive && m.incarnation == 0;
        let mut pending: Vec<(bool, u32, u16)> = self
            .pending_updates
            .iter()
            .map(|i| (i, &self.members[usize::from(i)]))
            .filter(|(i, _)| *i != to)
            .map(|(i, m)| (!only_presence(m), m.transmissions_left, i))
            .collect();
        let capacity = max_count.saturating_sub(updates.len());
        if pending.len() > capacity && capacity > 0 {
            pending.select_nth_unstable_by(capacity - 1, |a, b| b.cmp(a));
            pending.truncate(capacity);
        }
        pending.sort_unstable_by(|a, b| b.cmp(a));
        for (.., front) in pending.into_iter().take(capacity) {
            let member = &mut self.members[usize::from(front)];
            member.transmissions_left = member.transmissions_left.saturating_sub(1);
            if member.transmissions_left == 0 {
                self.pending_updates.remove(front);
            }
            let mut update = update_about(front, member);
            if member.state == MemberState::Suspect && member.suspected_by.contains(&self.me) {
                update.reported_by = self.me;
            }
            updates.push(update);
        }
        updates.truncate(max_count);
        updates
    }

    /// The incarnation of this front.
    pub fn incarnation(&self) -> u16 {
        self.members
            .get(usize::from(self.me))
            .map_or(0, |m| m.incarnation)
    }

    /// Announces that this front leaves.
    pub fn leave(&mut self, now: Micros) {
        let Some(own) = self.members.get(usize::from(self.me)) else {
            return;
        };
        let update = Update {
            front: self.me,
            state: MemberState::Left,
            process_incarnation: own.process_incarnation,
            incarnation: own.incarnation,
            reported_by: self.me,
        };
        self.apply(now, update, &mut Vec::new());
    }

    fn next_nonce(&mut self) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    /// A ping was acknowledged: the one of the current probe, or a relayed one, whose result goes to its requester.
    pub fn on_ack(&mut self, from: u16, nonce: u32, out: &mut Vec<Outgoing>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|p| p.target == from && p.nonce == nonce)
        {
            self.probe = None;
            self.health.improve();
        }
        if let Some(at) = self.relayed_pings.iter().position(|p| p.nonce == nonce) {
            if let Some(relayed) = self.relayed_pings.remove(at) {
                out.push(Outgoing::PingReqResult(
                    relayed.requester,
                    relayed.requester_nonce,
                    true,
                ));
            }
        }
    }

    /// A hello arrived. It counts as the acknowledgement of all pings of its sender, since a ping of a front whose process
    /// incarnation was unknown went out as a hello.
    pub fn on_hello(&mut self, from: u16, out: &mut Vec<Outgoing>) {
        if let Some(nonce) = self
            .probe
            .as_ref()
            .filter(|p| p.target == from)
            .map(|p| p.nonce)
        {
            self.on_ack(from, nonce, out);
        }
        let relayed: Vec<u32> = self
            .relayed_pings
            .iter()
            .filter(|p| p.target == from)
            .map(|p| p.nonce)
            .collect();
        relayed
            .into_iter()
            .for_each(|nonce| self.on_ack(from, nonce, out));
    }

    /// A ping request arrived: pings `target` for the requester.
    pub fn on_ping_req(
        &mut self,
        now: Micros,
        requester: u16,
        requester_nonce: u32,
        target: u16,
        out: &mut Vec<Outgoing>,
    ) {
        if target == self.me || usize::from(target) >= self.members.len() {
            return;
        }
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            self.relayed_pings.pop_front();
        }
        let nonce = self.next_nonce();
        let (resend_at, deadline) = (
            now + self.timing.ping_timeout / 2,
            now + self.timing.ping_timeout,
        );
        self.relayed_pings.push_back(RelayedPing {
            target,
            requester,
            requester_nonce,
            nonce,
            resend_at,
            deadline,
        });
        out.push(Outgoing::Ping(target, nonce));
    }

    /// The result of a ping request arrived.
    pub fn on_ping_req_result(&mut self, nonce: u32, reached: bool) {
        let Some(probe) = self.probe.as_mut().filter(|p| p.nonce == nonce) else {
            return;
        };
        if reached {
            self.probe = None;
            self.health.improve();
        } else {
            probe.nacks += 1;
        }
    }

    /// This process did not run for `gap`: timeouts that passed meanwhile prove nothing about other fronts.
    pub fn on_pause(&mut self, now: Micros, gap: Micros) {
        self.probe = None;
        self.relayed_pings.clear();
        self.health.worsen();
        self.members
            .iter_mut()
            .filter(|m| m.state == MemberState::Suspect)
            .for_each(|m| m.since += gap);
        self.next_period_at = now + self.timing.period;
    }

    /// How long the suspicion of this member lasts; shorter the more fronts confirm it.
    fn suspicion_timeout(&self, member: &Member) -> Micros {
        let needed = arithmetic::confirmations_needed(MAX_CONFIRMATIONS, self.members.len());
        let confirmations = member.suspected_by.len().saturating_sub(1);
        // A refutation has to reach this front first, which takes longer in a large fleet.
        let min = self.scaled_by_health(self.timing.min_suspicion) as f64 * self.size_factor();
        arithmetic::suspicion_timeout(min, MAX_SUSPICION_FACTOR, confirmations, needed) as Micros
    }

    /// Does what is due at `now`: results of relayed pings, ping requests, repeated pings, the end of the probe, pings of
    /// suspects and their deaths, and the next protocol period.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Outgoing>, changes: &mut Vec<Change>) {
        while let Some(relayed) = self
            .relayed_pings
            .front()
            .filter(|p| p.deadline <= now)
            .cloned()
        {
            self.relayed_pings.pop_front();
            out.push(Outgoing::PingReqResult(
                relayed.requester,
                relayed.requester_nonce,
                false,
            ));
        }
        let needs_helpers = self
            .probe
            .as_ref()
            .is_some_and(|p| p.helpers.is_empty() && p.direct_deadline <= now);
        if needs_helpers {
            if let Some(mut probe) = self.probe.take() {
                probe.helpers = self
                    .random_present(PING_REQ_FANOUT + 1)
                    .into_iter()
                    .filter(|i| *i != probe.target)
                    .take(PING_REQ_FANOUT)
                    .collect();
                out.extend(
                    probe
                        .helpers
                        .iter()
                        .map(|helper| Outgoing::PingReq(*helper, probe.target, probe.nonce)),
                );
                self.probe = Some(probe);
            }
        }
        let ping_timeout = self.timing.ping_timeout;
        if let Some(probe) = self.probe.as_mut().filter(|p| p.resend_at <= now) {
            probe.resend_at = now + ping_timeout / 2;
            out.push(Outgoing::Ping(probe.target, probe.nonce));
        }
        for relayed in self.relayed_pings.iter_mut().filter(|p| p.resend_at <= now) {
            relayed.resend_at = now + ping_timeout / 2;
            out.push(Outgoing::Ping(relayed.target, relayed.nonce));
        }
        if let Some(probe) = self.probe.take_if(|p| p.deadline <= now) {
            // Lifeguard: helpers that do not even send a negative result point to a fault of this front.
            let missing_nacks = probe.helpers.len() - probe.nacks.min(probe.helpers.len());
            if probe.helpers.is_empty() || missing_nacks > 0 {
                self.health.worsen();
            }
            self.suspect(now, &probe, changes);
        }
        let suspected: Vec<u16> = self.suspected.iter().collect();
        for front in suspected {
            let member = &self.members[usize::from(front)];
            let expired = now - member.since >= self.suspicion_timeout(member);
            if member.next_ping_at > now || !(expired || member.suspected_by.contains(&self.me)) {
                continue;
            }
            if expired && member.pings >= PINGS_BEFORE_DEATH {
                let update = Update {
                    front,
                    state: MemberState::Dead,
                    process_incarnation: member.process_incarnation,
                    incarnation: member.incarnation,
                    reported_by: self.me,
                };
                self.apply(now, update, changes);
                continue;
            }
            // A ping tells the suspect of the suspicion, so that its acknowledgement refutes it. No front is declared dead
            // before this front has pinged it itself.
            let nonce = self.next_nonce();
            let member = &mut self.members[usize::from(front)];
            let interval = if expired {
                self.timing.ping_timeout / 2
            } else {
                self.timing.ping_timeout
            };
            (member.next_ping_at, member.pings) = (now + interval, member.pings + 1);
            out.push(Outgoing::Ping(front, nonce));
        }
        if now >= self.next_period_at && self.probe.is_none() {
            self.next_period_at = (self.next_period_at + self.scaled_by_health(self.timing.period))
                .max(now + self.timing.period / 2);
            self.periods = self.periods.wrapping_add(1);
            self.start_probe(now, out);
        }
    }

    /// Suspects the target of a failed probe, unless it has restarted meanwhile.
    fn suspect(&mut self, now: Micros, probe: &Probe, changes: &mut Vec<Change>) {
        let Some(member) = self
            .members
            .get(usize::from(probe.target))
            .filter(|m| m.process_incarnation == probe.process_incarnation)
        else {
            return;
        };
        let update = Update {
            front: probe.target,
            state: MemberState::Suspect,
            process_incarnation: member.process_incarnation,
            incarnation: member.incarnation,
            reported_by: self.me,
        };
        match member.state {
            MemberState::Alive => self.apply(now, update, changes),
            MemberState::Suspect => self.on_update(now, update, changes),
            _ => {}
        }
    }

    /// Begins a protocol period: probes the next present front and, every few periods, pings one that is not present, so that
    /// the sides of a healed partition find each other.
    fn start_probe(&mut self, now: Micros, out: &mut Vec<Outgoing>) {
        if self.periods.is_multiple_of(ABSENT_PING_PERIODS) {
            let present = self.present();
            let absent: Vec<u16> = (0..self.members.len() as u16)
                .filter(|i| !present.contains(*i))
                .collect();
            if let Some(front) = self.rng.choice(&absent).copied() {
                let nonce = self.next_nonce();
                out.push(Outgoing::Ping(front, nonce));
            }
        }
        let target = loop {
            match self.probe_order.pop() {
                Some(i) if i != self.me && self.present().contains(i) => break i,
                Some(_) => {}
                None => {
                    self.probe_order = self.present().iter().filter(|i| *i != self.me).collect();
                    self.rng.shuffle(&mut self.probe_order);
                    if self.probe_order.is_empty() {
                        return;
                    }
                }
            }
        };
        let nonce = self.next_nonce();
        let (ping_timeout, period) = (
            self.scaled_by_health(self.timing.ping_timeout),
            self.scaled_by_health(self.timing.period),
        );
        self.probe = Some(Probe {
            target,
            nonce,
            process_incarnation: self.members[usize::from(target)].process_incarnation,
            helpers: Vec::new(),
            direct_deadline: now + ping_timeout,
            resend_at: now + self.timing.ping_timeout / 2,
            deadline: now + period,
            nacks: 0,
        });
        out.push(Outgoing::Ping(target, nonce));
    }
}
