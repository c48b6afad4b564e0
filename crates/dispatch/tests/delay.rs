//! The delay of the hybrid rule as plain arithmetic: what is written out here, to the last bit.

use lupinrack_dispatch::hybrid_delay;
use quickcheck::quickcheck;

/// The ratio that the decision module of the fronts uses.
const RATIO: f64 = 0.5;

/// Units or a weight from any bits: also infinite, no number, below zero.
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
fn written_out(elsewhere: f64, units: f64, phi: f64) -> f64 {
    let most = if phi < 1.0 {
        (1.0 / RATIO - 1.0) / (1.0 - phi) * units
    } else {
        0.0
    };
    elsewhere.max(0.0).min(most)
}

quickcheck! {
    fn is_the_rule_written_out(elsewhere: u64, cost: u64, parts: u32) -> bool {
        let (elsewhere, cost) = (float(elsewhere), float(cost).max(0.0));
        let phi = weight(parts);
        same(hybrid_delay(elsewhere, cost, phi, RATIO), written_out(elsewhere, cost, phi))
            && same(hybrid_delay(elsewhere, cost, 1.0, RATIO), written_out(elsewhere, cost, 1.0))
    }

    fn is_neither_negative_nor_more_than_elsewhere(elsewhere: i32, cost: u32, parts: u32) -> bool {
        let elsewhere = f64::from(elsewhere) / 1000.0;
        let delay = hybrid_delay(elsewhere, f64::from(cost) / 1000.0, weight(parts), RATIO);
        (0.0..=elsewhere.max(0.0)).contains(&delay)
    }
}

#[test]
fn units_that_are_no_number_delay_nobody() {
    assert_eq!(hybrid_delay(f64::NAN, 1.0, 0.5, RATIO), 0.0);
}
