//! The seven rules of the balancer. Each test fails if the check that it names is removed.

mod common;
use common::*;
use lupinrack_policy::*;

fn deduplicated(scope: DeduplicationScope) -> Settings {
    let mut settings = settings();
    settings.classes = vec![class(Idempotence::Deduplicated {
        scope,
        window: 500_000,
    })];
    settings
}

// Rule 1: one final answer, in time.

#[test]
fn an_unsent_request_is_rejected_before_half_of_its_time() {
    let mut host = Host::new(settings(), vec![]);
    host.request(1);
    host.advance(850_000);
    assert_eq!(host.final_answers(1), 0);
    // Never sent: the answer comes before half of the two seconds has passed. The client has the rest.
    host.advance(100_000);
    assert!(host.rejected(1) && host.final_answers(1) == 1);
    host.node_list(NodeListKind::Full, vec![entry(7, 0)]);
    host.advance(1_000_000);
    assert_eq!((host.final_answers(1), host.send_count(1)), (1, 0));
}

#[test]
fn an_unsent_request_is_kept_until_the_end_of_its_latency_target() {
    let mut settings = settings();
    settings.classes[0].latency_target = 1_500_000;
    let mut host = Host::new(settings, vec![]);
    host.request(1);
    host.advance(1_490_000);
    assert_eq!(host.final_answers(1), 0, "it may still be served in time");
    host.advance(20_000);
    assert!(host.rejected(1));
}

#[test]
fn a_request_in_flight_is_answered_before_its_client_gives_up() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.request(1);
    host.advance(2_000_000);
    assert_eq!(host.final_answers(1), 1);
    host.end_attempt(1, 0, 7, Outcome::Error);
    host.advance(100_000);
    assert_eq!((host.final_answers(1), host.send_count(1)), (1, 1));
}

#[test]
fn a_served_request_gets_no_other_answer_or_attempt() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.request(1);
    host.end_attempt(1, 0, 7, Outcome::Ok);
    host.advance(3_000_000);
    assert_eq!((host.final_answers(1), host.send_count(1)), (0, 1));
}

// Rule 2: repetition.

#[test]
fn non_idempotent_requests_run_at_most_once() {
    let mut settings = settings();
    settings.classes = vec![
        Class {
            latency_target: 4_000_000,
            ..class(Idempotence::NotIdempotent)
        },
        class(Idempotence::Idempotent),
    ];
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    host.request(1);
    host.end_attempt(1, 0, 7, Outcome::Reset);
    assert!(host.failed(1) && !host.rejected(1) && host.send_count(1) == 1);
    host.request_with(2, |r| r.client_deadline += 3_000_000);
    host.end_attempt(2, 0, 7, Outcome::Rejected);
    host.advance(2_600_000);
    assert_eq!(
        host.send_count(2),
        2,
        "rejected without having run: may be retried"
    );
    host.advance(3_000_000);
    assert!(
        host.failed(2),
        "its second attempt may run: it must not be rejected"
    );
}

#[test]
fn deduplicated_requests_are_retried_on_their_shard_within_the_window() {
    let mut host = Host::new(
        deduplicated(DeduplicationScope::Shard),
        vec![entry(7, 0), entry(8, 1)],
    );
    host.request_with(1, |r| r.shard = None);
    let first = host.sends()[0].1;
    host.end_attempt(1, 0, first, Outcome::Error);
    assert_eq!(host.sends(), [(1, first), (1, first)]);
    host.advance(600_000);
    host.end_attempt(1, 1, first, Outcome::Error);
    host.advance(1_500_000);
    assert_eq!(host.send_count(1), 2, "the window is over");
    assert!(host.failed(1) && !host.rejected(1));
}

#[test]
fn requests_deduplicated_by_all_nodes_may_be_rejected() {
    let mut host = Host::new(
        deduplicated(DeduplicationScope::AllNodes),
        vec![entry(7, 0)],
    );
    host.request(1);
    host.advance(2_000_000);
    assert!(host.rejected(1));
}

