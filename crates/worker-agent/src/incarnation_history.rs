//! Decides whether a heartbeat is from the running server or from another incarnation.
//!
//! An agent serves one server, which may restart as a new incarnation, and a heartbeat may arrive after its sender has
//! ended. If the agent took a dead incarnation for a new one, the owner would give up the runs of the running one. So while
//! the current incarnation has not deregistered, another identity is accepted only when the current incarnation is overdue
//! and the other one has sent a second heartbeat. The response to its first heartbeat requests the second one soon.
//!
//! The order in which heartbeats arrive does not prove which incarnation is the later one. An earlier incarnation sent all of
//! its heartbeats before the current one sent its first, so a heartbeat proves that its sender is later only if it arrives
//! after the longest possible delay since then. Until that, the other identity waits for the end of the current
//! incarnation's lease, after which nothing runs there.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::ServerId;
use std::collections::VecDeque;

/// The largest number of earlier incarnations of the server in each list of the history.
const MAX_REMEMBERED_INCARNATIONS: usize = 16;

/// The class of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatStatus {
    /// It is the newest heartbeat of the running server.
    Current,
    /// It is from another incarnation, which has not been confirmed.
    Unconfirmed,
    /// It is late, repeated, or from an incarnation that has ended.
    Stale,
}

/// The properties of the current incarnation by which heartbeats are classified.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CurrentIncarnation<'a> {
    /// Its newest heartbeat.
    pub(crate) newest: &'a Heartbeat,
    /// Whether its next heartbeat should have arrived by now.
    pub(crate) overdue: bool,
    /// Whether accepting another incarnation now is safe: a heartbeat of an earlier one would have arrived by now, or the
    /// lease of the current one is over.
    pub(crate) is_replaceable: bool,
}

impl CurrentIncarnation<'_> {
    fn may_be_replaced(&self) -> bool {
        self.overdue && self.is_replaceable
    }
}

/// An incarnation and the sequence number of one of its heartbeats.
#[derive(Clone, Debug)]
struct SequencePoint {
    server: ServerId,
    sequence: u64,
}

impl SequencePoint {
    fn of(heartbeat: &Heartbeat) -> SequencePoint {
        SequencePoint {
            server: heartbeat.server.clone(),
            sequence: heartbeat.sequence,
        }
    }

    fn precedes(&self, heartbeat: &Heartbeat) -> bool {
        self.server == heartbeat.server && self.sequence < heartbeat.sequence
    }
}

/// The incarnations of the server other than the current one.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationHistory {
    /// The newest heartbeats of incarnations that seem to have ended.
    past: VecDeque<SequencePoint>,
    /// Departed incarnations: they drained and then deregistered, so they have certainly ended.
    departed: VecDeque<ServerId>,
    /// Incarnations that deregistered while they were not the current one: they may still serve.
    deregistered_while_not_current: VecDeque<ServerId>,
    /// The newest heartbeat of an incarnation that has not been confirmed.
    unconfirmed: Option<SequencePoint>,
}

impl IncarnationHistory {
    /// Classifies a heartbeat.
    pub(crate) fn classify(
        &mut self,
        heartbeat: &Heartbeat,
        current: Option<CurrentIncarnation<'_>>,
    ) -> HeartbeatStatus {
        let status = match current {
            Some(current) if current.newest.server == heartbeat.server => {
                status_by_sequence(heartbeat, current.newest.sequence)
            }
            Some(current) => self.status_of_other_incarnation(heartbeat, current.may_be_replaced()),
            None => self.status_without_current_incarnation(heartbeat),
        };
        match status {
            HeartbeatStatus::Current => self.unconfirmed = None,
            HeartbeatStatus::Unconfirmed => self.unconfirmed = Some(SequencePoint::of(heartbeat)),
            HeartbeatStatus::Stale => {}
        }
        status
    }

    /// Records the newest heartbeat of an incarnation that seems to have ended.
    pub(crate) fn record_past(&mut self, newest: &Heartbeat) {
        self.past.retain(|past| past.server != newest.server);
        push_bounded(&mut self.past, SequencePoint::of(newest));
    }

    /// Records that an incarnation drained and deregistered; all its later heartbeats are stale.
    pub(crate) fn record_departed(&mut self, server: &ServerId) {
        if !self.departed.contains(server) {
            push_bounded(&mut self.departed, server.clone());
        }
    }

    /// Records that an incarnation other than the current one has deregistered.
    pub(crate) fn record_deregistration_while_not_current(&mut self, server: ServerId) {
        if !self.departed.contains(&server)
            && !self.deregistered_while_not_current.contains(&server)
        {
            push_bounded(&mut self.deregistered_while_not_current, server);
        }
    }

    /// Whether an incarnation has deregistered while it was not the current one.
    pub(crate) fn deregistered_while_not_current(&self, server: &ServerId) -> bool {
        self.deregistered_while_not_current.contains(server)
    }

    /// The incarnations that drained and deregistered, the latest last.
    pub(crate) fn departed(&self) -> impl Iterator<Item = &ServerId> {
        self.departed.iter()
    }

    /// The status of a heartbeat whose incarnation is not the current one.
    fn status_of_other_incarnation(
        &self,
        heartbeat: &Heartbeat,
        may_replace_current: bool,
    ) -> HeartbeatStatus {
        if self.is_outdated(heartbeat) {
            return HeartbeatStatus::Stale;
        }
        let second_heartbeat = self
            .unconfirmed
            .as_ref()
            .is_some_and(|first| first.precedes(heartbeat));
        if may_replace_current && second_heartbeat {
            HeartbeatStatus::Current
        } else {
            HeartbeatStatus::Unconfirmed
        }
    }

    fn status_without_current_incarnation(&self, heartbeat: &Heartbeat) -> HeartbeatStatus {
        let known = self.past.iter().any(|past| past.server == heartbeat.server);
        if known {
            // A past incarnation may return in the same way as beside an overdue current one.
            return self.status_of_other_incarnation(heartbeat, true);
        }
        if self.is_outdated(heartbeat) {
            HeartbeatStatus::Stale
        } else {
            HeartbeatStatus::Current
        }
    }

    /// Whether the heartbeat is from a departed incarnation, or no newer than one that was accepted from a past incarnation.
    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        let past = self
            .past
            .iter()
            .find(|past| past.server == heartbeat.server);
        self.departed.contains(&heartbeat.server)
            || past.is_some_and(|past| !past.precedes(heartbeat))
    }
}

fn status_by_sequence(heartbeat: &Heartbeat, newest_sequence: u64) -> HeartbeatStatus {
    if heartbeat.sequence > newest_sequence {
        HeartbeatStatus::Current
    } else {
        HeartbeatStatus::Stale
    }
}

fn push_bounded<T>(list: &mut VecDeque<T>, item: T) {
    list.push_back(item);
    if list.len() > MAX_REMEMBERED_INCARNATIONS {
        list.pop_front();
    }
}
