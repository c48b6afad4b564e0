//! The extent cache: what a front knows about the location of data, and how it keeps that knowledge current. A state
//! machine without I/O or clock: the driver passes in the time and [`Input`]s and carries out [`Action`]s.
//!
//! Three sources update one map: the authority's stream of changes (polls from a version on), fetches of single
//! volumes or key ranges, and updates from peers. For each key the change with the highest epoch wins, so the order of
//! arrival does not matter.
//!
//! Storage nodes are not a source. A node that rejects a request because its data is elsewhere sends a version as a
//! hint that something changed, without the change itself. The cache fetches the range in response only if the hint is
//! newer than everything known, with a single fetch in flight for a volume, and within one budget for each volume and
//! one for all.

use crate::config::{Section, Strategy};
use crate::datagram;
use crate::map::Map;
use crate::peers::{ConfirmationTracker, Outbox};
use crate::protocol::{Change, FetchResponse, PollResponse, Version};
use crate::snapshot::{self, DecodeError};
use crate::token_bucket::TokenBucket;
use lupinrack_policy::{Key, Micros, Shard, VolumeId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Fetches in flight at once.
pub const MAX_IN_FLIGHT_FETCHES: usize = 64;
/// Volumes queued for a fetch. A volume beyond this limit is queued by a later request for it.
pub const MAX_QUEUED_FETCHES: usize = 4_096;
/// Volumes with a refresh budget of their own. At this limit, the budgets that are full again are dropped: a new one
/// starts full as well.
const MAX_VOLUME_BUDGETS: usize = 4_096;
/// First and longest delay before a failed poll is repeated. Failed fetches are always repeated after the first delay.
const MIN_RETRY_BACKOFF_US: Micros = 100_000;
const MAX_RETRY_BACKOFF_US: Micros = 2_000_000;
/// How long a fetch protects its range from hints: those not newer than the fetch are ignored, and newer ones too once
/// the volume's refresh budget is empty.
const FETCH_PROTECTION_US: Micros = 500_000;
/// Fetched ranges that are protected from hints at once.
const MAX_PROTECTED_RANGES: usize = 64;
/// A change received from a peer that the stream has not confirmed after this time causes a fetch of its volume.
const CONFIRMATION_TIMEOUT_US: Micros = 5_000_000;
/// At most one warning about each source in this time.
const WARNING_INTERVAL_US: Micros = 1_000_000;

/// Where a piece of data is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// On this shard.
    OnShard(Shard),
    /// No extent covers it: the shard named by the client applies.
    Uncovered,
    /// Not known yet; [`Action::Changed`] follows once it is.
    Unknown,
}

/// What to do with a request that a node rejected because its data is elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reroute {
    /// Send it to this shard: the map was updated after the request had been sent.
    To(Shard),
    /// Wait: the range is being refreshed, and [`Action::Changed`] follows.
    Pending,
    /// Keep the shard: the hint is missing, not newer than what is known, or over budget.
    Unchanged,
}

/// What the driver carries out for the cache.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the authority for the changes since a version. Always answered by [`Input::Polled`].
    Poll {
        /// The last version received; `None` asks for the full map.
        from: Option<Version>,
        /// How long the authority may hold the poll while there are no changes.
        hold: Micros,
    },
    /// Ask the authority for a volume, or for the extent of one key. Always answered by [`Input::Fetched`].
    Fetch {
        /// The volume.
        volume: VolumeId,
        /// The key; `None` fetches the complete volume.
        key: Option<Key>,
    },
    /// A range changed or was confirmed: locate the open requests in it again.
    Changed {
        /// The volume.
        volume: VolumeId,
        /// The first key.
        first: u64,
        /// The last key.
        last: u64,
    },
    /// Everything may have changed: locate all open requests again.
    ChangedAll,
    /// Send this datagram to each peer.
    SendToPeers(Vec<u8>),
    /// Write these bytes to the snapshot file.
    Save(Vec<u8>),
    /// Pass [`Input::Timer`] at this time.
    Wake(Micros),
    /// Log a warning; at most one per second for each source.
    Warn {
        /// Whose message or answer is at fault.
        source: Source,
        /// What is wrong with it.
        reason: String,
    },
}

