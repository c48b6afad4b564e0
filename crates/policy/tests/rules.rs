//! The seven rules. Each test fails when the guard it names is taken out.

mod common;
use common::*;
use lupinrack_policy::*;

fn keyed(scope: DeduplicationScope) -> Settings {
    let mut s = settings();
    s.classes = vec![class(Idempotence::Deduplicated {
        scope,
        window: 500_000,
    })];
    s
}

// Rule 1: one final answer, in time.

#[test]
fn a_held_request_is_answered_before_the_client_gives_up() {
    let mut h = Host::new(settings(), vec![]);
    h.request(1);
    h.pass(850_000);
    assert_eq!(h.finals(1), 0);
    // Never sent: the answer comes before half of the two seconds is over, with the rest left to the client.
    h.pass(100_000);
    assert!(h.refused(1) && h.finals(1) == 1);
    h.list(NodeListKind::Full, vec![entry(7, 0)]);
    h.pass(1_000_000);
    assert_eq!((h.finals(1), h.sent(1)), (1, 0));
}

#[test]
fn what_was_never_sent_is_given_up_by_half_of_its_time_but_not_before_its_aim() {
    let mut s = settings();
    s.classes[0].latency_target = 1_500_000;
    let mut h = Host::new(s, vec![]);
    h.request(1);
    h.pass(1_490_000);
    assert_eq!(h.finals(1), 0, "it may still be served in time");
    h.pass(20_000);
    assert!(h.refused(1));
}

#[test]
fn a_request_that_is_out_is_answered_before_the_client_gives_up() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.request(1);
    h.pass(2_000_000);
    assert_eq!(h.finals(1), 1);
    h.answer(1, 0, 7, Outcome::Error);
    h.pass(100_000);
    assert_eq!((h.finals(1), h.sent(1)), (1, 1));
}

#[test]
fn a_served_request_gets_nothing_more() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.request(1);
    h.answer(1, 0, 7, Outcome::Ok);
    h.pass(3_000_000);
    assert_eq!((h.finals(1), h.sent(1)), (0, 1));
}

// Rule 2: effects.

#[test]
fn unsafe_requests_run_once() {
    let mut s = settings();
    s.classes = vec![
        Class {
            latency_target: 4_000_000,
            ..class(Idempotence::NotIdempotent)
        },
        class(Idempotence::Idempotent),
    ];
    let mut h = Host::new(s, vec![entry(7, 0)]);
    h.request(1);
    h.answer(1, 0, 7, Outcome::Reset);
    assert!(h.failed(1) && !h.refused(1) && h.sent(1) == 1);
    h.request_with(2, |r| r.client_deadline += 3_000_000);
    h.answer(2, 0, 7, Outcome::Rejected);
    h.pass(2_600_000);
    assert_eq!(h.sent(2), 2, "turned away unseen: may be sent again");
    h.pass(3_000_000);
    assert!(h.failed(2), "its second attempt may run: no refusal");
}

#[test]
fn keyed_requests_repeat_within_their_cell_and_window() {
    let mut h = Host::new(
        keyed(DeduplicationScope::Shard),
        vec![entry(7, 0), entry(8, 1)],
    );
    h.request_with(1, |r| r.shard = None);
    let first = h.sends()[0].1;
    h.answer(1, 0, first, Outcome::Error);
    assert_eq!(h.sends(), [(1, first), (1, first)]);
    h.pass(600_000);
    h.answer(1, 1, first, Outcome::Error);
    h.pass(1_500_000);
    assert_eq!(h.sent(1), 2, "the window is over");
    assert!(h.failed(1) && !h.refused(1));
}

#[test]
fn keyed_requests_of_group_all_may_be_refused() {
    let mut h = Host::new(keyed(DeduplicationScope::AllNodes), vec![entry(7, 0)]);
    h.request(1);
    h.pass(2_000_000);
    assert!(h.refused(1));
}

#[test]
fn keyed_requests_stay_in_their_zone() {
    let mut far = entry(8, 1);
    far.zone = Zone(1);
    let mut h = Host::new(keyed(DeduplicationScope::Zone), vec![entry(7, 0), far]);
    h.request_with(1, |r| r.shard = None);
    let first = h.sends()[0].1;
    h.answer(1, 0, first, Outcome::Reset);
    h.list(
        NodeListKind::Changes,
        vec![NodeEntry {
            state: NodeState::Gone,
            ..entry(first, 0)
        }],
    );
    h.pass(2_000_000);
    assert!(h.sends().iter().all(|s| s.1 == first));
    assert!(h.failed(1));
}

