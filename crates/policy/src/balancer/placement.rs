//! The node list, and the choice of the node at which a request waits.

use super::*;

impl Balancer {
    /// Applies an update of the node list, then places again what waits at nodes that take nothing more.
    pub(super) fn on_node_list(
        &mut self,
        now: Micros,
        kind: NodeListKind,
        entries: Vec<NodeEntry>,
    ) {
        let random = self.random();
        self.discovery
            .on_node_list(now, kind, self.settings.discovery, random);
        if kind == NodeListKind::Failed {
            return;
        }
        let is_full_list = kind != NodeListKind::Changes;
        let mut rng = fastrand::Rng::with_seed((random * 1e15) as u64);
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        let depth = (INITIAL_DEPTH / self.host_scale).max(1.0);
        for entry in entries {
            let new_node = || Node {
                depth,
                depth_updated_at: now,
                last_answer_at: now,
                ..Node::default()
            };
            let node = self.nodes.entry(entry.node).or_insert_with(new_node);
            if node.started_at != entry.started && entry.started.is_some() {
                // The node has restarted: nothing known of its health applies, and its slow start begins.
                // The level of the bucket is random, and below zero at most hosts, so that the hosts do not
                // all send at once.
                node.started_at = entry.started;
                node.depth = node.depth.min(INITIAL_DEPTH);
                (node.latency_ewma, node.breaker_open) = (0.0, false);
                node.slow_start_bucket = TokenBucket {
                    level: self.settings.mean_units * (0.5 - 2.0 * rng.f64()),
                    refilled_at: now,
                };
            }
            (node.shard, node.zone) = (entry.shard, entry.zone);
            node.draining_since = node
                .draining_since
                .or(Some(now))
                .filter(|_| entry.state != NodeState::Ready);
            node.gone = entry.state == NodeState::Gone;
        }
        for (_, node) in self
            .nodes
            .iter_mut()
            .filter(|(id, _)| is_full_list && !listed.contains(id))
        {
            (node.draining_since, node.gone) = (node.draining_since.or(Some(now)), true);
        }
        self.ready_nodes = self
            .nodes
            .values()
            .filter(|node| node.draining_since.is_none())
            .count()
            .max(1) as f64;
        self.place_displaced(now);
    }

    /// Places requests that have no node, or that wait at a node which is draining or gone.
    fn place_displaced(&mut self, now: Micros) {
        let draining = self
            .nodes
            .values()
            .filter(|node| node.draining_since.is_some());
        let displaced = self
            .unplaced
            .iter()
            .chain(draining.flat_map(|node| node.queue.values()));
        displaced
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.place(now, id));
    }

    /// Chooses the node at which a request waits: of the nodes that store its shard, or of all nodes for a
    /// new object, the one with the shortest expected wait.
    pub(super) fn place(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let (request, current_node, first_attempt, idempotence) = (
            open.request,
            open.node,
            open.first_attempt,
            self.idempotence(open),
        );
        let mut latencies: Vec<f64> = self
            .nodes
            .values()
            .map(|node| node.latency_ewma)
            .filter(|latency| *latency > 0.0)
            .collect();
        latencies.sort_by(f64::total_cmp);
        let median_latency = latencies
            .get(latencies.len() / 2)
            .copied()
            .unwrap_or(50_000.0);
        let mut rng = fastrand::Rng::with_seed((self.random() * 1e15) as u64);
        let mut best: Option<(f64, NodeId)> = None;
        for (node_id, node) in &self.nodes {
            let drained = node.draining_since.is_some()
                && (request.shard.is_none() || now >= self.drain_grace_end(node));
            let wrong_shard =
                request.shard_unknown || request.shard.is_some_and(|shard| shard != node.shard);
            if node.gone
                || drained
                || wrong_shard
                || first_attempt.is_some_and(|first| !repeats_safely(idempotence, first, node))
            {
                continue;
            }
            // An old latency counts less; after 3 s without an answer the median takes its place.
            let staleness = ((now - node.last_answer_at) as f64 / 3_000_000.0).min(1.0);
            let latency = if node.latency_ewma > 0.0 {
                node.latency_ewma + (median_latency - node.latency_ewma) * staleness
            } else {
                median_latency
            };
            let requests_ahead = (node.queue.len() + node.in_flight.len()) as f64;
            let mut score =
                latency * (1.0 + node.error_ewma * 4.0) + requests_ahead * median_latency * 0.5;
            score *= 0.9 + 0.2 * rng.f64();
            // A slow node is better than one that is warming up, that one better than an unresponsive one,
            // and that one better than a draining one. The penalties are 10, 100 and 1,000 s of expected
            // wait.
            let unresponsive =
                node.breaker_open || node.not_overtaken().next().is_some() && node.is_stalled(now);
            let flaws = [
                self.slow_start_age(now, node).is_some(),
                unresponsive,
                node.draining_since.is_some(),
            ];
            score += flaws
                .iter()
                .zip([1e7, 1e8, 1e9])
                .filter(|flaw| *flaw.0)
                .map(|flaw| flaw.1)
                .sum::<f64>();
            if best.is_none_or(|best| score < best.0) {
                best = Some((score, *node_id));
            }
        }
        if best.is_some_and(|best| Some(best.1) == current_node)
            && self.requests[&id].queue_key.is_some()
        {
            return;
        }
        self.dequeue(id, true);
        match best {
            Some((_, node)) => self.enqueue(now, id, node),
            None => drop(self.unplaced.insert(id)),
        }
    }

    /// Records which shard stores the data of a request. A request that waits is placed again; it keeps its
    /// deadline and the count of its attempts.
    pub(super) fn on_shard_changed(
        &mut self,
        now: Micros,
        id: RequestId,
        shard: Option<Shard>,
        actions: &mut Actions,
    ) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        (open.request.shard, open.request.shard_unknown) = (shard, false);
        if open.in_flight == 0 {
            self.place_or_fail(now, id, actions);
        }
    }

    /// Places a request. If no node may take it, and its data has moved to another shard than that of an
    /// attempt that may have run, it gets its final answer at once, unless it is idempotent: no node of the
    /// new shard may repeat it.
    pub(super) fn place_or_fail(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        self.place(now, id);
        let Some(open) = self
            .requests
            .get(&id)
            .filter(|_| self.unplaced.contains(&id))
        else {
            return;
        };
        let moved = open
            .first_attempt
            .zip(open.request.shard)
            .is_some_and(|(first, shard)| first.shard != shard && !open.request.shard_unknown);
        if moved && self.idempotence(open) != Idempotence::Idempotent {
            self.finish(id, None, actions);
        }
    }
}
