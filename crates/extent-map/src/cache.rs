//! The cache: what a front knows of where data lies, and what it does to know it better. No I/O, no clock: time and
//! answers come in, [`Action`]s go out.
//!
//! Three sources lead to one map, in which the later epoch wins piece by piece, so that their order does not matter:
//! the authority's stream (polls from a version on), single volumes or ranges fetched on need, and peers. A node is no
//! source: its hint says that something changed, never what, and it is believed only where it is newer than all that
//! is known, once for each range, and within budgets for each volume and for all.

use crate::budget::Budget;
use crate::config::{Section, Strategy};
use crate::datagram;
use crate::map::Map;
use crate::peers::{Outbox, Provisional};
use crate::snapshot::{self, Unusable};
use crate::words::{Change, Cover, News, Version};
use lupinrack_policy::{Key, Micros, Shard, VolumeId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Calls on volumes that are out at once.
pub const FLIGHTS_MOST: usize = 64;
/// Volumes that wait for a call; further ones are asked for again by the next request.
pub const WANTED_MOST: usize = 4_096;
/// Volumes whose own budget is remembered; where there are more, the full ones are forgotten.
const BUDGETS_MOST: usize = 4_096;
/// The first and the longest wait after a poll or fetch that failed.
const AGAIN_FIRST: Micros = 100_000;
const AGAIN_LAST: Micros = 2_000_000;
/// Where the authority has just confirmed a place, hints against it are followed only in part for this long.
const CONFIRMED: Micros = 500_000;
/// Confirmed places that are remembered.
const CONFIRMED_MOST: usize = 64;
/// What a peer told and the stream has not confirmed for so long is fetched anew.
const UNCONFIRMED: Micros = 5_000_000;
/// One complaint about one party in this time is told; the rest are counted.
const COMPLAIN: Micros = 1_000_000;

/// Where a piece of data lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// On this shard.
    At(Shard),
    /// No extent covers it: what the client says stands.
    Uncovered,
    /// Not known yet; [`Action::Changed`] will tell.
    Unknown,
}

/// What a wrong turn comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The map knows better by now.
    At(Shard),
    /// The range is being refreshed; [`Action::Changed`] will tell.
    Waiting,
    /// The node's word counts for nothing: it is behind, lies, or says nothing. The place stands.
    Stands,
}

/// What the cache has its driver do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the authority for changes from this version on (none: for all); [`Input::Polled`] answers, always.
    Poll {
        /// The version in hand.
        from: Option<Version>,
        /// How long the authority may hold the call.
        hold: Micros,
    },
    /// Ask the authority for a volume, or for the extent of one key; [`Input::Fetched`] answers, always.
    Fetch {
        /// The volume.
        volume: VolumeId,
        /// The key; none: the whole volume.
        key: Option<Key>,
    },
    /// What is known of a range changed or was confirmed: requests in it are to be looked at again.
    Changed {
        /// The volume.
        volume: VolumeId,
        /// The first key.
        first: u64,
        /// The last key.
        last: u64,
    },
    /// All that is known changed: every request is to be looked at again.
    ChangedAll,
    /// Send this datagram to each peer.
    Tell(Vec<u8>),
    /// Write the map to its file.
    Save(Vec<u8>),
    /// Come back at this time.
    Wake(Micros),
    /// A line for the staff, at most one for each party and second.
    Complain {
        /// Who did it.
        who: Party,
        /// What.
        why: String,
    },
}

/// Who a complaint is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// The extent authority.
    Authority,
    /// A peer, by its place in the settings.
    Peer(u16),
    /// A node, by the shard that it holds.
    Node(Shard),
}

/// What the driver tells the cache.
#[derive(Clone, Debug)]
pub enum Input {
    /// A poll's end; a text says how it failed.
    Polled(Result<News, String>),
    /// A fetch's end.
    Fetched {
        /// The volume asked for.
        volume: VolumeId,
        /// The answer, or how it failed.
        answer: Result<Cover, String>,
    },
    /// A datagram from a peer, by its place in the settings.
    Peer(u16, Vec<u8>),
    /// The time asked for has come.
    Timer,
}

