//! The health of each node: its latency, its depth D (PARDA), and its circuit breaker.
//!
//! Latency comes from answers, and from the age of attempts that have not been answered. D follows latency.
//! The breaker follows failures in a row; while it is open, the node gets only probes.
//!
//! PARDA: Gulati, Ahmad and Waldspurger, *PARDA: Proportional Allocation of Resources for Distributed
//! Storage Access*, FAST 2009. D is its window, the latency threshold its congestion signal.

use super::*;

/// The largest latency that spaces the sends to a node whose D is below 1, as a multiple of the latency
/// threshold. Without this limit a slow node would get hardly any requests, and its D could not recover.
const MAX_PACING_LATENCY_MULTIPLE: f64 = 4.0;
/// Weight of a new answer in a node's running means of latency and errors.
const EWMA_WEIGHT: f64 = 0.15;
/// Half-life of a node's latency estimate, counted from the node's last answer. The estimate's weight against
/// a new answer decays with it, and while nothing is in flight, so does the estimate's value.
const ESTIMATE_HALF_LIFE: Micros = 700_000;
/// The half-life of the weight is this many times as long while the number of hosts is small. The multiple
/// falls to 1 as the number of hosts grows.
const MAX_HALF_LIFE_MULTIPLE: f64 = 4.0;
/// An attempt is overtaken once the node has answered another that was sent this much later.
const OVERTAKEN_AFTER: Micros = 250_000;
/// A node is stalled when all its attempts have been in flight for at least this long, and for this many
/// times its latency.
const MIN_STALL_TIME: Micros = 400_000;
const STALL_LATENCY_MULTIPLE: f64 = 8.0;
/// A rejection counts as a latency of this many times the shortest latency target. A timeout counts as a
/// failure only if the attempt took longer than that.
const OVERLOAD_LATENCY_MULTIPLE: f64 = 2.0;
/// Weight of one answer or timeout of any node in the latency of the fleet.
const FLEET_EWMA_WEIGHT: f64 = 0.1;
/// A single answer counts as at most this many times the node's latency.
const MAX_SAMPLE_MULTIPLE: f64 = 2.0;
/// Failures in a row that open the breaker: failed or broken connections, and timeouts.
const BREAKER_FAILURES: u32 = 3;

impl Balancer {
    /// Updates a node's D by the rule of PARDA, once per [`DEPTH_UPDATE_INTERVAL`]:
    ///
    /// `D' = (1 - γ) D + γ (threshold / latency × D + β)`, γ = [`DEPTH_GAIN`], β = [`DEPTH_INCREMENT`].
    ///
    /// The ratio is at most 2. Below D = 1, γ is doubled, β is scaled by D, and D is updated only if the node
    /// has answered since the last update.
    ///
    /// A latency above the threshold shrinks D. A latency below it lets D grow, but only if D has held a
    /// request back since the last update; otherwise the latency says nothing about a larger D. The oldest
    /// attempt in flight that is not overtaken counts as a latency of half its age.
    pub(super) fn update_depth(&mut self, now: Micros, id: NodeId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let oldest_age = node
            .not_overtaken()
            .min()
            .map_or(0.0, |sent_at| (now - sent_at) as f64);
        let latency = node.latency_ewma.max(oldest_age * 0.5);
        if now - node.depth_updated_at < DEPTH_UPDATE_INTERVAL
            || latency <= 0.0
            || (node.depth < 1.0 && node.last_answer_at < node.depth_updated_at)
        {
            return;
        }
        node.depth_updated_at = now;
        let gain = if node.depth < 1.0 {
            DEPTH_GAIN * 2.0
        } else {
            DEPTH_GAIN
        };
        let target_depth = node.depth * (self.latency_threshold / latency).min(2.0)
            + DEPTH_INCREMENT * node.depth.min(1.0);
        if target_depth < node.depth || node.depth_limited {
            node.depth = (node.depth + gain * (target_depth - node.depth))
                .clamp(1.0 / self.host_scale, MAX_DEPTH);
        }
        node.depth_limited = false;
    }

