//! Faults and overload: one test for each kind that the module handles, and for unusual but legal events.

mod common;
use common::*;
use lupinrack_policy::*;

fn request_each_from_its_own_volume(host: &mut Host, ids: std::ops::Range<u32>) {
    for id in ids {
        host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
    }
}

#[test]
fn a_node_that_breaks_connections_gets_only_probes() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    request_each_from_its_own_volume(&mut host, 1..9);
    for (id, outcome) in [
        (1, Outcome::Reset),
        (2, Outcome::ConnectFailed),
        (3, Outcome::ConnectFailed),
    ] {
        host.end_attempt(id, 0, 7, outcome);
    }
    let before = host.sends().len();
    host.advance(60_000);
    assert_eq!(host.sends().len(), before, "the breaker is open");
    host.advance(1_400_000);
    let probes = host.sends().len() - before;
    assert!(
        (1..=5).contains(&probes),
        "{probes} probes at growing intervals"
    );
}

#[test]
fn an_answer_closes_the_breaker() {
    let mut settings = settings();
    settings.classes[0].latency_target = 1_900_000;
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    request_each_from_its_own_volume(&mut host, 1..5);
    for id in 1..4 {
        host.end_attempt(id, 0, 7, Outcome::ConnectFailed);
    }
    assert_eq!(
        (host.send_count(1), host.send_count(2), host.send_count(3)),
        (2, 2, 1),
        "the third failure opened it"
    );
    host.end_attempt(4, 0, 7, Outcome::Ok);
    host.advance(20_000);
    assert_eq!(
        host.send_count(3),
        1,
        "one at a time after the breaker closed"
    );
    host.end_attempt(1, 1, 7, Outcome::Ok);
    host.end_attempt(2, 1, 7, Outcome::Ok);
    assert_eq!(host.send_count(3), 2);
}

#[test]
fn new_objects_avoid_a_node_that_gives_no_outcome() {
    let mut host = Host::new(settings(), vec![entry(7, 0), entry(8, 1)]);
    request_each_from_its_own_volume(&mut host, 1..3);
    host.advance(1_100_000);
    let before = host.sends().len();
    for id in 20..26 {
        host.request_with(id, |r| {
            (r.shard, r.volume) = (None, VolumeId(u64::from(id)))
        });
    }
    host.advance(20_000);
    let new = &host.sends()[before..];
    assert!(
        !new.is_empty()
            && new
                .iter()
                .filter(|send| send.0 >= 20)
                .all(|send| send.1 == 8),
        "{new:?}"
    );
}

#[test]
fn a_short_pause_does_not_open_the_breaker() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.request(1);
    host.advance(250_000);
    host.request(2);
    assert_eq!(host.send_count(2), 1);
}

#[test]
fn overtaken_attempts_take_no_slot() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    request_each_from_its_own_volume(&mut host, 1..4); // three of four slots; these attempts are never answered
    host.advance(300_000);
    for id in 10..60 {
        host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        if host.send_count(id) > 0 {
            host.advance(4_000);
            host.end_attempt(id, 0, 7, Outcome::Ok);
        }
    }
    request_each_from_its_own_volume(&mut host, 100..104);
    assert!(
        (100..103).all(|id| host.send_count(id) == 1),
        "the node answers: three more are sent beside the three lost"
    );
}

#[test]
fn a_stalled_node_gets_one_more_request() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.request_with(1, |r| r.volume = VolumeId(1));
    host.end_attempt(1, 0, 7, Outcome::Ok);
    // Their connections broke silently. No later attempt is in flight whose answer would show that they are
    // lost.
    request_each_from_its_own_volume(&mut host, 2..4);
    host.advance(450_000);
    request_each_from_its_own_volume(&mut host, 10..12);
    assert_eq!(
        (host.send_count(10), host.send_count(11)),
        (1, 0),
        "one more is sent to find out"
    );
    host.advance(40_000);
    host.end_attempt(10, 0, 7, Outcome::Ok);
    assert_eq!(
        host.send_count(11),
        1,
        "the node answers; the two lost attempts take no slot"
    );
}

