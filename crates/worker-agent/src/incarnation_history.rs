//! Which heartbeats are the living server's.
//!
//! One server stands beside the agent, but its lives follow each other, and a heartbeat may arrive after its sender's
//! end. To take a dead life for a new one would make the owner give up the runs of the living. So where there is a life
//! that has not left, another identity is believed only when that one is silent and this one beats again; it is asked to
//! do so soon.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::identity::ServerId;
use std::collections::VecDeque;

/// How many earlier lives of the server are remembered.
const PAST_INCARNATIONS_MOST: usize = 16;

/// What to make of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is the newest of the living server.
    Newest,
    /// It is of another life, which has yet to show that it lives.
    Unconfirmed,
    /// It is late, repeated, or of a life that is over.
    Late,
}

/// A life and the sequence number of its newest heartbeat.
#[derive(Clone, Debug)]
struct Seen {
    server: ServerId,
    sequence: u64,
}

impl Seen {
    fn precedes(&self, beat: &Heartbeat) -> bool {
        self.server == beat.server && self.sequence < beat.sequence
    }
}

/// The lives of the server other than the present one.
#[derive(Clone, Debug, Default)]
pub struct Lives {
    past: VecDeque<Seen>,
    /// Lives that drained and then left: they are over.
    left: VecDeque<ServerId>,
    /// Lives that said that they leave while this agent knew nothing of them: they may serve on.
    announced: VecDeque<ServerId>,
    unconfirmed: Option<Seen>,
}

impl Lives {
    /// Judges a heartbeat. `newest` is the last one of the present life, if there is one; `silent` says whether that life
    /// has missed its time to beat.
    pub fn judge(
        &mut self,
        beat: &Heartbeat,
        newest: Option<&Heartbeat>,
        silent: bool,
    ) -> Standing {
        let standing = match newest {
            Some(newest) if newest.server == beat.server => {
                sequence_standing(beat, newest.sequence)
            }
            Some(_) => self.standing_of_other(beat, silent),
            None => self.standing_without_present(beat),
        };
        match standing {
            Standing::Newest => self.unconfirmed = None,
            Standing::Unconfirmed => self.unconfirmed = Some(seen(beat)),
            Standing::Late => {}
        }
        standing
    }

    /// Notes that a life seems to be over, by its newest heartbeat.
    pub fn end(&mut self, newest: &Heartbeat) {
        self.past.retain(|past| past.server != newest.server);
        push_bounded(&mut self.past, seen(newest));
    }

    /// Notes that a life has left, having drained; nothing that it sent counts any more.
    pub fn leave(&mut self, server: &ServerId) {
        if !self.left.contains(server) {
            push_bounded(&mut self.left, server.clone());
        }
    }

    /// Notes that a life other than the present one has said that it leaves.
    pub fn announce_leave(&mut self, server: ServerId) {
        if !self.left.contains(&server) && !self.announced.contains(&server) {
            push_bounded(&mut self.announced, server);
        }
    }

    /// Whether a life has said that it leaves when it was not the present one.
    pub fn has_announced_leave(&self, server: &ServerId) -> bool {
        self.announced.contains(server)
    }

    /// The lives that left in order, the latest last.
    pub fn left(&self) -> impl Iterator<Item = &ServerId> {
        self.left.iter()
    }

    fn standing_of_other(&self, beat: &Heartbeat, silent: bool) -> Standing {
        if self.is_over(beat) {
            return Standing::Late;
        }
        let again = self
            .unconfirmed
            .as_ref()
            .is_some_and(|first| first.precedes(beat));
        if silent && again {
            Standing::Newest
        } else {
            Standing::Unconfirmed
        }
    }

    fn standing_without_present(&self, beat: &Heartbeat) -> Standing {
        let known = self.past.iter().any(|past| past.server == beat.server);
        if known {
            return self.standing_of_other(beat, true);
        }
        if self.is_over(beat) {
            Standing::Late
        } else {
            Standing::Newest
        }
    }

    /// Whether the heartbeat is of a life that left, or older than one that was taken of a past life.
    fn is_over(&self, beat: &Heartbeat) -> bool {
        let past = self.past.iter().find(|past| past.server == beat.server);
        self.left.contains(&beat.server) || past.is_some_and(|past| !past.precedes(beat))
    }
}

fn sequence_standing(beat: &Heartbeat, newest: u64) -> Standing {
    if beat.sequence > newest {
        Standing::Newest
    } else {
        Standing::Late
    }
}

fn seen(beat: &Heartbeat) -> Seen {
    Seen {
        server: beat.server.clone(),
        sequence: beat.sequence,
    }
}

fn push_bounded<T>(list: &mut VecDeque<T>, item: T) {
    list.push_back(item);
    if list.len() > PAST_INCARNATIONS_MOST {
        list.pop_front();
    }
}
