//! One front among the others: datagrams and moments in, datagrams, rights and events out.

use crate::agree::{Agree, Ballot, Number, Step, Times, View};
use crate::bits::Bits;
use crate::config::Section;
use crate::lease::{Lease, Right};
use crate::part::{factor, Share};
use crate::serving::Serving;
use crate::stance::{decide, May, Seen, Stance};
use crate::swim::{Change, Member, Out, Pace, State, Swim};
use crate::wire::{self, Body, Datagram, Keys, Void, Window, VOLUMES_MOST};
use lupinrack_peer_transport::budget::Budget;
use lupinrack_peer_transport::frame::{self, Head, Tag};
use lupinrack_policy::{Micros, QuotaShares, VolumeId};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

/// Looks whose moment is remembered.
const LOOKS_MOST: usize = 64;
/// Fronts that are told something new at once.
const FAN: usize = 16;
/// Fronts that join or leave within this time, among ten, come into one view; in step with the common logarithm of more.
const CALM: Micros = 250_000;
/// But a view waits no longer than this.
const CALM_MOST: Micros = 1_000_000;
/// A name that another life was seen under counts as contested for this long.
const CONTESTED: Micros = 10_000_000;
/// The wait between two hellos to one front.
const HELLO: Micros = 500_000;
/// Volumes are shared out in fleets of at most this many fronts: each has to answer to each of what it serves.
const SHARING_MOST: usize = 64;
/// The wait until one front is told again what it did not answer to.
const TELL: Micros = 200_000;
/// How often what is old is forgotten.
const FORGET: Micros = 1_000_000;
/// Strangers are answered this often at the most.
const STRANGER: Micros = 250_000;
/// Only a front whose looks were answered within this many periods stands for leader.
const HEARD: Micros = 4;
/// News on fronts in one datagram, as far as they fit.
const NEWS_MOST: usize = 11;
/// With news on more fronts than this to tell, a datagram goes out each step.
const BACKLOG: usize = 16;
/// Something new is told on for this many steps beside the logarithm of the fleet.
const HOT: u32 = 2;

/// Where a datagram came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The address of a member.
    Peer(u16),
    /// Any other.
    Stranger,
}

/// What a step brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To a member.
    Send(u16, Vec<u8>),
    /// Back to where the datagram came from.
    Answer(Vec<u8>),
    /// A member's machine says this to the same machine here. Its life is the one that is held now.
    Carried(u16, Tag, Vec<u8>),
    /// Another life of a member is heard, or the first: what was underway between the two has ended.
    Reborn(u16),
    /// Something that operators are told of.
    Event(Event),
}

/// What operators are told of, each with its cause.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A front is held for something else.
    Member(Change),
    /// Another view is accepted.
    View(View),
    /// It stands differently towards the fleet.
    Stance(Stance, Stance),
    /// It begins to lead, or gives it up.
    Leads(bool),
    /// It did not run for this long.
    Paused(Micros),
    /// A name is used by a life at an address that is not its own.
    Twin(u16, u64),
    /// A front whose list of members, or whose terms, differ.
    Roster(u16),
    /// Others know a later life of this name: this one must begin anew above it.
    Outlived(u64),
}

/// What was counted, where it happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams that were spoilt, or had no right sum.
    pub void: u64,
    /// Old or doubled ones, and those for an earlier life.
    pub stale: u64,
    /// Those kept back by the bound on datagrams a second.
    pub held_back: u64,
    /// Datagrams of other machines sent, those of streams too; counted in `sent` as well.
    #[serde(default)]
    pub carried: u64,
    /// Views accepted.
    pub views: u64,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// The life that its datagrams were taken from.
    life: u64,
    window: Window,
    /// The view it told last.
    number: Number,
    hello: Option<Micros>,
    contested_until: Micros,
    roster_told: bool,
    /// When it was told last of what is served here.
    told: Option<Micros>,
}