#[test]
fn timeouts_of_overtaken_attempts_do_not_open_the_breaker() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    request_each_from_its_own_volume(&mut host, 1..4);
    host.advance(450_000);
    request_each_from_its_own_volume(&mut host, 10..11);
    host.advance(1_600_000);
    host.serve_after(10, 7, 40_000);
    for id in 1..4 {
        host.end_first_attempt_after(id, 7, 2_050_000, Outcome::Timeout);
    }
    host.request_with(20, |r| r.volume = VolumeId(20));
    assert_eq!(
        host.send_count(20),
        1,
        "the node answers; attempts lost before do not count as failures"
    );
}

#[test]
fn a_node_that_rejects_gets_nothing_for_a_while() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    request_each_from_its_own_volume(&mut host, 1..9);
    let before = host.sends().len();
    host.end_attempt(1, 0, 7, Outcome::Rejected);
    assert_eq!(host.sends().len(), before);
    host.advance(100_000);
    for id in 2..5 {
        host.end_attempt(id, 0, 7, Outcome::Ok);
    }
    assert_eq!(host.sends().len(), before);
    host.advance(1_000_000);
    host.request_with(20, |r| r.volume = VolumeId(20));
    assert_eq!(host.send_count(20), 1);
}

#[test]
fn errors_are_retried_at_once() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.request(1);
    for attempt in 0..3 {
        host.end_attempt(1, attempt, 7, Outcome::Error);
    }
    assert_eq!(host.send_count(1), 4);
    host.end_attempt(1, 3, 7, Outcome::Error);
    assert!(host.rejected(1), "four attempts are the maximum");
}

#[test]
fn a_request_past_its_latency_target_yields_to_others() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    request_each_from_its_own_volume(&mut host, 1..5);
    host.request_with(10, |r| r.volume = VolumeId(10));
    host.advance(400_000);
    host.request_with(11, |r| r.volume = VolumeId(11));
    host.end_attempt(1, 0, 7, Outcome::Ok);
    assert_eq!((host.send_count(10), host.send_count(11)), (0, 1));
}

#[test]
fn shedding_spares_reserved_units() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.advance(3_000_000);
    // Volume 1 floods the node beyond its reservation; volume 2 stays within its own.
    let (mut id, mut answered) = (100, 0);
    for round in 0..60 {
        for _ in 0..4 {
            host.request_with(id, |_| {});
            id += 1;
        }
        if round % 20 == 19 {
            host.request_with(round, |r| r.volume = VolumeId(2));
        }
        host.advance(40_000);
        if let Some(&(r, n)) = host.sends().get(answered) {
            host.end_attempt(r, 0, n, Outcome::Ok);
            answered += 1;
        }
    }
    let shed = (100..id).filter(|r| host.rejected(*r)).count();
    assert!(shed > 30, "{shed} requests of the flood shed");
    assert!(
        [19, 39, 59].iter().all(|r| !host.rejected(*r)),
        "reserved requests are not shed"
    );
}

#[test]
fn a_successor_on_the_shard_takes_over_the_queue() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    request_each_from_its_own_volume(&mut host, 1..7);
    host.node_list(
        NodeListKind::Changes,
        vec![
            NodeEntry {
                state: NodeState::Gone,
                ..entry(7, 0)
            },
            entry(9, 0),
        ],
    );
    host.advance(8_000);
    let moved: Vec<u32> = host
        .sends()
        .iter()
        .filter(|send| send.1 == 9)
        .map(|send| send.0)
        .collect();
    assert_eq!(moved, [5, 6]);
}

#[test]
fn a_lost_subscription_is_renewed_after_a_delay() {
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Poll {
        informed_after: 10_000_000,
    };
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    let calls = |host: &Host| {
        host.actions
            .iter()
            .filter(|a| **a == Action::Subscribe)
            .count()
    };
    assert_eq!(calls(&host), 1);
    host.node_list(NodeListKind::Failed, vec![]);
    assert_eq!(calls(&host), 1);
    host.advance(1_200_000);
    assert_eq!(calls(&host), 2);
    host.node_list(NodeListKind::Changes, vec![]);
    host.advance(20_000_000);
    assert_eq!(calls(&host), 2, "subscribed: no other calls");
    host.node_list(NodeListKind::Failed, vec![]);
    host.advance(1_200_000);
    assert_eq!(calls(&host), 3);
}

