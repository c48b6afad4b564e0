//! The schedule of calls to discovery: the load of a whole fleet, and the longest sequence of delays after failures.

use lupinrack_platform::discovery_schedule::{
    AnswerSummary, CallFailure, DiscoveryCall, DiscoverySchedule, Verdict,
    CHANGE_COUNTS_AS_KNOWN_AFTER,
};
use lupinrack_policy::DiscoveryMode;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const ASK: DiscoveryMode = DiscoveryMode::Poll {
    informed_after: 10_000_000,
};
/// The longest hold in a small fleet, and the number of contradictions after which the full list is requested.
const SHORT_HOLD: Duration = Duration::from_secs(2);
const MAX_CONTRADICTIONS: u32 = 3;
const ANSWER: AnswerSummary = AnswerSummary {
    generation: 7,
    is_full: false,
    is_empty: true,
};

/// Simulates a fleet that starts together and calls one service for 60 s. The service handles one call at a time, in
/// `service_us` each. A call that waits for 2 s has failed, but is handled all the same. The queue has 60 calls, and further
/// ones fail at once. For the first 25 s, a change every second ends all watches. Returns, for the last 20 s, the number of
/// failures and the number of fronts without an answer.
fn simulate_fleet(
    fronts: u32,
    service_us: u64,
    next: impl Fn(&mut DiscoverySchedule) -> DiscoveryCall,
) -> (usize, usize) {
    let mut schedules: Vec<DiscoverySchedule> = (0..fronts)
        .map(|f| DiscoverySchedule::new(ASK, fronts, Some(7), f.into()))
        .collect();
    let first = |(front, schedule): (usize, &mut DiscoverySchedule)| {
        let call = next(schedule);
        Reverse((
            call.delay.as_micros() as u64,
            front,
            call.hold.as_micros() as u64,
        ))
    };
    let mut calls: BinaryHeap<_> = schedules.iter_mut().enumerate().map(first).collect();
    let (mut free_at, mut failures, mut answered) = (0, 0, vec![false; schedules.len()]);
    while let Some(Reverse((at, front, hold))) = calls.pop().filter(|c| c.0 .0 < 60_000_000) {
        let schedule = &mut schedules[front];
        free_at = at.max(free_at);
        let wait = free_at - at;
        let queue_full = wait > 60 * service_us;
        free_at += if queue_full { 0 } else { service_us };
        let ends_at = if wait >= 2_000_000 {
            failures += usize::from(at > 40_000_000);
            schedule.record_failure(CallFailure::Failed, Duration::ZERO);
            at + if queue_full { 3_000 } else { 2_000_000 }
        } else {
            answered[front] |= at > 40_000_000;
            let (hold_ends_at, changed_at) = (
                at + wait + hold,
                match (at + wait) / 1_000_000 {
                    second if second < 25 => (second + 1) * 1_000_000,
                    _ => u64::MAX,
                },
            );
            let call = DiscoveryCall {
                delay: Duration::ZERO,
                from: Some(7),
                hold: SHORT_HOLD,
                timeout: SHORT_HOLD,
            };
            schedule.record_answer(
                call,
                AnswerSummary {
                    is_empty: hold_ends_at < changed_at,
                    ..ANSWER
                },
            );
            hold_ends_at.min(changed_at)
        };
        let call = next(schedule);
        calls.push(Reverse((
            ends_at + call.delay.as_micros() as u64,
            front,
            call.hold.as_micros() as u64,
        )));
    }
    (failures, answered.iter().filter(|a| !**a).count())
}

/// Each front has to start a call at least every 5 s, so 100 fronts need 20 answers a second. A service that handles half as
/// many again fails no call.
#[test]
fn a_fleet_that_starts_together_does_not_overload_discovery() {
    for (fronts, service_us) in [(100, 33_000), (300, 11_000), (1_000, 3_300)] {
        assert_eq!(
            simulate_fleet(fronts, service_us, DiscoverySchedule::next_call),
            (0, 0),
            "{fronts} fronts"
        );
    }
    // With a retry 100 ms after each failure and holds of 2 s, a slower service never recovers: the simulation can fail.
    let without_backoff = |schedule: &mut DiscoverySchedule| {
        let delay = Duration::from_millis(if schedule.failures() > 0 { 100 } else { 0 });
        DiscoveryCall {
            delay,
            hold: SHORT_HOLD,
            ..schedule.next_call()
        }
    };
    let (failures, unanswered) = simulate_fleet(100, 50_000, without_backoff);
    assert!(
        failures > 1_000 && unanswered > 50,
        "{failures}, {unanswered}"
    );
}

