//! What may be sent now: repeats, drains, cold nodes, order, retry budget, limits of volumes.

use super::*;

/// Part of the drain grace that is used; the rest covers the way to the node.
const GRACE_USED: f64 = 0.7;
/// Share of a keyed request's window in which it may be sent again; the rest covers the way.
const WINDOW_USED: f64 = 0.9;
/// Share of this host's part of a limit or cold budget that is used.
const PART_USED: f64 = 0.98;
/// How far this host's part of the cold budget may be overdrawn in the mean.
const COLD_LEAN: f64 = 2.0;
/// Where hosts are many, traffic is uneven: at one node up to this many times what it is in the mean.
const UNEVEN_MOST: f64 = 3.0;
/// How long a host looks before it trusts what it sees of the usual traffic.
const USUAL_LEAST: Micros = 2_000_000;

impl Balancer {
    /// Every guard that can hold a request back for now, on one path.
    pub(super) fn may_send(&mut self, now: Micros, id: RequestId, to: NodeId) -> bool {
        let (Some(o), Some(n)) = (self.open.get(&id), self.nodes.get(&to)) else {
            return false;
        };
        let (req, tries, drawn) = (o.req, o.tries, o.drawn);
        let open = u32::from(tries) < o.most.max(1)
            && !n.gone
            && now < self.drain_end(n).min(req.client_deadline);
        let cold = |t: f64| t >= req.units || (t > 0.0 && n.out.is_empty());
        if !open || !self.effect_allows(now, o, n) || !self.cold_tokens(now, n).is_none_or(cold) {
            return false;
        }
        let limited = !drawn
            && self
                .tokens(now, &req)
                .is_some_and(|(have, _)| have < req.units);
        !limited && (tries == 0 || self.budget_allows(now)) && self.order_allows(now, id)
    }

    pub(super) fn effect(&self, o: &Open) -> Idempotence {
        self.cfg
            .classes
            .get(o.req.class as usize)
            .map_or(Idempotence::NotIdempotent, |c| c.idempotence)
    }

    /// Rule 2, sending: may an attempt of this request go to this node now?
    pub(super) fn effect_allows(&self, now: Micros, o: &Open, n: &Node) -> bool {
        let alone = o.live == 0 || self.cfg.parallel_attempts;
        alone
            && o.anchor.is_none_or(|a| same_group(self.effect(o), a, n))
            && now < self.covered_until(o)
    }

    /// Until when nodes drop a repeat for certain: from the first send that may have run, less the way there.
    pub(super) fn covered_until(&self, o: &Open) -> Micros {
        match (o.anchor, self.effect(o)) {
            (Some(a), Idempotence::Deduplicated { window, .. }) => {
                a.sent + (window as f64 * WINDOW_USED) as Micros
            }
            _ => Micros::MAX,
        }
    }

    /// Rule 2, answering: may the client be told that trying again is harmless?
    pub(super) fn may_refuse(&self, o: &Open) -> bool {
        o.anchor.is_none()
            || matches!(
                self.effect(o),
                Idempotence::Idempotent
                    | Idempotence::Deduplicated {
                        scope: DeduplicationScope::AllNodes,
                        ..
                    }
            )
    }

    /// Rule 3: the moment from which a draining node gets nothing new.
    pub(super) fn drain_end(&self, n: &Node) -> Micros {
        n.stopping_since.map_or(Micros::MAX, |t| {
            t + (self.cfg.drain_grace as f64 * GRACE_USED) as Micros
        })
    }

    /// Rule 4: how long ago the node started, while it may still be cold.
    pub(super) fn cold_age(&self, now: Micros, n: &Node) -> Option<Micros> {
        let (c, started) = (self.cfg.slow_start?, n.started?);
        let age = (now - started).max(0);
        (age < c.duration + c.window).then_some(age)
    }

    /// Rule 4: this host's part of what a cold node bears: what was stated, and the rule's multiple of the
    /// cold share of what warm ones are seen to do. The bucket grows as the slowest warm; with many hosts one
    /// request goes above zero and is repaid after, and most start in debt, so as not to come at once.
    pub(super) fn cold_tokens(&self, now: Micros, n: &Node) -> Option<f64> {
        let (age, c) = (self.cold_age(now, n)?, self.cfg.slow_start?);
        let warmth = (age - c.window).max(0) as f64 / c.duration.max(1) as f64;
        let grown =
            (c.initial_share + (1.0 - c.initial_share) * warmth) / c.initial_share.max(0.01);
        let usual =
            self.served / self.ready_nodes / (now - self.served_since).max(USUAL_LEAST) as f64
                * c.window as f64;
        let seen =
            c.overload_multiple * c.initial_share * usual * self.crowd.sqrt().min(UNEVEN_MOST);
        let share = self.share(now, self.rights.slow_start);
        let told = c.guaranteed_units / f64::from(self.cfg.hosts.max(1)) * share;
        let part = told.max(seen * share.min(1.0)) * grown * COLD_LEAN * PART_USED;
        let mut cold = n.cold;
        cold.fill(
            now,
            part / c.window.max(1) as f64 * 1e6,
            (part / COLD_LEAN).max(self.cfg.mean_units),
        );
        Some(cold.level)
    }

