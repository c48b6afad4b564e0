//! Bounded streams between two fronts, for what does not fit into a datagram: messages of up to [`MESSAGE_MOST`] bytes, in order,
//! each given to its machine once and whole, or lost and said to be lost.
//!
//! A message is cut into pieces; the receiver says how much it has without a gap, and the sender sends on from there, a window at a
//! time, later and later while nothing comes back. All of it lives and ends with the two lives that it was said between: a new life of
//! either knows of nothing, and what was underway is told as lost to the machine that sent it.

use crate::frame::{Reader, Tag, Writer};
use lupinrack_policy::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The longest message.
pub const MESSAGE_MOST: usize = 64 << 10;
/// Messages that wait for one front, the one underway included.
const WAITING_MOST: usize = 16;
/// Bytes of messages that are not whole yet, from all fronts together.
const PARTIAL_MOST: usize = 1 << 20;
/// Pieces underway at once.
const AHEAD: usize = 12;
/// The wait until pieces go again, first and last; half of it is by chance.
const AGAIN_FIRST: Micros = 40_000;
const AGAIN_LAST: Micros = 1_000_000;
/// A message that made no way for so long is lost.
const PATIENCE: Micros = 15_000_000;
/// The head of a piece, and of what is said of it.
const HEAD: usize = 14;

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It is empty or too long.
    #[error("a message has 1 to {MESSAGE_MOST} bytes")]
    Length,
    /// Too many wait for that front.
    #[error("too many messages wait for that front")]
    Full,
}

/// What a step brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// A piece, or what is said of one, for the other end: as the body of a datagram under [`Tag::STREAM`].
    Piece(u16, Vec<u8>),
    /// A whole message came.
    Came(u16, Tag, Vec<u8>),
    /// A message of this machine's came whole to the other end.
    Done(u16, Tag, u32),
    /// It surely was not given to the other end's machine, or nobody knows.
    Lost(u16, Tag, u32),
}

struct Message {
    number: u32,
    tag: Tag,
    bytes: Vec<u8>,
}

/// A piece underway.
struct Piece {
    at: usize,
    end: usize,
    sent: Micros,
    /// It went more than once: its answer tells nothing of the way.
    twice: bool,
    there: bool,
}

/// What goes to one front.
#[derive(Default)]
struct Sending {
    next: u32,
    waiting: VecDeque<Message>,
    /// Of the first of them: the other end has all up to here, and these pieces are underway.
    had: usize,
    window: VecDeque<Piece>,
    /// How long the way there and back takes, and the wait until a piece goes again.
    way: Micros,
    wait: Micros,
    /// Something was heard since pieces went again.
    heard: bool,
    moved_at: Micros,
}

impl Sending {
    fn begin(&mut self, now: Micros) {
        (self.had, self.wait, self.moved_at) = (0, self.first(), now);
        self.window.clear();
    }

    fn first(&self) -> Micros {
        (self.way * 2).clamp(AGAIN_FIRST, AGAIN_LAST)
    }
}

/// What comes from one front.
#[derive(Default)]
struct Coming {
    /// The message that came whole last; the next one is underway.
    whole: u32,
    tag: u8,
    total: usize,
    bytes: Vec<u8>,
    /// What of it is there, from and to, without overlaps.
    there: Vec<(usize, usize)>,
}

impl Coming {
    /// How much is there without a gap.
    fn had(&self) -> usize {
        self.there.first().filter(|t| t.0 == 0).map_or(0, |t| t.1)
    }

    fn put(&mut self, at: usize, bytes: &[u8]) {
        let (mut from, mut to) = (at, at + bytes.len());
        self.bytes[from..to].copy_from_slice(bytes);
        self.there.retain(|t| {
            let apart = t.1 < from || t.0 > to;
            if !apart {
                (from, to) = (from.min(t.0), to.max(t.1));
            }
            apart
        });
        let place = self.there.partition_point(|t| t.0 < from);
        self.there.insert(place, (from, to));
    }
}

