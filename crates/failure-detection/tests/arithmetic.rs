//! Bounds and monotonicity of the shared arithmetic.

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
fn the_transmission_limit_grows_with_the_logarithm_of_the_members() {
    assert_eq!(transmission_limit(size_factor(5), 3.0, 0.0), 3);
    assert_eq!(transmission_limit(size_factor(99), 3.0, 0.0), 6);
    assert_eq!(transmission_limit(size_factor(999), 3.0, 0.0), 9);
    assert_eq!(transmission_limit(size_factor(5), 3.0, 5.0), 5);
}

#[test]
fn confirmations_needed_are_limited_by_the_number_of_members() {
    assert_eq!(confirmations_needed(3, 300), 3);
    assert_eq!(confirmations_needed(3, 4), 2);
    assert_eq!(confirmations_needed(3, 1), 1);
}

quickcheck! {
    fn the_suspicion_timeout_falls_with_each_confirmation(min_timeout: u16, ratio: u8, needed: u8) -> bool {
        let (min_timeout, ratio) = (f64::from(min_timeout), 1.0 + f64::from(ratio) / 16.0);
        let needed = usize::from(needed).max(1);
        let timeouts: Vec<f64> = (0..=needed + 1).map(|count| suspicion_timeout(min_timeout, ratio, count, needed)).collect();
        let is_monotonic = timeouts.windows(2).all(|pair| pair[1] <= pair[0]);
        let starts_at_max = (timeouts[0] - min_timeout * ratio).abs() < 1e-6 * (1.0 + min_timeout * ratio);
        let ends_at_min = timeouts[needed] == min_timeout && timeouts[needed + 1] == min_timeout;
        is_monotonic && starts_at_max && ends_at_min
    }
}
