//! One test for each kind of trouble that the module answers, and for odd but legal news.

mod common;
use common::*;
use lupinrack_policy::*;

fn each_own_volume(h: &mut Host, ids: std::ops::Range<u32>) {
    for id in ids {
        h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
    }
}

#[test]
fn a_node_that_breaks_connections_gets_trials_only() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    each_own_volume(&mut h, 1..9);
    for (id, outcome) in [
        (1, Outcome::Reset),
        (2, Outcome::ConnectFailed),
        (3, Outcome::ConnectFailed),
    ] {
        h.answer(id, 0, 7, outcome);
    }
    let before = h.sends().len();
    h.pass(60_000);
    assert_eq!(h.sends().len(), before, "the breaker is open");
    h.pass(1_400_000);
    let trials = h.sends().len() - before;
    assert!(
        (1..=5).contains(&trials),
        "{trials} trials at growing distances"
    );
}

#[test]
fn an_answer_closes_the_breaker() {
    let mut s = settings();
    s.classes[0].latency_target = 1_900_000;
    let mut h = Host::new(s, vec![entry(7, 0)]);
    each_own_volume(&mut h, 1..5);
    for id in 1..4 {
        h.answer(id, 0, 7, Outcome::ConnectFailed);
    }
    assert_eq!(
        (h.sent(1), h.sent(2), h.sent(3)),
        (2, 2, 1),
        "the third failure opened it"
    );
    h.answer(4, 0, 7, Outcome::Ok);
    h.pass(20_000);
    assert_eq!(h.sent(3), 1, "careful at first: one at a time");
    h.answer(1, 1, 7, Outcome::Ok);
    h.answer(2, 1, 7, Outcome::Ok);
    assert_eq!(h.sent(3), 2);
}

#[test]
fn a_silent_node_is_found_without_any_outcome_and_new_objects_avoid_it() {
    let mut h = Host::new(settings(), vec![entry(7, 0), entry(8, 1)]);
    each_own_volume(&mut h, 1..3);
    h.pass(1_100_000);
    let before = h.sends().len();
    for id in 20..26 {
        h.request_with(id, |r| {
            (r.shard, r.volume) = (None, VolumeId(u64::from(id)))
        });
    }
    h.pass(20_000);
    let new = &h.sends()[before..];
    assert!(
        !new.is_empty() && new.iter().filter(|s| s.0 >= 20).all(|s| s.1 == 8),
        "{new:?}"
    );
}

#[test]
fn a_short_pause_opens_nothing() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.request(1);
    h.pass(250_000);
    h.request(2);
    assert_eq!(h.sent(2), 1);
}

#[test]
fn overtaken_attempts_hold_no_slot() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    each_own_volume(&mut h, 1..4); // three of four slots; these are never answered
    h.pass(300_000);
    for id in 10..60 {
        h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        if h.sent(id) > 0 {
            h.pass(4_000);
            h.answer(id, 0, 7, Outcome::Ok);
        }
    }
    each_own_volume(&mut h, 100..104);
    assert!(
        (100..103).all(|id| h.sent(id) == 1),
        "the node works: three more go out beside the three lost"
    );
}

#[test]
fn lost_attempts_do_not_keep_a_node_from_being_tried() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.request_with(1, |r| r.volume = VolumeId(1));
    h.answer(1, 0, 7, Outcome::Ok);
    // Their connections fell silent: nothing else is out, so nothing sent later can tell that they are lost.
    each_own_volume(&mut h, 2..4);
    h.pass(450_000);
    each_own_volume(&mut h, 10..12);
    assert_eq!(
        (h.sent(10), h.sent(11)),
        (1, 0),
        "one goes to find out, and no more"
    );
    h.pass(40_000);
    h.answer(10, 0, 7, Outcome::Ok);
    assert_eq!(
        h.sent(11),
        1,
        "the node works, and the two that are lost hold nothing up"
    );
}