#[test]
fn no_second_attempt_beside_the_first() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.request(1);
    h.pass(1_900_000);
    assert_eq!(h.sent(1), 1);
}

// Rule 3: drains.

#[test]
fn a_draining_node_gets_nothing_new_after_the_grace() {
    for state in [NodeState::Draining, NodeState::Gone] {
        let mut h = Host::new(settings(), vec![entry(7, 0)]);
        h.list(
            NodeListKind::Changes,
            vec![NodeEntry {
                state,
                ..entry(7, 0)
            }],
        );
        h.pass(1_000_000);
        h.request(1);
        h.pass(500_000);
        assert_eq!(h.sent(1), 0, "{state:?}");
    }
}

#[test]
fn the_grace_serves_what_no_other_node_can() {
    let mut h = Host::new(settings(), vec![entry(7, 0), entry(8, 1)]);
    h.list(
        NodeListKind::Changes,
        vec![NodeEntry {
            state: NodeState::Draining,
            ..entry(7, 0)
        }],
    );
    h.request(1);
    assert_eq!(h.sends(), [(1, 7)]);
    h.request_with(2, |r| r.shard = None);
    assert_eq!(h.sends()[1], (2, 8), "a new object goes elsewhere");
}

#[test]
fn a_node_missing_from_a_whole_list_is_gone() {
    let mut h = Host::new(settings(), vec![entry(7, 0), entry(8, 1)]);
    h.list(NodeListKind::Full, vec![entry(8, 1)]);
    h.pass(1_000_000);
    h.request(1);
    h.pass(100_000);
    assert_eq!(h.sent(1), 0);
}

// Rule 4: cold nodes.

#[test]
fn a_cold_node_gets_this_hosts_part_and_more_as_it_warms() {
    let mut s = settings();
    s.hosts = 2;
    s.slow_start = Some(SlowStart {
        guaranteed_units: 12.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 10_000_000,
        window: 1_000_000,
    });
    let mut h = Host::new(s, vec![]);
    let born = h.now;
    let started = Some(born);
    h.list(
        NodeListKind::Full,
        vec![NodeEntry {
            started,
            ..entry(7, 0)
        }],
    );
    let mut sent = Vec::new();
    for id in 1..600 {
        h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        h.pass(20_000);
        while let Some(&(r, n)) = h.sends().get(sent.len()) {
            h.answer(r, 0, n, Outcome::Ok);
            sent.push(h.now);
        }
        // Half of 12 units, grown as the slowest warming: 0.2 at the start, 1 after ten seconds.
        let age = (h.now - born - 1_000_000).max(0) as f64;
        let part = 6.0 * (0.2 + 0.8 * age / 1e7) / 0.2;
        let within = sent.iter().filter(|t| h.now - **t < 900_000).count() as f64 * 2.0;
        // The stated figure is far on the safe side: up to three times that, at the first.
        assert!(
            age >= 1e7 || within <= part * 3.0,
            "{within} units of {part} at {age}"
        );
    }
    assert!(sent.len() > 80, "{}", sent.len());
}

#[test]
fn a_cold_node_that_does_not_answer_gets_this_hosts_part_only() {
    let mut s = settings();
    s.hosts = 2;
    s.slow_start = Some(SlowStart {
        guaranteed_units: 12.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 10_000_000,
        window: 1_000_000,
    });
    for outcome in [None, Some(Outcome::Error), Some(Outcome::Rejected)] {
        let mut h = Host::new(s.clone(), vec![]);
        let started = Some(h.now);
        h.list(
            NodeListKind::Full,
            vec![NodeEntry {
                started,
                ..entry(7, 0)
            }],
        );
        for id in 1..60 {
            let before = h.sends().len();
            h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
            for (r, n) in h.sends()[before..].to_vec() {
                let attempt = h.sent(r) as u16 - 1;
                outcome.iter().for_each(|o| h.answer(r, attempt, n, *o));
            }
            h.pass(8_000);
        }
        assert!(
            h.sends().len() <= 4,
            "{outcome:?}: {} of 2 units, with a part of 6",
            h.sends().len()
        );
    }
}

