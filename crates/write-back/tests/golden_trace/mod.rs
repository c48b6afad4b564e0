//! A seeded run of a buffer with one line for each input: the input and the resulting actions. Records are shown in their
//! encoding in the log. The lines contain no names of Rust types, so that renames do not change them.

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

/// Runs `steps` inputs and returns a line for each.
pub fn play(seed: u64, steps: usize) -> Vec<String> {
    let mut run = Run::new(seed);
    (0..steps).map(|_| run.step()).collect()
}

/// FNV-1a hash (64 bits) of all lines.
pub fn digest(lines: &[String]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// An attempt whose intent was passed to the buffer.
#[derive(Clone, Copy)]
struct Attempt {
    write: WriteId,
    number: u16,
    /// Whether the buffer has let it be sent.
    sent: bool,
}

struct Run {
    random: fastrand::Rng,
    now: Moment,
    buffer: Buffer,
    /// All records appended so far.
    log: Vec<Record>,
    last_waiter: u64,
    syncing: bool,
    /// Writes that are open without an attempt in flight, each with the shard that it is restricted to.
    open: Vec<(WriteId, Option<u32>)>,
    attempts: Vec<Attempt>,
    next_attempt: u16,
    locating: VecDeque<WriteId>,
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
            last_waiter: 0,
            syncing: false,
            open: Vec::new(),
            attempts: Vec::new(),
            next_attempt: 0,
            locating: VecDeque::new(),
        }
    }

    /// Sequence number of the next record.
    fn next_sequence(&self) -> u64 {
        self.log.len() as u64 + 1
    }

    /// Restarts the process from its log, sometimes after a reboot of the machine.
    fn restart(&mut self) -> String {
        let mut table = WriteTable::default();
        (1..)
            .zip(&self.log)
            .for_each(|(sequence, record)| table.apply(sequence, record));
        self.buffer = Buffer::new(LIMITS, table, self.next_sequence());
        self.syncing = false;
        self.open.clear();
        self.attempts.clear();
        self.locating.clear();
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
        let max_elapsed = if self.random.u32(0..20) == 0 {
            6_000_000
        } else {
            3_000
        };
        let elapsed = self.random.i64(0..max_elapsed);
        self.now.since_boot += elapsed;
        self.now.wall += elapsed;
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
            16 | 17 if !self.open.is_empty() => self.release(),
            18 | 19 if !self.locating.is_empty() => self.end_lookup(),
            _ => (String::from("timer"), Input::Timer),
        }
    }

    fn waiter(&mut self) -> Waiter {
        self.last_waiter += 1;
        Waiter(self.last_waiter)
    }

    fn put(&mut self) -> (String, Input) {
        let waiter = self.waiter();
        let volume = self.random.u64(0..VOLUMES);
        let size = self.random.usize(0..250);
        let (shown, acknowledge_at) = if self.random.bool() {
            ("buffered", AcknowledgeAt::Buffered)
        } else {
            ("flushed", AcknowledgeAt::Flushed)
        };
        let write = AcceptedWrite {
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
            format!("put {} {shown} volume {volume} size {size}", waiter.0),
            Input::Write(waiter, acknowledge_at, write),
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
        let index = self.random.usize(0..self.open.len());
        let (write, only) = self.open.swap_remove(index);
        let shard = only.unwrap_or_else(|| self.random.u32(0..SHARDS));
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.attempts.push(Attempt {
            write,
            number,
            sent: false,
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
        let index = self.random.usize(0..self.attempts.len());
        let attempt = self.attempts[index];
        if !attempt.sent {
            return (String::from("timer"), Input::Timer);
        }
        self.attempts.swap_remove(index);
        let (shown_outcome, outcome) = match self.random.u32(0..4) {
            0 | 1 => ("held", AttemptOutcome::Stored),
            2 => ("never ran", AttemptOutcome::NeverRan),
            _ => ("may have run", AttemptOutcome::MayHaveRun),
        };
        if outcome != AttemptOutcome::Stored {
            self.open.push((attempt.write, None));
        }
        let shown = format!(
            "ended {} attempt {} {shown_outcome}",
            attempt.write.0, attempt.number
        );
        (
            shown,
            Input::AttemptEnded(attempt.write, attempt.number, outcome),
        )
    }

    fn release(&mut self) -> (String, Input) {
        let index = self.random.usize(0..self.open.len());
        let (write, _) = self.open.swap_remove(index);
        (format!("let go {}", write.0), Input::Released(write))
    }

    fn end_lookup(&mut self) -> (String, Input) {
        let write = self.locating.pop_front().unwrap_or_default();
        let (shown_lookup, lookup) = match self.random.u32(0..5) {
            0 | 1 => ("there", Lookup::Present),
            2 | 3 => ("absent", Lookup::Absent),
            _ => ("unknown", Lookup::Unknown),
        };
        (
            format!("asked {} {shown_lookup}", write.0),
            Input::Located(write, lookup),
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
            Action::Acknowledge(waiter, acknowledgement) => format!(
                "say {} {}",
                waiter.0,
                show_acknowledgement(*acknowledgement)
            ),
            Action::Open(write, only) => {
                self.open.push((*write, only.map(|(shard, _)| shard)));
                let only = only.map_or(String::new(), |(shard, remaining)| {
                    format!(" shard {shard} left {remaining}")
                });
                format!("open {}{only}", write.0)
            }
            Action::Send(write, attempt) => {
                let intended = self
                    .attempts
                    .iter_mut()
                    .find(|intended| intended.number == *attempt);
                intended.expect("an attempt with an intent").sent = true;
                format!("go {} attempt {attempt}", write.0)
            }
            Action::Abort(write, attempt) => {
                self.attempts.retain(|intended| intended.number != *attempt);
                format!("stop {} attempt {attempt}", write.0)
            }
            Action::Locate(write, nodes) => {
                self.locating.push_back(*write);
                format!("ask {} {}", write.0, nodes.join("+"))
            }
            Action::Reclaim(sequence) => format!("reclaim {sequence}"),
            Action::Wake(at) => format!("wake {at}"),
            Action::InDoubt(write) => format!("in doubt {}", write.0),
        }
    }
}

fn show_acknowledgement(acknowledgement: Acknowledgement) -> &'static str {
    match acknowledgement {
        Acknowledgement::Buffered => "buffered",
        Acknowledgement::Flushed => "flushed",
        Acknowledgement::WriteThrough => "through",
    }
}