#[test]
fn requests_deduplicated_by_zone_stay_in_their_zone() {
    let mut far = entry(8, 1);
    far.zone = Zone(1);
    let mut host = Host::new(
        deduplicated(DeduplicationScope::Zone),
        vec![entry(7, 0), far],
    );
    host.request_with(1, |r| r.shard = None);
    let first = host.sends()[0].1;
    host.end_attempt(1, 0, first, Outcome::Reset);
    host.node_list(
        NodeListKind::Changes,
        vec![NodeEntry {
            state: NodeState::Gone,
            ..entry(first, 0)
        }],
    );
    host.advance(2_000_000);
    assert!(host.sends().iter().all(|send| send.1 == first));
    assert!(host.failed(1));
}

#[test]
fn no_attempt_is_sent_beside_one_in_flight() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.request(1);
    host.advance(1_900_000);
    assert_eq!(host.send_count(1), 1);
}

// Rule 3: draining nodes.

#[test]
fn a_draining_or_gone_node_gets_nothing_new_after_the_drain_grace() {
    for state in [NodeState::Draining, NodeState::Gone] {
        let mut host = Host::new(settings(), vec![entry(7, 0)]);
        host.node_list(
            NodeListKind::Changes,
            vec![NodeEntry {
                state,
                ..entry(7, 0)
            }],
        );
        host.advance(1_000_000);
        host.request(1);
        host.advance(500_000);
        assert_eq!(host.send_count(1), 0, "{state:?}");
    }
}

#[test]
fn during_the_drain_grace_a_node_gets_only_requests_of_its_shard() {
    let mut host = Host::new(settings(), vec![entry(7, 0), entry(8, 1)]);
    host.node_list(
        NodeListKind::Changes,
        vec![NodeEntry {
            state: NodeState::Draining,
            ..entry(7, 0)
        }],
    );
    host.request(1);
    assert_eq!(host.sends(), [(1, 7)]);
    host.request_with(2, |r| r.shard = None);
    assert_eq!(host.sends()[1], (2, 8), "a new object goes to another node");
}

#[test]
fn a_node_missing_from_a_full_list_is_gone() {
    let mut host = Host::new(settings(), vec![entry(7, 0), entry(8, 1)]);
    host.node_list(NodeListKind::Full, vec![entry(8, 1)]);
    host.advance(1_000_000);
    host.request(1);
    host.advance(100_000);
    assert_eq!(host.send_count(1), 0);
}

// Rule 4: slow start.

#[test]
fn a_node_in_slow_start_gets_this_hosts_share_and_more_as_it_warms_up() {
    let mut settings = settings();
    settings.hosts = 2;
    settings.slow_start = Some(SlowStart {
        guaranteed_units: 12.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 10_000_000,
        window: 1_000_000,
    });
    let mut host = Host::new(settings, vec![]);
    let started_at = host.now;
    let started = Some(started_at);
    host.node_list(
        NodeListKind::Full,
        vec![NodeEntry {
            started,
            ..entry(7, 0)
        }],
    );
    let mut sent = Vec::new();
    for id in 1..600 {
        host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        host.advance(20_000);
        while let Some(&(r, n)) = host.sends().get(sent.len()) {
            host.end_attempt(r, 0, n, Outcome::Ok);
            sent.push(host.now);
        }
        // Half of 12 units, growing like the slowest warm-up: 0.2 at the start, 1 after ten seconds.
        let age = (host.now - started_at - 1_000_000).max(0) as f64;
        let share = 6.0 * (0.2 + 0.8 * age / 1e7) / 0.2;
        let within = sent.iter().filter(|t| host.now - **t < 900_000).count() as f64 * 2.0;
        // The guaranteed units are a cautious figure: up to three times as many may be sent at first.
        assert!(
            age >= 1e7 || within <= share * 3.0,
            "{within} units of {share} at {age}"
        );
    }
    assert!(sent.len() > 80, "{}", sent.len());
}

