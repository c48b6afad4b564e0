//! Shares of backlogged streams, compared with first-in-first-out order.

mod common;

use common::{arrival, Choices, NOW};
use lupinrack_dispatch::{hybrid_delay, DispatchSettings, Dispatcher};
use std::collections::BTreeMap;

const STREAMS: usize = 3;
const WEIGHTS: [f64; STREAMS] = [0.5, 0.3, 0.2];
/// The number of tasks that each stream keeps queued on each server it uses. They differ, so that shares in
/// proportion to the backlog differ from shares in proportion to the weights.
const BACKLOG: [u32; STREAMS] = [10, 20, 30];
/// The number of tasks that each server runs, one at a time.
const ROUNDS: u32 = 3000;
/// The relative deviation up to which a share counts as equal to the expected one.
const TOLERANCE: f64 = 0.1;
const DEFAULT_RATIO: f64 = 0.5;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
struct Task {
    stream: usize,
    number: u32,
}

/// How tasks are enqueued.
struct Setup {
    servers: u8,
    minimum_weight_ratio: f64,
    /// The stream and the weight under which the tasks of a stream are enqueued.
    label: fn(usize) -> (usize, f64),
    /// Whether a stream uses a server.
    uses: fn(usize, u8) -> bool,
}

fn own_stream_and_weight(stream: usize) -> (usize, f64) {
    (stream, WEIGHTS[stream])
}

/// All tasks are in one stream of weight 1, which makes the order first in, first out.
fn first_in_first_out(_: usize) -> (usize, f64) {
    (0, 1.0)
}

fn every_server(_: usize, _: u8) -> bool {
    true
}

fn first_stream_on_one_server(stream: usize, server: u8) -> bool {
    stream != 0 || server == 0
}

/// Backlogged streams: each served task is replaced by another task of its stream on the same server.
struct BackloggedStreams {
    dispatcher: Dispatcher<u8, usize, Task>,
    choices: Choices,
    costs: BTreeMap<Task, f64>,
    enqueued: u32,
}

impl BackloggedStreams {
    fn new(setup: &Setup) -> Self {
        let minimum_weight_ratio = setup.minimum_weight_ratio;
        let settings = DispatchSettings {
            depth: 1,
            minimum_weight_ratio,
            ..DispatchSettings::default()
        };
        BackloggedStreams {
            dispatcher: Dispatcher::new(settings),
            choices: Choices(7),
            costs: BTreeMap::new(),
            enqueued: 0,
        }
    }

    fn enqueue(&mut self, setup: &Setup, stream: usize, server: u8) {
        self.enqueued += 1;
        let task = Task {
            stream,
            number: self.enqueued,
        };
        let cost = 0.5 + self.choices.below(100) as f64 / 100.0;
        let (label, weight) = (setup.label)(stream);
        self.costs.insert(task, cost);
        self.dispatcher
            .enqueue(&server, arrival(label, weight, cost, task), NOW);
    }

    fn fill(&mut self, setup: &Setup) {
        let max_backlog = BACKLOG.into_iter().max().unwrap_or(0);
        for position in 0..max_backlog {
            for server in 0..setup.servers {
                for stream in (0..STREAMS).filter(|stream| position < BACKLOG[*stream]) {
                    if (setup.uses)(stream, server) {
                        self.enqueue(setup, stream, server);
                    }
                }
            }
        }
    }
}

/// The units served for each stream, by server.
fn served(setup: &Setup) -> Vec<[f64; STREAMS]> {
    let mut backlogged = BackloggedStreams::new(setup);
    backlogged.fill(setup);
    let mut served = vec![[0.0; STREAMS]; setup.servers.into()];
    for _ in 0..ROUNDS {
        for server in 0..setup.servers {
            for task in backlogged.dispatcher.release(&server, 0, NOW, |_| true) {
                served[usize::from(server)][task.stream] +=
                    backlogged.costs.remove(&task).expect("task was enqueued");
                backlogged.enqueue(setup, task.stream, server);
            }
        }
    }
    served
}

