//! What a host may use of what its fleet shares: until when, and what from then on.

mod common;

use common::*;
use lupinrack_policy::*;
use std::collections::BTreeMap;

const RATE: f64 = 10.0;
const MOST: f64 = 22.0;

fn limited() -> Settings {
    let mut s = settings();
    s.plans[0].limit = Some(RateLimit {
        rate: RATE,
        burst: 20.0,
        overdraft: 2.0,
    });
    s
}

fn rights(h: &Host, last: Micros, factor: f64) -> Event {
    let volume_factors = BTreeMap::from([(VolumeId(1), factor)]);
    Event::QuotaShares(Box::new(QuotaShares {
        valid_until: h.now + last,
        reserve: 0.1,
        slow_start: factor,
        volume_factors,
        default_volume_factor: 1.0,
    }))
}

/// Asks for units of two through one of two fronts; the units that were sent.
fn ask(h: &mut Host, id: u32) -> f64 {
    let before = h.sends().len();
    h.request_with(id, |r| r.hosts = 2.0);
    let sent = h.sends()[before..].to_vec();
    sent.iter()
        .for_each(|(r, n)| h.answer(*r, 0, *n, Outcome::Ok));
    2.0 * sent.len() as f64
}

#[test]
fn a_host_that_was_stopped_wakes_with_its_reserve() {
    let mut h = Host::new(limited(), vec![entry(7, 0)]);
    let hold = rights(&h, 2_000_000, 1.0);
    h.event(hold);
    h.pass(1_900_000);
    let held: f64 = (1..40).map(|id| ask(&mut h, id)).sum();
    assert!(held >= 8.0, "{held}: its even part is there to use");
    // Nothing runs for 5 s; at the very next moment it may use a tenth of its half of 22, and of what came since.
    h.now += 5_000_000;
    let woken: f64 = (100..140).map(|id| ask(&mut h, id)).sum();
    assert!(woken <= 0.1 * MOST / 2.0 + 1e-9, "{woken}");
}

#[test]
fn what_is_taken_over_starts_empty() {
    let mut h = Host::new(limited(), vec![entry(7, 0)]);
    let hold = rights(&h, 60_000_000, 1.0);
    h.event(hold);
    h.pass(10_000_000);
    let first: f64 = (1..40).map(|id| ask(&mut h, id)).sum();
    assert!(
        first > MOST / 2.0 - 3.0,
        "{first}: its own is full after a while"
    );
    h.pass(10_000_000);
    let more = rights(&h, 60_000_000, 2.0);
    h.event(more);
    let second: f64 = (100..140).map(|id| ask(&mut h, id)).sum();
    assert!(
        second <= MOST / 2.0,
        "{second}: its own again, and nothing of the other's"
    );
    h.pass(10_000_000);
    let third: f64 = (200..240).map(|id| ask(&mut h, id)).sum();
    assert!(third > MOST - 4.0, "{third}: both, once both have filled");
}

#[test]
fn an_attempt_that_lapsed_draws_again() {
    let mut h = Host::new(limited(), vec![entry(7, 0)]);
    let hold = rights(&h, 60_000_000, 1.0);
    h.event(hold);
    h.pass(10_000_000);
    assert_eq!((1..6).map(|id| ask(&mut h, id)).sum::<f64>(), 10.0);
    h.pass(300_000);
    h.request_with(100, |r| r.hosts = 2.0);
    assert_eq!(h.sent(100), 1);
    h.answer(100, 0, 7, Outcome::Expired);
    assert_eq!(h.sent(100), 1, "what it drew is gone");
    h.pass(450_000);
    assert_eq!(h.sent(100), 2, "it waits for new units");
}

/// Against a bucket kept millisecond by millisecond by whoever may use what at that moment.
#[test]
fn no_more_is_sent_than_the_right_of_each_moment_allows() {
    for seed in 0..100 {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut h = Host::new(limited(), vec![entry(7, 0)]);
        let (mut until, mut factor, mut level, mut counted) = (Micros::MAX, 1.0, MOST / 2.0, 0);
        for id in 1..600 {
            match dice.u32(0..12) {
                0 => {
                    let (last, to) = (
                        dice.i64(0..1_500_000),
                        [0.5, 1.0, 1.0, 2.0][dice.usize(0..4)],
                    );
                    let event = rights(&h, last, to);
                    (until, factor) = (h.now + last, to);
                    h.event(event);
                }
                1 => {
                    // Not run for a while.
                    let gap = dice.i64(0..3_000) * 1_000;
                    for _ in 0..gap / 1_000 {
                        h.now += 1_000;
                        let share = if h.now < until { factor } else { 0.1 };
                        level = f64::min(level + RATE / 2.0 * share / 1e3, MOST / 2.0 * share);
                    }
                }
                _ => {
                    for _ in 0..dice.u32(1..40) {
                        h.now += 1_000;
                        let share = if h.now < until { factor } else { 0.1 };
                        level = f64::min(level + RATE / 2.0 * share / 1e3, MOST / 2.0 * share);
                    }
                    h.event(Event::Timer(0));
                }
            }
            ask(&mut h, id);
            // What waited counts too, at the moment it goes.
            let sent = h.sends()[counted..].to_vec();
            counted += sent.len();
            level -= 2.0 * sent.len() as f64;
            assert!(level > -0.1, "seed {seed}, request {id}: {level}");
        }
    }
}

/// A host whose node 7 has broken every connection, with nothing out.
fn shut() -> Host {
    let mut h = Host::new(settings(), vec![entry(7, 0)]);
    h.event(Event::ProbationGrants(BTreeMap::new()));
    (1..=3).for_each(|id| h.request(id));
    let mut answered = 0;
    while let Some((id, node)) = h.sends().get(answered).copied() {
        let tries = h.sends()[..answered].iter().filter(|s| s.0 == id).count();
        h.answer(id, tries as u16, node, Outcome::ConnectFailed);
        answered += 1;
    }
    h
}

#[test]
fn a_node_that_does_not_answer_is_tried_as_the_fleet_grants_it_and_not_else() {
    let mut h = shut();
    let before = h.sends().len();
    for id in 10..14 {
        h.request(id);
        h.pass(700_000);
    }
    assert_eq!(h.sends().len(), before, "not at its own pace");
    let grant =
        |h: &Host, last| Event::ProbationGrants(BTreeMap::from([(NodeId(7), h.now + last)]));
    // Several wait for it: one goes.
    (20..24).for_each(|id| h.request(id));
    let one = grant(&h, 400_000);
    h.event(one);
    h.pass(100_000);
    assert_eq!(h.sends().len(), before + 1, "once");
    h.answer(h.sends().last().unwrap().0, 0, 7, Outcome::ConnectFailed);
    h.pass(3_000_000);
    let two = grant(&h, 400_000);
    h.event(two);
    h.pass(500_000);
    h.request(30);
    h.pass(100_000);
    assert_eq!(h.sends().len(), before + 1, "a grant that ended is none");
}

#[test]
fn what_another_host_saw_answer_is_used_again() {
    let mut h = shut();
    let before = h.sends().len();
    h.event(Event::NodeRecovered(NodeId(7)));
    h.request(20);
    h.pass(100_000);
    assert_eq!(h.sends().len(), before + 1);
}