#[test]
fn many_hosts_together_keep_a_fresh_node_standing_and_do_not_starve_it() {
    let mut s = settings();
    s.hosts = 200;
    s.slow_start = Some(SlowStart {
        guaranteed_units: 20.0,
        initial_share: 0.16,
        overload_multiple: 4.0,
        duration: 14_000_000,
        window: 1_000_000,
    });
    let born = 5_000_000;
    let mut hosts: Vec<Host> = (0..200)
        .map(|seed| {
            let mut h = Host::new(s.clone(), vec![]);
            h.balancer = Balancer::new(s.clone(), seed * 1_000_003);
            h.now = born;
            h.list(
                NodeListKind::Full,
                vec![NodeEntry {
                    started: Some(born),
                    ..entry(7, 0)
                }],
            );
            h
        })
        .collect();
    // Thirty requests of two units a second, each through some host; all heard of the start at once.
    let (mut dice, mut sent) = (fastrand::Rng::with_seed(7), Vec::<(Micros, f64)>::new());
    for id in 0..360u32 {
        let now = born + Micros::from(id) * 33_000;
        let h = &mut hosts[dice.usize(..200)];
        h.now = now;
        h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        if h.sent(id) > 0 {
            sent.push((now, 2.0));
            h.now += 30_000;
            h.answer(id, 0, 7, Outcome::Ok);
        }
        let age = (now - born - 1_000_000).max(0) as f64;
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

/// A hundred hosts, each with thin traffic to 12 of 60 nodes, one of which starts cold after a while. It works
/// in turn of arrival, at a quarter of its power growing to all of it over 13 s. What its requests do as a sum:
/// units served of those asked for, and the most sent within a second as a part of what pushes it over.
fn thin_traffic_to_a_cold_node(overload_multiple: f64) -> (f64, f64) {
    const HOSTS: usize = 100;
    const NODES: u32 = 60;
    const POWER: f64 = 40.0;
    const WARM: f64 = 13e6;
    let mut s = settings();
    s.hosts = HOSTS as u32;
    s.timer_resolution = 1_000;
    s.slow_start = Some(SlowStart {
        guaranteed_units: 7.0,
        initial_share: 0.25,
        overload_multiple,
        duration: WARM as Micros,
        window: 1_000_000,
    });
    let begun = 5_000_000;
    let mut hosts: Vec<Host> = (0..HOSTS as u64)
        .map(|seed| {
            let mut h = Host::new(s.clone(), vec![]);
            h.balancer = Balancer::new(s.clone(), seed * 1_000_003);
            h.now = begun;
            h.list(
                NodeListKind::Full,
                (0..NODES).map(|n| entry(n, n)).collect(),
            );
            h
        })
        .collect();
    let (born, end) = (begun + 8_000_000, begun + 18_000_000);
    let power = |now: Micros| POWER * (0.25 + 0.75 * ((now - born) as f64 / WARM).clamp(0.0, 1.0));
    let (mut dice, mut free, mut sent, mut due) =
        (fastrand::Rng::with_seed(11), 0, Vec::new(), Vec::new());
    let (mut asked, mut served, mut most, mut id) = (0.0, 0.0, 0.0_f64, 0u32);
    for now in (begun..end).step_by(8_000) {
        for (h, host) in hosts.iter_mut().enumerate() {
            host.now = now;
            if now == born {
                host.list(
                    NodeListKind::Changes,
                    vec![NodeEntry {
                        started: Some(born),
                        ..entry(0, 0)
                    }],
                );
            }
            // 2 units a request, half of what the nodes can do, spread over all hosts.
            let before = host.said.len();
            if dice.f64() < POWER / 4.0 * f64::from(NODES) / HOSTS as f64 * 0.008 {
                id += 1;
                let shard = (h as u32 + dice.u32(..12) * 5) % NODES;
                asked += if now > born && shard == 0 { 2.0 } else { 0.0 };
                host.request_with(id, |r| {
                    (r.volume, r.shard) = (VolumeId(h as u64), Some(Shard(shard)))
                });
            } else if now % 40_000 == 0 {
                host.event(Event::Timer(0));
            }
            for action in host.said.split_off(before) {
                let Action::Send { request, node, .. } = action else {
                    continue;
                };
                let work = if node.0 == 0 && now >= born {
                    (2e6 / power(now)) as Micros
                } else {
                    40_000
                };
                let ends = if node.0 == 0 && now >= born {
                    free = now.max(free) + work;
                    free
                } else {
                    now + work
                };
                due.push((ends, h, request, node, now));
                if node.0 == 0 && now >= born {
                    sent.push(now);
                    let within = sent.iter().filter(|t| now - **t < 1_000_000).count() as f64 * 2.0;
                    most = most.max(within / (4.0 * power(now)));
                }
            }
        }
        let (over, still): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0 <= now);
        due = still;
        for (ends, h, request, node, at) in over {
            served += if node.0 == 0 && at >= born && ends - at < 300_000 {
                2.0
            } else {
                0.0
            };
            hosts[h].answer_waited(request.0, node.0, ends - at, Outcome::Ok);
        }
    }
    (served / asked, most)
}

#[test]
fn a_cold_node_gets_what_warm_ones_are_seen_to_bear_and_stays_standing() {
    let (stated, _) = thin_traffic_to_a_cold_node(0.0);
    let (seen, most) = thin_traffic_to_a_cold_node(4.0);
    assert!(
        seen > 0.5 && seen > stated * 1.4,
        "{seen} of what was asked is served in time, by the figure {stated}"
    );
    assert!(most < 1.0, "{most} of what pushes it over");
}

// Rule 5: order by key.

fn ordered() -> Host {
    let mut s = settings();
    s.classes[0].in_order = true;
    s.key_cooldown = 200_000;
    Host::new(s, vec![entry(7, 0)])
}

#[test]
fn requests_with_one_key_go_one_at_a_time() {
    let mut h = ordered();
    for id in 1..=3 {
        h.request_with(id, |r| r.key = Some(Key(5)));
    }
    h.request_with(4, |r| r.key = Some(Key(6)));
    h.request_with(5, |r| r.key = None);
    assert_eq!(
        h.sends(),
        [(1, 7), (4, 7), (5, 7)],
        "others are not blocked"
    );
    h.answer(1, 0, 7, Outcome::Ok);
    assert_eq!(h.sends().last(), Some(&(2, 7)));
    h.answer(2, 0, 7, Outcome::Error);
    assert_eq!(
        (h.sent(2), h.sent(3)),
        (2, 0),
        "the one that has the turn may go again"
    );
}

#[test]
fn a_key_rests_after_doubt() {
    let mut h = ordered();
    for id in 1..=2 {
        h.request_with(id, |r| r.key = Some(Key(5)));
    }
    let client_deadline = h.now + 2_000_000;
    h.pass(client_deadline - h.now - 4_000);
    h.request_with(3, |r| r.key = Some(Key(5)));
    h.pass(100_000);
    assert_eq!(
        (h.finals(1), h.sent(3)),
        (1, 0),
        "the first one's attempt is still out"
    );
    h.answer(1, 0, 7, Outcome::Timeout);
    h.pass(190_000);
    assert_eq!(h.sent(3), 0, "and the key rests");
    h.pass(30_000);
    assert_eq!(h.sent(3), 1);
}

// Rule 6: the retry budget.

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = settings();
    s.retry_budget = Some(RetryBudget {
        min_retries: 1.0,
        retry_ratio: 0.1,
        window: 5_000_000,
    });
    let mut h = Host::new(s, vec![entry(7, 0)]);
    for id in 1..=20 {
        h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        h.answer(id, 0, 7, Outcome::Error);
    }
    let extra = |h: &Host| h.sends().len() - (1..=20).filter(|i| h.sent(*i) > 0).count();
    h.pass(500_000);
    assert_eq!(extra(&h), 3, "1 and a tenth of 20");
}

