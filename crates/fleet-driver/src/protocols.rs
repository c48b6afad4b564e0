//! The queues between the driver and the protocols: a bounded inbox for each protocol, and one bounded queue of what they send.

use lupinrack_fleet::{Endpoint, FleetState, Message, Output};
use lupinrack_peer_transport::stream::SendError;
use lupinrack_peer_transport::Tag;
use lupinrack_policy::Micros;
use std::collections::VecDeque;
use tokio::sync::{mpsc, watch};

/// Capacity of a protocol's inbox. Messages from datagrams are dropped while half of it is taken; streams are paused while three
/// quarters are taken.
const INBOX_CAPACITY: usize = 256;
/// Capacity of the queue of what all protocols send. While it is full, [`ProtocolHandle::send`] waits and
/// [`ProtocolHandle::try_send`] fails.
const OUTGOING_CAPACITY: usize = 256;
/// Messages kept for a protocol whose inbox is full; they enter it before newer ones.
const MAX_OVERFLOW: usize = 4096;

/// What a protocol receives.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// A message from the same protocol at another front.
    Message(Message),
    /// The protocol's message by a stream to a front ended, by the number that the protocol gave it: delivered (true), or lost as far
    /// as is known.
    StreamEnded(u16, u64, bool),
    /// A front was heard under a new process incarnation.
    Restarted(u16),
}

/// What a protocol sends.
#[derive(Debug)]
pub enum Outgoing {
    /// A payload in one datagram, which may get lost.
    Datagram(u16, Vec<u8>),
    /// A message by a stream; [`Incoming::StreamEnded`] returns the number.
    Stream(u16, u64, Vec<u8>),
}

/// A protocol's connection to the driver.
pub struct ProtocolHandle {
    /// What the protocol receives.
    pub incoming: mpsc::Receiver<Incoming>,
    /// The state of the fleet; none before the driver runs.
    pub fleet_state: watch::Receiver<Option<FleetState>>,
    tag: Tag,
    outgoing: mpsc::Sender<(Tag, Outgoing)>,
}

impl ProtocolHandle {
    /// Sends; waits while the queue is full. Returns false if the driver has ended.
    pub async fn send(&self, outgoing: Outgoing) -> bool {
        self.outgoing.send((self.tag, outgoing)).await.is_ok()
    }

    /// Sends unless the queue is full or the driver has ended.
    pub fn try_send(&self, outgoing: Outgoing) -> bool {
        self.outgoing.try_send((self.tag, outgoing)).is_ok()
    }
}

struct Protocol {
    tag: Tag,
    inbox: mpsc::Sender<Incoming>,
    overflow: VecDeque<Incoming>,
    /// Messages in flight by streams: the front, the stream's number and the protocol's own number. The streams bound their count.
    in_flight: Vec<(u16, u32, u64)>,
}

impl Protocol {
    fn flush_overflow(&mut self) {
        while let Some(first) = self.overflow.pop_front() {
            if let Err(mpsc::error::TrySendError::Full(first)) = self.inbox.try_send(first) {
                self.overflow.push_front(first);
                break;
            }
        }
    }

    fn deliver(&mut self, incoming: Incoming) {
        self.flush_overflow();
        let lossy = matches!(&incoming, Incoming::Message(m) if !m.streamed);
        if lossy && (self.inbox.capacity() < INBOX_CAPACITY / 2 || !self.overflow.is_empty()) {
            return;
        }
        let undelivered = match self.overflow.is_empty() {
            true => match self.inbox.try_send(incoming) {
                Err(mpsc::error::TrySendError::Full(incoming)) => Some(incoming),
                _ => None,
            },
            false => Some(incoming),
        };
        if self.overflow.len() < MAX_OVERFLOW {
            self.overflow.extend(undelivered);
        }
    }
}

/// Both ends of the queue of what protocols send.
type OutgoingQueue = (
    mpsc::Sender<(Tag, Outgoing)>,
    mpsc::Receiver<(Tag, Outgoing)>,
);

