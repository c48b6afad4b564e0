//! The buffer, its log on a simulated disk, and model nodes, over random crashes: what was promised against what the
//! nodes hold.

mod simulated_disk;

use lupinrack_write_back::{
    AcceptedWrite, AcknowledgeAt, Acknowledgement, Action, AttemptOutcome, Buffer, Input, Limits,
    Log, Lookup, Moment, Waiter, WriteId, WriteTable,
};
use simulated_disk::SimDisk;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const WINDOW: i64 = 4_000_000;
const LIMITS: Limits = Limits {
    max_pending_bytes: 4_000,
    sync_delay: 2_000,
    repeat_window: WINDOW,
    retry_delay: 50_000,
};

/// Nodes on two shards: what ran where, and when each key first did on its shard.
#[derive(Default)]
struct Nodes {
    first: BTreeMap<(u32, Vec<u8>), i64>,
    runs: BTreeMap<Vec<u8>, u32>,
    order: Vec<Vec<u8>>,
}

impl Nodes {
    fn run(&mut self, now: i64, shard: u32, key: &[u8]) {
        let first = self.first.get(&(shard, key.to_vec())).copied();
        if first.is_none_or(|at| now - at >= WINDOW) {
            self.first.insert((shard, key.to_vec()), now);
            *self.runs.entry(key.to_vec()).or_default() += 1;
            self.order.push(key.to_vec());
        }
    }

    fn hold(&self, key: &[u8]) -> bool {
        self.runs.contains_key(key)
    }
}

/// One front over its lives.
struct World {
    dice: fastrand::Rng,
    now: i64,
    boot: u64,
    buffer: Buffer,
    log: Option<Log<SimDisk>>,
    nodes: Nodes,
    keys: BTreeMap<WriteId, Vec<u8>>,
    /// Keys by the waiter of their put, and what each waiter was told.
    puts: BTreeMap<Waiter, Vec<u8>>,
    buffered: BTreeSet<Vec<u8>>,
    flushed: BTreeSet<Vec<u8>>,
    doubt: BTreeSet<Vec<u8>>,
    /// What each flush was promised of.
    flushes: BTreeMap<Waiter, BTreeSet<Vec<u8>>>,
    syncing: bool,
    sent: VecDeque<(WriteId, u16, u32)>,
    attempts: BTreeMap<WriteId, u16>,
    number: u64,
    calm: bool,
}

impl World {
    fn new(seed: u64) -> World {
        let (log, _) = Log::open(SimDisk::default(), 1_500).unwrap();
        let buffer = Buffer::new(LIMITS, WriteTable::default(), log.next());
        World {
            dice: fastrand::Rng::with_seed(seed),
            now: 10_000_000,
            boot: 1,
            buffer,
            log: Some(log),
            nodes: Nodes::default(),
            keys: BTreeMap::new(),
            puts: BTreeMap::new(),
            buffered: BTreeSet::new(),
            flushed: BTreeSet::new(),
            doubt: BTreeSet::new(),
            flushes: BTreeMap::new(),
            syncing: false,
            sent: VecDeque::new(),
            attempts: BTreeMap::new(),
            number: 0,
            calm: false,
        }
    }

    fn handle(&mut self, input: Input) {
        let (mut out, moment) = (
            Vec::new(),
            Moment {
                since_boot: self.now,
                boot: self.boot,
                wall: 0,
            },
        );
        self.buffer.handle(moment, input, &mut out);
        let mut inputs = Vec::new();
        for action in out {
            match action {
                Action::Append(record) => {
                    if let Some(log) = &mut self.log {
                        log.append(&record).unwrap();
                    }
                }
                Action::Sync => self.syncing = true,
                Action::Acknowledge(waiter, said) => self.told(waiter, said),
                Action::Open(write, only) => {
                    let number = self.attempts.entry(write).or_default();
                    let (attempt, shard) = (*number, only.map_or(self.dice.u32(0..2), |o| o.0));
                    *number += 1;
                    inputs.push(Input::Intent {
                        write,
                        attempt,
                        node: format!("n{shard}"),
                        shard,
                    });
                    self.sent.push_back((write, attempt, shard));
                }
                Action::Send(write, attempt) => inputs.extend(self.go(write, attempt)),
                Action::Abort(write, attempt) => {
                    self.sent.retain(|s| (s.0, s.1) != (write, attempt))
                }
                Action::Locate(write, _) => {
                    let key = self.key(write);
                    let known = self.calm || self.dice.u32(0..20) > 0;
                    let lookup = match known {
                        false => Lookup::Unknown,
                        true if self.nodes.hold(&key) => Lookup::Present,
                        true => Lookup::Absent,
                    };
                    inputs.push(Input::Located(write, lookup));
                }
                Action::Reclaim(needed) => {
                    if let Some(log) = &mut self.log {
                        log.reclaim(needed).unwrap();
                    }
                }
                Action::InDoubt(write) => {
                    let key = self.key(write);
                    self.doubt.insert(key);
                }
                Action::Wake(_) => {}
            }
        }
        inputs.into_iter().for_each(|i| self.handle(i));
    }

