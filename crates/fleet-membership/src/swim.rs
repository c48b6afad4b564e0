//! Who is there: SWIM with Lifeguard's local health, suspicion that shortens as others agree, and refutation by incarnation.
//!
//! The roster is fixed. A front that was never heard of is *unknown*, which is not dead: nothing is concluded from it.

use crate::bits::Bits;
use lupinrack_failure_detection as arithmetic;
use lupinrack_failure_detection::LocalHealth;
use lupinrack_policy::Micros;
use std::collections::VecDeque;

/// Fronts asked to probe in one's stead.
const HELPERS: usize = 3;
/// Independent suspicions after which one's own patience is at its least.
const CONFIRMS: usize = 3;
/// A suspicion lasts this many times its least without any of them.
const PATIENCE: f64 = 3.0;
/// Looks of one's own before a suspect is held for dead: with three datagrams in ten lost, a living one answers one of them to all but
/// 2 in 100. Once a suspicion is over they follow each other at half the patience.
const LOOKS: u32 = 6;
/// Probes sent for others that are remembered at once.
const FAVOURS_MOST: usize = 64;
/// Every so many periods one front that is not held for alive is looked at too.
const REACH_EVERY: u32 = 2;
/// News is told this many times the common logarithm of the roster; that a front is there, once it is known, fewer times.
const TELLINGS: f64 = 3.0;
const TELLINGS_LEAST: f64 = 5.0;
const TELLINGS_THERE: f64 = 2.0;

/// What is held of a front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Never heard of.
    #[default]
    Unknown,
    /// There.
    Alive,
    /// Silent; it may refute that.
    Suspect,
    /// Held for dead: it was suspected for long enough and did not refute it.
    Dead,
    /// It said that it leaves.
    Left,
}

impl State {
    /// Whether it is held for there: silence alone is no death.
    pub fn there(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Its word in figures and lines.
    pub fn word(self) -> &'static str {
        match self {
            State::Unknown => "unknown",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// A piece of news on one front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct News {
    /// Of whom.
    pub of: u16,
    /// What; never unknown.
    pub state: State,
    /// Which life of it.
    pub life: u64,
    /// Its incarnation within that life: it raises it to refute.
    pub inc: u16,
    /// Who says so first-hand.
    pub by: u16,
}

/// What is held of one front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Member {
    /// What it is held for.
    pub state: State,
    /// Its life.
    pub life: u64,
    /// Its incarnation.
    pub inc: u16,
    /// Since when it is held for that.
    pub since: Micros,
    /// By whose word.
    pub by: u16,
    /// Who suspects it first-hand.
    suspects: Vec<u16>,
    /// Tellings left of the present state.
    tell: u32,
    /// When one that this front itself suspects is looked at again.
    again: Micros,
    /// Looks at it since it is suspected.
    looks: u32,
}

/// Times of the detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// One front is probed in each.
    pub period: Micros,
    /// How long a direct answer may take before others are asked.
    pub patience: Micros,
    /// The least that a suspicion lasts, among ten fronts; more in step with the common logarithm of a larger roster.
    pub suspicion: Micros,
}

/// What is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Out {
    /// A probe, under this nonce.
    Ping(u16, u32),
    /// A request to this helper to probe a target; the nonce comes back.
    Ask(u16, u16, u32),
    /// The answer to such a request: whether the target answered.
    Told(u16, u32, bool),
}

