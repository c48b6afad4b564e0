//! What the membership says in a datagram of the carrier: a kind, the sender's incarnation, and a body by kind.
//!
//! Nothing in it is longer than it says, and whatever is left over makes it void.

use crate::agree::{Ballot, Number, Promises, Round, View, Word};
use crate::bits::Bits;
use crate::swim::{News, State};
use lupinrack_peer_transport::frame::{open, room, seal, Head, Reader, Tag, Writer};
pub use lupinrack_peer_transport::frame::{Key, Keys, Void, Window, LONGEST};
use lupinrack_policy::Micros;

/// The most volumes of one datagram.
pub const VOLUMES_MOST: usize = 24;
const NEWS: usize = 15;
const BALLOT: usize = 14;
const NUMBER: usize = BALLOT + 4;

/// What a datagram says.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// The first word to one whose life is not known, or the answer to it; and the highest life heard of under its name.
    Hello(u64),
    /// A look: the answer brings the nonce back.
    Ping(u32, Told),
    /// The answer to a look, and what is left of the lease on the view told.
    Ack(u32, Micros, Told),
    /// News without a question.
    Push(Told),
    /// A request to look at another.
    Ask(u16, u32),
    /// What came of that.
    Reached(u32, bool),
    /// Volumes that the sender serves, in a round of its own numbering.
    Serves(u8, Vec<u64>),
    /// The answer: what was told is noted, and acted on; which of these the answerer serves too, the first in the lowest bit.
    Heard(u8, Vec<u64>, u32),
    /// The receiver's name is held by another life at another address.
    Contested,
}

/// What goes with looks and answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// On views.
    pub word: Word,
    /// Whether the sender leads under a ballot of its own.
    pub leads: bool,
    /// On fronts.
    pub news: Vec<News>,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// A hash of the roster's names.
    pub roster: u32,
    /// The sender.
    pub from: u16,
    /// Its number among what this life of the sender sent.
    pub seq: u32,
    /// The sender's life.
    pub life: u64,
    /// The receiver's life as the sender knows it; 0: not known.
    pub to_life: u64,
    /// The sender's incarnation.
    pub inc: u16,
    /// What it says.
    pub body: Body,
}

/// The membership's own forms.
trait Write {
    fn ballot(&mut self, b: &Ballot);
    fn number(&mut self, n: &Number);
    fn volumes(&mut self, round: u8, volumes: &[u64]);
    fn told(&mut self, told: &Told, n: usize, room: usize);
}

impl Write for Writer {
    fn ballot(&mut self, b: &Ballot) {
        self.put(b.round.to_le_bytes());
        self.put(b.leader.to_le_bytes());
        self.put(b.life.to_le_bytes());
    }

    fn number(&mut self, n: &Number) {
        self.ballot(&n.ballot);
        self.put(n.n.to_le_bytes());
    }

    fn volumes(&mut self, round: u8, volumes: &[u64]) {
        let volumes = &volumes[..volumes.len().min(VOLUMES_MOST)];
        self.put([round, volumes.len() as u8]);
        volumes.iter().for_each(|v| self.put(v.to_le_bytes()));
    }

    /// The word, as much of it as fits into `room`; its first byte says what follows.
    fn told(&mut self, told: &Told, n: usize, room: usize) {
        let (word, bits, at) = (&told.word, n.div_ceil(8), self.0.len());
        let mut left = room.saturating_sub(1 + BALLOT + NUMBER + 1);
        let mut fits = |size: usize| {
            let fits = left >= size;
            left -= if fits { size } else { 0 };
            fits
        };
        let view = word.view.filter(|_| fits(NUMBER + bits));
        let promises = word.promises.filter(|_| fits(NUMBER + bits));
        let round = word.round.filter(|_| fits(4 + bits));
        let flags = [
            view.is_some(),
            promises.is_some(),
            round.is_some(),
            told.leads,
        ];
        let flags = flags
            .iter()
            .rev()
            .fold(0_u8, |all, flag| all << 1 | u8::from(*flag));
        self.put([flags]);
        self.ballot(&word.promised);
        self.number(&word.number);
        if let Some(view) = view {
            self.number(&view.prev);
            self.0.extend(view.members.bytes(n));
        }
        if let Some(p) = promises {
            self.number(&p.best);
            self.0.extend(p.by.bytes(n));
        }
        if let Some(r) = round {
            self.put(r.k.to_le_bytes());
            self.0.extend(r.by.bytes(n));
        }
        let most = (room - (self.0.len() - at) - 1) / NEWS;
        let news = &told.news[..told.news.len().min(most)];
        self.put([news.len() as u8]);
        for piece in news {
            self.put(piece.of.to_le_bytes());
            self.put([piece.state as u8]);
            self.put(piece.life.to_le_bytes());
            self.put(piece.inc.to_le_bytes());
            self.put(piece.by.to_le_bytes());
        }
    }
}

trait Read {
    fn volumes(&mut self) -> Option<Vec<u64>>;
    fn ballot(&mut self) -> Option<Ballot>;
    fn number(&mut self) -> Option<Number>;
    fn bits(&mut self, n: usize) -> Option<Bits>;
    fn told(&mut self, n: usize) -> Option<Told>;
}