#[test]
fn a_node_in_slow_start_that_serves_nothing_gets_this_hosts_share_only() {
    let mut settings = settings();
    settings.hosts = 2;
    settings.slow_start = Some(SlowStart {
        guaranteed_units: 12.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 10_000_000,
        window: 1_000_000,
    });
    for outcome in [None, Some(Outcome::Error), Some(Outcome::Rejected)] {
        let mut host = Host::new(settings.clone(), vec![]);
        let started = Some(host.now);
        host.node_list(
            NodeListKind::Full,
            vec![NodeEntry {
                started,
                ..entry(7, 0)
            }],
        );
        for id in 1..60 {
            let before = host.sends().len();
            host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
            for (r, n) in host.sends()[before..].to_vec() {
                let attempt = host.send_count(r) as u16 - 1;
                outcome
                    .iter()
                    .for_each(|o| host.end_attempt(r, attempt, n, *o));
            }
            host.advance(8_000);
        }
        assert!(
            host.sends().len() <= 4,
            "{outcome:?}: {} sends of 2 units, with a share of 6 units",
            host.sends().len()
        );
    }
}

#[test]
fn many_hosts_neither_overload_nor_starve_a_new_node() {
    let mut settings = settings();
    settings.hosts = 200;
    settings.slow_start = Some(SlowStart {
        guaranteed_units: 20.0,
        initial_share: 0.16,
        overload_multiple: 4.0,
        duration: 14_000_000,
        window: 1_000_000,
    });
    let started_at = 5_000_000;
    let mut hosts: Vec<Host> = (0..200)
        .map(|seed| {
            let mut host = Host::new(settings.clone(), vec![]);
            host.balancer = Balancer::new(settings.clone(), seed * 1_000_003);
            host.now = started_at;
            host.node_list(
                NodeListKind::Full,
                vec![NodeEntry {
                    started: Some(started_at),
                    ..entry(7, 0)
                }],
            );
            host
        })
        .collect();
    // Thirty requests of two units a second, each through a random host. All hosts learn of the start at
    // once.
    let (mut rng, mut sent) = (fastrand::Rng::with_seed(7), Vec::<(Micros, f64)>::new());
    for id in 0..360u32 {
        let now = started_at + Micros::from(id) * 33_000;
        let host = &mut hosts[rng.usize(..200)];
        host.now = now;
        host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        if host.send_count(id) > 0 {
            sent.push((now, 2.0));
            host.now += 30_000;
            host.end_attempt(id, 0, 7, Outcome::Ok);
        }
        let age = (now - started_at - 1_000_000).max(0) as f64;
        let guaranteed_units = 20.0 * (0.16 + 0.84 * age / 1.4e7) / 0.16;
        let within: f64 = sent
            .iter()
            .filter(|l| now - l.0 <= 1_000_000)
            .map(|l| l.1)
            .sum();
        assert!(
            within <= guaranteed_units * 1.5,
            "{within} units of {guaranteed_units} at {age}"
        );
    }
    assert!(sent.len() > 100, "{} sent in twelve seconds", sent.len());
}