    /// Updates a node's health with the outcome of one attempt: its latency, its errors, its D after a
    /// rejection, and its breaker.
    ///
    /// Failed and broken connections and timeouts, [`BREAKER_FAILURES`] in a row, open the breaker. Any
    /// answer closes it, errors included. Attempts that have no outcome yet do not get here:
    /// [`Node::current_latency`] and [`Self::update_depth`] take their age into account.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        node_id: NodeId,
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Actions,
    ) {
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.fleet_latency += FLEET_EWMA_WEIGHT * (elapsed as f64 - self.fleet_latency);
        }
        let (min_depth, min_latency_target, jitter) = (
            1.0 / self.host_scale,
            self.min_latency_target,
            0.5 + self.random(),
        );
        let Some(node) = self.nodes.get_mut(&node_id) else {
            return;
        };
        let half_life =
            ESTIMATE_HALF_LIFE as f64 * (MAX_HALF_LIFE_MULTIPLE / self.host_scale).max(1.0);
        let estimate_weight = if node.latency_ewma > 0.0 {
            0.5_f64.powf((now - node.last_answer_at) as f64 / half_life)
        } else {
            0.0
        };
        // The node has answered a later attempt, so a timeout of this one says nothing about its health.
        let overtaken = now - elapsed + OVERTAKEN_AFTER < node.answered_sent_at;
        if outcome.is_node_response() {
            node.last_answer_at = now;
            node.answered_sent_at = node.answered_sent_at.max(now - elapsed);
            node.consecutive_failures = 0;
            if node.breaker_open {
                node.breaker_open = false;
                node.depth = node.depth.min(1.0);
                actions.push(Action::Log(format!(
                    "node {} answers again; circuit breaker closed",
                    node_id.0
                )));
            }
        }
        match outcome {
            Outcome::Ok => {
                node.record_latency(elapsed as f64, estimate_weight);
                node.error_ewma -= EWMA_WEIGHT * node.error_ewma;
            }
            Outcome::Error => node.error_ewma += EWMA_WEIGHT * (1.0 - node.error_ewma),
            Outcome::Rejected => {
                node.depth = (node.depth * 0.5).max(min_depth);
                node.record_latency(
                    min_latency_target * OVERLOAD_LATENCY_MULTIPLE,
                    estimate_weight,
                );
            }
            Outcome::ConnectFailed | Outcome::Reset => node.consecutive_failures += 1,
            Outcome::Timeout => {
                node.consecutive_failures += u32::from(
                    !overtaken && elapsed as f64 > OVERLOAD_LATENCY_MULTIPLE * min_latency_target,
                );
                // A single timeout may come from a lost attempt, so it counts as a latency only if the node
                // failed at least twice in a row. An attempt whose timeout is below the shortest latency
                // target does not show how slow the node is: it counts at once, as a latency of twice its
                // age. Neither lowers the running mean.
                let is_short = (elapsed as f64) < min_latency_target;
                if !overtaken && (node.consecutive_failures > 1 || is_short) {
                    node.record_latency(
                        node.latency_ewma
                            .max(elapsed as f64 * if is_short { 2.0 } else { 1.0 }),
                        estimate_weight,
                    );
                }
            }
            _ => {}
        }
        if node.consecutive_failures < BREAKER_FAILURES || node.breaker_open {
            return;
        }
        (node.breaker_open, node.probe_backoff, node.next_probe_at) = (
            true,
            MIN_PROBE_BACKOFF,
            now + (MIN_PROBE_BACKOFF as f64 * jitter) as Micros,
        );
        actions.push(Action::Log(format!(
            "node {} does not answer; circuit breaker opened",
            node_id.0
        )));
        // A request that is not bound to a shard (a new object) and was never sent may go to another node.
        let mut waiting: Vec<RequestId> = node.queue.values().copied().collect();
        waiting.retain(|id| {
            self.requests
                .get(id)
                .is_some_and(|open| open.request.shard.is_none() && open.first_attempt.is_none())
        });
        waiting.into_iter().for_each(|id| self.place(now, id));
    }
}

impl Node {
    /// The send times of the attempts in flight that are not overtaken. An overtaken attempt is lost or
    /// unusually long: it takes no slot of D, and its age says nothing about the node.
    pub(super) fn not_overtaken(&self) -> impl Iterator<Item = Micros> + '_ {
        self.in_flight
            .values()
            .copied()
            .filter(|sent_at| sent_at + OVERTAKEN_AFTER >= self.answered_sent_at)
    }

    /// Adds an answer to the running mean. With an `estimate_weight` of 1 the answer gets the weight
    /// [`EWMA_WEIGHT`]; with 0 it replaces the mean. The answer is clipped to `MAX_SAMPLE_MULTIPLE` times
    /// the mean (more for an older mean), since a pause or a flush of the node says little about the next
    /// answers.
    fn record_latency(&mut self, elapsed: f64, estimate_weight: f64) {
        let max_sample = if estimate_weight > 0.0 {
            self.latency_ewma * MAX_SAMPLE_MULTIPLE / estimate_weight
        } else {
            f64::MAX
        };
        self.latency_ewma += (1.0 - (1.0 - EWMA_WEIGHT) * estimate_weight)
            * (elapsed.min(max_sample) - self.latency_ewma);
    }

    /// When the next request may be sent while D is below 1. Such a D limits the rate of sends: one request
    /// in each period of latency / D, with jitter.
    pub(super) fn next_paced_send(&self, latency_threshold: f64) -> Micros {
        let latency = self.latency_ewma.clamp(
            latency_threshold,
            latency_threshold * MAX_PACING_LATENCY_MULTIPLE,
        );
        self.last_sent_at + (latency / self.depth * self.send_jitter) as Micros
    }

    /// The latency that a request sent now is expected to have.
    ///
    /// With nothing in flight, the mean decays toward 0, so that a node that was slow is used again. With
    /// attempts in flight, their age raises the result above the mean. On a stalled node it does not, because
    /// all its attempts may be lost.
    pub(super) fn current_latency(&self, now: Micros, half_life_multiple: f64) -> f64 {
        let half_lives = (now - self.last_answer_at).max(0) as f64
            / (ESTIMATE_HALF_LIFE as f64 * half_life_multiple);
        match self.not_overtaken().next() {
            None => self.latency_ewma * 0.5_f64.powf(half_lives),
            _ if self.is_stalled(now) => self.latency_ewma,
            _ => self
                .longest_credible_age(now)
                .map_or(self.latency_ewma, |age| self.latency_ewma.max(age)),
        }
    }

    /// Whether every attempt in flight is late; true with none in flight. All of them may be lost, for
    /// example because their connections broke silently. One more request is then sent to find out, even
    /// if D or the latency would hold it back.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        let late_after = MIN_STALL_TIME.max((self.latency_ewma * STALL_LATENCY_MULTIPLE) as Micros);
        self.not_overtaken()
            .all(|sent_at| now - sent_at >= late_after)
    }

    /// The longest age of attempts in flight that says something about the node. A single old attempt may
    /// be lost, so the second longest age counts, unless the node has failed since its last answer.
    fn longest_credible_age(&self, now: Micros) -> Option<f64> {
        let mut ages: Vec<Micros> = self.not_overtaken().map(|sent_at| now - sent_at).collect();
        ages.sort_unstable();
        ages.iter()
            .rev()
            .nth(usize::from(self.consecutive_failures == 0))
            .map(|age| *age as f64)
    }
}
