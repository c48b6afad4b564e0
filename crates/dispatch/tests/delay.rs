//! `hybrid_delay` equals the formula of the paper as written out here, bit for bit.

use lupinrack_dispatch::hybrid_delay;
use quickcheck::quickcheck;

/// The `φmin / φ` that the decision module of the fronts uses.
const MIN_WEIGHT_RATIO: f64 = 0.5;

/// A cost from arbitrary bits, including infinite, NaN and negative ones.
fn float(bits: u64) -> f64 {
    f64::from_bits(bits)
}

/// A valid weight: above 0 and at most 1.
fn weight(weight_bits: u32) -> f64 {
    (f64::from(weight_bits) / f64::from(u32::MAX)).max(1e-6)
}

/// Whether two numbers have the same bits, apart from the sign of a zero.
fn same_bits(left: f64, right: f64) -> bool {
    (left + 0.0).to_bits() == (right + 0.0).to_bits()
}

/// The formula as the decision module computed it before it shared the function.
fn reference_delay(remote_cost: f64, cost: f64, phi: f64) -> f64 {
    let max_delay = if phi < 1.0 {
        (1.0 / MIN_WEIGHT_RATIO - 1.0) / (1.0 - phi) * cost
    } else {
        0.0
    };
    remote_cost.max(0.0).min(max_delay)
}

quickcheck! {
    fn the_delay_equals_the_reference_formula(remote_cost: u64, cost: u64, weight_bits: u32) -> bool {
        let (remote_cost, cost) = (float(remote_cost), float(cost).max(0.0));
        let phi = weight(weight_bits);
        same_bits(hybrid_delay(remote_cost, cost, phi, MIN_WEIGHT_RATIO), reference_delay(remote_cost, cost, phi))
            && same_bits(hybrid_delay(remote_cost, cost, 1.0, MIN_WEIGHT_RATIO), reference_delay(remote_cost, cost, 1.0))
    }

    fn the_delay_is_between_zero_and_the_remote_cost(remote_cost: i32, cost: u32, weight_bits: u32) -> bool {
        let remote_cost = f64::from(remote_cost) / 1000.0;
        let delay = hybrid_delay(remote_cost, f64::from(cost) / 1000.0, weight(weight_bits), MIN_WEIGHT_RATIO);
        (0.0..=remote_cost.max(0.0)).contains(&delay)
    }
}

#[test]
fn a_remote_cost_that_is_nan_causes_no_delay() {
    assert_eq!(hybrid_delay(f64::NAN, 1.0, 0.5, MIN_WEIGHT_RATIO), 0.0);
}
