//! The disks that a member feeds: its successor, and spares that join.

use crate::effect::Effect;
use crate::follower::Follower;
use crate::limits::{ByteLimits, JOINER_TIMEOUT_MS, PROBE_AFTER_MS};
use crate::log::Log;
use crate::outbox::Outbox;
use crate::sender_state::SenderState;
use crate::snapshot::SharedSnapshot;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use std::collections::BTreeMap;

/// Whether a spare is always sent a message, or only if there are new entries for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinerFeed {
    /// At least one message, as the answer to the spare's.
    Answer,
    /// Only entries and a committed index that were not sent yet.
    NewOnly,
}

/// The disks that this member feeds in the current view, and the snapshot that is shared between
/// them. A *joiner* is a spare that has sent this member a `Join`.
#[derive(Debug, Default)]
pub(crate) struct Downstream {
    successor: Option<Follower>,
    joiners: BTreeMap<DiskId, Follower>,
    /// The snapshot that is being sent.
    snapshot: Option<SharedSnapshot>,
    /// Whether a snapshot was requested from the driver.
    is_snapshot_requested: bool,
}

impl Downstream {
    /// Feeds the successor, if there is one, and no spare yet.
    pub(crate) fn to_successor(successor: Option<Follower>) -> Downstream {
        Downstream {
            successor,
            ..Downstream::default()
        }
    }

    pub(crate) fn successor(&self) -> Option<&Follower> {
        self.successor.as_ref()
    }

    /// The successor, if it is this disk.
    pub(crate) fn successor_mut(&mut self, disk: DiskId) -> Option<&mut Follower> {
        self.successor
            .as_mut()
            .filter(|successor| successor.disk == disk)
    }

    /// The spare that joins, if it is this disk.
    pub(crate) fn joiner_mut(&mut self, disk: DiskId) -> Option<&mut Follower> {
        self.joiners.get_mut(&disk)
    }

    /// The spare that joins; it is added if it was not known.
    pub(crate) fn joiner_or_insert(
        &mut self,
        disk: DiskId,
        sent: u64,
        now: Millis,
    ) -> &mut Follower {
        self.joiners
            .entry(disk)
            .or_insert_with(|| Follower::new(disk, sent, now))
    }

    /// The successor or spare that is this disk.
    pub(crate) fn follower_mut(&mut self, disk: DiskId) -> Option<&mut Follower> {
        let successor = self
            .successor
            .as_mut()
            .filter(|successor| successor.disk == disk);
        successor.or(self.joiners.get_mut(&disk))
    }

    /// The lowest index after which any disk still needs entries; none if no disk is fed.
    pub(crate) fn needs_after(&self) -> Option<u64> {
        self.followers().map(Follower::needs_after).min()
    }

    /// Notes that a connection to the process of a disk has ended.
    pub(crate) fn peer_disconnected(&mut self, disk: DiskId, now: Millis) {
        if let Some(joiner) = self.joiners.get_mut(&disk) {
            joiner.disconnected(now);
        } else if let Some(successor) = self.successor_mut(disk) {
            successor.disconnected(now);
        }
    }

    /// Sends the successor the entries that were not sent to it yet.
    pub(crate) fn feed_successor(
        &mut self,
        log: &Log,
        state: SenderState,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        let needs_snapshot = send_entries(successor, log, state, now, outbox);
        if successor.lacks_barrier(state) {
            outbox.send(successor.disk, successor.probe(log, state));
        }
        if needs_snapshot {
            self.provide_snapshot(log, state, now, outbox);
        }
    }

    /// Sends the successor at least one message, which it answers.
    pub(crate) fn probe_successor(
        &mut self,
        log: &Log,
        state: SenderState,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        if let Some(successor) = &mut self.successor {
            outbox.send(successor.disk, successor.probe(log, state));
        }
        self.feed_successor(log, state, now, outbox);
    }