fn normalized(units: [f64; STREAMS]) -> [f64; STREAMS] {
    let total: f64 = units.iter().sum();
    units.map(|served| served / total)
}

fn total(served: &[[f64; STREAMS]]) -> [f64; STREAMS] {
    let sum_of = |stream: usize| served.iter().map(|units| units[stream]).sum();
    normalized([sum_of(0), sum_of(1), sum_of(2)])
}

fn approx_equal(shares: [f64; STREAMS], expected: [f64; STREAMS]) -> bool {
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
        label: own_stream_and_weight,
        uses: every_server,
    };
    let shares = total(&served(&setup));
    assert!(approx_equal(shares, WEIGHTS), "{shares:?}");
}

#[test]
fn shares_of_two_servers_follow_the_weights() {
    let setup = Setup {
        servers: 2,
        minimum_weight_ratio: DEFAULT_RATIO,
        label: own_stream_and_weight,
        uses: every_server,
    };
    let shares = total(&served(&setup));
    assert!(approx_equal(shares, WEIGHTS), "{shares:?}");
}

/// With `φmin / φ` of 1 / servers, no delay is clipped when the servers are used evenly.
#[test]
fn shares_of_many_servers_follow_the_weights_where_the_delay_is_not_clipped() {
    for servers in [3, 4, 6, 8] {
        let minimum_weight_ratio = 1.0 / f64::from(servers);
        let setup = Setup {
            servers,
            minimum_weight_ratio,
            label: own_stream_and_weight,
            uses: every_server,
        };
        let shares = total(&served(&setup));
        assert!(
            approx_equal(shares, WEIGHTS),
            "{servers} servers: {shares:?}"
        );
    }
}

/// With `φmin / φ` of one half, the delay is clipped from three servers on, which makes the shares more equal: a unit of cost takes
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
            label: own_stream_and_weight,
            uses: every_server,
        };
        let shares = total(&served(&setup));
        let expected = normalized(WEIGHTS.map(|weight| rate(weight, servers)));
        assert!(
            approx_equal(shares, expected),
            "{servers} servers: {shares:?}, expected {expected:?}"
        );
        assert!(
            shares[0] > shares[1] && shares[1] > shares[2],
            "{servers} servers: {shares:?}"
        );
    }
}

#[test]
fn shares_of_first_in_first_out_follow_the_backlog() {
    for servers in [1, 2, 4] {
        let setup = Setup {
            servers,
            minimum_weight_ratio: DEFAULT_RATIO,
            label: first_in_first_out,
            uses: every_server,
        };
        let shares = total(&served(&setup));
        assert!(
            !approx_equal(shares, WEIGHTS),
            "{servers} servers: {shares:?}"
        );
        assert!(
            shares[0] < shares[1] && shares[1] < shares[2],
            "{servers} servers: {shares:?}"
        );
    }
}

/// Stream 0 can use only one of two servers. The other streams are charged for their tasks on the other server, so that stream 0 gets
/// more than its weight of its only server; but each of the others keeps `φmin` of that server.
#[test]
fn costs_on_other_servers_are_charged_down_to_the_minimum_share() {
    let setup = |minimum_weight_ratio| Setup {
        servers: 2,
        minimum_weight_ratio,
        label: own_stream_and_weight,
        uses: first_stream_on_one_server,
    };
    let charged = normalized(served(&setup(DEFAULT_RATIO))[0]);
    assert!(charged[0] > WEIGHTS[0] * 1.3, "{charged:?}");
    for stream in [1, 2] {
        assert!(
            charged[stream] >= DEFAULT_RATIO * WEIGHTS[stream],
            "{charged:?}"
        );
    }
    // With φmin = φ there is no delay, and the shares of this server do not depend on the other one.
    let without_delay = normalized(served(&setup(1.0))[0]);
    assert!(approx_equal(without_delay, WEIGHTS), "{without_delay:?}");
}
