//! The endpoint of one front in its fleet: the membership, streams, and message delivery between a protocol here and the same
//! protocol at other fronts.
//!
//! A protocol is a state machine without I/O. It receives messages ([`Message`]) and the state of the fleet ([`FleetState`]). It
//! sends by [`Endpoint::send`], which takes up to [`Endpoint::max_payload_bytes`] bytes and may lose them, or by
//! [`Endpoint::send_stream`], which takes up to 64 KiB and delivers them exactly once or reports them as lost. The driver, the
//! simulation and the tests run the same code.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

use lupinrack_fleet_membership::agreement::ViewNumber;
use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::share::Share;
use lupinrack_fleet_membership::{Event, Front, Output as FrontOutput, Source, Status};
use lupinrack_peer_transport::frame::Tag;
use lupinrack_peer_transport::stream::{self, SendError, Streams};
use lupinrack_policy::{Micros, QuotaShares, VolumeId};

/// The state of the fleet as this front sees it, for its protocols.
///
/// It may be outdated when it is read. What may be used is checked by [`Share::at`] at the moment of use.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetState {
    /// The index of this front.
    pub me: u16,
    /// The number of fronts in the roster.
    pub front_count: u16,
    /// The process incarnation of this front.
    pub process_incarnation: u64,
    /// How this front takes part in the fleet.
    pub participation: Participation,
    /// The number of the view accepted last.
    pub view_number: ViewNumber,
    /// The members of that view.
    pub members: FrontSet,
    /// The fronts that are present as far as this front knows, itself included.
    pub present: FrontSet,
    /// What this front may use of limits that all fronts share.
    pub share: Share,
    /// Whether this front leads.
    pub leads: bool,
}

/// A message from a protocol at another front to the same protocol here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: u16,
    /// The protocol.
    pub tag: Tag,
    /// The payload.
    pub bytes: Vec<u8>,
    /// Whether it arrived by a stream, which loses nothing silently and keeps the order.
    pub streamed: bool,
}

/// What a call asks the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to a member.
    Send(u16, Vec<u8>),
    /// Send a datagram back to the source of the one just received.
    Answer(Vec<u8>),
    /// Report an event to the operators.
    Event(Event),
    /// Deliver a message to a local protocol.
    Message(Message),
    /// A local protocol's message by a stream to a front ended, by its number: delivered (true), or lost as far as is known.
    StreamEnded(u16, Tag, u32, bool),
    /// A member was heard under a new process incarnation, which has none of the messages sent to the previous one.
    Restarted(u16),
}

/// One process incarnation of one front.
pub struct Endpoint {
    front: Front,
    streams: Streams,
    front_outputs: Vec<FrontOutput>,
    stream_outputs: Vec<stream::Output>,
}

impl Endpoint {
    /// An endpoint that starts at `now`. `process_incarnation` must be above every earlier one of this name; `seed` must be new.
    pub fn new(
        section: &Section,
        me: u16,
        process_incarnation: u64,
        seed: u64,
        now: Micros,
    ) -> Endpoint {
        let front = Front::new(section, me, process_incarnation, seed, now);
        let streams = Streams::new(front.max_payload_bytes(), seed.rotate_left(17));
        Endpoint {
            front,
            streams,
            front_outputs: Vec::new(),
            stream_outputs: Vec::new(),
        }
    }

    /// How often [`Endpoint::tick`] has to be called.
    pub fn tick_interval(&self) -> Micros {
        self.front.tick_interval()
    }

    /// The most bytes of a payload in one datagram.
    pub fn max_payload_bytes(&self) -> usize {
        self.front.max_payload_bytes()
    }

    /// Records that this front served a volume whose requests are spread over `hosts` fronts.
    pub fn record_served(&mut self, now: Micros, volume: VolumeId, hosts: f64) {
        self.front.record_served(now, volume, hosts);
    }

