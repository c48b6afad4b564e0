//! The slow start of a node under the traffic of a whole fleet, since it is the sum of what all hosts send
//! that overloads a node. The model has many hosts with uneven traffic and a balancer each, a node that
//! restarts, restarts of hosts, and clients that retry.

mod common;

use common::*;
use lupinrack_policy::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SHARDS: u32 = 8;
const SECOND_US: Micros = 1_000_000;
const STARTED_AT: Micros = 8 * SECOND_US;
const END_AT: Micros = STARTED_AT + 6 * SECOND_US;

/// What the settings say about slow start, and what the nodes really do.
#[derive(Clone, Copy)]
struct Scenario {
    hosts: usize,
    slow_start: SlowStart,
    /// Requests of mean size a second that a node serves after its slow start, and that arrive for a node.
    capacity: f64,
    traffic: f64,
    /// How many times this traffic arrives for the node once it is back: a surge, and requests that waited.
    surge_factor: f64,
}

impl Scenario {
    /// The share of its capacity that the node has.
    fn capacity_share(&self, now: Micros) -> f64 {
        let growth = ((now - STARTED_AT) as f64 / self.slow_start.duration as f64).clamp(0.0, 1.0);
        self.slow_start.initial_share + (1.0 - self.slow_start.initial_share) * growth
    }

    /// Requests of mean size that the node takes within a window that begins now, without statistical
    /// variation.
    fn max_requests_in_window(&self, now: Micros) -> f64 {
        self.slow_start.overload_multiple
            * self.capacity
            * self.capacity_share(now.max(STARTED_AT))
            * self.slow_start.window as f64
            / 1e6
    }
}

enum Scheduled {
    Arrives {
        host_index: usize,
        shard: u32,
        is_client_retry: bool,
    },
    Answered {
        host_index: usize,
        incarnation: u32,
        id: u32,
        attempt: u16,
        node: u32,
        sent_at: Micros,
        outcome: Outcome,
    },
    Wake {
        host_index: usize,
        incarnation: u32,
    },
    Listed {
        host_index: usize,
        incarnation: u32,
    },
    Restarts {
        host_index: usize,
    },
}

struct Fleet {
    scenario: Scenario,
    rng: fastrand::Rng,
    hosts: Vec<Host>,
    incarnations: Vec<u32>,
    attempts: std::collections::BTreeMap<(usize, u32), u16>,
    schedule: BinaryHeap<Reverse<(Micros, u64)>>,
    events: Vec<Option<Scheduled>>,
    next_number: u32,
    free_at: Vec<Micros>,
    /// What was sent to the node in its slow start: when, and how many units.
    sends: Vec<(Micros, f64)>,
    requested_units: f64,
    served_units: f64,
}

