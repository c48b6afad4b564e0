//! What may be acknowledged, sent, sent again, given up and freed: the buffer's decisions, without I/O and without a
//! clock. The log and the core are worked by a driver, which carries out [`Action`]s in their order and brings
//! [`Input`]s.
//!
//! The promises: `buffered` is said once a write is synced to the log; `flushed` once a node has it; an attempt's intent
//! is synced before its first byte leaves; what was acknowledged is settled only by a node that has it.

use crate::record::{End, Moment, Record, Taken, WriteId};
use crate::state::{Book, Pending, Standing};
use lupinrack_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Whoever waits for an acknowledgement, as the driver numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter(pub u64);

/// What a client asked to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// The log has it.
    Buffered,
    /// A node has it.
    Flushed,
}

/// What a waiter is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// The write is synced to the log.
    Buffered,
    /// A node has it; to a flush: all that was acknowledged before it.
    Flushed,
    /// Not taken into the buffer: it is to be written through.
    Through,
}

/// The figures of the operators' file.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of bodies that may be pending; beyond it writes go through.
    pub bytes: u64,
    /// The longest wait for company in a sync.
    pub gather: Micros,
    /// The repeat window of keyed writes.
    pub window: Micros,
    /// The wait before a write that was turned away is opened again.
    pub again: Micros,
}

/// What the driver brings.
#[derive(Clone, Debug)]
pub enum Input {
    /// A write comes in; its number is given here.
    Put(Waiter, Wish, Taken),
    /// All that was acknowledged of a volume is to be on nodes.
    Flush(Waiter, u64),
    /// What comes after waits for all of the volume's writes before.
    Barrier(u64),
    /// The sync that was asked for went well.
    Synced,
    /// The log failed: nothing more will be written to it.
    LogFailed,
    /// The core is about to send a write.
    Intends {
        /// The write.
        write: WriteId,
        /// The attempt.
        attempt: u16,
        /// The node's name.
        node: String,
        /// Its shard.
        shard: u32,
    },
    /// An attempt ended.
    Ended(WriteId, u16, End),
    /// The core let go of a write: refused or failed, with nothing out.
    LetGo(WriteId),
    /// The nodes that may have run a write were asked: one has it, none has it, or that cannot be known.
    Asked(WriteId, Option<bool>),
    /// The time asked for has come.
    Timer,
}

/// What the driver does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write a record to the log.
    Append(Record),
    /// Sync the log; [`Input::Synced`] or [`Input::LogFailed`] answers.
    Sync,
    /// Tell a waiter.
    Say(Waiter, Said),
    /// Open a write in the core. With a shard: only there, and only for so long.
    Open(WriteId, Option<(u32, Micros)>),
    /// The intent is synced: the attempt's bytes may leave.
    Go(WriteId, u16),
    /// The intent cannot be synced: the attempt is not sent.
    Stop(WriteId, u16),
    /// Ask these nodes whether they hold a write's object; [`Input::Asked`] answers.
    Ask(WriteId, Vec<String>),
    /// Segments below this sequence may go.
    Reclaim(u64),
    /// Come back at this time.
    Wake(Micros),
    /// A write is in doubt: it may have run, and nobody can tell. It is kept, and never sent blindly.
    InDoubt(WriteId),
}

/// Where a pending write stands in its volume's order, and what is being done with it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Doing {
    /// It waits for its barrier, or for its time.
    Waits(Micros),
    /// The core has it.
    Open,
    /// Its nodes are being asked.
    Asking,
    /// In doubt.
    Doubt,
}

#[derive(Clone, Debug)]
struct Held {
    generation: u64,
    doing: Doing,
    bytes: u64,
}

/// Who waits until nodes have some writes.
#[derive(Clone, Debug)]
struct Flush {
    waiter: Waiter,
    waits: BTreeSet<WriteId>,
    /// It is the client of its one write.
    own: bool,
}

/// The buffer of one front.
#[derive(Debug)]
pub struct Buffer {
    limits: Limits,
    book: Book,
    held: BTreeMap<WriteId, Held>,
    bytes: u64,
    /// Barriers so far, by volume, while it has pending writes.
    generations: BTreeMap<u64, u64>,
    next: u64,
    /// Records below this sequence last.
    lasting: u64,
    /// What waits for a sync: below which sequence.
    acks: Vec<(u64, Waiter, WriteId)>,
    goes: Vec<(u64, WriteId, u16)>,
    /// Flushes and writes that wait for nodes.
    flushes: Vec<Flush>,
    sync_out: Option<u64>,
    sync_at: Option<Micros>,
    closed: bool,
    wake: Option<Micros>,
}