#[test]
fn delays_grow_with_the_fleet_and_with_failures_up_to_a_limit() {
    for (fronts, first_delay_s) in [
        (4_u32, 0.09),
        (16, 0.09 + 0.08 * 4.0),
        (40, 0.09 + 0.08 * 28.0),
    ] {
        let mut max_delays_s = vec![0.0_f64; 12];
        for seed in 0..300 {
            let mut schedule = DiscoverySchedule::new(ASK, fronts, Some(7), seed);
            schedule.next_call();
            for max_delay_s in &mut max_delays_s {
                // Refused at once, long after the last answer: the usual delays apply.
                schedule.record_failure(CallFailure::Failed, Duration::from_secs(10));
                *max_delay_s = max_delay_s.max(schedule.next_call().delay.as_secs_f64());
            }
            let call = schedule.next_call();
            schedule.record_answer(call, ANSWER);
            assert_eq!(
                schedule.next_call().delay,
                Duration::ZERO,
                "a watch continues at once"
            );
        }
        let bound = |factor: f64| (first_delay_s * factor).min(2.2);
        assert!(
            max_delays_s[0] <= bound(2.0) && max_delays_s[0] > bound(2.0) * 0.9,
            "{max_delays_s:?}"
        );
        assert!(
            max_delays_s[11] <= bound(8.0) && max_delays_s[11] > bound(8.0) * 0.9,
            "{max_delays_s:?}"
        );
    }
}

/// A change counts as known 6 s after discovery had it and could be reached, whatever happened to a call. So in any fleet,
/// after any failures, a call starts early enough after the previous one, with 1 s left for its answer. It also starts early
/// enough after the last answer if one call has failed in any way and another one was refused at once.
#[test]
fn after_any_failures_the_next_call_starts_before_a_change_counts_as_known() {
    let max_interval = CHANGE_COUNTS_AS_KNOWN_AFTER - Duration::from_secs(1);
    for (mode, fronts) in [
        (DiscoveryMode::Push, 300),
        (ASK, 4),
        (ASK, 30),
        (ASK, 100),
        (ASK, 300),
        (ASK, 1_000),
    ] {
        for seed in 0..2_000 {
            let (mut schedule, mut rng) = (
                DiscoverySchedule::new(mode, fronts, Some(7), seed),
                fastrand::Rng::with_seed(seed),
            );
            let mut since_answer = Duration::ZERO;
            let (mut failures, mut in_scope) = (0, true);
            for _ in 0..40 {
                let call = schedule.next_call();
                since_answer += call.delay;
                assert!(
                    !in_scope || since_answer <= max_interval,
                    "{mode:?}, {fronts} fronts, seed {seed}: {since_answer:?}"
                );
                let elapsed = match rng.u32(0..4) {
                    0 => {
                        (since_answer, failures, in_scope) = (Duration::ZERO, 0, true);
                        schedule.record_answer(
                            call,
                            AnswerSummary {
                                is_empty: rng.bool(),
                                ..ANSWER
                            },
                        );
                        continue;
                    }
                    1 => {
                        schedule.record_failure(CallFailure::TimedOut, call.timeout);
                        call.timeout
                    }
                    kind => {
                        // Refused at once, or failed at any moment.
                        let elapsed = if kind == 2 {
                            Duration::ZERO
                        } else {
                            call.timeout.mul_f64(rng.f64())
                        };
                        schedule.record_failure(CallFailure::Failed, elapsed);
                        elapsed
                    }
                };
                // In scope: one call that fails in any way, and then one that is refused at once.
                (failures, in_scope) = (
                    failures + 1,
                    failures == 0 || failures == 1 && elapsed.is_zero(),
                );
                since_answer += elapsed;
                // The limit also holds between the starts of any two calls. The next call is drawn from a copy, so that the
                // sequence is not changed.
                let next_delay = schedule.clone().next_call().delay;
                assert!(
                    elapsed + next_delay <= max_interval,
                    "{mode:?}, {fronts} fronts, seed {seed}: {elapsed:?} and {next_delay:?}"
                );
            }
        }
    }
}

