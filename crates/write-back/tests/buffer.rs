//! Tests of the buffer. A simulation runs it with a log on a simulated disk and model nodes through random crashes, and
//! compares the acknowledgements with the writes that the nodes have stored.

mod simulated_disk;

use lupinrack_write_back::{
    AcceptedWrite, AcknowledgeAt, Acknowledgement, Action, AttemptOutcome, Buffer, Input, Limits,
    Log, Lookup, Moment, Waiter, WriteId, WriteTable,
};
use simulated_disk::SimDisk;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const REPEAT_WINDOW_US: i64 = 4_000_000;
const LIMITS: Limits = Limits {
    max_pending_bytes: 4_000,
    sync_delay: 2_000,
    repeat_window: REPEAT_WINDOW_US,
    retry_delay: 50_000,
};

/// Model of the nodes of two shards: which writes ran, and when each key first ran on each shard.
#[derive(Default)]
struct Nodes {
    first_run_at: BTreeMap<(u32, Vec<u8>), i64>,
    runs: BTreeMap<Vec<u8>, u32>,
    order: Vec<Vec<u8>>,
}

impl Nodes {
    fn run(&mut self, now: i64, shard: u32, key: &[u8]) {
        let first_run_at = self.first_run_at.get(&(shard, key.to_vec())).copied();
        if first_run_at.is_none_or(|at| now - at >= REPEAT_WINDOW_US) {
            self.first_run_at.insert((shard, key.to_vec()), now);
            *self.runs.entry(key.to_vec()).or_default() += 1;
            self.order.push(key.to_vec());
        }
    }

    fn have(&self, key: &[u8]) -> bool {
        self.runs.contains_key(key)
    }
}