    /// Whether a probe of the successor is due: an acknowledgement is outstanding, and the successor
    /// was quiet for too long. If so, the probe is noted.
    pub(crate) fn take_due_probe(&mut self, state: SenderState, now: Millis) -> bool {
        let Some(successor) = &mut self.successor else {
            return false;
        };
        let is_due = successor.quiet_ms(now) >= PROBE_AFTER_MS && successor.is_behind(state);
        if is_due {
            successor.probed(now);
        }
        is_due
    }

    /// Whether the committed index was not sent to the successor yet.
    pub(crate) fn successor_lacks_committed(&self, state: SenderState) -> bool {
        self.successor
            .as_ref()
            .is_some_and(|successor| successor.lacks_committed(state))
    }

    /// Sends a spare the entries that were not sent to it yet.
    pub(crate) fn feed_joiner(
        &mut self,
        disk: DiskId,
        feed: JoinerFeed,
        log: &Log,
        state: SenderState,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let Some(joiner) = self.joiners.get_mut(&disk) else {
            return;
        };
        if feed == JoinerFeed::Answer || joiner.lacks_committed(state) {
            outbox.send(disk, joiner.probe(log, state));
        }
        if send_entries(joiner, log, state, now, outbox) {
            self.provide_snapshot(log, state, now, outbox);
        }
    }

    /// Sends all spares the entries that were not sent to them yet, and forgets spares that timed
    /// out.
    pub(crate) fn feed_joiners(
        &mut self,
        log: &Log,
        state: SenderState,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        self.joiners
            .retain(|_, joiner| joiner.quiet_ms(now) <= JOINER_TIMEOUT_MS);
        let joiners: Vec<DiskId> = self.joiners.keys().copied().collect();
        for joiner in joiners {
            self.feed_joiner(joiner, JoinerFeed::NewOnly, log, state, now, outbox);
        }
    }

    /// Sends a snapshot to all disks that wait for one.
    pub(crate) fn start_snapshot(
        &mut self,
        snapshot: SharedSnapshot,
        state: SenderState,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        for follower in self.followers_mut() {
            follower.start_snapshot(&snapshot, now);
        }
        self.snapshot = Some(snapshot);
        self.send_chunks(state.view_number, &state.limits, now, outbox);
    }

    /// Notes that the driver has provided a snapshot.
    pub(crate) fn snapshot_provided(&mut self) {
        self.is_snapshot_requested = false;
    }

    /// Sends the next chunks of the snapshot.
    pub(crate) fn send_chunks(
        &mut self,
        view_number: u64,
        limits: &ByteLimits,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        for follower in self.followers_mut() {
            for message in follower.next_chunks(view_number, limits, now) {
                outbox.send(follower.disk, message);
            }
        }
    }

    /// Frees the snapshot once it is no longer being sent to any disk.
    pub(crate) fn drop_sent_snapshot(&mut self) {
        if !self.followers().any(Follower::is_sent_snapshot) {
            self.snapshot = None;
        }
    }

    /// Sends the snapshot that other disks are receiving already, if the log still has the entries
    /// after it; otherwise requests one from the driver.
    fn provide_snapshot(
        &mut self,
        log: &Log,
        state: SenderState,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let usable = self
            .snapshot
            .take_if(|snapshot| snapshot.index() >= log.floor());
        if let Some(snapshot) = usable {
            return self.start_snapshot(snapshot, state, now, outbox);
        }
        if !self.is_snapshot_requested {
            self.is_snapshot_requested = true;
            outbox.push(Effect::NeedSnapshot);
        }
    }

    fn followers(&self) -> impl Iterator<Item = &Follower> {
        self.successor.iter().chain(self.joiners.values())
    }

    fn followers_mut(&mut self) -> impl Iterator<Item = &mut Follower> {
        self.successor.iter_mut().chain(self.joiners.values_mut())
    }
}

/// Sends a follower entries as far as its window allows. Returns whether it needs a snapshot.
fn send_entries(
    follower: &mut Follower,
    log: &Log,
    state: SenderState,
    now: Millis,
    outbox: &mut Outbox,
) -> bool {
    while let Some(message) = follower.next_entries(log, state) {
        outbox.send(follower.disk, message);
    }
    follower.lacks_entries(log) && follower.request_snapshot(now)
}