impl Buffer {
    /// A buffer over what recovery found, with the sequence of the log's next record.
    pub fn new(limits: Limits, book: Book, next: u64) -> Buffer {
        let mut buffer = Buffer {
            limits,
            held: BTreeMap::new(),
            bytes: 0,
            generations: BTreeMap::new(),
            next,
            lasting: next,
            acks: Vec::new(),
            goes: Vec::new(),
            flushes: Vec::new(),
            sync_out: None,
            sync_at: None,
            closed: false,
            wake: None,
            book,
        };
        let writes: Vec<(WriteId, u64, u64)> = buffer
            .book
            .pending()
            .map(|p| (p.taken.write, p.taken.volume, p.taken.body.len() as u64))
            .collect();
        for (write, volume, bytes) in writes {
            // Barriers of before are kept by order: each pending write waits for those taken before it.
            let generation = buffer.generations.entry(volume).or_default();
            *generation += 1;
            let held = Held {
                generation: *generation,
                doing: Doing::Waits(0),
                bytes,
            };
            buffer.held.insert(write, held);
            buffer.bytes += bytes;
        }
        buffer
    }

    /// What is pending.
    pub fn pending(&self) -> impl Iterator<Item = &Pending> {
        self.book.pending()
    }

    /// Bytes of bodies that are pending.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes one input at `now`, on both clocks.
    pub fn handle(&mut self, now: Moment, input: Input, out: &mut Vec<Action>) {
        match input {
            Input::Put(waiter, wish, taken) => self.on_put(now, waiter, wish, taken, out),
            Input::Flush(waiter, volume) => {
                let mine = self
                    .book
                    .pending()
                    .filter(|p| p.taken.volume == volume)
                    .map(|p| p.taken.write);
                let waits: BTreeSet<WriteId> = mine.collect();
                match waits.is_empty() {
                    true => out.push(Action::Say(waiter, Said::Flushed)),
                    false => self.flushes.push(Flush {
                        waiter,
                        waits,
                        own: false,
                    }),
                }
            }
            Input::Barrier(volume) => {
                if let Some(generation) = self.generations.get_mut(&volume) {
                    *generation += 1;
                }
            }
            Input::Synced => self.on_synced(now, out),
            Input::LogFailed => self.on_log_failed(out),
            Input::Intends {
                write,
                attempt,
                node,
                shard,
            } => {
                if self.closed || !self.held.contains_key(&write) {
                    return out.push(Action::Stop(write, attempt));
                }
                let sequence = self.append(
                    Record::Attempt {
                        write,
                        attempt,
                        node,
                        shard,
                        at: now,
                    },
                    out,
                );
                self.goes.push((sequence, write, attempt));
                // A request waits on it: no gathering.
                self.sync_at = Some(now.since_boot);
            }
            Input::Ended(write, attempt, end) => {
                if self.held.contains_key(&write) {
                    self.append(
                        Record::Ended {
                            write,
                            attempt,
                            end,
                        },
                        out,
                    );
                    if end == End::Held {
                        self.settle(write, out);
                    }
                }
            }
            Input::LetGo(write) => self.again(now, write),
            Input::Asked(write, held) => match held {
                Some(true) => self.settle(write, out),
                // Absent from every node that may have run it: their attempts are known not to have run.
                Some(false) => {
                    let tried = self.book.pending().find(|p| p.taken.write == write);
                    let open: Vec<u16> =
                        tried.map_or(Vec::new(), |p| p.tried.iter().map(|t| t.attempt).collect());
                    for attempt in open {
                        self.append(
                            Record::Ended {
                                write,
                                attempt,
                                end: End::NeverRan,
                            },
                            out,
                        );
                    }
                    self.book.absent(write);
                    self.held
                        .entry(write)
                        .and_modify(|h| h.doing = Doing::Waits(0));
                }
                None => {
                    if let Some(h) = self.held.get_mut(&write) {
                        h.doing = Doing::Doubt;
                        out.push(Action::InDoubt(write));
                    }
                }
            },
            Input::Timer => self.wake = None,
        }
        self.on_time(now, out);
    }

