//! HYBRID-DSFQ tags against numbers worked by hand. Weights 1 and 3 give phi 0.25 and 0.75.

mod common;
use common::*;
use lupinrack_policy::*;

/// Node 7 holds shard 0, node 8 shard 1. Four requests of four volumes, all with start tag 0, fill D at node 7.
fn busy() -> Host {
    let mut s = settings();
    s.plans = vec![plan(1.0), plan(3.0)];
    s.classes[0].latency_target = 100_000_000;
    s.classes[0].deadline = 200_000_000;
    let mut h = Host::new(s, vec![entry(7, 0), entry(8, 1)]);
    for id in 1..=4 {
        ask(&mut h, id, u64::from(id), 0, 3.0, 0);
    }
    assert_eq!(h.sends().len(), 4);
    h
}

fn ask(h: &mut Host, id: u32, volume: u64, plan: u32, units: f64, shard: u32) {
    let client_deadline = h.now + 200_000_000;
    h.request_with(id, |r| {
        (r.volume, r.plan, r.units) = (VolumeId(volume), plan, units);
        (r.shard, r.client_deadline) = (Some(Shard(shard)), client_deadline);
    });
}

/// Ends one request after another at node 7 and tells in which order those that waited went out.
fn drain(mut h: Host) -> Vec<u32> {
    let mut next = 0;
    loop {
        let sent: Vec<u32> = h.sends().iter().filter(|s| s.1 == 7).map(|s| s.0).collect();
        let Some(&id) = sent.get(next) else {
            return sent[4..].to_vec();
        };
        h.answer(id, 0, 7, Outcome::Ok);
        next += 1;
    }
}

#[test]
fn start_tags_order_by_weight() {
    let mut h = busy();
    for id in 10..13 {
        ask(&mut h, id, 100, 0, 3.0, 0); // 3 / 0.25: start tags 0, 12, 24
    }
    for id in 20..25 {
        ask(&mut h, id, 200, 1, 3.0, 0); // 3 / 0.75: start tags 0, 4, 8, 12, 16
    }
    // Ties go by arrival: 10 before 20, 11 before 23.
    assert_eq!(drain(h), [10, 20, 21, 22, 11, 23, 24, 12]);
}

#[test]
fn units_elsewhere_delay_the_tag() {
    let mut h = busy();
    ask(&mut h, 5, 1, 0, 2.0, 1); // volume 1 gets 2 units on node 8
    for id in 20..27 {
        ask(&mut h, id, 200, 1, 3.0, 0); // 0, 4, 8, 12, 16, 20, 24
    }
    // Volume 1 has finish tag 12 here. Delay min(2, 3 / (1 - 0.25)) = 2, over 0.25: start tag 12 + 8 = 20.
    ask(&mut h, 10, 1, 0, 3.0, 0);
    assert_eq!(drain(h), [20, 21, 22, 23, 24, 25, 10, 26]);
}

#[test]
fn the_delay_is_clipped_by_the_hybrid_term() {
    let mut h = busy();
    for id in 5..9 {
        ask(&mut h, id, 1, 0, 8.0, 1); // 32 units on node 8
    }
    for id in 20..30 {
        ask(&mut h, id, 200, 1, 3.0, 0); // 0, 4, .. 36
    }
    // Delay min(32, 4) = 4, over 0.25: start tag 12 + 16 = 28, as that of 27, which came before.
    ask(&mut h, 10, 1, 0, 3.0, 0);
    assert_eq!(drain(h), [20, 21, 22, 23, 24, 25, 26, 27, 10, 28, 29]);
}

#[test]
fn a_single_plan_has_no_delay() {
    let mut s = settings();
    s.classes[0].latency_target = 100_000_000;
    let mut h = Host::new(s, vec![entry(7, 0), entry(8, 1)]);
    for id in 1..=4 {
        ask(&mut h, id, u64::from(id), 0, 3.0, 0);
    }
    ask(&mut h, 5, 1, 0, 8.0, 1);
    for id in 20..22 {
        ask(&mut h, id, 200, 0, 3.0, 0); // 0, 3
    }
    ask(&mut h, 10, 1, 0, 3.0, 0); // 3, after 21 by arrival
    ask(&mut h, 22, 200, 0, 3.0, 0); // 6
    assert_eq!(drain(h), [20, 21, 10, 22]);
}

#[test]
fn no_slot_idles_while_a_request_may_go() {
    let mut h = busy();
    ask(&mut h, 10, 100, 0, 3.0, 0);
    assert_eq!(h.sent(10), 0);
    h.answer(1, 0, 7, Outcome::Ok);
    assert_eq!(h.sent(10), 1);
}

#[test]
fn idle_volumes_age_out() {
    let mut h = busy();
    for id in 1..=4 {
        h.answer(id, 0, 7, Outcome::Ok);
    }
    h.pass(21_000_000);
    for id in 30..34 {
        ask(&mut h, id, u64::from(id), 0, 3.0, 0);
    }
    ask(&mut h, 40, 200, 1, 3.0, 0); // 0
    ask(&mut h, 41, 200, 1, 3.0, 0); // 4
    ask(&mut h, 42, 1, 0, 3.0, 0); // its finish tag of 12 is forgotten: 0, by arrival before 41
    assert_eq!(drain(h)[4..], [40, 42, 41]);
}

#[test]
fn a_day_of_new_volumes_and_nodes_leaves_nothing_behind() {
    let mut s = settings();
    s.plans = vec![Plan {
        limit: Some(RateLimit {
            rate: 16.0,
            burst: 32.0,
            overdraft: 8.0,
        }),
        ..plan(1.0)
    }];
    let mut h = Host::new(s, Vec::new());
    let mut most = 0;
    for day in 0..600 {
        // Each node is replaced after a second by one under a new number.
        let mut list = vec![entry(day, 0)];
        if day > 0 {
            list.push(NodeEntry {
                state: NodeState::Gone,
                ..entry(day - 1, 0)
            });
        }
        h.list(NodeListKind::Changes, list);
        for i in 0..10 {
            let id = day * 10 + i;
            h.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
            h.answer(id, 0, day, Outcome::Ok);
        }
        h.pass(1_000_000);
        h.said.clear();
        most = most.max(h.balancer.remembers());
    }
    assert!(
        most < 1_000,
        "{most} things remembered of 6000 volumes and 600 nodes"
    );
}
