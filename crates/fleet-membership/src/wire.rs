//! The payload of a membership datagram: a kind, the sender's incarnation, and a body that depends on the kind.
//!
//! Integers are little-endian. A payload with bytes left over after its body is rejected.

use crate::agreement::{AgreementMessage, Promises, ProposalNumber, Renewal, View, ViewNumber};
use crate::front_set::FrontSet;
use crate::swim::{MemberState, Update};
use lupinrack_peer_transport::frame::{max_payload_bytes, open, seal, Header, Reader, Tag, Writer};
pub use lupinrack_peer_transport::frame::{
    FrameError, Key, Keys, ReplayWindow, MAX_DATAGRAM_BYTES,
};
use lupinrack_policy::Micros;

/// The largest number of volumes in one datagram.
pub const MAX_VOLUMES: usize = 24;
const UPDATE_BYTES: usize = 15;
const PROPOSAL_NUMBER_BYTES: usize = 14;
const VIEW_NUMBER_BYTES: usize = PROPOSAL_NUMBER_BYTES + 4;

/// The body of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Sent to a front whose process incarnation is not known, and as the answer to a datagram that does not address the current
    /// one of this front. Contains the highest process incarnation that the sender has accepted from the receiver; 0 for none.
    Hello(u64),
    /// A ping with a nonce, which its acknowledgement returns.
    Ping(u32, Piggyback),
    /// The acknowledgement of a ping, with how much remains of the lease on the view in the piggyback; 0 for none.
    Ack(u32, Micros, Piggyback),
    /// A piggyback without a ping.
    Push(Piggyback),
    /// A ping request: the target, and a nonce that the result returns.
    PingReq(u16, u32),
    /// The result of a ping request: whether the target acknowledged.
    PingReqResult(u32, bool),
    /// Volumes that the sender serves, with the number of its current round.
    ServedVolumes(u8, Vec<u64>),
    /// The acknowledgement that these volumes are recorded and acted on, with a mask of those that its sender serves as well;
    /// the first volume is the lowest bit.
    ServedVolumesAck(u8, Vec<u64>, u32),
    /// Another process uses the receiver's name at another address.
    NameContested,
}

/// What pings, acknowledgements and pushes carry about views and members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Piggyback {
    /// What the sender knows of views.
    pub agreement: AgreementMessage,
    /// Whether the sender leads under a proposal of its own.
    pub leads: bool,
    /// Updates about members.
    pub updates: Vec<Update>,
}

/// A membership datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// A hash of the roster's names and terms.
    pub roster_hash: u32,
    /// The sender.
    pub from: u16,
    /// Its position among the datagrams of this process incarnation of the sender.
    pub sequence: u32,
    /// The sender's process incarnation.
    pub process_incarnation: u64,
    /// The receiver's process incarnation as the sender knows it; 0 if unknown.
    pub to_process_incarnation: u64,
    /// The sender's incarnation.
    pub incarnation: u16,
    /// Its body.
    pub body: Body,
}

/// Encoding of the membership's types.
trait Encode {
    fn proposal_number(&mut self, number: &ProposalNumber);
    fn view_number(&mut self, number: &ViewNumber);
    fn volumes(&mut self, round: u8, volumes: &[u64]);
    fn piggyback(&mut self, piggyback: &Piggyback, front_count: usize, max_bytes: usize);
}

impl Encode for Writer {
    fn proposal_number(&mut self, number: &ProposalNumber) {
        self.put(number.round.to_le_bytes());
        self.put(number.proposer.to_le_bytes());
        self.put(number.process_incarnation.to_le_bytes());
    }

    fn view_number(&mut self, number: &ViewNumber) {
        self.proposal_number(&number.proposal);
        self.put(number.sequence.to_le_bytes());
    }

    fn volumes(&mut self, round: u8, volumes: &[u64]) {
        let volumes = &volumes[..volumes.len().min(MAX_VOLUMES)];
        self.put([round, volumes.len() as u8]);
        volumes
            .iter()
            .for_each(|volume| self.put(volume.to_le_bytes()));
    }

