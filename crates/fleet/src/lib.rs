//! One front's end of the fleet: the membership, streams, and the way of every other machine to the same machine at other fronts.
//!
//! A machine never sees a socket. It is told what others say to it ([`Said`]) and how this front stands ([`Standing`]), and says what
//! it has to say by [`Hub::say`] (up to [`Hub::room`] bytes, and it may be lost) or [`Hub::stream`] (up to 64 KiB, once and whole, or
//! told as lost). The driver, the lab and the tests run the same.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use lupinrack_fleet_membership::agreement::ViewNumber;
use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::share::Share;
use lupinrack_fleet_membership::{Event, Front, Output, Source, Status};
use lupinrack_peer_transport::frame::Tag;
use lupinrack_peer_transport::stream::{self, Refused, Streams};
use lupinrack_policy::{Micros, QuotaShares, VolumeId};

/// How this front stands in its fleet, as every machine sees it. It may be old by the time that it is read: what may be used is
/// checked by [`Share::at`] at the moment of the act.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Its index.
    pub me: u16,
    /// Fronts of the roster.
    pub fronts: u16,
    /// Its life.
    pub life: u64,
    /// Towards the others.
    pub stance: Participation,
    /// The view accepted last.
    pub view: ViewNumber,
    /// Who is in that view.
    pub members: FrontSet,
    /// Who is there as far as this front knows, itself included.
    pub there: FrontSet,
    /// What it may use of whatever all fronts share.
    pub share: Share,
    /// Whether it leads.
    pub leads: bool,
}

/// What another front's machine says to the same machine here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// Whose.
    pub from: u16,
    /// Which machine.
    pub tag: Tag,
    /// What it says.
    pub bytes: Vec<u8>,
    /// It came by a stream: it was not lost, and comes in order.
    pub streamed: bool,
}

/// What a step brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// A datagram to a member.
    Send(u16, Vec<u8>),
    /// A datagram back to where one came from.
    Answer(Vec<u8>),
    /// Something that operators are told of.
    Event(Event),
    /// For a machine here.
    Said(Said),
    /// A machine's message by a stream came whole to the other end (true), or was lost as far as is known.
    Ended(u16, Tag, u32, bool),
    /// Another life of a member is heard: it knows nothing of what was said to the one before.
    Reborn(u16),
}

/// One life of one front.
pub struct Hub {
    front: Front,
    streams: Streams,
    outs: Vec<Output>,
    pieces: Vec<stream::Out>,
}

impl Hub {
    /// A life that begins now. `life` must be above that of every earlier one of this name, `seed` new.
    pub fn new(section: &Section, me: u16, life: u64, seed: u64, now: Micros) -> Hub {
        let front = Front::new(section, me, life, seed, now);
        let streams = Streams::new(front.max_payload_bytes(), seed.rotate_left(17));
        Hub {
            front,
            streams,
            outs: Vec::new(),
            pieces: Vec::new(),
        }
    }

    /// How often [`Hub::tick`] is to be called.
    pub fn step(&self) -> Micros {
        self.front.tick_interval()
    }

    /// How many bytes a machine may say in one datagram.
    pub fn room(&self) -> usize {
        self.front.max_payload_bytes()
    }

    /// This front served a volume that works through this many fronts.
    pub fn serves(&mut self, now: Micros, volume: VolumeId, hosts: f64) {
        self.front.record_served(now, volume, hosts);
    }

