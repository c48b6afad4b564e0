//! Subscriptions of processes without a disk.

mod common;

use common::{core, view};
use lupinrack_cluster_api::frame::{Frame, Interest, Role};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::head_client::OutgoingFrame;
use lupinrack_cluster_node::subscription::Subscription;
use quickcheck::quickcheck;
use std::collections::BTreeSet;

const EVERY_MS: u64 = 1_500;
const BEGAN: Millis = Millis(1);
const HAS_NONE: Interest = Interest::Configuration { have: 0 };
const HAS_17: Interest = Interest::Configuration { have: 17 };

fn subscription(seeds: &[u8]) -> Subscription {
    Subscription::new(seeds.iter().copied().map(core).collect(), EVERY_MS, BEGAN)
}

fn receiver(outgoing: Option<OutgoingFrame>) -> Option<PeerAddress> {
    outgoing.map(|outgoing| outgoing.to)
}

/// The receivers of all subscriptions sent while the clock advances in steps of 10 ms.
fn receivers(
    subscription: &mut Subscription,
    view: &View,
    from: u64,
    until: u64,
) -> Vec<PeerAddress> {
    let moments = (from..until).step_by(10).map(Millis);
    moments
        .filter_map(|now| receiver(subscription.tick(view, HAS_NONE, &LiveTable::default(), now)))
        .collect()
}

#[test]
fn while_no_view_is_known_all_seeds_are_tried_in_turn() {
    let mut subscription = subscription(&[1, 2, 3]);
    let tried = receivers(&mut subscription, &View::default(), 1, 600);
    let distinct: BTreeSet<PeerAddress> = tried.iter().take(3).copied().collect();
    assert_eq!(distinct, [core(1), core(2), core(3)].into());
    assert_eq!(tried.len(), 4, "one each 150 ms");
}

#[test]
fn without_seeds_and_view_nobody_is_asked() {
    let mut subscription = subscription(&[]);
    assert!(receivers(&mut subscription, &View::default(), 1, 2_000).is_empty());
}

#[test]
fn with_a_view_only_the_head_is_asked_at_the_given_pace() {
    let mut subscription = subscription(&[3]);
    let known = view(4, &[1, 2, 3], &[2, 1]);
    let mut asked = Vec::new();
    for now in (1..6_000).step_by(50).map(Millis) {
        subscription.received_update(now);
        asked.extend(receiver(subscription.tick(
            &known,
            HAS_NONE,
            &LiveTable::default(),
            now,
        )));
    }
    assert_eq!(asked, [core(2); 4]);
}

#[test]
fn the_frame_tells_what_the_process_has_and_when_it_asked() {
    let mut subscription = subscription(&[1]);
    let outgoing = subscription
        .tick(&View::default(), HAS_17, &LiveTable::default(), BEGAN)
        .expect("the first tick subscribes");
    assert_eq!(
        outgoing.frame,
        Frame::Subscribe {
            interest: HAS_17,
            requested_at: BEGAN
        }
    );
}

#[test]
fn make_due_subscribes_immediately() {
    let mut subscription = subscription(&[1]);
    let known = view(4, &[1, 2, 3], &[2, 1]);
    assert_eq!(
        receiver(subscription.tick(&known, HAS_NONE, &LiveTable::default(), Millis(10))),
        Some(core(2))
    );
    assert_eq!(
        receiver(subscription.tick(&known, HAS_NONE, &LiveTable::default(), Millis(20))),
        None
    );
    subscription.make_due();
    assert_eq!(
        receiver(subscription.tick(&known, HAS_NONE, &LiveTable::default(), Millis(30))),
        Some(core(2))
    );
}

#[test]
fn a_head_that_times_out_makes_it_ask_voters_and_seeds() {
    let mut subscription = subscription(&[9]);
    let known = view(4, &[1, 2, 3], &[2, 1]);
    let silent_from = 1 + 1_000 + EVERY_MS;
    receivers(&mut subscription, &known, 1, silent_from);
    let tried = receivers(&mut subscription, &known, silent_from, silent_from + 1_000);
    let distinct: BTreeSet<PeerAddress> = tried.into_iter().collect();
    assert_eq!(distinct, [core(1), core(2), core(3), core(9)].into());
}

fn member(number: u8, role: Role) -> LiveMember {
    LiveMember {
        address: core(number),
        role,
        zone: String::new(),
        process_incarnation: 1,
    }
}

#[test]
fn core_processes_of_the_table_are_asked_where_all_voters_and_seeds_were_replaced() {
    let table = LiveTable::new(vec![
        member(2, Role::Core),
        member(20, Role::Core),
        member(30, Role::Frontend),
        member(40, Role::Agent),
    ]);
    let mut subscription = subscription(&[9]);
    let known = view(4, &[1, 2, 3], &[2, 1]);
    let silent_from = 1 + 1_000 + EVERY_MS;
    receivers(&mut subscription, &known, 1, silent_from);
    let moments = (silent_from..silent_from + 800).step_by(10).map(Millis);
    let tried: Vec<PeerAddress> = moments
        .filter_map(|now| receiver(subscription.tick(&known, HAS_NONE, &table, now)))
        .collect();
    let distinct: BTreeSet<PeerAddress> = tried.iter().take(5).copied().collect();
    assert_eq!(distinct, [1, 2, 3, 9, 20].map(core).into(), "{tried:?}");
}

#[test]
fn an_update_ends_the_search() {
    let mut subscription = subscription(&[9]);
    let known = view(4, &[1, 2, 3], &[2, 1]);
    let timed_out = Millis(1 + 1_000 + EVERY_MS);
    subscription.tick(&known, HAS_NONE, &LiveTable::default(), timed_out);
    subscription.received_update(timed_out.plus(10));
    subscription.make_due();
    assert_eq!(
        receiver(subscription.tick(&known, HAS_NONE, &LiveTable::default(), timed_out.plus(20))),
        Some(core(2))
    );
}

quickcheck! {
    /// Two subscriptions are never sent within less than the search interval, whatever the times of the ticks.
    fn subscriptions_keep_the_minimum_interval(steps: Vec<u16>, known: bool) -> bool {
        let view = if known { view(1, &[1, 2], &[1, 2]) } else { View::default() };
        let mut subscription = subscription(&[1, 2]);
        let mut now = BEGAN;
        let mut last: Option<Millis> = None;
        for step in steps {
            now = now.plus(u64::from(step % 200));
            if subscription.tick(&view, HAS_NONE, &LiveTable::default(), now).is_none() {
                continue;
            }
            if last.is_some_and(|last| now.since(last) < 150) {
                return false;
            }
            last = Some(now);
        }
        true
    }
}