/// Factors by volume, and what they follow from: the evidence, who is absent, and who is present.
type Factors = ((u64, Bits, Bits), BTreeMap<VolumeId, f64>);

/// One life of one front.
pub struct Front {
    me: u16,
    life: u64,
    n: usize,
    roster: u32,
    keys: Keys,
    times: Times,
    reserve: f64,
    step: Micros,
    period: Micros,
    budget: Budget,
    peers: Vec<Peer>,
    swim: Swim,
    agree: Agree,
    lease: Lease,
    serving: Serving,
    dice: fastrand::Rng,
    seq: u32,
    looks: VecDeque<(u16, u32, Micros)>,
    nonce: u32,
    born: Micros,
    last: Micros,
    acknowledged: bool,
    contested_until: Micros,
    paused: bool,
    leaving: bool,
    stance: Stance,
    /// Since when the present members are what they are, and since when they differ from the view.
    present: (Bits, Micros),
    differs: Option<Micros>,
    leaderless: Option<Micros>,
    promised_at: Micros,
    /// A ballot whose leader said that it leads no longer.
    given_up: Ballot,
    /// When a look of this front was answered last.
    answered_at: Micros,
    ask_at: Micros,
    forget_at: Micros,
    tell_to: u16,
    /// Factors, and what they were worked out from.
    factors: RefCell<Option<Factors>>,
    stranger_at: Micros,
    hot: u32,
    /// Datagrams, every other of which is to carry a view that is new here.
    view_hot: u32,
    counts: Counts,
}

/// What a front knows, for whoever asks.
#[derive(Clone, Debug)]
pub struct Told<'a> {
    /// Its index.
    pub me: u16,
    /// Its life.
    pub life: u64,
    /// How it stands.
    pub stance: Stance,
    /// What it may use.
    pub may: May,
    /// What is left of its lease.
    pub left: Option<Micros>,
    /// The view accepted last.
    pub view: &'a View,
    /// Whether it leads.
    pub leads: bool,
    /// What it holds of each.
    pub members: &'a [Member],
    /// Volumes that it serves.
    pub volumes: usize,
    /// Local health; 0 is well.
    pub health: u32,
    /// What was counted.
    pub counts: Counts,
}

impl Front {
    /// A life that begins now. `life` must be above that of every earlier one of this name, `seed` new.
    pub fn new(section: &Section, me: u16, life: u64, seed: u64, now: Micros) -> Front {
        let n = section.member.len();
        let lease = Section::span(section.lease_ms);
        let drift = i64::from(section.drift_ppm);
        let lapse = lease + lease * 4 * drift / 1_000_000 + 1;
        // What an earlier life said is used or dropped twice over by then, and the leases that rest on it have ended.
        let drop = lease / 2;
        let times = Times {
            lease,
            lapse,
            drop,
            quiet: lapse + 2 * drop,
            renew: lease / 4,
        };
        let period = Section::span(section.period_ms);
        let pace = Pace {
            period,
            patience: Section::span(section.patience_ms),
            suspicion: Section::span(section.suspicion_ms),
        };
        let mut dice = fastrand::Rng::with_seed(seed);
        let swim = Swim::new(me, life, n, pace, dice.u64(..), now);
        Front {
            me,
            life,
            n,
            roster: section.roster(),
            keys: section.keys(),
            times,
            reserve: section.reserve.clamp(0.0, 1.0),
            step: (period / 8).max(5_000),
            period,
            budget: Budget::new(now, f64::from(section.datagrams_per_s)),
            peers: vec![Peer::default(); n],
            swim,
            agree: Agree::new(me, life, n, times, now),
            lease: Lease::new(me, n, times),
            serving: Serving::new(section.most_volumes as usize),
            dice,
            seq: 0,
            looks: VecDeque::new(),
            nonce: 1 << 31,
            born: now,
            last: now,
            acknowledged: false,
            contested_until: 0,
            paused: false,
            leaving: false,
            stance: Stance::Starting,
            present: (Bits::default(), now),
            differs: None,
            leaderless: None,
            promised_at: now,
            given_up: Ballot::default(),
            answered_at: now,
            ask_at: now,
            forget_at: now,
            tell_to: me,
            factors: RefCell::new(None),
            stranger_at: 0,
            hot: 0,
            view_hot: 0,
            counts: Counts::default(),
        }
    }

