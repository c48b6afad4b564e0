//! The node list, and the node at which a request waits.

use super::*;

impl Balancer {
    pub(super) fn on_nodes(&mut self, now: Micros, kind: NodeListKind, entries: Vec<NodeEntry>) {
        let chance = self.random();
        self.asking.heard(now, kind, self.cfg.discovery, chance);
        if kind == NodeListKind::Failed {
            return;
        }
        let whole = kind != NodeListKind::Changes;
        let mut rng = fastrand::Rng::with_seed((chance * 1e15) as u64);
        let listed: BTreeSet<NodeId> = entries.iter().map(|e| e.node).collect();
        let depth = (DEPTH_START / self.crowd).max(1.0);
        for e in entries {
            let fresh = || Node {
                depth,
                depth_at: now,
                heard_at: now,
                ..Node::default()
            };
            let n = self.nodes.entry(e.node).or_insert_with(fresh);
            if n.started != e.started && e.started.is_some() {
                n.started = e.started;
                n.depth = n.depth.min(DEPTH_START);
                (n.latency, n.open) = (0.0, false);
                n.cold = Bucket {
                    level: self.cfg.mean_units * (0.5 - 2.0 * rng.f64()),
                    at: now,
                };
            }
            (n.shard, n.zone) = (e.shard, e.zone);
            n.stopping_since = n
                .stopping_since
                .or(Some(now))
                .filter(|_| e.state != NodeState::Ready);
            n.gone = e.state == NodeState::Gone;
        }
        for (_, n) in self
            .nodes
            .iter_mut()
            .filter(|(id, _)| whole && !listed.contains(id))
        {
            (n.stopping_since, n.gone) = (n.stopping_since.or(Some(now)), true);
        }
        self.ready_nodes = self
            .nodes
            .values()
            .filter(|n| n.stopping_since.is_none())
            .count()
            .max(1) as f64;
        self.place_again(now);
    }

    /// Moves what waits at nodes that take nothing more.
    fn place_again(&mut self, now: Micros) {
        let stopped = self.nodes.values().filter(|n| n.stopping_since.is_some());
        let waiting = self
            .unplaced
            .iter()
            .chain(stopped.flat_map(|n| n.queue.values()));
        waiting
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.place(now, id));
    }

    /// Chooses the node: the holder of the shard, or for a new object the shortest expected wait.
    pub(super) fn place(&mut self, now: Micros, id: RequestId) {
        let Some(o) = self.open.get(&id) else { return };
        let (req, home, anchor, effect) = (o.req, o.home, o.anchor, self.effect(o));
        let mut known: Vec<f64> = self
            .nodes
            .values()
            .map(|n| n.latency)
            .filter(|l| *l > 0.0)
            .collect();
        known.sort_by(f64::total_cmp);
        let usual = known.get(known.len() / 2).copied().unwrap_or(50_000.0);
        let mut rng = fastrand::Rng::with_seed((self.random() * 1e15) as u64);
        let mut best: Option<(f64, NodeId)> = None;
        for (nid, n) in &self.nodes {
            let stops =
                n.stopping_since.is_some() && (req.shard.is_none() || now >= self.drain_end(n));
            let elsewhere = req.shard_unknown || req.shard.is_some_and(|s| s != n.shard);
            if n.gone || stops || elsewhere || anchor.is_some_and(|a| !same_group(effect, a, n)) {
                continue;
            }
            let stale = ((now - n.heard_at) as f64 / 3_000_000.0).min(1.0);
            let latency = if n.latency > 0.0 {
                n.latency + (usual - n.latency) * stale
            } else {
                usual
            };
            let ahead = (n.queue.len() + n.out.len()) as f64;
            let mut score = latency * (1.0 + n.errors * 4.0) + ahead * usual * 0.5;
            score *= 0.9 + 0.2 * rng.f64();
            // Better a slow node than a cold one, a silent one, one that drains: in this order.
            let silent = n.open || n.not_overtaken().next().is_some() && n.stalled(now);
            let bad = [
                self.cold_age(now, n).is_some(),
                silent,
                n.stopping_since.is_some(),
            ];
            score += bad
                .iter()
                .zip([1e7, 1e8, 1e9])
                .filter(|b| *b.0)
                .map(|b| b.1)
                .sum::<f64>();
            if best.is_none_or(|b| score < b.0) {
                best = Some((score, *nid));
            }
        }
        if best.is_some_and(|b| Some(b.1) == home) && self.open[&id].slot.is_some() {
            return;
        }
        self.dequeue(id, true);
        match best {
            Some((_, to)) => self.enqueue(now, id, to),
            None => drop(self.unplaced.insert(id)),
        }
    }

    /// Where the data of a request lies now. What waits is placed anew, its time and attempts kept.
    pub(super) fn on_moved(
        &mut self,
        now: Micros,
        id: RequestId,
        shard: Option<Shard>,
        out: &mut Actions,
    ) {
        let Some(o) = self.open.get_mut(&id) else {
            return;
        };
        (o.req.shard, o.req.shard_unknown) = (shard, false);
        if o.live == 0 {
            self.place_or_fail(now, id, out);
        }
    }

    /// What may have run on the old shard goes to the new one only where both are of one group.
    pub(super) fn place_or_fail(&mut self, now: Micros, id: RequestId, out: &mut Actions) {
        self.place(now, id);
        let Some(o) = self.open.get(&id).filter(|_| self.unplaced.contains(&id)) else {
            return;
        };
        let moved = o
            .anchor
            .zip(o.req.shard)
            .is_some_and(|(a, shard)| a.shard != shard && !o.req.shard_unknown);
        if moved && self.effect(o) != Idempotence::Idempotent {
            self.finish(id, None, out);
        }
    }
}