    fn key(&self, write: WriteId) -> Vec<u8> {
        let pending = self.buffer.pending().find(|p| p.accepted.write == write);
        pending
            .map(|p| p.accepted.key.clone())
            .or_else(|| self.keys.get(&write).cloned())
            .unwrap_or_default()
    }

    fn told(&mut self, waiter: Waiter, said: Acknowledgement) {
        if let Some(keys) = self.flushes.get(&waiter) {
            for key in keys {
                assert!(self.nodes.hold(key), "flushed, and no node has it");
            }
        }
        let Some(key) = self.puts.get(&waiter).cloned() else {
            return;
        };
        match said {
            Acknowledgement::Buffered => drop(self.buffered.insert(key)),
            Acknowledgement::Flushed => {
                assert!(self.nodes.hold(&key), "flushed, and no node has it");
                self.flushed.insert(key);
            }
            Acknowledgement::WriteThrough => {}
        }
    }

    /// An attempt's bytes leave; how it ends is told now, later, or never.
    fn go(&mut self, write: WriteId, attempt: u16) -> Vec<Input> {
        let Some(at) = self
            .sent
            .iter()
            .position(|s| (s.0, s.1) == (write, attempt))
        else {
            return Vec::new();
        };
        let (_, _, shard) = self.sent.remove(at).unwrap();
        let key = self.key(write);
        self.keys.insert(write, key.clone());
        let fate = if self.calm { 9 } else { self.dice.u32(0..10) };
        if fate > 1 {
            self.nodes.run(self.now, shard, &key);
        }
        match fate {
            0 => vec![
                Input::AttemptEnded(write, attempt, AttemptOutcome::NeverRan),
                Input::Released(write),
            ],
            // Reset, before or after it ran: nobody knows.
            1 | 2 => vec![
                Input::AttemptEnded(write, attempt, AttemptOutcome::MayHaveRun),
                Input::Released(write),
            ],
            // Its end is still on its way.
            3 => Vec::new(),
            _ => vec![Input::AttemptEnded(write, attempt, AttemptOutcome::Stored)],
        }
    }

    fn step(&mut self) {
        self.now += self.dice.i64(0..40_000);
        match self.dice.u32(0..20) {
            0..=7 => {
                self.number += 1;
                let (waiter, key) = (
                    Waiter(self.number),
                    format!("k-{}", self.number).into_bytes(),
                );
                self.puts.insert(waiter, key.clone());
                let taken = AcceptedWrite {
                    write: WriteId(0),
                    volume: self.dice.u64(0..3),
                    plan: "basic".into(),
                    milliunits: 1_000,
                    key,
                    target: Vec::new(),
                    body: vec![1; self.dice.usize(0..300)],
                    give_up: 0,
                };
                let wish = if self.dice.bool() {
                    AcknowledgeAt::Buffered
                } else {
                    AcknowledgeAt::Flushed
                };
                self.handle(Input::Write(waiter, wish, taken));
            }
            8 => {
                let volume = self.dice.u64(0..3);
                self.number += 1;
                let mine = self
                    .buffer
                    .pending()
                    .filter(|p| p.accepted.volume == volume);
                let keys: BTreeSet<Vec<u8>> = mine.map(|p| p.accepted.key.clone()).collect();
                self.flushes.insert(Waiter(self.number), keys);
                self.handle(Input::Flush(Waiter(self.number), volume));
            }
            9 => {
                let volume = self.dice.u64(0..3);
                self.handle(Input::Barrier(volume));
            }
            10 => self.crash(),
            _ => {
                if std::mem::take(&mut self.syncing) {
                    self.log.as_mut().unwrap().sync().unwrap();
                    self.handle(Input::Synced);
                }
                self.handle(Input::Timer);
            }
        }
    }