/// All attached protocols.
#[derive(Default)]
pub(crate) struct Protocols {
    attached: Vec<Protocol>,
    outgoing: Option<OutgoingQueue>,
    fleet_state: Option<watch::Sender<Option<FleetState>>>,
}

impl Protocols {
    pub(crate) fn attach(&mut self, tag: Tag) -> ProtocolHandle {
        let (inbox, incoming) = mpsc::channel(INBOX_CAPACITY);
        let outgoing = self
            .outgoing
            .get_or_insert_with(|| mpsc::channel(OUTGOING_CAPACITY))
            .0
            .clone();
        let fleet_state = self
            .fleet_state
            .get_or_insert_with(|| watch::channel(None).0)
            .subscribe();
        self.attached.retain(|p| p.tag != tag);
        self.attached.push(Protocol {
            tag,
            inbox,
            overflow: VecDeque::new(),
            in_flight: Vec::new(),
        });
        ProtocolHandle {
            incoming,
            fleet_state,
            tag,
            outgoing,
        }
    }

    /// Waits for the next thing that a protocol sends; forever if none is attached.
    pub(crate) async fn next_outgoing(&mut self) -> (Tag, Outgoing) {
        match &mut self.outgoing {
            Some((_, outgoing)) => match outgoing.recv().await {
                Some(outgoing) => outgoing,
                None => std::future::pending().await,
            },
            None => std::future::pending().await,
        }
    }

    /// The next thing that a protocol sends, if one is queued.
    pub(crate) fn try_next_outgoing(&mut self) -> Option<(Tag, Outgoing)> {
        self.outgoing.as_mut()?.1.try_recv().ok()
    }

    pub(crate) fn send(
        &mut self,
        now: Micros,
        (tag, outgoing): (Tag, Outgoing),
        endpoint: &mut Endpoint,
        out: &mut Vec<Output>,
    ) {
        match outgoing {
            Outgoing::Datagram(to, bytes) => drop(endpoint.send(now, to, tag, &bytes, out)),
            Outgoing::Stream(to, own_number, bytes) => {
                let Some(protocol) = self.attached.iter_mut().find(|p| p.tag == tag) else {
                    return;
                };
                let mut stream_out = Vec::new();
                match endpoint.send_stream(now, to, tag, bytes, &mut stream_out) {
                    Ok(number) => protocol.in_flight.push((to, number, own_number)),
                    Err(SendError::QueueFull | SendError::InvalidLength) => {
                        protocol.deliver(Incoming::StreamEnded(to, own_number, false))
                    }
                }
                // Handled only after the number is recorded, in case the message has already ended.
                out.append(&mut stream_out);
            }
        }
    }

    /// Pauses the streams of protocols whose inbox is nearly full and resumes those of the others.
    pub(crate) fn update_stream_pauses(&mut self, endpoint: &mut Endpoint) {
        for protocol in &mut self.attached {
            protocol.flush_overflow();
            endpoint.set_streams_paused(
                protocol.tag,
                protocol.inbox.capacity() < INBOX_CAPACITY / 4 || !protocol.overflow.is_empty(),
            );
        }
    }

    /// The process incarnation of this front has changed: all messages in flight by streams are lost.
    pub(crate) fn on_own_restart(&mut self) {
        for protocol in &mut self.attached {
            let lost = std::mem::take(&mut protocol.in_flight);
            lost.into_iter().for_each(|(to, _, own_number)| {
                protocol.deliver(Incoming::StreamEnded(to, own_number, false))
            });
        }
    }