    /// Encodes as much of the piggyback as fits into `max_bytes`. Flags in the first byte say which parts follow; the view goes
    /// before the promises, the renewal and the updates.
    fn piggyback(&mut self, piggyback: &Piggyback, front_count: usize, max_bytes: usize) {
        let (agreement, set_bytes, start) =
            (&piggyback.agreement, front_count.div_ceil(8), self.0.len());
        let mut left = max_bytes.saturating_sub(1 + PROPOSAL_NUMBER_BYTES + VIEW_NUMBER_BYTES + 1);
        let mut fits = |size: usize| {
            let fits = left >= size;
            left -= if fits { size } else { 0 };
            fits
        };
        let view = agreement
            .view
            .filter(|_| fits(VIEW_NUMBER_BYTES + set_bytes));
        let promises = agreement
            .promises
            .filter(|_| fits(VIEW_NUMBER_BYTES + set_bytes));
        let renewal = agreement.renewal.filter(|_| fits(4 + set_bytes));
        let flags = [
            view.is_some(),
            promises.is_some(),
            renewal.is_some(),
            piggyback.leads,
        ];
        let flags = flags
            .iter()
            .rev()
            .fold(0_u8, |all, flag| all << 1 | u8::from(*flag));
        self.put([flags]);
        self.proposal_number(&agreement.promised);
        self.view_number(&agreement.view_number);
        if let Some(view) = view {
            self.view_number(&view.previous);
            self.0.extend(view.members.to_bytes(front_count));
        }
        if let Some(promises) = promises {
            self.view_number(&promises.highest_accepted);
            self.0.extend(promises.promised_by.to_bytes(front_count));
        }
        if let Some(renewal) = renewal {
            self.put(renewal.sequence.to_le_bytes());
            self.0.extend(renewal.acknowledged_by.to_bytes(front_count));
        }
        let max_updates = (max_bytes - (self.0.len() - start) - 1) / UPDATE_BYTES;
        let updates = &piggyback.updates[..piggyback.updates.len().min(max_updates)];
        self.put([updates.len() as u8]);
        for update in updates {
            self.put(update.front.to_le_bytes());
            self.put([update.state as u8]);
            self.put(update.process_incarnation.to_le_bytes());
            self.put(update.incarnation.to_le_bytes());
            self.put(update.reported_by.to_le_bytes());
        }
    }
}

/// Decoding of the membership's types.
trait Decode {
    fn volumes(&mut self) -> Option<Vec<u64>>;
    fn proposal_number(&mut self) -> Option<ProposalNumber>;
    fn view_number(&mut self) -> Option<ViewNumber>;
    fn front_set(&mut self, front_count: usize) -> Option<FrontSet>;
    fn piggyback(&mut self, front_count: usize) -> Option<Piggyback>;
}

impl Decode for Reader<'_> {
    fn volumes(&mut self) -> Option<Vec<u64>> {
        let count = Some(usize::from(self.u8()?)).filter(|count| *count <= MAX_VOLUMES)?;
        (0..count).map(|_| self.u64()).collect()
    }

    fn proposal_number(&mut self) -> Option<ProposalNumber> {
        Some(ProposalNumber {
            round: self.u32()?,
            proposer: self.u16()?,
            process_incarnation: self.u64()?,
        })
    }

    fn view_number(&mut self) -> Option<ViewNumber> {
        Some(ViewNumber {
            proposal: self.proposal_number()?,
            sequence: self.u32()?,
        })
    }

    fn front_set(&mut self, front_count: usize) -> Option<FrontSet> {
        FrontSet::from_bytes(self.take(front_count.div_ceil(8))?, front_count)
    }

    fn piggyback(&mut self, front_count: usize) -> Option<Piggyback> {
        let flags = self.u8().filter(|f| *f < 16)?;
        let mut agreement = AgreementMessage {
            promised: self.proposal_number()?,
            view_number: self.view_number()?,
            ..AgreementMessage::default()
        };
        if flags & 1 != 0 {
            let (previous, members) = (self.view_number()?, self.front_set(front_count)?);
            agreement.view = Some(View {
                number: agreement.view_number,
                previous,
                members,
            });
        }
        if flags & 2 != 0 {
            let (highest_accepted, promised_by) =
                (self.view_number()?, self.front_set(front_count)?);
            agreement.promises = Some(Promises {
                promised_by,
                highest_accepted,
            });
        }
        if flags & 4 != 0 {
            agreement.renewal = Some(Renewal {
                sequence: self.u32()?,
                acknowledged_by: self.front_set(front_count)?,
            });
        }
        // A front has promised at least the proposal of the view that it accepted, and a view follows a lower one.
        if agreement.view_number.proposal > agreement.promised
            || agreement.view.is_some_and(|v| v.previous >= v.number)
        {
            return None;
        }
        let count = usize::from(self.u8()?);
        let mut updates = Vec::with_capacity(count.min(MAX_DATAGRAM_BYTES / UPDATE_BYTES));
        for _ in 0..count {
            let front = self.u16().filter(|i| usize::from(*i) < front_count)?;
            let state = match self.u8()? {
                1 => MemberState::Alive,
                2 => MemberState::Suspect,
                3 => MemberState::Dead,
                4 => MemberState::Left,
                _ => return None,
            };
            let (process_incarnation, incarnation) = (self.u64()?, self.u16()?);
            let reported_by = self.u16().filter(|i| usize::from(*i) < front_count)?;
            updates.push(Update {
                front,
                state,
                process_incarnation,
                incarnation,
                reported_by,
            });
        }
        Some(Piggyback {
            agreement,
            leads: flags & 8 != 0,
            updates,
        })
    }
}

