//! The rules that decide whether a request may be sent now: repetition (2), draining nodes (3), slow start
//! (4), order by key (5), the retry budget (6) and the rate limits of volumes (7).

use super::*;

/// The share of the drain grace that is used; the rest covers the time on the way to the node.
const USABLE_DRAIN_GRACE: f64 = 0.7;
/// The share of a deduplication window that is used; the rest covers the time on the way to the node.
const USABLE_DEDUPLICATION_WINDOW: f64 = 0.9;
/// The share of this host's quota of a limit or slow-start budget that is used.
const USABLE_QUOTA: f64 = 0.98;
/// A slow-start bucket refills at this many times this host's quota, which hosts may exceed by as much in
/// the mean. Its capacity is the quota itself.
const SLOW_START_OVERCOMMIT: f64 = 2.0;
/// Traffic of many hosts is uneven: one host may send a node up to this many times its mean per node.
const MAX_TRAFFIC_SKEW: f64 = 3.0;
/// The shortest period over which a host's traffic is averaged.
const MIN_TRAFFIC_PERIOD: Micros = 2_000_000;

impl Balancer {
    /// Whether every rule allows the next attempt of a request at this node now.
    pub(super) fn may_send(&mut self, now: Micros, id: RequestId, to: NodeId) -> bool {
        let (Some(open), Some(node)) = (self.requests.get(&id), self.nodes.get(&to)) else {
            return false;
        };
        let (request, attempts, limit_charged) = (open.request, open.attempts, open.limit_charged);
        let usable = u32::from(attempts) < open.max_attempts.max(1)
            && !node.gone
            && now < self.drain_grace_end(node).min(request.client_deadline);
        // With nothing in flight, one request may overdraw the slow-start bucket.
        let slow_start_allows =
            |level: f64| level >= request.units || (level > 0.0 && node.in_flight.is_empty());
        if !usable
            || !self.idempotence_allows(now, open, node)
            || !self
                .slow_start_level(now, node)
                .is_none_or(slow_start_allows)
        {
            return false;
        }
        let over_limit = !limit_charged
            && self
                .limit_level(now, &request)
                .is_some_and(|(level, _)| level < request.units);
        !over_limit
            && (attempts == 0 || self.retry_budget_allows(now))
            && self.key_order_allows(now, id)
    }

    /// What sending a request a second time does; an unknown class is not idempotent.
    pub(super) fn idempotence(&self, open: &OpenRequest) -> Idempotence {
        self.settings
            .classes
            .get(open.request.class as usize)
            .map_or(Idempotence::NotIdempotent, |class| class.idempotence)
    }

    /// Rule 2, attempts: whether the request may be sent to this node although it may have run already, or
    /// be running.
    pub(super) fn idempotence_allows(&self, now: Micros, open: &OpenRequest, node: &Node) -> bool {
        let may_overlap = open.in_flight == 0 || self.settings.parallel_attempts;
        may_overlap
            && open
                .first_attempt
                .is_none_or(|first| repeats_safely(self.idempotence(open), first, node))
            && now < self.deduplicated_until(open)
    }

    /// Until when an attempt may begin: nodes drop a repetition for a window after the first attempt that
    /// may have run. Requests that need no deduplication have no such end.
    pub(super) fn deduplicated_until(&self, open: &OpenRequest) -> Micros {
        match (open.first_attempt, self.idempotence(open)) {
            (Some(first), Idempotence::Deduplicated { window, .. }) => {
                first.sent_at + (window as f64 * USABLE_DEDUPLICATION_WINDOW) as Micros
            }
            _ => Micros::MAX,
        }
    }

    /// Rule 2, answers: whether the request may be rejected, which says that a retry by the client is
    /// harmless.
    pub(super) fn may_reject(&self, open: &OpenRequest) -> bool {
        open.first_attempt.is_none()
            || matches!(
                self.idempotence(open),
                Idempotence::Idempotent
                    | Idempotence::Deduplicated {
                        scope: DeduplicationScope::AllNodes,
                        ..
                    }
            )
    }

