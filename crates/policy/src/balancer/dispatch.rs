//! HYBRID-DSFQ at each node: tags, the queue in their order, what leaves it and what is shed from it.

use super::*;

/// Minimum share of a volume on one node, as a part of its weight (the paper's phi-min over phi).
const PHI_MIN: f64 = 0.5;
/// Thousandths of a unit over the weight, in a tag.
const TAG_SCALE: f64 = 1000.0;
/// Nothing goes to a node slower than the shortest aim; what earns least a unit keeps to this part of it.
const GATE_LEAST: f64 = 0.3;
/// A queue is shed once it holds more than this many times what the node serves within the shortest aim.
const SHED_AT: f64 = 0.7;

impl Balancer {
    /// Weight of a plan over the sum of all plans' weights.
    fn phi(&self, plan: u32) -> f64 {
        (self
            .cfg
            .plans
            .get(plan as usize)
            .map_or(1.0, |p| weight(p.weight))
            / self.weight_sum)
            .clamp(1e-6, 1.0)
    }

    /// Tags a request at a node and holds it there. A request tagged there before keeps its place.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId, to: NodeId) {
        let Some(o) = self.open.get(&id) else { return };
        let (volume, units, phi) = (o.req.volume, o.req.units.max(0.0), self.phi(o.req.plan));
        let total = self.volumes.get(&volume).map_or(0.0, |v| v.sent);
        let Some(n) = self.nodes.get_mut(&to) else {
            return;
        };
        let fresh = Flow {
            finish: n.vtime,
            elsewhere_seen: total,
            sent_here: 0.0,
            last: now,
        };
        let f = n.flows.entry(volume).or_insert(fresh);
        f.last = now;
        let elsewhere = total - f.sent_here;
        let delay =
            lupinrack_dispatch::hybrid_delay(elsewhere - f.elsewhere_seen, units, phi, PHI_MIN);
        f.elsewhere_seen = elsewhere;
        let start = n
            .vtime
            .max(f.finish + (delay / phi * TAG_SCALE).round() as i64);
        f.finish = start + (units / phi * TAG_SCALE).round() as i64;
        let (slot, finish) = ((start, o.seq), f.finish);
        n.queue.insert(slot, id);
        let o = self.open.get_mut(&id).expect("looked up above");
        (o.home, o.slot, o.finish) = (Some(to), Some(slot), finish);
    }

    /// Takes a request out of the queue that holds it, if any. Its volume gets the tag back when it was last.
    pub(super) fn dequeue(&mut self, id: RequestId, give_back: bool) {
        self.unplaced.remove(&id);
        let Some((slot, o)) = self
            .open
            .get_mut(&id)
            .and_then(|o| Some((o.slot.take()?, o)))
        else {
            return;
        };
        let Some(n) = o.home.and_then(|h| self.nodes.get_mut(&h)) else {
            return;
        };
        n.queue.remove(&slot);
        let f = n
            .flows
            .get_mut(&o.req.volume)
            .filter(|f| give_back && f.finish == o.finish);
        f.into_iter().for_each(|f| f.finish = slot.0);
    }

    /// Sends what may go, in start-tag order, while fewer than D are out. What a guard holds back keeps its
    /// place and blocks no other. Exception: what would miss its aim goes only where nothing is out.
    pub(super) fn release(&mut self, now: Micros, id: NodeId, out: &mut Actions) {
        let (least, target, best) = (self.least, self.target, self.best);
        let crowd = self.crowd.sqrt() * (self.fleet / target).clamp(1.0, self.crowd.sqrt());
        loop {
            let trial = self
                .trials
                .as_ref()
                .map(|t| t.get(&id).is_some_and(|until| now < *until));
            let Some(n) = self.nodes.get_mut(&id).filter(|n| !n.queue.is_empty()) else {
                return;
            };
            let room = match n.open {
                true => trial.unwrap_or(now >= n.trial_at),
                false if n.depth < 1.0 => now >= n.next_at(target),
                false => {
                    n.not_overtaken().count() < (n.depth * self.part) as usize || n.stalled(now)
                }
            };
            n.pressed |= !room;
            let usual = if n.open {
                0.0
            } else {
                n.latency_now(now, crowd)
            };
            let mut held: Vec<RequestId> = n.queue.values().copied().collect();
            let calm = room && n.out.is_empty() && usual < least * DEPTH_TARGET;
            let until = |b: &Self, r: &RequestId, late: bool| {
                let Some(o) = b.open.get(r) else { return false };
                let gate = GATE_LEAST + (1.0 - GATE_LEAST) * o.value / best;
                now + usual as Micros
                    <= if late {
                        o.req.client_deadline
                    } else {
                        o.aim_at
                    }
                    && usual <= least * gate
            };
            let pick = held
                .iter()
                .find(|r| room && until(self, r, false) && self.may_send(now, **r, id));
            let late = || {
                held.iter()
                    .find(|r| calm && until(self, r, true) && self.may_send(now, **r, id))
            };
            let pick = pick.or_else(late);
            let Some(r) = pick.copied() else {
                // Late, at a slow node: given up, and answered at once.
                held.retain(|r| usual > least && self.open.get(r).is_some_and(|o| o.aim_at < now));
                return held
                    .into_iter()
                    .for_each(|r| self.finish(r, Some(usual as Micros), out));
            };
            self.send(now, r, id, out);
        }
    }

    /// The only place that starts an attempt. `may_send` has been asked.
    fn send(&mut self, now: Micros, id: RequestId, to: NodeId, out: &mut Actions) {
        let (jitter, crowd) = (0.75 + 0.5 * self.random(), self.crowd);
        let start = self
            .open
            .get(&id)
            .and_then(|o| o.slot)
            .map_or(i64::MIN, |s| s.0);
        self.dequeue(id, false);
        let ends = self
            .open
            .get(&id)
            .map(|o| (self.last_end(&o.req), self.covered_until(o)));
        let Some((o, (last, begin_by))) = self.open.get_mut(&id).zip(ends) else {
            return;
        };
        self.ends.remove(&(o.end, id));
        self.ends.insert((last, id));
        o.end = last;
        let Some(n) = self.nodes.get_mut(&to) else {
            return;
        };
        let (number, units, volume) = (o.tries, o.req.units, o.req.volume);
        n.vtime = n.vtime.max(start);
        (o.tries, o.live, o.home) = (o.tries + 1, o.live + 1, Some(to));
        o.anchor = o.anchor.or(Some(Anchor {
            sent: now,
            shard: n.shard,
            zone: n.zone,
        }));
        let drawn = if std::mem::replace(&mut o.drawn, true) {
            0.0
        } else {
            units
        };
        self.extra
            .extend(self.cfg.retry_budget.filter(|_| number > 0).map(|_| now));
        n.out.insert((id, number), now);
        (n.sent_at, n.jitter) = (now, jitter);
        if n.open {
            n.trial_at = now + (n.backoff as f64 * jitter) as Micros;
            n.backoff = (n.backoff * 2).min((TRIAL_LAST as f64 * crowd) as Micros);
        }
        self.trials
            .iter_mut()
            .for_each(|t| t.retain(|node, until| *node != to && *until > now));
        let draw = |v: &mut Volume| (v.tokens.level - drawn, (v.waiting - drawn).max(0.0));
        self.volumes
            .entry(volume)
            .and_modify(|v| (v.tokens.level, v.waiting) = draw(v));
        self.charge(now, to, volume, units);
        self.attempts
            .insert((id, number), (to, self.ordered_key(&self.open[&id].req)));
        out.push(Action::Send {
            request: id,
            node: to,
            timeout: None,
            begin_by,
        });
    }

    /// Lets a transfer move on once its volume's limit allows; a drain does not stop it. It counts as sent.
    pub(super) fn grant(&mut self, now: Micros, id: RequestId, out: &mut Actions) {
        let asked = self
            .open
            .get(&id)
            .and_then(|o| Some((o.req, o.home, o.more?)));
        let Some((req, home, units)) = asked else {
            return self.awaiting_grant.retain(|g| *g != id);
        };
        if self.tokens(now, &req).is_some_and(|(have, _)| have < units) {
            return;
        }
        let (phi, volume) = (self.phi(req.plan), req.volume);
        self.volumes
            .entry(volume)
            .and_modify(|v| v.tokens.level -= units);
        if let Some(home) = home {
            self.charge(now, home, volume, units);
            let f = self
                .nodes
                .get_mut(&home)
                .and_then(|n| n.flows.get_mut(&volume));
            f.into_iter()
                .for_each(|f| f.finish += (units / phi * TAG_SCALE).round() as i64);
        }
        self.open.entry(id).and_modify(|o| o.more = None);
        self.awaiting_grant.remove(&id);
        out.push(Action::Grant { request: id });
    }

    /// Counts units sent: in a cold node's budget, and in the volume's delay elsewhere.
    fn charge(&mut self, now: Micros, to: NodeId, volume: VolumeId, units: f64) {
        let cold = self
            .nodes
            .get(&to)
            .and_then(|n| self.cold_tokens(now, n))
            .unwrap_or(0.0);
        self.volumes
            .entry(volume)
            .and_modify(|v| (v.sent, v.last) = (v.sent + units, now));
        let Some(n) = self.nodes.get_mut(&to) else {
            return;
        };
        n.cold = Bucket {
            level: cold - units,
            at: now,
        };
        n.flows
            .entry(volume)
            .and_modify(|f| (f.sent_here, f.last) = (f.sent_here + units, now));
    }

    /// Sheds what earns least a unit (of equals, the furthest tag) while the queue holds more than is served
    /// in time. A longer aim counts less: it can wait. What is left keeps its order.
    pub(super) fn shed(&mut self, now: Micros, id: NodeId, out: &mut Actions) {
        loop {
            let Some(n) = self.nodes.get(&id).filter(|n| !n.open) else {
                return;
            };
            let room = match n.depth < 1.0 {
                true if now + self.least as Micros / 2 < n.next_at(self.target) => 0.0,
                true => self.cfg.max_units,
                false => n.depth * self.cfg.mean_units / n.latency.max(1.0) * self.least * SHED_AT,
            };
            let mut need = 0.0;
            let mut worst: Option<(f64, i64, RequestId)> = None;
            for (slot, r) in &n.queue {
                let Some(o) = self.open.get(r).filter(|o| o.aim_at > now) else {
                    continue;
                };
                need += o.req.units * (self.least / (o.aim_at - now) as f64).min(1.0);
                if o.tries == 0 && worst.is_none_or(|w| (o.value, -slot.0) <= (w.0, w.1)) {
                    worst = Some((o.value, -slot.0, *r));
                }
            }
            let Some((_, _, r)) = worst.filter(|_| need > room) else {
                return;
            };
            self.finish(r, None, out);
        }
    }
}