#[test]
fn time_outs_of_what_was_overtaken_open_no_breaker() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    each_own_volume(&mut h, 1..4);
    h.pass(450_000);
    each_own_volume(&mut h, 10..11);
    h.pass(1_600_000);
    h.answer_after(10, 7, 40_000);
    for id in 1..4 {
        h.answer_waited(id, 7, 2_050_000, Outcome::Timeout);
    }
    h.request_with(20, |r| r.volume = VolumeId(20));
    assert_eq!(
        h.sent(20),
        1,
        "it answers: what was lost before says nothing of it"
    );
}

#[test]
fn a_node_that_turns_away_is_left_alone_for_a_moment() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    each_own_volume(&mut h, 1..9);
    let before = h.sends().len();
    h.answer(1, 0, 7, Outcome::Rejected);
    assert_eq!(h.sends().len(), before);
    h.pass(100_000);
    for id in 2..5 {
        h.answer(id, 0, 7, Outcome::Ok);
    }
    assert_eq!(h.sends().len(), before);
    h.pass(1_000_000);
    h.request_with(20, |r| r.volume = VolumeId(20));
    assert_eq!(h.sent(20), 1);
}

#[test]
fn errors_are_tried_again_at_once() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.request(1);
    for attempt in 0..3 {
        h.answer(1, attempt, 7, Outcome::Error);
    }
    assert_eq!(h.sent(1), 4);
    h.answer(1, 3, 7, Outcome::Error);
    assert!(h.refused(1), "four tries are all there are");
}

#[test]
fn a_request_past_its_aim_lets_others_go_first() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    each_own_volume(&mut h, 1..5);
    h.request_with(10, |r| r.volume = VolumeId(10));
    h.pass(400_000);
    h.request_with(11, |r| r.volume = VolumeId(11));
    h.answer(1, 0, 7, Outcome::Ok);
    assert_eq!((h.sent(10), h.sent(11)), (0, 1));
}

#[test]
fn shedding_spares_the_reserve() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.pass(3_000_000);
    // Volume 1 floods the node beyond its reserve; volume 2 asks for what it has reserved.
    let (mut id, mut answered) = (100, 0);
    for round in 0..60 {
        for _ in 0..4 {
            h.request_with(id, |_| {});
            id += 1;
        }
        if round % 20 == 19 {
            h.request_with(round, |r| r.volume = VolumeId(2));
        }
        h.pass(40_000);
        if let Some(&(r, n)) = h.sends().get(answered) {
            h.answer(r, 0, n, Outcome::Ok);
            answered += 1;
        }
    }
    let shed = (100..id).filter(|r| h.refused(*r)).count();
    assert!(shed > 30, "{shed} of the flood refused early");
    assert!(
        [19, 39, 59].iter().all(|r| !h.refused(*r)),
        "the reserve is not"
    );
}

#[test]
fn a_successor_on_the_shard_takes_over() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    each_own_volume(&mut h, 1..7);
    h.list(
        NodeListKind::Changes,
        vec![
            NodeEntry {
                state: NodeState::Gone,
                ..entry(7, 0)
            },
            entry(9, 0),
        ],
    );
    h.pass(8_000);
    let moved: Vec<u32> = h.sends().iter().filter(|s| s.1 == 9).map(|s| s.0).collect();
    assert_eq!(moved, [5, 6]);
}

#[test]
fn a_lost_subscription_is_asked_for_again_spaced() {
    let mut s = settings();
    s.discovery = DiscoveryMode::Poll {
        informed_after: 10_000_000,
    };
    let mut h = Host::new(s, vec![entry(7, 0)]);
    let asked = |h: &Host| h.said.iter().filter(|a| **a == Action::Subscribe).count();
    assert_eq!(asked(&h), 1);
    h.list(NodeListKind::Failed, vec![]);
    assert_eq!(asked(&h), 1);
    h.pass(1_200_000);
    assert_eq!(asked(&h), 2);
    h.list(NodeListKind::Changes, vec![]);
    h.pass(20_000_000);
    assert_eq!(asked(&h), 2, "subscribed: no more calls");
    h.list(NodeListKind::Failed, vec![]);
    h.pass(1_200_000);
    assert_eq!(asked(&h), 3);
}

