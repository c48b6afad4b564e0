//! The dispatcher, compared with a model that computes each tag from the list of all arrivals.

mod common;

use common::{arrival, Choices, TestDispatcher};
use lupinrack_cluster_api::time::Millis;
use lupinrack_dispatch::{hybrid_delay, DispatchSettings, Dispatcher, Tag};
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::collections::BTreeMap;

const SERVERS: u8 = 3;
const STREAMS: [(char, f64); 3] = [('a', 0.5), ('b', 0.3), ('c', 1.0)];
const SETTINGS: DispatchSettings = DispatchSettings {
    depth: 4,
    minimum_weight_ratio: 0.5,
    stream_idle_ms: 1_000,
    max_bypasses: 3,
    orders_by_start_tag: true,
};
const SCALE: f64 = 1e6;

/// A call of the dispatcher.
#[derive(Clone, Debug)]
enum Call {
    Place {
        server: u8,
        stream: usize,
        quarters: u32,
    },
    Withdraw {
        server: u8,
        index: usize,
    },
    Release {
        server: u8,
        running: usize,
        free_quarters: u32,
    },
    RemoveServer {
        server: u8,
    },
    Wait {
        ms: u64,
    },
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut choices = Choices(u64::arbitrary(g));
        let server = choices.below(SERVERS.into()) as u8;
        match choices.below(20) {
            0..=9 => Call::Place {
                server,
                stream: choices.below(3) as usize,
                quarters: choices.below(12) as u32,
            },
            10..=11 => Call::Withdraw {
                server,
                index: choices.below(8) as usize,
            },
            12..=17 => Call::Release {
                server,
                running: choices.below(5) as usize,
                free_quarters: choices.below(30) as u32,
            },
            18 => Call::Wait {
                ms: choices.below(1500),
            },
            _ => Call::RemoveServer { server },
        }
    }
}

#[derive(Clone, PartialEq)]
enum Stage {
    Queued,
    Released,
    Withdrawn,
}

#[derive(Clone)]
struct TaskRecord {
    server: u8,
    stream: usize,
    quarters: u32,
    start: u64,
    stage: Stage,
    bypasses: u32,
}

#[derive(Clone)]
struct LastTask {
    finish: u64,
    task: usize,
    last_active: u64,
}

/// The state of a stream: the number of arrivals before it began, and when the stream was last active.
#[derive(Clone)]
struct StreamRecord {
    first_arrival: usize,
    last_active: u64,
}

/// The model. Tasks are numbered in the order of arrival.
#[derive(Default)]
struct Model {
    arrivals: Vec<TaskRecord>,
    last: BTreeMap<(usize, u8), LastTask>,
    streams: BTreeMap<usize, StreamRecord>,
    virtual_times: BTreeMap<u8, u64>,
    now: u64,
}

fn units(quarters: u32) -> f64 {
    f64::from(quarters) / 4.0
}

impl Model {
    fn queue(&self, server: u8) -> Vec<usize> {
        let is_queued = |task: &usize| {
            let task_record = &self.arrivals[*task];
            task_record.server == server && task_record.stage == Stage::Queued
        };
        let mut tasks: Vec<usize> = (0..self.arrivals.len()).filter(is_queued).collect();
        tasks.sort_by_key(|task| (self.arrivals[*task].start, *task));
        tasks
    }

    fn remove_idle(&mut self, stream: usize) {
        let is_queued = |server: u8| {
            self.queue(server)
                .iter()
                .any(|task| self.arrivals[*task].stream == stream)
        };
        let idle = |last_active: u64| self.now - last_active >= SETTINGS.stream_idle_ms;
        let idle_servers: Vec<(usize, u8)> = (0..SERVERS)
            .filter(|server| {
                self.last
                    .get(&(stream, *server))
                    .is_some_and(|last| idle(last.last_active))
            })
            .filter(|server| !is_queued(*server))
            .map(|server| (stream, server))
            .collect();
        self.last.retain(|key, _| !idle_servers.contains(key));
        let remaining = (0..SERVERS).any(|server| self.last.contains_key(&(stream, server)));
        if !remaining
            && self
                .streams
                .get(&stream)
                .is_some_and(|stream_record| idle(stream_record.last_active))
        {
            self.streams.remove(&stream);
        }
    }

    fn remote_cost(&self, stream: usize, server: u8, first_arrival: usize) -> f64 {
        let from = self
            .last
            .get(&(stream, server))
            .map_or(first_arrival, |last| last.task + 1);
        let counts = |task_record: &&TaskRecord| {
            task_record.stream == stream && task_record.stage != Stage::Withdrawn
        };
        self.arrivals[from..]
            .iter()
            .filter(counts)
            .map(|task_record| units(task_record.quarters))
            .sum()
    }