// Rule 7: limits.

fn limited() -> Settings {
    let mut s = settings();
    s.plans[0].limit = Some(RateLimit {
        rate: 10.0,
        burst: 20.0,
        overdraft: 2.0,
    });
    s
}

#[test]
fn a_volume_stays_within_this_hosts_part_of_its_limit() {
    let mut h = Host::new(limited(), vec![entry(7, 0)]);
    let start = h.now;
    for id in 1..1000 {
        let before = h.sends().len();
        h.request_with(id, |r| r.hosts = 2.0);
        h.pass(12_000);
        for (r, n) in h.sends()[before..].to_vec() {
            h.answer(r, 0, n, Outcome::Ok);
        }
        let units = h.sends().len() as f64 * 2.0;
        let part = 5.0 * (h.now - start) as f64 / 1e6;
        assert!(units <= part, "{units} of {part}");
    }
    assert!(h.sends().len() > 20);
}

#[test]
fn a_restarted_host_opens_with_nothing() {
    let mut h = Host::new(limited(), vec![entry(7, 0)]);
    h.request(1);
    assert_eq!(h.sent(1), 0);
    h.pass(250_000);
    assert_eq!(h.sent(1), 1);
}

#[test]
fn only_first_attempts_draw() {
    let mut h = Host::new(limited(), vec![entry(7, 0)]);
    h.pass(300_000);
    h.request(1);
    h.answer(1, 0, 7, Outcome::Error);
    assert_eq!(h.sent(1), 2);
}

