//! The delay of the hybrid rule over plain numbers. The dispatcher and the balancer of the fronts
//! (`lupinrack-policy`) share it.

/// The smallest `φmin / φ` that is used; smaller ratios are raised to it.
const MIN_RATIO: f64 = 1e-3;

/// How far the start tag of a stream's next task on a server is put off, in units of cost.
///
/// `remote_cost` is what the stream was given on other servers since its last task on this one. It
/// is clipped at `((φ/φmin − 1) / (1 − φ)) × cost`, so that a backlogged stream keeps the share
/// `φmin` of the server. `weight` is `φ` and `minimum_weight_ratio` is `φmin / φ`. A stream of
/// weight 1 has no delay.
///
/// Source: Wang and Merchant, *Proportional-Share Scheduling for Distributed Storage Systems*, FAST
/// 2007, HYBRID-DSFQ.
pub fn hybrid_delay(remote_cost: f64, cost: f64, weight: f64, minimum_weight_ratio: f64) -> f64 {
    let ratio = minimum_weight_ratio.clamp(MIN_RATIO, 1.0);
    let max_delay = if weight < 1.0 {
        (1.0 / ratio - 1.0) / (1.0 - weight) * cost
    } else {
        0.0
    };
    remote_cost.max(0.0).min(max_delay)
}
