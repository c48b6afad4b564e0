//! The delay of the hybrid rule, over plain numbers: the dispatcher and the decision module share it.

/// The least `φmin / φ` that is reckoned with.
const LEAST_RATIO: f64 = 1e-3;

/// The units that a stream was given `elsewhere` since its last task here, at most
/// `((φ/φmin − 1) / (1 − φ)) × cost`: it keeps the share `φmin` while backlogged. 0 where weight `φ` is 1.
pub fn hybrid_delay(elsewhere: f64, cost: f64, weight: f64, minimum_weight_ratio: f64) -> f64 {
    let ratio = minimum_weight_ratio.clamp(LEAST_RATIO, 1.0);
    let most = if weight < 1.0 {
        (1.0 / ratio - 1.0) / (1.0 - weight) * cost
    } else {
        0.0
    };
    elsewhere.max(0.0).min(most)
}
