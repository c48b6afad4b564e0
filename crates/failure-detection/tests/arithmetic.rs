//! Properties of the shared arithmetic.

use lupinrack_failure_detection::{
    confirmations_needed, size_factor, suspicion_timeout, transmission_limit, LocalHealth,
    MAX_HEALTH_SCORE,
};
use quickcheck::quickcheck;

#[test]
fn local_health_stays_within_its_bounds() {
    let mut health = LocalHealth::default();
    health.improve();
    assert_eq!((health.score(), health.multiplier()), (0, 1));
    for _ in 0..2 * MAX_HEALTH_SCORE {
        health.worsen();
    }
    assert_eq!(
        (health.score(), health.multiplier()),
        (MAX_HEALTH_SCORE, MAX_HEALTH_SCORE + 1)
    );
    health.improve();
    assert_eq!(health.score(), MAX_HEALTH_SCORE - 1);
}

#[test]
fn updates_are_sent_more_often_among_more_members() {
    assert_eq!(transmission_limit(size_factor(5), 3.0, 0.0), 3);
    assert_eq!(transmission_limit(size_factor(99), 3.0, 0.0), 6);
    assert_eq!(transmission_limit(size_factor(999), 3.0, 0.0), 9);
    assert_eq!(transmission_limit(size_factor(5), 3.0, 5.0), 5);
}

#[test]
fn no_more_confirmations_are_needed_than_can_come() {
    assert_eq!(confirmations_needed(3, 300), 3);
    assert_eq!(confirmations_needed(3, 4), 2);
    assert_eq!(confirmations_needed(3, 1), 1);
}

quickcheck! {
    fn a_suspicion_shortens_with_each_confirmation(least: u16, ratio: u8, needed: u8) -> bool {
        let (least, ratio) = (f64::from(least), 1.0 + f64::from(ratio) / 16.0);
        let needed = usize::from(needed).max(1);
        let lengths: Vec<f64> = (0..=needed + 1).map(|count| suspicion_timeout(least, ratio, count, needed)).collect();
        let falls = lengths.windows(2).all(|pair| pair[1] <= pair[0]);
        let begins = (lengths[0] - least * ratio).abs() < 1e-6 * (1.0 + least * ratio);
        let ends = lengths[needed] == least && lengths[needed + 1] == least;
        falls && begins && ends
    }
}