    /// It is told to end.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.front.leave(now, &mut self.outs);
        self.carry(now, out);
    }

    /// What the module may use.
    pub fn rights(&self, now: Micros) -> QuotaShares {
        self.front.quota_shares(now)
    }

    /// What the membership knows.
    pub fn told(&self, now: Micros) -> Status<'_> {
        self.front.status(now)
    }

    /// What every machine sees.
    pub fn standing(&self, now: Micros) -> Standing {
        let (told, mut share) = (self.front.status(now), self.front.share(now));
        // One that holds nothing stays as it is until it does.
        share.valid_until = if share.valid_until > now {
            share.valid_until
        } else {
            0
        };
        let there = told
            .members
            .iter()
            .enumerate()
            .filter(|(i, m)| *i == usize::from(told.me) || m.state.is_present());
        Standing {
            me: told.me,
            fronts: told.members.len() as u16,
            life: told.process_incarnation,
            stance: told.participation,
            view: told.view.number,
            members: told.view.members,
            there: there.map(|(i, _)| i as u16).collect(),
            share,
            leads: told.leads,
        }
    }

    /// Says something to a front's machine, once; false where it may not go now: to nobody that is met, too long, or over budget.
    pub fn say(
        &mut self,
        now: Micros,
        to: u16,
        tag: Tag,
        bytes: &[u8],
        out: &mut Vec<Out>,
    ) -> bool {
        let may = tag != Tag::MEMBERSHIP && self.front.may_send_payload(now, to, tag, bytes.len());
        if may {
            self.front.send_payload(to, tag, bytes, &mut self.outs);
            self.carry(now, out);
        }
        may
    }

    /// Says something longer, or that must not be lost; the number comes back with its end ([`Out::Ended`]).
    pub fn stream(
        &mut self,
        now: Micros,
        to: u16,
        tag: Tag,
        bytes: Vec<u8>,
        out: &mut Vec<Out>,
    ) -> Result<u32, Refused> {
        let number = self.streams.send(now, to, tag, bytes)?;
        self.flow(now, out);
        Ok(number)
    }

    /// Whether a machine takes no more messages by streams for now; their senders try again.
    pub fn deaf(&mut self, tag: Tag, deaf: bool) {
        self.streams.deaf(tag, deaf);
    }

    /// Takes a datagram.
    pub fn datagram(&mut self, now: Micros, source: Source, bytes: &[u8], out: &mut Vec<Out>) {
        self.front.receive(now, source, bytes, &mut self.outs);
        self.carry(now, out);
    }

    /// Carries on at a moment.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.front.tick(now, &mut self.outs);
        self.carry(now, out);
        self.flow(now, out);
    }

    /// Has pieces of streams go that are due.
    fn flow(&mut self, now: Micros, out: &mut Vec<Out>) {
        let front = &mut self.front;
        self.streams.tick(
            now,
            |to, bytes| front.may_send_payload(now, to, Tag::STREAM, bytes),
            &mut self.pieces,
        );
        for piece in std::mem::take(&mut self.pieces) {
            match piece {
                stream::Out::Piece(to, body) => {
                    self.front
                        .send_payload(to, Tag::STREAM, &body, &mut self.outs)
                }
                other => self.ended(other, out),
            }
        }
        self.carry(now, out);
    }

    fn ended(&mut self, what: stream::Out, out: &mut Vec<Out>) {
        match what {
            stream::Out::Came(from, tag, bytes) => {
                out.push(Out::Said(Said {
                    from,
                    tag,
                    bytes,
                    streamed: true,
                }));
            }
            stream::Out::Done(to, tag, number) => out.push(Out::Ended(to, tag, number, true)),
            stream::Out::Lost(to, tag, number) => out.push(Out::Ended(to, tag, number, false)),
            stream::Out::Piece(..) => {}
        }
    }

    /// Hands on what the membership brought.
    fn carry(&mut self, now: Micros, out: &mut Vec<Out>) {
        let mut went = false;
        for o in std::mem::take(&mut self.outs) {
            match o {
                Output::Send(to, bytes) => out.push(Out::Send(to, bytes)),
                Output::Answer(bytes) => out.push(Out::Answer(bytes)),
                Output::Event(event) => out.push(Out::Event(event)),
                Output::Deliver(from, Tag::STREAM, body) => {
                    let mut pieces = Vec::new();
                    self.streams.hear(now, from, &body, &mut pieces);
                    for piece in pieces {
                        match piece {
                            // A word on a piece that does not go is one that was lost.
                            stream::Out::Piece(to, body) => {
                                if self
                                    .front
                                    .may_send_payload(now, to, Tag::STREAM, body.len())
                                {
                                    self.front
                                        .send_payload(to, Tag::STREAM, &body, &mut self.outs);
                                }
                            }
                            other => self.ended(other, out),
                        }
                    }
                    went = true;
                }
                Output::Deliver(from, tag, bytes) => {
                    out.push(Out::Said(Said {
                        from,
                        tag,
                        bytes,
                        streamed: false,
                    }));
                }
                Output::Restarted(of) => {
                    let mut pieces = Vec::new();
                    self.streams.reborn(now, of, &mut pieces);
                    pieces.into_iter().for_each(|p| self.ended(p, out));
                    out.push(Out::Reborn(of));
                }
            }
        }
        // Words on pieces go out with what waits behind them, which need not wait for the next tick.
        if went {
            self.flow(now, out);
        }
    }
}