    fn crash(&mut self) {
        let mut disk = self.log.take().unwrap().into_disk();
        disk.crash(&mut self.dice);
        self.now += self.dice.i64(0..8_000_000);
        if self.dice.u32(0..5) == 0 {
            (self.boot, self.now) = (self.boot + 1, self.now);
        }
        let (log, found) = Log::open(disk, 1_500).unwrap();
        let mut book = WriteTable::default();
        found.records.iter().for_each(|(s, r)| book.apply(*s, r));
        self.attempts = book
            .pending()
            .map(|p| (p.accepted.write, p.attempts.len() as u16 + 100))
            .collect();
        self.buffer = Buffer::new(LIMITS, book, log.next());
        (self.log, self.syncing) = (Some(log), false);
        self.sent.clear();
        self.flushes.clear();
        self.keys.clear();
    }

    fn finish(&mut self) {
        self.crash();
        self.calm = true;
        for _ in 0..2_000 {
            self.now += 20_000;
            if std::mem::take(&mut self.syncing) {
                self.log.as_mut().unwrap().sync().unwrap();
                self.handle(Input::Synced);
            }
            self.handle(Input::Timer);
            if self.buffer.pending().next().is_none() {
                break;
            }
        }
    }
}

#[test]
fn nothing_acknowledged_is_lost_and_nothing_runs_twice_over_crashes_at_any_point() {
    let (mut crashes, mut acks, mut doubts) = (0, 0, 0);
    for seed in 0..400 {
        let mut w = World::new(seed);
        for _ in 0..300 {
            w.step();
        }
        w.finish();
        for key in w.buffered.iter().chain(&w.flushed) {
            let name = String::from_utf8_lossy(key).into_owned();
            assert!(
                w.nodes.hold(key),
                "seed {seed}: {name} was acknowledged and lost"
            );
        }
        for (key, runs) in &w.nodes.runs {
            assert_eq!(
                *runs,
                1,
                "seed {seed}: {} ran more than once",
                String::from_utf8_lossy(key)
            );
        }
        assert_eq!(
            w.buffer.pending_bytes(),
            0,
            "seed {seed}: something is left"
        );
        acks += w.buffered.len() + w.flushed.len();
        doubts += w.doubt.len();
        crashes += 1;
    }
    assert!(
        acks > 10_000 && crashes == 400 && doubts > 0,
        "{acks} acknowledgements, {doubts} in doubt"
    );
}

fn put(b: &mut Buffer, n: u64, wish: AcknowledgeAt, size: usize, at: i64) -> Vec<Action> {
    let taken = AcceptedWrite {
        write: WriteId(0),
        volume: 1,
        plan: "basic".into(),
        milliunits: 1_000,
        key: vec![n as u8],
        target: Vec::new(),
        body: vec![0; size],
        give_up: 0,
    };
    handle(b, Input::Write(Waiter(n), wish, taken), at)
}

fn handle(b: &mut Buffer, input: Input, at: i64) -> Vec<Action> {
    let mut out = Vec::new();
    b.handle(
        Moment {
            since_boot: at,
            boot: 1,
            wall: 0,
        },
        input,
        &mut out,
    );
    out
}

