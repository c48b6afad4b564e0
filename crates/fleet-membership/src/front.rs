//! One front of the fleet: datagrams and the time come in; datagrams, quota shares and events come out.
//!
//! [`Front`] ties the failure detector ([`Swim`]), the agreement on views ([`Agreement`]), the lease on the current view
//! ([`Lease`]) and the evidence on served volumes ([`ServedVolumes`]) together. All of them share one kind of datagram: pings,
//! acknowledgements and pushes piggyback what the sender knows of views and members.

use crate::agreement::{Agreement, Effect, ProposalNumber, Timing, View, ViewNumber};
use crate::config::Section;
use crate::front_set::FrontSet;
use crate::lease::{Lease, LeaseGrant};
use crate::participation::{decide, Allowance, Observations, Participation};
use crate::served_volumes::ServedVolumes;
use crate::share::{share_factor, Share};
use crate::swim::{Change, Member, MemberState, Outgoing, ProbeTiming, Swim};
use crate::wire::{self, Body, Datagram, FrameError, Keys, ReplayWindow, MAX_VOLUMES};
use lupinrack_peer_transport::budget::Budget;
use lupinrack_peer_transport::frame::{self, Header, Tag};
use lupinrack_policy::{Micros, QuotaShares, VolumeId};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

/// Pings whose send time is kept until their acknowledgement arrives.
const MAX_PENDING_PINGS: usize = 64;
/// How many fronts receive an urgent change directly. A fleet of at most this many fronts needs no further gossip.
const DIRECT_FANOUT: usize = 16;
/// A view is issued once nobody joined or left for this long. The wait is multiplied by the common logarithm of the fleet's
/// size, which is 1 for a fleet of ten, and by no less than 1.
const VIEW_STABILITY_WAIT: Micros = 250_000;
/// A view is issued this long after the members began to differ from the last one, even if they keep changing. Scaled like
/// [`VIEW_STABILITY_WAIT`].
const MAX_VIEW_DELAY: Micros = 1_000_000;
/// How long a name counts as contested after another process was last seen to use it.
const NAME_CONTESTED_FOR: Micros = 10_000_000;
/// The least time between two hellos to one front.
const HELLO_INTERVAL: Micros = 500_000;
/// Above this many fronts volumes are not redistributed, because every front must acknowledge what every other one serves.
const MAX_FRONTS_SHARING_VOLUMES: usize = 64;
/// Unacknowledged served volumes are sent to the same front again after this long.
const SERVED_VOLUMES_RETRY: Micros = 200_000;
/// How often outdated evidence on served volumes is removed.
const EVIDENCE_EXPIRY_INTERVAL: Micros = 1_000_000;
/// The least time between two answers to unknown senders.
const UNKNOWN_SENDER_INTERVAL: Micros = 250_000;
/// A front proposes itself as leader only if one of its pings was acknowledged within this many protocol periods.
const MAX_PERIODS_WITHOUT_ACK: Micros = 4;
/// Member updates in one datagram, as far as they fit.
const MAX_UPDATES: usize = 11;
/// With updates about more members than this pending, one extra push goes out in each tick.
const UPDATE_BACKLOG_THRESHOLD: usize = 16;
/// Ticks with an extra push after a change, added to the binary logarithm of the fleet's size.
const EXTRA_GOSSIP_TICKS: u32 = 2;

/// Where a datagram came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The address of a member.
    Peer(u16),
    /// Any other address.
    Unknown,
}

/// What a call asks the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to a member.
    Send(u16, Vec<u8>),
    /// Send a datagram back to the source of the one just received.
    Answer(Vec<u8>),
    /// Deliver a member's payload to the local protocol with this tag. The sender's process incarnation is the current one.
    Deliver(u16, Tag, Vec<u8>),
    /// A member was heard under a new process incarnation, or for the first time. Exchanges with the previous one have ended.
    Restarted(u16),
    /// Report an event to the operators.
    Event(Event),
}

/// What is reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The state or process incarnation of a member changed.
    Member(Change),
    /// A new view was accepted.
    View(View),
    /// The participation changed from the first to the second.
    Participation(Participation, Participation),
    /// This front began to lead (true) or stopped (false).
    Leads(bool),
    /// The process did not run for this long.
    Paused(Micros),
    /// Another process uses the name of this front. The second field is that process's incarnation; 0 if only others saw it.
    DuplicateName(u16, u64),
    /// This front is configured with another member list, lease, drift or reserve than the own one.
    RosterMismatch(u16),
    /// Others know the own name under this newer process incarnation. The driver has to restart with a higher one.
    Superseded(u64),
}

/// Counters since the start of this process incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Datagrams that were malformed, failed authentication, came from another roster, or came from an unknown sender soon after
    /// another one.
    #[serde(rename = "void")]
    pub invalid: u64,
    /// Datagrams that were duplicates, too old, or meant for an earlier process incarnation.
    pub stale: u64,
    /// Datagrams that were not sent because of the limit on datagrams per second.
    #[serde(rename = "held_back")]
    pub rate_limited: u64,
    /// Datagrams sent for other protocols, streams included; `sent` counts them too.
    #[serde(default, rename = "carried")]
    pub payloads_sent: u64,
    /// Views accepted.
    pub views: u64,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// The process incarnation that its datagrams were accepted from.
    process_incarnation: u64,
    replay_window: ReplayWindow,
    /// The view that it last reported.
    view_number: ViewNumber,
    hello_sent_at: Option<Micros>,
    contested_until: Micros,
    roster_mismatch_reported: bool,
    /// When served volumes were last sent to it, until it acknowledges them.
    served_volumes_sent_at: Option<Micros>,
}