/// A hundred hosts, each with sparse traffic to 12 of 60 nodes. One node restarts after 8 s. It serves
/// requests in order of arrival, at a quarter of its capacity at first and at all of it after 13 s. Returns
/// the share of its units that are served in time, and its highest load within a second as a share of what
/// overloads it.
fn sparse_traffic_to_a_node_in_slow_start(overload_multiple: f64) -> (f64, f64) {
    const HOSTS: usize = 100;
    const NODES: u32 = 60;
    const UNITS_PER_S: f64 = 40.0;
    const WARM_UP_US: f64 = 13e6;
    let mut settings = settings();
    settings.hosts = HOSTS as u32;
    settings.timer_resolution = 1_000;
    settings.slow_start = Some(SlowStart {
        guaranteed_units: 7.0,
        initial_share: 0.25,
        overload_multiple,
        duration: WARM_UP_US as Micros,
        window: 1_000_000,
    });
    let begin = 5_000_000;
    let mut hosts: Vec<Host> = (0..HOSTS as u64)
        .map(|seed| {
            let mut host = Host::new(settings.clone(), vec![]);
            host.balancer = Balancer::new(settings.clone(), seed * 1_000_003);
            host.now = begin;
            host.node_list(
                NodeListKind::Full,
                (0..NODES).map(|n| entry(n, n)).collect(),
            );
            host
        })
        .collect();
    let (started_at, end) = (begin + 8_000_000, begin + 18_000_000);
    let units_per_s = |now: Micros| {
        UNITS_PER_S * (0.25 + 0.75 * ((now - started_at) as f64 / WARM_UP_US).clamp(0.0, 1.0))
    };
    let (mut rng, mut free_at, mut sends, mut in_flight) =
        (fastrand::Rng::with_seed(11), 0, Vec::new(), Vec::new());
    let (mut requested_units, mut served_units, mut max_load, mut id) = (0.0, 0.0, 0.0_f64, 0u32);
    for now in (begin..end).step_by(8_000) {
        for (index, host) in hosts.iter_mut().enumerate() {
            host.now = now;
            if now == started_at {
                host.node_list(
                    NodeListKind::Changes,
                    vec![NodeEntry {
                        started: Some(started_at),
                        ..entry(0, 0)
                    }],
                );
            }
            // 2 units a request, in total half of the capacity of the nodes, spread over all hosts.
            let before = host.actions.len();
            if rng.f64() < UNITS_PER_S / 4.0 * f64::from(NODES) / HOSTS as f64 * 0.008 {
                id += 1;
                let shard = (index as u32 + rng.u32(..12) * 5) % NODES;
                requested_units += if now > started_at && shard == 0 {
                    2.0
                } else {
                    0.0
                };
                host.request_with(id, |r| {
                    (r.volume, r.shard) = (VolumeId(index as u64), Some(Shard(shard)))
                });
            } else if now % 40_000 == 0 {
                host.event(Event::Timer(0));
            }
            for action in host.actions.split_off(before) {
                let Action::Send { request, node, .. } = action else {
                    continue;
                };
                let work = if node.0 == 0 && now >= started_at {
                    (2e6 / units_per_s(now)) as Micros
                } else {
                    40_000
                };
                let ends = if node.0 == 0 && now >= started_at {
                    free_at = now.max(free_at) + work;
                    free_at
                } else {
                    now + work
                };
                in_flight.push((ends, index, request, node, now));
                if node.0 == 0 && now >= started_at {
                    sends.push(now);
                    let units_in_window =
                        sends.iter().filter(|t| now - **t < 1_000_000).count() as f64 * 2.0;
                    max_load = max_load.max(units_in_window / (4.0 * units_per_s(now)));
                }
            }
        }
        let (ended, remaining): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|a| a.0 <= now);
        in_flight = remaining;
        for (ends, index, request, node, sent_at) in ended {
            served_units += if node.0 == 0 && sent_at >= started_at && ends - sent_at < 300_000 {
                2.0
            } else {
                0.0
            };
            hosts[index].end_first_attempt_after(request.0, node.0, ends - sent_at, Outcome::Ok);
        }
    }
    (served_units / requested_units, max_load)
}

#[test]
fn the_slow_start_budget_follows_observed_traffic_without_overload() {
    let (guaranteed, _) = sparse_traffic_to_a_node_in_slow_start(0.0);
    let (observed, max_load) = sparse_traffic_to_a_node_in_slow_start(4.0);
    assert!(
        observed > 0.5 && observed > guaranteed * 1.4,
        "{observed} of the units are served in time; {guaranteed} with the guaranteed units alone"
    );
    assert!(max_load < 1.0, "{max_load} of what overloads it");
}

// Rule 5: order by key.

fn host_with_ordered_class() -> Host {
    let mut settings = settings();
    settings.classes[0].in_order = true;
    settings.key_cooldown = 200_000;
    Host::new(settings, vec![entry(7, 0)])
}

#[test]
fn requests_with_one_key_run_one_at_a_time_in_order() {
    let mut host = host_with_ordered_class();
    for id in 1..=3 {
        host.request_with(id, |r| r.key = Some(Key(5)));
    }
    host.request_with(4, |r| r.key = Some(Key(6)));
    host.request_with(5, |r| r.key = None);
    assert_eq!(
        host.sends(),
        [(1, 7), (4, 7), (5, 7)],
        "other keys are not blocked"
    );
    host.end_attempt(1, 0, 7, Outcome::Ok);
    assert_eq!(host.sends().last(), Some(&(2, 7)));
    host.end_attempt(2, 0, 7, Outcome::Error);
    assert_eq!(
        (host.send_count(2), host.send_count(3)),
        (2, 0),
        "the first of its key may be retried"
    );
}