#[test]
fn many_writes_share_one_sync_and_none_is_acknowledged_before_it() {
    let mut b = Buffer::new(LIMITS, WriteTable::default(), 1);
    let early: Vec<Action> = (1..=10)
        .flat_map(|n| put(&mut b, n, AcknowledgeAt::Buffered, 10, 0))
        .collect();
    assert!(!early
        .iter()
        .any(|a| matches!(a, Action::Acknowledge(..) | Action::Sync | Action::Open(..))));
    let out = handle(&mut b, Input::Timer, LIMITS.sync_delay);
    assert_eq!(out, [Action::Sync]);
    let out = handle(&mut b, Input::Synced, 3_000);
    let said = out
        .iter()
        .filter(|a| matches!(a, Action::Acknowledge(_, Acknowledgement::Buffered)))
        .count();
    let opened = out
        .iter()
        .filter(|a| matches!(a, Action::Open(_, None)))
        .count();
    assert_eq!((said, opened), (10, 10));
    // An attempt's bytes leave only once its intent is synced.
    let out = handle(
        &mut b,
        Input::Intent {
            write: WriteId(1),
            attempt: 0,
            node: "a".into(),
            shard: 0,
        },
        3_000,
    );
    assert!(out.contains(&Action::Sync) && !out.contains(&Action::Send(WriteId(1), 0)));
    assert!(handle(&mut b, Input::Synced, 3_500).contains(&Action::Send(WriteId(1), 0)));
}

#[test]
fn beyond_the_bound_and_after_the_log_failed_writes_go_through() {
    let mut b = Buffer::new(LIMITS, WriteTable::default(), 1);
    assert!(
        !put(&mut b, 1, AcknowledgeAt::Buffered, 3_900, 0).contains(&Action::Acknowledge(
            Waiter(1),
            Acknowledgement::WriteThrough
        ))
    );
    assert!(
        put(&mut b, 2, AcknowledgeAt::Buffered, 200, 0).contains(&Action::Acknowledge(
            Waiter(2),
            Acknowledgement::WriteThrough
        ))
    );
    handle(&mut b, Input::Timer, LIMITS.sync_delay);
    let out = handle(&mut b, Input::LogFailed, 3_000);
    assert!(
        out.contains(&Action::Acknowledge(
            Waiter(1),
            Acknowledgement::WriteThrough
        )),
        "what was not synced counts as not written"
    );
    assert!(
        put(&mut b, 3, AcknowledgeAt::Flushed, 1, 4_000).contains(&Action::Acknowledge(
            Waiter(3),
            Acknowledgement::WriteThrough
        ))
    );
    assert_eq!(b.pending_bytes(), 0);
}

#[test]
fn a_barrier_holds_back_what_comes_after_it_and_a_flush_waits_for_what_came_before() {
    let mut b = Buffer::new(LIMITS, WriteTable::default(), 1);
    put(&mut b, 1, AcknowledgeAt::Buffered, 1, 0);
    handle(&mut b, Input::Barrier(1), 0);
    put(&mut b, 2, AcknowledgeAt::Buffered, 1, 0);
    handle(&mut b, Input::Timer, LIMITS.sync_delay);
    let out = handle(&mut b, Input::Synced, 3_000);
    assert!(
        out.contains(&Action::Open(WriteId(1), None))
            && !out.contains(&Action::Open(WriteId(2), None))
    );
    assert!(!handle(&mut b, Input::Flush(Waiter(9), 1), 3_000)
        .contains(&Action::Acknowledge(Waiter(9), Acknowledgement::Flushed)));
    handle(
        &mut b,
        Input::Intent {
            write: WriteId(1),
            attempt: 0,
            node: "a".into(),
            shard: 0,
        },
        3_000,
    );
    handle(&mut b, Input::Synced, 3_100);
    let out = handle(
        &mut b,
        Input::AttemptEnded(WriteId(1), 0, AttemptOutcome::Stored),
        3_200,
    );
    assert!(
        out.contains(&Action::Open(WriteId(2), None))
            && !out.contains(&Action::Acknowledge(Waiter(9), Acknowledgement::Flushed))
    );
    handle(
        &mut b,
        Input::Intent {
            write: WriteId(2),
            attempt: 0,
            node: "a".into(),
            shard: 0,
        },
        3_300,
    );
    handle(&mut b, Input::Synced, 3_400);
    let out = handle(
        &mut b,
        Input::AttemptEnded(WriteId(2), 0, AttemptOutcome::Stored),
        3_500,
    );
    assert!(out.contains(&Action::Acknowledge(Waiter(9), Acknowledgement::Flushed)));
}
