//! Random legal events and outcomes, thrown at one host; the rules are checked on what it does.

mod common;
use common::*;
use lupinrack_policy::*;
use std::collections::BTreeMap;

struct Seen {
    class: u16,
    client_deadline: Micros,
    key: Option<Key>,
    sends: Vec<(Micros, u32)>,
    live: Vec<u16>,
    maybe_ran: bool,
    over: bool,
}

fn all_settings(dice: &mut fastrand::Rng) -> Settings {
    let mut s = settings();
    let effects = [
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
    s.classes = effects.into_iter().map(class).collect();
    s.classes[0].in_order = true;
    s.classes[1].streamed = true;
    s.plans = vec![plan(0.0), plan(1.0), plan(4.0)];
    s.plans[0].reserved_rate = 0.0;
    s.plans[1].limit = Some(RateLimit {
        rate: 30.0,
        burst: 40.0,
        overdraft: 4.0,
    });
    s.retry_budget = dice.bool().then_some(RetryBudget {
        min_retries: 3.0,
        retry_ratio: 0.2,
        window: 1_000_000,
    });
    s.key_cooldown = 50_000;
    s.parallel_attempts = dice.bool();
    if dice.bool() {
        s.discovery = DiscoveryMode::Poll {
            informed_after: 10_000_000,
        };
    }
    s.slow_start = Some(SlowStart {
        guaranteed_units: 20.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 5_000_000,
        window: 1_000_000,
    });
    s
}

fn one_day(seed: u64) {
    let mut dice = fastrand::Rng::with_seed(seed);
    let s = all_settings(&mut dice);
    let mut h = Host::new(s.clone(), (0..4).map(|n| entry(n, n)).collect());
    let mut seen: BTreeMap<u32, Seen> = BTreeMap::new();
    let mut taken: Vec<Micros> = Vec::new();
    let mut extra: Vec<Micros> = Vec::new();
    let (mut read, mut next) = (0, 0);
    let born = h.now;
    let mut drawn: BTreeMap<u64, f64> = BTreeMap::new();
    let mut stopped: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut volumes: BTreeMap<u32, (u64, u32)> = BTreeMap::new();
    for _ in 0..1500 {
        h.now += dice.i64(0..8_000);
        match dice.u32(0..10) {
            0..=4 => {
                let (id, class, key) = (next, dice.u16(0..5), Some(Key(dice.u64(1..5))));
                let plan = dice.u32(0..3);
                let volume = u64::from(plan) * 10 + dice.u64(0..3);
                let shard = if dice.bool() {
                    None
                } else {
                    Some(Shard(dice.u32(0..5)))
                };
                let client_deadline = h.now + dice.i64(1..2_000_000);
                volumes.insert(id, (volume, plan));
                let (sends, live) = (vec![], vec![]);
                seen.insert(
                    id,
                    Seen {
                        class,
                        client_deadline,
                        key,
                        sends,
                        live,
                        maybe_ran: false,
                        over: false,
                    },
                );
                taken.push(h.now);
                h.request_with(id, |r| {
                    (r.class, r.key, r.plan, r.shard) = (class, key, plan, shard);
                    (r.volume, r.client_deadline) = (VolumeId(volume), client_deadline);
                });
                next += 1;
            }
            5..=7 => {
                let out: Vec<(u32, u16)> = seen
                    .iter()
                    .flat_map(|(id, s)| s.live.iter().map(|a| (*id, *a)))
                    .collect();
                if let Some(&(id, attempt)) = dice.choice(&out) {
                    let r = seen.get_mut(&id).unwrap();
                    r.live.retain(|a| *a != attempt);
                    let node = r.sends[usize::from(attempt)].1;
                    let outcome = *dice
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
                    r.over |= outcome == Outcome::Ok;
                    r.maybe_ran |= !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
                    h.answer(id, attempt, node, outcome);
                }
            }
            8 => {
                let (n, state) = (dice.u32(0..5), dice.u32(0..4));
                let started = Some(h.now - dice.i64(0..1_000_000));
                let e = match state {
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
                match e.state {
                    NodeState::Ready => drop(stopped.remove(&n)),
                    _ => drop(stopped.entry(n).or_insert(h.now)),
                }
                let kind = if dice.u32(0..5) == 0 {
                    NodeListKind::Failed
                } else {
                    NodeListKind::Changes
                };
                if kind == NodeListKind::Failed {
                    h.list(kind, vec![]);
                    stopped.clear(); // unknown to the check from here; the guard itself keeps what it was told
                } else {
                    h.list(kind, vec![e]);
                }
            }
            _ => {
                // Stale and odd news: none of it may hurt.
                let id = dice.u32(0..next + 2);
                match dice.u32(0..4) {
                    0 => h.event(Event::Timer(dice.u32(0..50))),
                    1 => h.event(Event::PeerMessage),
                    2 if seen.get(&id).is_none_or(|s| s.over) => {
                        h.event(Event::ClientGone(RequestId(id)))
                    }
                    _ => h.answer(id, 999, 2, Outcome::Ok),
                }
            }
        }
        h.event(Event::Timer(0));
        for action in h.said[read..].iter().cloned() {
            match action {
                Action::Send { request, node, .. } => {
                    let c = s.classes[usize::from(seen[&request.0].class)].clone();
                    if c.in_order {
                        let key = seen[&request.0].key;
                        let ahead = |(id, o): (&u32, &Seen)| {
                            *id < request.0
                                && o.class == 0
                                && o.key == key
                                && (!o.over || !o.live.is_empty())
                        };
                        assert!(!seen.iter().any(ahead), "order, seed {seed}");
                    }
                    let r = seen.get_mut(&request.0).unwrap();
                    assert!(!r.over, "sent after its end, seed {seed}");
                    assert!(
                        s.parallel_attempts || r.live.is_empty(),
                        "two at once, seed {seed}"
                    );
                    assert!(r.sends.len() < 4);
                    if let Some(t) = stopped.get(&node.0) {
                        assert!(h.now - t <= s.drain_grace, "drain, seed {seed}");
                    }
                    if r.maybe_ran || !r.live.is_empty() {
                        match c.idempotence {
                            Idempotence::Idempotent => {}
                            Idempotence::NotIdempotent => panic!("unsafe twice, seed {seed}"),
                            Idempotence::Deduplicated { scope, window } => {
                                assert!(
                                    h.now - r.sends[0].0 <= window || r.sends.len() > 1,
                                    "seed {seed}"
                                );
                                let same = scope != DeduplicationScope::Shard
                                    || r.sends.last().unwrap().1 == node.0;
                                assert!(same || r.sends.len() > 1, "seed {seed}");
                            }
                        }
                    }
                    if r.sends.is_empty() {
                        let (volume, plan) = volumes[&request.0];
                        let used = drawn.entry(volume).or_default();
                        *used += 2.0;
                        let store = 40.0 + 4.0 + 30.0 * (h.now - born) as f64 / 1e6;
                        assert!(plan != 1 || *used <= store, "limit, seed {seed}");
                    } else {
                        extra.push(h.now);
                        if let Some(b) = s.retry_budget {
                            let within =
                                |v: &[Micros]| v.iter().filter(|t| h.now - **t <= b.window).count();
                            let most = b.min_retries + b.retry_ratio * within(&taken) as f64;
                            assert!(within(&extra) as f64 <= most, "budget, seed {seed}");
                        }
                    }
                    r.live.push(r.sends.len() as u16);
                    r.sends.push((h.now, node.0));
                }
                Action::Reject { request, .. } => {
                    let r = seen.get_mut(&request.0).unwrap();
                    assert!(!r.over, "answered twice, seed {seed}");
                    let effect = s.classes[usize::from(r.class)].idempotence;
                    let harmless = matches!(
                        effect,
                        Idempotence::Idempotent
                            | Idempotence::Deduplicated {
                                scope: DeduplicationScope::AllNodes,
                                ..
                            }
                    );
                    assert!(
                        harmless || (!r.maybe_ran && r.live.is_empty()),
                        "refused in doubt, seed {seed}"
                    );
                    r.over = true;
                }
                Action::Fail { request } => {
                    let r = seen.get_mut(&request.0).unwrap();
                    assert!(!r.over, "answered twice, seed {seed}");
                    r.over = true;
                }
                _ => {}
            }
        }
        read = h.said.len();
        for (id, r) in &seen {
            assert!(
                r.over || h.now <= r.client_deadline,
                "request {id} lost, seed {seed}"
            );
        }
    }
}

#[test]
fn the_rules_hold_on_random_days() {
    (0..60).for_each(one_day);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut h = Host::new(
            all_settings(&mut fastrand::Rng::with_seed(3)),
            vec![entry(0, 0), entry(1, 1)],
        );
        for id in 0..100 {
            h.request_with(id, |r| {
                (r.shard, r.volume) = (None, VolumeId(u64::from(id % 7)))
            });
            h.pass(3_000);
        }
        h.said
    };
    assert_eq!(run(), run());
}