    /// How often [`Front::tick`] is to be called.
    pub fn step(&self) -> Micros {
        self.step
    }

    /// This front served a volume that works through this many fronts.
    pub fn serves(&mut self, now: Micros, volume: VolumeId, hosts: f64) {
        self.serving.own(now, volume.0, hosts);
    }

    /// It is told to end: others need not find out.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        self.swim.leave(now);
        for to in self.some(FAN) {
            self.push(now, to, out);
        }
        self.restate(now, out);
    }

    /// Others that are there, at random.
    fn some(&mut self, most: usize) -> Vec<u16> {
        self.swim.some(most)
    }

    /// What it may use now of whatever all fronts of the roster share.
    pub fn share(&self, now: Micros) -> Share {
        let (_, may) = self.stand(now);
        let right = self.lease.right(now);
        let reserve = if may == May::Nothing {
            0.0
        } else {
            self.reserve
        };
        match may {
            May::View => {
                let held = factor(self.n as f64, right.absent.len() as f64, self.reserve);
                Share {
                    until: right.until,
                    held,
                    reserve,
                }
            }
            _ => Share {
                until: now,
                held: reserve,
                reserve,
            },
        }
    }

    /// The same for the module, with what is shared among the fronts of one volume.
    pub fn rights(&self, now: Micros) -> QuotaShares {
        let (share, right) = (self.share(now), self.lease.right(now));
        let whole = share.until > now;
        // Where some are missing, a volume that not all others know of is left at the reserve.
        let shared = whole && right.partial && self.n <= SHARING_MOST;
        let factors = if shared {
            self.factors(&right)
        } else {
            BTreeMap::new()
        };
        QuotaShares {
            valid_until: share.until,
            reserve: share.reserve,
            slow_start: share.held,
            volume_factors: factors,
            default_volume_factor: if shared { self.reserve } else { 1.0 },
        }
    }

    fn factors(&self, right: &Right) -> BTreeMap<VolumeId, f64> {
        let mut present = Bits::first(self.n).without(&right.absent);
        present.remove(self.me);
        let from = (self.serving.version(), right.absent, present);
        let mut kept = self.factors.borrow_mut();
        if let Some((_, factors)) = kept.as_ref().filter(|(of, _)| *of == from) {
            return factors.clone();
        }
        let factors = self.serving.factors(&right.absent, &present, self.reserve);
        let factors: BTreeMap<_, _> = factors.into_iter().map(|(v, f)| (VolumeId(v), f)).collect();
        *kept = Some((from, factors.clone()));
        factors
    }

    /// What it knows.
    pub fn told(&self, now: Micros) -> Told<'_> {
        let (stance, may) = self.stand(now);
        Told {
            me: self.me,
            life: self.life,
            stance,
            may,
            left: self.lease.left(now),
            view: self.agree.view(),
            leads: self.agree.leads(),
            members: self.swim.members(),
            volumes: self.serving.count(),
            health: self.swim.health(),
            counts: self.counts,
        }
    }

    fn stand(&self, now: Micros) -> (Stance, May) {
        decide(&Seen {
            acknowledged: self.acknowledged,
            waited: now - self.born >= self.times.quiet,
            others: self.swim.present().len().saturating_sub(1),
            right: self.lease.right(now),
            held: self.lease.left(now).is_some(),
            settled: self.lease.settled(now),
            paused: self.paused,
            leaving: self.leaving,
            contested: now < self.contested_until,
        })
    }

    fn restate(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (stance, _) = self.stand(now);
        if stance != self.stance {
            out.push(Output::Event(Event::Stance(self.stance, stance)));
            self.stance = stance;
        }
    }

    // ---- sending ---------------------------------------------------------------------------------------

    fn send(&mut self, now: Micros, to: u16, body: Body, out: &mut Vec<Output>) {
        let Some(bytes) = self.worded(now, self.life_of(to), body) else {
            return;
        };
        out.push(Output::Send(to, bytes));
    }

    fn worded(&mut self, now: Micros, to_life: u64, body: Body) -> Option<Vec<u8>> {
        if !self.budget.draw(now, Tag::MEMBERSHIP, 0) {
            self.counts.held_back += 1;
            return None;
        }
        self.seq = self.seq.wrapping_add(1);
        let datagram = Datagram {
            roster: self.roster,
            from: self.me,
            seq: self.seq,
            life: self.life,
            to_life,
            inc: self.swim.inc(),
            body,
        };
        let bytes = datagram.write(self.n, &self.keys);
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        Some(bytes)
    }

    /// Whether another machine may say so much to a member now: it is met, and there is room in the machine's budget, of which this is
    /// drawn. A member that is met is one whose life is known, not one that is there.
    pub fn may_carry(&mut self, now: Micros, to: u16, tag: Tag, bytes: usize) -> bool {
        let known = to != self.me && self.met(to) && bytes <= frame::room(&self.keys);
        let may = known
            && self
                .budget
                .draw(now, tag, frame::LONGEST - frame::room(&self.keys) + bytes);
        self.counts.held_back += u64::from(known && !may);
        may
    }

    /// Says what [`Front::may_carry`] allowed.
    pub fn carry_to(&mut self, to: u16, tag: Tag, said: &[u8], out: &mut Vec<Output>) {
        self.seq = self.seq.wrapping_add(1);
        let (roster, from, seq, life, to_life) =
            (self.roster, self.me, self.seq, self.life, self.life_of(to));
        let bytes = frame::seal(
            &Head {
                tag,
                roster,
                from,
                seq,
                life,
                to_life,
            },
            said,
            &self.keys,
        );
        self.counts.sent += 1;
        self.counts.carried += 1;
        self.counts.bytes += bytes.len() as u64;
        out.push(Output::Send(to, bytes));
    }

    /// How many bytes a machine may say in one datagram.
    pub fn room(&self) -> usize {
        frame::room(&self.keys)
    }

    /// A front's life, first-hand or as others told; 0: not known, and nothing but a hello is said to it.
    fn life_of(&self, of: u16) -> u64 {
        let at = usize::from(of);
        let told = self.swim.members().get(at).map_or(0, |m| m.life);
        self.peers.get(at).map_or(0, |p| p.life).max(told)
    }

    fn met(&self, to: u16) -> bool {
        self.life_of(to) != 0
    }

    /// What is told to one whose view is known at this moment.
    fn words(&mut self, to: u16) -> wire::Told {
        let theirs = self
            .peers
            .get(usize::from(to))
            .map_or(Number::default(), |p| p.number);
        self.worded_of(to, theirs)
    }

    /// What is told to one that was not just heard. In a large fleet its view is not known, and a datagram has no room for the
    /// view and what is collected under it: they go in turn while the view is new, and then whoever lacks it hears it by its looks.
    fn words_unasked(&mut self, to: u16) -> wire::Told {
        if self.n <= FAN {
            return self.words(to);
        }
        self.view_hot = self.view_hot.saturating_sub(1);
        let theirs = match self.view_hot % 2 {
            0 => self.agree.view().number,
            _ => Number::default(),
        };
        self.worded_of(to, theirs)
    }

    fn worded_of(&mut self, to: u16, theirs: Number) -> wire::Told {
        let (word, leads) = (self.agree.word(theirs), self.agree.leads());
        wire::Told {
            word,
            leads,
            news: self.swim.news(to, NEWS_MOST),
        }
    }

    /// Looks at a front; a front that was never met is greeted first.
    fn look(&mut self, now: Micros, to: u16, nonce: u32, out: &mut Vec<Output>) {
        if to == self.me {
            return;
        }
        if !self.met(to) {
            return self.hello(now, to, out);
        }
        if self.looks.len() >= LOOKS_MOST {
            self.looks.pop_front();
        }
        self.looks.push_back((to, nonce, now));
        let told = self.words_unasked(to);
        self.send(now, to, Body::Ping(nonce, told), out);
    }

    fn push(&mut self, now: Micros, to: u16, out: &mut Vec<Output>) {
        if to != self.me && self.met(to) {
            let told = self.words_unasked(to);
            self.send(now, to, Body::Push(told), out);
        }
    }

    fn hello(&mut self, now: Micros, to: u16, out: &mut Vec<Output>) {
        let due = self
            .peers
            .get_mut(usize::from(to))
            .filter(|p| p.hello.is_none_or(|at| now - at >= HELLO));
        if let Some(peer) = due {
            peer.hello = Some(now);
            self.send(now, to, Body::Hello(0), out);
        }
    }

    fn carry(&mut self, now: Micros, outs: Vec<Out>, out: &mut Vec<Output>) {
        for o in outs {
            match o {
                Out::Ping(to, nonce) => self.look(now, to, nonce, out),
                Out::Ask(to, target, nonce) if self.met(to) => {
                    self.send(now, to, Body::Ask(target, nonce), out);
                }
                Out::Told(to, nonce, reached) if self.met(to) => {
                    self.send(now, to, Body::Reached(nonce, reached), out);
                }
                Out::Ask(..) | Out::Told(..) => {}
            }
        }
    }

    fn changed(&mut self, changes: Vec<Change>, out: &mut Vec<Output>) {
        out.extend(changes.into_iter().map(|c| Output::Event(Event::Member(c))));
    }

    // ---- hearing ---------------------------------------------------------------------------------------

    /// Takes a datagram.
    pub fn datagram(&mut self, now: Micros, source: Source, bytes: &[u8], out: &mut Vec<Output>) {
        let read = frame::open(bytes, self.n, &self.keys).and_then(|(head, said)| {
            let own = (head.tag == Tag::MEMBERSHIP)
                .then(|| Datagram::said(head, said, self.n))
                .transpose()?;
            let known = own.is_some() || Tag::ALL.contains(&head.tag);
            known.then_some((head, said, own)).ok_or(Void::Content)
        });
        let Ok((head, said, own)) = read else {
            return self.counts.void += 1;
        };
        let at = match source {
            Source::Peer(at) if at == head.from && at != self.me => at,
            _ => return self.stranger(now, &head, out),
        };
        if !self.admits(now, at, &head, out) {
            return;
        }
        let Some(d) = own else {
            return out.push(Output::Carried(at, head.tag, said.to_vec()));
        };
        // That its name is another's is no word for this life.
        self.acknowledged |= d.body != Body::Contested;
        let mut changes = Vec::new();
        self.swim.heard(now, at, d.life, d.inc, &mut changes);
        self.changed(changes, out);
        self.body(now, at, d.body, out);
        self.restate(now, out);
    }

    /// Whether a member's datagram is taken: of its terms, from a life to this life, and for the first time.
    fn admits(&mut self, now: Micros, at: u16, d: &Head, out: &mut Vec<Output>) -> bool {
        let Some(peer) = self.peers.get_mut(usize::from(at)) else {
            return false;
        };
        if d.roster != self.roster {
            if !std::mem::replace(&mut peer.roster_told, true) {
                out.push(Output::Event(Event::Roster(at)));
            }
            self.counts.void += 1;
            return false;
        }
        // Meant for an earlier life of this front, or its sender does not know this life: it is told.
        if d.to_life != self.life {
            if d.to_life != 0 {
                self.counts.stale += 1;
            }
            let known = peer.life;
            // The life is taken once it answers by this front's own; until then it is only greeted by it.
            let due = peer.hello.is_none_or(|h| now - h >= self.step);
            if due {
                peer.hello = Some(now);
                if let Some(bytes) = self.worded(now, d.life, Body::Hello(known)) {
                    out.push(Output::Send(at, bytes));
                }
            }
            return false;
        }
        if d.life < peer.life {
            self.counts.stale += 1;
            return false;
        }
        if d.life > peer.life {
            (peer.life, peer.window, peer.number) = (d.life, Window::default(), Number::default());
            self.serving.reborn(at);
            out.push(Output::Reborn(at));
        }
        let new = peer.window.take(d.seq);
        self.counts.taken += u64::from(new);
        self.counts.stale += u64::from(!new);
        new
    }

    fn body(&mut self, now: Micros, from: u16, body: Body, out: &mut Vec<Output>) {
        let mut outs = Vec::new();
        match body {
            // Once: whoever greets by this life has met it.
            Body::Hello(known) if known > self.life => {
                out.push(Output::Event(Event::Outlived(known)))
            }
            Body::Hello(_) => {
                self.swim.greeted(from, &mut outs);
                self.push(now, from, out);
            }
            Body::Ping(nonce, told) => {
                self.take(now, from, &told, out);
                let left = self.lease.left(now).unwrap_or(0);
                let words = self.words(from);
                self.send(now, from, Body::Ack(nonce, left, words), out);
                self.warn(now, from, out);
            }
            Body::Ack(nonce, left, told) => {
                let asked = self.looks.iter().position(|l| l.0 == from && l.1 == nonce);
                let asked = asked.and_then(|at| self.looks.remove(at));
                self.take(now, from, &told, out);
                self.swim.answered(from, nonce, &mut outs);
                self.answered_at = now;
                if let Some((.., at)) = asked.filter(|_| left > 0 && !self.leaving) {
                    self.hold(now, told.word.number, at + left.min(self.times.lease));
                }
            }
            Body::Push(told) => self.take(now, from, &told, out),
            Body::Ask(target, nonce) => self.swim.asked(now, from, nonce, target, &mut outs),
            Body::Reached(nonce, reached) => self.swim.told(nonce, reached),
            Body::Serves(round, volumes) => {
                self.serving.heard(now, from, &volumes);
                let too = self.serving.too(&volumes);
                self.send(now, from, Body::Heard(round, volumes, too), out);
            }
            Body::Heard(round, volumes, too) => {
                self.serving.answered(now, from, round, &volumes, too);
                if let Some(peer) = self.peers.get_mut(usize::from(from)) {
                    peer.told = None;
                }
            }
            Body::Contested => self.contest(now, self.me, 0, out),
        }
        self.carry(now, outs, out);
    }

    fn hold(&mut self, now: Micros, number: Number, until: Micros) {
        let members = self.agree.view().members;
        self.lease.hold(now, number, until, members);
        self.paused &= self.lease.left(now).is_none();
    }

    fn take(&mut self, now: Micros, from: u16, told: &wire::Told, out: &mut Vec<Output>) {
        if let Some(peer) = self.peers.get_mut(usize::from(from)) {
            peer.number = told.word.number;
            // Ballots are led once: whoever leads no longer has given its last one up for good.
            let own = Ballot {
                leader: from,
                life: peer.life,
                ..told.word.promised
            };
            if !told.leads && told.word.promised == own {
                self.given_up = self.given_up.max(own);
            }
        }
        let (mut changes, inc) = (Vec::new(), self.swim.inc());
        for news in &told.news {
            self.swim.hear(now, *news, &mut changes);
        }
        self.changed(changes, out);
        if self.swim.inc() != inc {
            // Whoever told of a suspicion hears the refutation at once.
            self.push(now, from, out);
            self.heat();
        }
        let before = self.agree.word(Number::default());
        let mut steps = Vec::new();
        self.agree.hear(now, &told.word, &mut steps);
        self.stepped(now, steps, out);
        let after = self.agree.word(Number::default());
        let place = |w: &crate::agree::Word| (w.promised, w.number, w.round.map(|r| r.k));
        if place(&before) != place(&after) {
            if before.promised != after.promised {
                self.promised_at = now;
            }
            self.heat();
            let leader = after.promised.leader;
            if self.n <= FAN || self.dice.usize(0..self.n) < FAN {
                self.push(now, leader, out);
            }
        }
    }

    fn heat(&mut self) {
        if self.n > FAN {
            self.hot = self.spread();
        }
    }

    /// Steps for which something new is told on.
    fn spread(&self) -> u32 {
        HOT + (self.n as f64).log2().ceil() as u32
    }

    fn stepped(&mut self, now: Micros, steps: Vec<Step>, out: &mut Vec<Output>) {
        for step in steps {
            match step {
                Step::Accepted(view) => {
                    self.counts.views += 1;
                    self.view_hot = 2 * self.spread();
                    self.lease.accept(&view);
                    out.push(Output::Event(Event::View(view)));
                }
                Step::Renewed(began) if !self.leaving => {
                    self.hold(now, self.agree.view().number, began + self.times.lease);
                }
                Step::Renewed(_) => {}
                Step::Spread => {
                    self.heat();
                    for to in self.some(FAN) {
                        self.push(now, to, out);
                    }
                }
                Step::GaveUp => {
                    self.leaderless = None;
                    out.push(Output::Event(Event::Leads(false)));
                }
            }
        }
    }

    /// A datagram from elsewhere, whose sum is right: some life uses a name of this roster at another address.
    fn stranger(&mut self, now: Micros, d: &Head, out: &mut Vec<Output>) {
        if d.roster != self.roster || now - self.stranger_at < STRANGER {
            return self.counts.void += 1;
        }
        self.stranger_at = now;
        self.contest(now, d.from, d.life, out);
        if let Some(bytes) = self.worded(now, d.life, Body::Contested) {
            out.push(Output::Answer(bytes));
        }
        self.warn(now, d.from, out);
        self.restate(now, out);
    }

    fn contest(&mut self, now: Micros, of: u16, life: u64, out: &mut Vec<Output>) {
        let me = self.me;
        let Some(peer) = self.peers.get_mut(usize::from(of)) else {
            return;
        };
        let until = if of == me {
            &mut self.contested_until
        } else {
            &mut peer.contested_until
        };
        if *until <= now {
            out.push(Output::Event(Event::Twin(of, life)));
        }
        *until = now + CONTESTED;
    }

    /// Tells a front that its name is contested.
    fn warn(&mut self, now: Micros, of: u16, out: &mut Vec<Output>) {
        let contested = self
            .peers
            .get(usize::from(of))
            .is_some_and(|p| now < p.contested_until);
        if contested && of != self.me && self.met(of) {
            self.send(now, of, Body::Contested, out);
        }
    }

    // ---- time ------------------------------------------------------------------------------------------

    /// Carries on at a moment.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let gap = now - std::mem::replace(&mut self.last, now);
        if gap > 8 * self.step + 100_000 {
            self.swim.paused(now, gap);
            self.paused = self.lease.left(now).is_none();
            out.push(Output::Event(Event::Paused(gap)));
        }
        let (mut outs, mut changes, mut steps) = (Vec::new(), Vec::new(), Vec::new());
        self.swim.tick(now, &mut outs, &mut changes);
        self.changed(changes, out);
        self.carry(now, outs, out);
        let present = self.swim.present();
        if present != self.present.0 {
            self.present = (present, now);
        }
        let wanted = self.wanted(now);
        if !self.leaving {
            self.agree.tick(now, wanted, &mut steps);
            self.stepped(now, std::mem::take(&mut steps), out);
            self.candidate(now, out);
        }
        self.ask(now, out);
        let backlog = self.n > FAN && self.swim.untold() > BACKLOG;
        if self.hot > 0 || backlog {
            self.hot = self.hot.saturating_sub(1);
            for to in self.some(1) {
                self.push(now, to, out);
            }
        }
        self.tell(now, out);
        self.restate(now, out);
    }

    /// Whom the next view is to list, once who is there has stayed the same for a moment.
    fn wanted(&mut self, now: Micros) -> Option<Bits> {
        let (present, since) = self.present;
        if present == self.agree.view().members {
            self.differs = None;
            return Some(present);
        }
        let differs = *self.differs.get_or_insert(now);
        // In a large fleet news takes longer to come round.
        let span = |calm: Micros| (calm as f64 * self.swim.size()) as Micros;
        (now - since >= span(CALM) || now - differs >= span(CALM_MOST)).then_some(present)
    }

    /// Stands for leader where there is none: the first of those who are there, and the others after it.
    fn candidate(&mut self, now: Micros, out: &mut Vec<Output>) {
        let ballot = self.agree.promised();
        let leader = self.swim.members().get(usize::from(ballot.leader));
        // One that was not heard of yet is not gone, nor is one whose life is newer than what is known of it.
        let gone = |m: &Member| {
            m.life > ballot.life
                || matches!(m.state, State::Dead | State::Left) && m.life == ballot.life
        };
        let there = leader.is_some_and(|m| !gone(m));
        let (held, fresh) = (
            self.lease.left(now).is_some(),
            now - self.promised_at < 2 * self.times.drop,
        );
        let led = ballot.round > 0 && there && ballot != self.given_up && (held || fresh);
        // One that is heard by nobody would only take the ballot from those who are.
        let heard = now - self.answered_at < HEARD * self.period;
        if led
            || !heard
            || self.agree.leads()
            || !self.agree.votes(now)
            || self.present.0.len() < self.agree.majority()
        {
            self.leaderless = None;
            return;
        }
        let me = self.me;
        let before = self.present.0.iter().filter(|i| *i < me).count().min(8) as Micros;
        let wait = before * self.times.drop / 4 + self.dice.i64(0..self.times.drop / 8 + 1);
        let since = *self.leaderless.get_or_insert(now);
        if now - since >= wait {
            let mut steps = Vec::new();
            self.agree.stand(now, &mut steps);
            self.promised_at = now;
            out.push(Output::Event(Event::Leads(true)));
            self.stepped(now, steps, out);
        }
    }

    /// Asks for what is left of the lease: the leader where the fleet is small, anybody where it is large.
    fn ask(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.ask_at || self.agree.leads() || self.leaving {
            return;
        }
        let spread = self.times.lease / 16;
        self.ask_at = now + self.times.lease / 8 + self.dice.i64(0..spread + 1);
        let leader = self.agree.promised().leader;
        let near = self.n <= FAN || self.dice.usize(0..self.n) < FAN;
        let to = match near
            && leader != self.me
            && self.agree.promised().round > 0
            && self.dice.u32(0..4) > 0
        {
            true => Some(leader),
            false => self.some(1).first().copied(),
        };
        let Some(to) = to else { return };
        self.nonce = self.nonce.wrapping_add(1) | 1 << 31;
        let nonce = self.nonce;
        self.look(now, to, nonce, out);
    }

    /// Tells one other front after another what is served here, until each has answered to all of it.
    fn tell(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.forget_at {
            self.forget_at = now + FORGET;
            self.serving.forget(now, &self.present.0);
        }
        if self.n > SHARING_MOST || self.leaving {
            return;
        }
        let n = self.n as u16;
        for to in (1..n).map(|i| (self.tell_to + i) % n) {
            let peer = &self.peers[usize::from(to)];
            if to == self.me
                || !self.present.0.has(to)
                || peer.told.is_some_and(|at| now - at < TELL)
            {
                continue;
            }
            let (round, volumes) = self.serving.tell(to, VOLUMES_MOST);
            if volumes.is_empty() || !self.met(to) {
                continue;
            }
            // Until the answer comes nothing more is told to it; with it the next part goes at once.
            self.peers[usize::from(to)].told = Some(now);
            self.tell_to = to;
            return self.send(now, to, Body::Serves(round, volumes), out);
        }
    }
}
