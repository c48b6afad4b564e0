//! The health of a node: its latency, its depth D (PARDA), and the breaker.

use super::*;

/// Below one D is a rate, D over the latency; that counts as this many targets at most, so that D is tried.
const GAP_MOST: f64 = 4.0;
/// Weight of a new answer in a node's smoothed latency and error share.
const SMOOTH: f64 = 0.15;
/// What is known of a latency halves in value and weight over this; in weight slower where hosts are few.
const KNOWN_HALF: Micros = 700_000;
const KNOWN_FEW: f64 = 4.0;
/// An attempt is overtaken once one sent this much later was answered.
const OVERTAKEN: Micros = 250_000;
/// All that is out may be lost after this, and this many usual latencies: one more goes, to find out.
const STALLED: Micros = 400_000;
const STALLED_USUAL: f64 = 8.0;
/// A full queue, or a time-out that counts, says: a wait of this many times the shortest aim.
const FULL_AS: f64 = 2.0;
/// Weight of an answer or a time-out of any node in the latency of the fleet.
const FLEET_GAIN: f64 = 0.1;
/// A single answer counts as this many usual latencies at most.
const CLIP: f64 = 2.0;
/// Failures in a row that open the breaker: broken or refused connections, and time-outs.
const BREAK_AT: u32 = 3;

impl Balancer {
    /// Sets D anew: latency above the target shrinks it, below lets it grow where it was the bound (PARDA).
    pub(super) fn adapt_depth(&mut self, now: Micros, id: NodeId) {
        let Some(n) = self.nodes.get_mut(&id) else {
            return;
        };
        let eldest = n.not_overtaken().min().map_or(0.0, |s| (now - s) as f64);
        let seen = n.latency.max(eldest * 0.5);
        if now - n.depth_at < DEPTH_EVERY
            || seen <= 0.0
            || (n.depth < 1.0 && n.heard_at < n.depth_at)
        {
            return;
        }
        n.depth_at = now;
        let gain = if n.depth < 1.0 {
            DEPTH_GAIN * 2.0
        } else {
            DEPTH_GAIN
        };
        let goal = n.depth * (self.target / seen).min(2.0) + DEPTH_PUSH * n.depth.min(1.0);
        if goal < n.depth || n.pressed {
            n.depth = (n.depth + gain * (goal - n.depth)).clamp(1.0 / self.crowd, DEPTH_MAX);
        }
        n.pressed = false;
    }

    /// Takes what an attempt tells of its node. Connections that break, and time-outs in a row, open the
    /// breaker; errors do not. Silence needs none: the eldest attempt out counts as latency.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        node: NodeId,
        outcome: Outcome,
        elapsed: Micros,
        out: &mut Actions,
    ) {
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.fleet += FLEET_GAIN * (elapsed as f64 - self.fleet);
        }
        let (floor, least, wait) = (1.0 / self.crowd, self.least, 0.5 + self.random());
        let Some(n) = self.nodes.get_mut(&node) else {
            return;
        };
        let half = KNOWN_HALF as f64 * (KNOWN_FEW / self.crowd).max(1.0);
        let known = if n.latency > 0.0 {
            0.5_f64.powf((now - n.heard_at) as f64 / half)
        } else {
            0.0
        };
        let overtaken = now - elapsed + OVERTAKEN < n.answered;
        if outcome.is_node_response() {
            n.heard_at = now;
            n.answered = n.answered.max(now - elapsed);
            n.fails = 0;
            if n.open {
                n.open = false;
                n.depth = n.depth.min(1.0);
                out.push(Action::Log(format!("node {} answers again", node.0)));
            }
        }
        match outcome {
            Outcome::Ok => {
                n.record_latency(elapsed as f64, known);
                n.errors -= SMOOTH * n.errors;
            }
            Outcome::Error => n.errors += SMOOTH * (1.0 - n.errors),
            Outcome::Rejected => {
                n.depth = (n.depth * 0.5).max(floor);
                n.record_latency(least * FULL_AS, known);
            }
            Outcome::ConnectFailed | Outcome::Reset => n.fails += 1,
            Outcome::Timeout => {
                n.fails += u32::from(!overtaken && elapsed as f64 > FULL_AS * least);
                let short = (elapsed as f64) < least;
                if !overtaken && (n.fails > 1 || short) {
                    n.record_latency(
                        n.latency
                            .max(elapsed as f64 * if short { 2.0 } else { 1.0 }),
                        known,
                    );
                }
            }
            _ => {}
        }
        if n.fails < BREAK_AT || n.open {
            return;
        }
        (n.open, n.backoff, n.trial_at) = (
            true,
            TRIAL_FIRST,
            now + (TRIAL_FIRST as f64 * wait) as Micros,
        );
        out.push(Action::Log(format!("node {} does not answer", node.0)));
        let mut waiting: Vec<RequestId> = n.queue.values().copied().collect();
        waiting.retain(|r| {
            self.open
                .get(r)
                .is_some_and(|o| o.req.shard.is_none() && o.anchor.is_none())
        });
        waiting.into_iter().for_each(|r| self.place(now, r));
    }
}

impl Node {
    /// Attempts out that were not overtaken. One that was is lost or long in work, and holds no slot of D.
    pub(super) fn not_overtaken(&self) -> impl Iterator<Item = Micros> + '_ {
        self.out
            .values()
            .copied()
            .filter(|sent| sent + OVERTAKEN >= self.answered)
    }

    /// A new reading of the latency, clipped: a pause or a flush tells little of the next ones.
    fn record_latency(&mut self, elapsed: f64, known: f64) {
        let most = if known > 0.0 {
            self.latency * CLIP / known
        } else {
            f64::MAX
        };
        self.latency += (1.0 - (1.0 - SMOOTH) * known) * (elapsed.min(most) - self.latency);
    }

    /// When D below one lets the next request go: D is a rate there.
    pub(super) fn next_at(&self, target: f64) -> Micros {
        let latency = self.latency.clamp(target, target * GAP_MOST);
        self.sent_at + (latency / self.depth * self.jitter) as Micros
    }

    /// The usual latency, forgotten by halves while nothing is out, and what missing answers tell of it.
    pub(super) fn latency_now(&self, now: Micros, crowd: f64) -> f64 {
        let halves = (now - self.heard_at).max(0) as f64 / (KNOWN_HALF as f64 * crowd);
        match self.not_overtaken().next() {
            None => self.latency * 0.5_f64.powf(halves),
            _ if self.stalled(now) => self.latency,
            _ => self
                .longest_wait(now)
                .map_or(self.latency, |w| self.latency.max(w)),
        }
    }

    /// Whether all that is out is late: then one more may go, where D and the wait would let nothing.
    pub(super) fn stalled(&self, now: Micros) -> bool {
        let late = STALLED.max((self.latency * STALLED_USUAL) as Micros);
        self.not_overtaken().all(|sent| now - sent >= late)
    }

    /// The longest wait of what is out that tells of the node: one alone may be lost, it takes two.
    fn longest_wait(&self, now: Micros) -> Option<f64> {
        let mut waits: Vec<Micros> = self.not_overtaken().map(|sent| now - sent).collect();
        waits.sort_unstable();
        waits
            .iter()
            .rev()
            .nth(usize::from(self.fails == 0))
            .map(|w| *w as f64)
    }
}