/// What the cache did so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Polls begun.
    pub polls: u64,
    /// Fetches begun.
    pub fetches: u64,
    /// Polls and fetches that failed or could not be read.
    pub failed_calls: u64,
    /// Changes taken in from the stream.
    pub changes: u64,
    /// Whole resets of the stream.
    pub resets: u64,
    /// Answers that were older than what was known, and left out.
    pub stale_answers: u64,
    /// Requests that a node turned away because their data lies elsewhere.
    pub wrong_turns: u64,
    /// Of these, those whose node was behind, lied or gave no version.
    pub unfounded_hints: u64,
    /// Refreshes put off because a budget was used up.
    pub put_off: u64,
    /// Datagrams told.
    pub told: u64,
    /// Datagrams heard.
    pub heard: u64,
    /// Datagrams that could not be read.
    pub unreadable: u64,
    /// Moves heard from peers that were news.
    pub peer_news: u64,
    /// Moves that peers told and the authority never confirmed.
    pub unconfirmed: u64,
    /// Volumes that left because the map was full.
    pub left: u64,
}

struct Flight {
    key: Option<Key>,
    /// A wrong turn led to it: what it brings may be news to the peers.
    turn: bool,
    /// Another range of the volume was asked for meanwhile.
    more: bool,
}

/// A place that the authority confirmed lately.
struct Confirmed {
    until: Micros,
    volume: VolumeId,
    first: u64,
    last: u64,
    version: Version,
}

/// A front's view of where data lies.
pub struct Cache {
    cfg: Section,
    map: Map,
    /// How far the stream has come.
    at: Option<Version>,
    poll_out: bool,
    poll_at: Micros,
    poll_again: Micros,
    polls: Budget,
    loads: Budget,
    refreshes: Budget,
    budgets: HashMap<VolumeId, Budget>,
    flights: BTreeMap<VolumeId, Flight>,
    /// Volumes to be fetched once a budget allows: when at the soonest, whether whole, and whether by a wrong turn.
    wanted: BTreeMap<VolumeId, (Micros, Option<Key>, bool)>,
    fetch_again: Micros,
    confirmed: Vec<Confirmed>,
    outbox: Outbox,
    provisional: Provisional,
    save_at: Option<Micros>,
    dirty: bool,
    complaints: HashMap<Party, Micros>,
    wake: Option<Micros>,
    counters: Counters,
}

impl Cache {
    /// An empty cache at `now`.
    pub fn new(cfg: Section, now: Micros) -> Cache {
        let peers = cfg.peer_listen.is_some() && !cfg.peers.is_empty();
        Cache {
            map: Map::new(cfg.most_extents, cfg.most_volumes),
            at: None,
            poll_out: false,
            poll_at: now,
            poll_again: 0,
            polls: Budget::new(now, cfg.polls_per_s, f64::from(cfg.poll_burst)),
            loads: Budget::new(now, cfg.loads_per_s, f64::from(cfg.load_burst)),
            refreshes: Budget::new(now, cfg.refreshes_per_s, f64::from(cfg.refresh_burst)),
            budgets: HashMap::new(),
            flights: BTreeMap::new(),
            wanted: BTreeMap::new(),
            fetch_again: 0,
            confirmed: Vec::new(),
            outbox: Outbox::new(now, peers, cfg.messages_per_s),
            provisional: Provisional::default(),
            save_at: cfg
                .snapshot
                .as_ref()
                .map(|_| now + Section::micros(cfg.snapshot_every_ms)),
            dirty: false,
            complaints: HashMap::new(),
            wake: None,
            counters: Counters::default(),
            cfg,
        }
    }