    pub(crate) fn deliver(&mut self, output: Output) {
        match output {
            Output::Message(message) => {
                let tag = message.tag;
                let protocol = self.attached.iter_mut().find(|p| p.tag == tag);
                protocol
                    .into_iter()
                    .for_each(|p| p.deliver(Incoming::Message(message.clone())));
            }
            Output::StreamEnded(to, tag, number, delivered) => {
                let Some(protocol) = self.attached.iter_mut().find(|p| p.tag == tag) else {
                    return;
                };
                if let Some(index) = protocol
                    .in_flight
                    .iter()
                    .position(|m| (m.0, m.1) == (to, number))
                {
                    let own_number = protocol.in_flight.swap_remove(index).2;
                    protocol.deliver(Incoming::StreamEnded(to, own_number, delivered));
                }
            }
            Output::Restarted(front) => self
                .attached
                .iter_mut()
                .for_each(|p| p.deliver(Incoming::Restarted(front))),
            Output::Send(..) | Output::Answer(_) | Output::Event(_) => {}
        }
    }

    /// Publishes the state of the fleet if it changed.
    pub(crate) fn publish_fleet_state(&self, fleet_state: impl FnOnce() -> FleetState) {
        if let Some(sender) = &self.fleet_state {
            let current = Some(fleet_state());
            sender.send_if_modified(|published| {
                *published != current && std::mem::replace(published, current.clone()) != current
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lupinrack_fleet_membership::config::{Peer, Section};

    fn endpoint(process_incarnation: u64) -> Endpoint {
        let address = |i: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 1 + i));
        let member = (0..3)
            .map(|i| Peer {
                name: format!("n{i}"),
                address: address(i),
            })
            .collect();
        let section = Section {
            enabled: true,
            name: "n0".into(),
            member,
            ..Section::default()
        };
        Endpoint::new(&section, 0, process_incarnation, 1, 1_000_000_000)
    }

    #[test]
    fn own_restart_reports_messages_in_flight_as_lost_by_their_own_numbers() {
        let mut protocols = Protocols::default();
        let mut handle = protocols.attach(Tag::REGISTRY);
        let (mut endpoint, mut out) = (endpoint(7), Vec::new());
        for own_number in [41, 42] {
            let outgoing = Outgoing::Stream(1, own_number, vec![1; 300]);
            protocols.send(
                1_000_000_000,
                (Tag::REGISTRY, outgoing),
                &mut endpoint,
                &mut out,
            );
        }
        protocols.on_own_restart();
        assert_eq!(
            handle.incoming.try_recv(),
            Ok(Incoming::StreamEnded(1, 41, false))
        );
        assert_eq!(
            handle.incoming.try_recv(),
            Ok(Incoming::StreamEnded(1, 42, false))
        );
        // The next process incarnation reuses the streams' numbers; they must not match earlier messages.
        protocols.deliver(Output::StreamEnded(1, Tag::REGISTRY, 1, true));
        assert!(handle.incoming.try_recv().is_err());
    }

    #[test]
    fn full_inbox_drops_datagrams_but_no_stream_ends() {
        let mut protocols = Protocols::default();
        let mut handle = protocols.attach(Tag::OVERLOAD);
        let message = Message {
            from: 1,
            tag: Tag::OVERLOAD,
            bytes: vec![1],
            streamed: false,
        };
        (0..2 * INBOX_CAPACITY).for_each(|_| protocols.deliver(Output::Message(message.clone())));
        protocols.attached[0].in_flight = (0..INBOX_CAPACITY as u32)
            .map(|n| (1, n, u64::from(n)))
            .collect();
        (0..INBOX_CAPACITY as u32)
            .for_each(|n| protocols.deliver(Output::StreamEnded(1, Tag::OVERLOAD, n, true)));
        let (mut datagrams, mut ends) = (0, 0);
        while let Ok(incoming) = handle.incoming.try_recv() {
            datagrams += u32::from(matches!(incoming, Incoming::Message(_)));
            ends += u32::from(matches!(incoming, Incoming::StreamEnded(..)));
            protocols.attached[0].flush_overflow();
        }
        assert!(
            datagrams as usize <= INBOX_CAPACITY / 2 + 1 && ends as usize == INBOX_CAPACITY,
            "{datagrams}, {ends}"
        );
    }
}