/// Factors by volume, and what they were computed from: the version of the evidence, and the absent and the present fronts.
type CachedFactors = ((u64, FrontSet, FrontSet), BTreeMap<VolumeId, f64>);

/// One process incarnation of one front.
pub struct Front {
    me: u16,
    process_incarnation: u64,
    front_count: usize,
    roster_hash: u32,
    keys: Keys,
    timing: Timing,
    reserve: f64,
    tick_interval: Micros,
    protocol_period: Micros,
    budget: Budget,
    peers: Vec<Peer>,
    swim: Swim,
    agreement: Agreement,
    lease: Lease,
    served_volumes: ServedVolumes,
    rng: fastrand::Rng,
    sequence: u32,
    /// Pings without acknowledgement: to whom, nonce, and when they were sent.
    pending_pings: VecDeque<(u16, u32, Micros)>,
    /// The nonce of the last ping for the lease. The highest bit keeps it apart from the nonces of [`Swim`].
    lease_ping_nonce: u32,
    started_at: Micros,
    last_tick_at: Micros,
    /// Whether another front addressed this process incarnation.
    acknowledged: bool,
    contested_until: Micros,
    paused: bool,
    leaving: bool,
    participation: Participation,
    /// The members that are present, and since when this set is unchanged.
    present: (FrontSet, Micros),
    /// Since when the present members differ from the view.
    differs_since: Option<Micros>,
    /// Since when this front could propose itself as leader.
    leaderless_since: Option<Micros>,
    /// When the highest promised proposal changed.
    promised_at: Micros,
    /// The highest proposal whose proposer reported that it no longer leads.
    abandoned_proposal: ProposalNumber,
    /// When a ping of this front was last acknowledged.
    last_ack_at: Micros,
    next_lease_ping_at: Micros,
    next_expiry_at: Micros,
    /// The front that served volumes were last sent to. The next round-robin turn starts with the front after it.
    served_volumes_cursor: u16,
    cached_factors: RefCell<Option<CachedFactors>>,
    unknown_sender_answered_at: Micros,
    gossip_ticks_left: u32,
    /// How many more datagrams gossip a new view. Every other one of them carries the view itself.
    view_gossip_left: u32,
    counts: Counts,
}

/// A snapshot of what a front knows.
#[derive(Clone, Debug)]
pub struct Status<'a> {
    /// The index of this front.
    pub me: u16,
    /// The process incarnation of this front.
    pub process_incarnation: u64,
    /// How this front takes part in the fleet.
    pub participation: Participation,
    /// What this front may use.
    pub allowance: Allowance,
    /// How much of the lease remains.
    pub lease_remaining: Option<Micros>,
    /// The view accepted last.
    pub view: &'a View,
    /// Whether this front leads.
    pub leads: bool,
    /// What is known of each front.
    pub members: &'a [Member],
    /// The number of volumes that this front serves.
    pub volumes: usize,
    /// The local health score of Lifeguard; 0 is healthy.
    pub health: u32,
    /// The counters.
    pub counts: Counts,
}

impl Front {
    /// A front that starts at `now`. `process_incarnation` must be above every earlier one of this name; `seed` must be new.
    pub fn new(
        section: &Section,
        me: u16,
        process_incarnation: u64,
        seed: u64,
        now: Micros,
    ) -> Front {
        let front_count = section.member.len();
        let lease = Section::micros(section.lease_ms);
        let drift = i64::from(section.drift_ppm);
        let lease_expiry_bound = lease + lease * 4 * drift / 1_000_000 + 1;
        // Within twice this time, a promise of an earlier process incarnation is used or given up. The quiet period after a
        // start adds the longest time that a lease can last, so that the leases that rest on the promise have ended too.
        let give_up_after = lease / 2;
        let timing = Timing {
            lease,
            lease_expiry_bound,
            give_up_after,
            quiet_period: lease_expiry_bound + 2 * give_up_after,
            renewal_interval: lease / 4,
        };
        let protocol_period = Section::micros(section.period_ms);
        let probe_timing = ProbeTiming {
            period: protocol_period,
            ping_timeout: Section::micros(section.patience_ms),
            min_suspicion: Section::micros(section.suspicion_ms),
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let swim = Swim::new(
            me,
            process_incarnation,
            front_count,
            probe_timing,
            rng.u64(..),
            now,
        );
        Front {
            me,
            process_incarnation,
            front_count,
            roster_hash: section.roster_hash(),
            keys: section.keys(),
            timing,
            reserve: section.reserve.clamp(0.0, 1.0),
            tick_interval: (protocol_period / 8).max(5_000),
            protocol_period,
            budget: Budget::new(now, f64::from(section.datagrams_per_s)),
            peers: vec![Peer::default(); front_count],
            swim,
            agreement: Agreement::new(me, process_incarnation, front_count, timing, now),
            lease: Lease::new(me, front_count, timing),
            served_volumes: ServedVolumes::new(section.most_volumes as usize),
            rng,
            sequence: 0,
            pending_pings: VecDeque::new(),
            lease_ping_nonce: 1 << 31,
            started_at: now,
            last_tick_at: now,
            acknowledged: false,
            contested_until: 0,
            paused: false,
            leaving: false,
            participation: Participation::Starting,
            present: (FrontSet::default(), now),
            differs_since: None,
            leaderless_since: None,
            promised_at: now,
            abandoned_proposal: ProposalNumber::default(),
            last_ack_at: now,
            next_lease_ping_at: now,
            next_expiry_at: now,
            served_volumes_cursor: me,
            cached_factors: RefCell::new(None),
            unknown_sender_answered_at: 0,
            gossip_ticks_left: 0,
            view_gossip_left: 0,
            counts: Counts::default(),
        }
    }

    /// How often [`Front::tick`] has to be called.
    pub fn tick_interval(&self) -> Micros {
        self.tick_interval
    }

    /// Records that this front served a volume whose requests are spread over `hosts` fronts.
    pub fn record_served(&mut self, now: Micros, volume: VolumeId, hosts: f64) {
        self.served_volumes.record_own(now, volume.0, hosts);
    }

    /// Begins to leave the fleet: announces it, so that the others need not detect it, and no longer renews the lease.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        self.swim.leave(now);
        for to in self.random_present(DIRECT_FANOUT) {
            self.push(now, to, out);
        }
        self.report_participation(now, out);
    }