    /// Takes over what a file kept; the stream goes on from there.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Unusable> {
        let mut map = Map::new(self.cfg.most_extents, self.cfg.most_volumes);
        self.at = Some(snapshot::decode(now, bytes, &mut map)?);
        self.map = map;
        Ok(())
    }

    /// What it did so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The map.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// How far the stream has come.
    pub fn version(&self) -> Option<Version> {
        self.at
    }

    /// Where a piece of data lies, as far as that is known. What is not held is fetched.
    pub fn locate(
        &mut self,
        now: Micros,
        volume: VolumeId,
        key: Key,
        out: &mut Vec<Action>,
    ) -> Place {
        let ttl = Section::micros(self.cfg.ttl_ms);
        let Some(v) = self.map.ask(now, volume) else {
            let since = self.at.map_or(0, |v| v.epoch);
            self.map.expect(now, volume, since);
            self.counters.left += self
                .map
                .shrink(|id| id == volume || self.flights.contains_key(&id))
                as u64;
            self.want(now, volume, None, false, out);
            return Place::Unknown;
        };
        let piece = v.ranges.get(key.0);
        let (whole, doubt) = (v.whole, v.doubt);
        let old = self.cfg.strategy == Strategy::Ttl
            && self
                .provisional
                .fetched(volume)
                .is_none_or(|at| now - at >= ttl);
        if !whole || doubt || old {
            self.want(now, volume, None, false, out);
        }
        match piece.shard {
            // What was told of this very range since holds, whatever is missing around it.
            Some(shard) if whole || piece.epoch > v_since(&self.map, volume) => {
                Place::At(Shard(shard))
            }
            None if whole => Place::Uncovered,
            _ => Place::Unknown,
        }
    }

    /// A node turned a request away unrun: its data lies elsewhere, the node says, as of `hint`.
    pub fn wrong_turn(
        &mut self,
        now: Micros,
        (volume, key): (VolumeId, Key),
        asked: Shard,
        hint: Option<Version>,
        out: &mut Vec<Action>,
    ) -> Turn {
        self.counters.wrong_turns += 1;
        match self.locate(now, volume, key, out) {
            Place::At(shard) if shard != asked => return Turn::At(shard),
            Place::Unknown => return Turn::Waiting,
            _ => {}
        }
        let known = self.known(volume);
        // Where the authority has just said otherwise, a newer hint is followed only as far as the volume's own budget
        // goes: data may have moved since, but a request must not wait on a node that lies.
        let spent = self
            .budgets
            .get_mut(&volume)
            .is_some_and(|b| b.next(now) > now);
        let unfounded = |h: Version| {
            let lately = self.confirmed.iter().any(|c| {
                let here = c.volume == volume && (c.first..=c.last).contains(&key.0);
                here && c.until > now && (spent || h <= c.version)
            });
            lately || known.is_some_and(|k| h <= k)
        };
        if hint.is_none_or(unfounded) {
            self.counters.unfounded_hints += 1;
            let said = hint.map_or("no version".into(), |h| h.to_string());
            self.complain(
                now,
                Party::Node(asked),
                format!("turned away what is here, with {said}"),
                out,
            );
            return Turn::Stands;
        }
        self.want(now, volume, Some(key), true, out);
        Turn::Waiting
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Polled(Ok(news)) => self.on_news(now, news, out),
            Input::Polled(Err(why)) => {
                self.poll_out = false;
                self.counters.failed_calls += 1;
                self.poll_again = (self.poll_again * 2).clamp(AGAIN_FIRST, AGAIN_LAST);
                self.poll_at = now + self.poll_again;
                self.complain(now, Party::Authority, why, out);
            }
            Input::Fetched { volume, answer } => self.on_fetched(now, volume, answer, out),
            Input::Peer(peer, bytes) => self.on_peer(now, peer, &bytes, out),
            Input::Timer => self.wake = None,
        }
        self.on_time(now, out);
    }

    /// Does what is due, and asks to be woken for the rest. Due after each [`Cache::locate`] and
    /// [`Cache::wrong_turn`] of a turn, too; [`Cache::handle`] does it itself.
    pub fn on_time(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.cfg.strategy == Strategy::Versioned && !self.poll_out && now >= self.poll_at {
            if self.polls.take(now) {
                (self.poll_out, self.poll_at) = (true, now);
                self.counters.polls += 1;
                out.push(Action::Poll {
                    from: self.at,
                    hold: Section::micros(self.cfg.hold_ms),
                });
            } else {
                self.poll_at = self.polls.next(now);
            }
        }
        self.launch(now, out);
        for (volume, since) in self.provisional.expired(now, self.poll_again == 0) {
            self.counters.unconfirmed += 1;
            self.map.doubt(volume, since);
            self.want(now, volume, None, false, out);
        }
        if let Some(incarnation) = self.at.map(|v| v.incarnation) {
            while let Some(bytes) = self.outbox.next(now, incarnation) {
                self.counters.told += 1;
                out.push(Action::Tell(bytes));
            }
        }
        if self.save_at.is_some_and(|at| now >= at) {
            self.save_at = Some(now + Section::micros(self.cfg.snapshot_every_ms));
            if let Some(version) = self.at.filter(|_| std::mem::take(&mut self.dirty)) {
                out.push(Action::Save(snapshot::encode(version, &self.map)));
            }
        }
        self.arm(now, out);
    }

    fn arm(&mut self, now: Micros, out: &mut Vec<Action>) {
        let poll =
            (self.cfg.strategy == Strategy::Versioned && !self.poll_out).then_some(self.poll_at);
        let wanted = match self.flights.len() < FLIGHTS_MOST {
            true => self
                .wanted
                .values()
                .map(|w| w.0)
                .min()
                .map(|at| at.max(self.fetch_again)),
            false => None,
        };
        let due = [
            poll,
            wanted,
            self.outbox.due(now),
            self.provisional.due(),
            self.save_at,
        ];
        let Some(at) = due.into_iter().flatten().min() else {
            return;
        };
        let at = at.max(now + 1_000);
        if self.wake.is_none_or(|w| at < w || w <= now) {
            self.wake = Some(at);
            out.push(Action::Wake(at));
        }
    }

    /// The version up to which all of a volume is known.
    fn known(&self, volume: VolumeId) -> Option<Version> {
        match self.cfg.strategy {
            Strategy::Versioned => self.at,
            _ => self.provisional.version(volume).or(self.at),
        }
    }

    // ---- the stream ------------------------------------------------------------------------------------

    fn on_news(&mut self, now: Micros, news: News, out: &mut Vec<Action>) {
        self.poll_out = false;
        let told = news.version;
        let back = self
            .at
            .is_some_and(|at| told.incarnation < at.incarnation || (told < at && !news.reset));
        let ends = news.changes.iter().map(|c| c.epoch).max().unwrap_or(0);
        let another = self.at.is_some_and(|at| told.incarnation != at.incarnation);
        let wrong = if back {
            Some(format!(
                "an answer of {told}, which is older than what is known"
            ))
        } else if another && !news.reset {
            Some(format!(
                "an answer of another incarnation, {told}, that does not start anew"
            ))
        } else if ends > told.epoch || news.changes.iter().any(|c| c.first > c.last) {
            Some(format!("an answer of {told} with changes that cannot be"))
        } else {
            None
        };
        if let Some(why) = wrong {
            self.counters.stale_answers += 1;
            self.poll_again = (self.poll_again * 2).clamp(AGAIN_FIRST, AGAIN_LAST);
            self.poll_at = now + self.poll_again;
            return self.complain(now, Party::Authority, why, out);
        }
        (self.poll_again, self.poll_at) = (0, now);
        self.dirty = true;
        if news.reset {
            return self.on_reset(now, news, out);
        }
        self.counters.changes += news.changes.len() as u64;
        for c in &news.changes {
            if self.map.change(c) {
                out.push(Action::Changed {
                    volume: c.volume,
                    first: c.first,
                    last: c.last,
                });
            }
        }
        self.reached(told);
    }

    /// The stream starts anew: after a gap that the authority does not keep, or in another of its lives.
    fn on_reset(&mut self, now: Micros, news: News, out: &mut Vec<Action>) {
        self.counters.resets += 1;
        let told = news.version;
        if self.at.is_some_and(|at| at.incarnation != told.incarnation) {
            // Epochs of another life say nothing in this one: requests wait until their volumes are fetched anew.
            self.map.clear();
            self.outbox.clear();
            self.provisional.clear();
        }
        self.map.doubt_all(told.epoch);
        if news.whole {
            let mut volumes: BTreeMap<VolumeId, Vec<Change>> = BTreeMap::new();
            for c in news.changes {
                volumes.entry(c.volume).or_default().push(c);
            }
            for (volume, mut extents) in volumes {
                extents.sort_unstable_by_key(|c| c.first);
                self.map.expect(now, volume, told.epoch);
                self.map.cover(&Cover {
                    version: told,
                    volume,
                    first: 0,
                    last: u64::MAX,
                    extents,
                });
                self.counters.left += self.map.shrink(|id| id == volume) as u64;
            }
        }
        out.push(Action::ChangedAll);
        self.reached(told);
    }

    fn reached(&mut self, version: Version) {
        self.at = Some(version);
        self.outbox.reached(version.epoch);
        self.provisional.reached(version.epoch);
        self.counters.left += self.map.shrink(|id| self.flights.contains_key(&id)) as u64;
    }

    // ---- single volumes --------------------------------------------------------------------------------

    /// Has a volume, or the range of one key, fetched: at once where the budgets allow, else as soon as they do.
    fn want(
        &mut self,
        now: Micros,
        volume: VolumeId,
        key: Option<Key>,
        turn: bool,
        out: &mut Vec<Action>,
    ) {
        if let Some(flight) = self.flights.get_mut(&volume) {
            // Single flight. A range that the call out does not bring comes after it.
            flight.more |= flight.key.is_some() && flight.key != key;
            flight.turn |= turn;
            return;
        }
        if let Some(wanted) = self.wanted.get_mut(&volume) {
            // Two ranges of one volume: the whole volume is one call.
            wanted.1 = wanted.1.filter(|k| Some(*k) == key);
            wanted.2 |= turn;
        } else if self.wanted.len() < WANTED_MOST {
            self.wanted.insert(volume, (now, key, turn));
        }
        self.launch(now, out);
    }

    /// Begins the fetches that are due and within the budgets.
    fn launch(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.fetch_again {
            return;
        }
        let due: Vec<VolumeId> = self
            .wanted
            .iter()
            .filter(|(_, w)| w.0 <= now)
            .map(|(v, _)| *v)
            .collect();
        for volume in due {
            if self.flights.len() >= FLIGHTS_MOST {
                return;
            }
            let held = self.map.get(volume).is_some_and(|v| v.whole && !v.doubt);
            // Requests cannot do without what is not held. What a wrong turn asks for is another matter: nodes may
            // be behind, or lie.
            let next = match held && self.wanted.get(&volume).is_some_and(|w| w.2) {
                true => self.refresh_at(now, volume),
                false if self.loads.take(now) => now,
                false => self.loads.next(now),
            };
            if next > now {
                self.counters.put_off += 1;
                self.wanted.entry(volume).and_modify(|w| w.0 = next);
                continue;
            }
            let Some((_, key, turn)) = self.wanted.remove(&volume) else {
                continue;
            };
            // Only a volume known in full has ranges to refresh.
            let key = key.filter(|_| held);
            self.flights.insert(
                volume,
                Flight {
                    key,
                    turn,
                    more: false,
                },
            );
            self.counters.fetches += 1;
            out.push(Action::Fetch { volume, key });
        }
    }

    /// Takes from the budgets of refreshes, where both have one left; else when to come back.
    fn refresh_at(&mut self, now: Micros, volume: VolumeId) -> Micros {
        if self.budgets.len() >= BUDGETS_MOST {
            self.budgets.retain(|_, b| !b.full(now));
            if self.budgets.len() >= BUDGETS_MOST {
                return now + AGAIN_LAST;
            }
        }
        let rate = self.cfg.volume_refreshes_per_s;
        let own = self
            .budgets
            .entry(volume)
            .or_insert_with(|| Budget::new(now, rate, 2.0));
        let next = own.next(now).max(self.refreshes.next(now));
        if next <= now {
            own.take(now);
            self.refreshes.take(now);
        }
        next
    }

    fn on_fetched(
        &mut self,
        now: Micros,
        volume: VolumeId,
        answer: Result<Cover, String>,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.remove(&volume) else {
            return;
        };
        let fit = |c: &Cover| {
            let told = c.first <= c.last && c.extents.windows(2).all(|w| w[0].last < w[1].first);
            let within = c.extents.iter().all(|e| {
                e.volume == volume && e.first <= e.last && e.first >= c.first && e.last <= c.last
            });
            let asked = flight.key.map_or(c.first == 0 && c.last == u64::MAX, |k| {
                (c.first..=c.last).contains(&k.0)
            });
            c.volume == volume && told && within && asked
        };
        let cover = match answer {
            Ok(cover) if fit(&cover) => cover,
            failed => {
                let why = failed
                    .err()
                    .unwrap_or_else(|| "an answer that was not asked for".into());
                self.counters.failed_calls += 1;
                self.fetch_again = now + AGAIN_FIRST;
                self.complain(now, Party::Authority, why, out);
                return self.later(now, volume, &flight);
            }
        };
        let older = self
            .at
            .is_some_and(|at| cover.version.incarnation < at.incarnation);
        let newer = self
            .at
            .is_some_and(|at| cover.version.incarnation > at.incarnation);
        if newer && self.cfg.strategy != Strategy::Versioned {
            // Without a stream nothing else tells of another life.
            self.map.clear();
            self.map.expect(now, volume, 0);
            self.at = None;
        } else if older || newer {
            // The stream tells first of another life; what comes of it before then fits nothing that is held.
            self.counters.stale_answers += u64::from(older);
            self.poll_at = if self.poll_out { self.poll_at } else { now };
            return self.later(now, volume, &flight);
        }
        let before = self.map.get(volume).map(|v| v.ranges.clone());
        let Some(moved) = self.map.cover(&cover) else {
            if self.map.get(volume).is_some() {
                self.counters.stale_answers += 1;
                self.later(now, volume, &flight);
            }
            return;
        };
        self.dirty = true;
        if self.at.is_none() && self.cfg.strategy != Strategy::Versioned {
            self.at = Some(cover.version);
        }
        if flight.turn && moved {
            for e in &cover.extents {
                let was = before.as_ref().and_then(|r| r.get(e.first).shard);
                if was != e.shard {
                    self.outbox.add(now, *e);
                }
            }
        }
        self.provisional.confirmed(now, volume, cover.version);
        self.confirmed.retain(|c| c.until > now);
        if self.confirmed.len() < CONFIRMED_MOST {
            let (first, last, version) = (cover.first, cover.last, cover.version);
            self.confirmed.push(Confirmed {
                until: now + CONFIRMED,
                volume,
                first,
                last,
                version,
            });
        }
        out.push(Action::Changed {
            volume,
            first: cover.first,
            last: cover.last,
        });
        self.counters.left +=
            self.map
                .shrink(|id| id == volume || self.flights.contains_key(&id)) as u64;
        if flight.more {
            self.want(now, volume, None, flight.turn, out);
        }
    }

    /// Puts a fetch that brought nothing back in line, after a while.
    fn later(&mut self, now: Micros, volume: VolumeId, flight: &Flight) {
        if self.map.get(volume).is_some() && self.wanted.len() < WANTED_MOST {
            let key = flight.key.filter(|_| !flight.more);
            self.wanted
                .insert(volume, (now + AGAIN_FIRST, key, flight.turn));
        }
    }

    // ---- peers -----------------------------------------------------------------------------------------

    fn on_peer(&mut self, now: Micros, peer: u16, bytes: &[u8], out: &mut Vec<Action>) {
        self.counters.heard += 1;
        let (incarnation, changes) = match datagram::decode(bytes) {
            Ok(news) => news,
            Err(why) => {
                self.counters.unreadable += 1;
                return self.complain(now, Party::Peer(peer), why.to_string(), out);
            }
        };
        // Of another life of the authority: the stream will tell of it.
        let Some(at) = self.at.filter(|at| at.incarnation == incarnation) else {
            return;
        };
        for c in changes.iter().filter(|c| c.epoch > at.epoch) {
            if self.map.change(c) {
                self.counters.peer_news += 1;
                self.provisional.add(now + UNCONFIRMED, c);
                out.push(Action::Changed {
                    volume: c.volume,
                    first: c.first,
                    last: c.last,
                });
            }
        }
    }

    fn complain(&mut self, now: Micros, who: Party, why: String, out: &mut Vec<Action>) {
        let quiet = self
            .complaints
            .get(&who)
            .is_some_and(|at| now - at < COMPLAIN);
        if !quiet {
            if self.complaints.len() >= WANTED_MOST {
                self.complaints.clear();
            }
            self.complaints.insert(who, now);
            out.push(Action::Complain { who, why });
        }
    }

    /// Volumes whose fetch is out or waits, for tests and figures.
    pub fn pending(&self) -> BTreeSet<VolumeId> {
        self.flights
            .keys()
            .chain(self.wanted.keys())
            .copied()
            .collect()
    }
}

fn v_since(map: &Map, volume: VolumeId) -> u64 {
    map.get(volume).map_or(u64::MAX, |v| v.since)
}
