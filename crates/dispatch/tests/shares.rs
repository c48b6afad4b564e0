//! Shares of the servers' time under backlog, and what they would be without the design.

mod common;

use common::{arrival, Choices, NOW};
use lupinrack_dispatch::{hybrid_delay, DispatchSettings, Dispatcher};
use std::collections::BTreeMap;

const STREAMS: usize = 3;
const WEIGHTS: [f64; STREAMS] = [0.5, 0.3, 0.2];
/// Tasks that each stream keeps waiting on each server it uses: unequal, so that shares which follow the backlog show.
const BACKLOG: [u32; STREAMS] = [10, 20, 30];
/// Tasks that each server runs, one at a time.
const ROUNDS: u32 = 3000;
/// Within this part of what it should be, a share is taken as right.
const TOLERANCE: f64 = 0.1;
const DEFAULT_RATIO: f64 = 0.5;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
struct Task {
    stream: usize,
    number: u32,
}

/// How tasks are placed.
struct Setup {
    servers: u8,
    minimum_weight_ratio: f64,
    /// Under which stream and with which weight a stream's tasks are placed.
    label: fn(usize) -> (usize, f64),
    /// Which servers a stream uses.
    uses: fn(usize, u8) -> bool,
}

fn by_weight(stream: usize) -> (usize, f64) {
    (stream, WEIGHTS[stream])
}

/// One stream of weight 1 holds all tasks: first come, first served.
fn first_in_first_out(_: usize) -> (usize, f64) {
    (0, 1.0)
}

fn every_server(_: usize, _: u8) -> bool {
    true
}

fn first_stream_on_one_server(stream: usize, server: u8) -> bool {
    stream != 0 || server == 0
}

/// Backlogged streams: each task that is served is followed by another one of its stream on the same server.
struct Load {
    dispatcher: Dispatcher<u8, usize, Task>,
    choices: Choices,
    costs: BTreeMap<Task, f64>,
    placed: u32,
}

impl Load {
    fn new(setup: &Setup) -> Self {
        let minimum_weight_ratio = setup.minimum_weight_ratio;
        let settings = DispatchSettings {
            depth: 1,
            minimum_weight_ratio,
            ..DispatchSettings::default()
        };
        Load {
            dispatcher: Dispatcher::new(settings),
            choices: Choices(7),
            costs: BTreeMap::new(),
            placed: 0,
        }
    }

    fn place(&mut self, setup: &Setup, stream: usize, server: u8) {
        self.placed += 1;
        let task = Task {
            stream,
            number: self.placed,
        };
        let cost = 0.5 + self.choices.below(100) as f64 / 100.0;
        let (label, weight) = (setup.label)(stream);
        self.costs.insert(task, cost);
        self.dispatcher
            .enqueue(&server, arrival(label, weight, cost, task), NOW);
    }

    fn fill(&mut self, setup: &Setup) {
        let most = BACKLOG.into_iter().max().unwrap_or(0);
        for turn in 0..most {
            for server in 0..setup.servers {
                for stream in (0..STREAMS).filter(|stream| turn < BACKLOG[*stream]) {
                    if (setup.uses)(stream, server) {
                        self.place(setup, stream, server);
                    }
                }
            }
        }
    }
}

/// Each stream's part of the units that were served, by server.
fn served(setup: &Setup) -> Vec<[f64; STREAMS]> {
    let mut load = Load::new(setup);
    load.fill(setup);
    let mut served = vec![[0.0; STREAMS]; setup.servers.into()];
    for _ in 0..ROUNDS {
        for server in 0..setup.servers {
            for task in load.dispatcher.release(&server, 0, NOW, |_| true) {
                served[usize::from(server)][task.stream] +=
                    load.costs.remove(&task).expect("placed before");
                load.place(setup, task.stream, server);
            }
        }
    }
    served
}

fn normalised(units: [f64; STREAMS]) -> [f64; STREAMS] {
    let all: f64 = units.iter().sum();
    units.map(|part| part / all)
}

fn total(served: &[[f64; STREAMS]]) -> [f64; STREAMS] {
    let sum_of = |stream: usize| served.iter().map(|units| units[stream]).sum();
    normalised([sum_of(0), sum_of(1), sum_of(2)])
}