#[test]
fn an_unanswered_call_is_made_again() {
    let mut s = settings();
    s.discovery = DiscoveryMode::Poll {
        informed_after: 10_000_000,
    };
    let mut h = Host::new(s, vec![entry(7, 0)]);
    h.pass(7_000_000);
    assert_eq!(
        h.said.iter().filter(|a| **a == Action::Subscribe).count(),
        2
    );
}

#[test]
fn a_stream_that_began_is_left_to_the_client() {
    let mut s = settings();
    s.classes[0].streamed = true;
    let mut h = Host::new(s, vec![entry(7, 0)]);
    h.request(1);
    h.event(Event::ResponseStarted {
        request: RequestId(1),
        attempt: 0,
    });
    h.pass(5_000_000);
    assert_eq!(h.finals(1), 0);
}

#[test]
fn odd_news_is_taken_calmly() {
    let mut s = settings();
    s.plans = vec![plan(0.0)];
    s.plans[0].reserved_rate = 0.0;
    let mut h = Host::new(s, vec![entry(7, 0)]);
    h.answer(99, 0, 7, Outcome::Ok); // unknown request
    h.answer(99, 0, 55, Outcome::Error); // and node
    h.event(Event::ClientGone(RequestId(99)));
    h.event(Event::Timer(12345));
    h.event(Event::PeerMessage);
    h.event(Event::HealthChecked {
        node: NodeId(55),
        outcome: Outcome::Timeout,
        elapsed: 1,
        load: None,
    });
    h.request_with(1, |r| r.shard = Some(Shard(66))); // no node holds it
    h.request_with(2, |r| (r.plan, r.class, r.units) = (9, 9, 0.0)); // beyond the settings
    h.request_with(3, |r| r.client_deadline = 0); // over before it came
    h.request(4);
    h.answer(4, 0, 7, Outcome::Ok);
    h.answer(4, 0, 7, Outcome::Ok); // a second time
    h.event(Event::ClientGone(RequestId(4)));
    h.pass(2_100_000);
    assert_eq!((h.finals(1), h.finals(3), h.finals(4)), (1, 1, 0));
}

#[test]
fn settings_without_plans_still_serve() {
    let mut s = settings();
    s.plans.clear();
    let mut h = Host::new(s, vec![entry(7, 0)]);
    h.request(1);
    assert_eq!(h.sent(1), 1);
}

#[test]
fn a_cold_node_starves_under_no_number_of_hosts() {
    let mut s = settings();
    s.hosts = 12;
    s.slow_start = Some(SlowStart {
        guaranteed_units: 23.0,
        initial_share: 0.2,
        overload_multiple: 4.0,
        duration: 15_000_000,
        window: 3_000_000,
    });
    let mut h = Host::new(s, vec![]);
    let started = Some(h.now);
    h.list(
        NodeListKind::Full,
        vec![NodeEntry {
            started,
            ..entry(7, 0)
        }],
    );
    let begun = h.now;
    for id in 1..40 {
        h.request(id); // 2 units; an even part is 1.9
        h.pass(100_000);
    }
    let sent = h.sends().len();
    assert!((1..=5).contains(&sent), "{sent} sent in {}", h.now - begun);
}

#[test]
fn one_pause_does_not_make_a_node_slow() {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    for id in 1..20 {
        h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
        h.pass(20_000);
        h.answer(id, 0, 7, Outcome::Ok); // 40 ms each
    }
    h.request(30);
    h.pass(20_000);
    h.event(Event::AttemptEnded(AttemptEnd {
        request: RequestId(30),
        attempt: 0,
        node: NodeId(7),
        outcome: Outcome::Ok,
        elapsed: 3_000_000, // taken at its value it would put the usual latency past the aim of 300 ms
        request_finished: true,
        volume_usage: None,
        units_through_other_hosts: 0.0,
        load: None,
    }));
    each_own_volume(&mut h, 40..43);
    assert!((40..43).all(|id| h.sent(id) == 1));
}

