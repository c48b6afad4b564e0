//! What is sent: entries to the successor and to spares, and what is repeated as time goes by.

use crate::chain::Chain;
use crate::effect::Effect;
use crate::follower::{Follower, SenderState};
use crate::limits::{JOINER_SILENT_MS, JOIN_MS, PROBE_MS};
use crate::log::Log;
use crate::snapshot::SharedSnapshot;
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;

impl Chain {
    /// Repeats what was not answered, and keeps spares fed. Called about every 50 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        if self.is_member() {
            self.tick_as_member(now);
        } else {
            self.tick_as_spare(now);
        }
        self.take_effects()
    }

    /// The applied state, up to `index`, for disks that need a snapshot.
    pub fn provide_snapshot(&mut self, index: u64, bytes: Vec<u8>, now: Millis) -> Vec<Effect> {
        self.snapshot_asked = false;
        self.start_snapshot(SharedSnapshot::new(index, bytes), now);
        self.take_effects()
    }

    /// A connection to the process of a disk has ended, and what was on its way to it may be lost. The next tick sends it
    /// again.
    pub fn peer_disconnected(&mut self, disk: DiskId, now: Millis) {
        if let Some(joiner) = self.joiners.get_mut(&disk) {
            joiner.peer_disconnected(now);
        } else if let Some(successor) = self
            .successor
            .as_mut()
            .filter(|successor| successor.disk == disk)
        {
            successor.peer_disconnected(now);
        }
    }

    /// Sends a snapshot to all that wait for one.
    fn start_snapshot(&mut self, snapshot: SharedSnapshot, now: Millis) {
        for follower in self.successor.iter_mut().chain(self.joiners.values_mut()) {
            follower.start_snapshot(&snapshot, now);
        }
        self.outgoing = Some(snapshot);
        self.send_pieces(now);
    }

    fn tick_as_member(&mut self, now: Millis) {
        if !self.aligned {
            self.ask_resend(self.log.last(), now);
        }
        self.progress(now);
        self.send_pieces(now);
        self.feed_successor(now);
        self.tick_successor(now);
        self.joiners
            .retain(|_, joiner| now.since(joiner.heard_at) <= JOINER_SILENT_MS);
        let joiners: Vec<DiskId> = self.joiners.keys().copied().collect();
        for joiner in joiners {
            self.feed_joiner(joiner, false, now);
        }
        self.drop_sent_snapshot();
    }

    fn drop_sent_snapshot(&mut self) {
        let mut followers = self.successor.iter().chain(self.joiners.values());
        if !followers.any(Follower::is_sent_snapshot) {
            self.outgoing = None;
        }
    }

    fn tick_successor(&mut self, now: Millis) {
        let state = self.member_state();
        let Some(successor) = self.successor.as_mut() else {
            return;
        };
        let silent = now.since(successor.heard_at) >= PROBE_MS;
        if silent && successor.is_behind(state) {
            successor.heard_at = now;
            self.probe_successor(now);
        } else {
            self.relay_committed(now);
        }
    }

    fn tick_as_spare(&mut self, now: Millis) {
        if self.joined_at.is_some_and(|at| now.since(at) < JOIN_MS) {
            return;
        }
        if self.is_disk_settled() {
            self.join(now);
        } else if let Some(snapshot) = self.installing {
            // A slow disk may take long; the tail is to keep what follows the snapshot meanwhile.
            self.joined_at = Some(now);
            self.answer_chunk(snapshot, snapshot.chunks);
        }
    }

    /// Tells its feeder where this spare stands.
    fn join(&mut self, now: Millis) {
        self.feeder.look(now);
        let Some(feeder) = self.source() else { return };
        self.joined_at = Some(now);
        self.joined_with = self.disk.synced;
        let have = Some(self.disk.synced);
        self.send(
            feeder,
            ChainMessage::Join {
                view: self.view.number,
                disk: self.me,
                have,
            },
        );
    }

    /// Tells the tail before the time once much was synced, so that its window moves on.
    pub(crate) fn join_after_progress(&mut self, now: Millis) {
        let synced = self.log.bytes_between(self.joined_with, self.disk.synced);
        let has_joined = self.joined_at.is_some() && self.joined_with < self.disk.synced;
        if has_joined && self.is_disk_settled() && synced >= self.bytes.window / 2 {
            self.join(now);
        }
    }

    /// Whether this member sends to its successor at all.
    fn may_send(&self) -> bool {
        !self.is_head() || self.leads()
    }

    /// Sends the successor what it was not sent yet.
    pub(crate) fn feed_successor(&mut self, now: Millis) {
        let state = self.member_state();
        if !self.may_send() {
            return;
        }
        let Some(successor) = self.successor.as_mut() else {
            return;
        };
        let lacks_snapshot = feed(successor, &self.log, state, &mut self.effects, now);
        if successor.lacks_barrier(state) {
            let message = successor.probe(&self.log, state);
            self.effects.push(Effect::Send(successor.disk, message));
        }
        self.need_snapshot(lacks_snapshot, now);
    }

    /// Tells the successor what is committed where no entry has carried it.
    pub(crate) fn relay_committed(&mut self, now: Millis) {
        let state = self.member_state();
        if self
            .successor
            .as_ref()
            .is_some_and(|successor| successor.lacks_committed(state))
        {
            self.probe_successor(now);
        }
    }

    /// Sends the successor at least one message, to which it answers.
    pub(crate) fn probe_successor(&mut self, now: Millis) {
        let state = self.member_state();
        if !self.may_send() {
            return;
        }
        if let Some(successor) = self.successor.as_mut() {
            let message = successor.probe(&self.log, state);
            self.effects.push(Effect::Send(successor.disk, message));
        }
        self.feed_successor(now);
    }

    /// Sends a spare what it was not sent yet; a message in any case where `answer` is set.
    pub(crate) fn feed_joiner(&mut self, disk: DiskId, answer: bool, now: Millis) {
        let state = self.joiner_state();
        let Some(joiner) = self.joiners.get_mut(&disk) else {
            return;
        };
        if answer || joiner.lacks_committed(state) {
            let message = joiner.probe(&self.log, state);
            self.effects.push(Effect::Send(disk, message));
        }
        let lacks_snapshot = feed(joiner, &self.log, state, &mut self.effects, now);
        self.need_snapshot(lacks_snapshot, now);
    }

    /// One that is being sent already will do while the log still has what follows it.
    fn need_snapshot(&mut self, needed: bool, now: Millis) {
        if !needed {
            return;
        }
        let log = &self.log;
        if let Some(snapshot) = self
            .outgoing
            .take_if(|snapshot| snapshot.index() >= log.floor())
        {
            return self.start_snapshot(snapshot, now);
        }
        if !self.snapshot_asked {
            self.snapshot_asked = true;
            self.effects.push(Effect::NeedSnapshot);
        }
    }

    pub(crate) fn send_pieces(&mut self, now: Millis) {
        let (view, bytes) = (self.view.number, self.bytes);
        for follower in self.successor.iter_mut().chain(self.joiners.values_mut()) {
            for message in follower.next_pieces(view, &bytes, now) {
                self.effects.push(Effect::Send(follower.disk, message));
            }
        }
    }
}

/// Sends a follower entries as far as its window goes. Whether it needs a snapshot that was not asked for yet.
fn feed(
    follower: &mut Follower,
    log: &Log,
    state: SenderState,
    effects: &mut Vec<Effect>,
    now: Millis,
) -> bool {
    while let Some(message) = follower.next_entries(log, state) {
        effects.push(Effect::Send(follower.disk, message));
    }
    follower.lacks_entries(log) && follower.request_snapshot(now)
}