    fn on_put(
        &mut self,
        now: Moment,
        waiter: Waiter,
        wish: Wish,
        taken: Taken,
        out: &mut Vec<Action>,
    ) {
        let bytes = taken.body.len() as u64;
        if self.closed || self.bytes + bytes > self.limits.bytes {
            return out.push(Action::Say(waiter, Said::Through));
        }
        let write = self.book.next();
        let generation = *self.generations.entry(taken.volume).or_default();
        self.held.insert(
            write,
            Held {
                generation,
                doing: Doing::Waits(0),
                bytes,
            },
        );
        self.bytes += bytes;
        let sequence = self.append(Record::Taken(Taken { write, ..taken }), out);
        match wish {
            Wish::Buffered => self.acks.push((sequence, waiter, write)),
            Wish::Flushed => self.flushes.push(Flush {
                waiter,
                waits: BTreeSet::from([write]),
                own: true,
            }),
        }
        self.sync_at = self.sync_at.or(Some(now.since_boot + self.limits.gather));
    }

    fn append(&mut self, record: Record, out: &mut Vec<Action>) -> u64 {
        let sequence = self.next;
        self.book.apply(sequence, &record);
        if !self.closed {
            self.next += 1;
            out.push(Action::Append(record));
        }
        sequence
    }

    fn settle(&mut self, write: WriteId, out: &mut Vec<Action>) {
        let volume = self
            .book
            .pending()
            .find(|p| p.taken.write == write)
            .map(|p| p.taken.volume);
        let Some(held) = self.held.remove(&write) else {
            return;
        };
        self.bytes -= held.bytes;
        self.append(Record::Settled(write), out);
        // A node has it: that is more than the log has.
        let acked: Vec<Waiter> = self
            .acks
            .iter()
            .filter(|a| a.2 == write)
            .map(|a| a.1)
            .collect();
        self.acks.retain(|a| a.2 != write);
        out.extend(acked.into_iter().map(|w| Action::Say(w, Said::Flushed)));
        self.flushed(write, Said::Flushed, out);
        if let Some(volume) = volume.filter(|v| !self.book.pending().any(|p| p.taken.volume == *v))
        {
            self.generations.remove(&volume);
        }
        if !self.closed {
            out.push(Action::Reclaim(self.book.needed().unwrap_or(self.next)));
        }
    }

    fn on_synced(&mut self, now: Moment, out: &mut Vec<Action>) {
        let Some(upto) = self.sync_out.take() else {
            return;
        };
        self.lasting = self.lasting.max(upto);
        let lasting = self.lasting;
        for (sequence, waiter, write) in std::mem::take(&mut self.acks) {
            match sequence < lasting {
                true => out.push(Action::Say(waiter, Said::Buffered)),
                false => self.acks.push((sequence, waiter, write)),
            }
        }
        for (sequence, write, attempt) in std::mem::take(&mut self.goes) {
            if sequence >= lasting {
                self.goes.push((sequence, write, attempt));
            } else if self.may_go(now, write, attempt) {
                out.push(Action::Go(write, attempt));
            } else {
                // The sync took so long that a repeat would not be dropped any more.
                out.push(Action::Stop(write, attempt));
                self.append(
                    Record::Ended {
                        write,
                        attempt,
                        end: End::NeverRan,
                    },
                    out,
                );
                self.held
                    .entry(write)
                    .and_modify(|h| h.doing = Doing::Waits(0));
            }
        }
    }

    /// Whether an attempt may leave now, seen by those before it.
    fn may_go(&self, now: Moment, write: WriteId, attempt: u16) -> bool {
        let Some(mut p) = self
            .book
            .pending()
            .find(|p| p.taken.write == write)
            .cloned()
        else {
            return false;
        };
        let shard = p
            .tried
            .iter()
            .find(|t| t.attempt == attempt)
            .map(|t| t.shard);
        p.tried.retain(|t| t.attempt != attempt);
        match p.standing(now, self.limits.window) {
            Standing::NeverSent => true,
            Standing::InWindow { shard: only, .. } => shard == Some(only),
            Standing::Answered | Standing::PastWindow { .. } => false,
        }
    }

