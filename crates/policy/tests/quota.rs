//! The quota of a host: its factors while they are valid, its reserve afterwards, and granted probes.

mod common;

use common::*;
use lupinrack_policy::*;
use std::collections::BTreeMap;

const RATE: f64 = 10.0;
const CAPACITY: f64 = 22.0;

fn limited() -> Settings {
    let mut settings = settings();
    settings.plans[0].limit = Some(RateLimit {
        rate: RATE,
        burst: 20.0,
        overdraft: 2.0,
    });
    settings
}

fn quota(host: &Host, valid_for: Micros, factor: f64) -> Event {
    let volume_factors = BTreeMap::from([(VolumeId(1), factor)]);
    Event::QuotaShares(Box::new(QuotaShares {
        valid_until: host.now + valid_for,
        reserve: 0.1,
        slow_start: factor,
        volume_factors,
        default_volume_factor: 1.0,
    }))
}

/// Sends a request of 2 units for a volume that is served by two hosts. Returns the units that were sent.
fn request_units(host: &mut Host, id: u32) -> f64 {
    let before = host.sends().len();
    host.request_with(id, |r| r.hosts = 2.0);
    let sent = host.sends()[before..].to_vec();
    sent.iter()
        .for_each(|(r, n)| host.end_attempt(*r, 0, *n, Outcome::Ok));
    2.0 * sent.len() as f64
}

#[test]
fn a_host_that_was_paused_past_its_quota_may_use_only_its_reserve() {
    let mut host = Host::new(limited(), vec![entry(7, 0)]);
    let hold = quota(&host, 2_000_000, 1.0);
    host.event(hold);
    host.advance(1_900_000);
    let sent_before: f64 = (1..40).map(|id| request_units(&mut host, id)).sum();
    assert!(
        sent_before >= 8.0,
        "{sent_before}: its even share may be used"
    );
    // Nothing runs for 5 s, and the quota expires meanwhile. Then the host may use a tenth of its half of
    // 22, and of what has accrued since.
    host.now += 5_000_000;
    let sent_after: f64 = (100..140).map(|id| request_units(&mut host, id)).sum();
    assert!(sent_after <= 0.1 * CAPACITY / 2.0 + 1e-9, "{sent_after}");
}

#[test]
fn a_share_taken_over_from_another_host_starts_empty() {
    let mut host = Host::new(limited(), vec![entry(7, 0)]);
    let hold = quota(&host, 60_000_000, 1.0);
    host.event(hold);
    host.advance(10_000_000);
    let first: f64 = (1..40).map(|id| request_units(&mut host, id)).sum();
    assert!(
        first > CAPACITY / 2.0 - 3.0,
        "{first}: its own share is full after a while"
    );
    host.advance(10_000_000);
    let more = quota(&host, 60_000_000, 2.0);
    host.event(more);
    let second: f64 = (100..140).map(|id| request_units(&mut host, id)).sum();
    assert!(
        second <= CAPACITY / 2.0,
        "{second}: its own share again, and nothing of the other host's"
    );
    host.advance(10_000_000);
    let third: f64 = (200..240).map(|id| request_units(&mut host, id)).sum();
    assert!(
        third > CAPACITY - 4.0,
        "{third}: both shares, once both have filled"
    );
}

#[test]
fn an_expired_attempt_draws_from_the_limit_again() {
    let mut host = Host::new(limited(), vec![entry(7, 0)]);
    let hold = quota(&host, 60_000_000, 1.0);
    host.event(hold);
    host.advance(10_000_000);
    assert_eq!(
        (1..6).map(|id| request_units(&mut host, id)).sum::<f64>(),
        10.0
    );
    host.advance(300_000);
    host.request_with(100, |r| r.hosts = 2.0);
    assert_eq!(host.send_count(100), 1);
    host.end_attempt(100, 0, 7, Outcome::Expired);
    assert_eq!(host.send_count(100), 1, "the units that it drew are spent");
    host.advance(450_000);
    assert_eq!(host.send_count(100), 2, "it waits for new units");
}