#[test]
fn an_unanswered_discovery_call_is_repeated() {
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Poll {
        informed_after: 10_000_000,
    };
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    host.advance(7_000_000);
    assert_eq!(
        host.actions
            .iter()
            .filter(|a| **a == Action::Subscribe)
            .count(),
        2
    );
}

#[test]
fn a_response_that_has_started_is_left_to_the_client() {
    let mut settings = settings();
    settings.classes[0].streamed = true;
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    host.request(1);
    host.event(Event::ResponseStarted {
        request: RequestId(1),
        attempt: 0,
    });
    host.advance(5_000_000);
    assert_eq!(host.final_answers(1), 0);
}

#[test]
fn unexpected_events_are_harmless() {
    let mut settings = settings();
    settings.plans = vec![plan(0.0)];
    settings.plans[0].reserved_rate = 0.0;
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    host.end_attempt(99, 0, 7, Outcome::Ok); // unknown request
    host.end_attempt(99, 0, 55, Outcome::Error); // unknown node too
    host.event(Event::ClientGone(RequestId(99)));
    host.event(Event::Timer(12345));
    host.event(Event::PeerMessage);
    host.event(Event::HealthChecked {
        node: NodeId(55),
        outcome: Outcome::Timeout,
        elapsed: 1,
        load: None,
    });
    host.request_with(1, |r| r.shard = Some(Shard(66))); // no node stores this shard
    host.request_with(2, |r| (r.plan, r.class, r.units) = (9, 9, 0.0)); // unknown plan and class
    host.request_with(3, |r| r.client_deadline = 0); // deadline before its arrival
    host.request(4);
    host.end_attempt(4, 0, 7, Outcome::Ok);
    host.end_attempt(4, 0, 7, Outcome::Ok); // the same end again
    host.event(Event::ClientGone(RequestId(4)));
    host.advance(2_100_000);
    assert_eq!(
        (
            host.final_answers(1),
            host.final_answers(3),
            host.final_answers(4)
        ),
        (1, 1, 0)
    );
}

#[test]
fn settings_without_plans_still_serve() {
    let mut settings = settings();
    settings.plans.clear();
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    host.request(1);
    assert_eq!(host.send_count(1), 1);
}

#[test]
fn a_share_below_one_request_does_not_starve_a_node_in_slow_start() {
    let mut settings = settings();
    settings.hosts = 12;
    settings.slow_start = Some(SlowStart {
        guaranteed_units: 23.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 15_000_000,
        window: 3_000_000,
    });
    let mut host = Host::new(settings, vec![]);
    let started = Some(host.now);
    host.node_list(
        NodeListKind::Full,
        vec![NodeEntry {
            started,
            ..entry(7, 0)
        }],
    );
    let start = host.now;
    for id in 1..40 {
        host.request(id); // 2 units; the even share is 1.9
        host.advance(100_000);
    }
    let sent = host.sends().len();
    assert!(
        (1..=5).contains(&sent),
        "{sent} sent in {}",
        host.now - start
    );
}

#[test]
fn one_slow_answer_does_not_make_a_node_slow() {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    for id in 1..20 {
        host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        host.advance(20_000);
        host.end_attempt(id, 0, 7, Outcome::Ok); // 40 ms each
    }
    host.request(30);
    host.advance(20_000);
    host.event(Event::AttemptEnded(AttemptEnd {
        request: RequestId(30),
        attempt: 0,
        node: NodeId(7),
        outcome: Outcome::Ok,
        elapsed: 3_000_000, // unclipped, it would raise the mean above the latency target of 300 ms
        request_finished: true,
        volume_usage: None,
        units_through_other_hosts: 0.0,
        load: None,
    }));
    request_each_from_its_own_volume(&mut host, 40..43);
    assert!((40..43).all(|id| host.send_count(id) == 1));
}