/// The process that a warning is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The extent authority.
    Authority,
    /// A peer, by its index in the settings.
    Peer(u16),
    /// A storage node, by its shard.
    Node(Shard),
}

/// What the driver passes to the cache.
#[derive(Clone, Debug)]
pub enum Input {
    /// The result of a poll; the error is a text for the log.
    Polled(Result<PollResponse, String>),
    /// The result of a fetch.
    Fetched {
        /// The volume of the [`Action::Fetch`].
        volume: VolumeId,
        /// The response; the error is a text for the log.
        answer: Result<FetchResponse, String>,
    },
    /// A datagram from a peer, by the peer's index in the settings.
    PeerUpdate(u16, Vec<u8>),
    /// The time of an [`Action::Wake`] has come.
    Timer,
}

/// Event counters since the cache was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Polls started.
    pub polls: u64,
    /// Fetches started.
    pub fetches: u64,
    /// Polls and fetches that failed, or whose answer was malformed.
    pub failed_calls: u64,
    /// Changes received on the stream.
    pub changes: u64,
    /// Resets of the stream.
    pub resets: u64,
    /// Answers ignored because they are older than what is known.
    pub stale_answers: u64,
    /// Requests that a node rejected because their data is elsewhere.
    #[serde(rename = "wrong_turns")]
    pub wrong_shard_rejections: u64,
    /// Of these, the ones ignored because their hint is missing, not newer than what is known, or over budget.
    #[serde(rename = "unfounded_hints")]
    pub ignored_hints: u64,
    /// Fetches deferred because a budget was empty.
    #[serde(rename = "put_off")]
    pub deferred_fetches: u64,
    /// Datagrams sent to the peers.
    #[serde(rename = "told")]
    pub datagrams_sent: u64,
    /// Datagrams received from peers.
    #[serde(rename = "heard")]
    pub datagrams_received: u64,
    /// Datagrams received that are malformed.
    #[serde(rename = "unreadable")]
    pub malformed_datagrams: u64,
    /// Changes received from peers that changed the map.
    #[serde(rename = "peer_news")]
    pub peer_changes: u64,
    /// Changes received from peers that the authority did not confirm in time.
    pub unconfirmed: u64,
    /// Volumes evicted because the map was full.
    #[serde(rename = "left")]
    pub evicted_volumes: u64,
}

struct InFlightFetch {
    /// The requested key; `None`: the complete volume.
    key: Option<Key>,
    /// A node's rejection caused the fetch: moves found by it are sent to the peers.
    after_rejection: bool,
    /// Another range of the volume was requested after the fetch had started.
    other_range_requested: bool,
}

/// A range fetched from the authority lately, protected from hints.
struct ProtectedRange {
    until: Micros,
    volume: VolumeId,
    first: u64,
    last: u64,
    version: Version,
}

