//! Which heartbeats are the living server's.
//!
//! One server stands beside the agent, but its incarnations follow one another, and a heartbeat may arrive after its sender
//! has ended. To mistake a dead incarnation for a new one would make the owner give up the runs of the living one. So where
//! the present incarnation has not deregistered, another identity is accepted only once the present one is overdue and the
//! other has sent a second heartbeat; it is asked to do so soon.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::ServerId;
use std::collections::VecDeque;

/// How many earlier incarnations of the server are remembered, of each kind.
const MAX_REMEMBERED_INCARNATIONS: usize = 16;

/// How a heartbeat is classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatStatus {
    /// It is the newest of the living server.
    Current,
    /// It is of another incarnation, which is not confirmed yet.
    Unconfirmed,
    /// It is late, repeated, or of an incarnation that is over.
    Stale,
}

/// The present incarnation, as far as it decides about other heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PresentIncarnation<'a> {
    /// Its newest heartbeat.
    pub(crate) newest: &'a Heartbeat,
    /// Whether its next heartbeat should have arrived by now.
    pub(crate) overdue: bool,
}

/// An incarnation and the sequence number of a heartbeat of it.
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

/// The incarnations of the server other than the present one.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationHistory {
    /// The newest heartbeats of incarnations that seem to be over.
    past: VecDeque<SequencePoint>,
    /// Departed incarnations: they drained and then deregistered, and are over for certain.
    departed: VecDeque<ServerId>,
    /// Incarnations that deregistered while this agent knew nothing of them: they may still serve.
    deregistered_while_absent: VecDeque<ServerId>,
    /// The newest heartbeat of an incarnation that is not confirmed yet.
    unconfirmed: Option<SequencePoint>,
}

impl IncarnationHistory {
    /// Classifies a heartbeat.
    pub(crate) fn classify(
        &mut self,
        heartbeat: &Heartbeat,
        present: Option<PresentIncarnation<'_>>,
    ) -> HeartbeatStatus {
        let status = match present {
            Some(present) if present.newest.server == heartbeat.server => {
                status_by_sequence(heartbeat, present.newest.sequence)
            }
            Some(present) => self.status_beside_present(heartbeat, present.overdue),
            None => self.status_without_present(heartbeat),
        };
        match status {
            HeartbeatStatus::Current => self.unconfirmed = None,
            HeartbeatStatus::Unconfirmed => self.unconfirmed = Some(SequencePoint::of(heartbeat)),
            HeartbeatStatus::Stale => {}
        }
        status
    }

    /// Records that an incarnation seems to be over, by its newest heartbeat.
    pub(crate) fn record_past(&mut self, newest: &Heartbeat) {
        self.past.retain(|past| past.server != newest.server);
        push_bounded(&mut self.past, SequencePoint::of(newest));
    }

    /// Records that an incarnation drained and deregistered; nothing that it sent counts any more.
    pub(crate) fn record_departed(&mut self, server: &ServerId) {
        if !self.departed.contains(server) {
            push_bounded(&mut self.departed, server.clone());
        }
    }

    /// Records that an incarnation other than the present one has deregistered.
    pub(crate) fn record_deregistration_while_absent(&mut self, server: ServerId) {
        if !self.departed.contains(&server) && !self.deregistered_while_absent.contains(&server) {
            push_bounded(&mut self.deregistered_while_absent, server);
        }
    }

    /// Whether an incarnation has deregistered while it was not the present one.
    pub(crate) fn deregistered_while_absent(&self, server: &ServerId) -> bool {
        self.deregistered_while_absent.contains(server)
    }

    /// The incarnations that drained and deregistered, the latest last.
    pub(crate) fn departed(&self) -> impl Iterator<Item = &ServerId> {
        self.departed.iter()
    }

    /// The status of a heartbeat whose incarnation is not the present one.
    fn status_beside_present(
        &self,
        heartbeat: &Heartbeat,
        present_overdue: bool,
    ) -> HeartbeatStatus {
        if self.is_outdated(heartbeat) {
            return HeartbeatStatus::Stale;
        }
        let second_heartbeat = self
            .unconfirmed
            .as_ref()
            .is_some_and(|first| first.precedes(heartbeat));
        if present_overdue && second_heartbeat {
            HeartbeatStatus::Current
        } else {
            HeartbeatStatus::Unconfirmed
        }
    }

    fn status_without_present(&self, heartbeat: &Heartbeat) -> HeartbeatStatus {
        let known = self.past.iter().any(|past| past.server == heartbeat.server);
        if known {
            // A past incarnation may return as if the present one were overdue.
            return self.status_beside_present(heartbeat, true);
        }
        if self.is_outdated(heartbeat) {
            HeartbeatStatus::Stale
        } else {
            HeartbeatStatus::Current
        }
    }

    /// Whether the heartbeat is of an incarnation that departed, or no newer than one that was taken of a past incarnation.
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