/// All streams of one life.
pub struct Streams {
    piece: usize,
    sending: BTreeMap<u16, Sending>,
    coming: BTreeMap<u16, Coming>,
    partial: usize,
    deaf: Vec<Tag>,
    dice: fastrand::Rng,
}

impl Streams {
    /// Nothing underway; a datagram has room for so many bytes.
    pub fn new(room: usize, seed: u64) -> Streams {
        let dice = fastrand::Rng::with_seed(seed);
        let piece = room.saturating_sub(HEAD).max(1);
        Streams {
            piece,
            sending: BTreeMap::new(),
            coming: BTreeMap::new(),
            partial: 0,
            deaf: Vec::new(),
            dice,
        }
    }

    /// Takes a message for another front's machine; its number comes back with its end.
    pub fn send(&mut self, now: Micros, to: u16, tag: Tag, bytes: Vec<u8>) -> Result<u32, Refused> {
        if bytes.is_empty() || bytes.len() > MESSAGE_MOST {
            return Err(Refused::Length);
        }
        let s = self.sending.entry(to).or_default();
        if s.waiting.len() >= WAITING_MOST {
            return Err(Refused::Full);
        }
        s.next += 1;
        if s.waiting.is_empty() {
            s.begin(now);
        }
        s.waiting.push_back(Message {
            number: s.next,
            tag,
            bytes,
        });
        Ok(s.next)
    }

    /// Another life of a front is heard: nothing goes on. Numbers do, since that life may have had some of it already.
    pub fn reborn(&mut self, now: Micros, of: u16, out: &mut Vec<Out>) {
        if let Some(c) = self.coming.remove(&of) {
            self.partial -= c.total;
        }
        if let Some(s) = self.sending.get_mut(&of) {
            out.extend(s.waiting.drain(..).map(|m| Out::Lost(of, m.tag, m.number)));
            s.begin(now);
        }
    }

    /// Whether a machine takes nothing more for now: its messages don't come whole meanwhile, and their senders try again.
    pub fn deaf(&mut self, tag: Tag, deaf: bool) {
        self.deaf.retain(|t| *t != tag);
        self.deaf.extend(deaf.then_some(tag));
    }

    /// Messages that wait or are underway.
    pub fn waiting(&self) -> usize {
        self.sending.values().map(|s| s.waiting.len()).sum()
    }

    /// Carries on at a moment: pieces that are due, at most a window for each front. `may` says whether one more may go.
    pub fn tick(
        &mut self,
        now: Micros,
        mut may: impl FnMut(u16, usize) -> bool,
        out: &mut Vec<Out>,
    ) {
        for (to, s) in &mut self.sending {
            let Some(m) = s.waiting.front().filter(|_| now - s.moved_at < PATIENCE) else {
                if let Some(m) = s.waiting.pop_front() {
                    out.push(Out::Lost(*to, m.tag, m.number));
                    s.begin(now);
                }
                continue;
            };
            let mut piece = |at: usize, end: usize| {
                let may = may(*to, HEAD + end - at);
                if may {
                    let mut w = Writer(Vec::with_capacity(HEAD + end - at));
                    w.put([0, m.tag.0]);
                    w.put(m.number.to_le_bytes());
                    w.put((m.bytes.len() as u32).to_le_bytes());
                    w.put((at as u32).to_le_bytes());
                    w.0.extend_from_slice(&m.bytes[at..end]);
                    out.push(Out::Piece(*to, w.0));
                }
                may
            };
            let mut again = false;
            for p in s.window.iter_mut().filter(|p| !p.there) {
                let wait = s.wait / 2 + self.dice.i64(0..=s.wait / 2);
                if now - p.sent >= wait && piece(p.at, p.end) {
                    (p.sent, p.twice, again) = (now, true, true);
                }
            }
            if again && !std::mem::take(&mut s.heard) {
                s.wait = (s.wait * 2).min(AGAIN_LAST);
            }
            while s.window.len() < AHEAD {
                let at = s.window.back().map_or(s.had, |p| p.end);
                let end = (at + self.piece).min(m.bytes.len());
                if at == end || !piece(at, end) {
                    break;
                }
                s.window.push_back(Piece {
                    at,
                    end,
                    sent: now,
                    twice: false,
                    there: false,
                });
            }
        }
    }