/// A change of what is held of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Of whom.
    pub of: u16,
    /// What it was held for.
    pub from: State,
    /// What it is held for now.
    pub to: State,
    /// By whose word.
    pub by: u16,
    /// Another life than before.
    pub reborn: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Probe {
    of: u16,
    nonce: u32,
    life: u64,
    asked: Vec<u16>,
    patience_ends: Micros,
    /// When it is sent once more: a datagram may be lost.
    again: Micros,
    ends: Micros,
    nacks: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Favour {
    target: u16,
    whose: u16,
    their: u32,
    nonce: u32,
    again: Micros,
    ends: Micros,
}

/// One front's opinion of all.
#[derive(Clone, Debug)]
pub struct Swim {
    me: u16,
    pace: Pace,
    members: Vec<Member>,
    /// Who is held for there, who is suspected, and of whom there is something to tell: what `members` says, in sets.
    here: Bits,
    suspected: Bits,
    telling: Bits,
    order: Vec<u16>,
    probe: Option<Probe>,
    favours: VecDeque<Favour>,
    next: Micros,
    periods: u32,
    health: LocalHealth,
    nonce: u32,
    dice: fastrand::Rng,
}

impl Swim {
    /// A life that begins now and knows of nobody.
    pub fn new(me: u16, life: u64, configured: usize, pace: Pace, seed: u64, now: Micros) -> Swim {
        let mut members = vec![Member::default(); configured];
        if let Some(own) = members.get_mut(usize::from(me)) {
            *own = Member {
                state: State::Alive,
                life,
                since: now,
                by: me,
                tell: 1,
                ..Member::default()
            };
        }
        let mut dice = fastrand::Rng::with_seed(seed);
        // Fronts that start together don't probe in step.
        let next = now + dice.i64(0..pace.period.max(1));
        let order = Vec::new();
        Swim {
            me,
            pace,
            members,
            here: [me].into_iter().collect(),
            suspected: Bits::default(),
            telling: [me].into_iter().collect(),
            order,
            probe: None,
            favours: VecDeque::new(),
            next,
            periods: 0,
            health: LocalHealth::default(),
            nonce: 0,
            dice,
        }
    }

    /// What is held of each.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Local health: 0 is well; this many times longer is waited.
    pub fn health(&self) -> u32 {
        self.health.score()
    }

    /// Who is held for there, suspects included.
    pub fn present(&self) -> Bits {
        self.here
    }

    /// How many there is news of to tell.
    pub fn untold(&self) -> usize {
        self.telling.len()
    }

    /// Others that are held for there, at random.
    pub fn some(&mut self, most: usize) -> Vec<u16> {
        let mut others = self.here;
        others.remove(self.me);
        let mut left = others.len();
        let mut some = Vec::with_capacity(most.min(left));
        while left > 0 && some.len() < most {
            let Some(one) = others.nth(self.dice.usize(0..left)) else {
                break;
            };
            others.remove(one);
            some.push(one);
            left -= 1;
        }
        some
    }

    fn scale(&self, span: Micros) -> Micros {
        span * Micros::from(self.health.multiplier())
    }

    /// The size of the fleet as it counts for spreading: the common logarithm, one at the least.
    pub fn size(&self) -> f64 {
        arithmetic::size_factor(self.members.len())
    }

    fn tellings(&self, news: &News) -> u32 {
        let plain = news.state == State::Alive && news.inc == 0;
        match plain {
            true => arithmetic::transmission_limit(self.size(), TELLINGS_THERE, 0.0),
            false => arithmetic::transmission_limit(self.size(), TELLINGS, TELLINGS_LEAST),
        }
    }

    fn set(&mut self, now: Micros, news: News, changes: &mut Vec<Change>) {
        let tell = self.tellings(&news);
        let Some(m) = self.members.get_mut(usize::from(news.of)) else {
            return;
        };
        let from = m.state;
        let reborn = m.life != 0 && news.life != m.life;
        if from != news.state || reborn {
            m.since = now;
        }
        m.suspects = if news.state == State::Suspect {
            vec![news.by]
        } else {
            Vec::new()
        };
        (m.again, m.looks) = (now, 0);
        (m.state, m.life, m.inc, m.by, m.tell) = (news.state, news.life, news.inc, news.by, tell);
        self.telling.insert(news.of);
        for (set, is) in [
            (
                &mut self.here,
                matches!(news.state, State::Alive | State::Suspect),
            ),
            (&mut self.suspected, news.state == State::Suspect),
        ] {
            if is {
                set.insert(news.of)
            } else {
                set.remove(news.of)
            }
        }
        if from != news.state || reborn {
            changes.push(Change {
                of: news.of,
                from,
                to: news.state,
                by: news.by,
                reborn,
            });
        }
    }

    /// Takes a piece of news. News of this front that is wrong is refuted.
    pub fn hear(&mut self, now: Micros, news: News, changes: &mut Vec<Change>) {
        let Some(m) = self.members.get(usize::from(news.of)) else {
            return;
        };
        if news.of == self.me {
            let wrong = news.life == m.life && news.state != State::Alive && news.inc >= m.inc;
            if wrong && m.state == State::Alive {
                self.health.worsen();
                let inc = news.inc.saturating_add(1);
                self.set(
                    now,
                    News {
                        inc,
                        state: State::Alive,
                        by: self.me,
                        ..news
                    },
                    changes,
                );
            }
            return;
        }
        let newer = match (news.life.cmp(&m.life), news.state) {
            (std::cmp::Ordering::Less, _) => false,
            (std::cmp::Ordering::Greater, _) => true,
            (_, State::Alive) => news.inc > m.inc || m.state == State::Unknown,
            (_, State::Suspect) => match m.state {
                State::Alive | State::Unknown => news.inc >= m.inc,
                // Who is suspected in a later incarnation was there in it.
                _ => news.inc > m.inc,
            },
            (_, State::Dead | State::Left) => {
                news.inc >= m.inc && !matches!(m.state, State::Dead | State::Left)
                    || news.inc > m.inc
            }
            (_, State::Unknown) => false,
        };
        if newer {
            return self.set(now, news, changes);
        }
        let again = news.life == m.life && news.inc == m.inc && m.state == State::Suspect;
        if again && news.state == State::Suspect {
            let tell = self.tellings(&news);
            let m = &mut self.members[usize::from(news.of)];
            if m.suspects.len() < CONFIRMS + 1 && !m.suspects.contains(&news.by) {
                m.suspects.push(news.by);
                m.tell = tell;
                self.telling.insert(news.of);
            }
        }
    }

    /// Somebody was heard first-hand, in this life.
    pub fn heard(&mut self, now: Micros, of: u16, life: u64, inc: u16, changes: &mut Vec<Change>) {
        let Some(m) = self.members.get(usize::from(of)).filter(|_| of != self.me) else {
            return;
        };
        if life > m.life || (life == m.life && (inc > m.inc || m.state == State::Unknown)) {
            self.set(
                now,
                News {
                    of,
                    state: State::Alive,
                    life,
                    inc,
                    by: self.me,
                },
                changes,
            );
        }
    }

    /// The news to go with a datagram to `to`: what it has to know of itself first, then what was told the least.
    pub fn news(&mut self, to: u16, most: usize) -> Vec<News> {
        let worded = |i: u16, m: &Member| News {
            of: i,
            state: m.state,
            life: m.life,
            inc: m.inc,
            by: m.by,
        };
        let mut told = Vec::new();
        let held = self
            .members
            .get(usize::from(to))
            .filter(|m| !matches!(m.state, State::Alive | State::Unknown));
        told.extend(held.map(|m| worded(to, m)));
        // What may have to be refuted, and refutations, before who is there; of each the least told first.
        let plain = |m: &Member| m.state == State::Alive && m.inc == 0;
        let mut fresh: Vec<(bool, u32, u16)> = self
            .telling
            .iter()
            .map(|i| (i, &self.members[usize::from(i)]))
            .filter(|(i, _)| *i != to)
            .map(|(i, m)| (!plain(m), m.tell, i))
            .collect();
        let room = most.saturating_sub(told.len());
        if fresh.len() > room && room > 0 {
            fresh.select_nth_unstable_by(room - 1, |a, b| b.cmp(a));
            fresh.truncate(room);
        }
        fresh.sort_unstable_by(|a, b| b.cmp(a));
        for (.., i) in fresh.into_iter().take(room) {
            let m = &mut self.members[usize::from(i)];
            m.tell = m.tell.saturating_sub(1);
            if m.tell == 0 {
                self.telling.remove(i);
            }
            let mut news = worded(i, m);
            if m.state == State::Suspect && m.suspects.contains(&self.me) {
                news.by = self.me;
            }
            told.push(news);
        }
        told.truncate(most);
        told
    }

    /// Own incarnation.
    pub fn inc(&self) -> u16 {
        self.members.get(usize::from(self.me)).map_or(0, |m| m.inc)
    }

    /// This front says that it leaves.
    pub fn leave(&mut self, now: Micros) {
        let Some(m) = self.members.get(usize::from(self.me)) else {
            return;
        };
        let news = News {
            of: self.me,
            state: State::Left,
            life: m.life,
            inc: m.inc,
            by: self.me,
        };
        self.set(now, news, &mut Vec::new());
    }

    fn nonce(&mut self) -> u32 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// A probe, or one made for another, was answered.
    pub fn answered(&mut self, from: u16, nonce: u32, out: &mut Vec<Out>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|p| p.of == from && p.nonce == nonce)
        {
            self.probe = None;
            self.health.improve();
        }
        if let Some(at) = self.favours.iter().position(|f| f.nonce == nonce) {
            if let Some(f) = self.favours.remove(at) {
                out.push(Out::Told(f.whose, f.their, true));
            }
        }
    }

    /// One that was not met before greeted: that answers as well as any probe of it, which could only greet.
    pub fn greeted(&mut self, from: u16, out: &mut Vec<Out>) {
        if let Some(nonce) = self
            .probe
            .as_ref()
            .filter(|p| p.of == from)
            .map(|p| p.nonce)
        {
            self.answered(from, nonce, out);
        }
        let waiting: Vec<u32> = self
            .favours
            .iter()
            .filter(|f| f.target == from)
            .map(|f| f.nonce)
            .collect();
        waiting
            .into_iter()
            .for_each(|nonce| self.answered(from, nonce, out));
    }

    /// Another asks to probe `target` for it.
    pub fn asked(&mut self, now: Micros, whose: u16, their: u32, target: u16, out: &mut Vec<Out>) {
        if target == self.me || usize::from(target) >= self.members.len() {
            return;
        }
        if self.favours.len() >= FAVOURS_MOST {
            self.favours.pop_front();
        }
        let nonce = self.nonce();
        let (again, ends) = (now + self.pace.patience / 2, now + self.pace.patience);
        self.favours.push_back(Favour {
            target,
            whose,
            their,
            nonce,
            again,
            ends,
        });
        out.push(Out::Ping(target, nonce));
    }

    /// A helper tells what came of its probe.
    pub fn told(&mut self, nonce: u32, reached: bool) {
        let Some(p) = self.probe.as_mut().filter(|p| p.nonce == nonce) else {
            return;
        };
        if reached {
            self.probe = None;
            self.health.improve();
        } else {
            p.nacks += 1;
        }
    }

    /// This process was not running for `gap`: what ran out meanwhile says nothing of others.
    pub fn paused(&mut self, now: Micros, gap: Micros) {
        self.probe = None;
        self.favours.clear();
        self.health.worsen();
        self.members
            .iter_mut()
            .filter(|m| m.state == State::Suspect)
            .for_each(|m| m.since += gap);
        self.next = now + self.pace.period;
    }

    /// How long a suspicion that began is to last.
    fn lasts(&self, m: &Member) -> Micros {
        let confirms = arithmetic::confirmations_needed(CONFIRMS, self.members.len());
        let agreed = m.suspects.len().saturating_sub(1);
        // A refutation has to come round first, which takes longer in a large fleet.
        let least = self.scale(self.pace.suspicion) as f64 * self.size();
        arithmetic::suspicion_timeout(least, PATIENCE, agreed, confirms) as Micros
    }

    /// Carries on at a moment.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Out>, changes: &mut Vec<Change>) {
        while let Some(f) = self.favours.front().filter(|f| f.ends <= now).cloned() {
            self.favours.pop_front();
            out.push(Out::Told(f.whose, f.their, false));
        }
        let late = self
            .probe
            .as_ref()
            .is_some_and(|p| p.asked.is_empty() && p.patience_ends <= now);
        if late {
            if let Some(mut p) = self.probe.take() {
                p.asked = self
                    .some(HELPERS + 1)
                    .into_iter()
                    .filter(|i| *i != p.of)
                    .take(HELPERS)
                    .collect();
                out.extend(p.asked.iter().map(|h| Out::Ask(*h, p.of, p.nonce)));
                self.probe = Some(p);
            }
        }
        let patience = self.pace.patience;
        if let Some(p) = self.probe.as_mut().filter(|p| p.again <= now) {
            p.again = now + patience / 2;
            out.push(Out::Ping(p.of, p.nonce));
        }
        for f in self.favours.iter_mut().filter(|f| f.again <= now) {
            f.again = now + patience / 2;
            out.push(Out::Ping(f.target, f.nonce));
        }
        if let Some(p) = self.probe.take_if(|p| p.ends <= now) {
            // Helpers that said nothing tell of this front's own health.
            let silent = p.asked.len() - p.nacks.min(p.asked.len());
            if p.asked.is_empty() || silent > 0 {
                self.health.worsen();
            }
            self.suspect(now, &p, changes);
        }
        let suspected: Vec<u16> = self.suspected.iter().collect();
        for of in suspected {
            let m = &self.members[usize::from(of)];
            let over = now - m.since >= self.lasts(m);
            if m.again > now || !(over || m.suspects.contains(&self.me)) {
                continue;
            }
            if over && m.looks >= LOOKS {
                let news = News {
                    of,
                    state: State::Dead,
                    life: m.life,
                    inc: m.inc,
                    by: self.me,
                };
                self.set(now, news, changes);
                continue;
            }
            // It hears of the suspicion first-hand, and its answer refutes it. Nobody is held for dead by hearsay alone.
            let nonce = self.nonce();
            let m = &mut self.members[usize::from(of)];
            let pause = if over {
                self.pace.patience / 2
            } else {
                self.pace.patience
            };
            (m.again, m.looks) = (now + pause, m.looks + 1);
            out.push(Out::Ping(of, nonce));
        }
        if now >= self.next && self.probe.is_none() {
            self.next = (self.next + self.scale(self.pace.period)).max(now + self.pace.period / 2);
            self.periods = self.periods.wrapping_add(1);
            self.begin(now, out);
        }
    }

    fn suspect(&mut self, now: Micros, p: &Probe, changes: &mut Vec<Change>) {
        let Some(m) = self
            .members
            .get(usize::from(p.of))
            .filter(|m| m.life == p.life)
        else {
            return;
        };
        let news = News {
            of: p.of,
            state: State::Suspect,
            life: m.life,
            inc: m.inc,
            by: self.me,
        };
        match m.state {
            State::Alive => self.set(now, news, changes),
            State::Suspect => self.hear(now, news, changes),
            _ => {}
        }
    }

    fn begin(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.periods.is_multiple_of(REACH_EVERY) {
            let present = self.present();
            let away: Vec<u16> = (0..self.members.len() as u16)
                .filter(|i| !present.has(*i))
                .collect();
            if let Some(of) = self.dice.choice(&away).copied() {
                let nonce = self.nonce();
                out.push(Out::Ping(of, nonce));
            }
        }
        let of = loop {
            match self.order.pop() {
                Some(i) if i != self.me && self.present().has(i) => break i,
                Some(_) => {}
                None => {
                    self.order = self.present().iter().filter(|i| *i != self.me).collect();
                    self.dice.shuffle(&mut self.order);
                    if self.order.is_empty() {
                        return;
                    }
                }
            }
        };
        let nonce = self.nonce();
        let (patience, period) = (self.scale(self.pace.patience), self.scale(self.pace.period));
        self.probe = Some(Probe {
            of,
            nonce,
            life: self.members[usize::from(of)].life,
            asked: Vec::new(),
            patience_ends: now + patience,
            again: now + self.pace.patience / 2,
            ends: now + period,
            nacks: 0,
        });
        out.push(Out::Ping(of, nonce));
    }
}