#[test]
fn a_key_cools_down_after_an_attempt_that_may_still_run() {
    let mut host = host_with_ordered_class();
    for id in 1..=2 {
        host.request_with(id, |r| r.key = Some(Key(5)));
    }
    let client_deadline = host.now + 2_000_000;
    host.advance(client_deadline - host.now - 4_000);
    host.request_with(3, |r| r.key = Some(Key(5)));
    host.advance(100_000);
    assert_eq!(
        (host.final_answers(1), host.send_count(3)),
        (1, 0),
        "the first request's attempt is still in flight"
    );
    host.end_attempt(1, 0, 7, Outcome::Timeout);
    host.advance(190_000);
    assert_eq!(host.send_count(3), 0, "the key is in its cooldown");
    host.advance(30_000);
    assert_eq!(host.send_count(3), 1);
}

// Rule 6: the retry budget.

#[test]
fn retries_stay_within_the_budget() {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudget {
        min_retries: 1.0,
        retry_ratio: 0.1,
        window: 5_000_000,
    });
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    for id in 1..=20 {
        host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        host.end_attempt(id, 0, 7, Outcome::Error);
    }
    let retries =
        |host: &Host| host.sends().len() - (1..=20).filter(|i| host.send_count(*i) > 0).count();
    host.advance(500_000);
    assert_eq!(retries(&host), 3, "1, and a tenth of 20");
}

// Rule 7: limits.

fn limited() -> Settings {
    let mut settings = settings();
    settings.plans[0].limit = Some(RateLimit {
        rate: 10.0,
        burst: 20.0,
        overdraft: 2.0,
    });
    settings
}

#[test]
fn a_volume_stays_within_this_hosts_share_of_its_limit() {
    let mut host = Host::new(limited(), vec![entry(7, 0)]);
    let start = host.now;
    for id in 1..1000 {
        let before = host.sends().len();
        host.request_with(id, |r| r.hosts = 2.0);
        host.advance(12_000);
        for (r, n) in host.sends()[before..].to_vec() {
            host.end_attempt(r, 0, n, Outcome::Ok);
        }
        let units = host.sends().len() as f64 * 2.0;
        let share = 5.0 * (host.now - start) as f64 / 1e6;
        assert!(units <= share, "{units} of {share}");
    }
    assert!(host.sends().len() > 20);
}

#[test]
fn a_restarted_host_starts_with_an_empty_bucket() {
    let mut host = Host::new(limited(), vec![entry(7, 0)]);
    host.request(1);
    assert_eq!(host.send_count(1), 0);
    host.advance(250_000);
    assert_eq!(host.send_count(1), 1);
}

#[test]
fn only_first_attempts_draw_from_the_limit() {
    let mut host = Host::new(limited(), vec![entry(7, 0)]);
    host.advance(300_000);
    host.request(1);
    host.end_attempt(1, 0, 7, Outcome::Error);
    assert_eq!(host.send_count(1), 2);
}

#[test]
fn a_request_beyond_the_limit_is_rejected_at_once_with_retry_after() {
    let mut host = Host::new(limited(), vec![entry(7, 0)]);
    host.request_with(1, |r| r.units = 8.0);
    let hint = host.actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => *retry_after,
        _ => None,
    });
    assert!(
        hint.is_some_and(|t| (790_000..900_000).contains(&t)),
        "{hint:?}"
    );
}

#[test]
fn a_request_that_may_have_run_fails_at_once_after_its_deduplication_window() {
    let mut host = Host::new(deduplicated(DeduplicationScope::Shard), vec![entry(7, 0)]);
    host.request_with(1, |r| r.client_deadline += 8_000_000);
    host.advance(6_000_000);
    host.end_attempt(1, 0, 7, Outcome::Reset);
    assert!(
        host.failed(1) && host.send_count(1) == 1,
        "no other attempt is allowed"
    );
}

