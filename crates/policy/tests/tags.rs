//! HYBRID-DSFQ tags, compared with numbers computed by hand. Weights 1 and 3 give φ 0.25 and 0.75.

mod common;
use common::*;
use lupinrack_policy::*;

/// Node 7 stores shard 0, node 8 shard 1. Four requests of four volumes, all with start tag 0, fill D of
/// node 7.
fn host_with_full_node() -> Host {
    let mut settings = settings();
    settings.plans = vec![plan(1.0), plan(3.0)];
    settings.classes[0].latency_target = 100_000_000;
    settings.classes[0].deadline = 200_000_000;
    let mut host = Host::new(settings, vec![entry(7, 0), entry(8, 1)]);
    for id in 1..=4 {
        request(&mut host, id, u64::from(id), 0, 3.0, 0);
    }
    assert_eq!(host.sends().len(), 4);
    host
}

fn request(host: &mut Host, id: u32, volume: u64, plan: u32, units: f64, shard: u32) {
    let client_deadline = host.now + 200_000_000;
    host.request_with(id, |r| {
        (r.volume, r.plan, r.units) = (VolumeId(volume), plan, units);
        (r.shard, r.client_deadline) = (Some(Shard(shard)), client_deadline);
    });
}

/// Ends one request after another at node 7. Returns the order in which the waiting requests were sent.
fn send_order(mut host: Host) -> Vec<u32> {
    let mut next = 0;
    loop {
        let sent: Vec<u32> = host
            .sends()
            .iter()
            .filter(|send| send.1 == 7)
            .map(|send| send.0)
            .collect();
        let Some(&id) = sent.get(next) else {
            return sent[4..].to_vec();
        };
        host.end_attempt(id, 0, 7, Outcome::Ok);
        next += 1;
    }
}

#[test]
fn start_tags_follow_weights() {
    let mut host = host_with_full_node();
    for id in 10..13 {
        request(&mut host, id, 100, 0, 3.0, 0); // 3 / 0.25: start tags 0, 12, 24
    }
    for id in 20..25 {
        request(&mut host, id, 200, 1, 3.0, 0); // 3 / 0.75: start tags 0, 4, 8, 12, 16
    }
    // Equal start tags go by arrival: 10 before 20, 11 before 23.
    assert_eq!(send_order(host), [10, 20, 21, 22, 11, 23, 24, 12]);
}

#[test]
fn units_sent_to_other_nodes_delay_the_start_tag() {
    let mut host = host_with_full_node();
    request(&mut host, 5, 1, 0, 2.0, 1); // volume 1 sends 2 units to node 8
    for id in 20..27 {
        request(&mut host, id, 200, 1, 3.0, 0); // 0, 4, 8, 12, 16, 20, 24
    }
    // Volume 1 has finish tag 12 here. Delay min(2, 3 / (1 - 0.25)) = 2, over 0.25: start tag 12 + 8 = 20.
    request(&mut host, 10, 1, 0, 3.0, 0);
    assert_eq!(send_order(host), [20, 21, 22, 23, 24, 25, 10, 26]);
}

#[test]
fn the_hybrid_rule_clips_the_delay() {
    let mut host = host_with_full_node();
    for id in 5..9 {
        request(&mut host, id, 1, 0, 8.0, 1); // 32 units on node 8
    }
    for id in 20..30 {
        request(&mut host, id, 200, 1, 3.0, 0); // 0, 4, .. 36
    }
    // Delay min(32, 4) = 4, over 0.25: start tag 12 + 16 = 28, equal to that of 27, which arrived first.
    request(&mut host, 10, 1, 0, 3.0, 0);
    assert_eq!(
        send_order(host),
        [20, 21, 22, 23, 24, 25, 26, 27, 10, 28, 29]
    );
}

#[test]
fn a_single_plan_has_no_delay() {
    let mut settings = settings();
    settings.classes[0].latency_target = 100_000_000;
    let mut host = Host::new(settings, vec![entry(7, 0), entry(8, 1)]);
    for id in 1..=4 {
        request(&mut host, id, u64::from(id), 0, 3.0, 0);
    }
    request(&mut host, 5, 1, 0, 8.0, 1);
    for id in 20..22 {
        request(&mut host, id, 200, 0, 3.0, 0); // 0, 3
    }
    request(&mut host, 10, 1, 0, 3.0, 0); // 3, after 21 by arrival
    request(&mut host, 22, 200, 0, 3.0, 0); // 6
    assert_eq!(send_order(host), [20, 21, 10, 22]);
}

#[test]
fn a_free_slot_is_used_at_once() {
    let mut host = host_with_full_node();
    request(&mut host, 10, 100, 0, 3.0, 0);
    assert_eq!(host.send_count(10), 0);
    host.end_attempt(1, 0, 7, Outcome::Ok);
    assert_eq!(host.send_count(10), 1);
}

#[test]
fn tags_of_idle_volumes_are_dropped() {
    let mut host = host_with_full_node();
    for id in 1..=4 {
        host.end_attempt(id, 0, 7, Outcome::Ok);
    }
    host.advance(21_000_000);
    for id in 30..34 {
        request(&mut host, id, u64::from(id), 0, 3.0, 0);
    }
    request(&mut host, 40, 200, 1, 3.0, 0); // 0
    request(&mut host, 41, 200, 1, 3.0, 0); // 4
    request(&mut host, 42, 1, 0, 3.0, 0); // its finish tag of 12 was dropped: start tag 0, before 41
    assert_eq!(send_order(host)[4..], [40, 42, 41]);
}

#[test]
fn state_of_old_volumes_and_nodes_is_dropped() {
    let mut settings = settings();
    settings.plans = vec![Plan {
        limit: Some(RateLimit {
            rate: 16.0,
            burst: 32.0,
            overdraft: 8.0,
        }),
        ..plan(1.0)
    }];
    let mut host = Host::new(settings, Vec::new());
    let mut max_entries = 0;
    for second in 0..600 {
        // Each node is replaced after a second by one with a new number.
        let mut list = vec![entry(second, 0)];
        if second > 0 {
            list.push(NodeEntry {
                state: NodeState::Gone,
                ..entry(second - 1, 0)
            });
        }
        host.node_list(NodeListKind::Changes, list);
        for i in 0..10 {
            let id = second * 10 + i;
            host.request_with(id, |r| r.volume = VolumeId(u64::from(id)));
            host.end_attempt(id, 0, second, Outcome::Ok);
        }
        host.advance(1_000_000);
        host.actions.clear();
        max_entries = max_entries.max(host.balancer.tracked_entries());
    }
    assert!(
        max_entries < 1_000,
        "{max_entries} entries kept of 6000 volumes and 600 nodes"
    );
}