    /// Takes the body of a datagram from another front.
    pub fn hear(&mut self, now: Micros, from: u16, body: &[u8], out: &mut Vec<Out>) {
        let mut r = Reader(body);
        let mut read = || {
            Some((
                r.u8()?,
                r.u8()?,
                r.u32()?,
                r.u32()? as usize,
                r.u32()? as usize,
            ))
        };
        let Some((kind, tag, number, total, at)) = read() else {
            return;
        };
        match kind {
            0 => self.piece(from, (tag, number, total, at), r.0, out),
            1 if r.0.is_empty() => self.said(now, from, (number, total, at), out),
            _ => {}
        }
    }

    fn piece(
        &mut self,
        from: u16,
        head: (u8, u32, usize, usize),
        bytes: &[u8],
        out: &mut Vec<Out>,
    ) {
        let (tag, number, total, at) = head;
        let deaf = self.deaf.iter().any(|t| t.0 == tag);
        if bytes.is_empty()
            || total > MESSAGE_MOST
            || at + bytes.len() > total
            || number == 0
            || deaf
        {
            return;
        }
        let c = self.coming.entry(from).or_default();
        if number > c.whole {
            // The next one begins; one before it that did not come whole was given up by its sender.
            let same = c.total > 0 && (number, total, tag) == (c.whole + 1, c.total, c.tag);
            if !same {
                self.partial -= c.total;
                *c = Coming {
                    whole: c.whole,
                    tag,
                    ..Coming::default()
                };
                if self.partial + total > PARTIAL_MOST {
                    return;
                }
                (c.whole, c.total, c.bytes) = (number - 1, total, vec![0; total]);
                self.partial += total;
            }
            if c.there.len() < AHEAD + 1 {
                c.put(at, bytes);
            }
            if c.had() == c.total {
                self.partial -= c.total;
                let whole = std::mem::replace(
                    c,
                    Coming {
                        whole: number,
                        ..Coming::default()
                    },
                );
                out.push(Out::Came(from, Tag(tag), whole.bytes));
            }
        }
        let had = if number <= c.whole { total } else { c.had() };
        let mut w = Writer(Vec::with_capacity(HEAD));
        w.put([1, tag]);
        w.put(number.to_le_bytes());
        w.put((at as u32).to_le_bytes());
        w.put((had as u32).to_le_bytes());
        out.push(Out::Piece(from, w.0));
    }

    /// The other end has the piece at `at`, and all up to `had`.
    fn said(
        &mut self,
        now: Micros,
        from: u16,
        (number, at, had): (u32, usize, usize),
        out: &mut Vec<Out>,
    ) {
        let Some(s) = self.sending.get_mut(&from) else {
            return;
        };
        let Some(m) = s
            .waiting
            .front()
            .filter(|m| m.number == number && had <= m.bytes.len())
        else {
            return;
        };
        for p in s
            .window
            .iter_mut()
            .filter(|p| !p.there && (p.at == at || p.end <= had))
        {
            p.there = true;
            (s.heard, s.moved_at) = (true, now);
            if p.at == at && !p.twice {
                s.way += (now - p.sent - s.way) / if s.way == 0 { 1 } else { 8 };
            }
        }
        while let Some(p) = s.window.pop_front_if(|p| p.there) {
            s.had = p.end;
        }
        s.wait = if s.heard { s.first() } else { s.wait };
        if s.had == m.bytes.len() {
            out.push(Out::Done(from, m.tag, number));
            s.waiting.pop_front();
            s.begin(now);
        }
    }
}