#[test]
fn contradictory_answers_change_nothing_until_the_full_list_is_requested() {
    let mut schedule = DiscoverySchedule::new(DiscoveryMode::Push, 4, Some(40), 1);
    for _ in 0..MAX_CONTRADICTIONS {
        let call = schedule.next_call();
        assert_eq!(call.from, Some(40));
        let older = AnswerSummary {
            generation: 39,
            is_full: true,
            is_empty: false,
        };
        assert_eq!(schedule.record_answer(call, older), Verdict::Contradictory);
    }
    let full_call = schedule.next_call();
    assert_eq!(full_call.from, None);
    assert_eq!(
        schedule.record_answer(
            full_call,
            AnswerSummary {
                generation: 41,
                is_full: true,
                is_empty: true
            }
        ),
        Verdict::Contradictory
    );
    // Discovery has restarted its numbering.
    assert_eq!(
        schedule.record_answer(
            full_call,
            AnswerSummary {
                generation: 2,
                is_full: false,
                is_empty: false
            }
        ),
        Verdict::Full
    );
    let call = schedule.next_call();
    assert_eq!(call.from, Some(2));
    assert_eq!(
        schedule.record_answer(
            call,
            AnswerSummary {
                generation: 3,
                is_full: false,
                is_empty: false
            }
        ),
        Verdict::Delta
    );
    let call = schedule.next_call();
    assert_eq!(
        schedule.record_answer(
            call,
            AnswerSummary {
                generation: 3,
                is_full: false,
                is_empty: true
            }
        ),
        Verdict::Unchanged
    );
}

#[test]
fn an_agent_is_called_at_once_and_a_service_before_a_change_counts_as_known() {
    for seed in 0..300 {
        let change = AnswerSummary {
            is_empty: false,
            ..ANSWER
        };
        let mut agent = DiscoverySchedule::new(DiscoveryMode::Push, 100, Some(7), seed);
        let call = agent.next_call();
        assert!(call.delay.is_zero() && call.hold <= SHORT_HOLD, "{call:?}");
        agent.record_answer(call, change);
        assert!(
            agent.next_call().delay.is_zero(),
            "a watch continues within 200 ms"
        );
        for fronts in [4, 100, 1_000] {
            let mut service = DiscoverySchedule::new(ASK, fronts, Some(7), seed);
            (0..6).for_each(|_| service.record_failure(CallFailure::Failed, Duration::ZERO));
            let call = service.next_call();
            service.record_answer(call, change);
            assert!(service.next_call().delay < Duration::from_millis(180));
        }
    }
}

/// A change that a watch on a broken connection misses counts as known 6 s after the connection broke, or 2 s after the
/// watch's hold ended. From then on, sends to a draining node must stop within the drain grace, of which the policy uses 0.7.
/// The answer to the next call takes some time as well.
#[test]
fn a_watch_that_times_out_is_restarted_before_the_missed_change_counts() {
    const ANSWER_TIME: Duration = Duration::from_millis(1_000);
    let max_lateness = Duration::from_secs(2) + Duration::from_millis(350) - ANSWER_TIME;
    for (mode, fronts) in [
        (DiscoveryMode::Push, 300),
        (ASK, 4),
        (ASK, 100),
        (ASK, 300),
        (ASK, 1_000),
    ] {
        for seed in 0..300 {
            let mut schedule = DiscoverySchedule::new(mode, fronts, Some(7), seed);
            let first = schedule.next_call();
            schedule.record_answer(first, ANSWER);
            let timed_out = schedule.next_call();
            schedule.record_failure(CallFailure::TimedOut, timed_out.timeout);
            let retry = schedule.next_call();
            let lateness = timed_out.timeout - timed_out.hold + retry.delay;
            assert!(
                lateness <= max_lateness,
                "{mode:?}, {fronts} fronts: {lateness:?} after its hold"
            );
            // With an agent, it is restarted within the 6 s even if a second call times out.
            schedule.record_failure(CallFailure::TimedOut, retry.timeout);
            let two_timeouts =
                timed_out.timeout + retry.delay + retry.timeout + schedule.next_call().delay;
            assert!(
                mode != DiscoveryMode::Push || two_timeouts < Duration::from_secs(6),
                "{two_timeouts:?}"
            );
        }
    }
}

#[test]
fn an_agent_is_called_again_before_a_change_can_no_longer_be_applied_in_time() {
    for seed in 0..300 {
        let mut schedule = DiscoverySchedule::new(DiscoveryMode::Push, 300, Some(7), seed);
        for failures in 1..60 {
            schedule.record_failure(
                if failures % 3 == 0 {
                    CallFailure::TimedOut
                } else {
                    CallFailure::Failed
                },
                Duration::ZERO,
            );
            let call = schedule.next_call();
            // The policy uses 0.7 of a drain grace of 1 s: a change that arrives 0.3 s late cannot be applied in time any more.
            assert!(
                call.delay < Duration::from_millis(100),
                "{:?} after {failures}",
                call.delay
            );
        }
    }
}

#[test]
fn a_call_for_the_full_list_has_a_timeout_without_a_hold() {
    let mut schedule = DiscoverySchedule::new(ASK, 1_000, None, 1);
    let call = schedule.next_call();
    assert!(
        call.hold.is_zero() && call.timeout < Duration::from_secs(3),
        "{call:?}"
    );
}