    /// At most `max_count` other fronts that are present, chosen at random.
    fn random_present(&mut self, max_count: usize) -> Vec<u16> {
        self.swim.random_present(max_count)
    }

    /// The share of this front in limits that all fronts of the roster share.
    ///
    /// With a lease on a view that lists this front, it has its even share and an even part of what the surely absent fronts
    /// leave, which is all but their reserves. Without such a lease, it has its reserve, or nothing where not even that is
    /// safe.
    pub fn share(&self, now: Micros) -> Share {
        let (_, allowance) = self.decide_participation(now);
        let grant = self.lease.grant(now);
        let reserve = if allowance == Allowance::Nothing {
            0.0
        } else {
            self.reserve
        };
        match allowance {
            Allowance::View => {
                let leased = share_factor(
                    self.front_count as f64,
                    grant.absent.len() as f64,
                    self.reserve,
                );
                Share {
                    valid_until: grant.valid_until,
                    leased,
                    reserve,
                }
            }
            _ => Share {
                valid_until: now,
                leased: reserve,
                reserve,
            },
        }
    }

    /// The shares of this front in the form that the policy takes: [`Front::share`], and a factor for each volume, whose limit
    /// is divided among the fronts that serve it.
    pub fn quota_shares(&self, now: Micros) -> QuotaShares {
        let (share, grant) = (self.share(now), self.lease.grant(now));
        let has_lease = share.valid_until > now;
        // While fronts are missing from a view, a volume stays at the reserve until all others know that this front serves it.
        let per_volume =
            has_lease && grant.some_view_partial && self.front_count <= MAX_FRONTS_SHARING_VOLUMES;
        let volume_factors = if per_volume {
            self.volume_factors(&grant)
        } else {
            BTreeMap::new()
        };
        QuotaShares {
            valid_until: share.valid_until,
            reserve: share.reserve,
            slow_start: share.leased,
            volume_factors,
            default_volume_factor: if per_volume { self.reserve } else { 1.0 },
        }
    }

    /// The factors by volume under this grant; computed again only if the evidence or the grant changed.
    fn volume_factors(&self, grant: &LeaseGrant) -> BTreeMap<VolumeId, f64> {
        let mut present = FrontSet::first_n(self.front_count).difference(&grant.absent);
        present.remove(self.me);
        let inputs = (self.served_volumes.version(), grant.absent, present);
        let mut cached = self.cached_factors.borrow_mut();
        if let Some((_, factors)) = cached.as_ref().filter(|(of, _)| *of == inputs) {
            return factors.clone();
        }
        let factors = self
            .served_volumes
            .factors(&grant.absent, &present, self.reserve);
        let factors: BTreeMap<_, _> = factors
            .into_iter()
            .map(|(volume, factor)| (VolumeId(volume), factor))
            .collect();
        *cached = Some((inputs, factors.clone()));
        factors
    }