#[test]
fn beyond_the_limit_the_client_hears_at_once_when_to_come_back() {
    let mut h = Host::new(limited(), vec![entry(7, 0)]);
    h.request_with(1, |r| r.units = 8.0);
    let hint = h.said.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => *retry_after,
        _ => None,
    });
    assert!(
        hint.is_some_and(|t| (790_000..900_000).contains(&t)),
        "{hint:?}"
    );
}

#[test]
fn a_keyed_request_in_doubt_fails_at_once_when_its_window_is_over() {
    let mut h = Host::new(keyed(DeduplicationScope::Shard), vec![entry(7, 0)]);
    h.request_with(1, |r| r.client_deadline += 8_000_000);
    h.pass(6_000_000);
    h.answer(1, 0, 7, Outcome::Reset);
    assert!(h.failed(1) && h.sent(1) == 1, "nothing more can come of it");
}

/// A transfer in hand on a volume whose limit is eight units a second.
fn transfer() -> Host {
    let mut s = settings();
    s.plans[0].limit = Some(RateLimit {
        rate: 8.0,
        burst: 16.0,
        overdraft: 2.0,
    });
    let mut h = Host::new(s, vec![entry(7, 0)]);
    h.pass(2_000_000);
    h.request_with(1, |r| r.client_deadline += 60_000_000);
    assert_eq!(h.sent(1), 1);
    h.event(Event::ResponseStarted {
        request: RequestId(1),
        attempt: 0,
    });
    h
}

fn granted(h: &Host) -> usize {
    h.said
        .iter()
        .filter(|a| matches!(a, Action::Grant { .. }))
        .count()
}

#[test]
fn a_transfer_in_hand_moves_no_faster_than_its_volume_may() {
    let mut h = transfer();
    for _ in 0..40 {
        let before = granted(&h);
        h.event(Event::UnitsRequested {
            request: RequestId(1),
            units: 8.0,
        });
        while granted(&h) == before && h.now < 30_000_000 {
            h.pass(20_000);
        }
    }
    // Full at first, and eight a second since: a unit more would pass the limit.
    let most = 18.0 + 8.0 * (h.now - 1_000_000) as f64 / 1e6;
    let moved = 2.0 + 8.0 * granted(&h) as f64;
    assert!(moved <= most && moved > most * 0.8, "{moved} of {most}");
}

#[test]
fn a_drain_stops_no_transfer_in_hand_and_starts_no_other() {
    let mut h = transfer();
    let drains = NodeEntry {
        state: NodeState::Draining,
        ..entry(7, 0)
    };
    h.list(NodeListKind::Changes, vec![drains]);
    h.pass(1_000_000);
    h.event(Event::UnitsRequested {
        request: RequestId(1),
        units: 8.0,
    });
    h.request(2);
    h.pass(1_500_000);
    assert_eq!((granted(&h), h.sent(2)), (1, 0));
}

#[test]
fn a_transfer_takes_no_slot_of_a_node_and_its_length_is_no_latency() {
    let mut h = transfer();
    h.pass(5_000_000);
    h.answer_after(1, 7, 5_000_000);
    h.request(2);
    assert_eq!(
        h.sent(2),
        1,
        "five seconds of bytes do not make the node slow"
    );
}

// ---- data that moves ---------------------------------------------------------------------------------------

#[test]
fn what_is_held_while_its_data_moves_goes_to_the_new_shard_alone() {
    let mut h = Host::new(settings(), vec![entry(0, 0), entry(1, 1)]);
    // Fill node 0 until something is held there.
    for id in 0..12 {
        h.request(id);
    }
    let sent = h.sends().len();
    assert!(sent < 12);
    for id in 0..12 {
        h.event(Event::ShardChanged {
            request: RequestId(id),
            shard: Some(Shard(1)),
        });
    }
    h.pass(100_000);
    let sends = h.sends();
    for id in 0..12 {
        let places: Vec<_> = sends.iter().filter(|s| s.0 == id).map(|s| s.1).collect();
        assert!(places.len() <= 1, "request {id} went to {places:?}");
        assert!(
            (id as usize) < sent || places.iter().all(|p| *p == 1),
            "request {id} went to {places:?}"
        );
    }
    assert!(sends.len() > sent, "what moved is sent");
}