    /// What was not synced counts as not written: its writes go through, and nobody is told that they are buffered.
    fn on_log_failed(&mut self, out: &mut Vec<Action>) {
        (self.closed, self.sync_out, self.sync_at) = (true, None, None);
        let lost: Vec<WriteId> = self
            .book
            .pending()
            .filter(|p| p.sequence >= self.lasting)
            .map(|p| p.taken.write)
            .collect();
        for write in lost {
            self.bytes -= self.held.remove(&write).map_or(0, |h| h.bytes);
            self.book.apply(self.next, &Record::Settled(write));
            self.flushed(write, Said::Through, out);
        }
        out.extend(
            std::mem::take(&mut self.acks)
                .into_iter()
                .map(|a| Action::Say(a.1, Said::Through)),
        );
        for (_, write, attempt) in std::mem::take(&mut self.goes) {
            out.push(Action::Stop(write, attempt));
        }
    }

    /// A write is over: who waits for it, or for it last, hears so.
    fn flushed(&mut self, write: WriteId, own: Said, out: &mut Vec<Action>) {
        for f in &mut self.flushes {
            if f.waits.remove(&write) && f.waits.is_empty() {
                out.push(Action::Say(
                    f.waiter,
                    if f.own { own } else { Said::Flushed },
                ));
            }
        }
        self.flushes.retain(|f| !f.waits.is_empty());
    }

    fn again(&mut self, now: Moment, write: WriteId) {
        let at = now.since_boot + self.limits.again;
        self.held
            .entry(write)
            .and_modify(|h| h.doing = Doing::Waits(at));
    }

    fn on_time(&mut self, now: Moment, out: &mut Vec<Action>) {
        // One sync for all that waits, and one at a time.
        if self.sync_out.is_none()
            && !self.closed
            && self.sync_at.is_some_and(|at| at <= now.since_boot)
        {
            (self.sync_out, self.sync_at) = (Some(self.next), None);
            out.push(Action::Sync);
        }
        self.open_due(now, out);
        let waits = self.held.values().filter_map(|h| match h.doing {
            Doing::Waits(at) if at > now.since_boot => Some(at),
            _ => None,
        });
        let sync = self.sync_at.filter(|_| self.sync_out.is_none());
        if let Some(at) = waits.chain(sync).min() {
            if self.wake.is_none_or(|w| at < w || w <= now.since_boot) {
                self.wake = Some(at);
                out.push(Action::Wake(at));
            }
        }
    }

    /// Opens what may be sent now: synced, past its barrier, due, and in a state that allows it.
    fn open_due(&mut self, now: Moment, out: &mut Vec<Action>) {
        if self.closed {
            // No intent can be synced any more: what was acknowledged stays in the log for the next start.
            return;
        }
        let mut first: BTreeMap<u64, u64> = BTreeMap::new();
        for p in self.book.pending() {
            if let Some(h) = self
                .held
                .get(&p.taken.write)
                .filter(|h| h.doing != Doing::Doubt)
            {
                let least = first.entry(p.taken.volume).or_insert(h.generation);
                *least = h.generation.min(*least);
            }
        }
        for p in self.book.pending() {
            let (write, volume) = (p.taken.write, p.taken.volume);
            let Some(h) = self.held.get_mut(&write) else {
                continue;
            };
            let due = matches!(h.doing, Doing::Waits(at) if at <= now.since_boot);
            // Not before its own record lasts: else an attempt could be known of a write that is not.
            if !due || p.sequence >= self.lasting || first.get(&volume) != Some(&h.generation) {
                continue;
            }
            match p.standing(now, self.limits.window) {
                Standing::NeverSent => {
                    h.doing = Doing::Open;
                    out.push(Action::Open(write, None));
                }
                Standing::InWindow { shard, left } => {
                    h.doing = Doing::Open;
                    out.push(Action::Open(write, Some((shard, left))));
                }
                Standing::PastWindow { nodes } => {
                    h.doing = Doing::Asking;
                    out.push(Action::Ask(write, nodes));
                }
                // Its settling was not written in time; the next handle of its end does it.
                Standing::Answered => h.doing = Doing::Waits(Micros::MAX),
            }
        }
        let answered: Vec<WriteId> = self
            .held
            .iter()
            .filter(|(_, h)| h.doing == Doing::Waits(Micros::MAX))
            .map(|(write, _)| *write)
            .collect();
        for write in answered {
            self.settle(write, out);
        }
    }
}