    /// What this front knows now.
    pub fn status(&self, now: Micros) -> Status<'_> {
        let (participation, allowance) = self.decide_participation(now);
        Status {
            me: self.me,
            process_incarnation: self.process_incarnation,
            participation,
            allowance,
            lease_remaining: self.lease.remaining(now),
            view: self.agreement.view(),
            leads: self.agreement.leads(),
            members: self.swim.members(),
            volumes: self.served_volumes.own_count(),
            health: self.swim.health(),
            counts: self.counts,
        }
    }

    /// Computes the participation and the allowance from what this front knows now.
    fn decide_participation(&self, now: Micros) -> (Participation, Allowance) {
        decide(&Observations {
            acknowledged: self.acknowledged,
            quiet_period_over: now - self.started_at >= self.timing.quiet_period,
            others_present: self.swim.present().len().saturating_sub(1),
            grant: self.lease.grant(now),
            lease_held: self.lease.remaining(now).is_some(),
            earlier_leases_expired: self.lease.earlier_leases_expired(now),
            paused: self.paused,
            leaving: self.leaving,
            name_contested: now < self.contested_until,
        })
    }

    /// Reports the participation if it changed since the last report.
    fn report_participation(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (participation, _) = self.decide_participation(now);
        if participation != self.participation {
            out.push(Output::Event(Event::Participation(
                self.participation,
                participation,
            )));
            self.participation = participation;
        }
    }

    // ---- sending ---------------------------------------------------------------------------------------

    fn send(&mut self, now: Micros, to: u16, body: Body, out: &mut Vec<Output>) {
        let Some(bytes) = self.encode(now, self.process_incarnation_of(to), body) else {
            return;
        };
        out.push(Output::Send(to, bytes));
    }

    /// Encodes the next datagram of this front; none if the budget of datagrams per second is used up.
    fn encode(&mut self, now: Micros, to_process_incarnation: u64, body: Body) -> Option<Vec<u8>> {
        if !self.budget.try_take(now, Tag::MEMBERSHIP, 0) {
            self.counts.rate_limited += 1;
            return None;
        }
        self.sequence = self.sequence.wrapping_add(1);
        let datagram = Datagram {
            roster_hash: self.roster_hash,
            from: self.me,
            sequence: self.sequence,
            process_incarnation: self.process_incarnation,
            to_process_incarnation,
            incarnation: self.swim.incarnation(),
            body,
        };
        let bytes = datagram.encode(self.front_count, &self.keys);
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        Some(bytes)
    }

    /// Whether another protocol may send a payload of this size to a member now; if so, it is charged to that protocol's budget.
    ///
    /// The member's process incarnation has to be known; the member need not be present.
    pub fn may_send_payload(&mut self, now: Micros, to: u16, tag: Tag, bytes: usize) -> bool {
        let sendable = to != self.me
            && self.knows_incarnation_of(to)
            && bytes <= frame::max_payload_bytes(&self.keys);
        let allowed = sendable
            && self.budget.try_take(
                now,
                tag,
                frame::MAX_DATAGRAM_BYTES - frame::max_payload_bytes(&self.keys) + bytes,
            );
        self.counts.rate_limited += u64::from(sendable && !allowed);
        allowed
    }

    /// Sends a payload that [`Front::may_send_payload`] allowed.
    pub fn send_payload(&mut self, to: u16, tag: Tag, payload: &[u8], out: &mut Vec<Output>) {
        self.sequence = self.sequence.wrapping_add(1);
        let (roster_hash, from, sequence, process_incarnation, to_process_incarnation) = (
            self.roster_hash,
            self.me,
            self.sequence,
            self.process_incarnation,
            self.process_incarnation_of(to),
        );
        let bytes = frame::seal(
            &Header {
                tag,
                roster_hash,
                from,
                sequence,
                process_incarnation,
                to_process_incarnation,
            },
            payload,
            &self.keys,
        );
        self.counts.sent += 1;
        self.counts.payloads_sent += 1;
        self.counts.bytes += bytes.len() as u64;
        out.push(Output::Send(to, bytes));
    }

    /// The most bytes of a payload in one datagram.
    pub fn max_payload_bytes(&self) -> usize {
        frame::max_payload_bytes(&self.keys)
    }

    /// The newest known process incarnation of a front, from its own datagrams or from other fronts. It is 0 if unknown; then
    /// the front can only be sent a hello.
    fn process_incarnation_of(&self, front: u16) -> u64 {
        let index = usize::from(front);
        let reported = self
            .swim
            .members()
            .get(index)
            .map_or(0, |m| m.process_incarnation);
        self.peers
            .get(index)
            .map_or(0, |p| p.process_incarnation)
            .max(reported)
    }

    fn knows_incarnation_of(&self, front: u16) -> bool {
        self.process_incarnation_of(front) != 0
    }

    /// The piggyback for a front that has just sent a datagram, so that its view is known.
    fn piggyback_for_known_view(&mut self, to: u16) -> wire::Piggyback {
        let their_view = self
            .peers
            .get(usize::from(to))
            .map_or(ViewNumber::default(), |p| p.view_number);
        self.piggyback(to, their_view)
    }

    /// The piggyback for a front that has not just sent a datagram.
    ///
    /// In a large fleet the view of that front is not known, and a datagram has no room for both the view and the promises or
    /// acknowledgements collected under it. While the view is new, datagrams carry the one and the other in turn. After that, a
    /// front that lacks the view gets it with the acknowledgements of its own pings.
    fn piggyback_for(&mut self, to: u16) -> wire::Piggyback {
        if self.front_count <= DIRECT_FANOUT {
            return self.piggyback_for_known_view(to);
        }
        self.view_gossip_left = self.view_gossip_left.saturating_sub(1);
        let their_view = match self.view_gossip_left % 2 {
            0 => self.agreement.view().number,
            _ => ViewNumber::default(),
        };
        self.piggyback(to, their_view)
    }

    /// The piggyback for a front whose view is, or is assumed to be, `their_view`.
    fn piggyback(&mut self, to: u16, their_view: ViewNumber) -> wire::Piggyback {
        let (agreement, leads) = (
            self.agreement.message_for(their_view),
            self.agreement.leads(),
        );
        wire::Piggyback {
            agreement,
            leads,
            updates: self.swim.updates_for(to, MAX_UPDATES),
        }
    }

    /// Pings a front; one whose process incarnation is unknown is sent a hello instead.
    fn ping(&mut self, now: Micros, to: u16, nonce: u32, out: &mut Vec<Output>) {
        if to == self.me {
            return;
        }
        if !self.knows_incarnation_of(to) {
            return self.hello(now, to, out);
        }
        if self.pending_pings.len() >= MAX_PENDING_PINGS {
            self.pending_pings.pop_front();
        }
        self.pending_pings.push_back((to, nonce, now));
        let piggyback = self.piggyback_for(to);
        self.send(now, to, Body::Ping(nonce, piggyback), out);
    }

    /// Sends a piggyback without a ping.
    fn push(&mut self, now: Micros, to: u16, out: &mut Vec<Output>) {
        if to != self.me && self.knows_incarnation_of(to) {
            let piggyback = self.piggyback_for(to);
            self.send(now, to, Body::Push(piggyback), out);
        }
    }

    /// Sends a hello, which asks a front for its process incarnation, unless one was sent within [`HELLO_INTERVAL`].
    fn hello(&mut self, now: Micros, to: u16, out: &mut Vec<Output>) {
        let due = self
            .peers
            .get_mut(usize::from(to))
            .filter(|p| p.hello_sent_at.is_none_or(|at| now - at >= HELLO_INTERVAL));
        if let Some(peer) = due {
            peer.hello_sent_at = Some(now);
            self.send(now, to, Body::Hello(0), out);
        }
    }

    /// Sends what the failure detector returned.
    fn send_probes(&mut self, now: Micros, messages: Vec<Outgoing>, out: &mut Vec<Output>) {
        for message in messages {
            match message {
                Outgoing::Ping(to, nonce) => self.ping(now, to, nonce, out),
                Outgoing::PingReq(to, target, nonce) if self.knows_incarnation_of(to) => {
                    self.send(now, to, Body::PingReq(target, nonce), out);
                }
                Outgoing::PingReqResult(to, nonce, reached) if self.knows_incarnation_of(to) => {
                    self.send(now, to, Body::PingReqResult(nonce, reached), out);
                }
                Outgoing::PingReq(..) | Outgoing::PingReqResult(..) => {}
            }
        }
    }

    fn report_changes(&mut self, changes: Vec<Change>, out: &mut Vec<Output>) {
        out.extend(changes.into_iter().map(|c| Output::Event(Event::Member(c))));
    }

    // ---- receiving -------------------------------------------------------------------------------------

    /// Receives a datagram: authenticates it, checks its sender, and handles it or delivers it to another protocol.
    pub fn receive(&mut self, now: Micros, source: Source, bytes: &[u8], out: &mut Vec<Output>) {
        let opened =
            frame::open(bytes, self.front_count, &self.keys).and_then(|(header, payload)| {
                let own = (header.tag == Tag::MEMBERSHIP)
                    .then(|| Datagram::decode_payload(header, payload, self.front_count))
                    .transpose()?;
                let known_tag = own.is_some() || Tag::ALL.contains(&header.tag);
                known_tag
                    .then_some((header, payload, own))
                    .ok_or(FrameError::InvalidContent)
            });
        let Ok((header, payload, own)) = opened else {
            return self.counts.invalid += 1;
        };
        let from = match source {
            Source::Peer(from) if from == header.from && from != self.me => from,
            _ => return self.on_unknown_sender(now, &header, out),
        };
        if !self.accepts_header(now, from, &header, out) {
            return;
        }
        let Some(datagram) = own else {
            return out.push(Output::Deliver(from, header.tag, payload.to_vec()));
        };
        // A warning that the name is contested does not acknowledge this process incarnation.
        self.acknowledged |= datagram.body != Body::NameContested;
        let mut changes = Vec::new();
        self.swim.on_first_hand(
            now,
            from,
            datagram.process_incarnation,
            datagram.incarnation,
            &mut changes,
        );
        self.report_changes(changes, out);
        self.on_body(now, from, datagram.body, out);
        self.report_participation(now, out);
    }

    /// Whether a member's datagram is accepted: same roster, for this process incarnation, not from an earlier one of the
    /// sender, and no duplicate.
    ///
    /// A sender that does not know this process incarnation is sent a hello. A newer process incarnation of the sender
    /// replaces what is known of the earlier one.
    fn accepts_header(
        &mut self,
        now: Micros,
        from: u16,
        header: &Header,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(usize::from(from)) else {
            return false;
        };
        if header.roster_hash != self.roster_hash {
            if !std::mem::replace(&mut peer.roster_mismatch_reported, true) {
                out.push(Output::Event(Event::RosterMismatch(from)));
            }
            self.counts.invalid += 1;
            return false;
        }
        // The datagram is meant for an earlier process incarnation of this front, or its sender knows none. A hello reports the
        // current one.
        if header.to_process_incarnation != self.process_incarnation {
            if header.to_process_incarnation != 0 {
                self.counts.stale += 1;
            }
            let known = peer.process_incarnation;
            // The sender's process incarnation is used only as the address of the hello. It is accepted once the sender
            // addresses the current process incarnation of this front.
            let due = peer
                .hello_sent_at
                .is_none_or(|at| now - at >= self.tick_interval);
            if due {
                peer.hello_sent_at = Some(now);
                if let Some(bytes) =
                    self.encode(now, header.process_incarnation, Body::Hello(known))
                {
                    out.push(Output::Send(from, bytes));
                }
            }
            return false;
        }
        if header.process_incarnation < peer.process_incarnation {
            self.counts.stale += 1;
            return false;
        }
        if header.process_incarnation > peer.process_incarnation {
            (
                peer.process_incarnation,
                peer.replay_window,
                peer.view_number,
            ) = (
                header.process_incarnation,
                ReplayWindow::default(),
                ViewNumber::default(),
            );
            self.served_volumes.on_restart(from);
            out.push(Output::Restarted(from));
        }
        let new = peer.replay_window.accept(header.sequence);
        self.counts.accepted += u64::from(new);
        self.counts.stale += u64::from(!new);
        new
    }

    /// Handles the content of an accepted datagram.
    fn on_body(&mut self, now: Micros, from: u16, body: Body, out: &mut Vec<Output>) {
        let mut probes = Vec::new();
        match body {
            // Reported at most once per sender: a sender sends hellos only until it is addressed by its own process incarnation.
            Body::Hello(known) if known > self.process_incarnation => {
                out.push(Output::Event(Event::Superseded(known)))
            }
            Body::Hello(_) => {
                self.swim.on_hello(from, &mut probes);
                self.push(now, from, out);
            }
            Body::Ping(nonce, piggyback) => {
                self.on_piggyback(now, from, &piggyback, out);
                let lease_remaining = self.lease.remaining(now).unwrap_or(0);
                let own = self.piggyback_for_known_view(from);
                self.send(now, from, Body::Ack(nonce, lease_remaining, own), out);
                self.warn_if_contested(now, from, out);
            }
            Body::Ack(nonce, lease_remaining, piggyback) => {
                let pending = self
                    .pending_pings
                    .iter()
                    .position(|ping| ping.0 == from && ping.1 == nonce);
                let pending = pending.and_then(|at| self.pending_pings.remove(at));
                self.on_piggyback(now, from, &piggyback, out);
                self.swim.on_ack(from, nonce, &mut probes);
                self.last_ack_at = now;
                // The remaining lease counts from when the ping was sent, so that a slow answer cannot prolong it.
                if let Some((.., sent_at)) =
                    pending.filter(|_| lease_remaining > 0 && !self.leaving)
                {
                    self.extend_lease(
                        now,
                        piggyback.agreement.view_number,
                        sent_at + lease_remaining.min(self.timing.lease),
                    );
                }
            }
            Body::Push(piggyback) => self.on_piggyback(now, from, &piggyback, out),
            Body::PingReq(target, nonce) => {
                self.swim.on_ping_req(now, from, nonce, target, &mut probes)
            }
            Body::PingReqResult(nonce, reached) => self.swim.on_ping_req_result(nonce, reached),
            Body::ServedVolumes(round, volumes) => {
                self.served_volumes.record_others(now, from, &volumes);
                let also_served = self.served_volumes.also_served(&volumes);
                self.send(
                    now,
                    from,
                    Body::ServedVolumesAck(round, volumes, also_served),
                    out,
                );
            }
            Body::ServedVolumesAck(round, volumes, also_served) => {
                self.served_volumes
                    .on_ack(now, from, round, &volumes, also_served);
                if let Some(peer) = self.peers.get_mut(usize::from(from)) {
                    peer.served_volumes_sent_at = None;
                }
            }
            Body::NameContested => self.mark_contested(now, self.me, 0, out),
        }
        self.send_probes(now, probes, out);
    }

    /// Extends the lease on a view. A pause of the process has no further effect once a lease is held again.
    fn extend_lease(&mut self, now: Micros, view_number: ViewNumber, valid_until: Micros) {
        let members = self.agreement.view().members;
        self.lease.extend(now, view_number, valid_until, members);
        self.paused &= self.lease.remaining(now).is_none();
    }

    /// Applies member updates and the agreement message of another front, and forwards what they changed here.
    fn on_piggyback(
        &mut self,
        now: Micros,
        from: u16,
        piggyback: &wire::Piggyback,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.peers.get_mut(usize::from(from)) {
            peer.view_number = piggyback.agreement.view_number;
            // A proposer leads at most once under each of its proposals. If it does not lead, it has abandoned its last one.
            let own = ProposalNumber {
                proposer: from,
                process_incarnation: peer.process_incarnation,
                ..piggyback.agreement.promised
            };
            if !piggyback.leads && piggyback.agreement.promised == own {
                self.abandoned_proposal = self.abandoned_proposal.max(own);
            }
        }
        let (mut changes, incarnation) = (Vec::new(), self.swim.incarnation());
        for update in &piggyback.updates {
            self.swim.on_update(now, *update, &mut changes);
        }
        self.report_changes(changes, out);
        if self.swim.incarnation() != incarnation {
            // This front was reported as suspect or gone: the refutation goes to the reporting front at once.
            self.push(now, from, out);
            self.start_gossip();
        }
        let before = self.agreement.message_for(ViewNumber::default());
        let mut effects = Vec::new();
        self.agreement
            .receive(now, &piggyback.agreement, &mut effects);
        self.on_agreement_effects(now, effects, out);
        let after = self.agreement.message_for(ViewNumber::default());
        let position = |m: &crate::agreement::AgreementMessage| {
            (m.promised, m.view_number, m.renewal.map(|r| r.sequence))
        };
        // In a large fleet the leader could not handle a push from every front: on average, DIRECT_FANOUT fronts send one.
        if position(&before) != position(&after) {
            if before.promised != after.promised {
                self.promised_at = now;
            }
            self.start_gossip();
            let leader = after.promised.proposer;
            if self.front_count <= DIRECT_FANOUT
                || self.rng.usize(0..self.front_count) < DIRECT_FANOUT
            {
                self.push(now, leader, out);
            }
        }
    }

    /// Has the next ticks push to random fronts. A small fleet does not need that: its changes are sent to all fronts directly.
    fn start_gossip(&mut self) {
        if self.front_count > DIRECT_FANOUT {
            self.gossip_ticks_left = self.gossip_ticks();
        }
    }

    /// For how many ticks a change is gossiped.
    fn gossip_ticks(&self) -> u32 {
        EXTRA_GOSSIP_TICKS + (self.front_count as f64).log2().ceil() as u32
    }

    /// Carries out what the agreement returned.
    fn on_agreement_effects(&mut self, now: Micros, effects: Vec<Effect>, out: &mut Vec<Output>) {
        for effect in effects {
            match effect {
                Effect::Accepted(view) => {
                    self.counts.views += 1;
                    self.view_gossip_left = 2 * self.gossip_ticks();
                    self.lease.accept(&view);
                    out.push(Output::Event(Event::View(view)));
                }
                Effect::Renewed(began_at) if !self.leaving => {
                    self.extend_lease(
                        now,
                        self.agreement.view().number,
                        began_at + self.timing.lease,
                    );
                }
                Effect::Renewed(_) => {}
                Effect::Disseminate => {
                    self.start_gossip();
                    for to in self.random_present(DIRECT_FANOUT) {
                        self.push(now, to, out);
                    }
                }
                Effect::SteppedDown => {
                    self.leaderless_since = None;
                    out.push(Output::Event(Event::Leads(false)));
                }
            }
        }
    }

    /// Handles an authentic datagram from an address that is not the sender's: another process uses a name of this roster.
    ///
    /// Both processes are warned that the name is contested.
    fn on_unknown_sender(&mut self, now: Micros, header: &Header, out: &mut Vec<Output>) {
        if header.roster_hash != self.roster_hash
            || now - self.unknown_sender_answered_at < UNKNOWN_SENDER_INTERVAL
        {
            return self.counts.invalid += 1;
        }
        self.unknown_sender_answered_at = now;
        self.mark_contested(now, header.from, header.process_incarnation, out);
        if let Some(bytes) = self.encode(now, header.process_incarnation, Body::NameContested) {
            out.push(Output::Answer(bytes));
        }
        self.warn_if_contested(now, header.from, out);
        self.report_participation(now, out);
    }

    /// Marks the name of a front, which may be this one, as contested. Reports it unless the name is already contested.
    fn mark_contested(
        &mut self,
        now: Micros,
        front: u16,
        process_incarnation: u64,
        out: &mut Vec<Output>,
    ) {
        let me = self.me;
        let Some(peer) = self.peers.get_mut(usize::from(front)) else {
            return;
        };
        let until = if front == me {
            &mut self.contested_until
        } else {
            &mut peer.contested_until
        };
        if *until <= now {
            out.push(Output::Event(Event::DuplicateName(
                front,
                process_incarnation,
            )));
        }
        *until = now + NAME_CONTESTED_FOR;
    }

    /// Warns a front whose name is contested.
    fn warn_if_contested(&mut self, now: Micros, front: u16, out: &mut Vec<Output>) {
        let contested = self
            .peers
            .get(usize::from(front))
            .is_some_and(|p| now < p.contested_until);
        if contested && front != self.me && self.knows_incarnation_of(front) {
            self.send(now, front, Body::NameContested, out);
        }
    }

    // ---- time ------------------------------------------------------------------------------------------

    /// Does what is due at `now`: probes, views and renewals, proposals, lease pings, gossip, and served volumes.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let gap = now - std::mem::replace(&mut self.last_tick_at, now);
        if gap > 8 * self.tick_interval + 100_000 {
            self.swim.on_pause(now, gap);
            self.paused = self.lease.remaining(now).is_none();
            out.push(Output::Event(Event::Paused(gap)));
        }
        let (mut probes, mut changes, mut effects) = (Vec::new(), Vec::new(), Vec::new());
        self.swim.tick(now, &mut probes, &mut changes);
        self.report_changes(changes, out);
        self.send_probes(now, probes, out);
        let present = self.swim.present();
        if present != self.present.0 {
            self.present = (present, now);
        }
        let next_members = self.next_members(now);
        if !self.leaving {
            self.agreement.tick(now, next_members, &mut effects);
            self.on_agreement_effects(now, std::mem::take(&mut effects), out);
            self.propose_if_leaderless(now, out);
        }
        self.ping_for_lease(now, out);
        let has_backlog = self.front_count > DIRECT_FANOUT
            && self.swim.pending_update_count() > UPDATE_BACKLOG_THRESHOLD;
        if self.gossip_ticks_left > 0 || has_backlog {
            self.gossip_ticks_left = self.gossip_ticks_left.saturating_sub(1);
            for to in self.random_present(1) {
                self.push(now, to, out);
            }
        }
        self.send_served_volumes(now, out);
        self.report_participation(now, out);
    }

    /// The members of the next view, once the present fronts are unchanged for long enough.
    ///
    /// The wait puts fronts that join or leave together into one view.
    fn next_members(&mut self, now: Micros) -> Option<FrontSet> {
        let (present, since) = self.present;
        if present == self.agreement.view().members {
            self.differs_since = None;
            return Some(present);
        }
        let differs_since = *self.differs_since.get_or_insert(now);
        // Updates take longer to reach all fronts of a large fleet.
        let scaled = |wait: Micros| (wait as f64 * self.swim.size_factor()) as Micros;
        (now - since >= scaled(VIEW_STABILITY_WAIT)
            || now - differs_since >= scaled(MAX_VIEW_DELAY))
        .then_some(present)
    }

    /// Proposes this front as leader if no present front leads, after a wait that depends on how many present fronts have a
    /// lower index: the first of them proposes first, so that rivals are rare.
    fn propose_if_leaderless(&mut self, now: Micros, out: &mut Vec<Output>) {
        let proposal = self.agreement.promised();
        let leader = self.swim.members().get(usize::from(proposal.proposer));
        // A proposer that was never heard of is not gone, nor is one whose process incarnation is newer than the known one.
        let gone = |m: &Member| {
            m.process_incarnation > proposal.process_incarnation
                || matches!(m.state, MemberState::Dead | MemberState::Left)
                    && m.process_incarnation == proposal.process_incarnation
        };
        let leader_present = leader.is_some_and(|m| !gone(m));
        let (lease_held, recently_promised) = (
            self.lease.remaining(now).is_some(),
            now - self.promised_at < 2 * self.timing.give_up_after,
        );
        let has_leader = proposal.round > 0
            && leader_present
            && proposal != self.abandoned_proposal
            && (lease_held || recently_promised);
        // A front that reaches nobody would only interrupt a leader that reaches a majority.
        let heard = now - self.last_ack_at < MAX_PERIODS_WITHOUT_ACK * self.protocol_period;
        if has_leader
            || !heard
            || self.agreement.leads()
            || !self.agreement.may_vote(now)
            || self.present.0.len() < self.agreement.majority()
        {
            self.leaderless_since = None;
            return;
        }
        let me = self.me;
        let lower = self.present.0.iter().filter(|i| *i < me).count().min(8) as Micros;
        let wait = lower * self.timing.give_up_after / 4
            + self.rng.i64(0..self.timing.give_up_after / 8 + 1);
        let leaderless_since = *self.leaderless_since.get_or_insert(now);
        if now - leaderless_since >= wait {
            let mut effects = Vec::new();
            self.agreement.propose(now, &mut effects);
            self.promised_at = now;
            out.push(Output::Event(Event::Leads(true)));
            self.on_agreement_effects(now, effects, out);
        }
    }

    /// Pings a front so that its acknowledgement extends the lease: mostly the leader in a small fleet, mostly any front in a
    /// large one, where the leader could not answer all.
    fn ping_for_lease(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.next_lease_ping_at || self.agreement.leads() || self.leaving {
            return;
        }
        let max_jitter = self.timing.lease / 16;
        self.next_lease_ping_at = now + self.timing.lease / 8 + self.rng.i64(0..max_jitter + 1);
        let leader = self.agreement.promised().proposer;
        let may_ask_leader = self.front_count <= DIRECT_FANOUT
            || self.rng.usize(0..self.front_count) < DIRECT_FANOUT;
        let to = match may_ask_leader
            && leader != self.me
            && self.agreement.promised().round > 0
            && self.rng.u32(0..4) > 0
        {
            true => Some(leader),
            false => self.random_present(1).first().copied(),
        };
        let Some(to) = to else { return };
        self.lease_ping_nonce = self.lease_ping_nonce.wrapping_add(1) | 1 << 31;
        let nonce = self.lease_ping_nonce;
        self.ping(now, to, nonce, out);
    }

    /// Sends the volumes served here to one other present front in turn, until each has acknowledged all of them.
    fn send_served_volumes(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EVIDENCE_EXPIRY_INTERVAL;
            self.served_volumes.expire(now, &self.present.0);
        }
        if self.front_count > MAX_FRONTS_SHARING_VOLUMES || self.leaving {
            return;
        }
        let front_count = self.front_count as u16;
        for to in (1..front_count).map(|i| (self.served_volumes_cursor + i) % front_count) {
            let peer = &self.peers[usize::from(to)];
            if to == self.me
                || !self.present.0.contains(to)
                || peer
                    .served_volumes_sent_at
                    .is_some_and(|at| now - at < SERVED_VOLUMES_RETRY)
            {
                continue;
            }
            let (round, volumes) = self.served_volumes.unacknowledged(to, MAX_VOLUMES);
            if volumes.is_empty() || !self.knows_incarnation_of(to) {
                continue;
            }
            // The next volumes wait for this front's acknowledgement and go out in the first tick after it.
            self.peers[usize::from(to)].served_volumes_sent_at = Some(now);
            self.served_volumes_cursor = to;
            return self.send(now, to, Body::ServedVolumes(round, volumes), out);
        }
    }
}