    /// Begins to leave the fleet.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.front.leave(now, &mut self.front_outputs);
        self.forward(now, out);
    }

    /// The shares of the fleet's limits that the request engine may use.
    pub fn quota_shares(&self, now: Micros) -> QuotaShares {
        self.front.quota_shares(now)
    }

    /// What the membership knows.
    pub fn status(&self, now: Micros) -> Status<'_> {
        self.front.status(now)
    }

    /// The state of the fleet for the protocols.
    pub fn fleet_state(&self, now: Micros) -> FleetState {
        let (status, mut share) = (self.front.status(now), self.front.share(now));
        // Without a lease the state does not change with time, so that subscribers are not notified at every tick.
        share.valid_until = if share.valid_until > now {
            share.valid_until
        } else {
            0
        };
        let present = status
            .members
            .iter()
            .enumerate()
            .filter(|(i, m)| *i == usize::from(status.me) || m.state.is_present());
        FleetState {
            me: status.me,
            front_count: status.members.len() as u16,
            process_incarnation: status.process_incarnation,
            participation: status.participation,
            view_number: status.view.number,
            members: status.view.members,
            present: present.map(|(i, _)| i as u16).collect(),
            share,
            leads: status.leads,
        }
    }

    /// Sends a payload to a protocol at another front, once. Returns false if it cannot be sent now: the process incarnation of that
    /// front is not known, the payload is too long, or the budget is used up.
    pub fn send(
        &mut self,
        now: Micros,
        to: u16,
        tag: Tag,
        payload: &[u8],
        out: &mut Vec<Output>,
    ) -> bool {
        let allowed =
            tag != Tag::MEMBERSHIP && self.front.may_send_payload(now, to, tag, payload.len());
        if allowed {
            self.front
                .send_payload(to, tag, payload, &mut self.front_outputs);
            self.forward(now, out);
        }
        allowed
    }

    /// Sends a message that is longer than a datagram or must not get lost silently. Its number returns in
    /// [`Output::StreamEnded`].
    pub fn send_stream(
        &mut self,
        now: Micros,
        to: u16,
        tag: Tag,
        bytes: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<u32, SendError> {
        let number = self.streams.send(now, to, tag, bytes)?;
        self.send_segments(now, out);
        Ok(number)
    }

    /// Pauses or resumes the streams to a local protocol. While they are paused, their senders retransmit.
    pub fn set_streams_paused(&mut self, tag: Tag, paused: bool) {
        self.streams.set_paused(tag, paused);
    }

    /// Receives a datagram.
    pub fn receive(&mut self, now: Micros, source: Source, bytes: &[u8], out: &mut Vec<Output>) {
        self.front
            .receive(now, source, bytes, &mut self.front_outputs);
        self.forward(now, out);
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.front.tick(now, &mut self.front_outputs);
        self.forward(now, out);
        self.send_segments(now, out);
    }

    /// Sends the segments of streams that are due.
    fn send_segments(&mut self, now: Micros, out: &mut Vec<Output>) {
        let front = &mut self.front;
        self.streams.tick(
            now,
            |to, bytes| front.may_send_payload(now, to, Tag::STREAM, bytes),
            &mut self.stream_outputs,
        );
        for output in std::mem::take(&mut self.stream_outputs) {
            match output {
                stream::Output::Segment(to, payload) => {
                    self.front
                        .send_payload(to, Tag::STREAM, &payload, &mut self.front_outputs)
                }
                other => self.forward_stream(other, out),
            }
        }
        self.forward(now, out);
    }

    fn forward_stream(&mut self, output: stream::Output, out: &mut Vec<Output>) {
        match output {
            stream::Output::Received(from, tag, bytes) => {
                out.push(Output::Message(Message {
                    from,
                    tag,
                    bytes,
                    streamed: true,
                }));
            }
            stream::Output::Delivered(to, tag, number) => {
                out.push(Output::StreamEnded(to, tag, number, true))
            }
            stream::Output::Lost(to, tag, number) => {
                out.push(Output::StreamEnded(to, tag, number, false))
            }
            stream::Output::Segment(..) => {}
        }
    }

    /// Handles the outputs of the membership.
    fn forward(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut stream_received = false;
        for output in std::mem::take(&mut self.front_outputs) {
            match output {
                FrontOutput::Send(to, bytes) => out.push(Output::Send(to, bytes)),
                FrontOutput::Answer(bytes) => out.push(Output::Answer(bytes)),
                FrontOutput::Event(event) => out.push(Output::Event(event)),
                FrontOutput::Deliver(from, Tag::STREAM, payload) => {
                    let mut stream_outputs = Vec::new();
                    self.streams
                        .receive(now, from, &payload, &mut stream_outputs);
                    for stream_output in stream_outputs {
                        match stream_output {
                            // An acknowledgement above the budget is dropped, as if the network had lost it.
                            stream::Output::Segment(to, payload) => {
                                if self
                                    .front
                                    .may_send_payload(now, to, Tag::STREAM, payload.len())
                                {
                                    self.front.send_payload(
                                        to,
                                        Tag::STREAM,
                                        &payload,
                                        &mut self.front_outputs,
                                    );
                                }
                            }
                            other => self.forward_stream(other, out),
                        }
                    }
                    stream_received = true;
                }
                FrontOutput::Deliver(from, tag, bytes) => {
                    out.push(Output::Message(Message {
                        from,
                        tag,
                        bytes,
                        streamed: false,
                    }));
                }
                FrontOutput::Restarted(front) => {
                    let mut stream_outputs = Vec::new();
                    self.streams.on_restart(now, front, &mut stream_outputs);
                    stream_outputs
                        .into_iter()
                        .for_each(|output| self.forward_stream(output, out));
                    out.push(Output::Restarted(front));
                }
            }
        }
        // Acknowledgements go out now, and so do segments that an acknowledgement made room for; neither waits for the next tick.
        if stream_received {
            self.send_segments(now, out);
        }
    }
}