    /// Rule 5: is it this request's turn among those with its key?
    fn order_allows(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(o) = self.open.get(&id) else {
            return false;
        };
        let (Some(key), tries) = (self.ordered_key(&o.req), o.tries) else {
            return true;
        };
        let Some(queue) = self.drop_ended(key) else {
            return true;
        };
        queue.ids.front().is_none_or(|front| *front == id) && (tries > 0 || queue.rest_until <= now)
    }

    /// Drops from the front of a key's queue what has its final answer and nothing out.
    pub(super) fn drop_ended(&mut self, key: Key) -> Option<&mut KeyQueue> {
        let queue = self.key_queues.get_mut(&key)?;
        let out = |id: RequestId| {
            self.attempts
                .range((id, 0)..=(id, u16::MAX))
                .next()
                .is_some()
        };
        while queue
            .ids
            .front()
            .is_some_and(|id| !self.open.contains_key(id) && !out(*id))
        {
            queue.ids.pop_front();
        }
        Some(queue)
    }

    pub(super) fn ordered_key(&self, req: &Request) -> Option<Key> {
        req.key.filter(|_| {
            self.cfg
                .classes
                .get(req.class as usize)
                .is_some_and(|c| c.in_order)
        })
    }

    /// Rule 6: room for one more attempt past a request's first?
    fn budget_allows(&mut self, now: Micros) -> bool {
        let Some(b) = self.cfg.retry_budget else {
            return true;
        };
        self.extra
            .retain(|t| now - t <= b.window + self.cfg.timer_resolution);
        self.taken
            .retain(|t| now - t < b.window - self.cfg.timer_resolution);
        (self.extra.len() + 1) as f64 <= b.min_retries + b.retry_ratio * self.taken.len() as f64
    }

    /// Rule 7: fills this host's part of the volume's bucket. Empty at first: a restart forgets.
    pub(super) fn tokens(&mut self, now: Micros, req: &Request) -> Option<(f64, f64)> {
        let limit = self.cfg.plans.get(req.plan as usize)?.limit?;
        let share = self.share(now, self.rights.volume_factor(req.volume)) * PART_USED;
        let v = self.volumes.entry(req.volume).or_default();
        if v.hosts <= 0.0 {
            v.tokens = Bucket {
                level: 0.0,
                at: self.begun.unwrap_or(now),
            };
        }
        let told = if req.hosts >= 1.0 {
            req.hosts
        } else {
            f64::from(self.cfg.hosts.max(1))
        };
        v.hosts = v.hosts.max(told);
        (v.rate, v.most) = (
            limit.rate / v.hosts * share,
            (limit.burst + limit.overdraft) / v.hosts * share,
        );
        v.tokens.fill(now, v.rate, v.most);
        Some((v.tokens.level, v.rate))
    }

    /// How much of this host's even part may be used now, by this process.
    fn share(&self, now: Micros, held: f64) -> f64 {
        self.part
            * if now < self.rights.valid_until {
                held
            } else {
                self.rights.reserve
            }
    }

    /// What a unit of this request earns: in full within this host's part of the reserve, less beyond it.
    pub(super) fn value(&mut self, now: Micros, req: &Request) -> f64 {
        let Some(plan) = self.cfg.plans.get(req.plan as usize) else {
            return self.best;
        };
        let worth = self
            .cfg
            .classes
            .get(req.class as usize)
            .map_or(1.0, |c| c.value)
            * plan.value_multiplier;
        let rate = plan.reserved_rate / req.hosts.max(1.0);
        let v = self.volumes.entry(req.volume).or_default();
        v.reserve.fill(now, rate, rate + self.cfg.max_units);
        v.last = now;
        let due = rate > 0.0 && v.reserve.level >= req.units;
        v.reserve.level -= if due { req.units } else { 0.0 };
        worth * if due { 1.0 } else { self.cfg.fair_share_value }
    }
}

impl Bucket {
    /// At so much a second, up to the most it holds.
    pub(super) fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        self.level = (self.level + rate * (now - self.at).max(0) as f64 / 1e6).min(most);
        self.at = now;
    }
}