/// A front's cache of extents.
pub struct Cache {
    config: Section,
    map: Map,
    /// The version up to which the stream was received. Without a stream, that of the first fetch.
    stream_version: Option<Version>,
    poll_in_flight: bool,
    next_poll_at: Micros,
    /// Zero unless the last poll failed.
    poll_backoff: Micros,
    poll_budget: TokenBucket,
    /// For fetches of volumes that are incomplete or may be stale, and for all others that no rejection caused.
    load_budget: TokenBucket,
    /// For fetches caused by rejections, all volumes together. Covers volumes that are complete and not stale.
    refresh_budget: TokenBucket,
    /// For fetches caused by rejections, of each volume.
    volume_budgets: HashMap<VolumeId, TokenBucket>,
    in_flight: BTreeMap<VolumeId, InFlightFetch>,
    /// Volumes that wait for a fetch. For each, the earliest time of the fetch, its key (`None`: the complete volume),
    /// and whether a rejection caused it.
    queued: BTreeMap<VolumeId, (Micros, Option<Key>, bool)>,
    /// No fetch starts before this time, because one failed.
    fetch_backoff_until: Micros,
    protected: Vec<ProtectedRange>,
    outbox: Outbox,
    confirmations: ConfirmationTracker,
    /// `None` without a snapshot file.
    next_save_at: Option<Micros>,
    /// The map has changed since the last snapshot.
    dirty: bool,
    last_warnings: HashMap<Source, Micros>,
    /// The time of the last [`Action::Wake`].
    wake_at: Option<Micros>,
    counters: Counters,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(config: Section, now: Micros) -> Cache {
        let has_peers = config.peer_listen.is_some() && !config.peers.is_empty();
        Cache {
            map: Map::new(config.most_extents, config.most_volumes),
            stream_version: None,
            poll_in_flight: false,
            next_poll_at: now,
            poll_backoff: 0,
            poll_budget: TokenBucket::new(now, config.polls_per_s, f64::from(config.poll_burst)),
            load_budget: TokenBucket::new(now, config.loads_per_s, f64::from(config.load_burst)),
            refresh_budget: TokenBucket::new(
                now,
                config.refreshes_per_s,
                f64::from(config.refresh_burst),
            ),
            volume_budgets: HashMap::new(),
            in_flight: BTreeMap::new(),
            queued: BTreeMap::new(),
            fetch_backoff_until: 0,
            protected: Vec::new(),
            outbox: Outbox::new(now, has_peers, config.messages_per_s),
            confirmations: ConfirmationTracker::default(),
            next_save_at: config
                .snapshot
                .as_ref()
                .map(|_| now + Section::micros(config.snapshot_every_ms)),
            dirty: false,
            last_warnings: HashMap::new(),
            wake_at: None,
            counters: Counters::default(),
            config,
        }
    }