impl Datagram {
    /// The header of the datagram's frame.
    pub fn header(&self) -> Header {
        let (roster_hash, from, sequence, process_incarnation, to_process_incarnation) = (
            self.roster_hash,
            self.from,
            self.sequence,
            self.process_incarnation,
            self.to_process_incarnation,
        );
        Header {
            tag: Tag::MEMBERSHIP,
            roster_hash,
            from,
            sequence,
            process_incarnation,
            to_process_incarnation,
        }
    }

    /// Encodes and authenticates the datagram for a roster of `front_count` fronts. A piggyback that does not fit is shortened.
    pub fn encode(&self, front_count: usize, keys: &Keys) -> Vec<u8> {
        let max_bytes = max_payload_bytes(keys);
        let mut writer = Writer(Vec::with_capacity(max_bytes));
        let kind = match &self.body {
            Body::Hello(_) => 0,
            Body::Ping(..) => 1,
            Body::Ack(..) => 2,
            Body::Push(_) => 3,
            Body::PingReq(..) => 4,
            Body::PingReqResult(..) => 5,
            Body::ServedVolumes(..) => 6,
            Body::NameContested => 7,
            Body::ServedVolumesAck(..) => 8,
        };
        writer.put([kind, 0]);
        writer.put(self.incarnation.to_le_bytes());
        let capacity = |writer: &Writer| max_bytes - writer.0.len();
        match &self.body {
            Body::NameContested => {}
            Body::Hello(known) => writer.put(known.to_le_bytes()),
            Body::Ping(nonce, piggyback) => {
                writer.put(nonce.to_le_bytes());
                let capacity = capacity(&writer);
                writer.piggyback(piggyback, front_count, capacity);
            }
            Body::Ack(nonce, lease_remaining, piggyback) => {
                writer.put(nonce.to_le_bytes());
                writer.put(u32::try_from(*lease_remaining).unwrap_or(0).to_le_bytes());
                let capacity = capacity(&writer);
                writer.piggyback(piggyback, front_count, capacity);
            }
            Body::Push(piggyback) => {
                let capacity = capacity(&writer);
                writer.piggyback(piggyback, front_count, capacity);
            }
            Body::PingReq(target, nonce) => {
                writer.put(target.to_le_bytes());
                writer.put(nonce.to_le_bytes());
            }
            Body::PingReqResult(nonce, reached) => {
                writer.put(nonce.to_le_bytes());
                writer.put([u8::from(*reached)]);
            }
            Body::ServedVolumes(round, volumes) => writer.volumes(*round, volumes),
            Body::ServedVolumesAck(round, volumes, also_served) => {
                writer.volumes(*round, volumes);
                writer.put(also_served.to_le_bytes());
            }
        }
        seal(&self.header(), &writer.0, keys)
    }

    /// Authenticates and decodes a datagram for a roster of `front_count` fronts.
    pub fn decode(bytes: &[u8], front_count: usize, keys: &Keys) -> Result<Datagram, FrameError> {
        let (header, payload) = open(bytes, front_count, keys)?;
        match header.tag {
            Tag::MEMBERSHIP => Datagram::decode_payload(header, payload, front_count),
            _ => Err(FrameError::InvalidContent),
        }
    }

    /// Decodes the payload of a frame that is already open.
    pub fn decode_payload(
        header: Header,
        payload: &[u8],
        front_count: usize,
    ) -> Result<Datagram, FrameError> {
        let Header {
            roster_hash,
            from,
            sequence,
            process_incarnation,
            to_process_incarnation,
            ..
        } = header;
        let mut reader = Reader(payload);
        let mut decode = || -> Option<Datagram> {
            let (kind, zero, incarnation) = (reader.u8()?, reader.u8()?, reader.u16()?);
            let body = match kind {
                0 => Body::Hello(reader.u64()?),
                1 => Body::Ping(reader.u32()?, reader.piggyback(front_count)?),
                2 => Body::Ack(
                    reader.u32()?,
                    Micros::from(reader.u32()?),
                    reader.piggyback(front_count)?,
                ),
                3 => Body::Push(reader.piggyback(front_count)?),
                4 => Body::PingReq(
                    reader.u16().filter(|i| usize::from(*i) < front_count)?,
                    reader.u32()?,
                ),
                5 => Body::PingReqResult(reader.u32()?, reader.u8().filter(|b| *b < 2)? == 1),
                6 => Body::ServedVolumes(reader.u8()?, reader.volumes()?),
                8 => Body::ServedVolumesAck(reader.u8()?, reader.volumes()?, reader.u32()?),
                7 => Body::NameContested,
                _ => return None,
            };
            let valid = reader.0.is_empty() && zero == 0;
            valid.then_some(Datagram {
                roster_hash,
                from,
                sequence,
                process_incarnation,
                to_process_incarnation,
                incarnation,
                body,
            })
        };
        decode().ok_or(FrameError::InvalidContent)
    }
}