/// A host with a transfer in progress, of a volume whose limit is eight units a second.
fn host_with_transfer() -> Host {
    let mut settings = settings();
    settings.plans[0].limit = Some(RateLimit {
        rate: 8.0,
        burst: 16.0,
        overdraft: 2.0,
    });
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    host.advance(2_000_000);
    host.request_with(1, |r| r.client_deadline += 60_000_000);
    assert_eq!(host.send_count(1), 1);
    host.event(Event::ResponseStarted {
        request: RequestId(1),
        attempt: 0,
    });
    host
}

fn grant_count(host: &Host) -> usize {
    host.actions
        .iter()
        .filter(|a| matches!(a, Action::Grant { .. }))
        .count()
}

#[test]
fn a_transfer_in_progress_stays_within_its_volumes_limit() {
    let mut host = host_with_transfer();
    for _ in 0..40 {
        let before = grant_count(&host);
        host.event(Event::UnitsRequested {
            request: RequestId(1),
            units: 8.0,
        });
        while grant_count(&host) == before && host.now < 30_000_000 {
            host.advance(20_000);
        }
    }
    // The bucket was full at first, with eight units a second since: one more unit would exceed the limit.
    let max_moved = 18.0 + 8.0 * (host.now - 1_000_000) as f64 / 1e6;
    let moved = 2.0 + 8.0 * grant_count(&host) as f64;
    assert!(
        moved <= max_moved && moved > max_moved * 0.8,
        "{moved} of {max_moved}"
    );
}

#[test]
fn a_draining_node_continues_its_transfer_and_gets_no_new_request() {
    let mut host = host_with_transfer();
    let drains = NodeEntry {
        state: NodeState::Draining,
        ..entry(7, 0)
    };
    host.node_list(NodeListKind::Changes, vec![drains]);
    host.advance(1_000_000);
    host.event(Event::UnitsRequested {
        request: RequestId(1),
        units: 8.0,
    });
    host.request(2);
    host.advance(1_500_000);
    assert_eq!((grant_count(&host), host.send_count(2)), (1, 0));
}

#[test]
fn a_transfer_takes_no_slot_and_its_duration_is_not_latency() {
    let mut host = host_with_transfer();
    host.advance(5_000_000);
    host.serve_after(1, 7, 5_000_000);
    host.request(2);
    assert_eq!(
        host.send_count(2),
        1,
        "a transfer of five seconds does not make the node slow"
    );
}

// Data that moves to another shard.

#[test]
fn a_waiting_request_follows_its_data_to_the_new_shard() {
    let mut host = Host::new(settings(), vec![entry(0, 0), entry(1, 1)]);
    // Fill node 0 until requests wait there.
    for id in 0..12 {
        host.request(id);
    }
    let sent = host.sends().len();
    assert!(sent < 12);
    for id in 0..12 {
        host.event(Event::ShardChanged {
            request: RequestId(id),
            shard: Some(Shard(1)),
        });
    }
    host.advance(100_000);
    let sends = host.sends();
    for id in 0..12 {
        let nodes: Vec<_> = sends
            .iter()
            .filter(|send| send.0 == id)
            .map(|send| send.1)
            .collect();
        assert!(nodes.len() <= 1, "request {id} went to {nodes:?}");
        assert!(
            (id as usize) < sent || nodes.iter().all(|node| *node == 1),
            "request {id} went to {nodes:?}"
        );
    }
    assert!(sends.len() > sent, "requests that moved are sent");
}

#[test]
fn a_request_rejected_by_the_wrong_shard_waits_for_its_new_shard() {
    let mut host = Host::new(settings(), vec![entry(0, 0), entry(1, 1)]);
    host.request(1);
    host.end_attempt(1, 0, 0, Outcome::WrongShard);
    host.advance(100_000);
    // An update of the node list must not send it to the old shard again.
    host.node_list(NodeListKind::Changes, vec![entry(0, 0)]);
    assert_eq!(host.sends(), [(1, 0)]);
    host.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    assert_eq!(host.sends(), [(1, 0), (1, 1)]);
    // The rejection says nothing about the health of the node.
    host.request(2);
    assert!(host.sends().contains(&(2, 0)));
}