    /// Rule 3: from when on a draining node gets nothing new.
    pub(super) fn drain_grace_end(&self, node: &Node) -> Micros {
        node.draining_since.map_or(Micros::MAX, |since| {
            since + (self.settings.drain_grace as f64 * USABLE_DRAIN_GRACE) as Micros
        })
    }

    /// Rule 4: how long ago the node started, if it may still be in its slow start.
    pub(super) fn slow_start_age(&self, now: Micros, node: &Node) -> Option<Micros> {
        let (slow_start, started_at) = (self.settings.slow_start?, node.started_at?);
        let age = (now - started_at).max(0);
        (age < slow_start.duration + slow_start.window).then_some(age)
    }

    /// Rule 4: the level of this host's bucket for a node in its slow start; `None` for any other node.
    ///
    /// The host's quota is the larger of two figures: its share of the units that the settings guarantee,
    /// and the units that the node bears at its start, estimated from what nodes past their slow start
    /// serve for this host. It grows with the capacity of a node that takes the full `duration` to warm up.
    ///
    /// With many hosts, a quota may be smaller than one request. Then one request overdraws the bucket, and
    /// the debt is paid off before the next. Most buckets start in debt, so that the hosts do not all send
    /// at once.
    pub(super) fn slow_start_level(&self, now: Micros, node: &Node) -> Option<f64> {
        let (age, slow_start) = (self.slow_start_age(now, node)?, self.settings.slow_start?);
        let warm_share =
            (age - slow_start.window).max(0) as f64 / slow_start.duration.max(1) as f64;
        let growth = (slow_start.initial_share + (1.0 - slow_start.initial_share) * warm_share)
            / slow_start.initial_share.max(0.01);
        let mean_node_units = self.served_units
            / self.ready_nodes
            / (now - self.served_since).max(MIN_TRAFFIC_PERIOD) as f64
            * slow_start.window as f64;
        let estimated_units = slow_start.overload_multiple
            * slow_start.initial_share
            * mean_node_units
            * self.host_scale.sqrt().min(MAX_TRAFFIC_SKEW);
        let quota_share = self.quota_share(now, self.quota.slow_start);
        let guaranteed_units =
            slow_start.guaranteed_units / f64::from(self.settings.hosts.max(1)) * quota_share;
        let units = guaranteed_units.max(estimated_units * quota_share.min(1.0))
            * growth
            * SLOW_START_OVERCOMMIT
            * USABLE_QUOTA;
        let mut bucket = node.slow_start_bucket;
        bucket.refill(
            now,
            units / slow_start.window.max(1) as f64 * 1e6,
            (units / SLOW_START_OVERCOMMIT).max(self.settings.mean_units),
        );
        Some(bucket.level)
    }

    /// Rule 5: whether the request is the next one among those with its key. During the
    /// cooldown, only a request that was sent before may be sent.
    fn key_order_allows(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else {
            return false;
        };
        let (Some(key), attempts) = (self.ordered_key(&open.request), open.attempts) else {
            return true;
        };
        let Some(queue) = self.drop_finished(key) else {
            return true;
        };
        queue.requests.front().is_none_or(|front| *front == id)
            && (attempts > 0 || queue.cooldown_until <= now)
    }

    /// Drops requests from the front of a key's queue that have their final answer and no attempt in
    /// flight.
    pub(super) fn drop_finished(&mut self, key: Key) -> Option<&mut KeyQueue> {
        let queue = self.key_queues.get_mut(&key)?;
        let in_flight = |id: RequestId| {
            self.attempts
                .range((id, 0)..=(id, u16::MAX))
                .next()
                .is_some()
        };
        while queue
            .requests
            .front()
            .is_some_and(|id| !self.requests.contains_key(id) && !in_flight(*id))
        {
            queue.requests.pop_front();
        }
        Some(queue)
    }