impl Fleet {
    fn schedule_event(&mut self, at: Micros, event: Scheduled) {
        self.schedule.push(Reverse((at, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    fn node_list(&self, now: Micros) -> Vec<NodeEntry> {
        let is_listed =
            |s: &u32| *s > 0 || !(STARTED_AT - 2 * SECOND_US..STARTED_AT).contains(&now);
        let started = |s: u32| (s == 0 && now >= STARTED_AT).then_some(STARTED_AT);
        (0..SHARDS)
            .filter(is_listed)
            .map(|s| NodeEntry {
                started: started(s),
                ..entry(s, s)
            })
            .collect()
    }

    /// Carries out the new actions of a host.
    fn carry_out_actions(&mut self, host_index: usize, now: Micros) {
        let incarnation = self.incarnations[host_index];
        for action in std::mem::take(&mut self.hosts[host_index].actions) {
            match action {
                Action::SetTimer { at, .. } => self.schedule_event(
                    at.max(now + 1),
                    Scheduled::Wake {
                        host_index,
                        incarnation,
                    },
                ),
                Action::Send { request, node, .. } => {
                    let units = units(request.0);
                    let attempts = self.attempts.entry((host_index, request.0)).or_default();
                    *attempts += 1;
                    let attempt = *attempts - 1;
                    let in_slow_start = node.0 == 0 && now >= STARTED_AT;
                    if in_slow_start {
                        self.sends.push((now, units));
                    }
                    let share = if in_slow_start {
                        self.scenario.capacity_share(now)
                    } else {
                        1.0
                    };
                    let work = units / MEAN_UNITS / (self.scenario.capacity * share) * 1e6;
                    let free_at = &mut self.free_at[node.0 as usize];
                    *free_at = now.max(*free_at) + work as Micros;
                    let outcome = match self.rng.u32(0..100) {
                        0 => Outcome::Error,
                        1 => Outcome::Reset,
                        2 => Outcome::ConnectFailed,
                        3 => Outcome::Rejected,
                        _ => Outcome::Ok,
                    };
                    let until = if outcome == Outcome::Ok {
                        *free_at + 2_000
                    } else {
                        now + 3_000
                    };
                    let (id, node, sent_at) = (request.0, node.0, now);
                    self.schedule_event(
                        until,
                        Scheduled::Answered {
                            host_index,
                            incarnation,
                            id,
                            attempt,
                            node,
                            sent_at,
                            outcome,
                        },
                    );
                }
                // Some clients retry, once.
                Action::Reject { request, .. } | Action::Fail { request } if self.rng.bool() => {
                    let shard = request.0 % SHARDS;
                    if shard == 0 {
                        let wait = self.rng.i64(20_000..200_000);
                        self.schedule_event(
                            now + wait,
                            Scheduled::Arrives {
                                host_index,
                                shard,
                                is_client_retry: true,
                            },
                        );
                    }
                }
                _ => {}
            }
        }
    }
}

const MEAN_UNITS: f64 = 2.2;

/// The units of a request, from its number: 1 to 8, 2.2 in the mean.
fn units(id: u32) -> f64 {
    [
        1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 2.0, 3.0, 3.0, 8.0, 1.0, 2.0, 1.0, 2.0, 1.0, 3.0,
    ][(id / SHARDS % 16) as usize]
}

fn settings_of(scenario: Scenario) -> Settings {
    let mut settings = settings();
    settings.hosts = scenario.hosts as u32;
    (
        settings.slow_start,
        settings.mean_units,
        settings.parallel_attempts,
        settings.max_attempts,
    ) = (Some(scenario.slow_start), MEAN_UNITS, true, 3);
    settings.classes = vec![
        class(Idempotence::Idempotent),
        Class {
            latency_target: 1_200_000,
            deadline: 4_000_000,
            ..class(Idempotence::Idempotent)
        },
    ];
    settings
}

/// Runs a scenario. Returns the highest load of the node within any window, as a share of what it takes
/// with statistical variation, and the share of its requested units that were served in time.
fn run(scenario: Scenario, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed * 7_919 + scenario.hosts as u64);
    let settings = settings_of(scenario);
    let new_host = |incarnation: u64, entries: Vec<NodeEntry>, now: Micros| {
        let mut host = Host {
            balancer: Balancer::new(settings.clone(), incarnation),
            now,
            actions: Vec::new(),
        };
        host.event(Event::NodeList {
            kind: NodeListKind::Cached,
            entries,
        });
        host
    };
    let mut fleet = Fleet {
        scenario,
        hosts: Vec::new(),
        incarnations: vec![0; scenario.hosts],
        attempts: Default::default(),
        schedule: BinaryHeap::new(),
        events: Vec::new(),
        next_number: 0,
        free_at: vec![0; SHARDS as usize],
        sends: Vec::new(),
        requested_units: 0.0,
        served_units: 0.0,
        rng: rng.fork(),
    };
    fleet.hosts = (0..scenario.hosts)
        .map(|index| new_host(seed + 1_000 * index as u64, fleet.node_list(0), 0))
        .collect();
    // A few hosts have most of a shard's traffic, and these hosts change.
    let uneven_shares = |rng: &mut fastrand::Rng| -> Vec<f64> {
        (0..scenario.hosts)
            .map(|_| (1.3 * (rng.f64() + rng.f64() + rng.f64() + rng.f64() - 2.0) * 1.7).exp())
            .collect()
    };
    for shard in 0..SHARDS {
        let mut shares = uneven_shares(&mut rng);
        let mut t = 0.0;
        let mut next_shift = 5e6;
        while t < END_AT as f64 {
            let busy = shard == 0 && t > (STARTED_AT - SECOND_US) as f64;
            let rate = scenario.traffic * if busy { scenario.surge_factor } else { 1.0 };
            t += -(1.0 - rng.f64()).ln() / rate * 1e6;
            if t > next_shift {
                (shares, next_shift) = (uneven_shares(&mut rng), next_shift + 6e6);
            }
            let mut at = rng.f64() * shares.iter().sum::<f64>();
            let host_index = shares
                .iter()
                .position(|s| {
                    (at - s < 0.0) || {
                        at -= s;
                        false
                    }
                })
                .unwrap_or(0);
            fleet.schedule_event(
                t as Micros,
                Scheduled::Arrives {
                    host_index,
                    shard,
                    is_client_retry: false,
                },
            );
        }
    }
    for host_index in 0..scenario.hosts {
        for when in [STARTED_AT - 2 * SECOND_US, STARTED_AT] {
            let delay = rng.i64(100_000..500_000);
            fleet.schedule_event(
                when + delay,
                Scheduled::Listed {
                    host_index,
                    incarnation: 0,
                },
            );
        }
        // Three in ten hosts restart at about that time, and half of those once more.
        if rng.u32(0..10) < 3 {
            let first = STARTED_AT + rng.i64(-SECOND_US..2 * SECOND_US);
            fleet.schedule_event(first, Scheduled::Restarts { host_index });
            if rng.bool() {
                fleet.schedule_event(
                    first + rng.i64(500_000..3 * SECOND_US),
                    Scheduled::Restarts { host_index },
                );
            }
        }
    }
    while let Some(Reverse((now, event))) = fleet.schedule.pop().filter(|d| d.0 .0 < END_AT) {
        let Some(event) = fleet.events[event as usize].take() else {
            continue;
        };
        let host_index = match event {
            Scheduled::Arrives {
                host_index,
                shard,
                is_client_retry,
            } => {
                let id = fleet.next_number * SHARDS + shard;
                fleet.next_number += 1;
                let is_long = rng.u32(0..4) == 0;
                if shard == 0 && now >= STARTED_AT && !is_client_retry {
                    fleet.requested_units += units(id);
                }
                let host = &mut fleet.hosts[host_index];
                host.now = now;
                host.request_with(id, |r| {
                    (r.class, r.units, r.volume) =
                        (u16::from(is_long), units(id), VolumeId(u64::from(id % 40)));
                    (r.shard, r.client_deadline) = (
                        Some(Shard(shard)),
                        now + if is_long { 4 } else { 2 } * SECOND_US,
                    );
                });
                host_index
            }
            Scheduled::Answered {
                host_index,
                incarnation,
                id,
                attempt,
                node,
                sent_at,
                outcome,
            } => {
                if incarnation != fleet.incarnations[host_index] {
                    continue;
                }
                if node == 0
                    && sent_at >= STARTED_AT
                    && outcome == Outcome::Ok
                    && now - sent_at < 600_000
                {
                    fleet.served_units += units(id);
                }
                let host = &mut fleet.hosts[host_index];
                host.now = now;
                host.event(Event::AttemptEnded(AttemptEnd {
                    request: RequestId(id),
                    attempt,
                    node: NodeId(node),
                    outcome,
                    elapsed: now - sent_at,
                    request_finished: outcome == Outcome::Ok,
                    volume_usage: None,
                    units_through_other_hosts: 0.0,
                    load: None,
                }));
                host_index
            }
            Scheduled::Wake {
                host_index,
                incarnation,
            } if incarnation == fleet.incarnations[host_index] => {
                fleet.hosts[host_index].now = now;
                fleet.hosts[host_index].event(Event::Timer(0));
                host_index
            }
            Scheduled::Listed {
                host_index,
                incarnation,
            } if incarnation == fleet.incarnations[host_index] => {
                let entries = fleet.node_list(now);
                fleet.hosts[host_index].now = now;
                fleet.hosts[host_index].event(Event::NodeList {
                    kind: NodeListKind::Full,
                    entries,
                });
                host_index
            }
            Scheduled::Wake { .. } | Scheduled::Listed { .. } => continue,
            Scheduled::Restarts { host_index: at } => {
                fleet.incarnations[at] += 1;
                fleet.hosts[at] = new_host(
                    seed + 1_000 * at as u64 + 77 * u64::from(fleet.incarnations[at]),
                    fleet.node_list(now),
                    now,
                );
                let incarnation = fleet.incarnations[at];
                fleet.schedule_event(
                    STARTED_AT.max(now) + 100_000,
                    Scheduled::Listed {
                        host_index: at,
                        incarnation,
                    },
                );
                at
            }
        };
        fleet.carry_out_actions(host_index, now);
    }
    let mut max_load = 0.0_f64;
    let (mut from, mut sum) = (0, 0.0);
    for (i, (now, units)) in fleet.sends.iter().enumerate() {
        sum += units / MEAN_UNITS;
        while fleet.sends[from].0 <= now - scenario.slow_start.window {
            sum -= fleet.sends[from].1 / MEAN_UNITS;
            from += 1;
        }
        let max_requests = scenario.max_requests_in_window(fleet.sends[from.min(i)].0);
        max_load = max_load.max(sum / (max_requests + 2.0 * max_requests.sqrt() + 2.0));
    }
    (max_load, fleet.served_units / fleet.requested_units)
}

/// Two kinds of nodes: one starts at a quarter of its capacity and takes four times that for a second, the
/// other at a sixth, three times, 3 s. Once the node is back, more arrives for it than it serves at full
/// capacity.
fn scenarios() -> impl Iterator<Item = Scenario> {
    let quarter = SlowStart {
        guaranteed_units: 22.0,
        initial_share: 0.25,
        overload_multiple: 4.0,
        duration: 13 * SECOND_US,
        window: SECOND_US,
    };
    let sixth = SlowStart {
        guaranteed_units: 30.0,
        initial_share: 0.17,
        overload_multiple: 3.0,
        duration: 16 * SECOND_US,
        window: 3 * SECOND_US,
    };
    [3, 20, 30, 300].into_iter().flat_map(move |hosts| {
        [quarter, sixth].map(|slow_start| Scenario {
            hosts,
            slow_start,
            capacity: 36.0,
            traffic: 22.0,
            surge_factor: 1.8,
        })
    })
}

#[test]
fn all_hosts_together_stay_within_what_a_node_in_slow_start_takes() {
    for scenario in scenarios() {
        for seed in 0..6 {
            let (max_load, served_units) = run(scenario, seed);
            let case = format!(
                "{} hosts from {}, seed {seed}",
                scenario.hosts, scenario.slow_start.initial_share
            );
            eprintln!("{case}: {max_load:.2} of the limit, {served_units:.2} served");
            assert!(max_load < 1.0, "{case}: {max_load} of the limit");
        }
    }
}

#[test]
fn a_fleet_without_a_budget_overloads_the_node() {
    for hosts in [30, 300] {
        let slow_start = SlowStart {
            guaranteed_units: 1e9,
            initial_share: 0.17,
            overload_multiple: 3.0,
            duration: 16 * SECOND_US,
            window: 3 * SECOND_US,
        };
        // The settings claim that the node takes any load; the node itself behaves as before.
        let scenario = Scenario {
            hosts,
            slow_start,
            capacity: 36.0,
            traffic: 22.0,
            surge_factor: 4.0,
        };
        let max_load = (0..3).map(|seed| run(scenario, seed).0).fold(0.0, f64::max);
        assert!(
            max_load > 1.0,
            "{hosts} hosts: {max_load}: the model shows no overload"
        );
    }
}