/// Sends in ten seconds of a host that always has something to send, at a node that answers after `latency`.
fn sends_of_a_busy_host(hosts: u32, latency: Micros) -> usize {
    let mut s = settings();
    s.hosts = hosts;
    let mut h = Host::new(s, vec![entry(7, 0)]);
    let (mut out, start, mut seen) = (Vec::<(Micros, u32)>::new(), h.now, 0);
    for id in 0.. {
        if h.now - start > 10_000_000 {
            break;
        }
        h.request_with(id, |r| r.volume = VolumeId(id.into()));
        h.pass(10_000);
        out.extend(h.said[seen..].iter().filter_map(|a| match a {
            Action::Send { request, .. } => Some((h.now + latency, request.0)),
            _ => None,
        }));
        seen = h.said.len();
        for (_, r) in out.extract_if(.., |o| o.0 <= h.now).collect::<Vec<_>>() {
            h.answer_after(r, 7, latency);
        }
    }
    h.sends().len()
}

#[test]
fn with_many_hosts_a_slow_node_gets_less_than_one_at_a_time_from_each() {
    // One at a time would be thirty in ten seconds from each of two hundred hosts.
    let many = sends_of_a_busy_host(200, 330_000);
    assert!(many <= 12, "{many} sends");
    // A few hosts keep a slot busy, and many hosts a quick node.
    let few = sends_of_a_busy_host(4, 330_000);
    assert!(few > 20, "{few} sends of one of few hosts");
    let quick = sends_of_a_busy_host(200, 30_000);
    assert!(quick > 200, "{quick} sends to a quick node");
}

/// A host that knows one node, whose usual latency is this.
fn with_latency(s: Settings, latency: Micros) -> Host {
    let mut h = Host::new(s, vec![entry(7, 0)]);
    for id in 1000..1040 {
        h.request_with(id, |r| r.volume = VolumeId(id.into()));
        h.pass(latency);
        h.answer_after(id, 7, latency);
    }
    h
}

#[test]
fn what_earns_little_leaves_a_slower_node_to_the_rest() {
    let mut s = settings();
    s.classes.push(Class {
        latency_target: 1_500_000,
        value: 0.5,
        ..class(Idempotence::Idempotent)
    });
    // Both could be in time at 200 ms; the second would fill the node up to its own aim.
    let mut h = with_latency(s.clone(), 200_000);
    h.request_with(1, |r| (r.class, r.volume) = (1, VolumeId(1)));
    h.request_with(2, |r| r.volume = VolumeId(2));
    assert_eq!((h.sent(1), h.sent(2)), (0, 1));
    let mut h = with_latency(s, 50_000);
    h.request_with(1, |r| (r.class, r.volume) = (1, VolumeId(1)));
    assert_eq!(h.sent(1), 1, "a quick node takes it");
}

#[test]
fn one_missing_answer_does_not_close_a_node_two_in_a_row_do() {
    let mut h = with_latency(settings(), 50_000);
    for (id, goes) in [(1, true), (2, true), (3, false)] {
        h.request_with(id, |r| r.volume = VolumeId(id.into()));
        assert_eq!(h.sent(id) == 1, goes, "request {id}");
        h.pass(350_000); // past the shortest aim
    }
}

#[test]
fn a_client_with_little_time_is_served_in_it() {
    let mut h = with_latency(settings(), 50_000);
    h.request_with(1, |r| {
        (r.client_deadline, r.volume) = (r.client_deadline - 1_850_000, VolumeId(1))
    });
    assert_eq!(h.sent(1), 1);
}

#[test]
fn a_late_request_at_a_slow_node_is_answered_at_once_with_a_hint() {
    let mut h = with_latency(settings(), 50_000);
    for id in 1..3 {
        h.request_with(id, |r| r.volume = VolumeId(id.into()));
        h.pass(350_000); // two missing answers in a row: the node is slow
    }
    h.pass(60_000);
    each_own_volume(&mut h, 3..5);
    h.pass(350_000); // their aim is over, their clients stay for 1.6 s more
    assert_eq!(
        h.sent(3),
        1,
        "one goes to find out whether the others are lost"
    );
    assert_eq!((h.sent(4), h.refused(4)), (0, true));
    let long =
        |a: &Action| matches!(a, Action::Reject { retry_after: Some(t), .. } if *t > 300_000);
    assert!(
        h.said.iter().any(long),
        "the hint tells how slow the node is"
    );
}