    fn place(&mut self, server: u8, stream: usize, quarters: u32) {
        self.remove_idle(stream);
        let number = self.arrivals.len();
        let new_record = StreamRecord {
            first_arrival: number,
            last_active: self.now,
        };
        let stream_record = self.streams.entry(stream).or_insert(new_record);
        stream_record.last_active = self.now;
        let first_arrival = stream_record.first_arrival;
        let weight = STREAMS[stream].1;
        let cost = units(quarters);
        let delay = hybrid_delay(
            self.remote_cost(stream, server, first_arrival),
            cost,
            weight,
            SETTINGS.minimum_weight_ratio,
        );
        let previous = self
            .last
            .get(&(stream, server))
            .map_or(0, |last| last.finish);
        let virtual_time = self.virtual_times.get(&server).copied().unwrap_or(0);
        let start = virtual_time.max(previous + (delay / weight * SCALE).round() as u64);
        let finish = start + (cost / weight * SCALE).round() as u64;
        self.last.insert(
            (stream, server),
            LastTask {
                finish,
                task: number,
                last_active: self.now,
            },
        );
        self.arrivals.push(TaskRecord {
            server,
            stream,
            quarters,
            start,
            stage: Stage::Queued,
            bypasses: 0,
        });
    }

    fn withdraw(&mut self, task: usize) {
        self.arrivals[task].stage = Stage::Withdrawn;
        let TaskRecord {
            server,
            stream,
            start,
            ..
        } = self.arrivals[task];
        if let Some(last) = self
            .last
            .get_mut(&(stream, server))
            .filter(|last| last.task == task)
        {
            last.finish = start;
        }
    }

    /// Releases one task at a time, each time scanning from the head and skipping the tasks that did not fit.
    fn release(&mut self, server: u8, running: usize, mut free_quarters: u32) -> Vec<u32> {
        let mut released = Vec::new();
        let mut rejected: Vec<usize> = Vec::new();
        while running + released.len() < SETTINGS.depth {
            if rejected
                .iter()
                .any(|task| self.arrivals[*task].bypasses >= SETTINGS.max_bypasses)
            {
                break;
            }
            let next = self
                .queue(server)
                .into_iter()
                .find(|task| !rejected.contains(task));
            let Some(task) = next else { break };
            if self.arrivals[task].quarters > free_quarters {
                rejected.push(task);
                continue;
            }
            free_quarters -= self.arrivals[task].quarters;
            rejected
                .iter()
                .for_each(|task| self.arrivals[*task].bypasses += 1);
            self.start(task);
            released.push(task as u32);
        }
        released
    }

    fn start(&mut self, task: usize) {
        self.arrivals[task].stage = Stage::Released;
        let TaskRecord {
            server,
            stream,
            start,
            ..
        } = self.arrivals[task];
        let virtual_time = self.virtual_times.entry(server).or_insert(0);
        *virtual_time = start.max(*virtual_time);
        self.streams
            .get_mut(&stream)
            .expect("it was waiting")
            .last_active = self.now;
        self.last
            .get_mut(&(stream, server))
            .expect("it was waiting")
            .last_active = self.now;
    }

    fn remove_server(&mut self, server: u8) -> Vec<u32> {
        let tasks = self.queue(server);
        tasks.iter().for_each(|task| self.withdraw(*task));
        self.last.retain(|(_, at), _| *at != server);
        self.virtual_times.remove(&server);
        tasks.into_iter().map(|task| task as u32).collect()
    }
}

fn queue_of(dispatcher: &TestDispatcher, server: u8) -> Vec<usize> {
    dispatcher
        .queued(&server)
        .map(|task| *task as usize)
        .collect()
}

/// Makes one call on both; returns whether the results are equal.
fn same_result(model: &mut Model, dispatcher: &mut TestDispatcher, call: &Call) -> bool {
    let now = Millis(model.now);
    match *call {
        Call::Place {
            server,
            stream,
            quarters,
        } => {
            let (name, weight) = STREAMS[stream];
            let task = model.arrivals.len();
            model.place(server, stream, quarters);
            let tags = dispatcher.enqueue(
                &server,
                arrival(name, weight, units(quarters), task as u32),
                now,
            );
            tags.start == Tag(model.arrivals[task].start)
                && tags.finish == Tag(model.last[&(stream, server)].finish)
        }
        Call::Withdraw { server, index } => match model.queue(server).get(index).copied() {
            Some(task) => {
                model.withdraw(task);
                dispatcher.withdraw(&server, &(task as u32))
            }
            None => !dispatcher.withdraw(&server, &u32::MAX),
        },
        Call::Release {
            server,
            running,
            free_quarters,
        } => {
            let mut remaining = free_quarters;
            let arrivals = model.arrivals.clone();
            let fits = |task: &u32| {
                let quarters = arrivals[*task as usize].quarters;
                let fits = quarters <= remaining;
                remaining -= if fits { quarters } else { 0 };
                fits
            };
            dispatcher.release(&server, running, now, fits)
                == model.release(server, running, free_quarters)
        }
        Call::RemoveServer { server } => {
            dispatcher.remove_server(&server) == model.remove_server(server)
        }
        Call::Wait { ms } => {
            model.now += ms;
            true
        }
    }
}

quickcheck! {
    fn behaves_like_the_model(calls: Vec<Call>) -> bool {
        let mut model = Model::default();
        let mut dispatcher = Dispatcher::new(SETTINGS);
        calls.iter().all(|call| {
            same_result(&mut model, &mut dispatcher, call)
                && (0..SERVERS).all(|server| {
                    let virtual_time = model.virtual_times.get(&server).copied().unwrap_or(0);
                    queue_of(&dispatcher, server) == model.queue(server)
                        && dispatcher.virtual_time(&server) == Tag(virtual_time)
                })
        })
    }
}