    /// Replaces the map by the contents of a snapshot file. The stream continues from the version of the snapshot.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DecodeError> {
        let mut map = Map::new(self.config.most_extents, self.config.most_volumes);
        self.stream_version = Some(snapshot::decode(now, bytes, &mut map)?);
        self.map = map;
        Ok(())
    }

    /// The event counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The cached extents.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// The version up to which the stream was received. Without a stream, that of the first fetch.
    pub fn version(&self) -> Option<Version> {
        self.stream_version
    }

    /// Returns where a piece of data is. Queues a fetch if its volume is not cached completely, may be stale, or is
    /// older than the TTL of the strategy `ttl`.
    pub fn locate(
        &mut self,
        now: Micros,
        volume: VolumeId,
        key: Key,
        out: &mut Vec<Action>,
    ) -> Location {
        let ttl = Section::micros(self.config.ttl_ms);
        let Some(cached) = self.map.touch(now, volume) else {
            let min_epoch = self.stream_version.map_or(0, |v| v.epoch);
            self.map.add_pending(now, volume, min_epoch);
            self.counters.evicted_volumes += self
                .map
                .evict(|id| id == volume || self.in_flight.contains_key(&id))
                as u64;
            self.request_fetch(now, volume, None, false, out);
            return Location::Unknown;
        };
        let range = cached.ranges.get(key.0);
        let (complete, may_be_stale) = (cached.complete, cached.may_be_stale);
        let expired = self.config.strategy == Strategy::Ttl
            && self
                .confirmations
                .fetched_at(volume)
                .is_none_or(|at| now - at >= ttl);
        if !complete || may_be_stale || expired {
            self.request_fetch(now, volume, None, false, out);
        }
        match range.shard {
            // A change received since the volume was added is valid even while the rest of the volume is missing.
            Some(shard) if complete || range.epoch > min_fetch_epoch(&self.map, volume) => {
                Location::OnShard(Shard(shard))
            }
            None if complete => Location::Uncovered,
            _ => Location::Unknown,
        }
    }

    /// Handles a node's rejection of a request, which did not run: according to the node, the data is not on the shard
    /// `sent_to`, as of version `hint`. Queues a fetch of the key's range if the hint is newer than what is known.
    pub fn on_wrong_shard(
        &mut self,
        now: Micros,
        (volume, key): (VolumeId, Key),
        sent_to: Shard,
        hint: Option<Version>,
        out: &mut Vec<Action>,
    ) -> Reroute {
        self.counters.wrong_shard_rejections += 1;
        match self.locate(now, volume, key, out) {
            Location::OnShard(shard) if shard != sent_to => return Reroute::To(shard),
            Location::Unknown => return Reroute::Pending,
            _ => {}
        }
        let known = self.known_version(volume);
        // For a range that the authority has just confirmed, newer hints are followed only while the volume's own
        // budget lasts: the data may have moved since, but a request must not wait because of a faulty node.
        let budget_empty = self
            .volume_budgets
            .get_mut(&volume)
            .is_some_and(|budget| budget.next_token_at(now) > now);
        let ignored = |hint: Version| {
            let protected = self.protected.iter().any(|range| {
                let covers = range.volume == volume && (range.first..=range.last).contains(&key.0);
                covers && range.until > now && (budget_empty || hint <= range.version)
            });
            protected || known.is_some_and(|known| hint <= known)
        };
        if hint.is_none_or(ignored) {
            self.counters.ignored_hints += 1;
            let hint_text = hint.map_or("no version".into(), |hint| hint.to_string());
            self.warn(
                now,
                Source::Node(sent_to),
                format!("turned away what is here, with {hint_text}"),
                out,
            );
            return Reroute::Unchanged;
        }
        self.request_fetch(now, volume, Some(key), true, out);
        Reroute::Pending
    }

    /// Handles one input, then runs what is due.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Polled(Ok(response)) => self.on_poll_response(now, response, out),
            Input::Polled(Err(reason)) => {
                self.poll_in_flight = false;
                self.counters.failed_calls += 1;
                self.poll_backoff =
                    (self.poll_backoff * 2).clamp(MIN_RETRY_BACKOFF_US, MAX_RETRY_BACKOFF_US);
                self.next_poll_at = now + self.poll_backoff;
                self.warn(now, Source::Authority, reason, out);
            }
            Input::Fetched { volume, answer } => self.on_fetch_response(now, volume, answer, out),
            Input::PeerUpdate(peer, bytes) => self.on_peer_update(now, peer, &bytes, out),
            Input::Timer => self.wake_at = None,
        }
        self.run_due(now, out);
    }

    /// Starts the polls, fetches, datagrams and saves that are due, and requests a wake-up for the next ones.
    ///
    /// [`Cache::handle`] calls it. A caller of [`Cache::locate`] or [`Cache::on_wrong_shard`] calls it once after a
    /// series of them.
    pub fn run_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.config.strategy == Strategy::Versioned
            && !self.poll_in_flight
            && now >= self.next_poll_at
        {
            if self.poll_budget.try_take(now) {
                (self.poll_in_flight, self.next_poll_at) = (true, now);
                self.counters.polls += 1;
                out.push(Action::Poll {
                    from: self.stream_version,
                    hold: Section::micros(self.config.hold_ms),
                });
            } else {
                self.next_poll_at = self.poll_budget.next_token_at(now);
            }
        }
        self.start_due_fetches(now, out);
        // While polls fail, no unconfirmed change expires, because the peers may know more than this front.
        for (volume, min_epoch) in self.confirmations.take_expired(now, self.poll_backoff == 0) {
            self.counters.unconfirmed += 1;
            self.map.mark_stale(volume, min_epoch);
            self.request_fetch(now, volume, None, false, out);
        }
        if let Some(incarnation) = self.stream_version.map(|v| v.incarnation) {
            while let Some(bytes) = self.outbox.next_datagram(now, incarnation) {
                self.counters.datagrams_sent += 1;
                out.push(Action::SendToPeers(bytes));
            }
        }
        if self.next_save_at.is_some_and(|at| now >= at) {
            self.next_save_at = Some(now + Section::micros(self.config.snapshot_every_ms));
            if let Some(version) = self
                .stream_version
                .filter(|_| std::mem::take(&mut self.dirty))
            {
                out.push(Action::Save(snapshot::encode(version, &self.map)));
            }
        }
        self.schedule_wake(now, out);
    }

    /// Requests a wake-up at the earliest due time, unless one is pending that is early enough.
    fn schedule_wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        let poll_at = (self.config.strategy == Strategy::Versioned && !self.poll_in_flight)
            .then_some(self.next_poll_at);
        let fetch_at = match self.in_flight.len() < MAX_IN_FLIGHT_FETCHES {
            true => self
                .queued
                .values()
                .map(|queued| queued.0)
                .min()
                .map(|at| at.max(self.fetch_backoff_until)),
            false => None,
        };
        let due = [
            poll_at,
            fetch_at,
            self.outbox.next_send_at(now),
            self.confirmations.next_expiry(),
            self.next_save_at,
        ];
        let Some(at) = due.into_iter().flatten().min() else {
            return;
        };
        let at = at.max(now + 1_000);
        if self
            .wake_at
            .is_none_or(|wake_at| at < wake_at || wake_at <= now)
        {
            self.wake_at = Some(at);
            out.push(Action::Wake(at));
        }
    }

    /// The version up to which every change of a volume is known.
    fn known_version(&self, volume: VolumeId) -> Option<Version> {
        match self.config.strategy {
            Strategy::Versioned => self.stream_version,
            _ => self
                .confirmations
                .fetched_version(volume)
                .or(self.stream_version),
        }
    }

    // ---- the stream ------------------------------------------------------------------------------------

    /// Applies the answer to a poll. An answer that goes back in time or contradicts itself is ignored, and the poll
    /// repeated after a backoff.
    fn on_poll_response(&mut self, now: Micros, response: PollResponse, out: &mut Vec<Action>) {
        self.poll_in_flight = false;
        let version = response.version;
        let is_older = self.stream_version.is_some_and(|known| {
            version.incarnation < known.incarnation || (version < known && !response.reset)
        });
        let last_epoch = response.changes.iter().map(|c| c.epoch).max().unwrap_or(0);
        let other_incarnation = self
            .stream_version
            .is_some_and(|known| version.incarnation != known.incarnation);
        let fault = if is_older {
            Some(format!(
                "an answer of {version}, which is older than what is known"
            ))
        } else if other_incarnation && !response.reset {
            Some(format!(
                "answer of another incarnation, {version}, is not a reset"
            ))
        } else if last_epoch > version.epoch || response.changes.iter().any(|c| c.first > c.last) {
            Some(format!(
                "answer of {version} has a change with a later epoch or an invalid key range"
            ))
        } else {
            None
        };
        if let Some(reason) = fault {
            self.counters.stale_answers += 1;
            self.poll_backoff =
                (self.poll_backoff * 2).clamp(MIN_RETRY_BACKOFF_US, MAX_RETRY_BACKOFF_US);
            self.next_poll_at = now + self.poll_backoff;
            return self.warn(now, Source::Authority, reason, out);
        }
        (self.poll_backoff, self.next_poll_at) = (0, now);
        self.dirty = true;
        if response.reset {
            return self.on_reset(now, response, out);
        }
        self.counters.changes += response.changes.len() as u64;
        for change in &response.changes {
            if self.map.apply_change(change) {
                out.push(Action::Changed {
                    volume: change.volume,
                    first: change.first,
                    last: change.last,
                });
            }
        }
        self.advance_stream(version);
    }

    /// Restarts the stream: the authority no longer keeps the changes since the polled version, or has another
    /// incarnation.
    fn on_reset(&mut self, now: Micros, response: PollResponse, out: &mut Vec<Action>) {
        self.counters.resets += 1;
        let version = response.version;
        if self
            .stream_version
            .is_some_and(|known| known.incarnation != version.incarnation)
        {
            // Epochs of different incarnations cannot be compared, so the map is dropped. Requests wait until their
            // volumes are fetched.
            self.map.clear();
            self.outbox.clear();
            self.confirmations.clear();
        }
        self.map.mark_all_stale(version.epoch);
        if response.full_map {
            let mut volumes: BTreeMap<VolumeId, Vec<Change>> = BTreeMap::new();
            for change in response.changes {
                volumes.entry(change.volume).or_default().push(change);
            }
            for (volume, mut extents) in volumes {
                extents.sort_unstable_by_key(|extent| extent.first);
                self.map.add_pending(now, volume, version.epoch);
                self.map.apply_fetch(&FetchResponse {
                    version,
                    volume,
                    first: 0,
                    last: u64::MAX,
                    extents,
                });
                self.counters.evicted_volumes += self.map.evict(|id| id == volume) as u64;
            }
        }
        out.push(Action::ChangedAll);
        self.advance_stream(version);
    }

    /// Records that every change up to a version was received. Changes up to it need no confirmation and are not sent
    /// to the peers, which receive the same stream.
    fn advance_stream(&mut self, version: Version) {
        self.stream_version = Some(version);
        self.outbox.discard_up_to(version.epoch);
        self.confirmations.confirm_up_to(version.epoch);
        self.counters.evicted_volumes +=
            self.map.evict(|id| self.in_flight.contains_key(&id)) as u64;
    }

    // ---- single volumes --------------------------------------------------------------------------------

    /// Queues the fetch of a volume, or of one key's range, and starts it if the budgets allow it now.
    fn request_fetch(
        &mut self,
        now: Micros,
        volume: VolumeId,
        key: Option<Key>,
        after_rejection: bool,
        out: &mut Vec<Action>,
    ) {
        if let Some(fetch) = self.in_flight.get_mut(&volume) {
            // One fetch in flight for a volume. A range that it does not return is fetched afterwards.
            fetch.other_range_requested |= fetch.key.is_some() && fetch.key != key;
            fetch.after_rejection |= after_rejection;
            return;
        }
        if let Some(queued) = self.queued.get_mut(&volume) {
            // For two ranges of one volume, the complete volume is fetched: a single call.
            queued.1 = queued.1.filter(|queued_key| Some(*queued_key) == key);
            queued.2 |= after_rejection;
        } else if self.queued.len() < MAX_QUEUED_FETCHES {
            self.queued.insert(volume, (now, key, after_rejection));
        }
        self.start_due_fetches(now, out);
    }

    /// Starts the queued fetches that are due and within the budgets, and defers those that are over budget.
    fn start_due_fetches(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.fetch_backoff_until {
            return;
        }
        let due: Vec<VolumeId> = self
            .queued
            .iter()
            .filter(|(_, queued)| queued.0 <= now)
            .map(|(volume, _)| *volume)
            .collect();
        for volume in due {
            if self.in_flight.len() >= MAX_IN_FLIGHT_FETCHES {
                return;
            }
            let is_current = self
                .map
                .get(volume)
                .is_some_and(|v| v.complete && !v.may_be_stale);
            // Requests cannot proceed without a volume that is missing or stale. Refreshes caused by rejections have
            // budgets of their own, because nodes may be behind or send wrong hints.
            let start_at =
                match is_current && self.queued.get(&volume).is_some_and(|queued| queued.2) {
                    true => self.take_refresh_token(now, volume),
                    false if self.load_budget.try_take(now) => now,
                    false => self.load_budget.next_token_at(now),
                };
            if start_at > now {
                self.counters.deferred_fetches += 1;
                self.queued
                    .entry(volume)
                    .and_modify(|queued| queued.0 = start_at);
                continue;
            }
            let Some((_, key, after_rejection)) = self.queued.remove(&volume) else {
                continue;
            };
            // A single range can be refreshed only in a volume that is otherwise known completely.
            let key = key.filter(|_| is_current);
            self.in_flight.insert(
                volume,
                InFlightFetch {
                    key,
                    after_rejection,
                    other_range_requested: false,
                },
            );
            self.counters.fetches += 1;
            out.push(Action::Fetch { volume, key });
        }
    }

    /// Takes a token from the volume's refresh budget and one from the common one if both have one, and returns `now`.
    /// Otherwise takes none and returns when to try again.
    fn take_refresh_token(&mut self, now: Micros, volume: VolumeId) -> Micros {
        if self.volume_budgets.len() >= MAX_VOLUME_BUDGETS {
            self.volume_budgets.retain(|_, budget| !budget.is_full(now));
            if self.volume_budgets.len() >= MAX_VOLUME_BUDGETS {
                return now + MAX_RETRY_BACKOFF_US;
            }
        }
        let rate = self.config.volume_refreshes_per_s;
        let volume_budget = self
            .volume_budgets
            .entry(volume)
            .or_insert_with(|| TokenBucket::new(now, rate, 2.0));
        let next = volume_budget
            .next_token_at(now)
            .max(self.refresh_budget.next_token_at(now));
        if next <= now {
            volume_budget.try_take(now);
            self.refresh_budget.try_take(now);
        }
        next
    }

    /// Applies the answer to a fetch. After a failure, or an answer that cannot be used, the fetch is repeated.
    fn on_fetch_response(
        &mut self,
        now: Micros,
        volume: VolumeId,
        answer: Result<FetchResponse, String>,
        out: &mut Vec<Action>,
    ) {
        let Some(fetch) = self.in_flight.remove(&volume) else {
            return;
        };
        let is_valid = |response: &FetchResponse| {
            let ordered = response.first <= response.last
                && response
                    .extents
                    .windows(2)
                    .all(|pair| pair[0].last < pair[1].first);
            let within = response.extents.iter().all(|extent| {
                extent.volume == volume
                    && extent.first <= extent.last
                    && extent.first >= response.first
                    && extent.last <= response.last
            });
            let answers_fetch = fetch
                .key
                .map_or(response.first == 0 && response.last == u64::MAX, |key| {
                    (response.first..=response.last).contains(&key.0)
                });
            response.volume == volume && ordered && within && answers_fetch
        };
        let response = match answer {
            Ok(response) if is_valid(&response) => response,
            failed => {
                let reason = failed.err().unwrap_or_else(|| {
                    "fetch answer has invalid extents or does not match the request".into()
                });
                self.counters.failed_calls += 1;
                self.fetch_backoff_until = now + MIN_RETRY_BACKOFF_US;
                self.warn(now, Source::Authority, reason, out);
                return self.retry_fetch(now, volume, &fetch);
            }
        };
        let older = self
            .stream_version
            .is_some_and(|known| response.version.incarnation < known.incarnation);
        let newer = self
            .stream_version
            .is_some_and(|known| response.version.incarnation > known.incarnation);
        if newer && self.config.strategy != Strategy::Versioned {
            // Without a stream, only a fetch can reveal another incarnation.
            self.map.clear();
            self.map.add_pending(now, volume, 0);
            self.stream_version = None;
        } else if older || newer {
            // With a stream, its reset switches the map to another incarnation. Until then, an answer of that
            // incarnation cannot be merged with the map.
            self.counters.stale_answers += u64::from(older);
            self.next_poll_at = if self.poll_in_flight {
                self.next_poll_at
            } else {
                now
            };
            return self.retry_fetch(now, volume, &fetch);
        }
        let before = self.map.get(volume).map(|v| v.ranges.clone());
        let Some(moved) = self.map.apply_fetch(&response) else {
            if self.map.get(volume).is_some() {
                self.counters.stale_answers += 1;
                self.retry_fetch(now, volume, &fetch);
            }
            return;
        };
        self.dirty = true;
        if self.stream_version.is_none() && self.config.strategy != Strategy::Versioned {
            self.stream_version = Some(response.version);
        }
        if fetch.after_rejection && moved {
            for extent in &response.extents {
                let shard_before = before
                    .as_ref()
                    .and_then(|ranges| ranges.get(extent.first).shard);
                if shard_before != extent.shard {
                    self.outbox.add(now, *extent);
                }
            }
        }
        self.confirmations
            .record_fetch(now, volume, response.version);
        self.protected.retain(|range| range.until > now);
        if self.protected.len() < MAX_PROTECTED_RANGES {
            let (first, last, version) = (response.first, response.last, response.version);
            self.protected.push(ProtectedRange {
                until: now + FETCH_PROTECTION_US,
                volume,
                first,
                last,
                version,
            });
        }
        out.push(Action::Changed {
            volume,
            first: response.first,
            last: response.last,
        });
        self.counters.evicted_volumes +=
            self.map
                .evict(|id| id == volume || self.in_flight.contains_key(&id)) as u64;
        if fetch.other_range_requested {
            self.request_fetch(now, volume, None, fetch.after_rejection, out);
        }
    }

    /// Queues a fetch without a usable answer again, after a delay. Drops it if the volume was evicted
    /// meanwhile or the queue is full.
    fn retry_fetch(&mut self, now: Micros, volume: VolumeId, fetch: &InFlightFetch) {
        if self.map.get(volume).is_some() && self.queued.len() < MAX_QUEUED_FETCHES {
            let key = fetch.key.filter(|_| !fetch.other_range_requested);
            self.queued.insert(
                volume,
                (now + MIN_RETRY_BACKOFF_US, key, fetch.after_rejection),
            );
        }
    }

    // ---- peers -----------------------------------------------------------------------------------------

    /// Applies the changes of a peer's datagram that are newer than the stream. They count as unconfirmed until the
    /// stream reaches their epoch.
    fn on_peer_update(&mut self, now: Micros, peer: u16, bytes: &[u8], out: &mut Vec<Action>) {
        self.counters.datagrams_received += 1;
        let (incarnation, changes) = match datagram::decode(bytes) {
            Ok(update) => update,
            Err(error) => {
                self.counters.malformed_datagrams += 1;
                return self.warn(now, Source::Peer(peer), error.to_string(), out);
            }
        };
        // Changes of another incarnation are ignored: a reset of the stream will bring them.
        let Some(known) = self
            .stream_version
            .filter(|known| known.incarnation == incarnation)
        else {
            return;
        };
        for change in changes.iter().filter(|c| c.epoch > known.epoch) {
            if self.map.apply_change(change) {
                self.counters.peer_changes += 1;
                self.confirmations
                    .add_unconfirmed(now + CONFIRMATION_TIMEOUT_US, change);
                out.push(Action::Changed {
                    volume: change.volume,
                    first: change.first,
                    last: change.last,
                });
            }
        }
    }

    /// Emits a warning, unless there was one about the same source within [`WARNING_INTERVAL_US`].
    fn warn(&mut self, now: Micros, source: Source, reason: String, out: &mut Vec<Action>) {
        let suppressed = self
            .last_warnings
            .get(&source)
            .is_some_and(|at| now - at < WARNING_INTERVAL_US);
        if !suppressed {
            if self.last_warnings.len() >= MAX_QUEUED_FETCHES {
                self.last_warnings.clear();
            }
            self.last_warnings.insert(source, now);
            out.push(Action::Warn { source, reason });
        }
    }

    /// Volumes with a fetch queued or in flight, for tests and statistics.
    pub fn pending(&self) -> BTreeSet<VolumeId> {
        self.in_flight
            .keys()
            .chain(self.queued.keys())
            .copied()
            .collect()
    }
}

/// The lowest epoch of a fetch answer that cannot lack a change of the volume. `u64::MAX` for a volume that is not cached.
fn min_fetch_epoch(map: &Map, volume: VolumeId) -> u64 {
    map.get(volume).map_or(u64::MAX, |v| v.min_fetch_epoch)
}
