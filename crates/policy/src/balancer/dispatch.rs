//! HYBRID-DSFQ at each node: the tags of requests, the queue, and what is sent and shed from it.

use super::*;

/// The smallest share of one node that a backlogged volume keeps, as a part of its weight (φmin / φ).
const MIN_PHI_RATIO: f64 = 0.5;
/// A tag counts thousandths of a unit over the weight φ.
const TAG_SCALE: f64 = 1000.0;
/// A request is sent only if the node's expected latency is within its gate. The gate of the most valuable
/// requests is the shortest latency target; that of the least valuable is this share of it.
const MIN_LATENCY_GATE: f64 = 0.3;
/// A queue is shed while it holds more than this many times what the node serves within the shortest
/// latency target.
const SHED_THRESHOLD: f64 = 0.7;

impl Balancer {
    /// φ: the weight of a plan over the sum of all plans' weights.
    fn phi(&self, plan: u32) -> f64 {
        (self
            .settings
            .plans
            .get(plan as usize)
            .map_or(1.0, |p| valid_weight(p.weight))
            / self.total_weight)
            .clamp(1e-6, 1.0)
    }

    /// Tags a request at a node and puts it into the node's queue:
    ///
    /// `S = max(v, F_prev + delay / φ)`, `F = S + units / φ`,
    ///
    /// where `v` is the node's virtual time and `F_prev` the finish tag of the volume's last request there.
    /// The delay charges the volume for the units that it has sent to other nodes since that request.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId, to: NodeId) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let (volume, units, phi) = (
            open.request.volume,
            open.request.units.max(0.0),
            self.phi(open.request.plan),
        );
        let units_sent = self.volumes.get(&volume).map_or(0.0, |v| v.units_sent);
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        let new_flow = Flow {
            finish_tag: node.virtual_time,
            remote_units: units_sent,
            units_sent_here: 0.0,
            last_used: now,
        };
        let flow = node.flows.entry(volume).or_insert(new_flow);
        flow.last_used = now;
        let remote = units_sent - flow.units_sent_here;
        let delay =
            lupinrack_dispatch::hybrid_delay(remote - flow.remote_units, units, phi, MIN_PHI_RATIO);
        flow.remote_units = remote;
        let start_tag = node
            .virtual_time
            .max(flow.finish_tag + (delay / phi * TAG_SCALE).round() as i64);
        flow.finish_tag = start_tag + (units / phi * TAG_SCALE).round() as i64;
        let (queue_key, finish_tag) = ((start_tag, open.sequence), flow.finish_tag);
        node.queue.insert(queue_key, id);
        let open = self.requests.get_mut(&id).expect("looked up above");
        (open.node, open.queue_key, open.finish_tag) = (Some(to), Some(queue_key), finish_tag);
    }

    /// Takes a request out of its queue, if it is in one. With `restore_tag` it no longer counts: if it was
    /// its volume's last at this node, the next one starts from its start tag.
    pub(super) fn dequeue(&mut self, id: RequestId, restore_tag: bool) {
        self.unplaced.remove(&id);
        let Some((queue_key, open)) = self
            .requests
            .get_mut(&id)
            .and_then(|o| Some((o.queue_key.take()?, o)))
        else {
            return;
        };
        let Some(node) = open.node.and_then(|n| self.nodes.get_mut(&n)) else {
            return;
        };
        node.queue.remove(&queue_key);
        let flow = node
            .flows
            .get_mut(&open.request.volume)
            .filter(|f| restore_tag && f.finish_tag == open.finish_tag);
        flow.into_iter().for_each(|f| f.finish_tag = queue_key.0);
    }

    /// Sends requests of a node's queue in start-tag order while the node has a free slot: while fewer than
    /// D attempts are in flight there, at the paced rate if D is below 1, or as probes if its breaker is
    /// open.
    ///
    /// A request that may not be sent now keeps its place and does not block those behind it. One that
    /// would miss its latency target goes only to a fast node with nothing in flight. If the node's
    /// expected latency exceeds the shortest latency target, requests past their own target are answered at
    /// once.
    pub(super) fn release(&mut self, now: Micros, id: NodeId, actions: &mut Actions) {
        let (min_target, threshold, max_value) = (
            self.min_latency_target,
            self.latency_threshold,
            self.max_value,
        );
        // The latency of an idle node decays more slowly with many hosts, and more so if the fleet is slow.
        let half_life_multiple = self.host_scale.sqrt()
            * (self.fleet_latency / threshold).clamp(1.0, self.host_scale.sqrt());
        loop {
            let probe_granted = self
                .probe_grants
                .as_ref()
                .map(|g| g.get(&id).is_some_and(|until| now < *until));
            let Some(node) = self.nodes.get_mut(&id).filter(|n| !n.queue.is_empty()) else {
                return;
            };
            let slot_free = match node.breaker_open {
                true => probe_granted.unwrap_or(now >= node.next_probe_at),
                false if node.depth < 1.0 => now >= node.next_paced_send(threshold),
                false => {
                    node.not_overtaken().count() < (node.depth * self.process_share) as usize
                        || node.is_stalled(now)
                }
            };
            node.depth_limited |= !slot_free;
            let expected_latency = if node.breaker_open {
                0.0
            } else {
                node.current_latency(now, half_life_multiple)
            };
            let mut waiting: Vec<RequestId> = node.queue.values().copied().collect();
            let idle_and_fast = slot_free
                && node.in_flight.is_empty()
                && expected_latency < min_target * LATENCY_THRESHOLD_SHARE;
            let in_time = |b: &Self, r: &RequestId, late: bool| {
                let Some(open) = b.requests.get(r) else {
                    return false;
                };
                let gate = MIN_LATENCY_GATE + (1.0 - MIN_LATENCY_GATE) * open.value / max_value;
                now + expected_latency as Micros
                    <= if late {
                        open.request.client_deadline
                    } else {
                        open.latency_target_at
                    }
                    && expected_latency <= min_target * gate
            };
            let next = waiting
                .iter()
                .find(|r| slot_free && in_time(self, r, false) && self.may_send(now, **r, id));
            let next_late = || {
                waiting.iter().find(|r| {
                    idle_and_fast && in_time(self, r, true) && self.may_send(now, **r, id)
                })
            };
            let next = next.or_else(next_late);
            let Some(request) = next.copied() else {
                waiting.retain(|r| {
                    expected_latency > min_target
                        && self
                            .requests
                            .get(r)
                            .is_some_and(|o| o.latency_target_at < now)
                });
                return waiting
                    .into_iter()
                    .for_each(|r| self.finish(r, Some(expected_latency as Micros), actions));
            };
            self.send(now, request, id, actions);
        }
    }

    /// The only place that starts an attempt. The caller has checked [`Self::may_send`].
    fn send(&mut self, now: Micros, id: RequestId, to: NodeId, actions: &mut Actions) {
        let (jitter, host_scale) = (0.75 + 0.5 * self.random(), self.host_scale);
        let start_tag = self
            .requests
            .get(&id)
            .and_then(|o| o.queue_key)
            .map_or(i64::MIN, |key| key.0);
        self.dequeue(id, false);
        let times = self
            .requests
            .get(&id)
            .map(|o| (self.sent_deadline(&o.request), self.deduplicated_until(o)));
        let Some((open, (deadline, begin_by))) = self.requests.get_mut(&id).zip(times) else {
            return;
        };
        self.deadlines.remove(&(open.deadline, id));
        self.deadlines.insert((deadline, id));
        open.deadline = deadline;
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        let (attempt, units, volume) = (open.attempts, open.request.units, open.request.volume);
        node.virtual_time = node.virtual_time.max(start_tag);
        (open.attempts, open.in_flight, open.node) =
            (open.attempts + 1, open.in_flight + 1, Some(to));
        open.first_attempt = open.first_attempt.or(Some(FirstAttempt {
            sent_at: now,
            shard: node.shard,
            zone: node.zone,
        }));
        // What this attempt draws from the volume's rate limit: only the first one draws.
        let cost = if std::mem::replace(&mut open.limit_charged, true) {
            0.0
        } else {
            units
        };
        self.retry_times.extend(
            self.settings
                .retry_budget
                .filter(|_| attempt > 0)
                .map(|_| now),
        );
        node.in_flight.insert((id, attempt), now);
        (node.last_sent_at, node.send_jitter) = (now, jitter);
        if node.breaker_open {
            node.next_probe_at = now + (node.probe_backoff as f64 * jitter) as Micros;
            node.probe_backoff =
                (node.probe_backoff * 2).min((MAX_PROBE_BACKOFF as f64 * host_scale) as Micros);
        }
        // A grant allows one probe.
        self.probe_grants
            .iter_mut()
            .for_each(|g| g.retain(|node, until| *node != to && *until > now));
        let charged = |v: &mut Volume| (v.limit.level - cost, (v.waiting_units - cost).max(0.0));
        self.volumes
            .entry(volume)
            .and_modify(|v| (v.limit.level, v.waiting_units) = charged(v));
        self.count_sent(now, to, volume, units);
        self.attempts.insert(
            (id, attempt),
            (to, self.ordered_key(&self.requests[&id].request)),
        );
        actions.push(Action::Send {
            request: id,
            node: to,
            timeout: None,
            begin_by,
        });
    }

    /// Lets a transfer move the units that it asked for, once its volume's rate limit allows them. A drain
    /// does not stop a transfer. The units count as sent, in the volume's finish tag too.
    pub(super) fn grant(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let transfer = self
            .requests
            .get(&id)
            .and_then(|o| Some((o.request, o.node, o.requested_units?)));
        let Some((request, node, units)) = transfer else {
            return self.awaiting_grant.retain(|other| *other != id);
        };
        if self
            .limit_level(now, &request)
            .is_some_and(|(level, _)| level < units)
        {
            return;
        }
        let (phi, volume) = (self.phi(request.plan), request.volume);
        self.volumes
            .entry(volume)
            .and_modify(|v| v.limit.level -= units);
        if let Some(node) = node {
            self.count_sent(now, node, volume, units);
            let flow = self
                .nodes
                .get_mut(&node)
                .and_then(|n| n.flows.get_mut(&volume));
            flow.into_iter()
                .for_each(|f| f.finish_tag += (units / phi * TAG_SCALE).round() as i64);
        }
        self.requests
            .entry(id)
            .and_modify(|o| o.requested_units = None);
        self.awaiting_grant.remove(&id);
        actions.push(Action::Grant { request: id });
    }

    /// Counts units sent to a node: in the node's slow-start bucket, and for the volume's delay at other
    /// nodes.
    fn count_sent(&mut self, now: Micros, to: NodeId, volume: VolumeId, units: f64) {
        let slow_start_level = self
            .nodes
            .get(&to)
            .and_then(|n| self.slow_start_level(now, n))
            .unwrap_or(0.0);
        self.volumes
            .entry(volume)
            .and_modify(|v| (v.units_sent, v.last_used) = (v.units_sent + units, now));
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        node.slow_start_bucket = TokenBucket {
            level: slow_start_level - units,
            refilled_at: now,
        };
        node.flows
            .entry(volume)
            .and_modify(|f| (f.units_sent_here, f.last_used) = (f.units_sent_here + units, now));
    }

    /// Sheds requests while a node's queue holds more than the node serves in time: those with the least
    /// value a unit first, and of equal ones that with the highest start tag. The rest keep their order.
    ///
    /// Each request counts for the part of its units that falls into the shortest latency target: one with
    /// more time left can wait. Requests past their latency target, or sent before, are not shed.
    pub(super) fn shed(&mut self, now: Micros, id: NodeId, actions: &mut Actions) {
        loop {
            let Some(node) = self.nodes.get(&id).filter(|n| !n.breaker_open) else {
                return;
            };
            let max_queued_units = match node.depth < 1.0 {
                true if now + self.min_latency_target as Micros / 2
                    < node.next_paced_send(self.latency_threshold) =>
                {
                    0.0
                }
                true => self.settings.max_units,
                false => {
                    node.depth * self.settings.mean_units / node.latency_ewma.max(1.0)
                        * self.min_latency_target
                        * SHED_THRESHOLD
                }
            };
            let mut queued_units = 0.0;
            let mut worst: Option<(f64, i64, RequestId)> = None;
            for (queue_key, r) in &node.queue {
                let Some(open) = self.requests.get(r).filter(|o| o.latency_target_at > now) else {
                    continue;
                };
                queued_units += open.request.units
                    * (self.min_latency_target / (open.latency_target_at - now) as f64).min(1.0);
                if open.attempts == 0
                    && worst.is_none_or(|w| (open.value, -queue_key.0) <= (w.0, w.1))
                {
                    worst = Some((open.value, -queue_key.0, *r));
                }
            }
            let Some((_, _, request)) = worst.filter(|_| queued_units > max_queued_units) else {
                return;
            };
            self.finish(request, None, actions);
        }
    }
}
