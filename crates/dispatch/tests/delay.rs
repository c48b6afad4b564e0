//! The delay of the hybrid rule as plain arithmetic: the same as the rule written out here, to the last bit.

use lupinrack_dispatch::hybrid_delay;
use quickcheck::quickcheck;

/// The ratio that the decision module of the fronts uses.
const RATIO: f64 = 0.5;

/// A cost from any bits: also infinite, NaN, below zero.
fn float(bits: u64) -> f64 {
    f64::from_bits(bits)
}

/// A weight as callers give it: above 0, at most 1.
fn weight(parts: u32) -> f64 {
    (f64::from(parts) / f64::from(u32::MAX)).max(1e-6)
}

/// Same bits, but for the sign of a zero.
fn same(one: f64, other: f64) -> bool {
    (one + 0.0).to_bits() == (other + 0.0).to_bits()
}

/// The rule as the decision module wrote it out before it shared the function.
fn written_out(remote_cost: f64, cost: f64, phi: f64) -> f64 {
    let most = if phi < 1.0 {
        (1.0 / RATIO - 1.0) / (1.0 - phi) * cost
    } else {
        0.0
    };
    remote_cost.max(0.0).min(most)
}

quickcheck! {
    fn the_delay_is_the_rule_written_out(remote_cost: u64, cost: u64, parts: u32) -> bool {
        let (remote_cost, cost) = (float(remote_cost), float(cost).max(0.0));
        let phi = weight(parts);
        same(hybrid_delay(remote_cost, cost, phi, RATIO), written_out(remote_cost, cost, phi))
            && same(hybrid_delay(remote_cost, cost, 1.0, RATIO), written_out(remote_cost, cost, 1.0))
    }

    fn the_delay_is_neither_negative_nor_more_than_the_remote_cost(remote_cost: i32, cost: u32, parts: u32) -> bool {
        let remote_cost = f64::from(remote_cost) / 1000.0;
        let delay = hybrid_delay(remote_cost, f64::from(cost) / 1000.0, weight(parts), RATIO);
        (0.0..=remote_cost.max(0.0)).contains(&delay)
    }
}

#[test]
fn a_cost_that_is_nan_delays_no_stream() {
    assert_eq!(hybrid_delay(f64::NAN, 1.0, 0.5, RATIO), 0.0);
}