    /// The key of a request, if requests of its class with one key run in order.
    pub(super) fn ordered_key(&self, request: &Request) -> Option<Key> {
        request.key.filter(|_| {
            self.settings
                .classes
                .get(request.class as usize)
                .is_some_and(|class| class.in_order)
        })
    }

    /// Rule 6: whether the budget allows one more retry.
    fn retry_budget_allows(&mut self, now: Micros) -> bool {
        let Some(budget) = self.settings.retry_budget else {
            return true;
        };
        // Retries count for a tick longer than the window, arrivals for a tick less, so that an error of
        // one tick does not exceed the budget.
        self.retry_times
            .retain(|t| now - t <= budget.window + self.settings.timer_resolution);
        self.arrival_times
            .retain(|t| now - t < budget.window - self.settings.timer_resolution);
        (self.retry_times.len() + 1) as f64
            <= budget.min_retries + budget.retry_ratio * self.arrival_times.len() as f64
    }

    /// Rule 7: refills this host's bucket for the volume's rate limit and returns its level and its rate;
    /// `None` for an unlimited volume. A new bucket is empty, since a host that restarts has lost what it
    /// spent.
    pub(super) fn limit_level(&mut self, now: Micros, request: &Request) -> Option<(f64, f64)> {
        let limit = self.settings.plans.get(request.plan as usize)?.limit?;
        let quota_share =
            self.quota_share(now, self.quota.volume_factor(request.volume)) * USABLE_QUOTA;
        let volume = self.volumes.entry(request.volume).or_default();
        if volume.hosts <= 0.0 {
            volume.limit = TokenBucket {
                level: 0.0,
                refilled_at: self.buckets_fill_from.unwrap_or(now),
            };
        }
        let hosts = if request.hosts >= 1.0 {
            request.hosts
        } else {
            f64::from(self.settings.hosts.max(1))
        };
        volume.hosts = volume.hosts.max(hosts);
        (volume.limit_rate, volume.limit_capacity) = (
            limit.rate / volume.hosts * quota_share,
            (limit.burst + limit.overdraft) / volume.hosts * quota_share,
        );
        volume
            .limit
            .refill(now, volume.limit_rate, volume.limit_capacity);
        Some((volume.limit.level, volume.limit_rate))
    }

    /// How much of this host's even share this process may use now. `factor` applies while the quota is
    /// valid, and its reserve afterwards.
    fn quota_share(&self, now: Micros, factor: f64) -> f64 {
        self.process_share
            * if now < self.quota.valid_until {
                factor
            } else {
                self.quota.reserve
            }
    }

    /// The value of a unit of this request: the full value within this host's share of the volume's
    /// reservation, less beyond it.
    pub(super) fn request_value(&mut self, now: Micros, request: &Request) -> f64 {
        let Some(plan) = self.settings.plans.get(request.plan as usize) else {
            return self.max_value;
        };
        let full_value = self
            .settings
            .classes
            .get(request.class as usize)
            .map_or(1.0, |class| class.value)
            * plan.value_multiplier;
        let rate = plan.reserved_rate / request.hosts.max(1.0);
        let volume = self.volumes.entry(request.volume).or_default();
        volume
            .reservation
            .refill(now, rate, rate + self.settings.max_units);
        volume.last_used = now;
        let reserved = rate > 0.0 && volume.reservation.level >= request.units;
        volume.reservation.level -= if reserved { request.units } else { 0.0 };
        full_value
            * if reserved {
                1.0
            } else {
                self.settings.fair_share_value
            }
    }
}

impl TokenBucket {
    /// Adds what has accrued since the last refill at `rate` units a second, up to `capacity`.
    pub(super) fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        self.level =
            (self.level + rate * (now - self.refilled_at).max(0) as f64 / 1e6).min(capacity);
        self.refilled_at = now;
    }
}