#[test]
fn a_request_turned_away_as_moved_waits_until_told_where_its_data_lies() {
    let mut h = Host::new(settings(), vec![entry(0, 0), entry(1, 1)]);
    h.request(1);
    h.answer(1, 0, 0, Outcome::WrongShard);
    h.pass(100_000);
    // News of the list must not send it to the old place again.
    h.list(NodeListKind::Changes, vec![entry(0, 0)]);
    assert_eq!(h.sends(), [(1, 0)]);
    h.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    assert_eq!(h.sends(), [(1, 0), (1, 1)]);
    // A node that only lost an extent is as well as before.
    h.request(2);
    assert!(h.sends().contains(&(2, 0)));
}

#[test]
fn a_request_whose_place_is_unknown_is_refused_in_time_if_nobody_tells() {
    let mut h = Host::new(settings(), vec![entry(0, 0)]);
    h.request_with(1, |r| (r.shard_unknown, r.shard) = (true, None));
    assert!(h.sends().is_empty());
    h.pass(1_100_000);
    assert!(
        h.refused(1) && h.sends().is_empty(),
        "well before its two seconds are over"
    );
}

#[test]
fn a_keyed_write_that_may_have_run_never_follows_its_data_out_of_its_group() {
    let write = |scope| {
        let mut s = settings();
        s.classes = vec![class(Idempotence::Deduplicated {
            scope,
            window: 4_000_000,
        })];
        let mut h = Host::new(s, vec![entry(0, 0), entry(1, 1)]);
        h.request_with(1, |r| r.client_deadline += 2_000_000);
        h
    };
    // Moved while it is out, then its connection breaks: it may have run on shard 0.
    let mut h = write(DeduplicationScope::Shard);
    h.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    h.answer(1, 0, 0, Outcome::Reset);
    assert!(
        h.failed(1) && h.sends() == [(1, 0)],
        "it fails plainly and at once"
    );
    // Moved while it waits for its next attempt.
    let mut h = write(DeduplicationScope::Shard);
    h.list(
        NodeListKind::Changes,
        vec![NodeEntry {
            state: NodeState::Draining,
            ..entry(0, 0)
        }],
    );
    h.pass(1_000_000);
    h.answer(1, 0, 0, Outcome::Reset);
    assert!(!h.failed(1), "a successor on its shard may still come");
    h.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    assert!(h.failed(1) && h.sends() == [(1, 0)]);
    // Where every node drops the repeat it goes on; and so does what provably never ran.
    let mut h = write(DeduplicationScope::AllNodes);
    h.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    h.answer(1, 0, 0, Outcome::Reset);
    assert_eq!(h.sends(), [(1, 0), (1, 1)]);
    let mut h = write(DeduplicationScope::Shard);
    h.event(Event::ShardChanged {
        request: RequestId(1),
        shard: Some(Shard(1)),
    });
    h.answer(1, 0, 0, Outcome::ConnectFailed);
    assert_eq!(h.sends(), [(1, 0), (1, 1)]);
}

/// Units sent within three seconds of steady asking at a volume whose limit is ten a second, from two processes.
fn sent_by(hosts: &mut [Host], parts: impl Fn(usize, Micros) -> Option<f64>) -> f64 {
    let mut id = 0;
    for step in 0..300 {
        for (at, h) in hosts.iter_mut().enumerate() {
            if let Some(part) = parts(at, step * 10_000) {
                h.event(Event::ProcessShare(part));
            }
            id += 1;
            let before = h.sends().len();
            h.request_with(id, |r| r.units = 1.0);
            h.pass(10_000);
            for (r, n) in h.sends()[before..].to_vec() {
                h.answer(r, 0, n, Outcome::Ok);
            }
        }
    }
    hosts.iter().map(|h| h.sends().len() as f64).sum()
}

#[test]
fn two_processes_that_are_one_host_send_no_more_than_one() {
    let both = || [0, 1].map(|_| Host::new(limited(), vec![entry(7, 0)]));
    // Each by the whole: that is what passes the limit.
    let whole = sent_by(&mut both(), |_, _| None);
    assert!(whole > 45.0, "{whole}");
    // Handed over in steps, none of which adds up past the whole.
    let steps = |at: usize, now: Micros| match (at, now) {
        (1, 0) => Some(0.0),
        (0, 1_000_000) => Some(0.5),
        (1, 1_020_000) => Some(0.5),
        (0, 2_000_000) => Some(0.1),
        (1, 2_020_000) => Some(0.9),
        _ => None,
    };
    let sent = sent_by(&mut both(), steps);
    assert!((22.0..=31.0).contains(&sent), "{sent}");
}
