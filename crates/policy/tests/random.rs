//! Random legal events and outcomes at one host. A model checks the host's actions against the rules.

mod common;
use common::*;
use lupinrack_policy::*;
use std::collections::BTreeMap;

/// What the model knows of a request.
struct ModelRequest {
    class: u16,
    client_deadline: Micros,
    key: Option<Key>,
    sends: Vec<(Micros, u32)>,
    in_flight: Vec<u16>,
    may_have_run: bool,
    answered: bool,
}

fn all_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut settings = settings();
    let idempotences = [
        Idempotence::Idempotent,
        Idempotence::NotIdempotent,
        Idempotence::Deduplicated {
            scope: DeduplicationScope::AllNodes,
            window: 700_000,
        },
        Idempotence::Deduplicated {
            scope: DeduplicationScope::Shard,
            window: 700_000,
        },
        Idempotence::Deduplicated {
            scope: DeduplicationScope::Zone,
            window: 700_000,
        },
    ];
    settings.classes = idempotences.into_iter().map(class).collect();
    settings.classes[0].in_order = true;
    settings.classes[1].streamed = true;
    settings.plans = vec![plan(0.0), plan(1.0), plan(4.0)];
    settings.plans[0].reserved_rate = 0.0;
    settings.plans[1].limit = Some(RateLimit {
        rate: 30.0,
        burst: 40.0,
        overdraft: 4.0,
    });
    settings.retry_budget = rng.bool().then_some(RetryBudget {
        min_retries: 3.0,
        retry_ratio: 0.2,
        window: 1_000_000,
    });
    settings.key_cooldown = 50_000;
    settings.parallel_attempts = rng.bool();
    if rng.bool() {
        settings.discovery = DiscoveryMode::Poll {
            informed_after: 10_000_000,
        };
    }
    settings.slow_start = Some(SlowStart {
        guaranteed_units: 20.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 5_000_000,
        window: 1_000_000,
    });
    settings
}