/// The number of attempts that a host with constant demand sends in ten seconds to a node that answers
/// after `latency`.
fn sends_of_a_busy_host(hosts: u32, latency: Micros) -> usize {
    let mut settings = settings();
    settings.hosts = hosts;
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    let (mut in_flight, start, mut actions_read) = (Vec::<(Micros, u32)>::new(), host.now, 0);
    for id in 0.. {
        if host.now - start > 10_000_000 {
            break;
        }
        host.request_with(id, |r| r.volume = VolumeId(id.into()));
        host.advance(10_000);
        in_flight.extend(host.actions[actions_read..].iter().filter_map(|a| match a {
            Action::Send { request, .. } => Some((host.now + latency, request.0)),
            _ => None,
        }));
        actions_read = host.actions.len();
        for (_, r) in in_flight
            .extract_if(.., |attempt| attempt.0 <= host.now)
            .collect::<Vec<_>>()
        {
            host.serve_after(r, 7, latency);
        }
    }
    host.sends().len()
}

#[test]
fn with_many_hosts_a_slow_node_gets_less_than_one_request_at_a_time_from_each() {
    // One request at a time would be thirty in ten seconds from each of two hundred hosts.
    let many = sends_of_a_busy_host(200, 330_000);
    assert!(many <= 12, "{many} sends");
    // With few hosts, each keeps a slot busy; with many hosts, each does so at a fast node.
    let few = sends_of_a_busy_host(4, 330_000);
    assert!(few > 20, "{few} sends of one of four hosts");
    let fast = sends_of_a_busy_host(200, 30_000);
    assert!(fast > 200, "{fast} sends to a fast node");
}

/// A host that knows one node, whose mean latency is `latency`.
fn host_with_latency(settings: Settings, latency: Micros) -> Host {
    let mut host = Host::new(settings, vec![entry(7, 0)]);
    for id in 1000..1040 {
        host.request_with(id, |r| r.volume = VolumeId(id.into()));
        host.advance(latency);
        host.serve_after(id, 7, latency);
    }
    host
}

#[test]
fn low_value_requests_leave_a_slower_node_to_others() {
    let mut settings = settings();
    settings.classes.push(Class {
        latency_target: 1_500_000,
        value: 0.5,
        ..class(Idempotence::Idempotent)
    });
    // At 200 ms both could be served in time, but requests of the second class would fill the node up to
    // their own, longer latency target.
    let mut host = host_with_latency(settings.clone(), 200_000);
    host.request_with(1, |r| (r.class, r.volume) = (1, VolumeId(1)));
    host.request_with(2, |r| r.volume = VolumeId(2));
    assert_eq!((host.send_count(1), host.send_count(2)), (0, 1));
    let mut host = host_with_latency(settings, 50_000);
    host.request_with(1, |r| (r.class, r.volume) = (1, VolumeId(1)));
    assert_eq!(host.send_count(1), 1, "a fast node takes it");
}

#[test]
fn one_missing_answer_does_not_stop_sends_but_two_in_a_row_do() {
    let mut host = host_with_latency(settings(), 50_000);
    for (id, is_sent) in [(1, true), (2, true), (3, false)] {
        host.request_with(id, |r| r.volume = VolumeId(id.into()));
        assert_eq!(host.send_count(id) == 1, is_sent, "request {id}");
        host.advance(350_000); // longer than the shortest latency target
    }
}

#[test]
fn a_client_with_a_short_timeout_is_served_within_it() {
    let mut host = host_with_latency(settings(), 50_000);
    host.request_with(1, |r| {
        (r.client_deadline, r.volume) = (r.client_deadline - 1_850_000, VolumeId(1))
    });
    assert_eq!(host.send_count(1), 1);
}

#[test]
fn a_late_request_at_a_slow_node_is_rejected_at_once_with_retry_after() {
    let mut host = host_with_latency(settings(), 50_000);
    for id in 1..3 {
        host.request_with(id, |r| r.volume = VolumeId(id.into()));
        host.advance(350_000); // two missing answers in a row: the node counts as slow
    }
    host.advance(60_000);
    request_each_from_its_own_volume(&mut host, 3..5);
    host.advance(350_000); // past their latency target; their clients wait 1.6 s more
    assert_eq!(
        host.send_count(3),
        1,
        "one is sent to find out whether the others are lost"
    );
    assert_eq!((host.send_count(4), host.rejected(4)), (0, true));
    let long =
        |a: &Action| matches!(a, Action::Reject { retry_after: Some(t), .. } if *t > 300_000);
    assert!(
        host.actions.iter().any(long),
        "retry_after follows the latency of the node"
    );
}