#[test]
fn a_request_whose_shard_stays_unknown_is_rejected_in_time() {
    let mut host = Host::new(settings(), vec![entry(0, 0)]);
    host.request_with(1, |r| (r.shard_unknown, r.shard) = (true, None));
    assert!(host.sends().is_empty());
    host.advance(1_100_000);
    assert!(
        host.rejected(1) && host.sends().is_empty(),
        "well before its two seconds are over"
    );
}

#[test]
fn a_write_that_may_have_run_never_leaves_its_deduplication_scope() {
    let write = |scope| {
        let mut settings = settings();
        settings.classes = vec![class(Idempotence::Deduplicated {
            scope,
            window: 4_000_000,
        })];
        let mut host = Host::new(settings, vec![entry(0, 0), entry(1, 1)]);
        host.request_with(1, |r| r.client_deadline += 2_000_000);
        host
    };
    // Its data moves while it is in flight, then its connection breaks: it may have run on shard 0.
    let mut host = write(DeduplicationScope::Shard);
    host.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    host.end_attempt(1, 0, 0, Outcome::Reset);
    assert!(
        host.failed(1) && host.sends() == [(1, 0)],
        "it fails at once"
    );
    // Its data moves while it waits for its next attempt.
    let mut host = write(DeduplicationScope::Shard);
    host.node_list(
        NodeListKind::Changes,
        vec![NodeEntry {
            state: NodeState::Draining,
            ..entry(0, 0)
        }],
    );
    host.advance(1_000_000);
    host.end_attempt(1, 0, 0, Outcome::Reset);
    assert!(!host.failed(1), "a successor may still take over its shard");
    host.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    assert!(host.failed(1) && host.sends() == [(1, 0)]);
    // If every node drops the repetition, it is retried; so is a request that certainly did not run.
    let mut host = write(DeduplicationScope::AllNodes);
    host.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    host.end_attempt(1, 0, 0, Outcome::Reset);
    assert_eq!(host.sends(), [(1, 0), (1, 1)]);
    let mut host = write(DeduplicationScope::Shard);
    host.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    host.end_attempt(1, 0, 0, Outcome::ConnectFailed);
    assert_eq!(host.sends(), [(1, 0), (1, 1)]);
}

/// Units that these processes send in three seconds of steady requests of a volume whose limit is ten a
/// second.
/// `shares` is the share that a process gets at a time.
fn units_sent_by(hosts: &mut [Host], shares: impl Fn(usize, Micros) -> Option<f64>) -> f64 {
    let mut id = 0;
    for step in 0..300 {
        for (index, host) in hosts.iter_mut().enumerate() {
            if let Some(share) = shares(index, step * 10_000) {
                host.event(Event::ProcessShare(share));
            }
            id += 1;
            let before = host.sends().len();
            host.request_with(id, |r| r.units = 1.0);
            host.advance(10_000);
            for (r, n) in host.sends()[before..].to_vec() {
                host.end_attempt(r, 0, n, Outcome::Ok);
            }
        }
    }
    hosts.iter().map(|host| host.sends().len() as f64).sum()
}

#[test]
fn two_processes_of_one_host_send_no_more_than_one() {
    let both = || [0, 1].map(|_| Host::new(limited(), vec![entry(7, 0)]));
    // With the whole quota each, they exceed the limit.
    let unshared = units_sent_by(&mut both(), |_, _| None);
    assert!(unshared > 45.0, "{unshared}");
    // The quota is handed over in steps; the shares never add up to more than 1.
    let steps = |index: usize, now: Micros| match (index, now) {
        (1, 0) => Some(0.0),
        (0, 1_000_000) => Some(0.5),
        (1, 1_020_000) => Some(0.5),
        (0, 2_000_000) => Some(0.1),
        (1, 2_020_000) => Some(0.9),
        _ => None,
    };
    let sent = units_sent_by(&mut both(), steps);
    assert!((22.0..=31.0).contains(&sent), "{sent}");
}