fn run_random_events(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = all_settings(&mut rng);
    let mut host = Host::new(settings.clone(), (0..4).map(|n| entry(n, n)).collect());
    let mut requests: BTreeMap<u32, ModelRequest> = BTreeMap::new();
    let mut arrivals: Vec<Micros> = Vec::new();
    let mut retries: Vec<Micros> = Vec::new();
    let (mut actions_read, mut next_id) = (0, 0);
    let started_at = host.now;
    let mut units_drawn: BTreeMap<u64, f64> = BTreeMap::new();
    let mut draining_since: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut volumes: BTreeMap<u32, (u64, u32)> = BTreeMap::new();
    for _ in 0..1500 {
        host.now += rng.i64(0..8_000);
        match rng.u32(0..10) {
            0..=4 => {
                let (id, class, key) = (next_id, rng.u16(0..5), Some(Key(rng.u64(1..5))));
                let plan = rng.u32(0..3);
                let volume = u64::from(plan) * 10 + rng.u64(0..3);
                let shard = if rng.bool() {
                    None
                } else {
                    Some(Shard(rng.u32(0..5)))
                };
                let client_deadline = host.now + rng.i64(1..2_000_000);
                volumes.insert(id, (volume, plan));
                let (sends, in_flight) = (vec![], vec![]);
                requests.insert(
                    id,
                    ModelRequest {
                        class,
                        client_deadline,
                        key,
                        sends,
                        in_flight,
                        may_have_run: false,
                        answered: false,
                    },
                );
                arrivals.push(host.now);
                host.request_with(id, |r| {
                    (r.class, r.key, r.plan, r.shard) = (class, key, plan, shard);
                    (r.volume, r.client_deadline) = (VolumeId(volume), client_deadline);
                });
                next_id += 1;
            }
            5..=7 => {
                let in_flight: Vec<(u32, u16)> = requests
                    .iter()
                    .flat_map(|(id, request)| request.in_flight.iter().map(|a| (*id, *a)))
                    .collect();
                if let Some(&(id, attempt)) = rng.choice(&in_flight) {
                    let model = requests.get_mut(&id).unwrap();
                    model.in_flight.retain(|a| *a != attempt);
                    let node = model.sends[usize::from(attempt)].1;
                    let outcome = *rng
                        .choice(&[
                            Outcome::Ok,
                            Outcome::Ok,
                            Outcome::Error,
                            Outcome::Rejected,
                            Outcome::Timeout,
                            Outcome::ConnectFailed,
                            Outcome::Reset,
                            Outcome::Cancelled,
                        ])
                        .unwrap();
                    model.answered |= outcome == Outcome::Ok;
                    model.may_have_run |=
                        !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
                    host.end_attempt(id, attempt, node, outcome);
                }
            }
            8 => {
                let (n, state) = (rng.u32(0..5), rng.u32(0..4));
                let started = Some(host.now - rng.i64(0..1_000_000));
                let changed = match state {
                    0 => NodeEntry {
                        state: NodeState::Draining,
                        ..entry(n, n)
                    },
                    1 => NodeEntry {
                        state: NodeState::Gone,
                        ..entry(n, n)
                    },
                    2 => NodeEntry {
                        started,
                        ..entry(n, n)
                    },
                    _ => entry(n, n),
                };
                match changed.state {
                    NodeState::Ready => drop(draining_since.remove(&n)),
                    _ => drop(draining_since.entry(n).or_insert(host.now)),
                }
                let kind = if rng.u32(0..5) == 0 {
                    NodeListKind::Failed
                } else {
                    NodeListKind::Changes
                };
                if kind == NodeListKind::Failed {
                    host.node_list(kind, vec![]);
                    draining_since.clear(); // unknown to the model from now on; the balancer keeps the states that it knows
                } else {
                    host.node_list(kind, vec![changed]);
                }
            }
            _ => {
                // Unexpected events must be harmless.
                let id = rng.u32(0..next_id + 2);
                match rng.u32(0..4) {
                    0 => host.event(Event::Timer(rng.u32(0..50))),
                    1 => host.event(Event::PeerMessage),
                    2 if requests.get(&id).is_none_or(|request| request.answered) => {
                        host.event(Event::ClientGone(RequestId(id)))
                    }
                    _ => host.end_attempt(id, 999, 2, Outcome::Ok),
                }
            }
        }
        host.event(Event::Timer(0));
        for action in host.actions[actions_read..].iter().cloned() {
            match action {
                Action::Send { request, node, .. } => {
                    let class = settings.classes[usize::from(requests[&request.0].class)].clone();
                    if class.in_order {
                        let key = requests[&request.0].key;
                        let ahead = |(id, other): (&u32, &ModelRequest)| {
                            *id < request.0
                                && other.class == 0
                                && other.key == key
                                && (!other.answered || !other.in_flight.is_empty())
                        };
                        assert!(!requests.iter().any(ahead), "order, seed {seed}");
                    }
                    let model = requests.get_mut(&request.0).unwrap();
                    assert!(!model.answered, "sent after its final answer, seed {seed}");
                    assert!(
                        settings.parallel_attempts || model.in_flight.is_empty(),
                        "two attempts in flight, seed {seed}"
                    );
                    assert!(model.sends.len() < 4);
                    if let Some(since) = draining_since.get(&node.0) {
                        assert!(
                            host.now - since <= settings.drain_grace,
                            "drain, seed {seed}"
                        );
                    }
                    if model.may_have_run || !model.in_flight.is_empty() {
                        match class.idempotence {
                            Idempotence::Idempotent => {}
                            Idempotence::NotIdempotent => {
                                panic!("not idempotent, sent twice, seed {seed}")
                            }
                            Idempotence::Deduplicated { scope, window } => {
                                assert!(
                                    host.now - model.sends[0].0 <= window || model.sends.len() > 1,
                                    "seed {seed}"
                                );
                                let in_scope = scope != DeduplicationScope::Shard
                                    || model.sends.last().unwrap().1 == node.0;
                                assert!(in_scope || model.sends.len() > 1, "seed {seed}");
                            }
                        }
                    }
                    if model.sends.is_empty() {
                        let (volume, plan) = volumes[&request.0];
                        let used = units_drawn.entry(volume).or_default();
                        *used += 2.0;
                        let max_units = 40.0 + 4.0 + 30.0 * (host.now - started_at) as f64 / 1e6;
                        assert!(plan != 1 || *used <= max_units, "limit, seed {seed}");
                    } else {
                        retries.push(host.now);
                        if let Some(budget) = settings.retry_budget {
                            let within = |v: &[Micros]| {
                                v.iter().filter(|t| host.now - **t <= budget.window).count()
                            };
                            let max_retries =
                                budget.min_retries + budget.retry_ratio * within(&arrivals) as f64;
                            assert!(
                                within(&retries) as f64 <= max_retries,
                                "budget, seed {seed}"
                            );
                        }
                    }
                    model.in_flight.push(model.sends.len() as u16);
                    model.sends.push((host.now, node.0));
                }
                Action::Reject { request, .. } => {
                    let model = requests.get_mut(&request.0).unwrap();
                    assert!(!model.answered, "answered twice, seed {seed}");
                    let idempotence = settings.classes[usize::from(model.class)].idempotence;
                    let harmless = matches!(
                        idempotence,
                        Idempotence::Idempotent
                            | Idempotence::Deduplicated {
                                scope: DeduplicationScope::AllNodes,
                                ..
                            }
                    );
                    assert!(
                        harmless || (!model.may_have_run && model.in_flight.is_empty()),
                        "rejected although it may have run, seed {seed}"
                    );
                    model.answered = true;
                }
                Action::Fail { request } => {
                    let model = requests.get_mut(&request.0).unwrap();
                    assert!(!model.answered, "answered twice, seed {seed}");
                    model.answered = true;
                }
                _ => {}
            }
        }
        actions_read = host.actions.len();
        for (id, request) in &requests {
            assert!(
                request.answered || host.now <= request.client_deadline,
                "request {id} without a final answer, seed {seed}"
            );
        }
    }
}

#[test]
fn the_rules_hold_for_random_events() {
    (0..60).for_each(run_random_events);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut host = Host::new(
            all_settings(&mut fastrand::Rng::with_seed(3)),
            vec![entry(0, 0), entry(1, 1)],
        );
        for id in 0..100 {
            host.request_with(id, |r| {
                (r.shard, r.volume) = (None, VolumeId(u64::from(id % 7)))
            });
            host.advance(3_000);
        }
        host.actions
    };
    assert_eq!(run(), run());
}