impl Read for Reader<'_> {
    fn volumes(&mut self) -> Option<Vec<u64>> {
        let count = Some(usize::from(self.u8()?)).filter(|n| *n <= VOLUMES_MOST)?;
        (0..count).map(|_| self.u64()).collect()
    }

    fn ballot(&mut self) -> Option<Ballot> {
        Some(Ballot {
            round: self.u32()?,
            leader: self.u16()?,
            life: self.u64()?,
        })
    }

    fn number(&mut self) -> Option<Number> {
        Some(Number {
            ballot: self.ballot()?,
            n: self.u32()?,
        })
    }

    fn bits(&mut self, n: usize) -> Option<Bits> {
        Bits::read(self.take(n.div_ceil(8))?, n)
    }

    fn told(&mut self, n: usize) -> Option<Told> {
        let flags = self.u8().filter(|f| *f < 16)?;
        let mut word = Word {
            promised: self.ballot()?,
            number: self.number()?,
            ..Word::default()
        };
        if flags & 1 != 0 {
            let (prev, members) = (self.number()?, self.bits(n)?);
            word.view = Some(View {
                number: word.number,
                prev,
                members,
            });
        }
        if flags & 2 != 0 {
            let (best, by) = (self.number()?, self.bits(n)?);
            word.promises = Some(Promises { by, best });
        }
        if flags & 4 != 0 {
            word.round = Some(Round {
                k: self.u32()?,
                by: self.bits(n)?,
            });
        }
        // No view is above what its sender promised.
        if word.number.ballot > word.promised || word.view.is_some_and(|v| v.prev >= v.number) {
            return None;
        }
        let count = usize::from(self.u8()?);
        let mut news = Vec::with_capacity(count.min(LONGEST / NEWS));
        for _ in 0..count {
            let of = self.u16().filter(|of| usize::from(*of) < n)?;
            let state = match self.u8()? {
                1 => State::Alive,
                2 => State::Suspect,
                3 => State::Dead,
                4 => State::Left,
                _ => return None,
            };
            let (life, inc) = (self.u64()?, self.u16()?);
            let by = self.u16().filter(|by| usize::from(*by) < n)?;
            news.push(News {
                of,
                state,
                life,
                inc,
                by,
            });
        }
        Some(Told {
            word,
            leads: flags & 8 != 0,
            news,
        })
    }
}

impl Datagram {
    /// Its head, as the carrier has it.
    pub fn head(&self) -> Head {
        let (roster, from, seq, life, to_life) =
            (self.roster, self.from, self.seq, self.life, self.to_life);
        Head {
            tag: Tag::MEMBERSHIP,
            roster,
            from,
            seq,
            life,
            to_life,
        }
    }

    /// As bytes, for a roster of `n` fronts.
    pub fn write(&self, n: usize, keys: &Keys) -> Vec<u8> {
        let most = room(keys);
        let mut w = Writer(Vec::with_capacity(most));
        let kind = match &self.body {
            Body::Hello(_) => 0,
            Body::Ping(..) => 1,
            Body::Ack(..) => 2,
            Body::Push(_) => 3,
            Body::Ask(..) => 4,
            Body::Reached(..) => 5,
            Body::Serves(..) => 6,
            Body::Contested => 7,
            Body::Heard(..) => 8,
        };
        w.put([kind, 0]);
        w.put(self.inc.to_le_bytes());
        let room = |w: &Writer| most - w.0.len();
        match &self.body {
            Body::Contested => {}
            Body::Hello(known) => w.put(known.to_le_bytes()),
            Body::Ping(nonce, told) => {
                w.put(nonce.to_le_bytes());
                let room = room(&w);
                w.told(told, n, room);
            }
            Body::Ack(nonce, left, told) => {
                w.put(nonce.to_le_bytes());
                w.put(u32::try_from(*left).unwrap_or(0).to_le_bytes());
                let room = room(&w);
                w.told(told, n, room);
            }
            Body::Push(told) => {
                let room = room(&w);
                w.told(told, n, room);
            }
            Body::Ask(target, nonce) => {
                w.put(target.to_le_bytes());
                w.put(nonce.to_le_bytes());
            }
            Body::Reached(nonce, reached) => {
                w.put(nonce.to_le_bytes());
                w.put([u8::from(*reached)]);
            }
            Body::Serves(round, volumes) => w.volumes(*round, volumes),
            Body::Heard(round, volumes, too) => {
                w.volumes(*round, volumes);
                w.put(too.to_le_bytes());
            }
        }
        seal(&self.head(), &w.0, keys)
    }

    /// From bytes, for a roster of `n` fronts.
    pub fn read(bytes: &[u8], n: usize, keys: &Keys) -> Result<Datagram, Void> {
        let (head, said) = open(bytes, n, keys)?;
        match head.tag {
            Tag::MEMBERSHIP => Datagram::said(head, said, n),
            _ => Err(Void::Content),
        }
    }

    /// From what the carrier made of it.
    pub fn said(head: Head, said: &[u8], n: usize) -> Result<Datagram, Void> {
        let Head {
            roster,
            from,
            seq,
            life,
            to_life,
            ..
        } = head;
        let mut r = Reader(said);
        let mut read = || -> Option<Datagram> {
            let (kind, zero, inc) = (r.u8()?, r.u8()?, r.u16()?);
            let body = match kind {
                0 => Body::Hello(r.u64()?),
                1 => Body::Ping(r.u32()?, r.told(n)?),
                2 => Body::Ack(r.u32()?, Micros::from(r.u32()?), r.told(n)?),
                3 => Body::Push(r.told(n)?),
                4 => Body::Ask(r.u16().filter(|t| usize::from(*t) < n)?, r.u32()?),
                5 => Body::Reached(r.u32()?, r.u8().filter(|b| *b < 2)? == 1),
                6 => Body::Serves(r.u8()?, r.volumes()?),
                8 => Body::Heard(r.u8()?, r.volumes()?, r.u32()?),
                7 => Body::Contested,
                _ => return None,
            };
            let whole = r.0.is_empty() && zero == 0;
            whole.then_some(Datagram {
                roster,
                from,
                seq,
                life,
                to_life,
                inc,
                body,
            })
        };
        read().ok_or(Void::Content)
    }
}
