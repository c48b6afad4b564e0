//! The delay formula of HYBRID-DSFQ on plain numbers, shared by the dispatcher and by the balancer
//! of the fronts (`lupinrack-policy`).

/// The smallest `φmin / φ`; smaller ratios are raised to it.
const MIN_WEIGHT_RATIO: f64 = 1e-3;

/// The delay of the start tag of a stream's next task on a server, in units of cost.
///
/// `remote_cost` is the cost of the stream's tasks on other servers since its last task on this
/// one. The delay is `remote_cost` clipped at `((φ/φmin − 1) / (1 − φ)) × cost`, so that a
/// backlogged stream keeps the share `φmin` of the server. `weight` is `φ` and
/// `minimum_weight_ratio` is `φmin / φ`. A stream of weight 1 has no delay.
///
/// Source: Wang and Merchant, *Proportional-Share Scheduling for Distributed Storage Systems*, FAST
/// 2007, HYBRID-DSFQ.
pub fn hybrid_delay(remote_cost: f64, cost: f64, weight: f64, minimum_weight_ratio: f64) -> f64 {
    let ratio = minimum_weight_ratio.clamp(MIN_WEIGHT_RATIO, 1.0);
    let max_delay = if weight < 1.0 {
        (1.0 / ratio - 1.0) / (1.0 - weight) * cost
    } else {
        0.0
    };
    remote_cost.max(0.0).min(max_delay)
}