fn follow(shares: [f64; STREAMS], expected: [f64; STREAMS]) -> bool {
    shares
        .iter()
        .zip(expected)
        .all(|(share, expected)| (share - expected).abs() <= TOLERANCE * expected)
}

#[test]
fn shares_of_one_server_follow_the_weights() {
    let setup = Setup {
        servers: 1,
        minimum_weight_ratio: DEFAULT_RATIO,
        label: by_weight,
        uses: every_server,
    };
    let shares = total(&served(&setup));
    assert!(follow(shares, WEIGHTS), "{shares:?}");
}

#[test]
fn shares_of_two_servers_follow_the_weights() {
    let setup = Setup {
        servers: 2,
        minimum_weight_ratio: DEFAULT_RATIO,
        label: by_weight,
        uses: every_server,
    };
    let shares = total(&served(&setup));
    assert!(follow(shares, WEIGHTS), "{shares:?}");
}

/// With a least share of one part in as many as there are servers, nothing is clipped where they are used evenly.
#[test]
fn shares_of_many_servers_follow_the_weights_where_the_delay_is_not_clipped() {
    for servers in [3, 4, 6, 8] {
        let minimum_weight_ratio = 1.0 / f64::from(servers);
        let setup = Setup {
            servers,
            minimum_weight_ratio,
            label: by_weight,
            uses: every_server,
        };
        let shares = total(&served(&setup));
        assert!(follow(shares, WEIGHTS), "{servers} servers: {shares:?}");
    }
}

/// A clip of half the weight binds from three servers on, and pulls the shares together: a unit of cost takes
/// `(1 + delay) / φ` of virtual time, and the clip is larger for larger weights.
#[test]
fn shares_of_many_servers_are_those_of_the_clipped_delay() {
    let rate = |weight: f64, servers: u8| {
        weight / (1.0 + hybrid_delay(f64::from(servers - 1), 1.0, weight, DEFAULT_RATIO))
    };
    for servers in [3, 4, 6, 8] {
        let setup = Setup {
            servers,
            minimum_weight_ratio: DEFAULT_RATIO,
            label: by_weight,
            uses: every_server,
        };
        let shares = total(&served(&setup));
        let expected = normalised(WEIGHTS.map(|weight| rate(weight, servers)));
        assert!(
            follow(shares, expected),
            "{servers} servers: {shares:?}, expected {expected:?}"
        );
        assert!(
            shares[0] > shares[1] && shares[1] > shares[2],
            "{servers} servers: {shares:?}"
        );
    }
}

#[test]
fn first_in_first_out_follows_the_backlog_instead() {
    for servers in [1, 2, 4] {
        let setup = Setup {
            servers,
            minimum_weight_ratio: DEFAULT_RATIO,
            label: first_in_first_out,
            uses: every_server,
        };
        let shares = total(&served(&setup));
        assert!(!follow(shares, WEIGHTS), "{servers} servers: {shares:?}");
        assert!(
            shares[0] < shares[1] && shares[1] < shares[2],
            "{servers} servers: {shares:?}"
        );
    }
}

/// Stream 0 can use one of two servers alone. What the others get on the other server is charged to them, so that
/// stream 0 gets more than its weight of its only server; but each of the others keeps `φmin` of it.
#[test]
fn costs_on_other_servers_are_charged_and_the_smallest_share_is_kept() {
    let setup = |minimum_weight_ratio| Setup {
        servers: 2,
        minimum_weight_ratio,
        label: by_weight,
        uses: first_stream_on_one_server,
    };
    let charged = normalised(served(&setup(DEFAULT_RATIO))[0]);
    assert!(charged[0] > WEIGHTS[0] * 1.3, "{charged:?}");
    for stream in [1, 2] {
        assert!(
            charged[stream] >= DEFAULT_RATIO * WEIGHTS[stream],
            "{charged:?}"
        );
    }
    // With φmin = φ there is no delay, and the server is shared for itself.
    let alone = normalised(served(&setup(1.0))[0]);
    assert!(follow(alone, WEIGHTS), "{alone:?}");
}
