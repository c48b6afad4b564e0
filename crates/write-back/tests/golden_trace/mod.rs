//! A seeded run of a buffer and a line for each input: what came in and which actions it asked for. Records stand in the
//! form that they have on the disk; the lines hold no names of Rust types.

use lupinrack_golden_files::to_hex;
use lupinrack_write_back::{
    encode, AcceptedWrite, AcknowledgeAt, Acknowledgement, Action, AttemptOutcome, Buffer, Input,
    Limits, Lookup, Moment, Record, Waiter, WriteId, WriteTable,
};
use std::collections::VecDeque;

const LIMITS: Limits = Limits {
    max_pending_bytes: 4_000,
    sync_delay: 2_000,
    repeat_window: 4_000_000,
    retry_delay: 50_000,
};
const VOLUMES: u64 = 3;
const SHARDS: u32 = 2;

/// Plays so many inputs and returns a line for each.
pub fn play(seed: u64, steps: usize) -> Vec<String> {
    let mut run = Run::new(seed);
    (0..steps).map(|_| run.step()).collect()
}

/// A hash (FNV-1a, 64 bits) of all lines.
pub fn digest(lines: &[String]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// An attempt that was asked for, and whether its bytes may leave.
#[derive(Clone, Copy)]
struct Attempt {
    write: WriteId,
    number: u16,
    went: bool,
}

struct Run {
    random: fastrand::Rng,
    now: Moment,
    buffer: Buffer,
    /// All records so far.
    log: Vec<Record>,
    waiters: u64,
    syncing: bool,
    /// Writes that the core has, without an attempt that is out.
    open: Vec<(WriteId, Option<u32>)>,
    attempts: Vec<Attempt>,
    next_attempt: u16,
    asking: VecDeque<WriteId>,
}

impl Run {
    fn new(seed: u64) -> Run {
        Run {
            random: fastrand::Rng::with_seed(seed),
            now: Moment {
                since_boot: 1_000_000,
                boot: 1,
                wall: 50_000_000,
            },
            buffer: Buffer::new(LIMITS, WriteTable::default(), 1),
            log: Vec::new(),
            waiters: 0,
            syncing: false,
            open: Vec::new(),
            attempts: Vec::new(),
            next_attempt: 0,
            asking: VecDeque::new(),
        }
    }

    /// The sequence of the next record.
    fn next_sequence(&self) -> u64 {
        self.log.len() as u64 + 1
    }

    /// The program ends and starts again with what the log holds, at times after a boot of the machine.
    fn restart(&mut self) -> String {
        let mut book = WriteTable::default();
        (1..)
            .zip(&self.log)
            .for_each(|(sequence, record)| book.apply(sequence, record));
        self.buffer = Buffer::new(LIMITS, book, self.next_sequence());
        self.syncing = false;
        self.open.clear();
        self.attempts.clear();
        self.asking.clear();
        if self.random.bool() {
            self.now.boot += 1;
            self.now.since_boot = 1_000_000;
        }
        format!("restart in boot {}", self.now.boot)
    }

    fn step(&mut self) -> String {
        if self.random.u32(0..150) == 0 {
            return self.restart();
        }
        let longest = if self.random.u32(0..20) == 0 {
            6_000_000
        } else {
            3_000
        };
        let passed = self.random.i64(0..longest);
        self.now.since_boot += passed;
        self.now.wall += passed;
        let (shown, input) = self.input();
        let mut actions = Vec::new();
        self.buffer.handle(self.now, input, &mut actions);
        let shown_actions: Vec<String> = actions
            .iter()
            .map(|action| self.carry_out(action))
            .collect();
        let pending = self.buffer.pending().count();
        let bytes = self.buffer.pending_bytes();
        format!(
            "at {} {shown} -> [{}] pending {pending} bytes {bytes}",
            self.now.since_boot,
            shown_actions.join(", ")
        )
    }

    fn input(&mut self) -> (String, Input) {
        match self.random.u32(0..20) {
            0..=4 => self.put(),
            5 => self.flush(),
            6 => self.barrier(),
            7..=9 if self.syncing => self.end_sync(),
            10..=12 if !self.open.is_empty() => self.attempt(),
            13..=15 if !self.attempts.is_empty() => self.end_attempt(),
            16 | 17 if !self.open.is_empty() => self.let_go(),
            18 | 19 if !self.asking.is_empty() => self.answer_question(),
            _ => (String::from("timer"), Input::Timer),
        }
    }

    fn waiter(&mut self) -> Waiter {
        self.waiters += 1;
        Waiter(self.waiters)
    }

    fn put(&mut self) -> (String, Input) {
        let waiter = self.waiter();
        let volume = self.random.u64(0..VOLUMES);
        let size = self.random.usize(0..250);
        let (word, wish) = if self.random.bool() {
            ("buffered", AcknowledgeAt::Buffered)
        } else {
            ("flushed", AcknowledgeAt::Flushed)
        };
        let taken = AcceptedWrite {
            write: WriteId(0),
            volume,
            plan: "basic".into(),
            milliunits: 1_000,
            key: vec![waiter.0 as u8],
            target: b"/t".to_vec(),
            body: vec![0xb0; size],
            give_up: self.now.wall + 1_000_000,
        };
        (
            format!("put {} {word} volume {volume} size {size}", waiter.0),
            Input::Write(waiter, wish, taken),
        )
    }

    fn flush(&mut self) -> (String, Input) {
        let (waiter, volume) = (self.waiter(), self.random.u64(0..VOLUMES));
        (
            format!("flush {} volume {volume}", waiter.0),
            Input::Flush(waiter, volume),
        )
    }

    fn barrier(&mut self) -> (String, Input) {
        let volume = self.random.u64(0..VOLUMES);
        (format!("barrier volume {volume}"), Input::Barrier(volume))
    }

    fn end_sync(&mut self) -> (String, Input) {
        self.syncing = false;
        if self.random.u32(0..300) == 0 {
            return (String::from("log failed"), Input::LogFailed);
        }
        (String::from("synced"), Input::Synced)
    }

    fn attempt(&mut self) -> (String, Input) {
        let place = self.random.usize(0..self.open.len());
        let (write, only) = self.open.swap_remove(place);
        let shard = only.unwrap_or_else(|| self.random.u32(0..SHARDS));
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.attempts.push(Attempt {
            write,
            number,
            went: false,
        });
        let node = format!("node-{}", self.random.u32(0..4));
        let shown = format!("intends {} attempt {number} {node} shard {shard}", write.0);
        (
            shown,
            Input::Intent {
                write,
                attempt: number,
                node,
                shard,
            },
        )
    }

    fn end_attempt(&mut self) -> (String, Input) {
        let place = self.random.usize(0..self.attempts.len());
        let attempt = self.attempts[place];
        if !attempt.went {
            return (String::from("timer"), Input::Timer);
        }
        self.attempts.swap_remove(place);
        let (word, end) = match self.random.u32(0..4) {
            0 | 1 => ("held", AttemptOutcome::Stored),
            2 => ("never ran", AttemptOutcome::NeverRan),
            _ => ("may have run", AttemptOutcome::MayHaveRun),
        };
        if end != AttemptOutcome::Stored {
            self.open.push((attempt.write, None));
        }
        let shown = format!(
            "ended {} attempt {} {word}",
            attempt.write.0, attempt.number
        );
        (
            shown,
            Input::AttemptEnded(attempt.write, attempt.number, end),
        )
    }

    fn let_go(&mut self) -> (String, Input) {
        let place = self.random.usize(0..self.open.len());
        let (write, _) = self.open.swap_remove(place);
        (format!("let go {}", write.0), Input::Released(write))
    }

    fn answer_question(&mut self) -> (String, Input) {
        let write = self.asking.pop_front().unwrap_or_default();
        let (word, answer) = match self.random.u32(0..5) {
            0 | 1 => ("there", Lookup::Present),
            2 | 3 => ("absent", Lookup::Absent),
            _ => ("unknown", Lookup::Unknown),
        };
        (
            format!("asked {} {word}", write.0),
            Input::Located(write, answer),
        )
    }

    fn carry_out(&mut self, action: &Action) -> String {
        match action {
            Action::Append(record) => {
                let frame = encode(self.next_sequence(), record).expect("a frame");
                self.log.push(record.clone());
                format!("append {}", to_hex(&frame))
            }
            Action::Sync => {
                self.syncing = true;
                String::from("sync")
            }
            Action::Acknowledge(waiter, said) => format!("say {} {}", waiter.0, said_word(*said)),
            Action::Open(write, only) => {
                self.open.push((*write, only.map(|(shard, _)| shard)));
                let only = only.map_or(String::new(), |(shard, left)| {
                    format!(" shard {shard} left {left}")
                });
                format!("open {}{only}", write.0)
            }
            Action::Send(write, attempt) => {
                let out = self.attempts.iter_mut().find(|out| out.number == *attempt);
                out.expect("an attempt that was asked for").went = true;
                format!("go {} attempt {attempt}", write.0)
            }
            Action::Abort(write, attempt) => {
                self.attempts.retain(|out| out.number != *attempt);
                format!("stop {} attempt {attempt}", write.0)
            }
            Action::Locate(write, nodes) => {
                self.asking.push_back(*write);
                format!("ask {} {}", write.0, nodes.join("+"))
            }
            Action::Reclaim(sequence) => format!("reclaim {sequence}"),
            Action::Wake(at) => format!("wake {at}"),
            Action::InDoubt(write) => format!("in doubt {}", write.0),
        }
    }
}

fn said_word(said: Acknowledgement) -> &'static str {
    match said {
        Acknowledgement::Buffered => "buffered",
        Acknowledgement::Flushed => "flushed",
        Acknowledgement::WriteThrough => "through",
    }
}
