//! The life of a request: admission, the ends of its attempts, retries, the final answer.

use super::*;

/// Ticks before the client's end at which an open request is ended.
const END_TICKS: Micros = 2;
/// One that was never sent is given up after this part of its time, or its aim if later: its client goes on.
const UNSENT_PART: f64 = 0.45;
/// The shortest time that a refused client is told to stay away.
const HINT_LEAST: Micros = 100_000;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Micros, req: Request, out: &mut Actions) {
        let (id, units, volume) = (req.id, req.units, req.volume);
        self.taken.extend(self.cfg.retry_budget.map(|_| now));
        if self.open.contains_key(&id) {
            return;
        }
        let queue = self
            .ordered_key(&req)
            .map(|key| self.key_queues.entry(key).or_default());
        queue.into_iter().for_each(|q| q.ids.push_back(id));
        self.seq += 1;
        let aim_at = self.aim_at(now, &req);
        let value = self.value(now, &req);
        let half = now + ((req.client_deadline - now) as f64 * UNSENT_PART) as Micros;
        let end = half.max(aim_at).min(self.last_end(&req));
        let (seq, most) = (self.seq, self.cfg.max_attempts);
        self.open.insert(
            id,
            Open {
                req,
                seq,
                most,
                aim_at,
                end,
                value,
                ..Open::default()
            },
        );
        self.ends.insert((end, id));
        if let Some((have, rate)) = self.tokens(now, &req) {
            let v = self.volumes.entry(volume).or_default();
            let wait =
                ((v.waiting + units - have) / rate.max(1e-9) * 1e6).clamp(0.0, 1e12) as Micros;
            v.waiting += units;
            if now + wait > aim_at {
                return self.finish(id, Some(wait), out);
            }
        }
        self.place(now, id);
        let Some(home) = self.open.get(&id).and_then(|o| o.home) else {
            return;
        };
        self.release(now, home, out);
        self.shed(now, home, out);
    }

    pub(super) fn last_end(&self, req: &Request) -> Micros {
        req.client_deadline - END_TICKS * self.cfg.timer_resolution
    }

    /// When the aim ends. A client's repeat has less time left: its aim ran from the first try.
    fn aim_at(&mut self, now: Micros, req: &Request) -> Micros {
        let Some(class) = self.cfg.classes.get(req.class as usize) else {
            return req.client_deadline;
        };
        let left = req.client_deadline - now;
        let longest = &mut self.longest_try[req.class as usize];
        *longest = left.max(*longest);
        // Much less time than that is an impatient client, not a repeat: its aim is to be answered at all.
        let gone = if left * 2 < *longest {
            0
        } else {
            *longest - left
        };
        (now + class.latency_target - gone).min(req.client_deadline)
    }

    pub(super) fn on_answer(&mut self, now: Micros, a: AttemptEnd, out: &mut Actions) {
        let Some((node, key)) = self.attempts.remove(&(a.request, a.attempt)) else {
            return;
        };
        self.nodes
            .entry(node)
            .and_modify(|n| n.out.retain(|k, _| *k != (a.request, a.attempt)));
        let doubt = |_: &Key| {
            matches!(
                a.outcome,
                Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
            )
        };
        let queue = key.filter(doubt).and_then(|k| self.key_queues.get_mut(&k));
        queue
            .into_iter()
            .for_each(|q| q.rest_until = q.rest_until.max(now + self.cfg.key_cooldown));
        // A transfer lasts as long as its bytes and its client's pace: only a break tells of the node.
        let begun = self.open.get(&a.request).is_some_and(|o| o.began);
        if !begun || !matches!(a.outcome, Outcome::Ok | Outcome::Timeout) {
            self.record_outcome(now, a.node, a.outcome, a.elapsed, out);
        }
        let cold = self
            .nodes
            .get(&node)
            .is_some_and(|n| self.cold_age(now, n).is_some());
        let Some(o) = self.open.get_mut(&a.request) else {
            return;
        };
        self.served += if cold || a.outcome != Outcome::Ok {
            0.0
        } else {
            o.req.units
        };
        o.live = o.live.saturating_sub(1);
        match a.outcome {
            Outcome::WrongShard => o.req.shard_unknown = true,
            Outcome::Expired => o.drawn = o.maybe_ran,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => {}
            _ => o.maybe_ran = true,
        }
        o.anchor = o.anchor.filter(|_| o.live > 0 || o.maybe_ran);
        if a.request_finished {
            self.close(a.request);
        } else if o.live == 0 && o.slot.is_none() {
            self.retry(now, a.request, a.outcome, out);
        }
    }

    /// A transfer has begun: the time to its first bytes is the node's latency, and it holds no slot of D.
    pub(super) fn on_began(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        out: &mut Actions,
    ) {
        let Some(o) = self.open.get_mut(&request) else {
            return;
        };
        o.began = true;
        let Some((node, _)) = self.attempts.get(&(request, attempt)).copied() else {
            return;
        };
        let sent = self
            .nodes
            .get_mut(&node)
            .and_then(|n| n.out.remove(&(request, attempt)));
        sent.into_iter()
            .for_each(|s| self.record_outcome(now, node, Outcome::Ok, now - s, out));
    }

    /// After an attempt that did not serve the request: back to its place in the queue, or the end.
    fn retry(&mut self, now: Micros, id: RequestId, outcome: Outcome, out: &mut Actions) {
        let Some(o) = self.open.get(&id) else { return };
        let spent = u32::from(o.tries) >= o.most
            || now >= o.req.client_deadline - 4 * self.cfg.timer_resolution;
        let (anchored, keyless) = (o.anchor.is_some(), o.req.shard.is_none());
        let at = o.home.and_then(|h| self.nodes.get(&h));
        let dead_end = anchored && at.is_none_or(|n| !self.effect_allows(now, o, n));
        if spent || dead_end || (outcome == Outcome::NotSent && !keyless) || o.began {
            return self.finish(id, None, out);
        }
        let here = |n: &Node| !o.req.shard_unknown && o.req.shard.is_none_or(|s| s == n.shard);
        let keep = at.is_some_and(|n| !n.gone && n.stopping_since.is_none() && here(n));
        let stay = keep && (anchored || !keyless) && outcome != Outcome::NotSent;
        let Some(n) = o.home.filter(|_| stay).and_then(|h| self.nodes.get_mut(&h)) else {
            return self.place_or_fail(now, id, out);
        };
        let slot = (n.vtime.min(o.finish), o.seq);
        n.queue.insert(slot, id);
        self.open.entry(id).and_modify(|o| o.slot = Some(slot));
    }

    /// The only place that gives a final answer: refused where the rules let it, else failed.
    pub(super) fn finish(&mut self, id: RequestId, wait: Option<Micros>, out: &mut Actions) {
        let Some(o) = self.open.get(&id).filter(|o| !o.began || o.live == 0) else {
            return;
        };
        if self.may_refuse(o) {
            let hint = wait
                .unwrap_or(HINT_LEAST)
                .clamp(HINT_LEAST, self.cfg.max_retry_after.max(HINT_LEAST));
            let retry_after = self.cfg.send_retry_after.then_some(hint);
            out.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.close(id);
    }

    /// Forgets a request that has its final answer. Attempts still out are kept until they end.
    pub(super) fn close(&mut self, id: RequestId) {
        self.dequeue(id, true);
        self.awaiting_grant.remove(&id);
        let Some(o) = self.open.remove(&id) else {
            return;
        };
        self.ends.remove(&(o.end, id));
        let undrawn = if o.drawn { 0.0 } else { o.req.units };
        self.volumes
            .entry(o.req.volume)
            .and_modify(|v| v.waiting = (v.waiting - undrawn).max(0.0));
    }
}