/// Simulation of one front and its restarts.
struct Simulation {
    random: fastrand::Rng,
    now: i64,
    boot: u64,
    buffer: Buffer,
    log: Option<Log<SimDisk>>,
    nodes: Nodes,
    keys: BTreeMap<WriteId, Vec<u8>>,
    /// Key of each write by its waiter.
    put_keys: BTreeMap<Waiter, Vec<u8>>,
    /// Keys of the writes that were acknowledged as buffered.
    buffered: BTreeSet<Vec<u8>>,
    /// Keys of the writes that were acknowledged as flushed.
    flushed: BTreeSet<Vec<u8>>,
    in_doubt: BTreeSet<Vec<u8>>,
    /// Keys that each flush covers, by its waiter.
    flushes: BTreeMap<Waiter, BTreeSet<Vec<u8>>>,
    syncing: bool,
    /// Attempts whose intent is not durable yet: write, attempt and shard.
    intended: VecDeque<(WriteId, u16, u32)>,
    next_attempt: BTreeMap<WriteId, u16>,
    last_waiter: u64,
    /// Whether attempts and lookups succeed without faults.
    fault_free: bool,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let (log, _) = Log::open(SimDisk::default(), 1_500).unwrap();
        let buffer = Buffer::new(LIMITS, WriteTable::default(), log.next_sequence());
        Simulation {
            random: fastrand::Rng::with_seed(seed),
            now: 10_000_000,
            boot: 1,
            buffer,
            log: Some(log),
            nodes: Nodes::default(),
            keys: BTreeMap::new(),
            put_keys: BTreeMap::new(),
            buffered: BTreeSet::new(),
            flushed: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            flushes: BTreeMap::new(),
            syncing: false,
            intended: VecDeque::new(),
            next_attempt: BTreeMap::new(),
            last_waiter: 0,
            fault_free: false,
        }
    }

    fn handle(&mut self, input: Input) {
        let (mut actions, moment) = (
            Vec::new(),
            Moment {
                since_boot: self.now,
                boot: self.boot,
                wall: 0,
            },
        );
        self.buffer.handle(moment, input, &mut actions);
        let mut inputs = Vec::new();
        for action in actions {
            match action {
                Action::Append(record) => {
                    if let Some(log) = &mut self.log {
                        log.append(&record).unwrap();
                    }
                }
                Action::Sync => self.syncing = true,
                Action::Acknowledge(waiter, acknowledgement) => {
                    self.on_acknowledgement(waiter, acknowledgement)
                }
                Action::Open(write, only) => {
                    let next_attempt = self.next_attempt.entry(write).or_default();
                    let (attempt, shard) = (
                        *next_attempt,
                        only.map_or(self.random.u32(0..2), |restriction| restriction.0),
                    );
                    *next_attempt += 1;
                    inputs.push(Input::Intent {
                        write,
                        attempt,
                        node: format!("n{shard}"),
                        shard,
                    });
                    self.intended.push_back((write, attempt, shard));
                }
                Action::Send(write, attempt) => inputs.extend(self.send(write, attempt)),
                Action::Abort(write, attempt) => self
                    .intended
                    .retain(|intended| (intended.0, intended.1) != (write, attempt)),
                Action::Locate(write, _) => {
                    let key = self.key(write);
                    let known = self.fault_free || self.random.u32(0..20) > 0;
                    let lookup = match known {
                        false => Lookup::Unknown,
                        true if self.nodes.have(&key) => Lookup::Present,
                        true => Lookup::Absent,
                    };
                    inputs.push(Input::Located(write, lookup));
                }
                Action::Reclaim(needed_from) => {
                    if let Some(log) = &mut self.log {
                        log.reclaim(needed_from).unwrap();
                    }
                }
                Action::InDoubt(write) => {
                    let key = self.key(write);
                    self.in_doubt.insert(key);
                }
                Action::Wake(_) => {}
            }
        }
        inputs.into_iter().for_each(|input| self.handle(input));
    }

    fn key(&self, write: WriteId) -> Vec<u8> {
        let pending = self
            .buffer
            .pending()
            .find(|pending| pending.accepted.write == write);
        pending
            .map(|pending| pending.accepted.key.clone())
            .or_else(|| self.keys.get(&write).cloned())
            .unwrap_or_default()
    }

    fn on_acknowledgement(&mut self, waiter: Waiter, acknowledgement: Acknowledgement) {
        if let Some(keys) = self.flushes.get(&waiter) {
            for key in keys {
                assert!(self.nodes.have(key), "flushed, and no node has it");
            }
        }
        let Some(key) = self.put_keys.get(&waiter).cloned() else {
            return;
        };
        match acknowledgement {
            Acknowledgement::Buffered => drop(self.buffered.insert(key)),
            Acknowledgement::Flushed => {
                assert!(self.nodes.have(&key), "flushed, and no node has it");
                self.flushed.insert(key);
            }
            Acknowledgement::WriteThrough => {}
        }
    }

    /// Sends an attempt. Its outcome is reported at once, reported as unknown, or never reported.
    fn send(&mut self, write: WriteId, attempt: u16) -> Vec<Input> {
        let Some(position) = self
            .intended
            .iter()
            .position(|intended| (intended.0, intended.1) == (write, attempt))
        else {
            return Vec::new();
        };
        let (_, _, shard) = self.intended.remove(position).unwrap();
        let key = self.key(write);
        self.keys.insert(write, key.clone());
        let result = if self.fault_free {
            9
        } else {
            self.random.u32(0..10)
        };
        if result > 1 {
            self.nodes.run(self.now, shard, &key);
        }
        match result {
            0 => vec![
                Input::AttemptEnded(write, attempt, AttemptOutcome::NeverRan),
                Input::Released(write),
            ],
            // Connection reset before (1) or after (2) it ran.
            1 | 2 => vec![
                Input::AttemptEnded(write, attempt, AttemptOutcome::MayHaveRun),
                Input::Released(write),
            ],
            // It ran, but its end is never reported.
            3 => Vec::new(),
            _ => vec![Input::AttemptEnded(write, attempt, AttemptOutcome::Stored)],
        }
    }

    fn step(&mut self) {
        self.now += self.random.i64(0..40_000);
        match self.random.u32(0..20) {
            0..=7 => {
                self.last_waiter += 1;
                let (waiter, key) = (
                    Waiter(self.last_waiter),
                    format!("k-{}", self.last_waiter).into_bytes(),
                );
                self.put_keys.insert(waiter, key.clone());
                let write = AcceptedWrite {
                    write: WriteId(0),
                    volume: self.random.u64(0..3),
                    plan: "basic".into(),
                    milliunits: 1_000,
                    key,
                    target: Vec::new(),
                    body: vec![1; self.random.usize(0..300)],
                    give_up: 0,
                };
                let acknowledge_at = if self.random.bool() {
                    AcknowledgeAt::Buffered
                } else {
                    AcknowledgeAt::Flushed
                };
                self.handle(Input::Write(waiter, acknowledge_at, write));
            }
            8 => {
                let volume = self.random.u64(0..3);
                self.last_waiter += 1;
                let of_volume = self
                    .buffer
                    .pending()
                    .filter(|pending| pending.accepted.volume == volume);
                let keys: BTreeSet<Vec<u8>> = of_volume
                    .map(|pending| pending.accepted.key.clone())
                    .collect();
                self.flushes.insert(Waiter(self.last_waiter), keys);
                self.handle(Input::Flush(Waiter(self.last_waiter), volume));
            }
            9 => {
                let volume = self.random.u64(0..3);
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

    /// Crashes the front, sometimes with a reboot of the machine, and restarts it from its log.
    fn crash(&mut self) {
        let mut disk = self.log.take().unwrap().into_disk();
        disk.crash(&mut self.random);
        self.now += self.random.i64(0..8_000_000);
        if self.random.u32(0..5) == 0 {
            (self.boot, self.now) = (self.boot + 1, self.now);
        }
        let (log, recovered) = Log::open(disk, 1_500).unwrap();
        let mut table = WriteTable::default();
        recovered
            .records
            .iter()
            .for_each(|(sequence, record)| table.apply(*sequence, record));
        self.next_attempt = table
            .pending()
            .map(|pending| (pending.accepted.write, pending.attempts.len() as u16 + 100))
            .collect();
        self.buffer = Buffer::new(LIMITS, table, log.next_sequence());
        (self.log, self.syncing) = (Some(log), false);
        self.intended.clear();
        self.flushes.clear();
        self.keys.clear();
    }

    /// Restarts the front and runs it without faults until all writes are resolved.
    fn finish(&mut self) {
        self.crash();
        self.fault_free = true;
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
fn no_acknowledged_write_is_lost_and_none_runs_twice_across_crashes() {
    let (mut runs_done, mut acknowledgements, mut in_doubt) = (0, 0, 0);
    for seed in 0..400 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..300 {
            simulation.step();
        }
        simulation.finish();
        for key in simulation.buffered.iter().chain(&simulation.flushed) {
            let name = String::from_utf8_lossy(key).into_owned();
            assert!(
                simulation.nodes.have(key),
                "seed {seed}: {name} was acknowledged and lost"
            );
        }
        for (key, runs) in &simulation.nodes.runs {
            assert_eq!(
                *runs,
                1,
                "seed {seed}: {} ran more than once",
                String::from_utf8_lossy(key)
            );
        }
        assert_eq!(
            simulation.buffer.pending_bytes(),
            0,
            "seed {seed}: writes are still pending"
        );
        acknowledgements += simulation.buffered.len() + simulation.flushed.len();
        in_doubt += simulation.in_doubt.len();
        runs_done += 1;
    }
    assert!(
        acknowledgements > 10_000 && runs_done == 400 && in_doubt > 0,
        "{acknowledgements} acknowledgements, {in_doubt} in doubt"
    );
}

fn put(
    buffer: &mut Buffer,
    number: u64,
    acknowledge_at: AcknowledgeAt,
    body_bytes: usize,
    since_boot: i64,
) -> Vec<Action> {
    let write = AcceptedWrite {
        write: WriteId(0),
        volume: 1,
        plan: "basic".into(),
        milliunits: 1_000,
        key: vec![number as u8],
        target: Vec::new(),
        body: vec![0; body_bytes],
        give_up: 0,
    };
    handle(
        buffer,
        Input::Write(Waiter(number), acknowledge_at, write),
        since_boot,
    )
}

fn handle(buffer: &mut Buffer, input: Input, since_boot: i64) -> Vec<Action> {
    let mut actions = Vec::new();
    buffer.handle(
        Moment {
            since_boot,
            boot: 1,
            wall: 0,
        },
        input,
        &mut actions,
    );
    actions
}

#[test]
fn many_writes_share_one_sync_and_none_is_acknowledged_before_it() {
    let mut buffer = Buffer::new(LIMITS, WriteTable::default(), 1);
    let before_sync: Vec<Action> = (1..=10)
        .flat_map(|number| put(&mut buffer, number, AcknowledgeAt::Buffered, 10, 0))
        .collect();
    assert!(!before_sync.iter().any(|action| matches!(
        action,
        Action::Acknowledge(..) | Action::Sync | Action::Open(..)
    )));
    let actions = handle(&mut buffer, Input::Timer, LIMITS.sync_delay);
    assert_eq!(actions, [Action::Sync]);
    let actions = handle(&mut buffer, Input::Synced, 3_000);
    let acknowledged = actions
        .iter()
        .filter(|action| matches!(action, Action::Acknowledge(_, Acknowledgement::Buffered)))
        .count();
    let opened = actions
        .iter()
        .filter(|action| matches!(action, Action::Open(_, None)))
        .count();
    assert_eq!((acknowledged, opened), (10, 10));
    // An attempt is sent only once its intent is synced.
    let actions = handle(
        &mut buffer,
        Input::Intent {
            write: WriteId(1),
            attempt: 0,
            node: "a".into(),
            shard: 0,
        },
        3_000,
    );
    assert!(actions.contains(&Action::Sync) && !actions.contains(&Action::Send(WriteId(1), 0)));
    assert!(handle(&mut buffer, Input::Synced, 3_500).contains(&Action::Send(WriteId(1), 0)));
}

#[test]
fn writes_over_the_limit_or_after_a_log_failure_are_written_through() {
    let mut buffer = Buffer::new(LIMITS, WriteTable::default(), 1);
    assert!(
        !put(&mut buffer, 1, AcknowledgeAt::Buffered, 3_900, 0).contains(&Action::Acknowledge(
            Waiter(1),
            Acknowledgement::WriteThrough
        ))
    );
    assert!(
        put(&mut buffer, 2, AcknowledgeAt::Buffered, 200, 0).contains(&Action::Acknowledge(
            Waiter(2),
            Acknowledgement::WriteThrough
        ))
    );
    handle(&mut buffer, Input::Timer, LIMITS.sync_delay);
    let actions = handle(&mut buffer, Input::LogFailed, 3_000);
    assert!(
        actions.contains(&Action::Acknowledge(
            Waiter(1),
            Acknowledgement::WriteThrough
        )),
        "an unsynced write counts as not written"
    );
    assert!(
        put(&mut buffer, 3, AcknowledgeAt::Flushed, 1, 4_000).contains(&Action::Acknowledge(
            Waiter(3),
            Acknowledgement::WriteThrough
        ))
    );
    assert_eq!(buffer.pending_bytes(), 0);
}

#[test]
fn a_barrier_delays_later_writes_and_a_flush_waits_for_earlier_ones() {
    let mut buffer = Buffer::new(LIMITS, WriteTable::default(), 1);
    put(&mut buffer, 1, AcknowledgeAt::Buffered, 1, 0);
    handle(&mut buffer, Input::Barrier(1), 0);
    put(&mut buffer, 2, AcknowledgeAt::Buffered, 1, 0);
    handle(&mut buffer, Input::Timer, LIMITS.sync_delay);
    let actions = handle(&mut buffer, Input::Synced, 3_000);
    assert!(
        actions.contains(&Action::Open(WriteId(1), None))
            && !actions.contains(&Action::Open(WriteId(2), None))
    );
    assert!(!handle(&mut buffer, Input::Flush(Waiter(9), 1), 3_000)
        .contains(&Action::Acknowledge(Waiter(9), Acknowledgement::Flushed)));
    handle(
        &mut buffer,
        Input::Intent {
            write: WriteId(1),
            attempt: 0,
            node: "a".into(),
            shard: 0,
        },
        3_000,
    );
    handle(&mut buffer, Input::Synced, 3_100);
    let actions = handle(
        &mut buffer,
        Input::AttemptEnded(WriteId(1), 0, AttemptOutcome::Stored),
        3_200,
    );
    assert!(
        actions.contains(&Action::Open(WriteId(2), None))
            && !actions.contains(&Action::Acknowledge(Waiter(9), Acknowledgement::Flushed))
    );
    handle(
        &mut buffer,
        Input::Intent {
            write: WriteId(2),
            attempt: 0,
            node: "a".into(),
            shard: 0,
        },
        3_300,
    );
    handle(&mut buffer, Input::Synced, 3_400);
    let actions = handle(
        &mut buffer,
        Input::AttemptEnded(WriteId(2), 0, AttemptOutcome::Stored),
        3_500,
    );
    assert!(actions.contains(&Action::Acknowledge(Waiter(9), Acknowledgement::Flushed)));
}