/// Compares the host with a bucket that is refilled every millisecond at the share valid at that time.
#[test]
fn no_more_is_sent_than_the_quota_valid_at_each_moment_allows() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut host = Host::new(limited(), vec![entry(7, 0)]);
        let (mut until, mut factor, mut level, mut sends_counted) =
            (Micros::MAX, 1.0, CAPACITY / 2.0, 0);
        for id in 1..600 {
            match rng.u32(0..12) {
                0 => {
                    let (valid_for, to) =
                        (rng.i64(0..1_500_000), [0.5, 1.0, 1.0, 2.0][rng.usize(0..4)]);
                    let event = quota(&host, valid_for, to);
                    (until, factor) = (host.now + valid_for, to);
                    host.event(event);
                }
                1 => {
                    // The host is paused for a while.
                    let gap = rng.i64(0..3_000) * 1_000;
                    for _ in 0..gap / 1_000 {
                        host.now += 1_000;
                        let share = if host.now < until { factor } else { 0.1 };
                        level = f64::min(level + RATE / 2.0 * share / 1e3, CAPACITY / 2.0 * share);
                    }
                }
                _ => {
                    for _ in 0..rng.u32(1..40) {
                        host.now += 1_000;
                        let share = if host.now < until { factor } else { 0.1 };
                        level = f64::min(level + RATE / 2.0 * share / 1e3, CAPACITY / 2.0 * share);
                    }
                    host.event(Event::Timer(0));
                }
            }
            request_units(&mut host, id);
            // Requests that waited count too, when they are sent.
            let sent = host.sends()[sends_counted..].to_vec();
            sends_counted += sent.len();
            level -= 2.0 * sent.len() as f64;
            assert!(level > -0.1, "seed {seed}, request {id}: {level}");
        }
    }
}

/// A host that gets granted probes, whose node 7 has refused every connection; no attempt is in flight.
fn host_with_open_breaker() -> Host {
    let mut host = Host::new(settings(), vec![entry(7, 0)]);
    host.event(Event::ProbationGrants(BTreeMap::new()));
    (1..=3).for_each(|id| host.request(id));
    let mut answered = 0;
    while let Some((id, node)) = host.sends().get(answered).copied() {
        let tries = host.sends()[..answered]
            .iter()
            .filter(|send| send.0 == id)
            .count();
        host.end_attempt(id, tries as u16, node, Outcome::ConnectFailed);
        answered += 1;
    }
    host
}

#[test]
fn an_unresponsive_node_is_probed_only_with_a_grant() {
    let mut host = host_with_open_breaker();
    let before = host.sends().len();
    for id in 10..14 {
        host.request(id);
        host.advance(700_000);
    }
    assert_eq!(host.sends().len(), before, "no probe without a grant");
    let grant = |host: &Host, valid_for| {
        Event::ProbationGrants(BTreeMap::from([(NodeId(7), host.now + valid_for)]))
    };
    // Several requests wait for the node; one of them is sent.
    (20..24).for_each(|id| host.request(id));
    let one = grant(&host, 400_000);
    host.event(one);
    host.advance(100_000);
    assert_eq!(host.sends().len(), before + 1, "once");
    host.end_attempt(host.sends().last().unwrap().0, 0, 7, Outcome::ConnectFailed);
    host.advance(3_000_000);
    let two = grant(&host, 400_000);
    host.event(two);
    host.advance(500_000);
    host.request(30);
    host.advance(100_000);
    assert_eq!(
        host.sends().len(),
        before + 1,
        "an expired grant allows no probe"
    );
}

#[test]
fn a_node_that_answered_another_host_is_used_again() {
    let mut host = host_with_open_breaker();
    let before = host.sends().len();
    host.event(Event::NodeRecovered(NodeId(7)));
    host.request(20);
    host.advance(100_000);
    assert_eq!(host.sends().len(), before + 1);
}
